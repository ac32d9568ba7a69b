"""Test how callers share an overloaded service, and how those above their share are treated."""

from random import Random
from types import MappingProxyType
from unittest import TestCase
from unittest.mock import Mock

from bronzekeel.core.log_numbers import LogNumber
from bronzekeel.core.routing.caller_queue import CallerFairOrder, CallerQueue
from bronzekeel.core.routing.caller_reports import (
    MAX_REPORTED_CALLERS,
    CallersReport,
    HeavyCaller,
    pack_callers_report,
    unpack_callers_report,
)
from bronzekeel.core.routing.caller_shares import (
    NO_LEVEL,
    CallerShares,
    caller_of,
    decay_factor,
    max_min_level,
)
from bronzekeel.core.routing.caller_sketch import (
    DECAY_S,
    MAX_COUNTED,
    CallerSketch,
    estimate_distinct,
)
from bronzekeel.core.routing.decisions import Decision
from bronzekeel.core.routing.effects import WriteLine
from bronzekeel.core.routing.events import ChangesRead, HeartbeatHeard, StoredObject, Ticked
from bronzekeel.core.routing.follower import Collection
from bronzekeel.core.routing.heartbeats import local_heartbeat
from bronzekeel.core.routing.messages import Heartbeat, PeerAddress
from bronzekeel.core.routing.model import Route
from bronzekeel.core.routing.pools import Pool
from bronzekeel.core.routing.reducer import reduce
from bronzekeel.core.routing.state import RoutingState
from bronzekeel.core.routing.steering import ConnectionIdSteering
from bronzekeel.core.routing.waiting import (
    NewestFirst,
    RankedQueue,
    WaitingRequest,
)
from bronzekeel.core.routing.waiting_bounds import OPEN_WAIT_FRACTION, wait_s
from bronzekeel.entry.decision_log import LineDecisionLog
from bronzekeel.entry.metrics import metrics_of
from bronzekeel.entry.peer_messages import MessageError, decode_heartbeat, encode_heartbeat
from bronzekeel.entry.settings import EntrySettings, SettingsError
from bronzekeel.replay.flow_load import CENTRES
from bronzekeel.replay.routing_fleet import FleetPolicies
from tests.caller_surges import OBJECTIVE_S, TIMEOUT_S, CallerSurge, played_surge, restart_host
from tests.routing_cases import (
    LOCAL_CENTRE,
    PORTAL,
    PORTAL_KEY,
    acknowledging,
    asking,
    delivered_to,
    entry,
    flow,
    id_given,
    opening,
    ready_state,
    route,
    steering,
    text,
)


_CALLERS = 40

#: Most late requests of a caller within its share while another sends ten times its own, as a share
#: of its requests.
_MAX_LATE_SHARE = 0.01

_HEAVY_CALLER = 0x64400909


class MaxMinTest(TestCase):
    """Max-min fair shares."""

    def test_small_demands_are_met(self) -> None:
        """Guards against equal parts, of which a caller with a small demand leaves some unused."""
        self.assertEqual(4, max_min_level([(10, 1), (1, 2)], 6))

    def test_equal_demands_get_equal_shares(self) -> None:
        """Guards against callers of equal demand that get different shares."""
        self.assertEqual(2, max_min_level([(3, 4)], 8))

    def test_capacity_for_all(self) -> None:
        """Guards against throttled callers while there is enough capacity."""
        self.assertEqual(NO_LEVEL, max_min_level([(3, 4), (1, 1)], 14))

    def test_no_capacity(self) -> None:
        """Guards against a division by zero."""
        self.assertEqual(0, max_min_level([(3, 4)], 0))
        self.assertEqual(NO_LEVEL, max_min_level([], 3))


class SketchTest(TestCase):
    """Counts of callers in constant memory."""

    def test_a_host_that_was_paused_for_long(self) -> None:
        """Guards against a weight that overflows a float; it crashed hosts after half an hour."""
        sketch = CallerSketch(0)
        sketch.note(1, 0, admitted=True)
        sketch.note(2, DECAY_S * 5000, admitted=True)
        self.assertAlmostEqual(1, sketch.admitted_for(2, DECAY_S * 5000))

    def test_counts_decay(self) -> None:
        """Guards against callers that are throttled for requests of long ago."""
        sketch = CallerSketch(0)
        sketch.note(1, 0, admitted=True)
        self.assertEqual(1, sketch.admitted_for(1, 0))
        self.assertAlmostEqual(0.368, sketch.admitted_for(1, DECAY_S), places=3)
        sketch.note(2, DECAY_S * 200, admitted=True)
        self.assertAlmostEqual(1, sketch.admitted(DECAY_S * 200))

    def test_an_attack_of_many_addresses(self) -> None:
        """Guards against memory that grows with addresses, among which a heavy caller hides."""
        sketch = CallerSketch(0)
        attack = 100_000
        for number in range(attack):
            now = number / attack
            sketch.note(number + 1000, now, admitted=False)
            if number % 100 == 0:
                sketch.note(1, now, admitted=True)
        self.assertEqual(MAX_COUNTED, len(sketch))
        self.assertLessEqual(len(sketch._smallest), 2 * MAX_COUNTED)
        self.assertGreater(sketch.admitted_for(1, 1), 500)

    def test_a_replaced_entry_charges_nothing_to_its_successor(self) -> None:
        """Guards against charging a caller of one request with those of the caller it replaces."""
        sketch = CallerSketch(0)
        for number in range(MAX_COUNTED):
            for _ in range(5):
                sketch.note(number, 0, admitted=True)
        sketch.note(1000, 0, admitted=True)
        self.assertEqual(1, sketch.admitted_for(1000, 0))
        self.assertEqual((1, 1), sketch.counts(0)[1000])

    def test_callers_are_counted_by_bits(self) -> None:
        """Guards against shares that are computed for far more or fewer callers than there are."""
        sketch = CallerSketch(0)
        for number in range(_CALLERS):
            sketch.note(number, 0, admitted=True)
        self.assertAlmostEqual(_CALLERS, estimate_distinct(sketch.seen), delta=_CALLERS / 3)


class ReportsTest(TestCase):
    """Reports between hosts."""

    def setUp(self) -> None:
        """Prepare a neighbour's report of a heavy caller."""
        heavy = HeavyCaller(_HEAVY_CALLER, 30, 20.5)
        self.report = CallersReport(True, 60, 40, 0xF0F0, (heavy,))  # noqa: FBT003

    def test_a_report_survives_encoding(self) -> None:
        """Guards against shares that are computed from other figures than were reported."""
        read = unpack_callers_report(pack_callers_report(self.report))
        self.assertEqual(
            (True, 60, 40, 0xF0F0), (read.short, read.demand, read.admitted, read.seen)
        )
        heavy = read.heaviest[0]
        self.assertEqual((_HEAVY_CALLER, 30, 20.5), (heavy.caller, heavy.demand, heavy.admitted))

    def test_a_report_of_another_length_is_rejected(self) -> None:
        """Guards against misreading the report of a peer of another version."""
        raw = pack_callers_report(self.report)
        for broken in (b'', raw[:-1], raw + bytes(8 * MAX_REPORTED_CALLERS)):
            with self.assertRaises(ValueError):
                unpack_callers_report(broken)

    def test_nothing_is_reported_without_a_shortage(self) -> None:
        """Guards against longer heartbeats while no service is overloaded."""
        state = _controlled_state()
        heartbeat = local_heartbeat(state, 0)
        self.assertEqual({}, heartbeat.callers_by_service)
        self.assertNotIn(b'callers', encode_heartbeat(heartbeat))

    def test_a_shortage_is_reported_in_few_bytes(self) -> None:
        """Guards against heartbeats that grow with the number of callers."""
        state = _controlled_state()
        quiet = len(encode_heartbeat(local_heartbeat(state, 0)))
        shares = _shares_of(state)
        shares.note_shortage(0)
        for number in range(1000):
            shares.note(flow(number), 0, admitted=True)
        raw = encode_heartbeat(local_heartbeat(state, 0))
        self.assertLess(len(raw) - quiet, 90)
        report = decode_heartbeat(raw).callers_by_service[PORTAL]
        self.assertEqual(
            (True, 1000, MAX_REPORTED_CALLERS),
            (report.short, report.admitted, len(report.heaviest)),
        )
        with self.assertRaises(MessageError):
            decode_heartbeat(raw.replace(b'"callers":[["portal","', b'"callers":[["portal","!'))

    def test_a_duplicate_report_counts_once(self) -> None:
        """Guards against a duplicate heartbeat that makes a caller look twice as heavy."""
        state = _controlled_state()
        for _ in range(2):
            _receive(state, self.report, 1)
        reduce(state, Ticked(), 1)
        self.assertEqual(20.5, _shares_of(state).admitted_for(_HEAVY_CALLER, 1))

    def test_the_report_of_a_dead_host_decays(self) -> None:
        """Guards against a host that died and still takes part in the shares."""
        state = _controlled_state()
        _receive(state, self.report, 1)
        reduce(state, Ticked(), 1)
        self.assertTrue(_shares_of(state).counting)
        reduce(state, Ticked(), 3)
        self.assertEqual(0, _shares_of(state).admitted_for(_HEAVY_CALLER, 3))
        self.assertFalse(_shares_of(state).counting)
        self.assertEqual(NO_LEVEL, _shares_of(state).level)

    def test_a_restarted_host_withdraws_its_report(self) -> None:
        """Guards against counts of a process that no longer runs."""
        state = _controlled_state()
        _receive(state, self.report, 1)
        _receive(state, None, 1.1)
        reduce(state, Ticked(), 1.1)
        self.assertEqual(0, _shares_of(state).admitted_for(_HEAVY_CALLER, 1.1))

    def test_hosts_do_not_keep_each_other_counting(self) -> None:
        """Guards against a shortage that hosts report to each other after it has ended."""
        state = _controlled_state()
        ended = CallersReport(False, 60, 40, 0xF0F0)  # noqa: FBT003
        _receive(state, ended, 1)
        reduce(state, Ticked(), 1)
        self.assertFalse(_shares_of(state).counting)

    def test_decay_factor(self) -> None:
        """A report has its full weight until the next is due, and none after it decayed."""
        self.assertEqual(1, decay_factor(0.5, 1))
        self.assertEqual(0.5, decay_factor(1 + DECAY_S / 2, 1))
        self.assertEqual(0, decay_factor(9, 1))


class OrderTest(TestCase):
    """The order of waiting requests."""

    def setUp(self) -> None:
        """Let one caller have been admitted ten times its share, and another nothing."""
        self.shares = CallerShares()
        self.shares.note_shortage(0)
        for _ in range(20):
            self.shares.note(_flow_of(_HEAVY_CALLER), 0, admitted=True)
        self.shares.level = 2
        self.pool = Pool(PORTAL, LOCAL_CENTRE)
        self.pool.callers = self.shares
        self.queue = CallerQueue(self.shares)

    def test_callers_above_their_share_go_last(self) -> None:
        """Guards against a heavy caller that gets capacity in proportion to its requests."""
        self._add(1, 1)
        for number in range(2, 9):
            self._add(_HEAVY_CALLER, number)
        self.assertEqual(1, self._first_caller(0))

    def test_among_equals_the_newest_goes_first(self) -> None:
        """Guards against answers that are all late by the same half second."""
        for number in range(1, 4):
            self._add(number, number)
        self.assertEqual(3, self._first_caller(0))

    def test_shares_are_looked_up_when_a_request_is_taken(self) -> None:
        """Guards against a caller that waits because of requests admitted seconds ago."""
        self._add(1, 1)
        self._add(_HEAVY_CALLER, 2)
        self.assertEqual(1, self._first_caller(0))
        self.assertEqual(_HEAVY_CALLER, self._first_caller(5 * DECAY_S))

    def test_priorities_are_never_inverted(self) -> None:
        """Guards against a less urgent request that goes first by its caller's share."""
        random = Random(3)
        for round_number in range(50):
            queue = CallerQueue(self.shares)
            waiting = []
            for number in range(30):
                caller = random.choice((1, 2, 3, _HEAVY_CALLER))
                waiting.append(self._request(caller, random.randrange(3)))
                queue.add(waiting[-1], number)
            while waiting:
                first = queue.first(round_number / 10)
                assert first is not None
                self.assertEqual(min(request.priority for request in waiting), first.priority)
                first.ended = True
                waiting.remove(first)
            self.assertIsNone(queue.first(0))

    def test_ordering_many_callers_is_cheap(self) -> None:
        """Guards against a pass over all callers for each request."""
        shares = _CountingShares()
        shares.level = 2
        queue = CallerQueue(shares)
        for number in range(10_000):
            queue.add(self._request(number, 1), number)
        for _ in range(10_000):
            first = queue.first(0)
            assert first is not None
            first.ended = True
        self.assertLess(shares.lookups, 30_000)

    def _request(self, caller: int, priority: int) -> WaitingRequest:
        packet = opening(1)
        packet.flow = _flow_of(caller)
        return WaitingRequest(packet, self.pool, priority, 9, 9)

    def _add(self, caller: int, number: int) -> None:
        self.queue.add(self._request(caller, 1), number)

    def _first_caller(self, now: float) -> int:
        first = self.queue.first(now)
        assert first is not None
        return caller_of(first.packets[0].flow, 32)


class _CountingShares(CallerShares):
    """Shares that count the look-ups of admitted requests."""

    __slots__ = ('lookups',)

    def __init__(self) -> None:
        super().__init__()
        self.lookups = 0

    def admitted_for(self, caller: int, now: float) -> float:
        """Count the look-up and return its result."""
        self.lookups += 1
        return super().admitted_for(caller, now)


class RefusalTest(TestCase):
    """Which flows are refused at once, and how long others wait."""

    def setUp(self) -> None:
        """Start with a full pool; the caller of flow 2 was admitted ten times its share."""
        self.state = _controlled_state()
        self.policy = steering(self.state)
        self.given = id_given(self.policy.decide(opening(1), 0))
        self.pool = next(iter(self.state.directory.pools_of(LOCAL_CENTRE)))
        self.pool.limit = 1
        self.shares = _shares_of(self.state)
        self.shares.note_shortage(0)
        for _ in range(20):
            self.shares.note(flow(2), 0, admitted=True)
        self.shares.level = 2

    def test_a_caller_far_above_its_share_is_refused_at_once(self) -> None:
        """Guards against queueing the flows of a heavy caller although they cannot be served."""
        self.assertEqual('Reset above_share', delivered_to(self.policy.decide(opening(2), 0)))
        self.assertEqual(1, self.pool.refused)

    def test_others_wait(self) -> None:
        """Guards against callers that are refused because of the surge of another."""
        self.assertEqual('Wait', delivered_to(self.policy.decide(opening(3), 0)))

    def test_nobody_is_refused_while_there_is_capacity(self) -> None:
        """Guards against idle slots beside refused callers."""
        self.pool.limit = 2
        self.assertEqual(entry(1).name, delivered_to(self.policy.decide(opening(2), 0)))

    def test_a_repeat_is_not_refused_at_once(self) -> None:
        """Guards against resetting a flow that the first packet opened through another host."""
        self.assertEqual('Wait', delivered_to(self.policy.decide(opening(2, copy=1), 0)))

    def test_refusals_are_spread(self) -> None:
        """Guards against callers that are refused together and retry together."""
        waits = {
            round(wait_s(opening(number), self.pool, _patient_route(), 0), 3)
            for number in range(100)
        }
        self.assertGreater(len(waits), 50)
        self.assertGreater(max(waits), 2 * min(waits))

    def test_a_request_on_an_open_flow_is_sent_on(self) -> None:
        """Guards against open flows that starve behind newer requests until they are given up."""
        self._ask_on_open_flow()
        until = OBJECTIVE_S * OPEN_WAIT_FRACTION
        self.assertEqual([], _resumed(self.policy, until - 0.01))
        sent = _resumed(self.policy, until)
        self.assertEqual([entry(1).name], sent)
        self.assertEqual(0, self.pool.waiting_open)

    def test_a_more_urgent_request_is_not_overtaken(self) -> None:
        """Guards against a bound on waiting that sends a less urgent request first."""
        self._ask_on_open_flow()
        until = OBJECTIVE_S * OPEN_WAIT_FRACTION
        urgent = _of_priority(_patient_route(), -1)
        self.state.waiting.add(opening(3), self.pool, urgent, until - 0.01)
        packets = [packet for packet, _ in self.policy.resume(until)]
        self.assertEqual([flow(3), flow(1)], [packet.flow for packet in packets])

    def test_abandoned_requests_are_not_sent(self) -> None:
        """Guards against work for callers that gave up while the host was paused."""
        self._ask_on_open_flow()
        verdicts = _resumed(self.policy, TIMEOUT_S)
        self.assertEqual(['Discard given_up'], verdicts)

    def test_throttling_is_logged_once(self) -> None:
        """Guards against a log flooded by one heavy caller."""
        numbers: list[int] = []
        for tick in range(150):
            now = tick / 10
            if now < 5:
                self.shares.note_shortage(now)
                for number in range(3):
                    self.shares.note(flow(tick * 3 + number + 5), now, admitted=not number)
                    self.shares.note(flow(2), now, admitted=True)
            effects = reduce(self.state, Ticked(), now)
            numbers.extend(effect.number for effect in effects if isinstance(effect, WriteLine))
        self.assertEqual(1, numbers.count(LogNumber.CALLER_HELD))
        self.assertEqual(1, numbers.count(LogNumber.CALLER_RELEASED))

    def _ask_on_open_flow(self) -> None:
        self.policy.decide(asking(1, self.given), 0)
        self.policy.decide(acknowledging(1, self.given, 9), 0)
        self.pool.limit = 0
        further = asking(1, self.given, 141, acknowledged=9)
        self.assertEqual('Wait', delivered_to(self.policy.decide(further, 0)))
        self.assertEqual(1, self.pool.waiting_open)


class UncontrolledTest(TestCase):
    """Services whose demand is not controlled."""

    def test_callers_have_no_shares(self) -> None:
        """Guards against shares in deployments that did not ask for them."""
        state = ready_state(entry(1))
        reduce(state, Ticked(), 0)
        pool = next(iter(state.directory.pools_of(LOCAL_CENTRE)))
        self.assertIsNone(pool.callers)
        self.assertIsInstance(CallerFairOrder().queue_of(pool), RankedQueue)

    def test_every_answer_is_the_same(self) -> None:
        """Guards against another order, other waits or refusals where demand is not controlled."""
        plain = CallerSurge(FleetPolicies(order_of=NewestFirst), objective_s=0, lasting_s=4)
        shared = CallerSurge(FleetPolicies(), objective_s=0, lasting_s=4)
        self.assertEqual(plain.latencies, shared.latencies)


class OrganisationTest(TestCase):
    """Which addresses make one caller."""

    def test_leading_bits(self) -> None:
        """Guards against an organisation that gets a share for each of its addresses."""
        self.assertEqual(caller_of(bytes((10, 1, 2, 3)), 24), caller_of(bytes((10, 1, 2, 9)), 24))
        self.assertNotEqual(
            caller_of(bytes((10, 1, 2, 3)), 32), caller_of(bytes((10, 1, 2, 9)), 32)
        )

    def test_the_setting_is_checked(self) -> None:
        """Guards against prefix lengths that no address has."""
        self.assertEqual(32, EntrySettings(_SETTINGS).caller_bits)
        self.assertEqual(24, EntrySettings({**_SETTINGS, 'caller_bits': 24}).caller_bits)
        for wrong in (0, 33, 24.0, '24', True):
            with self.assertRaises(SettingsError):
                EntrySettings({**_SETTINGS, 'caller_bits': wrong})


class ObservabilityTest(TestCase):
    """Log lines and metrics for operators."""

    def test_a_refusal_logs_the_share(self) -> None:
        """Guards against refusals that the log does not explain."""
        state = _controlled_state()
        shares = _shares_of(state)
        shares.note_shortage(0)
        for _ in range(20):
            shares.note(flow(2), 0, admitted=True)
        shares.level = 2
        pool = next(iter(state.directory.pools_of(LOCAL_CENTRE)))
        written: list[dict[str, object]] = []
        lines = Mock()
        lines.write = lambda number, fields, now: written.append(fields)
        refusal = Decision('refused', opening(2), 'above_share', pool=pool)
        LineDecisionLog(lines, state).note(refusal, 0)
        self.assertEqual((20, 2), (written[0]['given'], written[0]['share']))

    def test_metrics(self) -> None:
        """Guards against throttling that no metric shows."""
        page = metrics_of(_controlled_state(), 0, {}, 0, 0).decode()
        self.assertIn('bronzekeel_callers_above_share{kind="portal"} 0', page)
        self.assertIn('bronzekeel_requests_waiting_open{kind="portal"} 0', page)


class SurgeTest(TestCase):
    """One caller sends ten times its share beside forty others, at twelve hosts."""

    def test_other_callers_are_not_affected(self) -> None:
        """Guards against a heavy caller that makes the answers of all others late."""
        self.assertGreater(played_surge(10, 0).late_share, _MAX_LATE_SHARE)
        surge = played_surge(10, OBJECTIVE_S)
        self.assertLess(surge.late_share, _MAX_LATE_SHARE)
        self.assertGreater(surge.surge_late_share, surge.late_share)

    def test_twenty_times_its_share(self) -> None:
        """Guards against a surge large enough to defeat the shares."""
        without = played_surge(20, 0)
        self.assertLess(played_surge(20, OBJECTIVE_S).late_share, without.late_share / 2)

    def test_no_request_waits_beside_free_slots(self) -> None:
        """Guards against shares that leave slots idle."""
        surge = played_surge(20, OBJECTIVE_S)
        self.assertGreater(surge.polls, 100)
        self.assertEqual(0, surge.waited_with_free_capacity)

    def test_open_flows_do_not_starve(self) -> None:
        """Guards against requests on open flows that wait until their callers give them up."""
        self.assertGreater(played_surge(20, 0).open_flow_p99_s, 2 * OBJECTIVE_S)
        self.assertLess(played_surge(20, OBJECTIVE_S).open_flow_p99_s, OBJECTIVE_S)

    def test_a_host_dies_halfway(self) -> None:
        """Guards against shares that stay wrong after a host that held part of the counts dies."""
        surge = CallerSurge(FleetPolicies(), disturb=restart_host)
        without = CallerSurge(FleetPolicies(), objective_s=0, disturb=restart_host)
        self.assertLess(surge.late_share, without.late_share)

    def test_a_data_centre_is_cut_off(self) -> None:
        """Guards against shares that depend on other data centres or the store."""
        surge = CallerSurge(
            FleetPolicies(),
            disturb=lambda load: load.fleet.isolated_centres.add(CENTRES[0]),
        )
        self.assertLess(surge.late_share, _MAX_LATE_SHARE)


def _flow_of(caller: int) -> bytes:
    return caller.to_bytes(4, 'big') + bytes(2) + PORTAL_KEY


def _patient_route() -> Route:
    plain = route(PORTAL_KEY, PORTAL, 0, TIMEOUT_S)
    return Route(plain.key, plain.shares, plain.route_tag, 0, TIMEOUT_S, objective_s=OBJECTIVE_S)


def _resumed(policy: ConnectionIdSteering, now: float) -> list[str]:
    """Return the outcomes of the requests that no longer wait."""
    return [delivered_to(verdict) for _, verdict in policy.resume(now)]


def _of_priority(plain: Route, priority: int) -> Route:
    return Route(
        plain.key,
        plain.shares,
        plain.route_tag,
        priority,
        plain.timeout_s,
        objective_s=plain.objective_s,
    )


def _controlled_state() -> RoutingState:
    """Return a ready state with a service whose demand is controlled."""
    state = ready_state(entry(1))
    stored = StoredObject('main', 50, text(50, _patient_route()))
    reduce(state, ChangesRead(Collection.TEXT, [stored], 50), 0)
    reduce(state, Ticked(), 0)
    return state


def _shares_of(state: RoutingState) -> CallerShares:
    shares = next(iter(state.directory.pools_of(LOCAL_CENTRE))).callers
    assert shares is not None
    return shares


def _receive(state: RoutingState, report: CallersReport | None, now: float) -> None:
    """Deliver a neighbour's heartbeat with a report, or without one."""
    heartbeat = Heartbeat(
        PeerAddress('a2', LOCAL_CENTRE, ('a2', 9)),
        0,
        0,
        {},
        callers_by_service={} if report is None else {PORTAL: report},
    )
    reduce(state, HeartbeatHeard(heartbeat), now)


_SETTINGS = MappingProxyType(
    {
        'steering': 'connection_ids',
        'name': 'a1',
        'data_centre': LOCAL_CENTRE,
        'packets': '127.0.0.1:1',
        'peers': '127.0.0.1:2',
        'seeds': [],
        'readiness': '127.0.0.1:3',
        'readiness_path': '/ready',
        'store': '127.0.0.1:4',
        'stop_within_s': 6,
    }
)
