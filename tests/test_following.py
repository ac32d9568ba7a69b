"""Test what a balancer believes of the store while the store and its network fail."""

from unittest import TestCase

from bronzekeel.core.log_numbers import LogNumber
from bronzekeel.core.routing.directory import REMEMBERED_S, RETURN_GRACE_S, Directory
from bronzekeel.core.routing.effects import Effect, ReadPage, WatchChanges, WriteLine
from bronzekeel.core.routing.events import (
    CallFailed,
    ChangesRead,
    HistoryLost,
    PageRead,
    Paused,
    ProbeAnswered,
    Started,
    StopAsked,
    StoredObject,
    Ticked,
    Unreadable,
    ViewFetched,
)
from bronzekeel.core.routing.follower import LISTEN_S, Collection, Follower
from bronzekeel.core.routing.messages import Known, View
from bronzekeel.core.routing.reducer import reduce
from bronzekeel.core.routing.sharing import view_since
from bronzekeel.core.routing.state import RoutingState
from bronzekeel.core.routing.stopping import MIN_REFUSALS, Stopping
from bronzekeel.core.store_waits import FIRST_WAIT_S, MOST_WAIT_S, MOST_WAIT_UNREAD_S
from bronzekeel.entry.loop import PauseDetector
from tests.routing_cases import (
    PORTAL,
    PORTAL_KEY,
    delivered_to,
    entry,
    fleet_of,
    fresh_state,
    opening,
    page,
    put_text,
    put_upstream,
    ready_state,
    route,
    steering,
    text,
)


def of_kind(effects: list[Effect], kind: type[Effect]) -> list[Effect]:
    """Return the effects of one kind."""
    return [effect for effect in effects if isinstance(effect, kind)]


class ListingTest(TestCase):
    """Read everything before taking traffic."""

    def test_ready_only_after_all_pages_of_all(self) -> None:
        """Symptom: a fresh host refuses callers whose upstreams exist.

        Sequence: the list of upstreams has two pages; the host serves after one.
        Cause: taking a part for the whole.
        """
        state = fresh_state()
        asked = reduce(state, Started(), 0)
        self.assertEqual(len(Collection), len(of_kind(asked, ReadPage)))
        reduce(state, page(Collection.EVACUATIONS), 0)
        reduce(state, page(Collection.TEXT, text(1)), 0)
        first = PageRead(
            Collection.UPSTREAMS,
            [StoredObject(entry(1).name, 1, entry(1))],
            9,
            more=True,
        )
        effects = reduce(state, first, 0)
        self.assertFalse(state.ready)
        following = of_kind(effects, ReadPage)
        self.assertEqual([entry(1).name], [item.after for item in following])
        effects = reduce(state, page(Collection.UPSTREAMS, entry(2)), 0)
        self.assertTrue(state.ready)
        self.assertEqual(2, state.directory.listed_count)
        effects = reduce(state, Ticked(), LISTEN_S)
        revisions = {watch.collection: watch.revision for watch in of_kind(effects, WatchChanges)}
        self.assertEqual(9, revisions[Collection.UPSTREAMS])

    def test_a_listing_that_is_not_whole_is_not_told(self) -> None:
        """An upstream that was leaving got new flows from hosts that learn from a neighbour.

        The neighbour listed anew, in two pages.  Between them it told its newest revision, which
        was on the first page, and a view without what was on the second; who had taken that asked
        for nothing more.
        """
        teller = ready_state(entry(1), entry(2))
        reduce(teller, HistoryLost(Collection.UPSTREAMS), 1)
        newest = entry(1, revision=50)
        first = PageRead(
            Collection.UPSTREAMS, [StoredObject(newest.name, 50, newest)], 50, more=True
        )
        reduce(teller, first, 1)
        asker = ready_state(entry(1), entry(2))
        self._ask(asker, teller)
        leaving = entry(2, revision=45, draining=True)
        reduce(teller, page(Collection.UPSTREAMS, leaving), 1)
        self._ask(asker, teller)
        self.assertTrue(asker.directory.by_name[entry(2).name].entry.draining)

    def test_not_ready_without_a_text(self) -> None:
        """Upstreams alone are not enough to take traffic."""
        state = fresh_state()
        reduce(state, page(Collection.TEXT), 0)
        reduce(state, page(Collection.UPSTREAMS, entry(1)), 0)
        reduce(state, page(Collection.EVACUATIONS), 0)
        self.assertFalse(state.ready)
        newer = ChangesRead(Collection.TEXT, [StoredObject('main', 5, text(5))], 5)
        reduce(state, newer, 1)
        self.assertTrue(state.ready)

    def test_a_list_that_is_behind_a_peer_removes_nothing(self) -> None:
        """Symptom: an upstream that has just joined gets no flows from one host.

        Sequence: a host lists upstreams; one joins; a peer tells of it before
        the list's answer, which does not have it, arrives.
        Cause: taking the newest revision known for that of the list.
        """
        state = fresh_state()
        reduce(state, Started(), 0)
        view = View(text(1), 1, [entry(1), entry(2, revision=60)], [], 60)
        reduce(state, ViewFetched(('p', 9), view), 0)
        reduce(state, page(Collection.UPSTREAMS, entry(1, revision=50)), 0)
        self.assertTrue(state.directory.by_name[entry(2).name].listed)

    def test_an_unreadable_object_changes_nothing(self) -> None:
        """Symptom: one malformed entry stops all changes, or ends the process.

        Sequence: somebody writes an entry of the wrong shape over a good one.
        Cause: a fault in one object that fails the whole answer.
        """
        state = ready_state(entry(1))
        bad = StoredObject(entry(1).name, 60, Unreadable('no address'))
        good = StoredObject(entry(2).name, 61, entry(2, revision=61))
        reduce(state, ChangesRead(Collection.UPSTREAMS, [bad, good], 61), 1)
        self.assertEqual(2, state.directory.listed_count)
        self.assertIsNotNone(state.text)

    def _ask(self, asker: RoutingState, teller: RoutingState) -> None:
        """Let a host take what another has beyond its own newest revision."""
        revision = asker.directory.newest_revision
        known = Known(asker.text_order, revision, revision)
        reduce(asker, ViewFetched(('b1', 9), view_since(teller, known, 1)), 1)


class FailureTest(TestCase):
    """Calls that give nothing."""

    def test_waits_grow_and_are_spread_over_the_fleet(self) -> None:
        """Symptom: the store is overrun in the moment of its return.

        Sequence: the store goes down for all hosts at once.
        Cause: waits that are the same everywhere.
        """
        retries = set()
        for host in range(30):
            follower = Follower(Collection.TEXT, f'host-{host}')
            follower.listed = True
            for _ in range(8):
                follower.fail(0)
            retries.add(follower.retry_at)
            self.assertLessEqual(follower.retry_at or 0, 1.5 * MOST_WAIT_S)
        self.assertGreater(len(retries), 25)

    def test_a_host_that_knows_nothing_asks_more_often(self) -> None:
        """A host that knows nothing waits less between its tries."""
        follower = Follower(Collection.TEXT, 'a1')
        for _ in range(8):
            follower.fail(0)
        self.assertLessEqual(follower.retry_at or 0, 1.5 * MOST_WAIT_UNREAD_S)

    def test_lost_history_is_listed_anew(self) -> None:
        """Symptom: an upstream that left during a gap gets flows for ever.

        Sequence: the watch is cut, an upstream leaves, the history is compacted.
        Cause: going on with the watch, or adding the list without removing.
        """
        state = ready_state(entry(1), entry(2))
        effects = reduce(state, HistoryLost(Collection.UPSTREAMS), 1)
        self.assertEqual(1, len(of_kind(effects, ReadPage)))
        reduce(state, page(Collection.UPSTREAMS, entry(2)), 1)
        chosen = steering(state)
        names = {delivered_to(chosen.decide(opening(number), 2)) for number in range(9)}
        self.assertEqual({entry(2).name}, names)

    def test_a_failed_call_is_tried_again_where_it_was(self) -> None:
        """After a failure the watch goes on from the revision that is known."""
        state = ready_state(entry(4))
        reduce(state, CallFailed(Collection.UPSTREAMS, 'reset'), 1)
        effects: list[Effect] = []
        for tick in range(10):
            effects.extend(reduce(state, Ticked(), 1 + tick / 10))
        watches = of_kind(effects, WatchChanges)
        self.assertEqual([4], [watch.revision for watch in watches])

    def test_a_lost_store_is_logged_once_and_its_return_too(self) -> None:
        """One line a collection for a lost dependency, one for a regained one."""
        fleet = fleet_of(1, ('dc-a',))
        node = fleet.node_by_name['dc-a-1']
        fleet.fail_store(['dc-a-1'], 'refuses')
        fleet.run(6)
        fleet.fail_store(['dc-a-1'], 'serves')
        fleet.run(4)
        self.assertEqual(len(Collection), node.lines[LogNumber.PLATFORM_LOST])
        self.assertEqual(len(Collection), node.lines[LogNumber.PLATFORM_BACK])


class LapseTest(TestCase):
    """Entries that lapse while the store is away."""

    def test_entries_lapsed_in_an_outage_get_time_to_return(self) -> None:
        """Symptom: after an outage of the store a whole service has no upstream.

        Sequence: the store is down; all entries lapse; it returns; the entries
        come back within two seconds.
        Cause: taking a lapsed entry for a dead upstream.
        """
        fleet = fleet_of(1, ('dc-a',))
        fleet.fail_store(['dc-a-1'], 'refuses')
        fleet.run(5)
        fleet.store.remove(Collection.UPSTREAMS, entry(1).name)
        fleet.fail_store(['dc-a-1'], 'serves')
        fleet.run(1.6)
        verdict = fleet.decide('dc-a-1', opening(1))
        self.assertEqual(entry(1).name, delivered_to(verdict))
        fleet.run(RETURN_GRACE_S + 1)
        verdict = fleet.decide('dc-a-1', opening(2))
        self.assertEqual('Reset no_upstream', delivered_to(verdict))

    def test_entries_that_return_are_used_on(self) -> None:
        """An entry that lapsed and came back is as before."""
        fleet = fleet_of(1, ('dc-a',))
        fleet.fail_store(['dc-a-1'], 'refuses')
        fleet.store.remove(Collection.UPSTREAMS, entry(1).name)
        fleet.run(5)
        fleet.fail_store(['dc-a-1'], 'serves')
        fleet.run(1)
        put_upstream(fleet, 1)
        fleet.run(RETURN_GRACE_S + 1)
        verdict = fleet.decide('dc-a-1', opening(1))
        self.assertEqual(entry(1).name, delivered_to(verdict))

    def test_entries_that_lapse_together_get_time_to_return(self) -> None:
        """Symptom: right after an outage callers are refused for want of an upstream.

        Sequence: the store is away, but a host's waiting watch survives that;
        the entries lapse, the watch tells so, and they are back a moment later.
        Cause: taking an outage that this host did not notice for many crashes.
        """
        state = ready_state(*(entry(number) for number in range(1, 7)))
        lapsed = [StoredObject(entry(number).name, 50 + number, None) for number in range(1, 7)]
        reduce(state, ChangesRead(Collection.UPSTREAMS, lapsed, 60), 10)
        chosen = steering(state)
        names = {delivered_to(chosen.decide(opening(number), 10.1)) for number in range(12)}
        self.assertEqual({entry(number).name for number in range(1, 7)}, names)
        late = 10 + RETURN_GRACE_S + 0.1
        for collection in Collection:
            reduce(state, ChangesRead(collection, [], 61), late)
        self.assertEqual('Reset no_upstream', delivered_to(chosen.decide(opening(99), late)))

    def test_a_few_that_lapse_are_gone(self) -> None:
        """Less than half of all is no outage of the store."""
        state = ready_state(*(entry(number) for number in range(1, 7)))
        lapsed = [StoredObject(entry(number).name, 50 + number, None) for number in (1, 2)]
        reduce(state, ChangesRead(Collection.UPSTREAMS, lapsed, 60), 10)
        gone = [upstream.is_gone(10) for upstream in state.directory.by_name.values()]
        self.assertEqual(2, sum(gone))

    def test_a_lapse_while_the_store_is_steady_counts_at_once(self) -> None:
        """Symptom: new flows go to a crashed upstream for seconds more.

        Sequence: an upstream crashes; its entry lapses; the store was never away.
        Cause: waiting for every lapsed entry to come back.
        """
        directory = Directory()
        directory.take(entry(1), 0)
        missed = directory.note_removed(entry(1).name, 9, 5)
        if missed is None:
            self.fail('not missed')
        self.assertTrue(missed.is_gone(5))

    def test_an_older_word_does_not_bring_an_entry_back(self) -> None:
        """Symptom: an upstream that is gone comes back to the list, and stays.

        Sequence: a removal is read; an answer from before it arrives late.
        Cause: taking entries in the order in which they arrive.
        """
        directory = Directory()
        directory.take(entry(1, revision=5), 0)
        directory.note_removed(entry(1).name, 9, 1)
        self.assertFalse(directory.take(entry(1, revision=5), 2))
        self.assertFalse(directory.by_name[entry(1).name].listed)
        self.assertTrue(directory.take(entry(1, revision=12), 3))
        self.assertTrue(directory.by_name[entry(1).name].listed)

    def test_upstreams_long_gone_are_forgotten(self) -> None:
        """What is gone costs no memory for ever."""
        directory = Directory()
        directory.take(entry(1), 0)
        directory.note_removed(entry(1).name, 9, 1)
        directory.forget_old(REMEMBERED_S)
        self.assertIn(entry(1).name, directory.by_name)
        directory.forget_old(REMEMBERED_S + 1)
        self.assertEqual({}, directory.by_name)
        self.assertEqual({}, directory.by_number)
        self.assertEqual([], directory.of_service(PORTAL))


class RolloutTest(TestCase):
    """Texts that come in quick succession, late, or out of order."""

    def test_an_older_text_is_refused(self) -> None:
        """Symptom: a host returns to a text that is no longer in force.

        Sequence: a newer text is read; an answer with an older one arrives.
        Cause: taking the text that came last for the newest.
        """
        state = ready_state(entry(1))
        newer = text(50, route(PORTAL_KEY, PORTAL))
        reduce(state, ChangesRead(Collection.TEXT, [StoredObject('main', 50, newer)], 50), 1)
        reduce(state, ChangesRead(Collection.TEXT, [StoredObject('main', 40, text(40))], 60), 2)
        self.assertEqual(50, state.text_revision)

    def test_texts_in_quick_succession_are_in_force_everywhere(self) -> None:
        """Symptom: some hosts stop at an older text of a series.

        Sequence: twelve texts in four seconds, a host killed between.
        Cause: a change that arrives while the one before is being told.
        """
        fleet = fleet_of(4)
        newest = 0
        for step in range(12):
            newest = put_text(fleet)
            fleet.run(0.33)
            if step == 5:
                fleet.kill('dc-a-1')
                fleet.restart('dc-a-1')
        fleet.run(1)
        revisions = {node.state.text_revision for node in fleet.running}
        self.assertEqual({newest}, revisions)
        for node in fleet.running:
            self.assertEqual(sorted(node.text_orders), node.text_orders)


class PauseTest(TestCase):
    """A host that stood still."""

    def test_a_host_that_wakes_refuses_nothing_unread(self) -> None:
        """Symptom: callers of a new route are refused by a host that was frozen.

        Sequence: a host is frozen; a text adds a route; the host wakes and gets
        packets before the answer to its watch.
        Cause: a view that was current before the pause.
        """
        state = ready_state(entry(1))
        chosen = steering(state)
        nowhere = bytes((198, 18, 0, 9, 0, 80))
        self.assertEqual('Reset no_route', delivered_to(chosen.decide(opening(1, key=nowhere), 1)))
        reduce(state, Paused(4), 1)
        verdict = chosen.decide(opening(2, key=nowhere), 1)
        self.assertEqual('Discard no_route', delivered_to(verdict))
        for collection in Collection:
            reduce(state, ChangesRead(collection, [], 70), 1.1)
        verdict = chosen.decide(opening(3, key=nowhere), 1.2)
        self.assertEqual('Reset no_route', delivered_to(verdict))

    def test_peers_are_relied_on_when_they_are_heard_again(self) -> None:
        """Symptom: a host that wakes believes a peer's word from before the pause.

        Sequence: one of five hosts, which does not watch, is frozen.
        Cause: counting a heartbeat's age by a clock that stood still too.
        """
        fleet = fleet_of(5, ('dc-a',))
        fleet.run(20)
        told = next(node for node in fleet.running if not node.state.is_direct(fleet.now))
        self.assertTrue(told.state.is_current(fleet.now))
        reduce(told.state, Paused(4), fleet.now)
        self.assertFalse(told.state.is_current(fleet.now))
        fleet.run(1)
        self.assertTrue(told.state.is_current(fleet.now))

    def test_pauses_are_told_from_waits(self) -> None:
        """Suspended hosts and stopped processes are noticed, planned waits are not."""
        clocks = {'steady': 10, 'counting': 110}
        detector = PauseDetector(lambda: clocks['steady'], lambda: clocks['counting'])
        detector.start_wait(5)
        clocks.update(steady=15, counting=115)
        self.assertEqual(0, detector.paused_s())
        detector.start_wait(0.1)
        clocks.update(counting=119)
        self.assertEqual(4, detector.paused_s())
        detector.start_wait(0.1)
        clocks.update(steady=19, counting=123)
        self.assertAlmostEqual(3.9, detector.paused_s())


class RemovedTextTest(TestCase):
    """A text that vanishes from the store."""

    def test_the_last_text_stays_in_force(self) -> None:
        """Symptom: all callers are refused after a slip of an operator's hand.

        Sequence: the text's object is removed from the store.
        Cause: taking a removal for an empty text, or for an upstream's.
        """
        state = ready_state(entry(1))
        removed = ChangesRead(Collection.TEXT, [StoredObject('main', 90, None)], 90)
        effects = reduce(state, removed, 1)
        self.assertEqual(1, state.text_revision)
        self.assertEqual(1, state.directory.newest_revision)
        lines = [effect.number for effect in effects if isinstance(effect, WriteLine)]
        self.assertEqual([LogNumber.OBJECT_BAD], lines)


class StoppingTest(TestCase):
    """Leave the rotation first, forward on, end in time."""

    def test_a_stop_waits_for_the_fabric_to_notice(self) -> None:
        """Symptom: a planned stop drops opening packets for a second.

        Sequence: SIGTERM; the fabric sends packets until two probes failed.
        Cause: ending at once.
        """
        stopping = Stopping(6)
        stopping.begin(0)
        stopping.last_packet_at = 0.9
        stopping.note_refusal()
        self.assertFalse(stopping.is_done(0.95))
        for _ in range(MIN_REFUSALS):
            stopping.note_refusal()
        self.assertFalse(stopping.is_done(0.95))
        self.assertTrue(stopping.is_done(1.2))

    def test_a_stop_ends_in_time_under_traffic(self) -> None:
        """The fabric may send on for ever when too few hosts are left."""
        stopping = Stopping(6)
        stopping.begin(0)
        stopping.last_packet_at = 5.9
        self.assertTrue(stopping.is_done(5.95))

    def test_probes_are_refused_and_packets_forwarded(self) -> None:
        """A host that is being stopped serves to its end."""
        state = ready_state(entry(1))
        reduce(state, StopAsked(), 1)
        reduce(state, ProbeAnswered(ready=False), 1.5)
        self.assertEqual(1, state.stopping.refusals)
        verdict = steering(state).decide(opening(1), 1.6)
        self.assertEqual(entry(1).name, delivered_to(verdict))


class RelistingTest(TestCase):
    """A store that can go on with no watch."""

    def test_histories_lost_in_a_row_are_listed_with_pauses(self) -> None:
        """Hosts called the store a hundred times a second when it could go on with no watch.

        Each watch was told at once that its history is gone, each list that followed was answered
        at once, and nothing between them waited.  The recorded calls of one host: 118 a second.
        """
        state = ready_state(entry(1))
        now = 10.0
        calls = 0
        effects = reduce(state, HistoryLost(Collection.UPSTREAMS), now)
        while now < 20:
            asked = [effect for effect in effects if isinstance(effect, ReadPage | WatchChanges)]
            calls += len(asked)
            now += 0.01
            effects = reduce(state, Ticked(), now)
            for effect in asked:
                effects.extend(reduce(state, _refused(effect), now))
        self.assertGreater(calls, 2 * 10 / (1.5 * MOST_WAIT_S))
        self.assertLess(calls, 2 * 10 / (0.5 * FIRST_WAIT_S))

    def test_a_history_lost_now_and_then_is_listed_at_once(self) -> None:
        """One that is lost now and then delays nothing."""
        state = ready_state(entry(1))
        for now in range(10, 20):
            effects = reduce(state, HistoryLost(Collection.UPSTREAMS), now)
            self.assertEqual(1, len(of_kind(effects, ReadPage)))
            reduce(state, page(Collection.UPSTREAMS, entry(1, revision=now)), now)
            reduce(state, ChangesRead(Collection.UPSTREAMS, [], now), now)

    def test_what_is_listed_with_pauses_proves_nothing(self) -> None:
        """Between two lists without a watch a change may have come: nothing counts as current."""
        state = ready_state(entry(1))
        for collection in Collection:
            reduce(state, ChangesRead(collection, [], 9), 10)
        self.assertTrue(state.is_direct(10))
        for _ in range(2):
            reduce(state, HistoryLost(Collection.UPSTREAMS), 10)
            self.assertFalse(state.is_direct(10))
            reduce(state, page(Collection.UPSTREAMS, entry(1)), 10)


def _refused(effect: Effect) -> PageRead | HistoryLost:
    """Return the answer of a store that has no history at all."""
    if isinstance(effect, WatchChanges):
        return HistoryLost(effect.collection)
    return page(Collection.UPSTREAMS, entry(1))
