"""Count the flows that planned changes and failures break, by steering policy."""

from argparse import ArgumentParser, Namespace

from msgspec import Struct

from bronzekeel.bench.base import Benchmark
from bronzekeel.bench.flow_trials import SCENARIOS, FlowFigures, Scenario, Trial

STEERING_POLICIES = ('hash', 'tables', 'on_sight', 'no_copies', 'keeper')


class FlowReport(Struct, frozen=True):
    """Results by scenario and steering policy."""

    flows: int
    seed: int
    figures: dict[str, dict[str, FlowFigures]]
    ok: bool


class FlowBenchmark(Benchmark):
    """Counts broken flows for each scenario and steering policy."""

    name = 'flows'
    summary = 'broken flows under changes and failures, by steering policy'

    def add_options(self, parser: ArgumentParser) -> None:
        """Add the number of flows, the seed, and the choice of scenarios and policies."""
        parser.add_argument('--flows', type=int, default=3000)
        parser.add_argument('--seed', type=int, default=1)
        parser.add_argument('--scenario', action='append', default=[])
        parser.add_argument('--way', action='append', default=[], choices=STEERING_POLICIES)

    def run(self, options: Namespace) -> FlowReport:
        """Run every selected scenario with every selected policy."""
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
    """Return whether the keeper met its guarantees in a scenario.

    It never delivers a packet to the wrong upstream, and planned changes break no flow.
    """
    figures = by_policy.get('keeper')
    if figures is None:
        return True
    if figures.misdelivered:
        return False
    return not scenario.planned or not figures.broken
