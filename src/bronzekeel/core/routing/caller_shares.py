"""Reckon each caller's share of a service that is short, at all hosts of the data centre.

Load pattern: callers ask for more than the upstreams can do, and one of them for many times
what the others do.  Shares are max-min: who asks for less than an equal part gets all of
it, and what is left is shared by the others alike.
"""

from math import sqrt

from bronzekeel.core.routing.caller_reports import MAX_REPORTED_CALLERS, CallersReport, HeavyCaller
from bronzekeel.core.routing.caller_sketch import DECAY_S, CallerSketch, estimate_distinct


#: Leading bits of an address that make one caller: all of them.
DEFAULT_CALLER_BITS = 32

#: Seconds after the last request waited for which callers are counted.  Source: a burst that
#: comes in waves must not find callers whose use is forgotten.
COUNTING_PERIOD_S = 5.0

#: Deviations by which a caller may be above its share before its openings are refused, and
#: requests beside them.  Source: one that asks at random for its share is more than two
#: deviations, the root of the share each, above it once in forty times.
SLACK_DEVIATIONS = 2
SLACK_REQUESTS = 1

#: Part of its share up to which a caller goes before others, and faded requests that are never
#: too many.  Source: who asks at random for its share is seldom below half of it; who asks for
#: less must not wait behind one that takes all that is left.
LOW_USE_FRACTION = 0.5
MIN_ADMITTED = 1.0

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
    """Hold what callers of one pool demand for and were admitted, and the share of each.

    Requests are counted while it is `counting`: some wait here, or a neighbour says that they do
    there.  `level` is the most that a caller may be admitted by max-min shares, in faded requests;
    `above_share` callers were far above it when it was reckoned last.
    """

    __slots__ = (
        '_admitted_at_peers_by_caller',
        '_shortage_until',
        '_sketch',
        'above_share',
        'bits',
        'counting',
        'level',
    )

    def __init__(self, bits: int = DEFAULT_CALLER_BITS) -> None:
        """Take the leading `bits` of an address for a caller."""
        self.bits = bits
        self.counting = False
        self.above_share = 0
        self.level = NO_LEVEL
        self._sketch = CallerSketch(0)
        self._shortage_until: float = 0
        self._admitted_at_peers_by_caller: dict[int, float] = {}

    def note_shortage(self, now: float) -> None:
        """Note that a request has to wait."""
        if not self.counting:
            self._begin(now)
        self._shortage_until = now + COUNTING_PERIOD_S

    def note(self, flow: bytes, now: float, *, admitted: bool) -> None:
        """Count a request that was let through or refused."""
        if self.counting:
            self._sketch.note(caller_of(flow, self.bits), now, admitted=admitted)

    def caller_of(self, flow: bytes) -> int:
        """Return the caller that a flow belongs to."""
        return caller_of(flow, self.bits)

    def admitted_for(self, caller: int, now: float) -> float:
        """Return the requests of a caller that were let through at all hosts, faded."""
        elsewhere = self._admitted_at_peers_by_caller.get(caller, 0)
        return self._sketch.admitted_for(caller, now) + elsewhere

    def priority_class(self, caller: int, now: float) -> int:
        """Return the place of a caller among those that wait: zero for one far below its share.

        Equals in this are those up to half of the share, and those up to the share; above it
        each further request counts.
        """
        admitted = self.admitted_for(caller, now)
        if admitted <= max(self.level * LOW_USE_FRACTION, MIN_ADMITTED):
            return 0
        if admitted <= self.level:
            return 1
        return 2 + int(admitted - self.level)

    def refuses(self, caller: int, now: float) -> bool:
        """Whether a caller was admitted so much that its openings need not wait."""
        if self.level == NO_LEVEL:
            return False
        slack = SLACK_DEVIATIONS * sqrt(self.level) + SLACK_REQUESTS
        return self.admitted_for(caller, now) > self.level + slack

    def throttled_callers(self, now: float) -> list[int]:
        """Return the callers whose openings are refused, the heaviest first."""
        if self.level == NO_LEVEL:
            return []
        known = set(self._sketch.counts(now)).union(self._admitted_at_peers_by_caller)
        beyond = [caller for caller in known if self.refuses(caller, now)]
        return sorted(beyond, key=lambda caller: -self.admitted_for(caller, now))

    def report(self, now: float) -> CallersReport | None:
        """Return what neighbours are to know, None while nothing is counted."""
        if not self.counting:
            return None
        counts = self._sketch.counts(now)
        heaviest = sorted(counts, key=lambda caller: -counts[caller][0])[:MAX_REPORTED_CALLERS]
        return CallersReport(
            now < self._shortage_until,
            self._sketch.demand(now),
            self._sketch.admitted(now),
            self._sketch.seen,
            tuple(HeavyCaller(caller, *counts[caller]) for caller in heaviest),
        )

    def update_level(self, reports: list[tuple[float, CallersReport]], now: float) -> None:
        """Reckon the level from own counts and what neighbours `reports`.

        Each report comes with the part of it that has not faded.
        """
        if any(report.short for _, report in reports) and not self.counting:
            self._begin(now)
        elif now >= self._shortage_until and not any(report.short for _, report in reports):
            self.counting = False
        self._admitted_at_peers_by_caller = {}
        self.level = NO_LEVEL
        self.above_share = 0
        if self.counting:
            self._compute_level(reports, now)
            self.above_share = len(self.throttled_callers(now))

    def _begin(self, now: float) -> None:
        self.counting = True
        self._sketch = CallerSketch(now)

    def _compute_level(self, reports: list[tuple[float, CallersReport]], now: float) -> None:
        """Share what was admitted: the heaviest one by one, all others as if they were equal."""
        demand_by_caller = {
            caller: demand for caller, (demand, _) in self._sketch.counts(now).items()
        }
        demand = self._sketch.demand(now)
        admitted = self._sketch.admitted(now)
        seen = self._sketch.seen
        for part, report in reports:
            demand += report.asked * part
            admitted += report.given * part
            seen |= report.seen
            for heavy in report.heaviest:
                _add(demand_by_caller, heavy.caller, heavy.asked * part)
                _add(self._admitted_at_peers_by_caller, heavy.caller, heavy.given * part)
        self.level = max_min_level(
            _demand_groups(demand_by_caller, demand, estimate_distinct(seen)), admitted
        )


def _add(by_caller: dict[int, float], caller: int, requests: float) -> None:
    by_caller[caller] = by_caller.get(caller, 0) + requests


def _demand_groups(
    demand_by_caller: dict[int, float],
    all_demand: float,
    callers: float,
) -> list[tuple[float, float]]:
    """Return the demands of the heaviest callers, and the mean one of all others."""
    heaviest = sorted(demand_by_caller.values(), reverse=True)[:MAX_REPORTED_CALLERS]
    others = max(callers - len(heaviest), 1)
    rest = max(all_demand - sum(heaviest), 0)
    return [*((demand, 1.0) for demand in heaviest), (rest / others, others)]


def decay_factor(age_s: float, interval_s: float) -> float:
    """Return the part that is left of a report; it is whole until the next one is due."""
    return max(0, 1 - max(0, age_s - interval_s) / DECAY_S)
