"""Keep answers of an upstream in a window that fades, and reckon the work of one from them."""

from bisect import bisect_left
from math import sqrt


#: Loads between none and all at which the requests in progress are reckoned once.  Source: between
#: two of them the line differs from the curve by less than a hundredth of a slot.
_LOAD_STEPS = 256

_in_progress_by_slots: dict[int, list[float]] = {}

#: Seconds that a window has seen when it starts: the first message tells of up to a second.
_INITIAL_SECONDS = 1.0

#: Answers in a window below which nothing is reckoned from it.
_MIN_ANSWERS = 1.0


class AnswerWindow:
    """Hold faded sums of answers: how many, their means, and the seconds that they took to come.

    `evidence` is how many equally weighted answers are as sure.
    """

    __slots__ = ('_half_life_s', '_squares', 'answers', 'means', 'seconds')

    def __init__(self, half_life_s: float) -> None:
        """Start with no answer; what is in it counts half after each half-life."""
        self._half_life_s = half_life_s
        self.answers: float = 0
        self.means: float = 0
        self.seconds = _INITIAL_SECONDS
        self._squares: float = 0

    @property
    def evidence(self) -> float:
        """Answers of equal weight that would be as sure."""
        if not self._squares:
            return 0
        return min(self.answers * self.answers / self._squares, 2 * self.answers)

    @property
    def has_enough_answers(self) -> bool:
        """Whether there is enough to reckon from."""
        return self.answers >= _MIN_ANSWERS and self.means > 0

    def add(self, answers: int, means: float) -> None:
        """Add answers with the sum of their times in means."""
        self.answers += answers
        self.means += means
        self._squares += answers

    def decay(self, elapsed_s: float) -> None:
        """Let some seconds pass."""
        factor = 0.5 ** (elapsed_s / self._half_life_s)
        self.answers *= factor
        self.means *= factor
        self.seconds = self.seconds * factor + elapsed_s
        self._squares *= factor * factor

    def replace_by(self, other: 'AnswerWindow') -> None:
        """Forget all but what is in another window."""
        self.answers = other.answers
        self.means = other.means
        self.seconds = other.seconds
        self._squares = other._squares  # noqa: SLF001 (of the same class)

    def busy(self, mean_s: float, slots: int) -> float:
        """Return how many slots were busy, by what was in progress."""
        return busy_slots(self.means * mean_s / self.seconds, slots)

    def work(self, mean_s: float, slots: int) -> float:
        """Return the means of work in all its answers, without the time in a queue."""
        in_progress = self.means * mean_s / self.seconds
        if in_progress <= 0:
            return self.means
        return self.means * busy_slots(in_progress, slots) / in_progress


def busy_slots(in_progress: float, slots: int) -> float:
    """Return how many slots are busy where so many requests are in progress in the mean.

    What goes wrong without it: equal upstreams get uneven work, requests queue at one of them, and
    it is taken for a slow one.  By Little's law the requests in progress are the answers a second
    times the answer time; with random arrivals `slots` at a load of r hold about
    slots * r + r ** sqrt(2 * (slots + 1)) / (1 - r) of them (Sakasegawa, 1977).
    """
    in_progress_by_load = _in_progress_by_slots.get(slots)
    if in_progress_by_load is None:
        in_progress_by_load = _in_progress_by_load(slots)
        _in_progress_by_slots[slots] = in_progress_by_load
    place = bisect_left(in_progress_by_load, in_progress)
    if place >= len(in_progress_by_load):
        return slots
    if not place:
        return 0
    below = in_progress_by_load[place - 1]
    load = place - 1 + (in_progress - below) / (in_progress_by_load[place] - below)
    return slots * load / _LOAD_STEPS


def _in_progress_by_load(slots: int) -> list[float]:
    """Return the requests in progress at each load from none up to the last below all."""
    power = sqrt(2 * (slots + 1))
    loads = [step / _LOAD_STEPS for step in range(_LOAD_STEPS)]
    return [slots * load + load**power / (1 - load) for load in loads]
