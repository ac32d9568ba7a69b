"""Test the placement of new flows, by replay of the loads that the policies are designed for."""

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


def _run(
    moment: Moment,
    policy: type[Placement] = LeastBusy,
    hosts: int = 3,
    upstreams: int = 3,
    lasting_s: float = 12,
) -> PlacementFigures:
    moment.lasting_s = lasting_s
    return run_moment(moment, FleetPolicies(placement_of=policy), 1, hosts, upstreams)


class AdverseMomentsTest(TestCase):
    """Latency and balance in adverse moments."""

    def test_many_hosts_do_not_overload_one_upstream(self) -> None:
        """Guards against callers that wait for seconds in a burst while upstreams are idle.

        The rate of single requests triples for three seconds at thirty-six balancers.  If each
        adds up the counts that peers reported one heartbeat ago, all of them choose the same
        upstream as the least busy.
        """
        summed = _run(Burst(), SummedCounts, _MANY_HOSTS, 8)
        self.assertGreater(summed.late_share, 0.05)
        product = _run(Burst(), hosts=_MANY_HOSTS, upstreams=8)
        self.assertLess(product.late_share, 0.005)
        self.assertLess(product.copy_share, 0.003)

    def test_a_slow_upstream_gets_less(self) -> None:
        """Guards against callers that wait for an upstream that is five times slower.

        One of nine upstreams slows down for six seconds.  A balancer with a twelfth of the
        flows cannot detect it by its own counts.
        """
        alone = _run(SlowUpstream(), OwnCountsOnly, _MANY_HOSTS)
        product = _run(SlowUpstream(), hosts=_MANY_HOSTS)
        self.assertLess(product.late_share, alone.late_share)

    def test_a_data_centre_that_is_short_uses_others(self) -> None:
        """Guards against callers of one data centre that wait while others are idle.

        All but one of the upstreams of a data centre leave; new flows must not all stay local.
        """
        self.assertLess(_run(CentreShort()).late_share, 0.02)

    def test_equal_upstreams_get_equal_work(self) -> None:
        """Guards against one upstream that does a fifth more work than another.

        Long feeds and single requests are mixed at base load.  Counting open flows would
        ignore that some cause much work and some little.
        """
        self.assertLess(_run(Calm()).imbalance, 1.15)

    def test_work_stays_equal_with_uneven_callers(self) -> None:
        """Guards against upstreams of one data centre that do twice the work of all others.

        The callers of that data centre send half of all requests.  The flows must not all stay
        local where `weighs` gives priority to equal work.
        """
        local = _run(Uneven(), lasting_s=40)
        self.assertGreater(local.imbalance, 1.4)
        self.assertLess(_run(Uneven(), EqualWork, lasting_s=40).imbalance, 1.1)

    def test_every_policy_runs_in_every_moment(self) -> None:
        """Guards against a `bench placement` that raises an error instead of printing figures.

        Policies that the product does not use must run in every moment, too.
        """
        for kind in (*MOMENTS, *DEMAND_MOMENTS):
            for name, policies in POLICIES.items():
                with self.subTest(moment=kind.name, policy=name):
                    moment = kind()
                    moment.lasting_s = 6 if kind in DEMAND_MOMENTS else moment.lasting_s
                    small = run_moment(moment, policies, hosts=1, upstreams=1)
                    self.assertGreater(small.requests, 0)

    def test_a_seed_gives_the_same_figures(self) -> None:
        """A replay is deterministic."""
        self.assertEqual(_run(Burst()), _run(Burst()))


class SharedLoadTest(TestCase):
    """Load per slot by the counts that peers report."""

    def test_small_differences_do_not_count(self) -> None:
        """Upstreams that are about equally busy have no shared load."""
        self.assertEqual([0, 0, 0], self._loads({1: 2, 2: 3, 3: 4}))

    def test_an_outlier_has_shared_load(self) -> None:
        """Requests accumulate at a slow upstream; the others have no shared load."""
        loads = self._loads({1: 12, 2: 1, 3: 1})
        self.assertGreater(loads[0], loads[1] + 1)
        self.assertEqual([0, 0], loads[1:])

    def test_a_single_upstream_has_no_shared_load(self) -> None:
        """Admission decides whether another data centre is better."""
        self.assertEqual([0], self._loads({1: 12}))

    def test_load_that_peers_no_longer_report_is_removed(self) -> None:
        """Guards against an upstream that counts as busy forever.

        Peers report requests in progress and then none.  The update must also cover upstreams
        that are missing from the latest reports.
        """
        directory = Directory()
        directory.apply(entry(1), 0)
        shared = SharedLoads()
        shared.note(directory, {entry(1).short_number: 6})
        self.assertEqual(6, directory.by_name[entry(1).name].busy_at_peers)
        shared.note(directory, {})
        self.assertEqual(0, directory.by_name[entry(1).name].busy_at_peers)
        self.assertEqual(0, directory.by_name[entry(1).name].shared_load)

    def _loads(self, busy_by_number: dict[int, int]) -> list[float]:
        directory = Directory()
        for number in busy_by_number:
            directory.apply(entry(number), 0)
        by_short = {entry(number).short_number: busy for number, busy in busy_by_number.items()}
        SharedLoads().note(directory, by_short)
        alone = load_of(directory.by_name[entry(1).name], 1) - 1 / 3
        self.assertAlmostEqual(directory.by_name[entry(1).name].shared_load, alone)
        return [upstream.shared_load for upstream in directory.by_name.values()]


def _shares(local_centre: str, rate_by_centre: dict[str, float]) -> dict[str, float]:
    return shares_of(
        local_centre, {'a': 6, 'b': 6, 'c': 9}, rate_by_centre, EqualWork.tolerated_ratio
    )


class SharesTest(TestCase):
    """Share of the flows that is sent to remote data centres."""

    def test_demand_within_the_share_stays_local(self) -> None:
        """Differences within the tolerance for the busiest upstream are not balanced."""
        self.assertEqual({}, _shares('a', {'a': 62, 'b': 58, 'c': 90}))

    def test_demand_above_the_share_goes_to_remote_centres(self) -> None:
        """The mean is 10 per slot: a is 60 above its share, b 20 below and c 40 below."""
        shares = _shares('a', {'a': 120, 'b': 40, 'c': 50})
        self.assertAlmostEqual(1 / 2, sum(shares.values()))
        self.assertAlmostEqual(2, shares['c'] / shares['b'])
        self.assertEqual({}, _shares('b', {'a': 120, 'b': 40, 'c': 50}))

    def test_chance_is_not_balanced(self) -> None:
        """Guards against flows that move back and forth between data centres at night.

        At a few requests per second, random variation must not count as a difference.
        """
        self.assertEqual({}, _shares('a', {'a': 12, 'b': 1, 'c': 1}))

    def test_a_single_data_centre_keeps_all(self) -> None:
        """Guards against an error at each tick that stops balancing.

        Only one data centre has upstreams of the service, and by rounding its rate slightly
        exceeds the mean times its slots.  The free capacity of the others, which is zero, must
        not become a divisor.
        """
        for slots in range(1, 50):
            for rate in range(20, 60):
                shares = shares_of('a', {'a': slots}, {'a': rate / 0.7}, 1)
                self.assertEqual({}, shares)

    def test_an_unreachable_data_centre_gets_nothing(self) -> None:
        """Guards against flows that are sent into a network partition.

        A data centre with free capacity is cut off; its earlier reports must not be used.
        """
        shares = _shares('a', {'a': 120, 'c': 50})
        self.assertEqual({'c'}, set(shares))

    def test_load_within_capacity_stays_local(self) -> None:
        """Guards against traffic between data centres while no request waits.

        A data centre's demand is twice its share, first with idle upstreams, then with busy
        ones, then after sharing has reduced their load.  Sharing must begin only when they are
        busy, and must not end just because it has reduced the load.
        """
        balance = Balance()
        balance.min_sharing_load = 0.8
        shares = (FlowShare('portal', 'b', 0.4),)
        balance.adopt_strained(shares, {'portal': 0.3})
        self.assertEqual((), balance.shares)
        balance.adopt_strained(shares, {'portal': 0.9})
        self.assertEqual(1, len(balance.shares))
        balance.adopt_strained(shares, {'portal': 0.3})
        self.assertEqual(1, len(balance.shares))
        balance.adopt_strained((), {'portal': 0.9})
        self.assertEqual((), balance.shares)

    def test_flows_follow_the_shares(self) -> None:
        """Two of ten flows go to the other data centre."""
        balance = Balance()
        balance.adopt((FlowShare('portal', 'b', 0.2),))
        gone = 0
        for _ in range(50):
            centre = balance.centre_of_next('portal')
            gone += centre == 'b'
            balance.note_placed('portal', centre or 'a')
        self.assertEqual(10, gone)
