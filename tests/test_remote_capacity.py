"""Test how capacity in other data centres is computed and reported, and which flows move there."""

from types import MappingProxyType
from unittest import TestCase

from bronzekeel.core.log_numbers import LogNumber
from bronzekeel.core.routing.change_trigger import MIN_INTERVAL_S, ChangeTrigger
from bronzekeel.core.routing.demand_control import DemandControl, DemandControlMode
from bronzekeel.core.routing.demand_meter import WINDOW_S, DemandMeter
from bronzekeel.core.routing.directory import Directory
from bronzekeel.core.routing.effects import Effect, WriteLine
from bronzekeel.core.routing.flow_lengths import MAX_ROUTES, FlowLengths
from bronzekeel.core.routing.heartbeats import local_heartbeat, remote_heartbeat
from bronzekeel.core.routing.messages import Heartbeat, PeerAddress, ServiceDemand
from bronzekeel.core.routing.moving_load import (
    RAMP_UP_S,
    SURGE_CONFIRM_S,
    CentreReport,
    RemoteAllowances,
    SurgeShares,
)
from bronzekeel.core.routing.remote_flows import SENDING_ENDED_S, RemoteFlowReason, RemoteFlows
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


class RemoteAllowancesTest(TestCase):
    """Requests that a data centre may have in progress remotely."""

    def setUp(self) -> None:
        """Start with nothing known."""
        self.remote_allowances = RemoteAllowances()

    def test_allowances_grow_in_a_second_and_end_at_once(self) -> None:
        """Guards against all data centres filling a recovered one at the same moment."""
        idle = CentreReport(0.75, 50, 0, receives_reports=True)
        self.assertEqual(0, self._allowance(0, idle))
        self.assertAlmostEqual(4.5, self._allowance(RAMP_UP_S / 2, idle))
        self.assertAlmostEqual(9, self._allowance(RAMP_UP_S, idle))
        self.assertEqual(
            0, self._allowance(RAMP_UP_S, CentreReport(2, 50, 0, receives_reports=True))
        )

    def test_a_lost_link_has_no_allowance(self) -> None:
        """Guards against flows to a data centre that does not receive reports of this one."""
        self._allowance(0, CentreReport(0.75, 50, 0, receives_reports=True))
        self.assertEqual(
            0, self._allowance(RAMP_UP_S, CentreReport(0.75, 50, 0, receives_reports=False))
        )

    def test_full_data_centres_share_until_they_recover(self) -> None:
        """Guards against parts that double and halve with each report."""
        loads = (1.1, 0.9, 0.7)
        parts = []
        for place, load in enumerate(loads):
            reports = {
                'b': CentreReport(load, 50, 0, receives_reports=True),
                'c': CentreReport(0.75, 50, 0, receives_reports=True),
            }
            allowances = self.remote_allowances.allowances_of(
                PORTAL, 'a', 50, reports, _NINE_EACH, place * 2 * RAMP_UP_S
            )
            parts.append(allowances[1].requests)
        self.assertEqual(0, parts[0])
        self.assertAlmostEqual(4.5, parts[1])
        self.assertAlmostEqual(9, parts[2])

    def test_a_claim_lasts_until_half_of_it_is_left(self) -> None:
        """Guards against a claim that comes and goes with the random variation of a second."""
        full = {
            'b': CentreReport(2, 100, 5, receives_reports=True),
            'c': CentreReport(2, 100, 5, receives_reports=True),
        }
        has_claim = []
        for place, rate in enumerate((200, 450, 350, 150)):
            allowances = self.remote_allowances.allowances_of(
                PORTAL, 'a', rate, full, _NINE_EACH, place * 2 * RAMP_UP_S
            )
            has_claim.append(sum(allowance.requests for allowance in allowances) > 0)
        self.assertEqual([False, True, True, False], has_claim)

    def _allowance(self, now: float, report: CentreReport) -> float:
        allowances = self.remote_allowances.allowances_of(
            PORTAL, 'a', 50, {'b': report}, _NINE_EACH, now
        )
        return allowances[0].requests


_NINE_EACH = MappingProxyType({'a': 9, 'b': 9, 'c': 9})


class SurgeSharesTest(TestCase):
    """Shares of new flows that move."""

    def test_a_surge_ends_below_its_end_factor(self) -> None:
        """Guards against shares that come and go with the random variation of a second."""
        moved = self._moves_flows(60, 500, 500, 180, 90)
        self.assertEqual([False, False, True, True, False], moved)

    def test_a_burst_everywhere_is_no_surge(self) -> None:
        """Guards against data centres that learn late of each other's burst and exchange it."""
        shares = SurgeShares()
        received_late = {'a': 500.0, 'b': 50.0, 'c': 50.0}
        self.assertEqual({}, shares.shares_of(PORTAL, 'a', _NINE_EACH, received_late, 1, 0))
        received = {'a': 500.0, 'b': 450.0, 'c': 480.0}
        self.assertEqual(
            {}, shares.shares_of(PORTAL, 'a', _NINE_EACH, received, 1, SURGE_CONFIRM_S)
        )

    def test_a_data_centre_with_capacity_keeps_its_flows(self) -> None:
        """Guards against moving flows that can all be served locally."""
        rates = {'a': 500.0, 'b': 50.0, 'c': 50.0}
        shares = SurgeShares()
        for now in (0, SURGE_CONFIRM_S):
            self.assertEqual({}, shares.shares_of(PORTAL, 'a', _NINE_EACH, rates, 0.5, now))

    def _moves_flows(self, *rates: float) -> list[bool]:
        """Return whether flows move at rates that are reported one after another."""
        shares = SurgeShares()
        moved = []
        for place, rate in enumerate(rates):
            rate_by_centre = {'a': rate, 'b': 50.0, 'c': 50.0}
            now = place * SURGE_CONFIRM_S
            moved.append(bool(shares.shares_of(PORTAL, 'a', _NINE_EACH, rate_by_centre, 1, now)))
        return moved


_SAMPLE_S = 0.1
_RATE = 1000


def _rates_of(samples: list[float]) -> list[float]:
    """Return the rate after each sample while ``_RATE`` requests a second arrive."""
    meter = DemandMeter()
    directory = ready_state(entry(1)).directory
    rates = []
    for now in samples:
        meter.sample([PORTAL], {PORTAL: round(now * _RATE)}, directory, now)
        if meter.by_service:
            rates.append(meter.by_service[PORTAL].rate)
    return rates


class DemandMeterTest(TestCase):
    """Measured demand."""

    def test_refusals_count_in_the_last_half_second(self) -> None:
        """Guards against a data centre that refuses all its callers and seems to have no demand."""
        state = ready_state(entry(1))
        pool = state.directory.pools_by_service[PORTAL]['dc-a']
        meter = DemandMeter()
        self._sample(meter, state.directory, 0, 5)
        self.assertIsNone(meter.by_service)
        pool.refused = 7
        self._sample(meter, state.directory, 5 * _SAMPLE_S, 1)
        demand = meter.by_service or {}
        self.assertAlmostEqual(7 / WINDOW_S, demand[PORTAL].rate)
        self.assertEqual(7, demand[PORTAL].unserved)
        self._sample(meter, state.directory, 6 * _SAMPLE_S, 9)
        demand = meter.by_service or {}
        self.assertEqual((0, 0), (demand[PORTAL].rate, demand[PORTAL].unserved))

    def test_uneven_ticks_do_not_change_the_rate(self) -> None:
        """Guards against ticks a few milliseconds off a tenth of a second that double the rate."""
        for jitter_s in (0, 0.003, -0.003, 0.04):
            with self.subTest(jitter_s=jitter_s):
                rates = _rates_of(
                    [place * _SAMPLE_S + place % 2 * jitter_s for place in range(100)]
                )
                self.assertLess(max(rates), 1.1 * _RATE)
                self.assertGreater(min(rates), 0.9 * _RATE)

    def test_requests_during_a_gap_are_left_out(self) -> None:
        """Guards against the requests of ten minutes without samples counted as one window."""
        rates = _rates_of([0, 0.1, 0.2, 0.3, 0.4, 0.5, 600, 600.1, 600.2, 600.3, 600.4, 600.5])
        self.assertLess(max(rates), 1.1 * _RATE)

    def _sample(
        self, meter: DemandMeter, directory: Directory, from_s: float, samples: int
    ) -> None:
        for place in range(samples):
            meter.sample([PORTAL], {PORTAL: 0}, directory, from_s + place * _SAMPLE_S)


class ReportTest(TestCase):
    """Early reports, and the demand in heartbeats."""

    def test_early_heartbeats_are_bounded(self) -> None:
        """Guards against a round of heartbeats for each request that waits."""
        trigger: ChangeTrigger[str] = ChangeTrigger(1, 0.25)
        reported = set()
        for place in range(40):
            trigger.note({'a': place % 2 * 8}, place * 0.1)
            reported.add(trigger.changed_at)
        self.assertLessEqual(len(reported), 4 / MIN_INTERVAL_S + 1)

    def test_small_changes_are_not_reported_early(self) -> None:
        """Guards against early heartbeats in calm periods."""
        trigger: ChangeTrigger[str] = ChangeTrigger(1, 0.25)
        trigger.note({'a': 20}, 1)
        trigger.note({'a': 24}, 2)
        self.assertEqual(1, trigger.changed_at)
        trigger.note({'a': 28}, 3)
        self.assertEqual(3, trigger.changed_at)

    def test_heartbeats_carry_the_demand(self) -> None:
        """Guards against a field lost in encoding; an older version sends none."""
        me = PeerAddress('a1', 'dc-a', ('a1', 9))
        sent = Heartbeat(
            me,
            1,
            1,
            {},
            demand_by_service={PORTAL: ServiceDemand(81, 3)},
            hears=('dc-b',),
            unheard=('dc-c',),
        )
        back = decode_heartbeat(encode_heartbeat(sent))
        demand = (back.demand_by_service or {})[PORTAL]
        self.assertEqual((81, 3), (demand.rate, demand.unserved))
        self.assertEqual((('dc-b',), ('dc-c',)), (back.hears, back.unheard))
        former = decode_heartbeat(encode_heartbeat(Heartbeat(me, 1, 1, {})))
        self.assertIsNone(former.demand_by_service)
        self.assertEqual(((), ()), (former.hears, former.unheard))

    def test_unreadable_fields_are_rejected(self) -> None:
        """Guards against computing with invalid figures of a peer."""
        me = PeerAddress('a1', 'dc-a', ('a1', 9))
        raw = encode_heartbeat(Heartbeat(me, 1, 1, {}, demand_by_service={}))
        for demand in ('5', '[["portal",-1,0]]', '[["portal",1e999,0]]', '[["portal",1,-1]]'):
            broken = raw.replace(b'"asked":[]', f'"asked":{demand}'.encode())
            self.assertNotEqual(raw, broken)
            with self.assertRaises(MessageError):
                decode_heartbeat(broken)
        with self.assertRaises(MessageError):
            decode_heartbeat(raw.replace(b'"asked":[]', b'"hears":[5,null]'))

    def test_uncontrolled_services_add_nothing(self) -> None:
        """Guards against bytes and decisions for services whose demand is not controlled."""
        state = ready_state(entry(1))
        for heartbeat in (local_heartbeat(state, 1), remote_heartbeat(state, (), 1)):
            raw = encode_heartbeat(heartbeat)
            self.assertNotIn(b'asked', raw)
            self.assertNotIn(b'hear', raw)


class SteeringTest(TestCase):
    """Flows whose host has no free capacity."""

    def setUp(self) -> None:
        """Start without free local capacity, and with some in another data centre."""
        self.state = ready_state(entry(1), entry(2, data_centre='dc-b'))
        self.state.demand.control = DemandControl(DemandControlMode.ALWAYS)
        self.policy = steering(self.state)
        pools = self.state.directory.pools_by_service[PORTAL]
        pools['dc-a'].limit = 0
        pools['dc-b'].allowance = 9

    def test_a_long_flow_stays_while_neighbours_have_capacity(self) -> None:
        """Guards against feeds that stay remote for life because one host was full by chance."""
        self.assertEqual('Wait', self._open(1))

    def test_a_long_flow_moves_when_the_data_centre_is_full(self) -> None:
        """Guards against feeds that pile up where nobody can serve them."""
        self.state.demand.moving.load_by_service = {PORTAL: 1.2}
        self.assertEqual(entry(2).name, self._open(1))

    def test_a_short_flow_moves_at_once(self) -> None:
        """Guards against single requests that wait beside idle remote upstreams."""
        for number in range(20):
            self.state.flows.lengths.note_opening(flow(number))
            self.state.flows.lengths.note_request(flow(number))
        self.assertEqual(entry(2).name, self._open(1))

    def test_flows_move_rather_than_be_refused(self) -> None:
        """Guards against refusals while another data centre has free capacity."""
        self._open(1)
        resumed = list(self.policy.resume(0.41))
        self.assertEqual([entry(2).name], [delivered_to(verdict) for _, verdict in resumed])
        remote_flows = self.state.demand.moving.remote_flows
        self.assertEqual(1, remote_flows.flows_by_reason[RemoteFlowReason.ELSE_REFUSED])

    def test_a_flow_without_local_upstreams_finds_capacity(self) -> None:
        """Guards against callers of an evacuated data centre that wait for one that is full."""
        state = ready_state(entry(2, data_centre='dc-b'), entry(3, data_centre='dc-c'))
        state.demand.control = DemandControl(DemandControlMode.ALWAYS)
        pools = state.directory.pools_by_service[PORTAL]
        pools['dc-b'].limit = 0
        pools['dc-c'].limit = 0
        pools['dc-c'].allowance = 1
        verdict = steering(state).decide(opening(1), 0)
        self.assertEqual(entry(3).name, delivered_to(verdict))

    def test_no_flow_moves_while_there_is_local_capacity(self) -> None:
        """Guards against traffic between data centres for flows that can be served locally."""
        self.state.directory.pools_by_service[PORTAL]['dc-a'].limit = 9
        self.state.demand.moving.load_by_service = {PORTAL: 1.2}
        self.assertEqual(entry(1).name, self._open(1))

    def test_uncontrolled_services_move_flows_at_once(self) -> None:
        """Guards against waits of flows whose service's demand is not controlled."""
        self.state.demand.control = DemandControl(DemandControlMode.NEVER)
        self.assertEqual(entry(2).name, self._open(1))
        self.assertEqual(0, sum(self.state.demand.moving.remote_flows.flows_by_reason.values()))

    def _open(self, number: int) -> str:
        return delivered_to(self.policy.decide(opening(number), 0))


class FlowLengthsTest(TestCase):
    """Requests for each flow."""

    def test_short_and_long_flows_are_distinguished(self) -> None:
        """Guards against feeds that use a remote upstream for all their life."""
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

    def test_counted_routes_are_bounded(self) -> None:
        """Guards against memory that grows with every route that ever existed."""
        lengths = FlowLengths()
        for number in range(MAX_ROUTES + 1):
            key = number.to_bytes(6, 'big')
            for _ in range(10):
                lengths.note_opening(flow(1, key))
                lengths.note_request(flow(1, key))
        self.assertFalse(lengths.is_short((0).to_bytes(6, 'big')))
        self.assertTrue(lengths.is_short(MAX_ROUTES.to_bytes(6, 'big')))

    def test_requests_of_open_flows_count(self) -> None:
        """Guards against flows of many requests that are counted by their openings alone."""
        state = ready_state(entry(1))
        upstream = state.directory.by_name[entry(1).name]
        for number in range(20):
            state.flows.place(opening(number).flow, upstream, number)
            for request in range(4):
                packet = asking(number, 1, 101 + request, acknowledged=7 + request)
                state.flows.note_packet(packet, upstream, number + request / 10)
        self.assertFalse(state.flows.lengths.is_short(PORTAL_KEY))


class RemoteFlowsTest(TestCase):
    """Log lines on flows that move."""

    def test_a_surge_logs_two_lines(self) -> None:
        """Guards against a line for each flow that moves."""
        remote_flows = RemoteFlows()
        effects: list[Effect] = []
        for place in range(50):
            remote_flows.note(PORTAL, RemoteFlowReason.NO_FREE_CAPACITY, place / 10)
            effects.extend(remote_flows.poll(place / 10))
        effects.extend(remote_flows.poll(5 + SENDING_ENDED_S))
        lines = [line for line in effects if isinstance(line, WriteLine)]
        numbers = [line.number for line in lines]
        ended = LogNumber.SENDING_ELSEWHERE_ENDED
        self.assertEqual([LogNumber.SENDING_ELSEWHERE, ended], numbers)
        self.assertEqual(50, lines[1].fields['flows'])
        self.assertEqual(50, remote_flows.flows_by_reason[RemoteFlowReason.NO_FREE_CAPACITY])
