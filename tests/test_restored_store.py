"""Test what balancers go by when the store comes back from a copy that is seconds old."""

from unittest import TestCase

from bronzekeel.core.log_numbers import LogNumber
from bronzekeel.core.routing.effects import Effect, WriteLine
from bronzekeel.core.routing.events import ChangesRead, HistoryLost, PageRead, StoredObject
from bronzekeel.core.routing.follower import Collection
from bronzekeel.core.routing.model import RoutingText
from bronzekeel.core.routing.reducer import reduce
from bronzekeel.core.store_waits import FIRST_WAIT_S
from bronzekeel.replay.routing_fleet import RoutingFleet
from bronzekeel.replay.routing_store import StoreCopy
from tests.routing_cases import entry, fleet_of, put_upstream, ready_state, text


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
            PageRead(Collection.UPSTREAMS, [], 40, more=False, incarnation=3),
            ChangesRead(Collection.TEXT, [], 40, incarnation=3),
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
        lambda revision: RoutingText(generation, revision, text(1).route_by_key, 15),
    )
    fleet.tell_watches()


def restore(fleet: RoutingFleet, copy: StoreCopy) -> None:
    """Let the store be away, come back from a copy, and get again what its owners wrote."""
    names = list(fleet.node_by_name)
    lost = fleet.store.copy()
    fleet.lose_store(names, 'refuses')
    fleet.run(_AWAY_S)
    fleet.store.restore(copy)
    fleet.lose_store(names, 'serves')
    fleet.run(_WRITTEN_AGAIN_S)
    fleet.store.write_again(lost)
    fleet.tell_watches()


def generations(fleet: RoutingFleet) -> set[int]:
    """Return the generations in force."""
    return {node.state.text.generation for node in fleet.running if node.state.text}


class RestoredTest(TestCase):
    """A store that lost what it had acknowledged last, on hosts that knew it."""

    def test_texts_accepted_after_a_restore_are_in_force(self) -> None:
        """Requests were handled by a text that had been replaced more than three seconds before.

        The store had been away for two seconds.  From then on hosts left out each new text.
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
        """A restored store shows an old text until the operators write theirs again."""
        fleet = fleet_of(3)
        put_generation(fleet, 5)
        copy = fleet.store.copy()
        put_generation(fleet, 8)
        fleet.run(1)
        fleet.store.restore(copy)
        for _ in range(50):
            fleet.run(0.1)
            self.assertEqual({8}, generations(fleet))
        put_generation(fleet, 9)
        fleet.run(_BOUND_S)
        self.assertEqual({9}, generations(fleet))

    def test_a_leaving_accepted_after_a_restore_is_known(self) -> None:
        """An upstream that left after the store's return got new flows for seconds more."""
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
        fleet.lose_store(names, 'refuses')
        fleet.run(1)
        fleet.store.restore(copy)
        put_upstream(fleet, 2)
        put_upstream(fleet, 3)
        for _ in range(6):
            put_upstream(fleet, 2)
        fleet.lose_store(names, 'serves')
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
        fleet.lose_store(near, 'silent')
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

        Every watch was told that its history is gone, and every list was followed by such a
        watch at once.
        """
        fleet = fleet_of(1, ('dc-a',))
        node = fleet.node_by_name['dc-a-1']
        copy = fleet.store.copy()
        for _ in range(9):
            put_upstream(fleet, 1)
        fleet.run(1)
        fleet.store.restore(copy)
        fleet.tell_watches()
        calls = node.calls
        fleet.run(_BOUND_S)
        self.assertLessEqual(node.calls - calls, _BOUND_S * len(Collection) / FIRST_WAIT_S)
