"""Test how callers share a service that is short, and what becomes of those that ask for more."""

from random import Random
from types import MappingProxyType
from unittest import TestCase
from unittest.mock import Mock

from bronzekeel.core.log_numbers import LogNumber
from bronzekeel.core.routing.caller_queue import CallerQueue, SharedAmongCallers
from bronzekeel.core.routing.caller_shares import (
    NO_LEVEL,
    CallerShares,
    caller_of,
    fading,
    max_min_level,
)
from bronzekeel.core.routing.caller_sketch import (
    FADE_S,
    MOST_COUNTED,
    CallerSketch,
    distinct_of,
)
from bronzekeel.core.routing.caller_words import (
    MOST_TOLD,
    CallersWord,
    HeavyCaller,
    pack_word,
    unpack_word,
)
from bronzekeel.core.routing.decisions import Decision
from bronzekeel.core.routing.effects import WriteLine
from bronzekeel.core.routing.events import ChangesRead, HeartbeatHeard, StoredObject, Ticked
from bronzekeel.core.routing.follower import Collection
from bronzekeel.core.routing.heartbeats import near_heartbeat
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
from bronzekeel.core.routing.waiting_bounds import OPEN_WAIT_PART, wait_s
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

#: Share of late requests that a caller which keeps to its share bears while another sends ten times
#: its own: what the issue asks for.
_MOST_LATE = 0.01

_ODD_ADDRESS = 0x64400909


class MaxMinTest(TestCase):
    """Share room among demands."""

    def test_small_demands_are_met(self) -> None:
        """Guards against equal parts that a caller of little does not use up."""
        self.assertEqual(4, max_min_level([(10, 1), (1, 2)], 6))

    def test_equals_get_equal_parts(self) -> None:
        """Guards against a caller that gets more than another that asks for as much."""
        self.assertEqual(2, max_min_level([(3, 4)], 8))

    def test_room_for_all(self) -> None:
        """Guards against callers held to a share while nothing is short."""
        self.assertEqual(NO_LEVEL, max_min_level([(3, 4), (1, 1)], 14))

    def test_no_room(self) -> None:
        """Guards against a division by nothing."""
        self.assertEqual(0, max_min_level([(3, 4)], 0))
        self.assertEqual(NO_LEVEL, max_min_level([], 3))


class SketchTest(TestCase):
    """Count callers in constant memory."""

    def test_a_host_that_stood_still_for_long(self) -> None:
        """Guards against a weight that is no float, which ended a host after half an hour."""
        sketch = CallerSketch(0)
        sketch.note(1, 0, given=True)
        sketch.note(2, FADE_S * 5000, given=True)
        self.assertAlmostEqual(1, sketch.given_to(2, FADE_S * 5000))

    def test_counts_fade(self) -> None:
        """Guards against callers that pay for what they asked for long ago."""
        sketch = CallerSketch(0)
        sketch.note(1, 0, given=True)
        self.assertEqual(1, sketch.given_to(1, 0))
        self.assertAlmostEqual(0.368, sketch.given_to(1, FADE_S), places=3)
        sketch.note(2, FADE_S * 200, given=True)
        self.assertAlmostEqual(1, sketch.given(FADE_S * 200))

    def test_an_attack_of_many_addresses(self) -> None:
        """Guards against memory that grows with addresses, and a crowd that hides among them."""
        sketch = CallerSketch(0)
        attack = 100_000
        for number in range(attack):
            now = number / attack
            sketch.note(number + 1000, now, given=False)
            if number % 100 == 0:
                sketch.note(1, now, given=True)
        self.assertEqual(MOST_COUNTED, len(sketch))
        self.assertLessEqual(len(sketch._least), 2 * MOST_COUNTED)
        self.assertGreater(sketch.given_to(1, 1), 500)

    def test_who_takes_an_entry_over_does_not_pay_for_it(self) -> None:
        """Guards against a caller of one request that is charged with those of another."""
        sketch = CallerSketch(0)
        for number in range(MOST_COUNTED):
            for _ in range(5):
                sketch.note(number, 0, given=True)
        sketch.note(1000, 0, given=True)
        self.assertEqual(1, sketch.given_to(1000, 0))
        self.assertEqual((1, 1), sketch.counts(0)[1000])

    def test_callers_are_counted_by_bits(self) -> None:
        """Guards against a share that is reckoned for far more or fewer callers than there are."""
        sketch = CallerSketch(0)
        for number in range(_CALLERS):
            sketch.note(number, 0, given=True)
        self.assertAlmostEqual(_CALLERS, distinct_of(sketch.seen), delta=_CALLERS / 3)


class WordsTest(TestCase):
    """What hosts tell each other."""

    def setUp(self) -> None:
        """Know what a neighbour says of a crowd."""
        heavy = HeavyCaller(_ODD_ADDRESS, 30, 20.5)
        self.word = CallersWord(True, 60, 40, 0xF0F0, (heavy,))  # noqa: FBT003

    def test_a_word_is_read_as_it_was_written(self) -> None:
        """Guards against shares that are reckoned from other figures than were told."""
        told = unpack_word(pack_word(self.word))
        self.assertEqual((True, 60, 40, 0xF0F0), (told.short, told.asked, told.given, told.seen))
        heavy = told.heaviest[0]
        self.assertEqual((_ODD_ADDRESS, 30, 20.5), (heavy.caller, heavy.asked, heavy.given))

    def test_a_word_of_another_length_is_unreadable(self) -> None:
        """Guards against a peer of another version that is half understood."""
        raw = pack_word(self.word)
        for broken in (b'', raw[:-1], raw + bytes(8 * MOST_TOLD)):
            with self.assertRaises(ValueError):
                unpack_word(broken)

    def test_nothing_is_told_while_nothing_is_short(self) -> None:
        """Guards against heartbeats that cost more on a quiet day."""
        state = _covered_state()
        heartbeat = near_heartbeat(state, 0)
        self.assertEqual({}, heartbeat.callers_by_service)
        self.assertNotIn(b'callers', encode_heartbeat(heartbeat))

    def test_a_short_service_is_told_in_few_bytes(self) -> None:
        """Guards against heartbeats that grow with the callers."""
        state = _covered_state()
        quiet = len(encode_heartbeat(near_heartbeat(state, 0)))
        shares = _shares_of(state)
        shares.note_short(0)
        for number in range(1000):
            shares.note(flow(number), 0, given=True)
        raw = encode_heartbeat(near_heartbeat(state, 0))
        self.assertLess(len(raw) - quiet, 90)
        word = decode_heartbeat(raw).callers_by_service[PORTAL]
        self.assertEqual((True, 1000, MOST_TOLD), (word.short, word.given, len(word.heaviest)))
        with self.assertRaises(MessageError):
            decode_heartbeat(raw.replace(b'"callers":[["portal","', b'"callers":[["portal","!'))

    def test_the_word_counts_once(self) -> None:
        """Guards against a duplicate of a heartbeat that makes a caller look twice as heavy."""
        state = _covered_state()
        for _ in range(2):
            _hear(state, self.word, 1)
        reduce(state, Ticked(), 1)
        self.assertEqual(20.5, _shares_of(state).given_to(_ODD_ADDRESS, 1))

    def test_the_word_of_a_silent_host_fades(self) -> None:
        """Guards against shares that a host which died goes on to take part in."""
        state = _covered_state()
        _hear(state, self.word, 1)
        reduce(state, Ticked(), 1)
        self.assertTrue(_shares_of(state).counting)
        reduce(state, Ticked(), 3)
        self.assertEqual(0, _shares_of(state).given_to(_ODD_ADDRESS, 3))
        self.assertFalse(_shares_of(state).counting)
        self.assertEqual(NO_LEVEL, _shares_of(state).level)

    def test_a_restarted_host_takes_its_word_back(self) -> None:
        """Guards against counts of a process that is gone."""
        state = _covered_state()
        _hear(state, self.word, 1)
        _hear(state, None, 1.1)
        reduce(state, Ticked(), 1.1)
        self.assertEqual(0, _shares_of(state).given_to(_ODD_ADDRESS, 1.1))

    def test_hosts_do_not_keep_each_other_counting(self) -> None:
        """Guards against a shortage that lives on in words after the last request waited."""
        state = _covered_state()
        over = CallersWord(False, 60, 40, 0xF0F0)  # noqa: FBT003
        _hear(state, over, 1)
        reduce(state, Ticked(), 1)
        self.assertFalse(_shares_of(state).counting)

    def test_fading(self) -> None:
        """A word is whole until the next is due, and is nothing after it faded."""
        self.assertEqual(1, fading(0.5, 1))
        self.assertEqual(0.5, fading(1 + FADE_S / 2, 1))
        self.assertEqual(0, fading(9, 1))


class OrderTest(TestCase):
    """Which of those that wait goes on first."""

    def setUp(self) -> None:
        """Let a crowd have been given ten times what its share is, and another caller nothing."""
        self.shares = CallerShares()
        self.shares.note_short(0)
        for _ in range(20):
            self.shares.note(_flow_of(_ODD_ADDRESS), 0, given=True)
        self.shares.level = 2
        self.pool = Pool(PORTAL, LOCAL_CENTRE)
        self.pool.callers = self.shares
        self.queue = CallerQueue(self.shares)

    def test_who_is_above_its_share_goes_last(self) -> None:
        """Guards against a crowd that gets as much of the room as it has of the requests."""
        self._add(1, 1)
        for number in range(2, 9):
            self._add(_ODD_ADDRESS, number)
        self.assertEqual(1, self._first_caller(0))

    def test_the_newest_of_equals_goes_first(self) -> None:
        """Guards against answers that are all late by the same half second."""
        for number in range(1, 4):
            self._add(number, number)
        self.assertEqual(3, self._first_caller(0))

    def test_shares_are_looked_up_when_a_request_is_taken(self) -> None:
        """Guards against a caller that waits for what it was given seconds ago."""
        self._add(1, 1)
        self._add(_ODD_ADDRESS, 2)
        self.assertEqual(1, self._first_caller(0))
        self.assertEqual(_ODD_ADDRESS, self._first_caller(5 * FADE_S))

    def test_priorities_are_never_inverted(self) -> None:
        """Guards against a less urgent request that goes first since its caller had little."""
        random = Random(3)
        for round_number in range(50):
            queue = CallerQueue(self.shares)
            waiting = []
            for number in range(30):
                caller = random.choice((1, 2, 3, _ODD_ADDRESS))
                waiting.append(self._request(caller, random.randrange(3)))
                queue.add(waiting[-1], number)
            while waiting:
                first = queue.first(round_number / 10)
                assert first is not None
                self.assertEqual(min(request.priority for request in waiting), first.priority)
                first.ended = True
                waiting.remove(first)
            self.assertIsNone(queue.first(0))

    def test_many_addresses_are_ordered_in_little_time(self) -> None:
        """Guards against a choice that looks at all callers for each request."""
        shares = _CountedShares()
        shares.level = 2
        queue = CallerQueue(shares)
        for number in range(10_000):
            queue.add(self._request(number, 1), number)
        for _ in range(10_000):
            first = queue.first(0)
            assert first is not None
            first.ended = True
        self.assertLess(shares.looks, 30_000)

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


class _CountedShares(CallerShares):
    """Shares that count how often what a caller was given is looked up."""

    __slots__ = ('looks',)

    def __init__(self) -> None:
        super().__init__()
        self.looks = 0

    def given_to(self, caller: int, now: float) -> float:
        """Look up and count."""
        self.looks += 1
        return super().given_to(caller, now)


class RefusalTest(TestCase):
    """When a flow is refused at once, and how long others wait."""

    def setUp(self) -> None:
        """Start with a full pool; the caller of the flow 1 was given ten times its share."""
        self.state = _covered_state()
        self.chosen = steering(self.state)
        self.given = id_given(self.chosen.decide(opening(1), 0))
        self.pool = next(iter(self.state.directory.pools_of(LOCAL_CENTRE)))
        self.pool.limit = 1
        self.shares = _shares_of(self.state)
        self.shares.note_short(0)
        for _ in range(20):
            self.shares.note(flow(2), 0, given=True)
        self.shares.level = 2

    def test_a_caller_far_above_its_share_is_refused_at_once(self) -> None:
        """Guards against a crowd that is held until its deadline though it cannot be served."""
        self.assertEqual('Reset above_share', delivered_to(self.chosen.decide(opening(2), 0)))
        self.assertEqual(1, self.pool.refused)

    def test_others_wait(self) -> None:
        """Guards against callers that pay for the crowd of another."""
        self.assertEqual('Wait', delivered_to(self.chosen.decide(opening(3), 0)))

    def test_nobody_is_refused_while_there_is_room(self) -> None:
        """Guards against idle slots beside refused callers."""
        self.pool.limit = 2
        self.assertEqual(entry(1).name, delivered_to(self.chosen.decide(opening(2), 0)))

    def test_a_repeat_is_not_refused_at_once(self) -> None:
        """Guards against the reset of a flow that the first packet opened elsewhere."""
        self.assertEqual('Wait', delivered_to(self.chosen.decide(opening(2, copy=1), 0)))

    def test_refusals_are_spread(self) -> None:
        """Guards against callers that are refused together and come back together."""
        waits = {
            round(wait_s(opening(number), self.pool, _patient_route(), 0), 3)
            for number in range(100)
        }
        self.assertGreater(len(waits), 50)
        self.assertGreater(max(waits), 2 * min(waits))

    def test_a_request_on_an_open_flow_is_sent_on(self) -> None:
        """Guards against open flows that starve behind newer requests until they are given up."""
        self._ask_on_open_flow()
        until = OBJECTIVE_S * OPEN_WAIT_PART
        self.assertEqual([], _resumed(self.chosen, until - 0.01))
        sent = _resumed(self.chosen, until)
        self.assertEqual([entry(1).name], sent)
        self.assertEqual(0, self.pool.waiting_open)

    def test_a_more_urgent_request_is_not_passed(self) -> None:
        """Guards against a bound on waiting that lets the less urgent go first."""
        self._ask_on_open_flow()
        until = OBJECTIVE_S * OPEN_WAIT_PART
        urgent = _of_priority(_patient_route(), -1)
        self.state.waiting.add(opening(3), self.pool, urgent, until - 0.01)
        packets = [packet for packet, _ in self.chosen.resume(until)]
        self.assertEqual([flow(3), flow(1)], [packet.flow for packet in packets])

    def test_who_was_given_up_is_not_sent_on(self) -> None:
        """Guards against work for a caller that is gone after a host stood still."""
        self._ask_on_open_flow()
        verdicts = _resumed(self.chosen, TIMEOUT_S)
        self.assertEqual(['Discard given_up'], verdicts)

    def test_it_is_logged_once(self) -> None:
        """Guards against a log that a crowd fills."""
        numbers: list[int] = []
        for tick in range(150):
            now = tick / 10
            if now < 5:
                self.shares.note_short(now)
                for number in range(3):
                    self.shares.note(flow(tick * 3 + number + 5), now, given=not number)
                    self.shares.note(flow(2), now, given=True)
            effects = reduce(self.state, Ticked(), now)
            numbers.extend(effect.number for effect in effects if isinstance(effect, WriteLine))
        self.assertEqual(1, numbers.count(LogNumber.CALLER_HELD))
        self.assertEqual(1, numbers.count(LogNumber.CALLER_RELEASED))

    def _ask_on_open_flow(self) -> None:
        self.chosen.decide(asking(1, self.given), 0)
        self.chosen.decide(acknowledging(1, self.given, 9), 0)
        self.pool.limit = 0
        further = asking(1, self.given, 141, acknowledged=9)
        self.assertEqual('Wait', delivered_to(self.chosen.decide(further, 0)))
        self.assertEqual(1, self.pool.waiting_open)


class NotCoveredTest(TestCase):
    """Services whose callers cannot wait."""

    def test_they_are_served_as_before(self) -> None:
        """Guards against deployments that did not ask for shares and get them."""
        state = ready_state(entry(1))
        reduce(state, Ticked(), 0)
        pool = next(iter(state.directory.pools_of(LOCAL_CENTRE)))
        self.assertIsNone(pool.callers)
        self.assertIsInstance(SharedAmongCallers().queue_of(pool), RankedQueue)

    def test_every_answer_is_the_same(self) -> None:
        """Guards against another order, other waits or refusals where nothing is controlled."""
        plain = CallerSurge(FleetPolicies(order_of=NewestFirst), objective_s=0, lasting_s=4)
        shared = CallerSurge(FleetPolicies(), objective_s=0, lasting_s=4)
        self.assertEqual(plain.latencies, shared.latencies)


class OrganisationTest(TestCase):
    """Who counts as one caller."""

    def test_leading_bits(self) -> None:
        """Guards against an organisation that gets a share for each of its addresses."""
        self.assertEqual(caller_of(bytes((10, 1, 2, 3)), 24), caller_of(bytes((10, 1, 2, 9)), 24))
        self.assertNotEqual(
            caller_of(bytes((10, 1, 2, 3)), 32), caller_of(bytes((10, 1, 2, 9)), 32)
        )

    def test_the_setting_is_checked(self) -> None:
        """Guards against bits that no address has."""
        self.assertEqual(32, EntrySettings(_SETTINGS).caller_bits)
        self.assertEqual(24, EntrySettings({**_SETTINGS, 'caller_bits': 24}).caller_bits)
        for wrong in (0, 33, 24.0, '24', True):
            with self.assertRaises(SettingsError):
                EntrySettings({**_SETTINGS, 'caller_bits': wrong})


class ToldTest(TestCase):
    """What operators see."""

    def test_a_refusal_tells_the_share(self) -> None:
        """Guards against callers who are refused and nobody can say why."""
        state = _covered_state()
        shares = _shares_of(state)
        shares.note_short(0)
        for _ in range(20):
            shares.note(flow(2), 0, given=True)
        shares.level = 2
        pool = next(iter(state.directory.pools_of(LOCAL_CENTRE)))
        written: list[dict[str, object]] = []
        lines = Mock()
        lines.write = lambda number, fields, now: written.append(fields)
        refusal = Decision('refused', opening(2), 'above_share', pool=pool)
        LineDecisionLog(lines, state).note(refusal, 0)
        self.assertEqual((20, 2), (written[0]['given'], written[0]['share']))

    def test_metrics(self) -> None:
        """Guards against a crowd that no metric shows."""
        page = metrics_of(_covered_state(), 0, {}, 0, 0).decode()
        self.assertIn('bronzekeel_callers_above_share{kind="portal"} 0', page)
        self.assertIn('bronzekeel_requests_waiting_open{kind="portal"} 0', page)


class CrowdTest(TestCase):
    """One caller asks for ten times its share beside forty others, at twelve hosts."""

    def test_the_others_notice_nothing(self) -> None:
        """Guards against a crowd of one that makes the answers of all others late."""
        self.assertGreater(played_surge(10, 0).late_share, _MOST_LATE)
        crowd = played_surge(10, OBJECTIVE_S)
        self.assertLess(crowd.late_share, _MOST_LATE)
        self.assertGreater(crowd.surge_late_share, crowd.late_share)

    def test_twenty_times_its_share(self) -> None:
        """Guards against a crowd that is large enough to get its way."""
        without = played_surge(20, 0)
        self.assertLess(played_surge(20, OBJECTIVE_S).late_share, without.late_share / 2)

    def test_no_request_waits_while_there_is_room(self) -> None:
        """Guards against shares that leave slots idle."""
        crowd = played_surge(20, OBJECTIVE_S)
        self.assertGreater(crowd.polls, 100)
        self.assertEqual(0, crowd.waited_with_free_capacity)

    def test_open_flows_do_not_starve(self) -> None:
        """Guards against requests on open flows that wait until their callers give them up."""
        self.assertGreater(played_surge(20, 0).open_flow_p99_s, 2 * OBJECTIVE_S)
        self.assertLess(played_surge(20, OBJECTIVE_S).open_flow_p99_s, OBJECTIVE_S)

    def test_a_host_dies_halfway(self) -> None:
        """Guards against shares that stay wrong after a host with a part of the counts is gone."""
        crowd = CallerSurge(FleetPolicies(), disturb=restart_host)
        without = CallerSurge(FleetPolicies(), objective_s=0, disturb=restart_host)
        self.assertLess(crowd.late_share, without.late_share)

    def test_a_data_centre_is_cut_off(self) -> None:
        """Guards against shares that need other data centres or the store."""
        crowd = CallerSurge(
            FleetPolicies(),
            disturb=lambda load: load.fleet.isolated_centres.add(CENTRES[0]),
        )
        self.assertLess(crowd.late_share, _MOST_LATE)


def _flow_of(caller: int) -> bytes:
    return caller.to_bytes(4, 'big') + bytes(2) + PORTAL_KEY


def _patient_route() -> Route:
    plain = route(PORTAL_KEY, PORTAL, 0, TIMEOUT_S)
    return Route(plain.key, plain.shares, plain.seal, 0, TIMEOUT_S, objective_s=OBJECTIVE_S)


def _resumed(chosen: ConnectionIdSteering, now: float) -> list[str]:
    """Return what becomes of those that wait no longer."""
    return [delivered_to(verdict) for _, verdict in chosen.resume(now)]


def _of_priority(plain: Route, priority: int) -> Route:
    return Route(
        plain.key,
        plain.shares,
        plain.seal,
        priority,
        plain.timeout_s,
        objective_s=plain.objective_s,
    )


def _covered_state() -> RoutingState:
    """Return a ready state whose service has its demand controlled."""
    state = ready_state(entry(1))
    stored = StoredObject('main', 50, text(50, _patient_route()))
    reduce(state, ChangesRead(Collection.TEXT, [stored], 50), 0)
    reduce(state, Ticked(), 0)
    return state


def _shares_of(state: RoutingState) -> CallerShares:
    shares = next(iter(state.directory.pools_of(LOCAL_CENTRE))).callers
    assert shares is not None
    return shares


def _hear(state: RoutingState, word: CallersWord | None, now: float) -> None:
    """Let a neighbour tell a word, or that it has none."""
    heartbeat = Heartbeat(
        PeerAddress('a2', LOCAL_CENTRE, ('a2', 9)),
        0,
        0,
        {},
        callers_by_service={} if word is None else {PORTAL: word},
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
