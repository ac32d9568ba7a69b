"""Replay planned changes and failures on all ways of steering weighed."""

from argparse import ArgumentParser, Namespace

from msgspec import Struct

from bronzekeel.bench.base import Benchmark
from bronzekeel.bench.flow_trials import SCENARIOS, FlowFigures, Scenario, Trial

STEERING_POLICIES = ('hash', 'tables', 'on_sight', 'no_copies', 'keeper')


class FlowReport(Struct, frozen=True):
    """Hold the figures by scenario and way."""

    flows: int
    seed: int
    figures: dict[str, dict[str, FlowFigures]]
    ok: bool


class FlowBenchmark(Benchmark):
    """Count broken flows per scenario and way."""

    name = 'flows'
    summary = 'broken flows under change and failure, on all ways weighed'

    def add_options(self, parser: ArgumentParser) -> None:
        """Offer size, seed and choice."""
        parser.add_argument('--flows', type=int, default=3000)
        parser.add_argument('--seed', type=int, default=1)
        parser.add_argument('--scenario', action='append', default=[])
        parser.add_argument('--way', action='append', default=[], choices=STEERING_POLICIES)

    def run(self, options: Namespace) -> FlowReport:
        """Play every scenario on every way."""
        policies = tuple(options.way) or STEERING_POLICIES
        figures: dict[str, dict[str, FlowFigures]] = {}
        passed = True
        for kind in SCENARIOS:
            if options.scenario and kind.name not in options.scenario:
                continue
            scenario = kind()
            by_policy = {}
            for policy in policies:
                by_policy[policy] = _measure(scenario, policy, options)
            figures[kind.name] = by_policy
            passed = passed and _passes(scenario, by_policy)
        return FlowReport(options.flows, options.seed, figures, passed)


def _measure(scenario: Scenario, policy: str, options: Namespace) -> FlowFigures:
    trial = Trial(policy, options.seed, options.flows)
    scenario.play(trial)
    return trial.figures()


def _passes(scenario: Scenario, by_policy: dict[str, FlowFigures]) -> bool:
    """Return whether the keeper kept the promises in a scenario."""
    figures = by_policy.get('keeper')
    if figures is None:
        return True
    if figures.misdelivered:
        return False
    return not scenario.planned or not figures.broken
