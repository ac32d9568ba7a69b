"""Test what perfect sight is taken to earn, and what replays of uneven demand play."""

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
_KIND = RequestKind('asked', b'', aim_s=0.2, timeout_s=1, late_worth=0.25)
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


class PerfectSightTest(TestCase):
    """What one queue earns that sees every slot."""

    def test_one_slot_serves_one_after_the_other(self) -> None:
        """The second is in time, the third late."""
        self.assertEqual(2.25, _earned([_slot()], [(0, 0.1), (0, 0.1), (0, 0.1)]))

    def test_a_slow_slot_takes_longer(self) -> None:
        """Symptom: the ceiling is beyond what upstreams can do.

        Sequence: a slot does half of what others do.
        Cause: taking every slot for equally fast.
        """
        self.assertEqual(1, _earned([_slot(0.5)], [(0, 0.1)]))
        self.assertEqual(0.25, _earned([_slot(0.5)], [(0, 0.11)]))

    def test_the_fastest_free_slot_goes_first(self) -> None:
        """Symptom: a policy earns more than the ceiling.

        Sequence: a slow slot and a fast one are free.
        Cause: taking any free slot.
        """
        for slots in ([_slot(0.5), _slot(1)], [_slot(1), _slot(0.5)]):
            self.assertEqual(1, _earned(slots, [(0, 0.2)]))
            self.assertEqual(1.25, _earned(slots, [(0, 0.2), (0, 0.2)]))

    def test_a_change_of_speed_counts_from_then_on(self) -> None:
        """A request takes the speed at its begin."""
        slot = Slot(0, _ALWAYS, ((0, 1), (1, 0.5)))
        self.assertEqual(1, _earned([slot], [(0.9, 0.2)]))
        self.assertEqual(0.25, _earned([slot], [(1.1, 0.2)]))

    def test_nothing_begins_before_it_came(self) -> None:
        """Symptom: the ceiling is too high wherever balancers are dark for a while.

        Sequence: two requests come in the dark; two slots are free all the time.
        Cause: letting the second slot begin when it was free, before the dark ended.
        """
        arrival_times = [(0, 0.1), (0, 0.1)]
        self.assertEqual(0.5, _earned([_slot(), _slot()], arrival_times, outage_interval=(0, 0.3)))

    def test_a_slot_that_is_gone_serves_nothing(self) -> None:
        """It ends what it began."""
        slot = Slot(0, 0.05, ((0, 1),))
        self.assertEqual(1, _earned([slot], [(0, 0.1), (0, 0.1)]))
        self.assertEqual(0, _earned([slot], [(0.06, 0.1)]))

    def test_what_is_given_up_earns_nothing(self) -> None:
        """A request that could not begin before its timeout is left out."""
        self.assertEqual(0.25, _earned([_slot()], [(0, 1.1), (0, 0.1)][:1]))
        self.assertEqual(1, _earned([_slot()], [(0, 0.1), (0, 2)][:1]))


class KeptFlowsTest(TestCase):
    """What the same queue earns where requests stay with the server of their flow."""

    def test_a_request_on_an_open_flow_waits_for_its_server(self) -> None:
        """Another slot is free; it can't have it."""
        on_a_flow = [Arrival(0, 0.15, 'a'), Arrival(0, 0.15, 'a')]
        self.assertEqual(1.25, self._earned(on_a_flow))
        self.assertEqual(2, self._earned([Arrival(0, 0.15, 'a'), Arrival(0, 0.15)]))

    def test_flows_of_a_server_that_is_gone_are_opened_anew(self) -> None:
        """Symptom: a policy earns more than this ceiling.

        Sequence: an upstream falls silent; callers open their flows elsewhere.
        Cause: letting requests wait for a server that is gone.
        """
        arrivals = [Arrival(1, 0.1, 'gone')]
        self.assertEqual(1, self._earned(arrivals))

    def test_nothing_is_earned_by_what_waits_too_long(self) -> None:
        """Symptom: the reckoning does not end.

        Sequence: one server works for longer than a caller waits, others idle.
        Cause: looking for the same free slot again and again.
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
    """What the moments of uneven demand play."""

    def test_the_parts_that_control_demand_act_there_alone(self) -> None:
        """Symptom: figures of a moment tell nothing of the parts that it was made for.

        Sequence: routes state no objective, or those of former moments state one.
        Cause: a kind of request without the objective of its callers.
        """
        control = DemandControl()
        for moment in DEMAND_MOMENTS:
            self.assertTrue(control.covers(_text_of(_loaded(moment()))))
        for moment in MOMENTS:
            self.assertFalse(control.covers(_text_of(_loaded(moment()))))

    def test_most_requests_are_on_open_flows(self) -> None:
        """Those of one flow each are a tenth."""
        load = _played(Unequal())
        count_by_kind = {name: len(tally.arrivals) for name, tally in load.tally_by_kind.items()}
        self.assertGreater(
            count_by_kind[WATCH.name] + count_by_kind[AMEND.name], sum(count_by_kind.values()) * 0.8
        )
        self.assertLess(load.callers.opened, sum(count_by_kind.values()) * 0.5)

    def test_a_slow_upstream_works_longer(self) -> None:
        """One of four takes more than twice as long for the same request."""
        load = _loaded(Unequal())
        speeds = [server.speed for server in load.server_by_name.values()]
        self.assertEqual([0.55, 1.2, 1.2, 1.2, 0.55, 1.2, 1.2, 1.2, 0.55], speeds)
        ended_at: list[float] = []

        def note(ran: bool) -> None:  # noqa: FBT001, WPS430 (servers tell it; holds the times)
            ended_at.append(load.elapsed_s)

        for server in load.server_by_name.values():
            server.take(0.11, note)
        load.fleet.run(0.15)
        self.assertEqual(6, len(ended_at))
        load.fleet.run(0.06)
        self.assertEqual(9, len(ended_at))

    def test_speed_changes_and_returns(self) -> None:
        """The ceiling learns of each change."""
        load = _loaded(ChangingSpeed())
        load.fleet.run(5)
        self.assertAlmostEqual(14, load.capacity)
        load.fleet.run(6)
        self.assertAlmostEqual(18, load.capacity)
        slow = load.slots[0]
        speeds = [slow.speed_at(at_s) for at_s in (0, 5, 11)]
        self.assertEqual([1, 1 / 3, 1], speeds)

    def test_some_requests_take_seven_times_as_long(self) -> None:
        """They are three in a hundred."""
        arrivals = _played(LongTail()).tally_by_kind[WATCH.name].arrivals
        long = [arrival for arrival in arrivals if arrival.work_s > WATCH.work_s * 1.5]
        self.assertAlmostEqual(0.03, len(long) / len(arrivals), delta=0.015)

    def test_a_crowd_asks_for_ten_times_its_share(self) -> None:
        """Its flows go through all hosts, and one address is all that they share."""
        load = _loaded(SingleCallerSurge())
        load.fleet.run(4)
        before = {caller: caller.asked for caller in load.caller_list.callers}
        load.fleet.run(4)
        count_by_caller = {caller: caller.asked - count for caller, count in before.items()}
        crowd = [count for caller, count in count_by_caller.items() if caller.crowd]
        others = [count for caller, count in count_by_caller.items() if not caller.crowd]
        self.assertEqual((1, 11), (len(crowd), len(others)))
        self.assertAlmostEqual(10, crowd[0] / fmean(others), delta=2)

    def test_moved_callers_use_hosts_elsewhere(self) -> None:
        """Symptom: callers that have moved still reach their former hosts.

        Sequence: four fifths of one data centre's callers move, with flows open.
        Cause: keeping the host of an open flow.
        """
        load = _loaded(MovedCallers())
        load.fleet.run(_SECONDS)
        by_centre = {centre: 0 for centre in CENTRES}
        for caller in load.caller_list.callers:
            by_centre[caller.centre] += 1
        self.assertEqual([4, 36, 20], [by_centre[centre] for centre in CENTRES])

    def test_a_caller_keeps_its_address(self) -> None:
        """Each client has its own, and single requests come from those of clients."""
        load = _played(Unequal())
        keys = {caller.next_key(b'')[:4] for caller in load.caller_list.callers}
        self.assertEqual(60, len(keys))


def _loaded(moment: Moment) -> FlowLoad:
    return build_moment_load(moment, FleetPolicies(), hosts=1)


def _played(moment: Moment) -> FlowLoad:
    load = _loaded(moment)
    load.fleet.run(moment.lasting_s)
    return load


def _text_of(load: FlowLoad) -> RoutingText | None:
    return next(iter(load.fleet.node_by_name.values())).state.text
