"""Test limits of requests in progress, and the waiting of requests beyond them."""

from unittest import TestCase

from bronzekeel.core.log_numbers import LogNumber
from bronzekeel.core.routing.admission import STUCK_FACTOR, STUCK_SLACK, RequestsPerSlot
from bronzekeel.core.routing.effects import WriteLine
from bronzekeel.core.routing.events import ChangesRead, StoredObject
from bronzekeel.core.routing.follower import Collection
from bronzekeel.core.routing.messages import Allowance
from bronzekeel.core.routing.model import FlowPacket, UpstreamEntry
from bronzekeel.core.routing.overflow import apply_allowances, claims_of, free_capacity_by_centre
from bronzekeel.core.routing.overload import OverloadWatch
from bronzekeel.core.routing.pools import (
    MIN_ANSWER_TIMEOUT_S,
    NO_LIMIT,
    QUEUE_GAP_S,
    REQUESTS_PER_SLOT,
    Pool,
)
from bronzekeel.core.routing.reducer import reduce
from bronzekeel.core.routing.state import RoutingState
from bronzekeel.core.routing.steering import LATE_REFUSAL_S, ConnectionIdSteering
from bronzekeel.core.routing.verdicts import Verdict
from bronzekeel.core.routing.waiting import MAX_WAITING_BYTES, NewestFirst, WaitingRequests
from bronzekeel.core.routing.waiting_bounds import (
    MAX_BACKLOG_WAIT_S,
    MAX_OPENING_WAIT_S,
    OVERLOAD_S,
)
from tests.routing_cases import (
    INTAKE,
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


_FEED_KEY = bytes((198, 18, 0, 1, 32, 251))


def _limited_state(*entries: UpstreamEntry) -> RoutingState:
    """Return a ready state whose limits follow the slots of its upstreams."""
    return ready_state(*entries, admission_of=RequestsPerSlot)


def _pool_of(state: RoutingState, service: str = PORTAL) -> Pool:
    """Return the local pool of a service."""
    return state.directory.pools_by_service[service][LOCAL_CENTRE]


def _resumed(policy: ConnectionIdSteering, now: float) -> list[tuple[FlowPacket, Verdict]]:
    """Return the packets that no longer wait, with their verdicts."""
    return list(policy.resume(now))


class LimitTest(TestCase):
    """Limits of requests in progress."""

    def test_limits_exist_before_the_first_packet(self) -> None:
        """Guards against pools that have no limit before the first tick.

        After all balancers were down, the backlog of callers arrives at once. Without a limit it
        fills the queues of upstreams, and callers wait for 0.3 s.
        """
        state = _limited_state(entry(1))
        self.assertEqual(3 * REQUESTS_PER_SLOT, _pool_of(state).limit)

    def test_idle_pools_have_fresh_limits(self) -> None:
        """Guards against a stale limit of an idle pool.

        If the limit stays as it was computed for a few upstreams, the first callers of a burst
        after a quiet hour are refused.
        """
        state = _limited_state(entry(1))
        _pool_of(state).limit = 1
        state.admission.update_limits(2)
        self.assertEqual(3 * REQUESTS_PER_SLOT, _pool_of(state).limit)

    def test_abandoned_flows_use_no_capacity(self) -> None:
        """Guards against counting abandoned flows as requests in progress.

        After all balancers were down, a new one forwards opening packets of flows that callers have
        given up. For half a second callers would wait while upstreams idle.
        """
        state = _limited_state(entry(1))
        policy = steering(state)
        for number in range(6):
            policy.decide(opening(number), 0)
        self.assertFalse(_pool_of(state).has_free_capacity)
        state.flows.expire(15, MIN_ANSWER_TIMEOUT_S)
        self.assertEqual(0, _pool_of(state).busy)
        first = state.directory.by_name[entry(1).name]
        self.assertEqual(6, first.busy_flows)

    def test_a_crashed_upstream_is_detected_at_once(self) -> None:
        """Guards against detecting a crashed upstream by repeated packets only.

        A crashed upstream resets every flow, so callers retry with new flows and no packet is
        repeated. Until its entry lapses seconds later it looks idle and attracts flows, which fail
        within milliseconds.
        """
        state = _limited_state(entry(1), entry(2))
        policy = steering(state)
        crashed = delivered_to(policy.decide(opening(1), 0))
        state.flows.expire(15, MIN_ANSWER_TIMEOUT_S)
        names = {delivered_to(policy.decide(opening(number), 0.06)) for number in range(2, 6)}
        self.assertNotIn(crashed, names)
        self.assertEqual(1, state.directory.by_name[crashed].unanswered)

    def test_an_unanswered_opening_counts_once(self) -> None:
        """A repeated opening does not double the time for which the upstream is avoided."""
        state = _limited_state(entry(1), entry(2))
        policy = steering(state)
        silent = delivered_to(policy.decide(opening(1), 0))
        state.flows.expire(15, MIN_ANSWER_TIMEOUT_S)
        policy.decide(opening(1, copy=1), 0.2)
        self.assertEqual(1, state.directory.by_name[silent].unanswered)

    def test_distant_callers_have_more_time(self) -> None:
        """Guards against one time limit for the answers of all callers.

        When callers are 0.1 to 0.15 s away, all upstreams would count as unresponsive, and no limit
        would apply.
        """
        state = _limited_state(entry(1))
        pool = _pool_of(state)
        for way_s in (0.1, 0.15) * 20:
            pool.note_rtt(way_s)
        steering(state).decide(opening(1), 0)
        state.flows.expire(15, 0.15)
        self.assertEqual(0, state.directory.by_name[entry(1).name].unanswered)
        state.flows.expire(15, 0.3)
        self.assertEqual(1, state.directory.by_name[entry(1).name].unanswered)

    def test_a_flow_that_opens_late_uses_capacity_again(self) -> None:
        """Its first request counts, however long the opening took."""
        state = _limited_state(entry(1))
        policy = steering(state)
        given = id_given(policy.decide(opening(1), 0))
        state.flows.expire(15, MIN_ANSWER_TIMEOUT_S)
        policy.decide(asking(1, given), MIN_ANSWER_TIMEOUT_S)
        self.assertEqual(1, _pool_of(state).busy)
        policy.decide(acknowledging(1, given, 20), 1)
        self.assertEqual(0, _pool_of(state).busy)

    def test_the_limit_follows_the_slots(self) -> None:
        """One balancer may use all slots: half in a cold start, none of draining upstreams."""
        cold = entry(2, cold_s=5)
        state = _limited_state(entry(1), cold, entry(3, draining=True))
        self._start_one_request(state)
        self.assertEqual((3 + 3 / 2) * REQUESTS_PER_SLOT, _pool_of(state).limit)

    def test_requests_in_transit_use_no_slot(self) -> None:
        """Guards against counting every request in progress as one that holds a slot.

        With callers 0.1 s away that send a hundred requests a second of 0.01 s work, requests would
        be refused while upstreams are idle.
        """
        state = _limited_state(entry(1))
        self._start_one_request(state)
        pool = _pool_of(state)
        for _ in range(50):
            pool.note_rtt(0.1)
        for tick in range(1, 40):
            pool.answered += 10
            state.admission.update_limits(tick / 10)
        self.assertAlmostEqual(3 * REQUESTS_PER_SLOT + 10, pool.limit, 1)

    def test_unresponsive_upstreams_do_not_fill_the_limit(self) -> None:
        """Guards against counting requests at an unresponsive upstream as work.

        Callers would wait while slots of the other upstreams are free.
        """
        state = _limited_state(entry(1), entry(2))
        silent, other = state.directory.by_name.values()
        self._start_one_request(state)
        pool = _pool_of(state)
        silent.busy_flows = 7
        silent.avoided_until = 10
        other.busy_flows = 1
        pool.busy = 8
        state.admission.update_limits(1)
        self.assertEqual(3 * REQUESTS_PER_SLOT + 7, pool.limit)

    def test_a_slow_upstream_does_not_fill_the_limit(self) -> None:
        """Guards against counting the requests at a slow upstream like all others.

        One upstream works five times slower and keeps its feeds; callers would wait for its
        requests.
        """
        state = _limited_state(entry(1), entry(2))
        slow, other = state.directory.by_name.values()
        self._start_one_request(state)
        slow.busy_flows = 12
        other.busy_flows = 2
        _pool_of(state).busy = 14
        state.admission.update_limits(1)
        stuck = 12 - 2 * STUCK_FACTOR - STUCK_SLACK
        self.assertEqual(6 * REQUESTS_PER_SLOT + stuck, _pool_of(state).limit)

    def _start_one_request(self, state: RoutingState) -> None:
        """Start one request, and update the limits."""
        steering(state).decide(opening(1), 0)
        state.admission.update_limits(0)


class WaitingTest(TestCase):
    """Requests that find no free capacity."""

    def setUp(self) -> None:
        """Start with an upstream that has capacity for one request, taken by a feed."""
        feed = route(_FEED_KEY, PORTAL, 2, 0.8)
        urgent = route(PORTAL_KEY, PORTAL, 1)
        self.state = _limited_state(entry(1))
        stored = StoredObject('main', 50, text(50, feed, urgent))
        reduce(self.state, ChangesRead(Collection.TEXT, [stored], 50), 0)
        self.policy = steering(self.state)
        self.given = id_given(self.policy.decide(opening(1, key=_FEED_KEY), 0))
        self.policy.decide(asking(1, self.given, key=_FEED_KEY), 0)
        self.pool = _pool_of(self.state)
        self.pool.limit = 1

    def test_an_opening_packet_waits_and_is_sent(self) -> None:
        """It is placed as soon as a request ends."""
        self.assertEqual('Wait', delivered_to(self.policy.decide(opening(2), 0)))
        self.assertEqual([], _resumed(self.policy, 0))
        self._acknowledge_answer(0.01)
        sent = _resumed(self.policy, 0.01)
        self.assertEqual([flow(2)], [packet.flow for packet, _ in sent])
        self.assertEqual([entry(1).name], [delivered_to(verdict) for _, verdict in sent])
        self.assertEqual(0, self.pool.waiting)

    def test_a_short_backlog_refuses_nobody(self) -> None:
        """Guards against refusing a backlog that clears within half a second.

        When all balancers restart, what callers sent in the meantime arrives at once. Refusing it
        within milliseconds would turn a tenth of all callers away.
        """
        self.policy.decide(opening(2), 0)
        self.assertEqual([], _resumed(self.policy, MAX_BACKLOG_WAIT_S - 0.01))
        self.assertEqual(['Reset overloaded'], self._outcomes(MAX_BACKLOG_WAIT_S))
        self.assertEqual(1, self.pool.refused)

    def test_in_an_overload_flows_are_refused_at_once(self) -> None:
        """Guards against letting flows wait for half a second in an overload before a refusal."""
        now: float = 0
        number = 2
        while now < OVERLOAD_S + 0.1:
            self.policy.decide(opening(number), now)
            _resumed(self.policy, now)
            number += 1
            now += QUEUE_GAP_S / 2
        self.policy.decide(opening(number), now)
        outcomes = self._outcomes(now + MAX_OPENING_WAIT_S)
        self.assertIn('Reset overloaded', outcomes)
        self.assertIsNone(self.state.waiting.of_flow(flow(number)))

    def test_an_overload_ends_when_nothing_waits(self) -> None:
        """A queue that forms again counts as a backlog."""
        self.policy.decide(opening(2), 0)
        self._outcomes(MAX_BACKLOG_WAIT_S)
        later = MAX_BACKLOG_WAIT_S + OVERLOAD_S
        self.assertEqual(0, self.pool.queued_s(later))
        self.policy.decide(opening(3), later)
        self.assertEqual([], _resumed(self.policy, later + MAX_BACKLOG_WAIT_S - 0.01))

    def test_a_paused_balancer_refuses_nothing(self) -> None:
        """Guards against resetting a flow that is open elsewhere.

        An opening packet waits while its host is paused for a second; its repeat opens the flow
        through another host. A late refusal by the resumed host would reset the flow.
        """
        self.policy.decide(opening(2), 0)
        late = MAX_BACKLOG_WAIT_S + LATE_REFUSAL_S
        self.assertEqual(['Discard given_up'], self._outcomes(late))

    def test_all_packets_of_a_request_wait_together(self) -> None:
        """They are sent together and in order; acknowledgements do not wait."""
        self._acknowledge_answer(0.01)
        self.pool.limit = 0
        first = self._send_request(201, 0.02)
        self.assertEqual('Wait', first)
        self.assertEqual('Wait', self._send_request(241, 0.02))
        self.assertEqual('Wait', self._send_request(201, 0.22))
        acknowledgement = acknowledging(1, self.given, 20)
        acknowledgement.flow = flow(1, _FEED_KEY)
        acknowledgement.route = _FEED_KEY
        forwarded = self.policy.decide(acknowledgement, 0.23)
        self.assertEqual(entry(1).name, delivered_to(forwarded))
        self.pool.limit = 1
        sent = _resumed(self.policy, 0.3)
        self.assertEqual([201, 241], [packet.sequence for packet, _ in sent])
        self.assertEqual({entry(1).name}, {delivered_to(verdict) for _, verdict in sent})

    def test_a_repeat_of_a_sent_request_does_not_wait(self) -> None:
        """Guards against taking every packet on an idle flow for a new request.

        A request was delivered and counts as ended; the caller's repeat of it would wait while the
        request is at the upstream.
        """
        self.pool.limit = 0
        self.state.flows.expire(15, 1)
        self.assertEqual('Wait', self._send_request(201, 1))
        self.pool.limit = 1
        _resumed(self.policy, 1)
        self.state.flows.expire(15, 2)
        self.pool.limit = 0
        self.assertEqual(entry(1).name, self._send_request(201, 2))

    def test_an_open_flow_is_never_refused(self) -> None:
        """Guards against resetting an open flow whose request waits until its caller gives up."""
        self._acknowledge_answer(0.01)
        self.pool.limit = 0
        self._send_request(201, 0.02)
        self.assertEqual(['Discard given_up'], self._outcomes(0.83))
        self.assertEqual(0, self.pool.refused)

    def test_closing_a_flow_ends_its_wait(self) -> None:
        """Guards against sending a request whose caller has closed the flow while it waited."""
        self._acknowledge_answer(0.01)
        self.pool.limit = 0
        self._send_request(201, 0.02)
        closing = asking(1, self.given, 241, _FEED_KEY, 9)
        closing.payload_bytes = 0
        closing.closes = True
        self.assertEqual(entry(1).name, delivered_to(self.policy.decide(closing, 0.5)))
        self.pool.limit = NO_LIMIT
        self.assertEqual([], _resumed(self.policy, 0.5))
        self.assertEqual(0, self.pool.waiting)

    def test_order_is_by_urgency_then_newest_first(self) -> None:
        """A feed that arrived last waits for an urgent request that arrived before it."""
        for number, key in ((2, _FEED_KEY), (3, PORTAL_KEY), (4, PORTAL_KEY), (5, _FEED_KEY)):
            self.policy.decide(opening(number, key=key), 0)
        self.pool.limit = 99
        order = [packet.flow[3] for packet, _ in _resumed(self.policy, 0)]
        self.assertEqual([4, 3, 5, 2], order)

    def test_new_requests_do_not_overtake_waiting_ones(self) -> None:
        """Guards against new requests that take capacity before waiting ones are resumed.

        A request ends, and a new one arrives before the waiting requests are checked.
        """
        self.policy.decide(opening(2), 0)
        self._acknowledge_answer(0.01)
        self.assertEqual('Wait', delivered_to(self.policy.decide(opening(3), 0.01)))

    def test_a_text_that_drops_the_route_ends_the_wait(self) -> None:
        """A waiting flow is refused like any other flow of a route that no longer exists."""
        self.policy.decide(opening(2), 0)
        stored = StoredObject('main', 60, text(60, route(_FEED_KEY, PORTAL)))
        reduce(self.state, ChangesRead(Collection.TEXT, [stored], 60), 0)
        self.pool.limit = 99
        self.assertEqual(['Reset no_route'], self._outcomes(0.01))

    def test_waiting_bytes_are_bounded(self) -> None:
        """Guards against running out of memory when very many callers send uploads that wait."""
        waiting = WaitingRequests(NewestFirst())
        large = opening(2)
        large.raw = bytes(MAX_WAITING_BYTES)
        waiting.add(large, self.pool, route(PORTAL_KEY, PORTAL), 0)
        self.assertTrue(waiting.is_full)
        self.state.waiting = waiting
        self.assertEqual(entry(1).name, delivered_to(self.policy.decide(opening(3), 0)))

    def _acknowledge_answer(self, now: float) -> None:
        """Let the caller of the first flow acknowledge an answer."""
        packet = FlowPacket(flow(1, _FEED_KEY), _FEED_KEY, self.given, 141, 9, 0)
        self.policy.decide(packet, now)

    def _send_request(self, sequence: int, now: float) -> str:
        packet = asking(1, self.given, sequence, _FEED_KEY, 9)
        return delivered_to(self.policy.decide(packet, now))

    def _outcomes(self, now: float) -> list[str]:
        return [delivered_to(verdict) for _, verdict in _resumed(self.policy, now)]


class RemoteCapacityTest(TestCase):
    """Capacity in other data centres."""

    def test_free_capacity_is_divided_among_full_data_centres(self) -> None:
        """Two of three are busy: each may use half of what the third has free."""
        free = free_capacity_by_centre({'a': 6, 'b': 6, 'c': 6}, {'b': 0.75, 'c': 1.9})
        self.assertEqual({'b': 3, 'c': 0}, free)

    def test_a_data_centre_without_upstreams_claims_its_share(self) -> None:
        """Guards against giving a data centre without upstreams only the free capacity of others.

        In an overload there is none, so all of its callers would be refused.
        """
        claims = claims_of('a', {'b': 6, 'c': 6}, {'a': 50, 'b': 50, 'c': 50})
        self.assertAlmostEqual(2, claims['b'])
        self.assertAlmostEqual(4, sum(claims.values()))

    def test_small_differences_claim_nothing(self) -> None:
        """Guards against data centres that send each other flows in every overload.

        The demand in one is a quarter above that of the others, which is not worth evening out.
        """
        slots_by_centre = {'a': 6, 'b': 6, 'c': 6}
        self.assertEqual({}, claims_of('a', slots_by_centre, {'a': 65, 'b': 50, 'c': 50}))

    def test_flows_without_local_upstreams_are_limited(self) -> None:
        """A data centre without upstreams does not flood the others."""
        state = _limited_state(entry(1, data_centre='dc-b'))
        apply_allowances(
            state.directory, LOCAL_CENTRE, [Allowance(PORTAL, 'dc-b', 2)], {PORTAL: 0.5}, {PORTAL}
        )
        policy = steering(state)
        self.assertEqual(entry(1).name, delivered_to(policy.decide(opening(1), 0)))
        self.assertEqual('Wait', delivered_to(policy.decide(opening(2), 0)))

    def test_callers_without_local_upstreams_are_served(self) -> None:
        """Guards against refusing all callers while no data centre has reported free capacity.

        All hosts were killed while the store was down. One restarted with its text, but no local
        upstream accepted flows and no other data centre had reported yet. It refused every opening
        for 1.2 s with nothing in progress: event 5302, `in_progress` 0, `limit` 0.0.
        """
        state = _limited_state(entry(1, data_centre='dc-b'))
        apply_allowances(
            state.directory, LOCAL_CENTRE, [Allowance(PORTAL, 'dc-b', 0)], {PORTAL: 0.5}, {PORTAL}
        )
        policy = steering(state)
        self.assertEqual(entry(1).name, delivered_to(policy.decide(opening(1), 0)))
        self.assertEqual('Wait', delivered_to(policy.decide(opening(2), 0)))

    def test_allowances_end_with_their_reports(self) -> None:
        """Guards against sending flows to a data centre that is cut off, by its last report."""
        state = _limited_state(entry(1), entry(2, data_centre='dc-b'))
        remote = state.directory.pools_by_service[PORTAL]['dc-b']
        apply_allowances(
            state.directory, LOCAL_CENTRE, [Allowance(PORTAL, 'dc-b', 2)], {PORTAL: 1}, ()
        )
        self.assertTrue(remote.has_allowance)
        apply_allowances(state.directory, LOCAL_CENTRE, [], {}, ())
        self.assertFalse(remote.has_allowance)

    def test_allowances_for_unknown_services_are_ignored(self) -> None:
        """A peer that knows a service before this balancer does no harm."""
        state = _limited_state(entry(1))
        apply_allowances(
            state.directory, LOCAL_CENTRE, [Allowance(INTAKE, 'dc-b', 2)], {INTAKE: 1}, ()
        )
        self.assertEqual(3 * REQUESTS_PER_SLOT, _pool_of(state).limit)


class OverloadWatchTest(TestCase):
    """Log lines on overloads."""

    def test_an_overload_logs_its_begin_and_end_once(self) -> None:
        """There are two lines, however many requests wait and are refused."""
        pool = Pool(PORTAL, LOCAL_CENTRE)
        watch = OverloadWatch()
        lines: list[WriteLine] = []
        now: float = 0
        pool.enqueue(now)
        while now < OVERLOAD_S * 3:
            lines.extend(watch.check([pool], now))
            pool.refused += 1
            now += QUEUE_GAP_S
        pool.dequeue(now)
        lines.extend(watch.check([pool], now))
        lines.extend(watch.check([pool], now + QUEUE_GAP_S))
        lines.extend(watch.check([pool], now + QUEUE_GAP_S * 2))
        numbers = [line.number for line in lines]
        self.assertEqual([LogNumber.OVERLOADED, LogNumber.OVERLOAD_ENDED], numbers)
        self.assertEqual(PORTAL, lines[0].fields['service'])
        self.assertGreater(lines[1].fields['refused'], 5)

    def test_a_short_backlog_is_no_overload(self) -> None:
        """A queue that ends before ``OVERLOAD_S`` logs nothing."""
        pool = Pool(PORTAL, LOCAL_CENTRE)
        watch = OverloadWatch()
        pool.enqueue(0)
        self.assertEqual([], watch.check([pool], OVERLOAD_S / 2))
        pool.dequeue(OVERLOAD_S / 2)
        self.assertEqual([], watch.check([pool], OVERLOAD_S * 2))
