"""Test balancers while the store is restored from a backup that is seconds old."""

from unittest import TestCase

from bronzekeel.core.log_numbers import LogNumber
from bronzekeel.core.routing.directory import RETURN_GRACE_S
from bronzekeel.core.routing.effects import Effect, ReadPage, WatchChanges, WriteLine
from bronzekeel.core.routing.evacuated_centres import RESTORE_CONFIRM_S
from bronzekeel.core.routing.events import (
    ChangesRead,
    Evacuation,
    HeartbeatHeard,
    HistoryLost,
    PageRead,
    Paused,
    StoredObject,
    Ticked,
    ViewFetched,
)
from bronzekeel.core.routing.follower import Collection
from bronzekeel.core.routing.messages import Evacuated, Heartbeat, KnownVersions, PeerAddress
from bronzekeel.core.routing.model import RoutingText, UpstreamEntry
from bronzekeel.core.routing.peer_exchange import view_since
from bronzekeel.core.routing.reducer import reduce
from bronzekeel.core.routing.revisions import revision_of
from bronzekeel.core.routing.state import RoutingState
from bronzekeel.core.store_waits import FIRST_RETRY_WAIT_S
from bronzekeel.replay.routing_fleet import RoutingFleet
from bronzekeel.replay.routing_store import StoreCopy
from tests.routing_cases import (
    LOCAL_CENTRE,
    entry,
    fleet_of,
    fresh_state,
    page,
    put_upstream,
    ready_state,
    text,
)


def lines_of(effects: list[Effect], number: LogNumber) -> list[WriteLine]:
    """Return the log lines of one kind."""
    return [
        effect for effect in effects if isinstance(effect, WriteLine) and effect.number == number
    ]


class RestoreLogTest(TestCase):
    """Log lines about a restore of the store."""

    def test_another_incarnation_is_logged_once(self) -> None:
        """The first answer of another incarnation is logged, and no further one."""
        state = ready_state(entry(1))
        answers = (
            HistoryLost(Collection.UPSTREAMS, 3),
            PageRead(Collection.UPSTREAMS, [], revision_of(3, 40), more=False),
            ChangesRead(Collection.TEXT, [], revision_of(3, 40)),
        )
        restored = []
        for answer in answers:
            restored.extend(lines_of(reduce(state, answer, 1), LogNumber.STORE_RESTORED))
        self.assertEqual(1, len(restored))
        self.assertEqual(
            (3, 0), (restored[0].fields['incarnation'], restored[0].fields['former_incarnation'])
        )

    def test_a_refused_text_with_a_known_revision_is_logged(self) -> None:
        """A text that is not put in force is logged, also if its revision is not older."""
        state = ready_state(entry(1))
        reduce(state, ChangesRead(Collection.TEXT, [StoredObject('main', 50, text(50))], 50), 1)
        other = RoutingText(49, 50, {}, 15)
        effects = reduce(
            state, ChangesRead(Collection.TEXT, [StoredObject('main', 50, other)], 50), 2
        )
        lines = lines_of(effects, LogNumber.TEXT_OLDER)
        self.assertEqual([(49, 50)], [_generations(line) for line in lines])
        self.assertEqual(1, state.store_record.texts_refused)


def _generations(line: WriteLine) -> tuple[object, object]:
    """Return the generation that was refused and the one in force."""
    return line.fields['generation'], line.fields['in_force_generation']


#: Seconds within which an accepted text, and the drain of an upstream, must be known.  This is the
#: shortest bound that the users state.
_BOUND_S = 3.0

#: Seconds for which the store is down, and for which the owners of its objects take to write them
#: again.
_DOWN_S = 2.5
_REWRITE_S = 0.2


def put_generation(fleet: RoutingFleet, generation: int) -> None:
    """Write the operators' text with a generation."""
    fleet.store.put(
        Collection.TEXT,
        'main',
        lambda revision: text(revision, generation=generation),
    )
    fleet.notify_watches()


def restore(fleet: RoutingFleet, backup: StoreCopy) -> None:
    """Take the store down, restore it from a backup, and write again what it lost."""
    names = list(fleet.node_by_name)
    lost = fleet.store.copy()
    fleet.fail_store(names, 'refuses')
    fleet.run(_DOWN_S)
    fleet.store.restore(backup)
    fleet.fail_store(names, 'serves')
    fleet.run(_REWRITE_S)
    fleet.store.rewrite_lost(lost)
    fleet.notify_watches()


def generations(fleet: RoutingFleet) -> set[int]:
    """Return the generations in force."""
    return {node.state.text.generation for node in fleet.running if node.state.text}


class RestoredTest(TestCase):
    """A store that lost its last acknowledged writes, and hosts that know them."""

    def test_texts_accepted_after_a_restore_are_in_force(self) -> None:
        """Texts accepted after a restore are in force within the bound.

        The restored store numbers its changes again from below the revisions that hosts know.  When
        texts were ordered by revision alone, the next ones counted as older than the text in force,
        or as the same if the revision was equal, and requests were handled by a replaced text.  It
        was logged as text_older: generation 17, revision 14, in_force 18, of a generation that had
        been revision 18 before; then generation 20, revision 16, and generation 22, revision 17;
        generation 26, whose revision was equal, had no line.
        """
        fleet = fleet_of(3)
        put_generation(fleet, 5)
        backup = fleet.store.copy()
        for generation in (8, 11, 13, 15, 17):
            put_generation(fleet, generation)
            fleet.run(2)
        restore(fleet, backup)
        fleet.run(_BOUND_S)
        for generation in (20, 22, 26, 29, 32, 36):
            put_generation(fleet, generation)
            fleet.run(_BOUND_S)
            self.assertEqual({generation}, generations(fleet))

    def test_no_text_is_reverted_by_a_restore(self) -> None:
        """A restore does not bring an old text back into force.

        Until the operators write their text again, the restored store returns an old one, which is
        newest by its incarnation but older by the operators' generation.
        """
        fleet = fleet_of(3)
        put_generation(fleet, 5)
        backup = fleet.store.copy()
        put_generation(fleet, 8)
        fleet.run(1)
        names = list(fleet.node_by_name)
        fleet.fail_store(names, 'refuses')
        fleet.run(1)
        fleet.store.restore(backup)
        fleet.fail_store(names, 'serves')
        for _ in range(50):
            fleet.run(0.1)
            self.assertEqual({8}, generations(fleet))
        put_generation(fleet, 9)
        fleet.run(_BOUND_S)
        self.assertEqual({9}, generations(fleet))

    def test_a_drain_accepted_after_a_restore_is_known(self) -> None:
        """The drain of an upstream after a restore is known within the bound.

        The entry had a larger revision before the restore than the drain after it.  When numbers
        alone were compared, the upstream got new flows for seconds.
        """
        fleet = fleet_of(3, ('dc-a',))
        put_upstream(fleet, 2)
        fleet.run(1)
        backup = fleet.store.copy()
        for _ in range(4):
            put_upstream(fleet, 2)
        fleet.run(1)
        restore(fleet, backup)
        fleet.run(_BOUND_S)
        put_upstream(fleet, 2, draining=True)
        fleet.run(_BOUND_S)
        for node in fleet.running:
            self.assertTrue(node.state.directory.by_name[entry(2).name].entry.draining)

    def test_changes_under_numbers_given_out_again_are_known(self) -> None:
        """Changes with revision numbers that were given out before are known.

        Hosts are cut off while the store is restored and its revisions pass theirs.  When their
        watches continued from a number that stood for another change, they never learned of an
        upstream that had joined in the meantime.
        """
        fleet = fleet_of(3, ('dc-a',))
        backup = fleet.store.copy()
        for _ in range(4):
            put_upstream(fleet, 2)
        fleet.run(1)
        names = list(fleet.node_by_name)
        fleet.fail_store(names, 'refuses')
        fleet.run(1)
        fleet.store.restore(backup)
        put_upstream(fleet, 2)
        put_upstream(fleet, 3)
        for _ in range(6):
            put_upstream(fleet, 2)
        fleet.fail_store(names, 'serves')
        fleet.run(_BOUND_S)
        for node in fleet.running:
            self.assertIn(entry(3).name, node.state.directory.by_name)

    def test_data_centres_that_saw_different_incarnations_agree(self) -> None:
        """A data centre that is cut off from the store learns of newer incarnations from others."""
        fleet = fleet_of(3)
        backup = fleet.store.copy()
        for generation in (20, 21, 22, 23):
            put_generation(fleet, generation)
        fleet.run(1)
        local_names = [name for name in fleet.node_by_name if name.startswith('dc-a')]
        fleet.fail_store(local_names, 'silent')
        fleet.store.restore(backup)
        put_generation(fleet, 24)
        put_upstream(fleet, 3)
        fleet.run(_BOUND_S)
        self.assertEqual({24}, generations(fleet))
        for node in fleet.running:
            self.assertIn(entry(3).name, node.state.directory.by_name)


class CallsTest(TestCase):
    """Calls to a restored store."""

    def test_listings_after_a_lost_history_are_spaced(self) -> None:
        """Listings after a lost history are spaced by waits until revisions have caught up.

        Watches begin at a revision that the restored store does not have, so each one is answered
        with a lost history.  When the smaller revision of the listing was ignored, the next watch
        began at the same revision again, and each host made a hundred calls per second.
        """
        fleet = fleet_of(1, ('dc-a',))
        node = fleet.node_by_name['dc-a-1']
        backup = fleet.store.copy()
        for _ in range(9):
            put_upstream(fleet, 1)
        fleet.run(1)
        fleet.store.restore(backup)
        fleet.notify_watches()
        calls = node.calls
        fleet.run(_BOUND_S)
        self.assertLessEqual(node.calls - calls, _BOUND_S * len(Collection) / FIRST_RETRY_WAIT_S)


#: An incarnation of the store, and the one after its next restore.
_FIRST = 1
_SECOND = 2


def known_state(*numbers: int) -> RoutingState:
    """Return a ready state that knows these upstreams from the first incarnation."""
    state = fresh_state()
    entries = [entry(number, revision=revision_of(_FIRST, number)) for number in numbers]
    reduce(state, page(Collection.TEXT, text(revision_of(_FIRST, 1))), 0)
    reduce(state, page(Collection.UPSTREAMS, *entries), 0)
    reduce(state, PageRead(Collection.EVACUATIONS, [], revision_of(_FIRST, 1), more=False), 0)
    reduce(state, Ticked(), 1)
    return state


def page_of_backup(*numbers: int, more: bool = False) -> PageRead:
    """Return a page of upstreams of the second incarnation."""
    entries = [entry(number, revision=revision_of(_SECOND, number)) for number in numbers]
    objects = [StoredObject(listed.name, listed.revision, listed) for listed in entries]
    return PageRead(Collection.UPSTREAMS, objects, revision_of(_SECOND, 9), more=more)


def changes(collection: Collection, incarnation: int, *objects: StoredObject) -> ChangesRead:
    """Return the answer to a watch."""
    return ChangesRead(collection, list(objects), revision_of(incarnation, 9))


class AnswerTest(TestCase):
    """Answers of one incarnation to a host that knows another."""

    def test_entries_that_a_restore_lost_get_time(self) -> None:
        """An upstream missing after a restore has time to write its entry again."""
        state = known_state(1, 2)
        state.follower_by_collection[Collection.UPSTREAMS].begin_listing(0)
        reduce(state, page_of_backup(1), 2)
        joined = state.directory.by_name[entry(2).name]
        self.assertFalse(joined.listed)
        self.assertFalse(joined.is_gone(2 + RETURN_GRACE_S / 2))
        self.assertTrue(joined.is_gone(2 + RETURN_GRACE_S))

    def test_a_watch_of_a_former_incarnation_is_ignored(self) -> None:
        """An answer of a restored store to an older watch leads to a new listing.

        The store continues the watch by its number, which stands for another change since the
        restore.
        """
        state = known_state(1, 2)
        other = StoredObject(entry(3).name, revision_of(_SECOND, 9), entry(3, revision=9))
        effects = reduce(state, changes(Collection.UPSTREAMS, _SECOND, other), 2)
        self.assertEqual([''], [effect.after for effect in effects if isinstance(effect, ReadPage)])
        self.assertFalse(state.is_direct(2))

    def test_one_answer_of_a_restored_store_renews_all_watches(self) -> None:
        """The first answer of a restored store restarts all other watches.

        A watch from before the restore waits for a number that is yet to be given out.
        """
        state = known_state(1, 2)
        reduce(state, changes(Collection.TEXT, _SECOND), 2)
        renewed = [
            effect.collection
            for effect in reduce(state, Ticked(), 2.1)
            if isinstance(effect, WatchChanges)
        ]
        self.assertEqual({Collection.UPSTREAMS, Collection.EVACUATIONS}, set(renewed))

    def test_watches_that_waited_through_a_pause_are_renewed(self) -> None:
        """The first answer of a restored store restarts watches also after a pause of the host.

        After the pause no view counts as current.  When only watches of current views were
        restarted, the host received no changes for as long as a watch waits.
        """
        state = known_state(1, 2)
        for collection in Collection:
            reduce(state, changes(collection, _FIRST), 1.5)
        reduce(state, Paused(4), 2)
        reduce(state, changes(Collection.TEXT, _SECOND), 2)
        renewed = [
            effect.collection
            for effect in reduce(state, Ticked(), 2.1)
            if isinstance(effect, WatchChanges)
        ]
        self.assertEqual({Collection.UPSTREAMS, Collection.EVACUATIONS}, set(renewed))

    def test_an_answer_from_before_the_restore_is_left_out(self) -> None:
        """An answer of an earlier incarnation, from a replica that is behind, is ignored."""
        state = known_state(1, 2)
        state.follower_by_collection[Collection.TEXT].begin_listing(0)
        restored = page(Collection.TEXT, text(revision_of(_SECOND, 2), generation=5))
        reduce(state, restored, 2)
        left = StoredObject(entry(2).name, revision_of(_FIRST, 9), None)
        effects = reduce(state, changes(Collection.UPSTREAMS, _FIRST, left), 2.1)
        self.assertTrue(state.directory.by_name[entry(2).name].listed)
        self.assertFalse([item for item in effects if isinstance(item, WatchChanges | ReadPage)])
        self.assertTrue(state.is_lost)

    def test_a_listing_interrupted_by_a_restore_is_restarted(self) -> None:
        """A listing is started again if the store is restored between two of its pages."""
        state = known_state(1, 2)
        state.follower_by_collection[Collection.UPSTREAMS].begin_listing(0)
        first = entry(1, revision=revision_of(_FIRST, 1))
        before = StoredObject(first.name, first.revision, first)
        pages = PageRead(Collection.UPSTREAMS, [before], revision_of(_FIRST, 9), more=True)
        reduce(state, pages, 2)
        effects = reduce(state, page_of_backup(2), 2.1)
        self.assertEqual([''], [effect.after for effect in effects if isinstance(effect, ReadPage)])
        self.assertTrue(state.directory.by_name[entry(1).name].listed)


class ViewTest(TestCase):
    """Views sent between hosts after a restore."""

    def test_a_view_of_a_restored_store_is_complete(self) -> None:
        """A view sent to a host that knows an earlier incarnation is complete.

        What the store lost has no revision, so only a complete view shows that it is missing.  The
        peer that sends it started after the restore and never knew of it.
        """
        sender = fresh_state('b1')
        reduce(sender, page(Collection.TEXT, text(revision_of(_SECOND, 3))), 0)
        reduce(sender, page_of_backup(1, 4), 0)
        asker = known_state(1, 2)
        known = KnownVersions(asker.text_order, asker.directory.newest_revision, 0)
        reduce(asker, ViewFetched(('b1', 9), view_since(sender, known, 1)), 1)
        listed = {name for name, upstream in asker.directory.by_name.items() if upstream.listed}
        self.assertEqual({entry(1).name, entry(4).name}, listed)
        self.assertFalse(asker.directory.by_name[entry(2).name].is_gone(1 + RETURN_GRACE_S / 2))

    def test_an_entry_that_is_still_listed_is_sent(self) -> None:
        """An entry that the sender knows from before the restore is sent with the others."""
        sender = known_state(1, 2)
        sender.directory.advance_revision(revision_of(_SECOND, 9))
        asker = known_state(1, 2)
        known = KnownVersions(asker.text_order, asker.directory.newest_revision, 0)
        reduce(asker, ViewFetched(('b1', 9), view_since(sender, known, 1)), 1)
        self.assertEqual(2, asker.directory.listed_count)


class DrainTest(TestCase):
    """Upstreams that announced a drain before a restore, and are ready in the backup."""

    def test_a_backup_does_not_revert_a_drain(self) -> None:
        """A restore from a backup does not revert the drain of an upstream.

        The backup was made before the drain was announced, so the upstream would get new flows
        again.  Upstreams write about once a second, so the backup's entry is applied only after it
        has stood for longer.
        """
        state = draining_state()
        relist(state, 2)
        self.assertFalse(state.directory.by_name[entry(2).name].accepts_flows(2))
        for tick in range(1, 10 * int(RESTORE_CONFIRM_S)):
            reduce(state, Ticked(), 2 + tick / 10)
        self.assertFalse(
            state.directory.by_name[entry(2).name].accepts_flows(2 + RESTORE_CONFIRM_S / 2)
        )

    def test_an_entry_of_a_backup_is_applied_after_a_wait(self) -> None:
        """The backup's entry is applied after it has stood long enough."""
        state = draining_state()
        relist(state, 2)
        reduce(state, Ticked(), 2 + RESTORE_CONFIRM_S)
        self.assertTrue(state.directory.by_name[entry(2).name].accepts_flows(2 + RESTORE_CONFIRM_S))

    def test_an_entry_written_since_is_applied_at_once(self) -> None:
        """An entry that is written after the restore is applied at once."""
        state = draining_state()
        relist(state, 2)
        revision = revision_of(_SECOND, 12)
        ready = StoredObject(entry(2).name, revision, entry(2, revision=revision))
        reduce(state, ChangesRead(Collection.UPSTREAMS, [ready], revision), 2.5)
        self.assertTrue(state.directory.by_name[entry(2).name].accepts_flows(2.5))

    def test_a_second_backup_does_not_revert_a_drain(self) -> None:
        """A second restore within seconds, from before the drain, does not revert it either."""
        state = draining_state()
        relist(state, 2)
        revision = revision_of(_SECOND + 1, 2)
        ready = entry(2, revision=revision)
        state.follower_by_collection[Collection.UPSTREAMS].begin_listing(0)
        reduce(state, page(Collection.UPSTREAMS, ready), 3)
        self.assertFalse(state.directory.by_name[entry(2).name].accepts_flows(3))
        reduce(state, Ticked(), 2.1 + RESTORE_CONFIRM_S)
        leaving = state.directory.by_name[entry(2).name]
        self.assertFalse(leaving.accepts_flows(2.1 + RESTORE_CONFIRM_S))

    def test_a_former_process_in_a_backup_is_applied_late(self) -> None:
        """A former process from a backup replaces a newer one only after a longer wait.

        The backup has the entry of the former process, and may keep it for longer than a delayed
        write does: the entry of a process that is gone lapses after 3.6 s.  Applied too early, it
        would drop all state of the newest process.
        """
        state = known_state(1)
        revision = revision_of(_FIRST, 10)
        newest = started_entry(7, revision, 2000)
        stored = StoredObject(newest.name, revision, newest)
        reduce(state, changes(Collection.UPSTREAMS, _FIRST, stored), 1.1)
        state.follower_by_collection[Collection.UPSTREAMS].begin_listing(0)
        former = started_entry(7, revision_of(_SECOND, 5), 1000)
        reduce(state, page(Collection.UPSTREAMS, entry(1, revision=former.revision), former), 2)
        for wait_s, start_ms in ((RESTORE_CONFIRM_S - 0.5, 2000), (RESTORE_CONFIRM_S, 1000)):
            reduce(state, Ticked(), 2 + wait_s)
            known = state.directory.by_name[newest.name].entry
            self.assertEqual(start_ms, known.started_ms)

    def test_one_that_left_does_not_come_back_by_a_backup(self) -> None:
        """An upstream that left does not come back by a backup from before.

        Its address may belong to another service by now.
        """
        state = draining_state()
        removed = StoredObject(entry(2).name, revision_of(_FIRST, 11), None)
        reduce(state, ChangesRead(Collection.UPSTREAMS, [removed], removed.revision), 1.5)
        relist(state, 2)
        self.assertFalse(state.directory.by_name[entry(2).name].listed)

    def test_one_that_lapsed_comes_back_at_once(self) -> None:
        """An entry that lapsed in the outage before a restore is used again at once."""
        state = known_state(1, 2)
        reduce(state, changes(Collection.UPSTREAMS, _FIRST), 1.2)
        removed = StoredObject(entry(2).name, revision_of(_FIRST, 11), None)
        reduce(state, ChangesRead(Collection.UPSTREAMS, [removed], removed.revision), 1.5)
        relist(state, 2)
        self.assertTrue(state.directory.by_name[entry(2).name].accepts_flows(2))

    def test_peers_learn_of_unconfirmed_entries(self) -> None:
        """A host that receives the backup's entry from a peer waits as long as others."""
        sender = draining_state()
        relist(sender, 2)
        asker = draining_state()
        known = KnownVersions(asker.text_order, asker.directory.newest_revision, 0)
        reduce(asker, ViewFetched(('b1', 9), view_since(sender, known, 2)), 2)
        leaving = asker.directory.by_name[entry(2).name]
        self.assertTrue(leaving.listed)
        self.assertFalse(leaving.accepts_flows(2))
        reduce(asker, Ticked(), 2 + RESTORE_CONFIRM_S)
        self.assertTrue(leaving.accepts_flows(2 + RESTORE_CONFIRM_S))


def started_entry(number: int, revision: int, started_ms: int) -> UpstreamEntry:
    """Return the entry of an upstream with a start time."""
    started = entry(number, revision=revision)
    started.started_ms = started_ms
    return started


def draining_state() -> RoutingState:
    """Return a state that knows two upstreams, of which the second is draining."""
    state = known_state(1, 2)
    revision = revision_of(_FIRST, 10)
    leaving = StoredObject(entry(2).name, revision, entry(2, revision=revision, draining=True))
    reduce(state, ChangesRead(Collection.UPSTREAMS, [leaving], revision), 1.1)
    return state


def relist(state: RoutingState, now: float) -> None:
    """Make a host list the backup, in which both upstreams are ready."""
    state.follower_by_collection[Collection.UPSTREAMS].begin_listing(0)
    reduce(state, page_of_backup(1, 2), now)


class EvacuationTest(TestCase):
    """Evacuations that are missing or present after a restore."""

    def test_an_evacuation_that_a_restore_lost_stands(self) -> None:
        """An evacuation that a restore lost stays in force for a while.

        The backup was made before operators evacuated the data centre, and they write the
        evacuation again soon.  Until then, a data centre under maintenance must get no new flows.
        """
        state = evacuated_state()
        relist_evacuations(state, 2)
        self.assertFalse(accepts_flows(state, 2))
        reduce(state, Ticked(), 2 + RESTORE_CONFIRM_S / 2)
        self.assertFalse(accepts_flows(state, 2 + RESTORE_CONFIRM_S / 2))

    def test_one_that_is_not_written_again_ends(self) -> None:
        """An evacuation that is not written again ends.

        The operators may have revoked it in the meantime, which a restored store does not show.
        """
        state = evacuated_state()
        relist_evacuations(state, 2)
        effects = reduce(state, Ticked(), 2 + RESTORE_CONFIRM_S)
        self.assertTrue(accepts_flows(state, 2 + RESTORE_CONFIRM_S))
        self.assertEqual(1, len(lines_of(effects, LogNumber.TAKEN_BACK)))

    def test_one_that_is_written_again_stands_on(self) -> None:
        """An evacuation that is written again stands until it is revoked in the store."""
        state = evacuated_state()
        relist_evacuations(state, 2)
        revision = revision_of(_SECOND, 10)
        written = StoredObject(LOCAL_CENTRE, revision, Evacuation())
        effects = reduce(state, ChangesRead(Collection.EVACUATIONS, [written], revision), 2.5)
        self.assertEqual([], lines_of(effects, LogNumber.EVACUATED))
        reduce(state, Ticked(), 2 + RESTORE_CONFIRM_S)
        self.assertFalse(accepts_flows(state, 2 + RESTORE_CONFIRM_S))
        ended = revision_of(_SECOND, 11)
        removed = StoredObject(LOCAL_CENTRE, ended, None)
        reduce(
            state, ChangesRead(Collection.EVACUATIONS, [removed], ended), 2.6 + RESTORE_CONFIRM_S
        )
        self.assertTrue(accepts_flows(state, 2.6 + RESTORE_CONFIRM_S))

    def test_one_that_is_written_again_and_taken_back_ends(self) -> None:
        """An evacuation that is written again and revoked ends at once after a restore."""
        state = evacuated_state()
        relist_evacuations(state, 2)
        for number, content in ((10, Evacuation()), (11, None)):
            revision = revision_of(_SECOND, number)
            stored = StoredObject(LOCAL_CENTRE, revision, content)
            reduce(state, ChangesRead(Collection.EVACUATIONS, [stored], revision), 2.5)
        self.assertTrue(accepts_flows(state, 2.5))

    def test_a_peers_report_of_a_restore_ends_none_at_once(self) -> None:
        """A peer's report about a restored store ends no evacuation at once either."""
        state = evacuated_state()
        sender = PeerAddress('a2', LOCAL_CENTRE, ('a2', 9))
        report = Evacuated(revision_of(_SECOND, 9), frozenset())
        reduce(state, HeartbeatHeard(Heartbeat(sender, 1, 1, {}, evacuated=report)), 2)
        self.assertFalse(accepts_flows(state, 2))
        reduce(state, Ticked(), 2 + RESTORE_CONFIRM_S)
        self.assertTrue(accepts_flows(state, 2 + RESTORE_CONFIRM_S))

    def test_an_evacuation_in_a_backup_is_in_force(self) -> None:
        """An evacuation in the backup is in force, as it may have been written just now."""
        state = known_state(1, 2)
        relist_evacuations(state, 2, LOCAL_CENTRE)
        self.assertFalse(accepts_flows(state, 2))

    def test_upstreams_listed_meanwhile_get_nothing(self) -> None:
        """An upstream that joins a data centre whose evacuation was lost gets no new flows."""
        state = evacuated_state()
        relist_evacuations(state, 2)
        revision = revision_of(_SECOND, 12)
        listed = entry(7, 'another', revision=revision)
        joined = ChangesRead(
            Collection.UPSTREAMS, [StoredObject(listed.name, revision, listed)], revision
        )
        state.follower_by_collection[Collection.UPSTREAMS].begin_listing(0)
        reduce(state, page_of_backup(1, 2), 2)
        reduce(state, joined, 2.1)
        self.assertFalse(state.directory.by_name[listed.name].accepts_flows(2.1))


def evacuated_state() -> RoutingState:
    """Return a state in which the local data centre is evacuated."""
    state = known_state(1, 2)
    revision = revision_of(_FIRST, 10)
    evacuation = StoredObject(LOCAL_CENTRE, revision, Evacuation())
    reduce(state, ChangesRead(Collection.EVACUATIONS, [evacuation], revision), 1.1)
    return state


def relist_evacuations(state: RoutingState, now: float, *centres: str) -> None:
    """Make a host list the evacuations of a backup."""
    state.follower_by_collection[Collection.EVACUATIONS].begin_listing(0)
    revision = revision_of(_SECOND, 9)
    objects = [StoredObject(centre, revision, Evacuation()) for centre in centres]
    reduce(state, PageRead(Collection.EVACUATIONS, objects, revision, more=False), now)


def accepts_flows(state: RoutingState, now: float) -> bool:
    """Whether an upstream of the local data centre takes new flows."""
    return state.directory.by_name[entry(1).name].accepts_flows(now)
