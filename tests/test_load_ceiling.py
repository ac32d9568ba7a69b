"""Test the omniscient scheduler, and the replays of moments of uneven demand."""

from statistics import fmean
from unittest import TestCase

from bronzekeel.bench.demand_moments import (
    AMEND,
    DEMAND_MOMENTS,
    WATCH,
    ChangingSpeed,
    LongTail,
    MovedCallers,
    SingleCallerSurge,
    Unequal,
)
from bronzekeel.bench.load_ceiling import OracleScheduler
from bronzekeel.bench.load_moments import MOMENTS, Moment
from bronzekeel.bench.placement import build_moment_load
from bronzekeel.core.routing.demand_control import DemandControl
from bronzekeel.core.routing.model import RoutingText
from bronzekeel.replay.flow_load import CENTRES, FlowLoad
from bronzekeel.replay.load_callers import Arrival, RequestKind, Tally
from bronzekeel.replay.load_servers import Slot
from bronzekeel.replay.routing_fleet import FleetPolicies


_ALWAYS = float('inf')
_NO_OUTAGE: tuple[float, float] = (0, 0)
_KIND = RequestKind('asked', b'', target_s=0.2, timeout_s=1, late_worth=0.25)
_SECONDS = 6


def _earned(
    slots: list[Slot],
    arrival_times: list[tuple[float, float]],
    outage_interval: tuple[float, float] = _NO_OUTAGE,
    kind: RequestKind = _KIND,
) -> float:
    arrivals = [Arrival(*pair) for pair in arrival_times]
    return OracleScheduler(slots, 0, outage_interval).earned_value([Tally(kind, arrivals)])


def _slot(speed: float = 1) -> Slot:
    return Slot(0, _ALWAYS, ((0, speed),))


class OracleSchedulerTest(TestCase):
    """Value earned by one queue that knows the state of every slot."""

    def test_one_slot_serves_one_after_the_other(self) -> None:
        """The second request is in time, the third is late."""
        self.assertEqual(2.25, _earned([_slot()], [(0, 0.1), (0, 0.1), (0, 0.1)]))

    def test_a_slow_slot_takes_longer(self) -> None:
        """Guards against a ceiling that is higher than the capacity of the upstreams.

        It was too high when every slot was assumed to be equally fast, although one slot ran at
        half the speed of the others.
        """
        self.assertEqual(1, _earned([_slot(0.5)], [(0, 0.1)]))
        self.assertEqual(0.25, _earned([_slot(0.5)], [(0, 0.11)]))

    def test_the_fastest_free_slot_is_used_first(self) -> None:
        """Guards against policies that earn more than the ceiling.

        They could when a slow and a fast slot were free and the scheduler used either one.
        """
        for slots in ([_slot(0.5), _slot(1)], [_slot(1), _slot(0.5)]):
            self.assertEqual(1, _earned(slots, [(0, 0.2)]))
            self.assertEqual(1.25, _earned(slots, [(0, 0.2), (0, 0.2)]))

    def test_a_change_of_speed_counts_from_then_on(self) -> None:
        """A request runs at the speed that its slot has when it begins."""
        slot = Slot(0, _ALWAYS, ((0, 1), (1, 0.5)))
        self.assertEqual(1, _earned([slot], [(0.9, 0.2)]))
        self.assertEqual(0.25, _earned([slot], [(1.1, 0.2)]))

    def test_no_request_begins_before_its_arrival(self) -> None:
        """Guards against a ceiling that is too high in moments with an outage of all balancers.

        Two requests arrive during the outage and two slots are free.  The second request must
        begin after the outage, not at the time its slot became free.
        """
        arrival_times = [(0, 0.1), (0, 0.1)]
        self.assertEqual(0.5, _earned([_slot(), _slot()], arrival_times, outage_interval=(0, 0.3)))

    def test_an_ended_slot_serves_nothing(self) -> None:
        """A slot finishes a request that it has begun, and begins none after its end."""
        slot = Slot(0, 0.05, ((0, 1),))
        self.assertEqual(1, _earned([slot], [(0, 0.1), (0, 0.1)]))
        self.assertEqual(0, _earned([slot], [(0.06, 0.1)]))

    def test_expired_requests_earn_nothing(self) -> None:
        """A request that could not begin before its timeout earns nothing."""
        self.assertEqual(0.25, _earned([_slot()], [(0, 1.1), (0, 0.1)][:1]))
        self.assertEqual(1, _earned([_slot()], [(0, 0.1), (0, 2)][:1]))


class FlowAffinityTest(TestCase):
    """Value earned by the same queue with flow affinity."""

    def test_a_request_on_an_open_flow_waits_for_its_server(self) -> None:
        """It does not run on a free slot of another server."""
        on_a_flow = [Arrival(0, 0.15, 'a'), Arrival(0, 0.15, 'a')]
        self.assertEqual(1.25, self._earned(on_a_flow))
        self.assertEqual(2, self._earned([Arrival(0, 0.15, 'a'), Arrival(0, 0.15)]))

    def test_flows_of_a_lost_server_run_on_other_servers(self) -> None:
        """Guards against policies that earn more than this ceiling.

        They could when an upstream became unresponsive and callers reopened their flows on
        other upstreams, while the scheduler let requests wait for the lost server.
        """
        arrivals = [Arrival(1, 0.1, 'gone')]
        self.assertEqual(1, self._earned(arrivals))

    def test_requests_that_wait_too_long_earn_nothing(self) -> None:
        """Guards against an endless loop in the scheduler.

        One server is busy for longer than the callers' timeout while others are idle; the
        scheduler kept selecting the same free slot, which had no eligible request.
        """
        arrivals = [Arrival(0, 3, 'a'), Arrival(0.1, 0.1, 'a')]
        self.assertEqual(0.25, self._earned(arrivals[:1]))
        self.assertEqual(1.25, self._earned([*arrivals, Arrival(5, 0.1, 'b')][::2]))
        self.assertEqual(0.25, self._earned([Arrival(0, 3, 'a'), Arrival(0, 4, 'a')]))

    def _earned(self, arrivals: list[Arrival]) -> float:
        slots = [Slot(0, _ALWAYS, server=name) for name in ('a', 'b')]
        slots.append(Slot(0, 0.5, server='gone'))
        oracle = OracleScheduler(slots, 0, _NO_OUTAGE, flow_affinity=True)
        return oracle.earned_value([Tally(_KIND, arrivals)])


class DemandMomentsTest(TestCase):
    """Load of the moments of uneven demand."""

    def test_demand_control_covers_only_these_moments(self) -> None:
        """Guards against figures of a moment that don't cover demand control.

        Demand control is active only for routes with an objective.  Kinds of requests in the
        moments of uneven demand must state one, and those in the other moments must not.
        """
        control = DemandControl()
        for moment in DEMAND_MOMENTS:
            self.assertTrue(control.covers(_text_of(_loaded(moment()))))
        for moment in MOMENTS:
            self.assertFalse(control.covers(_text_of(_loaded(moment()))))

    def test_most_requests_are_on_open_flows(self) -> None:
        """Requests that open a flow each are about a tenth."""
        load = _run_to_end(Unequal())
        count_by_kind = {name: len(tally.arrivals) for name, tally in load.tally_by_kind.items()}
        self.assertGreater(
            count_by_kind[WATCH.name] + count_by_kind[AMEND.name], sum(count_by_kind.values()) * 0.8
        )
        self.assertLess(load.callers.opened, sum(count_by_kind.values()) * 0.5)

    def test_a_slow_upstream_works_longer(self) -> None:
        """One in four upstreams takes more than twice as long for the same request."""
        load = _loaded(Unequal())
        speeds = [server.speed for server in load.server_by_name.values()]
        self.assertEqual([0.55, 1.2, 1.2, 1.2, 0.55, 1.2, 1.2, 1.2, 0.55], speeds)
        ended_at: list[float] = []

        def note(ran: bool) -> None:  # noqa: FBT001, WPS430 (called by servers; records times)
            ended_at.append(load.elapsed_s)

        for server in load.server_by_name.values():
            server.serve(0.11, note)
        load.fleet.run(0.15)
        self.assertEqual(6, len(ended_at))
        load.fleet.run(0.06)
        self.assertEqual(9, len(ended_at))

    def test_speed_changes_and_returns(self) -> None:
        """The slots that the scheduler sees record each change of speed."""
        load = _loaded(ChangingSpeed())
        load.fleet.run(5)
        self.assertAlmostEqual(14, load.capacity)
        load.fleet.run(6)
        self.assertAlmostEqual(18, load.capacity)
        slow = load.slots[0]
        speeds = [slow.speed_at(at_s) for at_s in (0, 5, 11)]
        self.assertEqual([1, 1 / 3, 1], speeds)

    def test_some_requests_take_seven_times_as_long(self) -> None:
        """Three percent of the requests do."""
        arrivals = _run_to_end(LongTail()).tally_by_kind[WATCH.name].arrivals
        long = [arrival for arrival in arrivals if arrival.work_s > WATCH.work_s * 1.5]
        self.assertAlmostEqual(0.03, len(long) / len(arrivals), delta=0.015)

    def test_surging_caller_sends_ten_times_its_share(self) -> None:
        """Its flows go through all hosts and share only the caller's address."""
        load = _loaded(SingleCallerSurge())
        load.fleet.run(4)
        before = {caller: caller.asked for caller in load.caller_list.callers}
        load.fleet.run(4)
        count_by_caller = {caller: caller.asked - count for caller, count in before.items()}
        surging = [count for caller, count in count_by_caller.items() if caller.crowd]
        others = [count for caller, count in count_by_caller.items() if not caller.crowd]
        self.assertEqual((1, 11), (len(surging), len(others)))
        self.assertAlmostEqual(10, surging[0] / fmean(others), delta=2)

    def test_moved_callers_use_remote_hosts(self) -> None:
        """Guards against callers that keep using their former hosts after they have moved.

        It happens if a caller that moves with open flows keeps the hosts of those flows.
        """
        load = _loaded(MovedCallers())
        load.fleet.run(_SECONDS)
        by_centre = {centre: 0 for centre in CENTRES}
        for caller in load.caller_list.callers:
            by_centre[caller.centre] += 1
        self.assertEqual([4, 36, 20], [by_centre[centre] for centre in CENTRES])

    def test_a_caller_keeps_its_address(self) -> None:
        """Each client has its own address, and single requests use the addresses of clients."""
        load = _run_to_end(Unequal())
        keys = {caller.next_key(b'')[:4] for caller in load.caller_list.callers}
        self.assertEqual(60, len(keys))


def _loaded(moment: Moment) -> FlowLoad:
    return build_moment_load(moment, FleetPolicies(), hosts=1)


def _run_to_end(moment: Moment) -> FlowLoad:
    load = _loaded(moment)
    load.fleet.run(moment.lasting_s)
    return load


def _text_of(load: FlowLoad) -> RoutingText | None:
    return next(iter(load.fleet.node_by_name.values())).state.text
