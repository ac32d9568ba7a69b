"""Reckon each caller's share of a service that is short, at all hosts of the data centre.

Load pattern: callers ask for more than the upstreams can do, and one of them for many times
what the others do.  Shares are max-min: who asks for less than an equal part gets all of
it, and what is left is shared by the others alike.
"""

from math import sqrt

from bronzekeel.core.routing.caller_sketch import FADE_S, CallerSketch, distinct_of
from bronzekeel.core.routing.caller_words import MOST_TOLD, CallersWord, HeavyCaller


#: Leading bits of an address that make one caller: all of them.
USUAL_CALLER_BITS = 32

#: Seconds after the last request waited for which callers are counted.  Source: a burst that
#: comes in waves must not find callers whose use is forgotten.
COUNTING_S = 5.0

#: Deviations by which a caller may be above its share before its openings are refused, and
#: requests beside them.  Source: one that asks at random for its share is more than two
#: deviations, the root of the share each, above it once in forty times.
SLACK_DEVIATIONS = 2
SLACK_REQUESTS = 1

#: Part of its share up to which a caller goes before others, and faded requests that are never
#: too many.  Source: who asks at random for its share is seldom below half of it; who asks for
#: less must not wait behind one that takes all that is left.
LOW_PART = 0.5
LEAST_GIVEN = 1.0

NO_LEVEL = float('inf')

_ADDRESS_BYTES = 4
_ADDRESS_BITS = 32


def caller_of(flow: bytes, bits: int) -> int:
    """Return who sent the packets of a flow: the leading bits of the address."""
    address = int.from_bytes(flow[:_ADDRESS_BYTES], 'big')
    return address >> (_ADDRESS_BITS - bits) << (_ADDRESS_BITS - bits)


def max_min_level(demands: list[tuple[float, float]], room: float) -> float:
    """Return what a caller gets at most when `room` is shared max-min.

    `demands` are pairs of what a caller asks for and how many callers ask for as much.
    """
    left = room
    callers = sum(number for _, number in demands)
    for demand, number in sorted(demands):
        if demand * callers >= left:
            return left / callers
        left -= demand * number
        callers -= number
    return NO_LEVEL


class CallerShares:
    """Hold what callers of one pool asked for and were given, and the share of each.

    Requests are counted while it is `counting`: some wait here, or a neighbour says that they do
    there.  `level` is the most that a caller may be given by max-min shares, in faded requests;
    `above` callers were far above it when it was reckoned last.
    """

    __slots__ = (
        '_elsewhere_by_caller',
        '_short_until',
        '_sketch',
        'above',
        'bits',
        'counting',
        'level',
    )

    def __init__(self, bits: int = USUAL_CALLER_BITS) -> None:
        """Take the leading `bits` of an address for a caller."""
        self.bits = bits
        self.counting = False
        self.above = 0
        self.level = NO_LEVEL
        self._sketch = CallerSketch(0)
        self._short_until: float = 0
        self._elsewhere_by_caller: dict[int, float] = {}

    def note_short(self, now: float) -> None:
        """Note that a request has to wait."""
        if not self.counting:
            self._begin(now)
        self._short_until = now + COUNTING_S

    def note(self, flow: bytes, now: float, *, given: bool) -> None:
        """Count a request that was let through or refused."""
        if self.counting:
            self._sketch.note(caller_of(flow, self.bits), now, given=given)

    def caller_of(self, flow: bytes) -> int:
        """Return the caller that a flow belongs to."""
        return caller_of(flow, self.bits)

    def given_to(self, caller: int, now: float) -> float:
        """Return the requests of a caller that were let through at all hosts, faded."""
        elsewhere = self._elsewhere_by_caller.get(caller, 0)
        return self._sketch.given_to(caller, now) + elsewhere

    def place(self, caller: int, now: float) -> int:
        """Return the place of a caller among those that wait: zero for one far below its share.

        Equals in this are those up to half of the share, and those up to the share; above it
        each further request counts.
        """
        given = self.given_to(caller, now)
        if given <= max(self.level * LOW_PART, LEAST_GIVEN):
            return 0
        if given <= self.level:
            return 1
        return 2 + int(given - self.level)

    def refuses(self, caller: int, now: float) -> bool:
        """Whether a caller was given so much that its openings need not wait."""
        if self.level == NO_LEVEL:
            return False
        slack = SLACK_DEVIATIONS * sqrt(self.level) + SLACK_REQUESTS
        return self.given_to(caller, now) > self.level + slack

    def callers_above(self, now: float) -> list[int]:
        """Return the callers whose openings are refused, the heaviest first."""
        if self.level == NO_LEVEL:
            return []
        known = set(self._sketch.counts(now)).union(self._elsewhere_by_caller)
        beyond = [caller for caller in known if self.refuses(caller, now)]
        return sorted(beyond, key=lambda caller: -self.given_to(caller, now))

    def word(self, now: float) -> CallersWord | None:
        """Return what neighbours are to know, None while nothing is counted."""
        if not self.counting:
            return None
        counts = self._sketch.counts(now)
        heaviest = sorted(counts, key=lambda caller: -counts[caller][0])[:MOST_TOLD]
        return CallersWord(
            now < self._short_until,
            self._sketch.asked(now),
            self._sketch.given(now),
            self._sketch.seen,
            tuple(HeavyCaller(caller, *counts[caller]) for caller in heaviest),
        )

    def reckon(self, told: list[tuple[float, CallersWord]], now: float) -> None:
        """Reckon the level from own counts and what neighbours `told`.

        Each word comes with the part of it that has not faded.
        """
        if any(word.short for _, word in told) and not self.counting:
            self._begin(now)
        elif now >= self._short_until and not any(word.short for _, word in told):
            self.counting = False
        self._elsewhere_by_caller = {}
        self.level = NO_LEVEL
        self.above = 0
        if self.counting:
            self._reckon_level(told, now)
            self.above = len(self.callers_above(now))

    def _begin(self, now: float) -> None:
        self.counting = True
        self._sketch = CallerSketch(now)

    def _reckon_level(self, told: list[tuple[float, CallersWord]], now: float) -> None:
        """Share what was given: the heaviest one by one, all others as if they were equal."""
        asked_by_caller = {caller: asked for caller, (asked, _) in self._sketch.counts(now).items()}
        asked = self._sketch.asked(now)
        given = self._sketch.given(now)
        seen = self._sketch.seen
        for part, word in told:
            asked += word.asked * part
            given += word.given * part
            seen |= word.seen
            for heavy in word.heaviest:
                _add(asked_by_caller, heavy.caller, heavy.asked * part)
                _add(self._elsewhere_by_caller, heavy.caller, heavy.given * part)
        self.level = max_min_level(_demands(asked_by_caller, asked, distinct_of(seen)), given)


def _add(by_caller: dict[int, float], caller: int, requests: float) -> None:
    by_caller[caller] = by_caller.get(caller, 0) + requests


def _demands(
    asked_by_caller: dict[int, float],
    asked: float,
    callers: float,
) -> list[tuple[float, float]]:
    """Return the demands of the heaviest callers, and the mean one of all others."""
    heaviest = sorted(asked_by_caller.values(), reverse=True)[:MOST_TOLD]
    others = max(callers - len(heaviest), 1)
    rest = max(asked - sum(heaviest), 0)
    return [*((demand, 1.0) for demand in heaviest), (rest / others, others)]


def fading(age_s: float, interval_s: float) -> float:
    """Return the part that is left of a word; it is whole until the next one is due."""
    return max(0, 1 - max(0, age_s - interval_s) / FADE_S)
