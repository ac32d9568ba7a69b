"""Compare request policies by completeness, at-most-once execution, balance and waiting."""

from argparse import ArgumentParser, Namespace
from collections import Counter

from msgspec import Struct

from bronzekeel.bench.base import Benchmark
from bronzekeel.bench.quantiles import quantile
from bronzekeel.bench.request_policies import (
    Choice,
    LeastOutstanding,
    BaselineSimulation,
    PolicyResult,
    RandomChoice,
    TwoChoices,
    ideal_queue,
)
from bronzekeel.bench.request_trials import (
    HOP_S,
    REQUEST_SCENARIOS,
    SLOTS,
    RequestScenario,
    RequestTrial,
)

_BALANCERS = 9
_P50 = 0.5
_P99 = 0.99
_MAX_ATTEMPTS = 1.2
_MAX_RATIO_CLEAN = 1.1
_MAX_RATIO_FAULTY = 1.5
_MAX_IMBALANCE_CLEAN = 1.05
_MAX_IMBALANCE_FAULTY = 1.15


class RequestFigures(Struct, frozen=True):
    """Results of one policy in one scenario; times are in seconds."""

    requests: int
    answered: int
    not_run: int
    unknown: int
    ran_twice: int
    not_run_but_ran: int
    without_outcome: int
    p50: float
    p99: float
    wait_p99: float
    p99_over_ideal: float
    wait_p99_over_ideal: float
    imbalance: float
    member_imbalance: float
    attempts_per_request: float
    sheds_per_request: float
    goodput_share: float


class RequestReport(Struct, frozen=True):
    """Results by scenario and policy, and the names of failed checks."""

    seed: int
    figures: dict[str, dict[str, RequestFigures]]
    failed: list[str]
    ok: bool


class RequestBenchmark(Benchmark):
    """Measures outcomes and waiting times by scenario and policy."""

    name = 'requests'
    summary = 'outcomes, waiting and balance of requests, by policy'

    def add_options(self, parser: ArgumentParser) -> None:
        """Add the seed and the choice of scenarios."""
        parser.add_argument('--seed', type=int, default=1)
        parser.add_argument('--scenario', action='append', default=[])

    def run(self, options: Namespace) -> RequestReport:
        """Run every selected scenario."""
        figures = {}
        failed = []
        for kind in REQUEST_SCENARIOS:
            if options.scenario and kind.name not in options.scenario:
                continue
            by_policy = _measure(kind(), options.seed)
            figures[kind.name] = by_policy
            failed.extend(_failures(kind(), by_policy['slot_keeper']))
        return RequestReport(options.seed, figures, failed, not failed)


def _measure(scenario: RequestScenario, seed: int) -> dict[str, RequestFigures]:
    trial = RequestTrial(seed, scenario.upstreams, scenario.weighs)
    scenario.play(trial)
    ideal = ideal_queue(trial.arrivals, scenario.upstreams * SLOTS, HOP_S)
    by_policy = {'slot_keeper': _keeper_figures(trial, ideal)}
    if scenario.faulty:
        return by_policy
    choices: dict[str, Choice] = {
        'random': RandomChoice(),
        'two_choices': TwoChoices(),
        'least_outstanding': LeastOutstanding(),
    }
    for name, choice in choices.items():
        policy = BaselineSimulation(choice, seed, scenario.upstreams, SLOTS, _BALANCERS, HOP_S)
        by_policy[name] = _baseline_figures(policy.play(trial.arrivals), ideal)
    return by_policy


def _keeper_figures(trial: RequestTrial, ideal: PolicyResult) -> RequestFigures:
    traffic = trial.traffic
    outcomes = traffic.outcomes()
    answered = [call for call in traffic.calls if call.outcome == 'answered']
    latencies = [call.ended_at - call.begun_at for call in answered]
    waits = [call.waited_s for call in answered]
    total = len(traffic.calls)
    lasting_s = max(at_s for at_s, _ in trial.arrivals)
    capacity = trial.upstreams * SLOTS * lasting_s
    return RequestFigures(
        requests=total,
        answered=outcomes['answered'],
        not_run=outcomes['not_run'],
        unknown=outcomes['unknown'],
        ran_twice=traffic.ran_twice,
        not_run_but_ran=traffic.not_run_but_ran,
        without_outcome=outcomes['none'],
        p50=_rounded(quantile(latencies, _P50)),
        p99=_rounded(quantile(latencies, _P99)),
        wait_p99=_rounded(quantile(waits, _P99)),
        p99_over_ideal=_p99_ratio(latencies, ideal.latencies),
        wait_p99_over_ideal=_p99_ratio(waits, ideal.waits),
        imbalance=_rounded(traffic.imbalance()),
        member_imbalance=_rounded(_member_imbalance(trial)),
        attempts_per_request=_rounded(traffic.attempts / total),
        sheds_per_request=_rounded(
            sum(item.shed for item in traffic.upstream_by_endpoint.values()) / total,
        ),
        goodput_share=_rounded(sum(call.work_s for call in answered) / capacity),
    )


def _member_imbalance(trial: RequestTrial) -> float:
    """Return the highest rate of requests per upstream of a member firm, over the mean."""
    ran: Counter[str] = Counter()
    sizes: Counter[str] = Counter()
    for upstream in trial.spec.upstreams:
        virtual = trial.traffic.upstream_by_endpoint[upstream.endpoint]
        ran[upstream.member] += sum(virtual.ran.values())
        sizes[upstream.member] += 1
    rates = [ran[member] / size for member, size in sizes.items()]
    return max(rates) * len(rates) / sum(rates) if sum(rates) else 0


def _baseline_figures(result: PolicyResult, ideal: PolicyResult) -> RequestFigures:
    total = len(result.latencies)
    counts = list(result.runs.values())
    attempts = _rounded(result.attempts / total)
    return RequestFigures(
        requests=total,
        answered=total,
        not_run=0,
        unknown=0,
        ran_twice=0,
        not_run_but_ran=0,
        without_outcome=0,
        p50=_rounded(quantile(result.latencies, _P50)),
        p99=_rounded(quantile(result.latencies, _P99)),
        wait_p99=_rounded(quantile(result.waits, _P99)),
        p99_over_ideal=_p99_ratio(result.latencies, ideal.latencies),
        wait_p99_over_ideal=_p99_ratio(result.waits, ideal.waits),
        imbalance=_rounded(max(counts) * len(counts) / sum(counts)),
        member_imbalance=0,
        attempts_per_request=attempts,
        sheds_per_request=_rounded(attempts - 1),
        goodput_share=1,
    )


def _p99_ratio(figures: list[float], ideal: list[float]) -> float:
    base = quantile(ideal, _P99)
    return _rounded(quantile(figures, _P99) / base) if base else 0


def _rounded(figure: float) -> float:
    return round(figure, 4)


def _failures(scenario: RequestScenario, figures: RequestFigures) -> list[str]:
    """Return the names of the checks that the slot keeper failed in a scenario."""
    imbalance = _MAX_IMBALANCE_FAULTY if scenario.faulty else _MAX_IMBALANCE_CLEAN
    ratio = _MAX_RATIO_FAULTY if scenario.faulty else _MAX_RATIO_CLEAN
    checks = {
        'ran_twice': not figures.ran_twice,
        'not_run_but_ran': not figures.not_run_but_ran,
        'without_outcome': not figures.without_outcome,
        'attempts_per_request': figures.attempts_per_request <= _MAX_ATTEMPTS,
        'imbalance': not scenario.compares_balance or figures.imbalance <= imbalance,
        'p99_over_ideal': not scenario.compares_latency or figures.p99_over_ideal <= ratio,
    }
    return [f'{scenario.name}.{name}' for name, passed in checks.items() if not passed]
