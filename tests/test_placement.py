"""Test where new flows go, by replay of the loads that the rules are made for."""

from argparse import Namespace
from unittest import TestCase

from bronzekeel.bench.placement import (
    Burst,
    Calm,
    CentreShort,
    Moment,
    PlacementFigures,
    SlowUpstream,
    played,
)
from bronzekeel.bench.placement_policies import OwnSight, Summed
from bronzekeel.core.routing.directory import Directory
from bronzekeel.core.routing.placement import FAR_LOAD, LeastBusy, Placement, load_of
from bronzekeel.core.routing.shared_load import note_busy_elsewhere
from tests.routing_cases import entry


_MANY_HOSTS = 12


def _played(
    moment: Moment,
    policy: type[Placement] = LeastBusy,
    hosts: int = 3,
    upstreams: int = 3,
) -> PlacementFigures:
    return played(moment, policy, Namespace(seed=1, hosts=hosts, upstreams=upstreams))


class WorstMomentsTest(TestCase):
    """What callers feel while load is at its worst."""

    def test_many_hosts_do_not_rush_to_one_upstream(self) -> None:
        """Symptom: in a burst callers wait for seconds while upstreams idle.

        Sequence: thirty-six balancers; single requests triple for three seconds.
        Cause: adding up what peers saw a heartbeat ago: all take the same upstream
        for the least busy.
        """
        added_up = _played(Burst(), Summed, _MANY_HOSTS, 8)
        self.assertGreater(added_up.late_share, 0.05)
        product = _played(Burst(), hosts=_MANY_HOSTS, upstreams=8)
        self.assertLess(product.late_share, 0.005)
        self.assertLess(product.copy_share, 0.003)

    def test_a_slow_upstream_gets_less(self) -> None:
        """Symptom: callers wait for an upstream that works five times slower.

        Sequence: one of nine upstreams turns slow for six seconds.
        Cause: a balancer that sees a twelfth of the flows can't tell by itself.
        """
        alone = _played(SlowUpstream(), OwnSight, _MANY_HOSTS)
        product = _played(SlowUpstream(), hosts=_MANY_HOSTS)
        self.assertLess(product.late_share, alone.late_share)

    def test_a_data_centre_that_is_short_uses_others(self) -> None:
        """Symptom: callers of one data centre wait while others idle.

        Sequence: all upstreams of a data centre but one leave.
        Cause: staying at home whatever it costs.
        """
        self.assertLess(_played(CentreShort()).late_share, 0.02)

    def test_equal_upstreams_get_equal_work(self) -> None:
        """Symptom: one member firm's upstream works a fifth more than another's.

        Sequence: usual load, long feeds beside single requests.
        Cause: counting open flows, of which some ask much and some little.
        """
        self.assertLess(_played(Calm()).imbalance, 1.15)

    def test_a_seed_gives_the_same_figures(self) -> None:
        """A replay is the same each time."""
        self.assertEqual(_played(Burst()), _played(Burst()))


class SharedLoadTest(TestCase):
    """What peers tell, per slot."""

    def test_usual_differences_do_not_count(self) -> None:
        """All upstreams that are about equally busy have the same shared load."""
        loads = self._loads({1: 2, 2: 3, 3: 4})
        self.assertEqual(1, len(set(loads)))
        self.assertAlmostEqual(1, loads[0])

    def test_one_far_beyond_the_others_is_singled_out(self) -> None:
        """A slow or grey upstream gathers requests; the others keep the mean."""
        loads = self._loads({1: 12, 2: 1, 3: 1})
        self.assertGreater(loads[0], loads[1] + 1)
        self.assertEqual(loads[1], loads[2])

    def test_an_upstream_alone_has_nobody_to_compare_with(self) -> None:
        """Its load is the mean, and decides whether another data centre is better."""
        loads = self._loads({1: 12})
        self.assertAlmostEqual(4, loads[0])
        self.assertGreater(loads[0], FAR_LOAD)

    def _loads(self, busy_by_number: dict[int, int]) -> list[float]:
        directory = Directory()
        for number in busy_by_number:
            directory.take(entry(number), 0)
        note_busy_elsewhere(directory, busy_by_number)
        alone = load_of(directory.by_name[entry(1).name], 1) - 1 / 3
        self.assertAlmostEqual(directory.by_name[entry(1).name].shared_load, alone)
        return [upstream.shared_load for upstream in directory.by_name.values()]
