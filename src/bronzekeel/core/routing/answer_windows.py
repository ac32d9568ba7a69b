"""Accumulate answers in exponentially decaying windows and estimate the work per answer.

The work of an answer is its time without the time that the request spent in the queue.
"""

from bisect import bisect_left
from math import sqrt


#: Number of loads between 0 and 1 for which the requests in progress are computed in advance.
#: Linear interpolation between two of them is accurate to a hundredth of a slot.
_LOAD_STEPS = 256

_in_progress_by_slots: dict[int, list[float]] = {}

#: Seconds that a new window covers: the first report contains answers of up to a second.
_INITIAL_SECONDS = 1.0

#: Minimum weight of the answers in a window for an estimate.
_MIN_ANSWERS = 1.0


class AnswerWindow:
    """Hold exponentially decaying sums of answers of one upstream.

    `answers` is the number of answers, `means` the sum of their times in means of their kinds, and
    `seconds` the time during which they arrived.
    """

    __slots__ = ('_half_life_s', '_squares', 'answers', 'means', 'seconds')

    def __init__(self, half_life_s: float) -> None:
        """Start without answers; the weight of an answer halves in each half-life."""
        self._half_life_s = half_life_s
        self.answers: float = 0
        self.means: float = 0
        self.seconds = _INITIAL_SECONDS
        self._squares: float = 0

    @property
    def evidence(self) -> float:
        """Effective sample size: the number of equally weighted answers with the same accuracy."""
        if not self._squares:
            return 0
        return min(self.answers * self.answers / self._squares, 2 * self.answers)

    @property
    def has_enough_answers(self) -> bool:
        """Whether there are enough answers for an estimate."""
        return self.answers >= _MIN_ANSWERS and self.means > 0

    def add(self, answers: int, means: float) -> None:
        """Add a number of answers and the sum of their times in means."""
        self.answers += answers
        self.means += means
        self._squares += answers

    def decay(self, elapsed_s: float) -> None:
        """Decay the sums by the elapsed time."""
        factor = 0.5 ** (elapsed_s / self._half_life_s)
        self.answers *= factor
        self.means *= factor
        self.seconds = self.seconds * factor + elapsed_s
        self._squares *= factor * factor

    def replace_by(self, other: 'AnswerWindow') -> None:
        """Replace the contents of this window by those of another."""
        self.answers = other.answers
        self.means = other.means
        self.seconds = other.seconds
        self._squares = other._squares  # noqa: SLF001 (same class)

    def busy(self, mean_s: float, slots: int) -> float:
        """Return the mean number of busy slots, given the mean answer time `mean_s`."""
        return busy_slots(self.means * mean_s / self.seconds, slots)

    def work(self, mean_s: float, slots: int) -> float:
        """Return the total work of the answers in means, without the time in the queue."""
        in_progress = self.means * mean_s / self.seconds
        if in_progress <= 0:
            return self.means
        return self.means * busy_slots(in_progress, slots) / in_progress


def busy_slots(in_progress: float, slots: int) -> float:
    """Return the mean number of busy slots, given the mean number of requests in progress.

    Without this correction for queueing, an upstream that gets more requests than an equal one
    would be considered slow.  By Little's law the mean number of requests in progress is the rate
    of answers times the answer time.  With random arrivals, `slots` at a load of r have about
    slots * r + r ** sqrt(2 * (slots + 1)) / (1 - r) requests in progress (Sakasegawa, 1977).
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
    """Return the mean number of requests in progress at each load step below 1."""
    power = sqrt(2 * (slots + 1))
    loads = [step / _LOAD_STEPS for step in range(_LOAD_STEPS)]
    return [slots * load + load**power / (1 - load) for load in loads]
