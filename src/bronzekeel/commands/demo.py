"""Command that runs the demo and prints its counts."""

from argparse import ArgumentParser, Namespace
from asyncio import run

from msgspec import Struct
from msgspec.json import encode
from msgspec.structs import asdict

from bronzekeel.commands.base import Command, ExitCode
from bronzekeel.commands.output import print_line
from bronzekeel.demo.connection_ids import run_connection_id_demo
from bronzekeel.demo.scenario import run_demo


class DemoCommand(Command):
    """The `demo` command, which runs the whole system in one process."""

    name = 'demo'
    summary = "simulate the Stichting's workload with nine balancers in one process"
    example = 'bronzekeel demo --seed 7'

    def add_options(self, parser: ArgumentParser) -> None:
        """Add the option for the random seed."""
        parser.add_argument('--seed', type=int, default=1)

    def run(self, options: Namespace) -> ExitCode:
        """Run both demos; print a table and one line of JSON for each."""
        by_id = run(run_connection_id_demo(_print_progress, options.seed))
        outcome = run(run_demo(_print_progress, options.seed))
        _print_outcome(by_id)
        _print_outcome(outcome)
        return ExitCode.DONE if outcome.ok and by_id.ok else ExitCode.REFUSED


def _print_outcome(outcome: Struct) -> None:
    """Print the counts as a table and as one line of JSON."""
    print_line()
    for name, counted in asdict(outcome).items():
        print_line(f'{name:26} {counted}')
    print_line(encode(outcome).decode())


def _print_progress(message: str) -> None:
    print_line(message)
