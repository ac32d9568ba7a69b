"""Test where packets with connection ids are sent, and which are refused or reset."""

from unittest import TestCase

from bronzekeel.core.routing.admission import RequestsPerSlot
from bronzekeel.core.routing.events import ChangesRead, StoredObject
from bronzekeel.core.routing.flows import MAX_AVOID_S
from bronzekeel.core.routing.follower import Collection
from bronzekeel.core.routing.messages import Allowance
from bronzekeel.core.routing.model import UpstreamEntry
from bronzekeel.core.routing.overflow import apply_allowances
from bronzekeel.core.routing.pools import REQUESTS_PER_SLOT
from bronzekeel.core.routing.reducer import reduce
from bronzekeel.core.routing.state import RoutingState
from bronzekeel.core.routing.steering import DUPLICATE_WINDOW_S
from bronzekeel.core.routing.verdicts import Deliver
from bronzekeel.core.store_waits import ANSWER_TIMEOUT_S, WATCH_WAIT_S
from tests.routing_cases import (
    INTAKE,
    INTAKE_KEY,
    LOCAL_CENTRE,
    PORTAL,
    PORTAL_KEY,
    acknowledging,
    asking,
    delivered_to,
    entry,
    fresh_state,
    id_given,
    opening,
    ready_state,
    route,
    steering,
    text,
)


def remove(state: RoutingState, upstream: UpstreamEntry, now: float) -> None:
    """Apply a watch event of the store that removes an entry."""
    removed = StoredObject(upstream.name, 90, None)
    reduce(state, ChangesRead(Collection.UPSTREAMS, [removed], 90), now)


class PlacementTest(TestCase):
    """Test the placement of new flows and of the packets that follow."""

    def test_any_host_follows_a_flow_without_knowing_it(self) -> None:
        """Guards against flows that break when the fabric hands their packets to another host.

        Another host, which never saw the flow, must find the same upstream by the connection id.
        """
        entries = [entry(number) for number in range(1, 8)]
        first = steering(ready_state(*entries))
        second = steering(ready_state(*entries))
        for number in range(50):
            placed = first.decide(opening(number), 0)
            later = second.decide(asking(number, id_given(placed)), 1)
            self.assertEqual(delivered_to(placed), delivered_to(later))

    def test_an_id_of_one_service_is_invalid_for_another(self) -> None:
        """Guards against a packet for the portal that reaches an upstream of the intake.

        A caller uses the id that it got on one address on another address.
        """
        balancer = steering(ready_state(entry(1), entry(2, INTAKE)))
        stolen = id_given(balancer.decide(opening(1, key=INTAKE_KEY), 0))
        verdict = balancer.decide(asking(2, stolen, key=PORTAL_KEY), 0)
        self.assertEqual('Discard unknown_connection_id', delivered_to(verdict))

    def test_forged_ids_are_dropped(self) -> None:
        """Forged ids, and packets without an id, are dropped and counted."""
        balancer = steering(ready_state(entry(1)))
        for forged in (1, 0xFFFFFFFF, 0x1234):
            self.assertEqual(
                'Discard unknown_connection_id',
                delivered_to(balancer.decide(asking(forged & 7, forged), 0)),
            )
        self.assertEqual('Discard no_connection_id', delivered_to(balancer.decide(asking(9, 0), 0)))

    def test_two_upstreams_with_one_short_number_do_not_mix(self) -> None:
        """Guards against flows that are opened at one upstream and continue at another.

        Two upstreams have the same short number, so only one of them may get new flows.
        """
        twin = entry(5, revision=6)
        twin.name = 'i-0000000500000000'
        twin.number = 5 << 32
        state = ready_state(entry(5), twin)
        balancer = steering(state)
        names = {delivered_to(balancer.decide(opening(number), 0)) for number in range(20)}
        self.assertEqual({entry(5).name}, names)

    def test_draining_and_cold_upstreams(self) -> None:
        """A draining upstream gets no new flows, and a cold one fewer than a warm one."""
        state = ready_state(entry(1), entry(2, draining=True), entry(3, cold_s=5))
        balancer = steering(state)
        names = [delivered_to(balancer.decide(opening(number), 1)) for number in range(9)]
        self.assertEqual(0, names.count(entry(2).name))
        self.assertGreater(names.count(entry(1).name), names.count(entry(3).name))

    def test_flows_of_a_draining_upstream_stay(self) -> None:
        """Guards against flows that break when their upstream starts to drain."""
        state = ready_state(entry(1), entry(2))
        balancer = steering(state)
        placed = balancer.decide(opening(1), 0)
        name = delivered_to(placed)
        leaving = entry(int(name[2:], 16), revision=80, draining=True)
        changed = ChangesRead(Collection.UPSTREAMS, [StoredObject(name, 80, leaving)], 80)
        reduce(state, changed, 1)
        self.assertEqual(name, delivered_to(balancer.decide(asking(1, id_given(placed)), 2)))

    def test_no_text_no_upstream_no_route(self) -> None:
        """Packets that cannot be served are refused at once, if the text is current."""
        empty = steering(fresh_state())
        self.assertEqual('Discard no_text', delivered_to(empty.decide(opening(1), 0)))
        state = ready_state(entry(1))
        balancer = steering(state)
        unknown_key = bytes((198, 18, 0, 9, 0, 80))
        self.assertEqual(
            'Reset no_route',
            delivered_to(balancer.decide(opening(1, key=unknown_key), 0)),
        )
        self.assertEqual(
            'Reset no_upstream',
            delivered_to(balancer.decide(opening(1, key=INTAKE_KEY), 0)),
        )

    def test_a_host_that_may_be_behind_refuses_nothing(self) -> None:
        """Guards against refusing callers of a new route by an outdated text.

        A host that has lost the store may have missed the text that added the route.
        """
        balancer = steering(ready_state(entry(1)))
        unknown_key = bytes((198, 18, 0, 9, 0, 80))
        late = WATCH_WAIT_S + ANSWER_TIMEOUT_S + 1
        self.assertEqual(
            'Discard no_route',
            delivered_to(balancer.decide(opening(1, key=unknown_key), late)),
        )

    def test_a_dropped_route_ends_its_flows(self) -> None:
        """A text that removes a route ends the flows of that route, and no others."""
        state = ready_state(entry(1), entry(2, INTAKE))
        balancer = steering(state)
        portal = id_given(balancer.decide(opening(1), 0))
        intake = id_given(balancer.decide(opening(2, key=INTAKE_KEY), 0))
        newer = text(50, route(PORTAL_KEY, PORTAL))
        reduce(state, ChangesRead(Collection.TEXT, [StoredObject('main', 50, newer)], 50), 1)
        kept = balancer.decide(asking(1, portal), 1)
        ended = balancer.decide(asking(2, intake, key=INTAKE_KEY), 1)
        self.assertEqual(entry(1).name, delivered_to(kept))
        self.assertEqual('Reset no_route', delivered_to(ended))

    def test_a_route_that_changes_its_service_keeps_open_flows(self) -> None:
        """Guards against open flows that break when a text moves their address to a new service.

        The upstream of an open flow must be found although it is not one of the new service.
        """
        state = ready_state(entry(1), entry(2, INTAKE))
        balancer = steering(state)
        given = id_given(balancer.decide(opening(1), 0))
        newer = text(50, route(PORTAL_KEY, INTAKE))
        reduce(state, ChangesRead(Collection.TEXT, [StoredObject('main', 50, newer)], 50), 1)
        self.assertEqual(entry(1).name, delivered_to(balancer.decide(asking(1, given), 1)))
        self.assertEqual(entry(2).name, delivered_to(balancer.decide(opening(2), 1)))


class LocalityTest(TestCase):
    """Test the choice between local and remote upstreams."""

    def test_local_upstreams_are_preferred(self) -> None:
        """A data centre with free capacity keeps its flows."""
        balancer = steering(ready_state(entry(1), entry(2, data_centre='dc-b')))
        names = {delivered_to(balancer.decide(opening(number), 0)) for number in range(4)}
        self.assertEqual({entry(1).name}, names)

    def test_flows_without_local_capacity_go_to_a_remote_centre(self) -> None:
        """Guards against a data centre that refuses a tenth of its callers while others are idle.

        The upstreams left in one data centre have all slots taken and as many requests waiting,
        while a remote data centre has announced an allowance.
        """
        state = ready_state(entry(1), entry(2, data_centre='dc-b'), admission_of=RequestsPerSlot)
        balancer = steering(state)
        balancer.decide(opening(0), 0)
        allowance = Allowance(PORTAL, 'dc-b', 20)
        apply_allowances(state.directory, LOCAL_CENTRE, [allowance], {PORTAL: 1}, ())
        names = [delivered_to(balancer.decide(opening(number), 0)) for number in range(1, 20)]
        local = 1 + names.count(entry(1).name)
        self.assertEqual(REQUESTS_PER_SLOT * entry(1).slots, local)
        self.assertEqual(20 - local, names.count(entry(2).name))

    def test_a_responsive_remote_upstream_is_preferred(self) -> None:
        """Unresponsive local upstreams are chosen only after all others."""
        state = ready_state(entry(1), entry(2, data_centre='dc-b'))
        balancer = steering(state)
        balancer.decide(opening(1), 0)
        again = balancer.decide(opening(1, copy=1), 0.2)
        self.assertEqual(entry(2).name, delivered_to(again))


class RepeatTest(TestCase):
    """Test repeated opening packets."""

    def test_a_repeat_goes_to_another_upstream(self) -> None:
        """Guards against callers that wait 1.4 s for an unresponsive upstream.

        The entry of the upstream has not lapsed yet, so the repeat must go to another one.
        """
        balancer = steering(ready_state(entry(1), entry(2)))
        first = delivered_to(balancer.decide(opening(1), 0))
        again = delivered_to(balancer.decide(opening(1, copy=1), 0.2))
        self.assertNotEqual(first, again)

    def test_a_repeat_that_waited_with_the_first_goes_with_it(self) -> None:
        """Guards against a flow that is opened at two upstreams and continued at the wrong one.

        A slow host reads an opening packet and its repeat together, so the repeat does not show
        that the first was left unanswered.
        """
        balancer = steering(ready_state(entry(1), entry(2)))
        first = balancer.decide(opening(1), 0)
        again = balancer.decide(opening(1, copy=1), DUPLICATE_WINDOW_S / 2)
        self.assertEqual(delivered_to(first), delivered_to(again))
        self.assertEqual(id_given(first), id_given(again))

    def test_an_unresponsive_upstream_is_avoided_and_retried(self) -> None:
        """An upstream that leaves openings unanswered gets no new flows, then is tried again."""
        state = ready_state(entry(1), entry(2))
        balancer = steering(state)
        unresponsive = state.directory.by_name[entry(1).name]
        for number in range(6):
            verdict = balancer.decide(opening(number), number)
            if delivered_to(verdict) == unresponsive.entry.name:
                balancer.decide(opening(number, copy=1), number + 0.2)
        self.assertGreaterEqual(unresponsive.unanswered, 1)
        self.assertGreater(unresponsive.avoided_until, 0)
        later = unresponsive.avoided_until + MAX_AVOID_S
        names = {delivered_to(balancer.decide(opening(number), later)) for number in range(20, 24)}
        self.assertIn(unresponsive.entry.name, names)

    def test_an_answer_ends_the_avoidance(self) -> None:
        """One answered opening packet ends the avoidance of an upstream."""
        state = ready_state(entry(1))
        balancer = steering(state)
        balancer.decide(opening(1), 0)
        given = id_given(balancer.decide(opening(1, copy=1), 0.2))
        upstream = state.directory.by_name[entry(1).name]
        self.assertEqual(1, upstream.unanswered)
        balancer.decide(asking(1, given), 0.3)
        self.assertEqual(0, upstream.unanswered)
        self.assertEqual(0, upstream.avoided_until)

    def test_a_port_used_again_is_a_new_flow(self) -> None:
        """An opening packet that is not a repeat is placed anew, and no upstream is blamed."""
        state = ready_state(entry(1), entry(2))
        balancer = steering(state)
        balancer.decide(opening(1), 0)
        balancer.decide(opening(1), 5)
        unanswered = [upstream.unanswered for upstream in state.directory.by_name.values()]
        self.assertEqual([0, 0], unanswered)


class LostUpstreamTest(TestCase):
    """Test flows whose upstream is gone: a reset takes two independent signs."""

    def test_repeats_alone_reset_nothing(self) -> None:
        """Guards against resetting a live flow on a link that loses packets.

        The caller repeats its packets while the store lists the upstream.
        """
        balancer = steering(ready_state(entry(1)))
        given = id_given(balancer.decide(opening(1), 0))
        for repeat in range(8):
            verdict = balancer.decide(asking(1, given), repeat)
            self.assertEqual(entry(1).name, delivered_to(verdict))

    def test_a_lapsed_entry_alone_resets_nothing(self) -> None:
        """Guards against resetting a live flow whose upstream loses the store.

        The entry of the upstream lapses while callers send new bytes.
        """
        state = ready_state(entry(1), entry(2))
        balancer = steering(state)
        given = id_given(balancer.decide(opening(1), 0))
        upstream = state.directory.by_number[given ^ route(PORTAL_KEY, PORTAL).route_tag]
        remove(state, upstream.entry, 1)
        for step in range(8):
            verdict = balancer.decide(asking(1, given, sequence=200 + step), 5 + step * 0.2)
            self.assertIsInstance(verdict, Deliver)

    def test_both_signs_together_reset_at_once(self) -> None:
        """Guards against callers that wait for their timeout after their upstream has crashed.

        The entry lapses, and the caller repeats its bytes twice.
        """
        state = ready_state(entry(1))
        balancer = steering(state)
        given = id_given(balancer.decide(opening(1), 0))
        balancer.decide(asking(1, given), 0.5)
        remove(state, entry(1), 1)
        once = balancer.decide(asking(1, given), 4)
        twice = balancer.decide(asking(1, given), 4.4)
        self.assertEqual(entry(1).name, delivered_to(once))
        self.assertEqual('Reset upstream_gone', delivered_to(twice))

    def test_one_repeat_is_enough_after_a_drain(self) -> None:
        """An upstream that drained and left is not expected back."""
        state = ready_state(entry(1, draining=True), entry(2))
        balancer = steering(state)
        given = entry(1).short_number ^ route(PORTAL_KEY, PORTAL).route_tag
        balancer.decide(asking(1, given), 0.5)
        remove(state, entry(1), 1)
        self.assertEqual('Reset upstream_gone', delivered_to(balancer.decide(asking(1, given), 2)))

    def test_outdated_data_resets_nothing(self) -> None:
        """Guards against a host that resets live flows because it is cut off from the store.

        It has seen an entry lapse, but may have missed that the entry came back.
        """
        state = ready_state(entry(1), entry(2))
        balancer = steering(state)
        given = entry(1).short_number ^ route(PORTAL_KEY, PORTAL).route_tag
        balancer.decide(asking(1, given), 0.5)
        remove(state, entry(1), 1)
        late = 1 + WATCH_WAIT_S + ANSWER_TIMEOUT_S + 1
        for repeat in range(5):
            verdict = balancer.decide(asking(1, given), late + repeat)
            self.assertEqual(entry(1).name, delivered_to(verdict))

    def test_an_unknown_upstream_is_reset_when_it_stays_unknown(self) -> None:
        """A host that started after an upstream had left resets the flows of that upstream."""
        state = ready_state(entry(2))
        balancer = steering(state)
        given = entry(1).short_number ^ route(PORTAL_KEY, PORTAL).route_tag
        verdicts = [
            delivered_to(balancer.decide(asking(1, given), moment)) for moment in (3, 3.2, 3.6)
        ]
        unknown = 'Discard unknown_connection_id'
        self.assertEqual([unknown, unknown, 'Reset unknown_connection_id'], verdicts)

    def test_a_new_process_at_the_address_is_another_upstream(self) -> None:
        """Guards against packets of an old flow that reach a new process at the same address.

        An upstream crashes, and another one starts at its address.
        """
        successor = entry(7, INTAKE, revision=60)
        successor.address = entry(1).address
        state = ready_state(entry(1), successor)
        balancer = steering(state)
        given = entry(1).short_number ^ route(PORTAL_KEY, PORTAL).route_tag
        remove(state, entry(1), 1)
        verdict = balancer.decide(asking(1, given), 2)
        if not isinstance(verdict, Deliver):
            self.fail(verdict)
        self.assertEqual(1, verdict.upstream.entry.number)


class RequestTrackingTest(TestCase):
    """Test how a host tracks requests in progress."""

    def test_requests_and_their_answers_are_counted(self) -> None:
        """Bytes from the caller count as a request until the caller acknowledges an answer."""
        state = ready_state(entry(1))
        balancer = steering(state)
        given = id_given(balancer.decide(opening(1), 0))
        upstream = state.directory.by_name[entry(1).name]
        balancer.decide(asking(1, given, acknowledged=7), 0.01)
        self.assertEqual(1, upstream.busy_flows)
        balancer.decide(acknowledging(1, given, 1007), 0.06)
        self.assertEqual(0, upstream.busy_flows)
        self.assertEqual(1, upstream.open_flows)

    def test_a_request_without_an_end_is_forgotten(self) -> None:
        """Guards against an upstream that counts as busy forever and gets no more flows.

        The packet that shows the end of a request may go to another host.
        """
        state = ready_state(entry(1))
        balancer = steering(state)
        given = id_given(balancer.decide(opening(1), 0))
        balancer.decide(asking(1, given), 0.01)
        state.flows.expire(15, 3)
        self.assertEqual(0, state.directory.by_name[entry(1).name].busy_flows)
        state.flows.expire(15, 30)
        self.assertEqual(0, len(state.flows))
        self.assertEqual(0, state.directory.by_name[entry(1).name].open_flows)
