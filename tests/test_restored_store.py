"""Test what balancers go by when the store comes back from a copy that is seconds old."""

from unittest import TestCase

from bronzekeel.core.log_numbers import LogNumber
from bronzekeel.core.routing.effects import Effect, WriteLine
from bronzekeel.core.routing.events import ChangesRead, HistoryLost, PageRead, StoredObject
from bronzekeel.core.routing.follower import Collection
from bronzekeel.core.routing.model import RoutingText
from bronzekeel.core.routing.reducer import reduce
from tests.routing_cases import entry, ready_state, text


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
