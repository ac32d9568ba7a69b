"""Test what a balancer reckons and tells of room elsewhere, and which flows it sends there."""

from types import MappingProxyType
from unittest import TestCase

from bronzekeel.core.log_numbers import LogNumber
from bronzekeel.core.routing.change_trigger import MIN_INTERVAL_S, ChangeTrigger
from bronzekeel.core.routing.demand_control import DemandControl, DemandControlMode
from bronzekeel.core.routing.demand_meter import WINDOW_S, DemandMeter
from bronzekeel.core.routing.departures import ENDED_S, Departure, Departures
from bronzekeel.core.routing.directory import Directory
from bronzekeel.core.routing.effects import Effect, WriteLine
from bronzekeel.core.routing.flow_lengths import MOST_ROUTES, FlowLengths
from bronzekeel.core.routing.heartbeats import far_heartbeat, near_heartbeat
from bronzekeel.core.routing.messages import Asked, Heartbeat, PeerAddress
from bronzekeel.core.routing.moving_load import (
    RAMP_UP_S,
    SURGE_CONFIRM_S,
    CentreReport,
    RemoteAllowances,
    SurgeShares,
)
from bronzekeel.entry.peer_messages import MessageError, decode_heartbeat, encode_heartbeat
from tests.routing_cases import (
    PORTAL,
    PORTAL_KEY,
    asking,
    delivered_to,
    entry,
    flow,
    opening,
    ready_state,
    steering,
)


class SharedRoomTest(TestCase):
    """What a data centre may have in progress elsewhere."""

    def setUp(self) -> None:
        """Start with nothing known."""
        self.room = RemoteAllowances()

    def test_room_grows_in_a_second_and_ends_at_once(self) -> None:
        """Guards against all data centres that fill a freed one at the same moment."""
        idle = CentreReport(0.75, 50, 0, hears=True)
        self.assertEqual(0, self._allowance(0, idle))
        self.assertAlmostEqual(4.5, self._allowance(RAMP_UP_S / 2, idle))
        self.assertAlmostEqual(9, self._allowance(RAMP_UP_S, idle))
        self.assertEqual(0, self._allowance(RAMP_UP_S, CentreReport(2, 50, 0, hears=True)))

    def test_a_way_that_is_lost_has_no_room(self) -> None:
        """Guards against flows to a data centre that does not hear this one."""
        self._allowance(0, CentreReport(0.75, 50, 0, hears=True))
        self.assertEqual(0, self._allowance(RAMP_UP_S, CentreReport(0.75, 50, 0, hears=False)))

    def test_who_lacked_room_shares_until_it_has_some(self) -> None:
        """Guards against parts that double and halve with each word."""
        loads = (1.1, 0.9, 0.7)
        parts = []
        for place, load in enumerate(loads):
            words = {
                'b': CentreReport(load, 50, 0, hears=True),
                'c': CentreReport(0.75, 50, 0, hears=True),
            }
            told = self.room.allowances_of(
                PORTAL, 'a', 50, words, _NINE_EACH, place * 2 * RAMP_UP_S
            )
            parts.append(told[1].requests)
        self.assertEqual(0, parts[0])
        self.assertAlmostEqual(4.5, parts[1])
        self.assertAlmostEqual(9, parts[2])

    def test_a_claim_is_kept_until_half_is_left(self) -> None:
        """Guards against a claim that comes and goes with the chance of a second."""
        full = {'b': CentreReport(2, 100, 5, hears=True), 'c': CentreReport(2, 100, 5, hears=True)}
        held = []
        for place, rate in enumerate((200, 450, 350, 150)):
            allowances = self.room.allowances_of(
                PORTAL, 'a', rate, full, _NINE_EACH, place * 2 * RAMP_UP_S
            )
            held.append(sum(allowance.requests for allowance in allowances) > 0)
        self.assertEqual([False, True, True, False], held)

    def _allowance(self, now: float, word: CentreReport) -> float:
        told = self.room.allowances_of(PORTAL, 'a', 50, {'b': word}, _NINE_EACH, now)
        return told[0].requests


_NINE_EACH = MappingProxyType({'a': 9, 'b': 9, 'c': 9})


class CrowdSharesTest(TestCase):
    """Which share of new flows leaves."""

    def test_a_crowd_lasts_until_little_more_is_asked(self) -> None:
        """Guards against shares that come and go with the chance of a second."""
        sent = self._sent(60, 500, 500, 180, 90)
        self.assertEqual([False, False, True, True, False], sent)

    def test_a_burst_everywhere_is_no_crowd(self) -> None:
        """Guards against data centres that hear late of each other's burst and send it around."""
        shares = SurgeShares()
        heard_late = {'a': 500.0, 'b': 50.0, 'c': 50.0}
        self.assertEqual({}, shares.shares_of(PORTAL, 'a', _NINE_EACH, heard_late, 1, 0))
        heard = {'a': 500.0, 'b': 450.0, 'c': 480.0}
        self.assertEqual({}, shares.shares_of(PORTAL, 'a', _NINE_EACH, heard, 1, SURGE_CONFIRM_S))

    def test_a_data_centre_with_room_keeps_its_crowd(self) -> None:
        """Guards against flows that cross while home can serve all of them."""
        rates = {'a': 500.0, 'b': 50.0, 'c': 50.0}
        shares = SurgeShares()
        for now in (0, SURGE_CONFIRM_S):
            self.assertEqual({}, shares.shares_of(PORTAL, 'a', _NINE_EACH, rates, 0.5, now))

    def _sent(self, *rates: float) -> list[bool]:
        """Return whether flows leave at rates that are told one after another."""
        shares = SurgeShares()
        sent = []
        for place, rate in enumerate(rates):
            told = {'a': rate, 'b': 50.0, 'c': 50.0}
            now = place * SURGE_CONFIRM_S
            sent.append(bool(shares.shares_of(PORTAL, 'a', _NINE_EACH, told, 1, now)))
        return sent


_SAMPLE_S = 0.1
_RATE = 1000


def _rates_of(samples: list[float]) -> list[float]:
    """Return what is told after each look while ``_RATE`` requests a second come."""
    meter = DemandMeter()
    directory = ready_state(entry(1)).directory
    rates = []
    for now in samples:
        meter.sample([PORTAL], {PORTAL: round(now * _RATE)}, directory, now)
        if meter.by_service:
            rates.append(meter.by_service[PORTAL].rate)
    return rates


class AskedTest(TestCase):
    """What callers ask for."""

    def test_the_refused_count_and_only_the_newest_half_second(self) -> None:
        """Guards against a data centre that refuses all its callers and seems to have none."""
        state = ready_state(entry(1))
        pool = state.directory.pools_by_service[PORTAL]['dc-a']
        meter = DemandMeter()
        self._sample(meter, state.directory, 0, 5)
        self.assertIsNone(meter.by_service)
        pool.refused = 7
        self._sample(meter, state.directory, 5 * _SAMPLE_S, 1)
        told = meter.by_service or {}
        self.assertAlmostEqual(7 / WINDOW_S, told[PORTAL].rate)
        self.assertEqual(7, told[PORTAL].lacking)
        self._sample(meter, state.directory, 6 * _SAMPLE_S, 9)
        told = meter.by_service or {}
        self.assertEqual((0, 0), (told[PORTAL].rate, told[PORTAL].lacking))

    def test_uneven_ticks_change_no_rate(self) -> None:
        """Guards against ticks a little apart from a tenth of a second: twice the rate was told."""
        for jitter_s in (0, 0.003, -0.003, 0.04):
            with self.subTest(jitter_s=jitter_s):
                rates = _rates_of(
                    [place * _SAMPLE_S + place % 2 * jitter_s for place in range(100)]
                )
                self.assertLess(max(rates), 1.1 * _RATE)
                self.assertGreater(min(rates), 0.9 * _RATE)

    def test_what_came_while_nobody_looked_is_no_rate(self) -> None:
        """Guards against the requests of ten minutes told as those of half a second."""
        rates = _rates_of([0, 0.1, 0.2, 0.3, 0.4, 0.5, 600, 600.1, 600.2, 600.3, 600.4, 600.5])
        self.assertLess(max(rates), 1.1 * _RATE)

    def _sample(
        self, meter: DemandMeter, directory: Directory, from_s: float, samples: int
    ) -> None:
        for place in range(samples):
            meter.sample([PORTAL], {PORTAL: 0}, directory, from_s + place * _SAMPLE_S)


class NewsTest(TestCase):
    """What is told early."""

    def test_early_heartbeats_are_bounded(self) -> None:
        """Guards against a round of heartbeats for each request that waits."""
        news: ChangeTrigger[str] = ChangeTrigger(1, 0.25)
        told = set()
        for place in range(40):
            news.note({'a': place % 2 * 8}, place * 0.1)
            told.add(news.changed_at)
        self.assertLessEqual(len(told), 4 / MIN_INTERVAL_S + 1)

    def test_small_changes_wait(self) -> None:
        """Guards against early heartbeats in calm."""
        news: ChangeTrigger[str] = ChangeTrigger(1, 0.25)
        news.note({'a': 20}, 1)
        news.note({'a': 24}, 2)
        self.assertEqual(1, news.changed_at)
        news.note({'a': 28}, 3)
        self.assertEqual(3, news.changed_at)

    def test_what_is_told_can_be_read(self) -> None:
        """Guards against a field that is lost on the wire; a former version sends none."""
        me = PeerAddress('a1', 'dc-a', ('a1', 9))
        sent = Heartbeat(
            me,
            1,
            1,
            {},
            asked_by_service={PORTAL: Asked(81, 3)},
            hears=('dc-b',),
            unheard=('dc-c',),
        )
        back = decode_heartbeat(encode_heartbeat(sent))
        asked = (back.asked_by_service or {})[PORTAL]
        self.assertEqual((81, 3), (asked.rate, asked.lacking))
        self.assertEqual((('dc-b',), ('dc-c',)), (back.hears, back.unheard))
        former = decode_heartbeat(encode_heartbeat(Heartbeat(me, 1, 1, {})))
        self.assertIsNone(former.asked_by_service)
        self.assertEqual(((), ()), (former.hears, former.unheard))

    def test_unreadable_fields_are_refused(self) -> None:
        """Guards against a peer's nonsense that is reckoned with."""
        me = PeerAddress('a1', 'dc-a', ('a1', 9))
        raw = encode_heartbeat(Heartbeat(me, 1, 1, {}, asked_by_service={}))
        for asked in ('5', '[["portal",-1,0]]', '[["portal",1e999,0]]', '[["portal",1,-1]]'):
            broken = raw.replace(b'"asked":[]', f'"asked":{asked}'.encode())
            self.assertNotEqual(raw, broken)
            with self.assertRaises(MessageError):
                decode_heartbeat(broken)
        with self.assertRaises(MessageError):
            decode_heartbeat(raw.replace(b'"asked":[]', b'"hears":[5,null]'))

    def test_a_service_that_is_not_covered_adds_nothing(self) -> None:
        """Guards against bytes and decisions for services whose demand is not controlled."""
        state = ready_state(entry(1))
        for heartbeat in (near_heartbeat(state, 1), far_heartbeat(state, (), 1)):
            raw = encode_heartbeat(heartbeat)
            self.assertNotIn(b'asked', raw)
            self.assertNotIn(b'hear', raw)


class SteeringTest(TestCase):
    """Which flows go elsewhere when their host has no room."""

    def setUp(self) -> None:
        """Let home have no room, and another data centre some."""
        self.state = ready_state(entry(1), entry(2, data_centre='dc-b'))
        self.state.demand.control = DemandControl(DemandControlMode.ALWAYS)
        self.chosen = steering(self.state)
        pools = self.state.directory.pools_by_service[PORTAL]
        pools['dc-a'].limit = 0
        pools['dc-b'].allowance = 9

    def test_a_long_flow_stays_while_neighbours_have_room(self) -> None:
        """Guards against feeds that cross for life because one host is full by chance."""
        self.assertEqual('Wait', self._open(1))

    def test_a_long_flow_goes_when_the_data_centre_is_full(self) -> None:
        """Guards against feeds that pile up where nobody can serve them."""
        self.state.demand.moving.load_by_service = {PORTAL: 1.2}
        self.assertEqual(entry(2).name, self._open(1))

    def test_a_short_flow_goes_at_once(self) -> None:
        """Guards against single requests that wait beside idle upstreams elsewhere."""
        for number in range(20):
            self.state.flows.lengths.note_opening(flow(number))
            self.state.flows.lengths.note_request(flow(number))
        self.assertEqual(entry(2).name, self._open(1))

    def test_who_would_be_refused_goes_elsewhere(self) -> None:
        """Guards against refusals while another data centre has room."""
        self._open(1)
        told = list(self.chosen.resume(0.41))
        self.assertEqual([entry(2).name], [delivered_to(verdict) for _, verdict in told])
        departures = self.state.demand.moving.departures
        self.assertEqual(1, departures.flows_by_reason[Departure.ELSE_REFUSED])

    def test_a_flow_without_a_home_goes_wherever_there_is_room(self) -> None:
        """Guards against callers of an evacuated data centre that wait for a full one."""
        state = ready_state(entry(2, data_centre='dc-b'), entry(3, data_centre='dc-c'))
        state.demand.control = DemandControl(DemandControlMode.ALWAYS)
        pools = state.directory.pools_by_service[PORTAL]
        pools['dc-b'].limit = 0
        pools['dc-c'].limit = 0
        pools['dc-c'].allowance = 1
        verdict = steering(state).decide(opening(1), 0)
        self.assertEqual(entry(3).name, delivered_to(verdict))

    def test_nobody_crosses_while_home_has_room(self) -> None:
        """Guards against bytes between data centres for flows that home can serve."""
        self.state.directory.pools_by_service[PORTAL]['dc-a'].limit = 9
        self.state.demand.moving.load_by_service = {PORTAL: 1.2}
        self.assertEqual(entry(1).name, self._open(1))

    def test_a_service_that_is_not_covered_is_served_as_before(self) -> None:
        """Guards against other customers' flows that wait where they went elsewhere."""
        self.state.demand.control = DemandControl(DemandControlMode.NEVER)
        self.assertEqual(entry(2).name, self._open(1))
        self.assertEqual(0, sum(self.state.demand.moving.departures.flows_by_reason.values()))

    def _open(self, number: int) -> str:
        return delivered_to(self.chosen.decide(opening(number), 0))


class FlowLengthsTest(TestCase):
    """How many requests flows carry."""

    def test_short_and_long_flows_are_told_apart(self) -> None:
        """Guards against feeds that cross data centres for all their life."""
        short, long = (FlowLengths(), FlowLengths())
        for number in range(20):
            key = flow(number)
            for lengths, requests in ((short, 1), (long, 5)):
                lengths.note_opening(key)
                for _ in range(requests):
                    lengths.note_request(key)
        self.assertTrue(short.is_short(PORTAL_KEY))
        self.assertFalse(long.is_short(PORTAL_KEY))
        self.assertFalse(FlowLengths().is_short(PORTAL_KEY))

    def test_routes_that_are_counted_are_bounded(self) -> None:
        """Guards against memory that grows with each route that ever was."""
        lengths = FlowLengths()
        for number in range(MOST_ROUTES + 1):
            key = number.to_bytes(6, 'big')
            for _ in range(10):
                lengths.note_opening(flow(1, key))
                lengths.note_request(flow(1, key))
        self.assertFalse(lengths.is_short((0).to_bytes(6, 'big')))
        self.assertTrue(lengths.is_short(MOST_ROUTES.to_bytes(6, 'big')))

    def test_requests_of_open_flows_count(self) -> None:
        """Guards against flows of many requests that are counted by their openings."""
        state = ready_state(entry(1))
        upstream = state.directory.by_name[entry(1).name]
        for number in range(20):
            state.flows.place(opening(number).flow, upstream, number)
            for request in range(4):
                packet = asking(number, 1, 101 + request, acknowledged=7 + request)
                state.flows.see(packet, upstream, number + request / 10)
        self.assertFalse(state.flows.lengths.is_short(PORTAL_KEY))


class DeparturesTest(TestCase):
    """What operators are told."""

    def test_a_crowd_is_two_lines(self) -> None:
        """Guards against a line for each flow that leaves."""
        departures = Departures()
        told: list[Effect] = []
        for place in range(50):
            departures.note(PORTAL, Departure.NO_ROOM, place / 10)
            told.extend(departures.look(place / 10))
        told.extend(departures.look(5 + ENDED_S))
        lines = [line for line in told if isinstance(line, WriteLine)]
        numbers = [line.number for line in lines]
        ended = LogNumber.SENDING_ELSEWHERE_ENDED
        self.assertEqual([LogNumber.SENDING_ELSEWHERE, ended], numbers)
        self.assertEqual(50, lines[1].fields['flows'])
        self.assertEqual(50, departures.flows_by_reason[Departure.NO_ROOM])
