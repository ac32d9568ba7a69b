"""Test a balancer's view of the store while the store and its network fail."""

from unittest import TestCase

from bronzekeel.core.log_numbers import LogNumber
from bronzekeel.core.routing.directory import RETENTION_S, RETURN_GRACE_S, Directory
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
from bronzekeel.core.routing.messages import KnownVersions, View
from bronzekeel.core.routing.peer_exchange import view_since
from bronzekeel.core.routing.reducer import reduce
from bronzekeel.core.routing.state import RoutingState
from bronzekeel.core.routing.stopping import MIN_REFUSALS, Stopping
from bronzekeel.core.store_waits import (
    FIRST_RETRY_WAIT_S,
    MAX_RETRY_WAIT_S,
    MAX_RETRY_WAIT_UNREAD_S,
)
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
    """A host reads everything before it takes traffic."""

    def test_ready_only_after_all_pages_of_all(self) -> None:
        """A host is ready only after it has read all pages of all collections.

        If it served after the first of two pages of upstreams, it would refuse callers whose
        upstreams exist.
        """
        state = fresh_state()
        calls_due = reduce(state, Started(), 0)
        self.assertEqual(len(Collection), len(of_kind(calls_due, ReadPage)))
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
        second = PageRead(
            Collection.UPSTREAMS,
            [StoredObject(entry(2).name, 1, entry(2))],
            12,
            more=False,
        )
        effects = reduce(state, second, 0)
        self.assertTrue(state.ready)
        self.assertEqual(2, state.directory.listed_count)
        effects = reduce(state, Ticked(), LISTEN_S)
        revisions = {watch.collection: watch.revision for watch in of_kind(effects, WatchChanges)}
        self.assertEqual(9, revisions[Collection.UPSTREAMS])

    def test_an_incomplete_listing_is_not_announced(self) -> None:
        """A host that is listing again does not announce revisions before the listing is complete.

        The newest revision was on the first of two pages.  A peer that took it together with the
        incomplete view would ask for nothing more, and would send new flows to an upstream whose
        drain was on the second page.
        """
        sender = ready_state(entry(1), entry(2))
        reduce(sender, HistoryLost(Collection.UPSTREAMS), 1)
        newest = entry(1, revision=50)
        first = PageRead(
            Collection.UPSTREAMS, [StoredObject(newest.name, 50, newest)], 50, more=True
        )
        reduce(sender, first, 1)
        asker = ready_state(entry(1), entry(2))
        self._fetch_view(asker, sender)
        leaving = entry(2, revision=45, draining=True)
        reduce(sender, page(Collection.UPSTREAMS, leaving), 1)
        self._fetch_view(asker, sender)
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
        """An upstream that joined after the listing, and is known from a peer, is not removed.

        The listing's answer, without the upstream, arrives after the peer's report.  The listing
        must count by its own revision and not by the newest one known.
        """
        state = fresh_state()
        reduce(state, Started(), 0)
        view = View(text(1), 1, [entry(1), entry(2, revision=60)], [], 60)
        reduce(state, ViewFetched(('p', 9), view), 0)
        reduce(state, page(Collection.UPSTREAMS, entry(1, revision=50)), 0)
        self.assertTrue(state.directory.by_name[entry(2).name].listed)

    def test_an_unreadable_object_changes_nothing(self) -> None:
        """An unreadable object neither fails the whole answer nor removes anything.

        Another writer overwrites a valid entry by a malformed one.
        """
        state = ready_state(entry(1))
        bad = StoredObject(entry(1).name, 60, Unreadable('no address'))
        good = StoredObject(entry(2).name, 61, entry(2, revision=61))
        reduce(state, ChangesRead(Collection.UPSTREAMS, [bad, good], 61), 1)
        self.assertEqual(2, state.directory.listed_count)
        self.assertIsNotNone(state.text)

    def _fetch_view(self, asker: RoutingState, sender: RoutingState) -> None:
        """Make a host apply what another one knows beyond its own newest revision."""
        revision = asker.directory.newest_revision
        known = KnownVersions(asker.text_order, revision, revision)
        reduce(asker, ViewFetched(('b1', 9), view_since(sender, known, 1)), 1)


class FailureTest(TestCase):
    """Calls to the store that fail."""

    def test_waits_grow_and_are_spread_over_the_fleet(self) -> None:
        """Waits between attempts grow, and differ between hosts.

        If all hosts waited for the same time in an outage, they would overload the store when it
        returns.
        """
        retries = set()
        for host in range(30):
            follower = Follower(Collection.TEXT, f'host-{host}')
            follower.listed = True
            for _ in range(8):
                follower.fail(0)
            retries.add(follower.retry_at)
            self.assertLessEqual(follower.retry_at or 0, 1.5 * MAX_RETRY_WAIT_S)
        self.assertGreater(len(retries), 25)

    def test_a_host_that_knows_nothing_asks_more_often(self) -> None:
        """A host that knows nothing waits less between its attempts."""
        follower = Follower(Collection.TEXT, 'a1')
        for _ in range(8):
            follower.fail(0)
        self.assertLessEqual(follower.retry_at or 0, 1.5 * MAX_RETRY_WAIT_UNREAD_S)

    def test_lost_history_is_listed_anew(self) -> None:
        """After a lost history the collection is listed again, and what is missing is removed.

        An upstream leaves while the watch is cut off and the history is compacted.  Continuing the
        watch, or adding the listing without removing, would send flows to it forever.
        """
        state = ready_state(entry(1), entry(2))
        effects = reduce(state, HistoryLost(Collection.UPSTREAMS), 1)
        self.assertEqual(1, len(of_kind(effects, ReadPage)))
        reduce(state, page(Collection.UPSTREAMS, entry(2)), 1)
        chosen = steering(state)
        names = {delivered_to(chosen.decide(opening(number), 2)) for number in range(9)}
        self.assertEqual({entry(2).name}, names)

    def test_a_failed_call_is_tried_again_where_it_was(self) -> None:
        """After a failure the watch continues from the known revision."""
        state = ready_state(entry(4))
        reduce(state, CallFailed(Collection.UPSTREAMS, 'reset'), 1)
        effects: list[Effect] = []
        for tick in range(10):
            effects.extend(reduce(state, Ticked(), 1 + tick / 10))
        watches = of_kind(effects, WatchChanges)
        self.assertEqual([4], [watch.revision for watch in watches])

    def test_a_lost_store_is_logged_once_and_its_return_too(self) -> None:
        """There is one log line per collection for the outage of the store, and one for its end."""
        fleet = fleet_of(1, ('dc-a',))
        node = fleet.node_by_name['dc-a-1']
        fleet.fail_store(['dc-a-1'], 'refuses')
        fleet.run(6)
        fleet.fail_store(['dc-a-1'], 'serves')
        fleet.run(4)
        self.assertEqual(len(Collection), node.lines[LogNumber.PLATFORM_LOST])
        self.assertEqual(len(Collection), node.lines[LogNumber.PLATFORM_BACK])


class LapseTest(TestCase):
    """Entries that lapse while the store is down."""

    def test_entries_lapsed_in_an_outage_get_time_to_return(self) -> None:
        """Entries that lapsed in an outage have time to come back.

        All entries lapse while the store is down, and come back within two seconds after it
        returns.  If a lapsed entry counted as a dead upstream, a whole service would have none.
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
        """An upstream whose entry lapsed and came back is used as before."""
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
        """Entries that lapse together have time to come back, even if no call failed.

        A host's watch survives an outage, reports that all entries lapsed, and they are back a
        moment later.  If this counted as many crashes, callers would be refused right after the
        outage.
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
        """Lapses of less than half of all entries are no outage of the store."""
        state = ready_state(*(entry(number) for number in range(1, 7)))
        lapsed = [StoredObject(entry(number).name, 50 + number, None) for number in (1, 2)]
        reduce(state, ChangesRead(Collection.UPSTREAMS, lapsed, 60), 10)
        gone = [upstream.is_gone(10) for upstream in state.directory.by_name.values()]
        self.assertEqual(2, sum(gone))

    def test_a_lapse_while_the_store_is_steady_counts_at_once(self) -> None:
        """An entry that lapses while the store is available counts as gone at once.

        If every lapsed entry had time to come back, new flows would go to a crashed upstream for
        seconds.
        """
        directory = Directory()
        directory.apply(entry(1), 0)
        missed = directory.note_removed(entry(1).name, 9, 5)
        if missed is None:
            self.fail('not missed')
        self.assertTrue(missed.is_gone(5))

    def test_an_older_entry_does_not_undo_a_removal(self) -> None:
        """An entry that is older than its removal does not come back.

        A removal is read, and then an answer from before it arrives late.  Applied in the order of
        arrival, the entry would be listed forever.
        """
        directory = Directory()
        directory.apply(entry(1, revision=5), 0)
        directory.note_removed(entry(1).name, 9, 1)
        self.assertFalse(directory.apply(entry(1, revision=5), 2))
        self.assertFalse(directory.by_name[entry(1).name].listed)
        self.assertTrue(directory.apply(entry(1, revision=12), 3))
        self.assertTrue(directory.by_name[entry(1).name].listed)

    def test_upstreams_long_gone_are_forgotten(self) -> None:
        """Upstreams that are gone for long are removed from memory."""
        directory = Directory()
        directory.apply(entry(1), 0)
        directory.note_removed(entry(1).name, 9, 1)
        directory.forget_old(RETENTION_S)
        self.assertIn(entry(1).name, directory.by_name)
        directory.forget_old(RETENTION_S + 1)
        self.assertEqual({}, directory.by_name)
        self.assertEqual({}, directory.by_number)
        self.assertEqual([], directory.of_service(PORTAL))


class RolloutTest(TestCase):
    """Texts in quick succession, late, or out of order."""

    def test_an_older_text_is_refused(self) -> None:
        """A text that is older than the one in force is refused.

        A newer text is read, and then an answer with an older one arrives.  If the last text to
        arrive counted as the newest, the host would return to a text that is no longer in force.
        """
        state = ready_state(entry(1))
        newer = text(50, route(PORTAL_KEY, PORTAL))
        reduce(state, ChangesRead(Collection.TEXT, [StoredObject('main', 50, newer)], 50), 1)
        reduce(state, ChangesRead(Collection.TEXT, [StoredObject('main', 40, text(40))], 60), 2)
        self.assertEqual(50, state.text_revision)

    def test_texts_in_quick_succession_are_in_force_everywhere(self) -> None:
        """The last of many texts is in force on all hosts.

        Twelve texts are accepted in four seconds, and a host is killed in between.  A change that
        arrives while the one before is being announced must not be lost.
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
    """A host that was suspended."""

    def test_a_host_that_wakes_refuses_nothing_unread(self) -> None:
        """A host that wakes up refuses no flow before it has read the store.

        A host is frozen, a text adds a route, and the host wakes up and gets packets before the
        answer to its watch.  A view that was current before the pause must not count as current, or
        callers of the new route are refused.
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

    def test_peers_count_as_live_after_their_next_heartbeat(self) -> None:
        """A host that wakes up does not rely on peers before their next heartbeat.

        One of five hosts, which does not watch, is frozen.  If the age of a heartbeat were measured
        by a clock that stood still too, the host would trust a report from before the pause.
        """
        fleet = fleet_of(5, ('dc-a',))
        fleet.run(20)
        non_watcher = next(node for node in fleet.running if not node.state.is_direct(fleet.now))
        self.assertTrue(non_watcher.state.is_current(fleet.now))
        reduce(non_watcher.state, Paused(4), fleet.now)
        self.assertFalse(non_watcher.state.is_current(fleet.now))
        fleet.run(1)
        self.assertTrue(non_watcher.state.is_current(fleet.now))

    def test_pauses_are_distinguished_from_waits(self) -> None:
        """Suspended hosts and stopped processes are detected, planned waits are not."""
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
    """A text that is removed from the store."""

    def test_the_last_text_stays_in_force(self) -> None:
        """The last text stays in force when its object is removed from the store.

        An operator removes it by mistake.  If this counted as an empty text, all callers would be
        refused.
        """
        state = ready_state(entry(1))
        removed = ChangesRead(Collection.TEXT, [StoredObject('main', 90, None)], 90)
        effects = reduce(state, removed, 1)
        self.assertEqual(1, state.text_revision)
        self.assertEqual(1, state.directory.newest_revision)
        lines = [effect.number for effect in effects if isinstance(effect, WriteLine)]
        self.assertEqual([LogNumber.OBJECT_BAD], lines)


class StoppingTest(TestCase):
    """A planned stop first leaves the rotation, forwards on, and ends in time."""

    def test_a_stop_waits_for_the_fabric_to_notice(self) -> None:
        """A stop waits until the fabric has noticed it.

        After SIGTERM the fabric sends packets until two probes have failed.  If the host ended at
        once, it would drop opening packets for a second.
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
        """A stop ends in time although the fabric sends on, as it may if too few hosts are left."""
        stopping = Stopping(6)
        stopping.begin(0)
        stopping.last_packet_at = 5.9
        self.assertTrue(stopping.is_done(5.95))

    def test_probes_are_refused_and_packets_forwarded(self) -> None:
        """A stopping host refuses probes and forwards packets until it ends."""
        state = ready_state(entry(1))
        reduce(state, StopAsked(), 1)
        reduce(state, ProbeAnswered(ready=False), 1.5)
        self.assertEqual(1, state.stopping.refusals)
        verdict = steering(state).decide(opening(1), 1.6)
        self.assertEqual(entry(1).name, delivered_to(verdict))


class RelistingTest(TestCase):
    """A store that cannot continue any watch."""

    def test_histories_lost_in_a_row_are_listed_with_pauses(self) -> None:
        """Repeated listings after lost histories are spaced by waits.

        If the store answers each watch at once with a lost history, and each listing at once too, a
        host without waits calls it about a hundred times a second: 118 calls per second were
        recorded for one host.
        """
        state = ready_state(entry(1))
        now = 10.0
        calls = 0
        effects = reduce(state, HistoryLost(Collection.UPSTREAMS), now)
        while now < 20:
            calls_due = [
                effect for effect in effects if isinstance(effect, ReadPage | WatchChanges)
            ]
            calls += len(calls_due)
            now += 0.01
            effects = reduce(state, Ticked(), now)
            for effect in calls_due:
                effects.extend(reduce(state, _refused(effect), now))
        self.assertGreater(calls, 2 * 10 / (1.5 * MAX_RETRY_WAIT_S))
        self.assertLess(calls, 2 * 10 / (0.5 * FIRST_RETRY_WAIT_S))

    def test_a_history_lost_now_and_then_is_listed_at_once(self) -> None:
        """A history that is lost only now and then is listed again without a wait."""
        state = ready_state(entry(1))
        for now in range(10, 20):
            effects = reduce(state, HistoryLost(Collection.UPSTREAMS), now)
            self.assertEqual(1, len(of_kind(effects, ReadPage)))
            reduce(state, page(Collection.UPSTREAMS, entry(1, revision=now)), now)
            reduce(state, ChangesRead(Collection.UPSTREAMS, [], now), now)

    def test_what_is_listed_with_pauses_proves_nothing(self) -> None:
        """A view counts as not current while its listings are repeated without a watch."""
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
