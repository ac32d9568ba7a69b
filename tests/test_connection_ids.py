"""Test where packets with connection ids go, and what is refused or reset."""

from unittest import TestCase

from bronzekeel.core.routing.admission import RequestsPerSlot
from bronzekeel.core.routing.events import ChangesRead, StoredObject
from bronzekeel.core.routing.flows import MOST_AVOID_S
from bronzekeel.core.routing.follower import Collection
from bronzekeel.core.store_waits import ANSWER_TIMEOUT_S, WATCH_WAIT_S
from bronzekeel.core.routing.model import UpstreamEntry
from bronzekeel.core.routing.messages import Allowance
from bronzekeel.core.routing.overflow import put_in_force
from bronzekeel.core.routing.pools import REQUESTS_A_SLOT
from bronzekeel.core.routing.reducer import reduce
from bronzekeel.core.routing.state import RoutingState
from bronzekeel.core.routing.steering import COPY_GAP_S
from bronzekeel.core.routing.verdicts import Deliver
from tests.routing_cases import (
    HOME,
    INTAKE,
    INTAKE_KEY,
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
    """Let the store's watch tell that an entry was removed."""
    removed = StoredObject(upstream.name, 90, None)
    reduce(state, ChangesRead(Collection.UPSTREAMS, [removed], 90), now)


class PlacingTest(TestCase):
    """Place new flows and follow them."""

    def test_any_host_follows_a_flow_without_knowing_it(self) -> None:
        """Symptom: a flow breaks when the fabric hands its packets to another host.

        Sequence: one host opens a flow; another, which never saw it, gets the rest.
        Cause: an upstream chosen by each host for itself.
        """
        entries = [entry(number) for number in range(1, 8)]
        first = steering(ready_state(*entries))
        second = steering(ready_state(*entries))
        for number in range(50):
            placed = first.decide(opening(number), 0)
            later = second.decide(asking(number, id_given(placed)), 1)
            self.assertEqual(delivered_to(placed), delivered_to(later))

    def test_an_id_of_one_service_opens_no_other(self) -> None:
        """Symptom: a packet for the portal reaches an upstream of the intake.

        Sequence: a caller takes the id it got on one address and uses it on another.
        Cause: an id that names its upstream on every address.
        """
        chosen = steering(ready_state(entry(1), entry(2, INTAKE)))
        stolen = id_given(chosen.decide(opening(1, key=INTAKE_KEY), 0))
        verdict = chosen.decide(asking(2, stolen, key=PORTAL_KEY), 0)
        self.assertEqual('Discard unknown_connection_id', delivered_to(verdict))

    def test_invented_ids_reach_nobody(self) -> None:
        """Ids that nobody gave, and packets without one, are dropped and counted."""
        chosen = steering(ready_state(entry(1)))
        for forged in (1, 0xFFFFFFFF, 0x1234):
            self.assertEqual(
                'Discard unknown_connection_id',
                delivered_to(chosen.decide(asking(forged & 7, forged), 0)),
            )
        self.assertEqual('Discard no_connection_id', delivered_to(chosen.decide(asking(9, 0), 0)))

    def test_two_upstreams_with_one_short_number_do_not_mix(self) -> None:
        """Symptom: flows opened at one upstream continue at another.

        Sequence: two identities fold to the same four bytes.
        Cause: giving new flows to both.
        """
        twin = entry(5, revision=6)
        twin.name = 'i-0000000500000000'
        twin.number = 5 << 32
        state = ready_state(entry(5), twin)
        chosen = steering(state)
        names = {delivered_to(chosen.decide(opening(number), 0)) for number in range(20)}
        self.assertEqual({entry(5).name}, names)

    def test_draining_and_cold_upstreams(self) -> None:
        """A draining upstream gets no new flow, a cold one fewer than a warm one."""
        state = ready_state(entry(1), entry(2, draining=True), entry(3, cold_s=5))
        chosen = steering(state)
        names = [delivered_to(chosen.decide(opening(number), 1)) for number in range(9)]
        self.assertEqual(0, names.count(entry(2).name))
        self.assertGreater(names.count(entry(1).name), names.count(entry(3).name))

    def test_flows_of_a_draining_upstream_stay(self) -> None:
        """Symptom: a feed breaks when its upstream is to be replaced.

        Sequence: a flow opens; its upstream reports that it leaves.
        Cause: taking an upstream out of the table at once.
        """
        state = ready_state(entry(1), entry(2))
        chosen = steering(state)
        placed = chosen.decide(opening(1), 0)
        name = delivered_to(placed)
        leaving = entry(int(name[2:], 16), revision=80, draining=True)
        changed = ChangesRead(Collection.UPSTREAMS, [StoredObject(name, 80, leaving)], 80)
        reduce(state, changed, 1)
        self.assertEqual(name, delivered_to(chosen.decide(asking(1, id_given(placed)), 2)))

    def test_no_text_no_upstream_no_route(self) -> None:
        """What can't be served is refused at once, if it is sure."""
        empty = steering(fresh_state())
        self.assertEqual('Discard no_text', delivered_to(empty.decide(opening(1), 0)))
        state = ready_state(entry(1))
        chosen = steering(state)
        nowhere = bytes((198, 18, 0, 9, 0, 80))
        self.assertEqual(
            'Reset no_route',
            delivered_to(chosen.decide(opening(1, key=nowhere), 0)),
        )
        self.assertEqual(
            'Reset no_upstream',
            delivered_to(chosen.decide(opening(1, key=INTAKE_KEY), 0)),
        )

    def test_a_host_that_may_be_behind_refuses_nothing(self) -> None:
        """Symptom: callers of a new route are refused by one host for seconds.

        Sequence: a host loses the store; a text adds a route.
        Cause: taking an old text for the newest.
        """
        chosen = steering(ready_state(entry(1)))
        nowhere = bytes((198, 18, 0, 9, 0, 80))
        late = WATCH_WAIT_S + ANSWER_TIMEOUT_S + 1
        self.assertEqual(
            'Discard no_route',
            delivered_to(chosen.decide(opening(1, key=nowhere), late)),
        )

    def test_a_dropped_route_ends_its_flows(self) -> None:
        """A text that removes a route ends the route's flows, and no others."""
        state = ready_state(entry(1), entry(2, INTAKE))
        chosen = steering(state)
        portal = id_given(chosen.decide(opening(1), 0))
        intake = id_given(chosen.decide(opening(2, key=INTAKE_KEY), 0))
        newer = text(50, route(PORTAL_KEY, PORTAL))
        reduce(state, ChangesRead(Collection.TEXT, [StoredObject('main', 50, newer)], 50), 1)
        kept = chosen.decide(asking(1, portal), 1)
        ended = chosen.decide(asking(2, intake, key=INTAKE_KEY), 1)
        self.assertEqual(entry(1).name, delivered_to(kept))
        self.assertEqual('Reset no_route', delivered_to(ended))

    def test_a_route_that_changes_its_service_keeps_open_flows(self) -> None:
        """Symptom: open flows break when a text points their address elsewhere.

        Sequence: a flow opens; a text sends the address to another service.
        Cause: looking for the flow's upstream among the new service's.
        """
        state = ready_state(entry(1), entry(2, INTAKE))
        chosen = steering(state)
        given = id_given(chosen.decide(opening(1), 0))
        newer = text(50, route(PORTAL_KEY, INTAKE))
        reduce(state, ChangesRead(Collection.TEXT, [StoredObject('main', 50, newer)], 50), 1)
        self.assertEqual(entry(1).name, delivered_to(chosen.decide(asking(1, given), 1)))
        self.assertEqual(entry(2).name, delivered_to(chosen.decide(opening(2), 1)))


class DistanceTest(TestCase):
    """Upstreams of other data centres."""

    def test_the_own_data_centre_comes_first(self) -> None:
        """A quiet data centre keeps its flows."""
        chosen = steering(ready_state(entry(1), entry(2, data_centre='dc-b')))
        names = {delivered_to(chosen.decide(opening(number), 0)) for number in range(4)}
        self.assertEqual({entry(1).name}, names)

    def test_work_that_would_wait_goes_to_another(self) -> None:
        """Symptom: one data centre refuses a tenth of its callers while others idle.

        Sequence: upstreams of one data centre are lost; those that are left
        have all slots taken and as much waiting again; another one tells of room.
        Cause: never leaving the data centre while an upstream of it lives.
        """
        state = ready_state(entry(1), entry(2, data_centre='dc-b'), admission_of=RequestsPerSlot)
        chosen = steering(state)
        chosen.decide(opening(0), 0)
        room = Allowance(PORTAL, 'dc-b', 20)
        put_in_force(state.directory, HOME, [room], {PORTAL: 1}, ())
        names = [delivered_to(chosen.decide(opening(number), 0)) for number in range(1, 20)]
        near = 1 + names.count(entry(1).name)
        self.assertEqual(REQUESTS_A_SLOT * entry(1).slots, near)
        self.assertEqual(20 - near, names.count(entry(2).name))

    def test_an_upstream_that_answers_is_better_than_a_near_one(self) -> None:
        """Silent upstreams of the own data centre come after all others."""
        state = ready_state(entry(1), entry(2, data_centre='dc-b'))
        chosen = steering(state)
        chosen.decide(opening(1), 0)
        again = chosen.decide(opening(1, copy=1), 0.2)
        self.assertEqual(entry(2).name, delivered_to(again))


class RepeatTest(TestCase):
    """Opening packets that come again."""

    def test_a_repeat_goes_to_another_upstream(self) -> None:
        """Symptom: a caller waits 1.4 s for an upstream that is silent.

        Sequence: an upstream falls silent; its entry has not lapsed yet.
        Cause: sending every repeat of the opening packet to the same one.
        """
        chosen = steering(ready_state(entry(1), entry(2)))
        first = delivered_to(chosen.decide(opening(1), 0))
        again = delivered_to(chosen.decide(opening(1, copy=1), 0.2))
        self.assertNotEqual(first, again)

    def test_a_repeat_that_waited_with_the_first_goes_with_it(self) -> None:
        """Symptom: a flow is opened at two upstreams, and its packets go to the wrong one.

        Sequence: a host was slow; it finds an opening packet and its repeat together.
        Cause: taking the repeat for a sign that the first was not answered.
        """
        chosen = steering(ready_state(entry(1), entry(2)))
        first = chosen.decide(opening(1), 0)
        again = chosen.decide(opening(1, copy=1), COPY_GAP_S / 2)
        self.assertEqual(delivered_to(first), delivered_to(again))
        self.assertEqual(id_given(first), id_given(again))

    def test_a_silent_upstream_is_avoided_and_tried_again(self) -> None:
        """An upstream that left openings unanswered gets fewer, none, and then one."""
        state = ready_state(entry(1), entry(2))
        chosen = steering(state)
        silent = state.directory.by_name[entry(1).name]
        for number in range(6):
            verdict = chosen.decide(opening(number), number)
            if delivered_to(verdict) == silent.entry.name:
                chosen.decide(opening(number, copy=1), number + 0.2)
        self.assertGreaterEqual(silent.unanswered, 1)
        self.assertGreater(silent.avoided_until, 0)
        later = silent.avoided_until + MOST_AVOID_S
        names = {delivered_to(chosen.decide(opening(number), later)) for number in range(20, 24)}
        self.assertIn(silent.entry.name, names)

    def test_an_answer_ends_the_avoidance(self) -> None:
        """One answered opening is enough to trust an upstream again."""
        state = ready_state(entry(1))
        chosen = steering(state)
        chosen.decide(opening(1), 0)
        given = id_given(chosen.decide(opening(1, copy=1), 0.2))
        upstream = state.directory.by_name[entry(1).name]
        self.assertEqual(1, upstream.unanswered)
        chosen.decide(asking(1, given), 0.3)
        self.assertEqual(0, upstream.unanswered)
        self.assertEqual(0, upstream.avoided_until)

    def test_a_port_used_again_is_a_new_flow(self) -> None:
        """An opening packet that repeats nothing is placed anew."""
        state = ready_state(entry(1), entry(2))
        chosen = steering(state)
        chosen.decide(opening(1), 0)
        chosen.decide(opening(1), 5)
        unanswered = [upstream.unanswered for upstream in state.directory.by_name.values()]
        self.assertEqual([0, 0], unanswered)


class GoneTest(TestCase):
    """Flows whose upstream is gone: it takes two independent signs to reset them."""

    def test_repeats_alone_reset_nothing(self) -> None:
        """Symptom: a living flow is reset on a link that loses packets.

        Sequence: the store lists the upstream; the caller repeats itself.
        Cause: taking the caller's repeats as proof that the upstream is gone.
        """
        chosen = steering(ready_state(entry(1)))
        given = id_given(chosen.decide(opening(1), 0))
        for repeat in range(8):
            verdict = chosen.decide(asking(1, given), repeat)
            self.assertEqual(entry(1).name, delivered_to(verdict))

    def test_a_lapsed_entry_alone_resets_nothing(self) -> None:
        """Symptom: a living flow is reset when its upstream loses the store.

        Sequence: the upstream's entry lapses; callers go on with new bytes.
        Cause: taking the store's list as proof that the upstream is gone.
        """
        state = ready_state(entry(1), entry(2))
        chosen = steering(state)
        given = id_given(chosen.decide(opening(1), 0))
        upstream = state.directory.by_number[given ^ route(PORTAL_KEY, PORTAL).seal]
        remove(state, upstream.entry, 1)
        for step in range(8):
            verdict = chosen.decide(asking(1, given, sequence=200 + step), 5 + step * 0.2)
            self.assertIsInstance(verdict, Deliver)

    def test_both_together_reset_at_once(self) -> None:
        """Symptom: a caller waits for its time limit though its upstream crashed.

        Sequence: the entry lapses; the caller repeats its bytes twice.
        Cause: forwarding to nobody for as long as the caller asks.
        """
        state = ready_state(entry(1))
        chosen = steering(state)
        given = id_given(chosen.decide(opening(1), 0))
        chosen.decide(asking(1, given), 0.5)
        remove(state, entry(1), 1)
        once = chosen.decide(asking(1, given), 4)
        twice = chosen.decide(asking(1, given), 4.4)
        self.assertEqual(entry(1).name, delivered_to(once))
        self.assertEqual('Reset upstream_gone', delivered_to(twice))

    def test_one_repeat_is_enough_after_an_announced_leaving(self) -> None:
        """An upstream that drained and left does not come back."""
        state = ready_state(entry(1, draining=True), entry(2))
        chosen = steering(state)
        given = entry(1).short_number ^ route(PORTAL_KEY, PORTAL).seal
        chosen.decide(asking(1, given), 0.5)
        remove(state, entry(1), 1)
        self.assertEqual('Reset upstream_gone', delivered_to(chosen.decide(asking(1, given), 2)))

    def test_without_fresh_word_nothing_is_reset(self) -> None:
        """Symptom: a host that is cut off from the store breaks living flows.

        Sequence: an entry lapses and comes back; the host misses the second.
        Cause: relying on a view that may be behind.
        """
        state = ready_state(entry(1), entry(2))
        chosen = steering(state)
        given = entry(1).short_number ^ route(PORTAL_KEY, PORTAL).seal
        chosen.decide(asking(1, given), 0.5)
        remove(state, entry(1), 1)
        late = 1 + WATCH_WAIT_S + ANSWER_TIMEOUT_S + 1
        for repeat in range(5):
            verdict = chosen.decide(asking(1, given), late + repeat)
            self.assertEqual(entry(1).name, delivered_to(verdict))

    def test_an_unknown_upstream_is_reset_when_it_stays_unknown(self) -> None:
        """A host that started after an upstream had left ends its flows too."""
        state = ready_state(entry(2))
        chosen = steering(state)
        given = entry(1).short_number ^ route(PORTAL_KEY, PORTAL).seal
        verdicts = [
            delivered_to(chosen.decide(asking(1, given), moment)) for moment in (3, 3.2, 3.6)
        ]
        unknown = 'Discard unknown_connection_id'
        self.assertEqual([unknown, unknown, 'Reset unknown_connection_id'], verdicts)

    def test_a_new_process_at_the_address_is_another_upstream(self) -> None:
        """Symptom: packets of an old flow reach the process that was started anew.

        Sequence: an upstream crashes; another starts at its address.
        Cause: telling upstreams apart by their address.
        """
        reborn = entry(7, INTAKE, revision=60)
        reborn.address = entry(1).address
        state = ready_state(entry(1), reborn)
        chosen = steering(state)
        given = entry(1).short_number ^ route(PORTAL_KEY, PORTAL).seal
        remove(state, entry(1), 1)
        verdict = chosen.decide(asking(1, given), 2)
        if not isinstance(verdict, Deliver):
            self.fail(verdict)
        self.assertEqual(1, verdict.upstream.entry.number)


class SightTest(TestCase):
    """What a host sees of requests in progress."""

    def test_requests_and_their_answers_are_counted(self) -> None:
        """Bytes sent are a request in progress until the caller confirms an answer."""
        state = ready_state(entry(1))
        chosen = steering(state)
        given = id_given(chosen.decide(opening(1), 0))
        upstream = state.directory.by_name[entry(1).name]
        chosen.decide(asking(1, given, acknowledged=7), 0.01)
        self.assertEqual(1, upstream.busy_flows)
        chosen.decide(acknowledging(1, given, 1007), 0.06)
        self.assertEqual(0, upstream.busy_flows)
        self.assertEqual(1, upstream.open_flows)

    def test_a_request_without_an_end_is_forgotten(self) -> None:
        """Symptom: an upstream looks busy for ever and gets no more flows.

        Sequence: the packet that shows a request's end goes to another host.
        Cause: counting what begins and ends at different hosts.
        """
        state = ready_state(entry(1))
        chosen = steering(state)
        given = id_given(chosen.decide(opening(1), 0))
        chosen.decide(asking(1, given), 0.01)
        state.flows.expire(15, 3)
        self.assertEqual(0, state.directory.by_name[entry(1).name].busy_flows)
        state.flows.expire(15, 30)
        self.assertEqual(0, len(state.flows))
        self.assertEqual(0, state.directory.by_name[entry(1).name].open_flows)
