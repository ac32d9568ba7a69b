"""Entry point: parses the command line and runs one command."""

import sys
from argparse import ArgumentParser, RawDescriptionHelpFormatter
from collections.abc import Sequence

from bronzekeel.commands.balancer import BalancerCommand
from bronzekeel.commands.base import Command, ExitCode
from bronzekeel.commands.bench import BenchCommand
from bronzekeel.commands.demo import DemoCommand
from bronzekeel.commands.explain import ExplainCommand
from bronzekeel.commands.inspect import EventsCommand, StatusCommand
from bronzekeel.commands.replay import ReplayCommand
from bronzekeel.commands.report import ReportCommand
from bronzekeel.commands.soak import SoakCommand
from bronzekeel.commands.texts import CheckCommand, DiffCommand, SubmitCommand
from bronzekeel.version import VERSION

_COMMANDS: tuple[type[Command], ...] = (
    BalancerCommand,
    CheckCommand,
    SubmitCommand,
    DiffCommand,
    StatusCommand,
    EventsCommand,
    ExplainCommand,
    ReportCommand,
    ReplayCommand,
    BenchCommand,
    DemoCommand,
    SoakCommand,
)


def _parser(commands: dict[str, Command]) -> ArgumentParser:
    parser = ArgumentParser(
        prog='bronzekeel',
        description='Balance long-lived flows and requests over upstreams.',
        epilog='exit codes: 0 done, 1 refused, 2 wrong usage, 3 outcome unknown',
    )
    parser.add_argument('--version', action='version', version=VERSION)
    subparsers = parser.add_subparsers(dest='command', required=True, metavar='COMMAND')
    for name, command in commands.items():
        subparser = subparsers.add_parser(
            name,
            help=command.summary,
            description=command.summary,
            epilog=f'example:\n  {command.example}',
            formatter_class=RawDescriptionHelpFormatter,
        )
        command.add_options(subparser)
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command and return its exit code.

    Return UNKNOWN on an interrupt and DONE if the reader of standard output has gone away.
    """
    commands = {kind.name: kind() for kind in _COMMANDS}
    options = _parser(commands).parse_args(arguments)
    try:
        return int(commands[options.command].run(options))
    except KeyboardInterrupt:
        return int(ExitCode.UNKNOWN)
    except BrokenPipeError:
        return int(ExitCode.DONE)


if __name__ == '__main__':
    sys.exit(main())
