"""Test where new flows go, by replay of the loads that the rules are made for."""

from unittest import TestCase

from bronzekeel.bench.demand_moments import DEMAND_MOMENTS
from bronzekeel.bench.load_figures import PlacementFigures
from bronzekeel.bench.load_moments import (
    MOMENTS,
    Burst,
    Calm,
    CentreShort,
    Moment,
    SlowUpstream,
    Uneven,
)
from bronzekeel.bench.load_policies import POLICIES
from bronzekeel.bench.placement import run_moment
from bronzekeel.bench.placement_policies import OwnCountsOnly, SummedCounts
from bronzekeel.core.routing.balance import Balance, shares_of
from bronzekeel.core.routing.directory import Directory
from bronzekeel.core.routing.messages import FlowShare
from bronzekeel.core.routing.placement import EqualWork, LeastBusy, Placement, load_of
from bronzekeel.core.routing.shared_load import SharedLoads
from bronzekeel.replay.routing_fleet import FleetPolicies
from tests.routing_cases import entry


_MANY_HOSTS = 12


def _played(
    moment: Moment,
    policy: type[Placement] = LeastBusy,
    hosts: int = 3,
    upstreams: int = 3,
    lasting_s: float = 12,
) -> PlacementFigures:
    moment.lasting_s = lasting_s
    return run_moment(moment, FleetPolicies(placement_of=policy), 1, hosts, upstreams)


class WorstMomentsTest(TestCase):
    """What callers feel while load is at its worst."""

    def test_many_hosts_do_not_rush_to_one_upstream(self) -> None:
        """Symptom: in a burst callers wait for seconds while upstreams idle.

        Sequence: thirty-six balancers; single requests triple for three seconds.
        Cause: adding up what peers saw a heartbeat ago: all take the same upstream
        for the least busy.
        """
        added_up = _played(Burst(), SummedCounts, _MANY_HOSTS, 8)
        self.assertGreater(added_up.late_share, 0.05)
        product = _played(Burst(), hosts=_MANY_HOSTS, upstreams=8)
        self.assertLess(product.late_share, 0.005)
        self.assertLess(product.copy_share, 0.003)

    def test_a_slow_upstream_gets_less(self) -> None:
        """Symptom: callers wait for an upstream that works five times slower.

        Sequence: one of nine upstreams turns slow for six seconds.
        Cause: a balancer that sees a twelfth of the flows can't tell by itself.
        """
        alone = _played(SlowUpstream(), OwnCountsOnly, _MANY_HOSTS)
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

    def test_callers_elsewhere_make_no_unequal_work(self) -> None:
        """Symptom: upstreams of one data centre work twice as much as all others.

        Sequence: its callers ask for half of everything.
        Cause: keeping all flows at home, where `weighs` puts equal work first.
        """
        at_home = _played(Uneven(), lasting_s=40)
        self.assertGreater(at_home.imbalance, 1.4)
        self.assertLess(_played(Uneven(), EqualWork, lasting_s=40).imbalance, 1.1)

    def test_every_policy_can_be_played_at_every_moment(self) -> None:
        """Symptom: `bench placement` ends with a fault instead of figures.

        Sequence: a policy that was weighed and not chosen is played.
        Cause: testing the chosen ones only.
        """
        for kind in (*MOMENTS, *DEMAND_MOMENTS):
            for name, policies in POLICIES.items():
                with self.subTest(moment=kind.name, policy=name):
                    moment = kind()
                    moment.lasting_s = 6 if kind in DEMAND_MOMENTS else moment.lasting_s
                    small = run_moment(moment, policies, hosts=1, upstreams=1)
                    self.assertGreater(small.requests, 0)

    def test_a_seed_gives_the_same_figures(self) -> None:
        """A replay is the same each time."""
        self.assertEqual(_played(Burst()), _played(Burst()))


class SharedLoadTest(TestCase):
    """What peers tell, per slot."""

    def test_usual_differences_do_not_count(self) -> None:
        """Upstreams that are about equally busy have no shared load."""
        self.assertEqual([0, 0, 0], self._loads({1: 2, 2: 3, 3: 4}))

    def test_one_far_beyond_the_others_is_singled_out(self) -> None:
        """A slow or grey upstream gathers requests; the others have no shared load."""
        loads = self._loads({1: 12, 2: 1, 3: 1})
        self.assertGreater(loads[0], loads[1] + 1)
        self.assertEqual([0, 0], loads[1:])

    def test_an_upstream_alone_has_nobody_to_compare_with(self) -> None:
        """Whether another data centre is better is for admission to say."""
        self.assertEqual([0], self._loads({1: 12}))

    def test_what_peers_no_longer_tell_is_forgotten(self) -> None:
        """Symptom: an upstream passes for busy for ever.

        Sequence: peers tell of requests in progress, then of none.
        Cause: looking only at the upstreams that peers tell of now.
        """
        directory = Directory()
        directory.take(entry(1), 0)
        shared = SharedLoads()
        shared.note(directory, {entry(1).short_number: 6})
        self.assertEqual(6, directory.by_name[entry(1).name].busy_elsewhere)
        shared.note(directory, {})
        self.assertEqual(0, directory.by_name[entry(1).name].busy_elsewhere)
        self.assertEqual(0, directory.by_name[entry(1).name].shared_load)

    def _loads(self, busy_by_number: dict[int, int]) -> list[float]:
        directory = Directory()
        for number in busy_by_number:
            directory.take(entry(number), 0)
        by_short = {entry(number).short_number: busy for number, busy in busy_by_number.items()}
        SharedLoads().note(directory, by_short)
        alone = load_of(directory.by_name[entry(1).name], 1) - 1 / 3
        self.assertAlmostEqual(directory.by_name[entry(1).name].shared_load, alone)
        return [upstream.shared_load for upstream in directory.by_name.values()]


def _shares(local_centre: str, rate_by_centre: dict[str, float]) -> dict[str, float]:
    return shares_of(local_centre, {'a': 6, 'b': 6, 'c': 9}, rate_by_centre, EqualWork.tolerated)


class SharesTest(TestCase):
    """Which share of the flows goes elsewhere."""

    def test_who_asks_for_its_share_keeps_all(self) -> None:
        """Differences within the bound on the busiest upstream stay."""
        self.assertEqual({}, _shares('a', {'a': 62, 'b': 58, 'c': 90}))

    def test_who_asks_for_more_sends_the_rest_elsewhere(self) -> None:
        """The mean is 10 a slot: a is 60 above, b 20 below, c 40."""
        shares = _shares('a', {'a': 120, 'b': 40, 'c': 50})
        self.assertAlmostEqual(1 / 2, sum(shares.values()))
        self.assertAlmostEqual(2, shares['c'] / shares['b'])
        self.assertEqual({}, _shares('b', {'a': 120, 'b': 40, 'c': 50}))

    def test_chance_is_not_balanced(self) -> None:
        """Symptom: flows go to and fro at night.

        Sequence: a handful of requests a second.
        Cause: taking chance for a difference.
        """
        self.assertEqual({}, _shares('a', {'a': 12, 'b': 1, 'c': 1}))

    def test_a_data_centre_alone_keeps_all(self) -> None:
        """Symptom: a fault is logged at each tick, and nothing is shared out.

        Sequence: no other data centre has upstreams of a service; the mean of one data
        centre, times its slots, is a little less than its rate by rounding.
        Cause: dividing by the room that others have, where nobody has any.
        """
        for slots in range(1, 50):
            for rate in range(20, 60):
                shares = shares_of('a', {'a': slots}, {'a': rate / 0.7}, 1)
                self.assertEqual({}, shares)

    def test_a_data_centre_that_is_not_heard_gets_nothing(self) -> None:
        """Symptom: flows are sent into a cut.

        Sequence: a data centre with room is cut off.
        Cause: going by what it told before.
        """
        shares = _shares('a', {'a': 120, 'c': 50})
        self.assertEqual({'c'}, set(shares))

    def test_a_data_centre_that_bears_its_load_keeps_it(self) -> None:
        """Symptom: bytes cross data centres though nobody waits.

        Sequence: a data centre asks for twice its share while upstreams idle; then
        they are busy; then sharing out has taken the load away.
        Cause: going by shares of the requests alone, or by the load of the moment.
        """
        balance = Balance()
        balance.bearable = 0.8
        shares = (FlowShare('portal', 'b', 0.4),)
        balance.settle(shares, {'portal': 0.3})
        self.assertEqual((), balance.shares)
        balance.settle(shares, {'portal': 0.9})
        self.assertEqual(1, len(balance.shares))
        balance.settle(shares, {'portal': 0.3})
        self.assertEqual(1, len(balance.shares))
        balance.settle((), {'portal': 0.9})
        self.assertEqual((), balance.shares)

    def test_flows_go_where_the_shares_say(self) -> None:
        """Two of ten flows go to the other data centre."""
        balance = Balance()
        balance.adopt((FlowShare('portal', 'b', 0.2),))
        gone = 0
        for _ in range(50):
            centre = balance.centre_of_next('portal')
            gone += centre == 'b'
            balance.note_placed('portal', centre or 'a')
        self.assertEqual(10, gone)
