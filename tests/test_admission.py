"""Test which requests wait, for how long, in which order, and what ends their wait."""

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
    CALM_S,
    LEAST_PATIENCE_S,
    NO_LIMIT,
    REQUESTS_A_SLOT,
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
    HOME,
    INTAKE,
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


def limited_state(*entries: UpstreamEntry) -> RoutingState:
    """Return a ready state whose limits follow the slots of its upstreams."""
    return ready_state(*entries, admission_of=RequestsPerSlot)


def pool_of(state: RoutingState, service: str = PORTAL) -> Pool:
    """Return the pool of a service at home."""
    return state.directory.pools_by_service[service][HOME]


def resumed(chosen: ConnectionIdSteering, now: float) -> list[tuple[FlowPacket, Verdict]]:
    """Return what waits no longer."""
    return list(chosen.resume(now))


class LimitTest(TestCase):
    """How many requests may be in progress."""

    def test_limits_are_there_before_the_first_packet(self) -> None:
        """Symptom: right after a start upstreams' queues are full and callers wait for 0.3 s.

        Sequence: all balancers were dark; what callers sent meanwhile comes at once.
        Cause: no limit before the first tick.
        """
        state = limited_state(entry(1))
        self.assertEqual(3 * REQUESTS_A_SLOT, pool_of(state).limit)

    def test_idle_pools_have_fresh_limits(self) -> None:
        """Symptom: after a quiet hour the first callers of a burst are refused.

        Sequence: a limit was reckoned when few upstreams were there; more came.
        Cause: keeping the limit of an hour ago.
        """
        state = limited_state(entry(1))
        pool_of(state).limit = 1
        state.admission.update_limits(2)
        self.assertEqual(3 * REQUESTS_A_SLOT, pool_of(state).limit)

    def test_flows_that_were_given_up_take_no_room(self) -> None:
        """Symptom: for half a second after a start callers wait while upstreams idle.

        Sequence: all balancers were dark; callers gave flows up; a balancer starts and
        sends their opening packets on.
        Cause: taking them for requests in progress.
        """
        state = limited_state(entry(1))
        chosen = steering(state)
        for number in range(6):
            chosen.decide(opening(number), 0)
        self.assertFalse(pool_of(state).has_room)
        state.flows.expire(15, LEAST_PATIENCE_S)
        self.assertEqual(0, pool_of(state).busy)
        first = state.directory.by_name[entry(1).name]
        self.assertEqual(6, first.busy_flows)

    def test_a_crashed_upstream_is_noticed_at_once(self) -> None:
        """Symptom: callers fail within milliseconds while most upstreams are well.

        Sequence: an upstream crashes and resets whatever comes; its entry lapses seconds later;
        callers try again at once.
        Cause: waiting for repeats, which do not come: the upstream looks idle meanwhile.
        """
        state = limited_state(entry(1), entry(2))
        chosen = steering(state)
        crashed = delivered_to(chosen.decide(opening(1), 0))
        state.flows.expire(15, LEAST_PATIENCE_S)
        names = {delivered_to(chosen.decide(opening(number), 0.06)) for number in range(2, 6)}
        self.assertNotIn(crashed, names)
        self.assertEqual(1, state.directory.by_name[crashed].unanswered)

    def test_an_unanswered_opening_counts_once(self) -> None:
        """Its repeat does not double the time for which the upstream is avoided."""
        state = limited_state(entry(1), entry(2))
        chosen = steering(state)
        silent = delivered_to(chosen.decide(opening(1), 0))
        state.flows.expire(15, LEAST_PATIENCE_S)
        chosen.decide(opening(1, copy=1), 0.2)
        self.assertEqual(1, state.directory.by_name[silent].unanswered)

    def test_callers_far_away_have_more_time(self) -> None:
        """Symptom: all upstreams pass for silent, and nothing is limited any more.

        Sequence: callers are 0.1 s away, some of them 0.15 s.
        Cause: one time for all to answer in.
        """
        state = limited_state(entry(1))
        pool = pool_of(state)
        for way_s in (0.1, 0.15) * 20:
            pool.note_way(way_s)
        steering(state).decide(opening(1), 0)
        state.flows.expire(15, 0.15)
        self.assertEqual(0, state.directory.by_name[entry(1).name].unanswered)
        state.flows.expire(15, 0.3)
        self.assertEqual(1, state.directory.by_name[entry(1).name].unanswered)

    def test_a_flow_that_opens_late_takes_room_again(self) -> None:
        """Its first request counts, however long the opening took."""
        state = limited_state(entry(1))
        chosen = steering(state)
        given = id_given(chosen.decide(opening(1), 0))
        state.flows.expire(15, LEAST_PATIENCE_S)
        chosen.decide(asking(1, given), LEAST_PATIENCE_S)
        self.assertEqual(1, pool_of(state).busy)
        chosen.decide(acknowledging(1, given, 20), 1)
        self.assertEqual(0, pool_of(state).busy)

    def test_slots_make_the_limit(self) -> None:
        """A balancer alone may use all slots; cold ones count half, leaving ones not."""
        cold = entry(2, cold_s=5)
        state = limited_state(entry(1), cold, entry(3, draining=True))
        self._use(state)
        self.assertEqual((3 + 3 / 2) * REQUESTS_A_SLOT, pool_of(state).limit)

    def test_requests_on_their_way_take_no_slot(self) -> None:
        """Symptom: callers far away are refused while upstreams are idle.

        Sequence: callers 0.1 s away ask for work of 0.01 s, a hundred times a second.
        Cause: taking every request in progress for one that holds a slot.
        """
        state = limited_state(entry(1))
        self._use(state)
        pool = pool_of(state)
        for _ in range(50):
            pool.note_way(0.1)
        for tick in range(1, 40):
            pool.answered += 10
            state.admission.update_limits(tick / 10)
        self.assertAlmostEqual(3 * REQUESTS_A_SLOT + 10, pool.limit, 1)

    def test_silent_upstreams_do_not_fill_the_limit(self) -> None:
        """Symptom: callers wait while the slots of two thirds of the upstreams are free.

        Sequence: an upstream falls silent with requests in progress.
        Cause: counting those as work.
        """
        state = limited_state(entry(1), entry(2))
        silent, other = state.directory.by_name.values()
        self._use(state)
        pool = pool_of(state)
        silent.busy_flows = 7
        silent.avoided_until = 10
        other.busy_flows = 1
        pool.busy = 8
        state.admission.update_limits(1)
        self.assertEqual(3 * REQUESTS_A_SLOT + 7, pool.limit)

    def test_a_slow_upstream_does_not_fill_the_limit(self) -> None:
        """Symptom: callers wait for one upstream that is slow.

        Sequence: it works five times slower; feeds stay with it.
        Cause: counting its requests like those of all others.
        """
        state = limited_state(entry(1), entry(2))
        slow, other = state.directory.by_name.values()
        self._use(state)
        slow.busy_flows = 12
        other.busy_flows = 2
        pool_of(state).busy = 14
        state.admission.update_limits(1)
        beyond = 12 - 2 * STUCK_FACTOR - STUCK_SLACK
        self.assertEqual(6 * REQUESTS_A_SLOT + beyond, pool_of(state).limit)

    def _use(self, state: RoutingState) -> None:
        """Let one request be in progress, and reckon."""
        steering(state).decide(opening(1), 0)
        state.admission.update_limits(0)


class WaitingTest(TestCase):
    """What happens to a request that finds no room."""

    def setUp(self) -> None:
        """Start with an upstream that has room for one request, of a feed."""
        feed = route(_FEED_KEY, PORTAL, 2, 0.8)
        urgent = route(PORTAL_KEY, PORTAL, 1)
        self.state = limited_state(entry(1))
        stored = StoredObject('main', 50, text(50, feed, urgent))
        reduce(self.state, ChangesRead(Collection.TEXT, [stored], 50), 0)
        self.chosen = steering(self.state)
        self.given = id_given(self.chosen.decide(opening(1, key=_FEED_KEY), 0))
        self.chosen.decide(asking(1, self.given, key=_FEED_KEY), 0)
        self.pool = pool_of(self.state)
        self.pool.limit = 1

    def test_an_opening_packet_waits_and_goes_on(self) -> None:
        """It is placed the moment that a request ends."""
        self.assertEqual('Wait', delivered_to(self.chosen.decide(opening(2), 0)))
        self.assertEqual([], resumed(self.chosen, 0))
        self._answer(0.01)
        going_on = resumed(self.chosen, 0.01)
        self.assertEqual([flow(2)], [packet.flow for packet, _ in going_on])
        self.assertEqual([entry(1).name], [delivered_to(verdict) for _, verdict in going_on])
        self.assertEqual(0, self.pool.waiting)

    def test_a_short_backlog_refuses_nobody(self) -> None:
        """Symptom: a tenth of all callers is refused right after a start.

        Sequence: all balancers start anew; what callers sent meanwhile comes at once.
        Cause: refusing within milliseconds what could be served within half a second.
        """
        self.chosen.decide(opening(2), 0)
        self.assertEqual([], resumed(self.chosen, MAX_BACKLOG_WAIT_S - 0.01))
        self.assertEqual(['Reset overloaded'], self._ends(MAX_BACKLOG_WAIT_S))
        self.assertEqual(1, self.pool.refused)

    def test_in_an_overload_flows_are_refused_at_once(self) -> None:
        """Symptom: callers wait for half a second and are refused then.

        Sequence: more is asked than can be done, and it stays so.
        Cause: letting everybody wait for as long as it may take.
        """
        now: float = 0
        number = 2
        while now < OVERLOAD_S + 0.1:
            self.chosen.decide(opening(number), now)
            resumed(self.chosen, now)
            number += 1
            now += CALM_S / 2
        self.chosen.decide(opening(number), now)
        outcomes = self._ends(now + MAX_OPENING_WAIT_S)
        self.assertIn('Reset overloaded', outcomes)
        self.assertIsNone(self.state.waiting.of_flow(flow(number)))

    def test_an_overload_ends_when_nothing_waits(self) -> None:
        """A queue that begins anew is a backlog again."""
        self.chosen.decide(opening(2), 0)
        self._ends(MAX_BACKLOG_WAIT_S)
        later = MAX_BACKLOG_WAIT_S + OVERLOAD_S
        self.assertEqual(0, self.pool.queued_s(later))
        self.chosen.decide(opening(3), later)
        self.assertEqual([], resumed(self.chosen, later + MAX_BACKLOG_WAIT_S - 0.01))

    def test_a_balancer_that_stood_still_refuses_nothing(self) -> None:
        """Symptom: a caller's open flow is reset.

        Sequence: an opening packet waits; the host stands still for a second; the
        packet's repeat opened the flow through another one.
        Cause: refusing when the host wakes what it held.
        """
        self.chosen.decide(opening(2), 0)
        late = MAX_BACKLOG_WAIT_S + LATE_REFUSAL_S
        self.assertEqual(['Discard given_up'], self._ends(late))

    def test_a_request_on_an_open_flow_waits_whole(self) -> None:
        """Its packets go on together and in their order; acknowledgements do not wait."""
        self._answer(0.01)
        self.pool.limit = 0
        first = self._ask(201, 0.02)
        self.assertEqual('Wait', first)
        self.assertEqual('Wait', self._ask(241, 0.02))
        self.assertEqual('Wait', self._ask(201, 0.22))
        acknowledgement = acknowledging(1, self.given, 20)
        acknowledgement.flow = flow(1, _FEED_KEY)
        acknowledgement.route = _FEED_KEY
        told = self.chosen.decide(acknowledgement, 0.23)
        self.assertEqual(entry(1).name, delivered_to(told))
        self.pool.limit = 1
        going_on = resumed(self.chosen, 0.3)
        self.assertEqual([201, 241], [packet.sequence for packet, _ in going_on])
        self.assertEqual({entry(1).name}, {delivered_to(verdict) for _, verdict in going_on})

    def test_a_repeat_of_what_went_on_does_not_wait(self) -> None:
        """Symptom: a caller's repeat is held while its request is at the upstream.

        Sequence: a request was delivered and counts as ended; the caller repeats it.
        Cause: taking every packet on an idle flow for a new request.
        """
        self.pool.limit = 0
        self.state.flows.expire(15, 1)
        self.assertEqual('Wait', self._ask(201, 1))
        self.pool.limit = 1
        resumed(self.chosen, 1)
        self.state.flows.expire(15, 2)
        self.pool.limit = 0
        self.assertEqual(entry(1).name, self._ask(201, 2))

    def test_an_open_flow_is_never_refused(self) -> None:
        """Symptom: an established feed is reset in an overload.

        Sequence: its request waits until the caller has given it up.
        Cause: treating it like a flow that is not open.
        """
        self._answer(0.01)
        self.pool.limit = 0
        self._ask(201, 0.02)
        self.assertEqual(['Discard given_up'], self._ends(0.83))
        self.assertEqual(0, self.pool.refused)

    def test_a_caller_that_closes_waits_no_longer(self) -> None:
        """Symptom: an upstream works for callers that have left.

        Sequence: a request waits; its caller gives up and closes the flow.
        Cause: sending it on all the same.
        """
        self._answer(0.01)
        self.pool.limit = 0
        self._ask(201, 0.02)
        closing = asking(1, self.given, 241, _FEED_KEY, 9)
        closing.payload_bytes = 0
        closing.closes = True
        self.assertEqual(entry(1).name, delivered_to(self.chosen.decide(closing, 0.5)))
        self.pool.limit = NO_LIMIT
        self.assertEqual([], resumed(self.chosen, 0.5))
        self.assertEqual(0, self.pool.waiting)

    def test_the_most_urgent_goes_first_and_then_the_newest(self) -> None:
        """A feed that came last waits for an urgent request that came before it."""
        for number, key in ((2, _FEED_KEY), (3, PORTAL_KEY), (4, PORTAL_KEY), (5, _FEED_KEY)):
            self.chosen.decide(opening(number, key=key), 0)
        self.pool.limit = 99
        order = [packet.flow[3] for packet, _ in resumed(self.chosen, 0)]
        self.assertEqual([4, 3, 5, 2], order)

    def test_nobody_overtakes_those_that_wait(self) -> None:
        """Symptom: a request waits while later ones go on.

        Sequence: a request ends; a new one comes before the waiting ones are looked at.
        Cause: asking for room alone.
        """
        self.chosen.decide(opening(2), 0)
        self._answer(0.01)
        self.assertEqual('Wait', delivered_to(self.chosen.decide(opening(3), 0.01)))

    def test_a_text_that_drops_the_route_ends_the_wait(self) -> None:
        """A waiting flow is refused like any other of a route that is gone."""
        self.chosen.decide(opening(2), 0)
        stored = StoredObject('main', 60, text(60, route(_FEED_KEY, PORTAL)))
        reduce(self.state, ChangesRead(Collection.TEXT, [stored], 60), 0)
        self.pool.limit = 99
        self.assertEqual(['Reset no_route'], self._ends(0.01))

    def test_what_waits_is_bounded(self) -> None:
        """Symptom: a balancer runs out of memory in an overload.

        Sequence: a hundred thousand callers send uploads that must wait.
        Cause: holding whatever comes.
        """
        waiting = WaitingRequests(NewestFirst())
        large = opening(2)
        large.raw = bytes(MAX_WAITING_BYTES)
        waiting.add(large, self.pool, route(PORTAL_KEY, PORTAL), 0)
        self.assertTrue(waiting.is_full)
        self.state.waiting = waiting
        self.assertEqual(entry(1).name, delivered_to(self.chosen.decide(opening(3), 0)))

    def _answer(self, now: float) -> None:
        """Let the caller of the first flow acknowledge an answer."""
        told = FlowPacket(flow(1, _FEED_KEY), _FEED_KEY, self.given, 141, 9, 0)
        self.chosen.decide(told, now)

    def _ask(self, sequence: int, now: float) -> str:
        packet = asking(1, self.given, sequence, _FEED_KEY, 9)
        return delivered_to(self.chosen.decide(packet, now))

    def _ends(self, now: float) -> list[str]:
        return [delivered_to(verdict) for _, verdict in resumed(self.chosen, now)]


class ElsewhereTest(TestCase):
    """Room in other data centres."""

    def test_who_has_room_shares_it_among_those_that_have_none(self) -> None:
        """Two of three are busy: each may use half of what the third has left."""
        rooms = free_capacity_by_centre({'a': 6, 'b': 6, 'c': 6}, {'b': 0.75, 'c': 1.9})
        self.assertEqual({'b': 3, 'c': 0}, rooms)

    def test_a_data_centre_without_upstreams_claims_its_part(self) -> None:
        """Symptom: in an overload all callers of one data centre are refused.

        Sequence: it loses its upstreams while the others are busy.
        Cause: giving it what the others leave, which is nothing.
        """
        claims = claims_of('a', {'b': 6, 'c': 6}, {'a': 50, 'b': 50, 'c': 50})
        self.assertAlmostEqual(2, claims['b'])
        self.assertAlmostEqual(4, sum(claims.values()))

    def test_small_differences_claim_nothing(self) -> None:
        """Symptom: data centres send each other flows in every overload.

        Sequence: the callers of one ask for a quarter more than those of others.
        Cause: evening out what makes no difference.
        """
        slots_by_centre = {'a': 6, 'b': 6, 'c': 6}
        self.assertEqual({}, claims_of('a', slots_by_centre, {'a': 65, 'b': 50, 'c': 50}))

    def test_flows_that_have_nowhere_else_to_go_are_limited_too(self) -> None:
        """A data centre without upstreams does not flood the others."""
        state = limited_state(entry(1, data_centre='dc-b'))
        apply_allowances(
            state.directory, HOME, [Allowance(PORTAL, 'dc-b', 2)], {PORTAL: 0.5}, {PORTAL}
        )
        chosen = steering(state)
        self.assertEqual(entry(1).name, delivered_to(chosen.decide(opening(1), 0)))
        self.assertEqual('Wait', delivered_to(chosen.decide(opening(2), 0)))

    def test_callers_without_upstreams_at_home_get_one(self) -> None:
        """Guards against refusing all callers of a data centre while other ones tell of no room.

        All hosts had been killed while the store was away.  One came back with its text, but its
        own data centre had no upstream that takes flows, and no other one had told of room yet.
        It refused every opening for 1.2 s with nothing in progress: event 5302, `in_progress` 0,
        `limit` 0.0.
        """
        state = limited_state(entry(1, data_centre='dc-b'))
        apply_allowances(
            state.directory, HOME, [Allowance(PORTAL, 'dc-b', 0)], {PORTAL: 0.5}, {PORTAL}
        )
        chosen = steering(state)
        self.assertEqual(entry(1).name, delivered_to(chosen.decide(opening(1), 0)))
        self.assertEqual('Wait', delivered_to(chosen.decide(opening(2), 0)))

    def test_what_is_not_told_any_more_is_no_room(self) -> None:
        """Symptom: flows are sent into a data centre that is cut off.

        Sequence: it told of room; then nothing is heard of it.
        Cause: believing what was told last.
        """
        state = limited_state(entry(1), entry(2, data_centre='dc-b'))
        elsewhere = state.directory.pools_by_service[PORTAL]['dc-b']
        apply_allowances(state.directory, HOME, [Allowance(PORTAL, 'dc-b', 2)], {PORTAL: 1}, ())
        self.assertTrue(elsewhere.has_allowance)
        apply_allowances(state.directory, HOME, [], {}, ())
        self.assertFalse(elsewhere.has_allowance)

    def test_word_of_upstreams_that_are_unknown_is_passed_over(self) -> None:
        """A peer that knows a service before this balancer does no harm."""
        state = limited_state(entry(1))
        apply_allowances(state.directory, HOME, [Allowance(INTAKE, 'dc-b', 2)], {INTAKE: 1}, ())
        self.assertEqual(3 * REQUESTS_A_SLOT, pool_of(state).limit)


class OverloadWatchTest(TestCase):
    """What operators are told."""

    def test_an_overload_is_told_once_and_so_is_its_end(self) -> None:
        """Two lines, however many requests wait and are refused."""
        pool = Pool(PORTAL, HOME)
        watch = OverloadWatch()
        told: list[WriteLine] = []
        now: float = 0
        pool.enter(now)
        while now < OVERLOAD_S * 3:
            told.extend(watch.check([pool], now))
            pool.refused += 1
            now += CALM_S
        pool.leave(now)
        told.extend(watch.check([pool], now))
        told.extend(watch.check([pool], now + CALM_S))
        told.extend(watch.check([pool], now + CALM_S * 2))
        numbers = [line.number for line in told]
        self.assertEqual([LogNumber.OVERLOADED, LogNumber.OVERLOAD_ENDED], numbers)
        self.assertEqual(PORTAL, told[0].fields['service'])
        self.assertGreater(told[1].fields['refused'], 5)

    def test_a_short_backlog_is_no_overload(self) -> None:
        """Nothing is told of what is over before it counts."""
        pool = Pool(PORTAL, HOME)
        watch = OverloadWatch()
        pool.enter(0)
        self.assertEqual([], watch.check([pool], OVERLOAD_S / 2))
        pool.leave(OVERLOAD_S / 2)
        self.assertEqual([], watch.check([pool], OVERLOAD_S * 2))
