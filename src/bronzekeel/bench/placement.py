"""Compare placement and admission policies in adverse moments, in virtual time."""

from argparse import ArgumentParser, Namespace
from collections.abc import Mapping
from concurrent.futures import ProcessPoolExecutor
from itertools import product
from pathlib import Path
from types import MappingProxyType

from msgspec import Struct
from rich.console import Console
from rich.progress import track

from bronzekeel.bench.base import Benchmark
from bronzekeel.bench.demand_moments import DEMAND_MOMENTS
from bronzekeel.bench.load_ceiling import OracleScheduler
from bronzekeel.bench.load_figures import PlacementFigures, mean_figures
from bronzekeel.bench.load_moments import MOMENTS, Moment
from bronzekeel.bench.load_picture import draw
from bronzekeel.bench.load_policies import EQUAL_WORK, POLICIES, PRODUCT
from bronzekeel.bench.quantiles import quantile
from bronzekeel.replay.flow_load import FlowLoad
from bronzekeel.replay.load_callers import CALLER_DELAY_S
from bronzekeel.replay.routing_fleet import FleetPolicies


_SETTLING_S = 6.0
_P50 = 0.5
_P99 = 0.99

#: By how much the product's share of late requests may exceed that of the best policy in a
#: moment.  It is twice the difference between two seeds.
_LATE_SLACK = 0.01

#: By how much the product's imbalance may exceed the lowest of all policies in moments with
#: equal upstreams.  It is the difference between two seeds.
_IMBALANCE_SLACK = 0.1

#: Minimum value that the product must earn in every moment, as a share of what an omniscient
#: scheduler earns.
_MIN_CEILING_SHARE = 0.85


class PlacementReport(Struct, frozen=True):
    """Means over all seeds by moment and policy, and the names of failed checks."""

    seeds: list[int]
    figures: dict[str, dict[str, PlacementFigures]]
    failed: list[str]
    ok: bool


class Trial(Struct, frozen=True):
    """Parameters of one run: a moment, a policy, a seed, and the size of the fleet."""

    moment: str
    policy: str
    seed: int
    hosts: int
    upstreams: int


class PlacementBenchmark(Benchmark):
    """Runs every selected moment with every selected policy."""

    name = 'placement'
    summary = 'latency and value in adverse moments, by policy, relative to an omniscient scheduler'

    def add_options(self, parser: ArgumentParser) -> None:
        """Add seeds, the size of a data centre, the choice of moments and policies, and a plot."""
        parser.add_argument('--seed', type=int, default=1, help='first seed')
        parser.add_argument('--seeds', type=int, default=1, help='number of seeds')
        parser.add_argument('--hosts', type=int, default=3)
        parser.add_argument('--upstreams', type=int, default=3)
        parser.add_argument('--moment', action='append', choices=sorted(_MOMENT_BY_NAME))
        parser.add_argument('--policy', action='append', choices=sorted(POLICIES))
        parser.add_argument('--png', type=Path, metavar='FILE')

    def run(self, options: Namespace) -> PlacementReport:
        """Run all trials and check the product against the other policies and the oracle."""
        seeds = list(range(options.seed, options.seed + options.seeds))
        figures_by_moment = _run_trials(_selected_trials(options, seeds))
        if options.png is not None:
            draw(figures_by_moment, options.png)
        failed = []
        for moment, by_policy in figures_by_moment.items():
            failed.extend(_failures(_MOMENT_BY_NAME[moment], by_policy))
        return PlacementReport(seeds, figures_by_moment, failed, not failed)


_MOMENT_BY_NAME: Mapping[str, type[Moment]] = MappingProxyType(
    {kind.name: kind for kind in (*MOMENTS, *DEMAND_MOMENTS)},
)


def _selected_trials(options: Namespace, seeds: list[int]) -> list[Trial]:
    selected = product(options.moment or _MOMENT_BY_NAME, options.policy or POLICIES, seeds)
    return [
        Trial(moment, policy, seed, options.hosts, options.upstreams)
        for moment, policy, seed in selected
    ]


def _run_trials(trials: list[Trial]) -> dict[str, dict[str, PlacementFigures]]:
    """Run trials in parallel; return their mean figures by moment and policy."""
    runs: dict[str, dict[str, list[PlacementFigures]]] = {}
    with ProcessPoolExecutor() as executor:
        figures_by_trial = zip(trials, executor.map(run_trial, trials), strict=True)
        console = Console(stderr=True)
        for trial, figures in track(figures_by_trial, 'playing', len(trials), console=console):
            by_policy = runs.setdefault(trial.moment, {})
            by_policy.setdefault(trial.policy, []).append(figures)
    return {
        moment: {policy: mean_figures(run_figures) for policy, run_figures in by_policy.items()}
        for moment, by_policy in runs.items()
    }


def run_trial(trial: Trial) -> PlacementFigures:
    """Run one trial."""
    moment = _MOMENT_BY_NAME[trial.moment]()
    policies = POLICIES[trial.policy]
    return run_moment(moment, policies, trial.seed, trial.hosts, trial.upstreams)


def run_moment(
    moment: Moment,
    policies: FleetPolicies,
    seed: int = 1,
    hosts: int = 3,
    upstreams: int = 3,
) -> PlacementFigures:
    """Run one moment with the given policies."""
    load = build_moment_load(moment, policies, seed, hosts, upstreams)
    duration_s = moment.lasting_s + _SETTLING_S
    load.fleet.run(duration_s)
    return _figures_of(load, moment, duration_s)


def build_moment_load(
    moment: Moment,
    policies: FleetPolicies,
    seed: int = 1,
    hosts: int = 3,
    upstreams: int = 3,
) -> FlowLoad:
    """Return the load of a moment, scheduled but not yet run."""
    load = FlowLoad(
        hosts,
        upstreams,
        policies,
        seed,
        moment.weights,
        moment.server_kind,
        moment.kinds,
    )
    moment.schedule_faults(load)
    moment.plan_requests(load)
    return load


def _figures_of(load: FlowLoad, moment: Moment, duration_s: float) -> PlacementFigures:
    """Return the figures of a finished run, relative to the omniscient schedulers."""
    oracle = OracleScheduler(load.slots, 2 * CALLER_DELAY_S, moment.outage_interval)
    affinity_oracle = OracleScheduler(
        load.slots, 2 * CALLER_DELAY_S, moment.outage_interval, flow_affinity=True
    )
    tallies = list(load.tally_by_kind.values())
    latencies = [latency for tally in tallies for latency in tally.latencies]
    total = sum(len(tally.arrivals) for tally in tallies)
    unanswered = total - len(latencies)
    late = sum(latency > moment.late_after_s for latency in latencies)
    ran_by_server = [server.ran for server in load.server_by_name.values()]
    earned = sum(tally.earned for tally in tallies)
    urgent = min(tallies, key=lambda tally: (not tally.arrivals, tally.kind.priority))
    return PlacementFigures(
        requests=total,
        p50=quantile(latencies, _P50),
        p99=quantile(latencies, _P99),
        late_share=(late + unanswered) / total,
        copy_share=load.callers.opened_by_retransmission / max(load.callers.opened, 1),
        opened_twice=load.callers.opened_twice,
        failed=unanswered,
        imbalance=max(ran_by_server) * len(ran_by_server) / sum(ran_by_server),
        heartbeats_s=_mean_heartbeats(load) / duration_s,
        earned_share=earned / sum(tally.full_worth for tally in tallies),
        earned_over_ceiling=earned / oracle.earned_value(tallies),
        earned_over_kept_ceiling=earned / affinity_oracle.earned_value(tallies),
        urgent_share=urgent.earned / max(urgent.full_worth, 1),
        turned_away_share=_total_turned_away(load) / max(sum(ran_by_server), 1),
        crowd_late_share=load.caller_list.late_share(crowd=True),
        others_late_share=load.caller_list.late_share(crowd=False),
    )


def _mean_heartbeats(load: FlowLoad) -> float:
    """Return the mean number of heartbeats sent per running balancer."""
    nodes = load.fleet.running
    return sum(node.heartbeats for node in nodes) / len(nodes)


def _total_turned_away(load: FlowLoad) -> int:
    """Return the number of requests that upstreams rejected."""
    return sum(server.rejected for server in load.server_by_name.values())


def _failures(kind: type[Moment], by_policy: dict[str, PlacementFigures]) -> list[str]:
    """Return the names of the checks that the product's policies fail in a moment."""
    min_late_share = min(figures.late_share for figures in by_policy.values())
    failed = []
    for name in (PRODUCT, EQUAL_WORK):
        if name not in by_policy:
            continue
        if by_policy[name].late_share > min_late_share + _LATE_SLACK:
            failed.append(f'{kind.name}.{name}.late_share')
        if by_policy[name].earned_over_ceiling < _MIN_CEILING_SHARE:
            failed.append(f'{kind.name}.{name}.earned_over_ceiling')
    min_imbalance = min(figures.imbalance for figures in by_policy.values())
    equal = by_policy.get(EQUAL_WORK)
    if kind.equal_upstreams and equal and equal.imbalance > min_imbalance + _IMBALANCE_SLACK:
        failed.append(f'{kind.name}.imbalance')
    return failed
