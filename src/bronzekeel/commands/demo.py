"""Run the demo and tell what was counted."""

from argparse import ArgumentParser, Namespace
from asyncio import run

from msgspec import Struct
from msgspec.json import encode
from msgspec.structs import asdict

from bronzekeel.commands.base import Command, ExitCode
from bronzekeel.commands.output import say
from bronzekeel.demo.connection_ids import play_connection_ids
from bronzekeel.demo.scenario import play


class DemoCommand(Command):
    """Show the whole system in one process."""

    name = 'demo'
    summary = "play the Stichting's day with nine balancers in one process"
    example = 'bronzekeel demo --seed 7'

    def add_options(self, parser: ArgumentParser) -> None:
        """Offer the seed."""
        parser.add_argument('--seed', type=int, default=1)

    def run(self, options: Namespace) -> ExitCode:
        """Play, then print a table and one line of JSON."""
        by_id = run(play_connection_ids(_progress, options.seed))
        outcome = run(play(_progress, options.seed))
        _show(by_id)
        _show(outcome)
        return ExitCode.DONE if outcome.ok and by_id.ok else ExitCode.REFUSED


def _show(outcome: Struct) -> None:
    """Print what was counted, as a table and as one line of JSON."""
    say()
    for name, counted in asdict(outcome).items():
        say(f'{name:26} {counted}')
    say(encode(outcome).decode())


def _progress(words: str) -> None:
    say(words)
