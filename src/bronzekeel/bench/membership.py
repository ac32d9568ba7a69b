"""Measure how soon dead balancers are detected, and whether live ones are removed."""

from argparse import ArgumentParser, Namespace

from msgspec import Struct

from bronzekeel.bench.base import Benchmark
from bronzekeel.bench.flow_trials import portal
from bronzekeel.bench.quantiles import quantile
from bronzekeel.core.catalogue import Catalogue
from bronzekeel.core.messages import HostEntry
from bronzekeel.replay.fleet import Fleet

_SIZES = (9, 30, 90)
_KILLS = 3
_STEP_S = 0.1
_DETECTION_TIMEOUT_S = 12.0
_STEADY_S = 10.0
_LOST_SHARE = 0.05
_P99 = 0.99
_MAX_DETECT_S = 6.0
_BUDGET_BYTES = 6000


class MembershipFigures(Struct, frozen=True):
    """Results for one fleet size; bytes are per balancer."""

    detect_p99_s: float
    false_removals: int
    bytes_per_s: float


class MembershipReport(Struct, frozen=True):
    """Results by number of members.

    `ok` depends on detection time and bytes at the smallest size, and on false removals at all.
    """

    figures: dict[str, MembershipFigures]
    within_budget_to: int
    ok: bool


def fleet_of(size: int, seed: int) -> Fleet:
    """Return a fleet of `size` balancers in three data centres, after start-up."""
    hosts = [
        HostEntry(f'h{number}', f'dc-{number % 3}', '127.0.0.1', 1, 2, 3) for number in range(size)
    ]
    fleet = Fleet(hosts, seed)
    spec = portal(range(7))
    fleet.submit(Catalogue(1, {spec.name: spec}))
    fleet.run(_STEADY_S)
    return fleet


def bytes_per_second(fleet: Fleet, lasting_s: float) -> float:
    """Return the bytes per second that an idle balancer sends, averaged over the fleet."""
    before = sum(sum(node.bytes_by_kind.values()) for node in fleet.running)
    fleet.run(lasting_s)
    after = sum(sum(node.bytes_by_kind.values()) for node in fleet.running)
    return (after - before) / lasting_s / len(fleet.running)


class MembershipBenchmark(Benchmark):
    """Kills and pauses balancers and loses messages, at several fleet sizes."""

    name = 'membership'
    summary = 'time to detect dead balancers, false removals and bytes, by fleet size'

    def add_options(self, parser: ArgumentParser) -> None:
        """Add the seed."""
        parser.add_argument('--seed', type=int, default=1)

    def run(self, options: Namespace) -> MembershipReport:
        """Measure every fleet size."""
        figures = {str(size): _measure(size, options.seed) for size in _SIZES}
        largest_within_budget = max(
            size for size in _SIZES if figures[str(size)].bytes_per_s <= _BUDGET_BYTES
        )
        smallest = figures[str(_SIZES[0])]
        passed = smallest.detect_p99_s <= _MAX_DETECT_S and smallest.bytes_per_s <= _BUDGET_BYTES
        passed = passed and not any(measured.false_removals for measured in figures.values())
        return MembershipReport(figures, largest_within_budget, passed)


def _measure(size: int, seed: int) -> MembershipFigures:
    fleet = fleet_of(size, seed)
    steady = bytes_per_second(fleet, _STEADY_S)
    fleet.lost_share = _LOST_SHARE
    fleet.pause('h1', 6)
    fleet.run(20)
    false_removals = sum(node.state.members.deaths for node in fleet.running)
    false_removals -= _count_dead(fleet, 'h1')
    delays: list[float] = []
    for number in range(_KILLS):
        delays.extend(_kill(fleet, f'h{number + 3}'))
    return MembershipFigures(
        detect_p99_s=round(quantile(delays, _P99), 2),
        false_removals=max(0, false_removals - size + 1),
        bytes_per_s=round(steady, 1),
    )


def _count_dead(fleet: Fleet, name: str) -> int:
    """Return how many balancers consider a member dead."""
    return sum(
        node.state.members.by_name[name].dead
        for node in fleet.running
        if name in node.state.members.by_name
    )


def _kill(fleet: Fleet, name: str) -> list[float]:
    """Kill a balancer; return the seconds until each other balancer considers it dead.

    A balancer that doesn't detect it in time counts with the timeout.
    """
    fleet.kill(name)
    killed_at = fleet.now
    detected_after_s: dict[str, float] = {}
    while fleet.now < killed_at + _DETECTION_TIMEOUT_S:
        fleet.run(_STEP_S)
        for node in fleet.running:
            if node.state.members.by_name[name].dead:
                detected_after_s.setdefault(node.name, fleet.now - killed_at)
    undetected = len(fleet.running) - len(detected_after_s)
    return [*detected_after_s.values(), *(_DETECTION_TIMEOUT_S for _ in range(undetected))]
