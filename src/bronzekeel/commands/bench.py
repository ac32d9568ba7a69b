"""Command that runs one benchmark."""

from argparse import ArgumentParser, Namespace

from msgspec.json import encode
from msgspec.json import format as pretty

from bronzekeel.bench.base import Benchmark
from bronzekeel.bench.calls import CallBenchmark
from bronzekeel.bench.flows import FlowBenchmark
from bronzekeel.bench.forward import ForwardBenchmark
from bronzekeel.bench.membership import MembershipBenchmark
from bronzekeel.bench.placement import PlacementBenchmark
from bronzekeel.bench.requests import RequestBenchmark
from bronzekeel.bench.rollout import RolloutBenchmark
from bronzekeel.bench.slopes import SlopeBenchmark
from bronzekeel.bench.start import StartBenchmark
from bronzekeel.bench.views import ViewBenchmark
from bronzekeel.commands.base import Command, ExitCode
from bronzekeel.commands.output import print_line

BENCHMARKS: tuple[type[Benchmark], ...] = (
    FlowBenchmark,
    RequestBenchmark,
    ForwardBenchmark,
    CallBenchmark,
    RolloutBenchmark,
    MembershipBenchmark,
    SlopeBenchmark,
    StartBenchmark,
    ViewBenchmark,
    PlacementBenchmark,
)


class BenchCommand(Command):
    """The `bench` command, with one subcommand per benchmark."""

    name = 'bench'
    summary = 'run a benchmark against baselines and lower bounds'
    example = 'bronzekeel bench flows --json'

    def __init__(self) -> None:
        """Create one instance of every benchmark."""
        self._by_name = {kind.name: kind() for kind in BENCHMARKS}

    def add_options(self, parser: ArgumentParser) -> None:
        """Add each benchmark as a subcommand."""
        subparsers = parser.add_subparsers(dest='benchmark', required=True)
        for name, benchmark in self._by_name.items():
            subparser = subparsers.add_parser(name, help=benchmark.summary)
            subparser.add_argument('--json', action='store_true', help='one line of JSON')
            benchmark.add_options(subparser)

    def run(self, options: Namespace) -> ExitCode:
        """Run the selected benchmark; return REFUSED unless its result has a true `ok`."""
        figures = self._by_name[options.benchmark].run(options)
        line = encode(figures)
        print_line(line.decode() if options.json else pretty(line).decode())
        return ExitCode.DONE if getattr(figures, 'ok', False) else ExitCode.REFUSED
