"""Command that runs real processes under injected faults and checks the guarantees."""

from argparse import ArgumentParser, Namespace
from asyncio import run
from pathlib import Path
from shutil import rmtree
from tempfile import mkdtemp

from msgspec.json import encode
from rich.console import Console
from rich.progress import Progress

from bronzekeel.commands.base import Command, ExitCode
from bronzekeel.commands.output import print_error, print_line
from bronzekeel.soak.runner import Soak, SoakReport, save_failure

_DEFAULT_SECONDS = 60.0
_DEFAULT_HOSTS = 6
_MIN_SECONDS = 20.0


class SoakCommand(Command):
    """The `soak` command."""

    name = 'soak'
    summary = 'run balancers as processes under injected faults and check every guarantee'
    example = 'bronzekeel soak --seed 7 --seconds 60 --json'

    def add_options(self, parser: ArgumentParser) -> None:
        """Add the options for seed, duration, number of hosts and the folder for failed runs."""
        parser.add_argument('--seed', type=int, default=1)
        parser.add_argument('--seconds', type=float, default=_DEFAULT_SECONDS)
        parser.add_argument('--hosts', type=int, default=_DEFAULT_HOSTS)
        parser.add_argument('--json', action='store_true', help='one line of JSON')
        parser.add_argument('--folder', type=Path, default=Path('out/soak'), metavar='FOLDER')

    def run(self, options: Namespace) -> ExitCode:
        """Run the soak test; keep the logs and the schedule if a guarantee was violated."""
        if options.seconds < _MIN_SECONDS:
            print_error(f'--seconds {options.seconds}: faults need at least {_MIN_SECONDS:g} s')
            return ExitCode.USAGE
        options.folder.mkdir(parents=True, exist_ok=True)
        folder = Path(mkdtemp(prefix=f'seed-{options.seed}-', dir=options.folder))
        soak = Soak(options.seed, options.seconds, options.hosts, folder)
        with Progress(console=Console(stderr=True)) as progress:
            task = progress.add_task(f'seed {options.seed}', total=options.seconds)
            report = run(soak.run(lambda done_s: progress.update(task, completed=done_s)))
        print_line(encode(report).decode() if options.json else _as_text(report))
        if report.ok:
            rmtree(folder)
            return ExitCode.DONE
        print_error(
            f'logs and schedule in {folder}; reproduce with: {save_failure(report, folder)}'
        )
        return ExitCode.REFUSED


def _as_text(report: SoakReport) -> str:
    rows = [f'{count:8}  {name}' for name, count in report.checks.items()]
    rows.extend(f'never checked: {name}' for name in report.never_checked)
    rows.extend(report.broken)
    faults = sum(report.faults.values())
    rows.append(
        f'seed {report.seed}: {report.flows} flows, {report.requests} requests, {faults} faults '
        f'of {len(report.faults)} kinds, {len(report.broken)} guarantees violated',
    )
    return '\n'.join(rows)
