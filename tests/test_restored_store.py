"""Test what balancers go by when the store comes back from a copy that is seconds old."""

from unittest import TestCase

from bronzekeel.core.log_numbers import LogNumber
from bronzekeel.core.routing.closed_centres import COPY_DOUBTED_S
from bronzekeel.core.routing.directory import RETURN_GRACE_S
from bronzekeel.core.routing.effects import Effect, ReadPage, WatchChanges, WriteLine
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
from bronzekeel.core.routing.messages import Evacuated, Heartbeat, Known, PeerAddress
from bronzekeel.core.routing.model import RoutingText, UpstreamEntry
from bronzekeel.core.routing.reducer import reduce
from bronzekeel.core.routing.revisions import revision_of
from bronzekeel.core.routing.sharing import view_since
from bronzekeel.core.routing.state import RoutingState
from bronzekeel.core.store_waits import FIRST_WAIT_S
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


class ToldTest(TestCase):
    """Say in the log what the store's answers show."""

    def test_another_incarnation_is_told_once(self) -> None:
        """Each answer says which incarnation gives it; the first of another one has a line."""
        state = ready_state(entry(1))
        answers = (
            HistoryLost(Collection.UPSTREAMS, 3),
            PageRead(Collection.UPSTREAMS, [], revision_of(3, 40), more=False),
            ChangesRead(Collection.TEXT, [], revision_of(3, 40)),
        )
        told = []
        for answer in answers:
            told.extend(lines_of(reduce(state, answer, 1), LogNumber.STORE_RESTORED))
        self.assertEqual(1, len(told))
        self.assertEqual(
            (3, 0), (told[0].fields['incarnation'], told[0].fields['former_incarnation'])
        )

    def test_a_text_left_out_at_a_known_revision_is_told(self) -> None:
        """A text that is not put in force has a line also if its revision is not older."""
        state = ready_state(entry(1))
        reduce(state, ChangesRead(Collection.TEXT, [StoredObject('main', 50, text(50))], 50), 1)
        other = RoutingText(49, 50, {}, 15)
        told = reduce(state, ChangesRead(Collection.TEXT, [StoredObject('main', 50, other)], 50), 2)
        lines = lines_of(told, LogNumber.TEXT_OLDER)
        self.assertEqual([(49, 50)], [_generations(line) for line in lines])
        self.assertEqual(1, state.store_record.texts_refused)


def _generations(line: WriteLine) -> tuple[object, object]:
    """Return the generation that was left out and the one in force."""
    return line.fields['generation'], line.fields['in_force_generation']


#: Seconds after which an accepted text, and the leaving of an upstream, must be known.  Source:
#: the shortest bound that the users state.
_BOUND_S = 3.0

#: Seconds for which the store is away, and for which its owners take to write again.
_AWAY_S = 2.5
_WRITTEN_AGAIN_S = 0.2


def put_generation(fleet: RoutingFleet, generation: int) -> None:
    """Write the operators' text under a number of theirs."""
    fleet.store.put(
        Collection.TEXT,
        'main',
        lambda revision: text(revision, generation=generation),
    )
    fleet.notify_watches()


def restore(fleet: RoutingFleet, copy: StoreCopy) -> None:
    """Let the store be away, come back from a copy, and get again what its owners wrote."""
    names = list(fleet.node_by_name)
    lost = fleet.store.copy()
    fleet.fail_store(names, 'refuses')
    fleet.run(_AWAY_S)
    fleet.store.restore(copy)
    fleet.fail_store(names, 'serves')
    fleet.run(_WRITTEN_AGAIN_S)
    fleet.store.rewrite_lost(lost)
    fleet.notify_watches()


def generations(fleet: RoutingFleet) -> set[int]:
    """Return the generations in force."""
    return {node.state.text.generation for node in fleet.running if node.state.text}


class RestoredTest(TestCase):
    """A store that lost what it had acknowledged last, on hosts that knew it."""

    def test_texts_accepted_after_a_restore_are_in_force(self) -> None:
        """Requests were handled by a text that had been replaced more than three seconds before.

        The store had been away for two seconds and had come back from a copy, so its revisions
        began again below those that hosts knew.  They ordered texts by revision alone: the next
        two counted as older, and the third, whose revision was that of the text in force, as the
        same.  What settled it: text_older, generation 17, revision 14, in_force 18, of a
        generation that had been revision 18 before; then generation 20, revision 16, and
        generation 22, revision 17; of generation 26 there was no line.
        """
        fleet = fleet_of(3)
        put_generation(fleet, 5)
        copy = fleet.store.copy()
        for generation in (8, 11, 13, 15, 17):
            put_generation(fleet, generation)
            fleet.run(2)
        restore(fleet, copy)
        fleet.run(_BOUND_S)
        for generation in (20, 22, 26, 29, 32, 36):
            put_generation(fleet, generation)
            fleet.run(_BOUND_S)
            self.assertEqual({generation}, generations(fleet))

    def test_no_text_is_taken_back_by_a_restore(self) -> None:
        """A restored store shows an old text until the operators write theirs again.

        It is the newest word of the store, and older by the operators' own number.
        """
        fleet = fleet_of(3)
        put_generation(fleet, 5)
        copy = fleet.store.copy()
        put_generation(fleet, 8)
        fleet.run(1)
        names = list(fleet.node_by_name)
        fleet.fail_store(names, 'refuses')
        fleet.run(1)
        fleet.store.restore(copy)
        fleet.fail_store(names, 'serves')
        for _ in range(50):
            fleet.run(0.1)
            self.assertEqual({8}, generations(fleet))
        put_generation(fleet, 9)
        fleet.run(_BOUND_S)
        self.assertEqual({9}, generations(fleet))

    def test_a_leaving_accepted_after_a_restore_is_known(self) -> None:
        """An upstream that left after the store's return got new flows for seconds more.

        Its entry had a larger revision before the restore than its leaving after it.
        """
        fleet = fleet_of(3, ('dc-a',))
        put_upstream(fleet, 2)
        fleet.run(1)
        copy = fleet.store.copy()
        for _ in range(4):
            put_upstream(fleet, 2)
        fleet.run(1)
        restore(fleet, copy)
        fleet.run(_BOUND_S)
        put_upstream(fleet, 2, draining=True)
        fleet.run(_BOUND_S)
        for node in fleet.running:
            self.assertTrue(node.state.directory.by_name[entry(2).name].entry.draining)

    def test_changes_under_numbers_given_out_again_are_known(self) -> None:
        """Hosts cut off through a restore never learned of an upstream that joined meanwhile.

        When they reached the store again it had come back from a copy and its revisions had passed
        theirs, so their watches went on from a number that meant something else.
        """
        fleet = fleet_of(3, ('dc-a',))
        copy = fleet.store.copy()
        for _ in range(4):
            put_upstream(fleet, 2)
        fleet.run(1)
        names = list(fleet.node_by_name)
        fleet.fail_store(names, 'refuses')
        fleet.run(1)
        fleet.store.restore(copy)
        put_upstream(fleet, 2)
        put_upstream(fleet, 3)
        for _ in range(6):
            put_upstream(fleet, 2)
        fleet.fail_store(names, 'serves')
        fleet.run(_BOUND_S)
        for node in fleet.running:
            self.assertIn(entry(3).name, node.state.directory.by_name)

    def test_data_centres_that_saw_different_incarnations_agree(self) -> None:
        """A data centre that is cut off from the store learns from others what is new."""
        fleet = fleet_of(3)
        copy = fleet.store.copy()
        for generation in (20, 21, 22, 23):
            put_generation(fleet, generation)
        fleet.run(1)
        near = [name for name in fleet.node_by_name if name.startswith('dc-a')]
        fleet.fail_store(near, 'silent')
        fleet.store.restore(copy)
        put_generation(fleet, 24)
        put_upstream(fleet, 3)
        fleet.run(_BOUND_S)
        self.assertEqual({24}, generations(fleet))
        for node in fleet.running:
            self.assertIn(entry(3).name, node.state.directory.by_name)


class CallsTest(TestCase):
    """What a restored store is asked."""

    def test_a_lost_history_is_not_asked_for_without_a_pause(self) -> None:
        """Each host made a hundred calls a second until the store's revisions had passed its own.

        Every watch was told that its history is gone, since it began at a revision that the
        restored store did not have; the list that followed told a smaller one, which was left
        out, and the next watch began where the last had.
        """
        fleet = fleet_of(1, ('dc-a',))
        node = fleet.node_by_name['dc-a-1']
        copy = fleet.store.copy()
        for _ in range(9):
            put_upstream(fleet, 1)
        fleet.run(1)
        fleet.store.restore(copy)
        fleet.notify_watches()
        calls = node.calls
        fleet.run(_BOUND_S)
        self.assertLessEqual(node.calls - calls, _BOUND_S * len(Collection) / FIRST_WAIT_S)


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


def page_of_copy(*numbers: int, more: bool = False) -> PageRead:
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
        """An upstream that joined after the copy was made writes its entry again."""
        state = known_state(1, 2)
        state.follower_by_collection[Collection.UPSTREAMS].begin_listing()
        reduce(state, page_of_copy(1), 2)
        joined = state.directory.by_name[entry(2).name]
        self.assertFalse(joined.listed)
        self.assertFalse(joined.is_gone(2 + RETURN_GRACE_S / 2))
        self.assertTrue(joined.is_gone(2 + RETURN_GRACE_S))

    def test_a_watch_of_a_former_incarnation_tells_nothing(self) -> None:
        """The store answers a watch by its number, which means something else since the restore."""
        state = known_state(1, 2)
        other = StoredObject(entry(3).name, revision_of(_SECOND, 9), entry(3, revision=9))
        effects = reduce(state, changes(Collection.UPSTREAMS, _SECOND, other), 2)
        self.assertEqual([''], [effect.after for effect in effects if isinstance(effect, ReadPage)])
        self.assertFalse(state.is_direct(2))

    def test_one_answer_of_a_restored_store_renews_all_watches(self) -> None:
        """A watch that began before a restore waits for a number that is yet to be given out."""
        state = known_state(1, 2)
        reduce(state, changes(Collection.TEXT, _SECOND), 2)
        renewed = [
            effect.collection
            for effect in reduce(state, Ticked(), 2.1)
            if isinstance(effect, WatchChanges)
        ]
        self.assertEqual({Collection.UPSTREAMS, Collection.EVACUATIONS}, set(renewed))

    def test_watches_that_waited_through_a_pause_are_renewed(self) -> None:
        """A host that stood still through the restore was deaf for as long as a watch waits.

        After the pause nothing counted as current, and only current watches were made anew.
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
        """A copy of the store that is behind answers a host that knows of the restore."""
        state = known_state(1, 2)
        state.follower_by_collection[Collection.TEXT].begin_listing()
        restored = page(Collection.TEXT, text(revision_of(_SECOND, 2), generation=5))
        reduce(state, restored, 2)
        left = StoredObject(entry(2).name, revision_of(_FIRST, 9), None)
        effects = reduce(state, changes(Collection.UPSTREAMS, _FIRST, left), 2.1)
        self.assertTrue(state.directory.by_name[entry(2).name].listed)
        self.assertFalse([item for item in effects if isinstance(item, WatchChanges | ReadPage)])
        self.assertTrue(state.is_lost)

    def test_a_listing_that_a_restore_broke_begins_anew(self) -> None:
        """The first page is of the store before its restore, the second of the one after it."""
        state = known_state(1, 2)
        state.follower_by_collection[Collection.UPSTREAMS].begin_listing()
        first = entry(1, revision=revision_of(_FIRST, 1))
        before = StoredObject(first.name, first.revision, first)
        pages = PageRead(Collection.UPSTREAMS, [before], revision_of(_FIRST, 9), more=True)
        reduce(state, pages, 2)
        effects = reduce(state, page_of_copy(2), 2.1)
        self.assertEqual([''], [effect.after for effect in effects if isinstance(effect, ReadPage)])
        self.assertTrue(state.directory.by_name[entry(1).name].listed)


class ViewTest(TestCase):
    """What hosts tell each other of a restored store."""

    def test_a_view_of_a_restored_store_is_whole(self) -> None:
        """A host at a former incarnation has to hear what the store lost, which has no revision.

        The peer that tells it started after the restore and never knew of it.
        """
        teller = fresh_state('b1')
        reduce(teller, page(Collection.TEXT, text(revision_of(_SECOND, 3))), 0)
        reduce(teller, page_of_copy(1, 4), 0)
        asker = known_state(1, 2)
        known = Known(asker.text_order, asker.directory.newest_revision, 0)
        reduce(asker, ViewFetched(('b1', 9), view_since(teller, known, 1)), 1)
        listed = {name for name, upstream in asker.directory.by_name.items() if upstream.listed}
        self.assertEqual({entry(1).name, entry(4).name}, listed)
        self.assertFalse(asker.directory.by_name[entry(2).name].is_gone(1 + RETURN_GRACE_S / 2))

    def test_what_is_still_listed_is_not_taken_for_lost(self) -> None:
        """An entry that the teller goes by from before the restore is told with the others."""
        teller = known_state(1, 2)
        teller.directory.account_for(revision_of(_SECOND, 9))
        asker = known_state(1, 2)
        known = Known(asker.text_order, asker.directory.newest_revision, 0)
        reduce(asker, ViewFetched(('b1', 9), view_since(teller, known, 1)), 1)
        self.assertEqual(2, asker.directory.listed_count)


class LeavingTest(TestCase):
    """Upstreams that announced their leaving before a restore, and are ready in the copy."""

    def test_a_copy_does_not_take_a_leaving_back(self) -> None:
        """An upstream that had announced its leaving got new flows again after a restore.

        The copy was made before the announcement.  Upstreams write again about once a second, so
        the copy's word is not believed before it has stood for longer.
        """
        state = leaving_state()
        relist(state, 2)
        self.assertFalse(state.directory.by_name[entry(2).name].takes_flows(2))
        for tick in range(1, 10 * int(COPY_DOUBTED_S)):
            reduce(state, Ticked(), 2 + tick / 10)
        self.assertFalse(state.directory.by_name[entry(2).name].takes_flows(2 + COPY_DOUBTED_S / 2))

    def test_what_a_copy_says_for_long_is_believed(self) -> None:
        """The upstream goes on after all: its entry stands as the copy has it."""
        state = leaving_state()
        relist(state, 2)
        reduce(state, Ticked(), 2 + COPY_DOUBTED_S)
        self.assertTrue(state.directory.by_name[entry(2).name].takes_flows(2 + COPY_DOUBTED_S))

    def test_what_is_written_since_is_believed_at_once(self) -> None:
        """The upstream writes that it is ready after the restore."""
        state = leaving_state()
        relist(state, 2)
        told = revision_of(_SECOND, 12)
        ready = StoredObject(entry(2).name, told, entry(2, revision=told))
        reduce(state, ChangesRead(Collection.UPSTREAMS, [ready], told), 2.5)
        self.assertTrue(state.directory.by_name[entry(2).name].takes_flows(2.5))

    def test_a_second_copy_takes_no_leaving_back_either(self) -> None:
        """The store came back twice within seconds, both times from before the leaving."""
        state = leaving_state()
        relist(state, 2)
        told = revision_of(_SECOND + 1, 2)
        ready = entry(2, revision=told)
        state.follower_by_collection[Collection.UPSTREAMS].begin_listing()
        reduce(state, page(Collection.UPSTREAMS, ready), 3)
        self.assertFalse(state.directory.by_name[entry(2).name].takes_flows(3))
        reduce(state, Ticked(), 2.1 + COPY_DOUBTED_S)
        leaving = state.directory.by_name[entry(2).name]
        self.assertFalse(leaving.takes_flows(2.1 + COPY_DOUBTED_S))

    def test_a_former_start_in_a_copy_is_believed_late(self) -> None:
        """All that was known of an upstream's newest start was dropped for that of a dead one.

        The copy had the entry of its former start, and stood for longer than late writes do: the
        entry of a process that is gone lapses after 3.6 s.
        """
        state = known_state(1)
        told = revision_of(_FIRST, 10)
        newest = started_entry(7, told, 2000)
        stored = StoredObject(newest.name, told, newest)
        reduce(state, changes(Collection.UPSTREAMS, _FIRST, stored), 1.1)
        state.follower_by_collection[Collection.UPSTREAMS].begin_listing()
        former = started_entry(7, revision_of(_SECOND, 5), 1000)
        reduce(state, page(Collection.UPSTREAMS, entry(1, revision=former.revision), former), 2)
        for wait_s, start_ms in ((COPY_DOUBTED_S - 0.5, 2000), (COPY_DOUBTED_S, 1000)):
            reduce(state, Ticked(), 2 + wait_s)
            known = state.directory.by_name[newest.name].entry
            self.assertEqual(start_ms, known.started_ms)

    def test_one_that_left_does_not_come_back_by_a_copy(self) -> None:
        """The copy was made before an upstream left; its address may be another service's now."""
        state = leaving_state()
        removed = StoredObject(entry(2).name, revision_of(_FIRST, 11), None)
        reduce(state, ChangesRead(Collection.UPSTREAMS, [removed], removed.revision), 1.5)
        relist(state, 2)
        self.assertFalse(state.directory.by_name[entry(2).name].listed)

    def test_one_that_lapsed_comes_back_at_once(self) -> None:
        """An entry that lapsed in the outage before the restore is used as the copy has it."""
        state = known_state(1, 2)
        reduce(state, changes(Collection.UPSTREAMS, _FIRST), 1.2)
        removed = StoredObject(entry(2).name, revision_of(_FIRST, 11), None)
        reduce(state, ChangesRead(Collection.UPSTREAMS, [removed], removed.revision), 1.5)
        relist(state, 2)
        self.assertTrue(state.directory.by_name[entry(2).name].takes_flows(2))

    def test_peers_hear_of_what_is_not_believed_yet(self) -> None:
        """A host that hears the copy's word from a peer believes it no sooner."""
        teller = leaving_state()
        relist(teller, 2)
        asker = leaving_state()
        known = Known(asker.text_order, asker.directory.newest_revision, 0)
        reduce(asker, ViewFetched(('b1', 9), view_since(teller, known, 2)), 2)
        leaving = asker.directory.by_name[entry(2).name]
        self.assertTrue(leaving.listed)
        self.assertFalse(leaving.takes_flows(2))
        reduce(asker, Ticked(), 2 + COPY_DOUBTED_S)
        self.assertTrue(leaving.takes_flows(2 + COPY_DOUBTED_S))


def started_entry(number: int, revision: int, started_ms: int) -> UpstreamEntry:
    """Return the entry of one start of an upstream."""
    told = entry(number, revision=revision)
    told.started_ms = started_ms
    return told


def leaving_state() -> RoutingState:
    """Return a state that knows two upstreams, of which the second is leaving."""
    state = known_state(1, 2)
    told = revision_of(_FIRST, 10)
    leaving = StoredObject(entry(2).name, told, entry(2, revision=told, draining=True))
    reduce(state, ChangesRead(Collection.UPSTREAMS, [leaving], told), 1.1)
    return state


def relist(state: RoutingState, now: float) -> None:
    """Let a host list the copy, in which both upstreams are ready."""
    state.follower_by_collection[Collection.UPSTREAMS].begin_listing()
    reduce(state, page_of_copy(1, 2), now)


class EvacuationTest(TestCase):
    """Evacuations that a restored store has lost, or has again."""

    def test_an_evacuation_that_a_restore_lost_stands(self) -> None:
        """A data centre that people work on got new flows after the store's restore.

        The copy was made before the operators evacuated it; they write that again in a moment.
        """
        state = evacuated_state()
        relist_evacuations(state, 2)
        self.assertFalse(takes_flows(state, 2))
        reduce(state, Ticked(), 2 + COPY_DOUBTED_S / 2)
        self.assertFalse(takes_flows(state, 2 + COPY_DOUBTED_S / 2))

    def test_one_that_is_not_written_again_ends(self) -> None:
        """The operators had taken it back meanwhile, which a restored store has no word of."""
        state = evacuated_state()
        relist_evacuations(state, 2)
        told = reduce(state, Ticked(), 2 + COPY_DOUBTED_S)
        self.assertTrue(takes_flows(state, 2 + COPY_DOUBTED_S))
        self.assertEqual(1, len(lines_of(told, LogNumber.TAKEN_BACK)))

    def test_one_that_is_written_again_stands_on(self) -> None:
        """From then on the store's word holds, also when it is taken back."""
        state = evacuated_state()
        relist_evacuations(state, 2)
        told = revision_of(_SECOND, 10)
        written = StoredObject(LOCAL_CENTRE, told, Evacuation())
        effects = reduce(state, ChangesRead(Collection.EVACUATIONS, [written], told), 2.5)
        self.assertEqual([], lines_of(effects, LogNumber.EVACUATED))
        reduce(state, Ticked(), 2 + COPY_DOUBTED_S)
        self.assertFalse(takes_flows(state, 2 + COPY_DOUBTED_S))
        ended = revision_of(_SECOND, 11)
        removed = StoredObject(LOCAL_CENTRE, ended, None)
        reduce(state, ChangesRead(Collection.EVACUATIONS, [removed], ended), 2.6 + COPY_DOUBTED_S)
        self.assertTrue(takes_flows(state, 2.6 + COPY_DOUBTED_S))

    def test_one_that_is_written_again_and_taken_back_ends(self) -> None:
        """The operators' word is obeyed at once, also soon after a restore."""
        state = evacuated_state()
        relist_evacuations(state, 2)
        for number, content in ((10, Evacuation()), (11, None)):
            told = revision_of(_SECOND, number)
            stored = StoredObject(LOCAL_CENTRE, told, content)
            reduce(state, ChangesRead(Collection.EVACUATIONS, [stored], told), 2.5)
        self.assertTrue(takes_flows(state, 2.5))

    def test_peers_word_of_a_restored_store_ends_none_at_once(self) -> None:
        """A host that does not watch hears from a peer what the copy has."""
        state = evacuated_state()
        sender = PeerAddress('a2', LOCAL_CENTRE, ('a2', 9))
        word = Evacuated(revision_of(_SECOND, 9), frozenset())
        reduce(state, HeartbeatHeard(Heartbeat(sender, 1, 1, {}, evacuated=word)), 2)
        self.assertFalse(takes_flows(state, 2))
        reduce(state, Ticked(), 2 + COPY_DOUBTED_S)
        self.assertTrue(takes_flows(state, 2 + COPY_DOUBTED_S))

    def test_one_that_the_copy_has_is_obeyed(self) -> None:
        """Nobody can tell an evacuation of the copy from one written just now."""
        state = known_state(1, 2)
        relist_evacuations(state, 2, LOCAL_CENTRE)
        self.assertFalse(takes_flows(state, 2))

    def test_upstreams_listed_meanwhile_get_nothing(self) -> None:
        """An upstream joins a data centre whose evacuation the restore lost."""
        state = evacuated_state()
        relist_evacuations(state, 2)
        told = revision_of(_SECOND, 12)
        listed = entry(7, 'another', revision=told)
        joined = ChangesRead(Collection.UPSTREAMS, [StoredObject(listed.name, told, listed)], told)
        state.follower_by_collection[Collection.UPSTREAMS].begin_listing()
        reduce(state, page_of_copy(1, 2), 2)
        reduce(state, joined, 2.1)
        self.assertFalse(state.directory.by_name[listed.name].takes_flows(2.1))


def evacuated_state() -> RoutingState:
    """Return a state that knows the own data centre to be evacuated."""
    state = known_state(1, 2)
    told = revision_of(_FIRST, 10)
    evacuation = StoredObject(LOCAL_CENTRE, told, Evacuation())
    reduce(state, ChangesRead(Collection.EVACUATIONS, [evacuation], told), 1.1)
    return state


def relist_evacuations(state: RoutingState, now: float, *centres: str) -> None:
    """Let a host list the evacuations of a copy."""
    state.follower_by_collection[Collection.EVACUATIONS].begin_listing()
    told = revision_of(_SECOND, 9)
    objects = [StoredObject(centre, told, Evacuation()) for centre in centres]
    reduce(state, PageRead(Collection.EVACUATIONS, objects, told, more=False), now)


def takes_flows(state: RoutingState, now: float) -> bool:
    """Whether an upstream of the own data centre takes new flows."""
    return state.directory.by_name[entry(1).name].takes_flows(now)
