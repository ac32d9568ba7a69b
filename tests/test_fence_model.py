"""Explore interleavings of changes, pauses, stops and traffic on a small fleet.

Guards against flows that are reset because their packets reach an upstream that
never received their SYN.  This happens when a balancer forwards by a register
that its keeper has changed and acted on already.  Hypothesis searches for such
a sequence.
"""

from typing import Any
from unittest import TestCase

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from tests.fleets import catalogue, hosts, lag_views, portal, started_fleet

# Hypothesis seeds the exploration with the source of the machines, so a change of
# their names or doc strings explores other sequences.
_EXPLORE = settings(
    max_examples=12,
    stateful_step_count=12,
    derandomize=True,
    database=None,
    deadline=None,
    phases=(Phase.generate,),
    suppress_health_check=tuple(HealthCheck),
)
_NAMES = tuple(host.name for host in hosts())


class FenceMachine(RuleBasedStateMachine):
    """Let things happen in any order; planned ones may break no flow."""

    fenced = True

    def __init__(self) -> None:
        """Start a fleet with few buckets, so that every change meets traffic."""
        super().__init__()
        fleet, traffic = started_fleet(spec=portal(3, buckets=32))
        self.fleet = fleet
        self.traffic = traffic
        for node in self.fleet.running:
            node.state.steering.fenced = self.fenced
        lag_views(self.fleet)
        self.generation = 1
        self.traffic.open(300, over_s=40, packets=60, every_s=0.4)

    @rule(upstreams=st.integers(2, 5), draining=st.integers(0, 5))
    def change_text(self, upstreams: int, draining: int) -> None:
        """Submit a text."""
        self.generation += 1
        spec = portal(upstreams, draining=(draining,), buckets=32)
        if spec.active:
            self.fleet.submit(catalogue(self.generation, spec))

    @rule(name=st.sampled_from(_NAMES), lag_s=st.floats(0, 2))
    def lag(self, name: str, lag_s: float) -> None:
        """Let one balancer hear of changes late."""
        self.fleet.by_name[name].view_lag_s = lag_s

    @rule(name=st.sampled_from(_NAMES), duration_s=st.floats(0.1, 3))
    def pause(self, name: str, duration_s: float) -> None:
        """Pause a process, for less than it takes to be given up."""
        self.fleet.pause(name, duration_s)

    @rule(duration_s=st.floats(0.05, 4))
    def wait(self, duration_s: float) -> None:
        """Let time pass."""
        self.fleet.run(duration_s)

    @rule(name=st.sampled_from(_NAMES))
    def replace(self, name: str) -> None:
        """Stop a balancer in the planned way and start a fresh one."""
        node = self.fleet.by_name[name]
        self.fleet.run(4)
        self.fleet.stop(name)
        self.fleet.run(12)
        if not node.dead:
            return
        self.fleet.unlist(name)
        fresh = self.fleet.start(node.state.members.me)
        fresh.state.steering.fenced = self.fenced
        self.fleet.run(8)

    @invariant()
    def no_flow_is_broken(self) -> None:
        """Check the promise."""
        broken = self.traffic.broken
        if broken:
            raise AssertionError(f'{broken} flows broken')


class UnfencedMachine(FenceMachine):
    """Act on a change at sight."""

    fenced = False


class FenceTest(TestCase):
    """Explore with and without the fence."""

    def test_fence_holds_in_all_interleavings(self) -> None:
        """No interleaving breaks a flow."""
        _run(FenceMachine)

    def test_fault_is_found_without_the_fence(self) -> None:
        """The same exploration finds a broken flow if the fence is disabled."""
        with self.assertRaises(AssertionError):
            _run(UnfencedMachine)


def _run(machine: Any) -> None:
    run_state_machine_as_test(machine, settings=_EXPLORE)
