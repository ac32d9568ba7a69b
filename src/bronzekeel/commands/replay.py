"""Command that replays a trace and checks the outcomes against stated bounds."""

from argparse import ArgumentParser, Namespace
from pathlib import Path

from msgspec import Struct
from msgspec.json import encode

from bronzekeel.commands.base import Command, ExitCode
from bronzekeel.commands.output import print_error, print_line
from bronzekeel.replay.player import Player, failed_outcomes
from bronzekeel.replay.recorded import is_recorded, replay_recorded
from bronzekeel.replay.trace import Bounds, TraceError, read_outcomes, read_trace


class _Outcome(Struct, frozen=True):
    """Result of a replay: observed values and the names of outcomes out of bounds."""

    observed: dict[str, float]
    failed: list[str]
    ok: bool


class ReplayCommand(Command):
    """The `replay` command, for hand-written and recorded traces."""

    name = 'replay'
    summary = 'replay a trace and compare the outcomes with stated bounds'
    example = 'bronzekeel replay traces/drain.jsonl --outcomes traces/drain.json'

    def add_options(self, parser: ArgumentParser) -> None:
        """Add the argument for the trace and the options for stated outcomes and seed."""
        parser.add_argument('trace', type=Path)
        parser.add_argument('--outcomes', type=Path, metavar='FILE')
        parser.add_argument('--seed', type=int, default=1)

    def run(self, options: Namespace) -> ExitCode:
        """Print one JSON object; report each failed outcome and return REFUSED if there are any."""
        stated: dict[str, Bounds] = {}
        try:
            if options.outcomes is not None:
                stated = read_outcomes(options.outcomes)
            observed = _observe(options)
        except TraceError as fault:
            print_error(fault)
            return ExitCode.REFUSED
        failed = failed_outcomes(observed, stated)
        for name in failed:
            print_error(f'{name}: stated {stated[name]}, observed {observed.get(name)}')
        print_line(encode(_Outcome(observed, failed, not failed)).decode())
        return ExitCode.REFUSED if failed else ExitCode.DONE


def _observe(options: Namespace) -> dict[str, float]:
    if is_recorded(options.trace):
        return replay_recorded(options.trace)
    return Player(options.seed).play(read_trace(options.trace))
