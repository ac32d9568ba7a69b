"""Run one benchmark."""

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
    """Measure."""

    name = 'bench'
    summary = 'measure the product against baselines and floors'
    example = 'bronzekeel bench flows --json'

    def __init__(self) -> None:
        """Make every benchmark once."""
        self._by_name = {kind.name: kind() for kind in BENCHMARKS}

    def add_options(self, parser: ArgumentParser) -> None:
        """Offer the benchmarks as subcommands."""
        subparsers = parser.add_subparsers(dest='benchmark', required=True)
        for name, benchmark in self._by_name.items():
            subparser = subparsers.add_parser(name, help=benchmark.summary)
            subparser.add_argument('--json', action='store_true', help='one line of JSON')
            benchmark.add_options(subparser)

    def run(self, options: Namespace) -> ExitCode:
        """Run one; refuse when it says that a promise was broken."""
        figures = self._by_name[options.benchmark].run(options)
        line = encode(figures)
        print_line(line.decode() if options.json else pretty(line).decode())
        return ExitCode.DONE if getattr(figures, 'ok', False) else ExitCode.REFUSED
