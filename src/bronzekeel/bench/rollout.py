"""Measure how soon a text is in force everywhere, and whether any balancer reverts."""

from argparse import ArgumentParser, Namespace
from collections.abc import Callable
from functools import partial

from msgspec import Struct

from bronzekeel.bench.base import Benchmark
from bronzekeel.bench.flow_trials import bench_hosts, portal
from bronzekeel.bench.quantiles import quantile
from bronzekeel.core.catalogue import Catalogue
from bronzekeel.core.messages import HostEntry
from bronzekeel.replay.fleet import Fleet

_CHANGES = 20
_INTERVAL_S = 12.0
_P99 = 0.99
_MAX_P99_S = 3.0
_MAX_DELAY_S = 9.0

#: Platform calls of a watcher per change: the answer of its watch, a part, and the next watch.
_CALLS_PER_WATCHER = 3


class RolloutFigures(Struct, frozen=True):
    """Results of one scenario; times count from when a text was available to a started balancer."""

    changes: int
    in_force_p99_s: float
    in_force_max_s: float
    missed: int
    reverted: int
    platform_calls_per_change: float
    bytes_per_change: float


class RolloutReport(Struct, frozen=True):
    """Results by scenario."""

    figures: dict[str, RolloutFigures]
    ok: bool


class _Trial:
    """A fleet whose generations are checked continuously."""

    def __init__(self, seed: int) -> None:
        self.fleet = Fleet(bench_hosts(), seed)
        self.generation = 0
        self.reverted = 0
        self.submitted_at: dict[int, float] = {}
        self.highest_generations: dict[tuple[str, int], int] = {}
        self.calls = 0
        self.submit()
        self.fleet.run(_INTERVAL_S)
        self.fleet.at(0, self._check_generations)
        self.steady_bytes_per_s = self._measure_steady()

    def submit(self) -> None:
        """Submit the next generation of the text to the fleet."""
        self.generation += 1
        spec = portal(range(6 + self.generation % 3))
        self.submitted_at[self.generation] = self.fleet.now
        watchers = sum(node.state.rollout.watching for node in self.fleet.running)
        self.calls += 2 + _CALLS_PER_WATCHER * watchers
        self.fleet.submit(Catalogue(self.generation, {spec.name: spec}))

    def bytes_sent(self) -> int:
        """Return the bytes that all balancers have sent to one another."""
        return sum(sum(node.bytes_by_kind.values()) for node in self.fleet.by_name.values())

    def _measure_steady(self) -> float:
        before = self.bytes_sent()
        self.fleet.run(20)
        return (self.bytes_sent() - before) / 20

    def _check_generations(self) -> None:
        """Count each balancer whose generation has decreased since the last check."""
        for node in self.fleet.running:
            key = (node.name, node.state.members.incarnation)
            generation = node.state.rollout.generation
            if generation < self.highest_generations.get(key, 0):
                self.reverted += 1
            self.highest_generations[key] = max(generation, self.highest_generations.get(key, 0))
        self.fleet.at(0.05, self._check_generations)


def _healthy(trial: _Trial, number: int) -> None:
    """Inject no fault."""


def _watch_lost(trial: _Trial, number: int) -> None:
    """Delay the view of one watcher at each change, as if its watch were lost."""
    watchers = [node for node in trial.fleet.running if node.state.rollout.watching]
    watchers[number % len(watchers)].view_lag_s = 2


def _outage(trial: _Trial, number: int) -> None:
    """Make the platform unavailable shortly after each change until before the next one."""
    trial.fleet.at(0.06, partial(setattr, trial.fleet, 'platform_up', False))
    trial.fleet.at(_INTERVAL_S - 1, trial.fleet.platform_back)


def _partition(trial: _Trial, number: int) -> None:
    """Partition one data centre from the others for four seconds."""
    names = [host.name for host in bench_hosts()]
    trial.fleet.cut(names[:3], names[3:])
    trial.fleet.at(4, trial.fleet.heal)


def _restart(trial: _Trial, number: int) -> None:
    """Kill one balancer at each change and restart it three seconds later."""
    host = bench_hosts()[number % 9]
    trial.fleet.kill(host.name)
    trial.fleet.at(3, lambda: _restart_host(trial, host))


def _restart_host(trial: _Trial, host: HostEntry) -> None:
    trial.fleet.start(host)


_SCENARIOS: tuple[tuple[str, Callable[[_Trial, int], None]], ...] = (
    ('healthy', _healthy),
    ('watch_lost', _watch_lost),
    ('outage', _outage),
    ('partition', _partition),
    ('restart', _restart),
)


class RolloutBenchmark(Benchmark):
    """Brings twenty texts into force in each scenario."""

    name = 'rollout'
    summary = 'time until a text is in force everywhere, under faults'

    def add_options(self, parser: ArgumentParser) -> None:
        """Add the seed."""
        parser.add_argument('--seed', type=int, default=1)

    def run(self, options: Namespace) -> RolloutReport:
        """Run every scenario."""
        figures = {}
        for name, inject_fault in _SCENARIOS:
            figures[name] = _measure(inject_fault, options.seed)
        healthy = figures['healthy']
        passed = healthy.in_force_p99_s <= _MAX_P99_S
        for measured in figures.values():
            passed = passed and not measured.reverted and not measured.missed
            passed = passed and measured.in_force_max_s <= _MAX_DELAY_S
        return RolloutReport(figures, passed)


def _measure(inject_fault: Callable[[_Trial, int], None], seed: int) -> RolloutFigures:
    trial = _Trial(seed)
    trial.calls = 0
    bytes_before = trial.bytes_sent()
    started_at = trial.fleet.now
    for number in range(_CHANGES):
        inject_fault(trial, number)
        trial.fleet.run(0.05)
        trial.submit()
        trial.fleet.run(_INTERVAL_S)
    trial.fleet.run(_INTERVAL_S)
    delays, missed = _delays(trial)
    elapsed_s = trial.fleet.now - started_at
    wire_bytes = trial.bytes_sent() - bytes_before - trial.steady_bytes_per_s * elapsed_s
    return RolloutFigures(
        changes=_CHANGES,
        in_force_p99_s=round(quantile(delays, _P99), 3),
        in_force_max_s=round(max(delays), 3),
        missed=missed,
        reverted=trial.reverted,
        platform_calls_per_change=round(trial.calls / _CHANGES, 2),
        bytes_per_change=round(max(0, wire_bytes) / _CHANGES / len(trial.fleet.by_name), 1),
    )


def _delays(trial: _Trial) -> tuple[list[float], int]:
    """Return the seconds until each text is in force on each host, and the number of misses.

    For a host that started after the submission, the time counts from its start.
    """
    delays = []
    missed = 0
    for node in trial.fleet.running:
        for generation, submitted_at in trial.submitted_at.items():
            reachable_at = max(submitted_at, node.state.started_at)
            reached_at = [
                at
                for reached_generation, at in node.in_force_at.items()
                if reached_generation >= generation
            ]
            if reached_at:
                delays.append(max(0, min(reached_at) - reachable_at))
            else:
                missed += 1
    return delays, missed
