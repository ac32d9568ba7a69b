"""Compute each caller's share of an overloaded service across all hosts of the data centre.

Load pattern: callers demand more than the upstreams can serve, and one of them many times as much
as the others. Shares are max-min fair: a caller that demands less than an equal share gets all that
it demands, and the rest is divided equally among the others.
"""

from math import sqrt

from bronzekeel.core.routing.caller_reports import MAX_REPORTED_CALLERS, CallersReport, HeavyCaller
from bronzekeel.core.routing.caller_sketch import DECAY_S, CallerSketch, estimate_distinct


#: Leading bits of an address that identify a caller: all of them.
DEFAULT_CALLER_BITS = 32

#: Seconds after the last request waited for which callers are still counted, so that the counts
#: survive the gaps of a burst that comes in waves.
COUNTING_PERIOD_S = 5.0

#: Slack above its share before a caller's openings are refused: standard deviations, and requests
#: on top of them. A caller whose random demand averages its share exceeds it by more than two
#: deviations (the square root of the share each) once in forty times.
SLACK_DEVIATIONS = 2
SLACK_REQUESTS = 1

#: Fraction of its share up to which a caller goes before others, and the decayed requests that
#: always count as low use. A caller whose random demand averages its share is seldom below half of
#: it; a caller that demands less must not wait behind one that takes all that is left.
LOW_USE_FRACTION = 0.5
MIN_ADMITTED = 1.0

NO_LEVEL = float('inf')

_ADDRESS_BYTES = 4
_ADDRESS_BITS = 32


def caller_of(flow: bytes, bits: int) -> int:
    """Return the caller of a flow: the leading `bits` of the source address."""
    address = int.from_bytes(flow[:_ADDRESS_BYTES], 'big')
    return address >> (_ADDRESS_BITS - bits) << (_ADDRESS_BITS - bits)


def max_min_level(demands: list[tuple[float, float]], capacity: float) -> float:
    """Return the most that one caller gets when `capacity` is shared max-min.

    `demands` are pairs of the demand of one caller and the number of callers with that demand.
    Returns ``NO_LEVEL`` if the capacity covers all demands.
    """
    left = capacity
    callers = sum(number for _, number in demands)
    for demand, number in sorted(demands):
        if demand * callers >= left:
            return left / callers
        left -= demand * number
        callers -= number
    return NO_LEVEL


class CallerShares:
    """Track the demand and the admitted requests of the callers of one pool, and their shares.

    Requests are counted only while `counting` is set: while some wait here or a neighbour reports
    that they wait there. `level` is the max-min share in decayed requests: the most that one caller
    may be admitted. `above_share` is the number of callers that were throttled at the last update.
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
        """Identify callers by the leading `bits` of their addresses."""
        self.bits = bits
        self.counting = False
        self.above_share = 0
        self.level = NO_LEVEL
        self._sketch = CallerSketch(0)
        self._shortage_until: float = 0
        self._admitted_at_peers_by_caller: dict[int, float] = {}

    def note_shortage(self, now: float) -> None:
        """Record that a request has to wait."""
        if not self.counting:
            self._begin(now)
        self._shortage_until = now + COUNTING_PERIOD_S

    def note(self, flow: bytes, now: float, *, admitted: bool) -> None:
        """Count a request that was admitted or refused."""
        if self.counting:
            self._sketch.note(caller_of(flow, self.bits), now, admitted=admitted)

    def caller_of(self, flow: bytes) -> int:
        """Return the caller that a flow belongs to."""
        return caller_of(flow, self.bits)

    def admitted_for(self, caller: int, now: float) -> float:
        """Return the decayed number of a caller's requests that all hosts admitted."""
        at_peers = self._admitted_at_peers_by_caller.get(caller, 0)
        return self._sketch.admitted_for(caller, now) + at_peers

    def priority_class(self, caller: int, now: float) -> int:
        """Return the priority class of a caller; callers of a lower class are served first.

        Class 0 is for callers up to half of their share, class 1 for those up to their share. Above
        it, the class grows by one with each further request.
        """
        admitted = self.admitted_for(caller, now)
        if admitted <= max(self.level * LOW_USE_FRACTION, MIN_ADMITTED):
            return 0
        if admitted <= self.level:
            return 1
        return 2 + int(admitted - self.level)

    def refuses(self, caller: int, now: float) -> bool:
        """Whether a caller is so far above its share that its openings are refused at once."""
        if self.level == NO_LEVEL:
            return False
        slack = SLACK_DEVIATIONS * sqrt(self.level) + SLACK_REQUESTS
        return self.admitted_for(caller, now) > self.level + slack

    def throttled_callers(self, now: float) -> list[int]:
        """Return the callers whose openings are refused, the heaviest first."""
        if self.level == NO_LEVEL:
            return []
        known = set(self._sketch.counts(now)).union(self._admitted_at_peers_by_caller)
        throttled = [caller for caller in known if self.refuses(caller, now)]
        return sorted(throttled, key=lambda caller: -self.admitted_for(caller, now))

    def report(self, now: float) -> CallersReport | None:
        """Return the report for neighbours, None while nothing is counted."""
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
        """Recompute the level from this host's counts and the `reports` of neighbours.

        Each report comes with its weight, the fraction of it that has not decayed.
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
        """Share what was admitted: the heaviest callers one by one, all others as equals."""
        demand_by_caller = {
            caller: demand for caller, (demand, _) in self._sketch.counts(now).items()
        }
        demand = self._sketch.demand(now)
        admitted = self._sketch.admitted(now)
        seen = self._sketch.seen
        for weight, report in reports:
            demand += report.demand * weight
            admitted += report.admitted * weight
            seen |= report.seen
            for heavy in report.heaviest:
                _add(demand_by_caller, heavy.caller, heavy.demand * weight)
                _add(self._admitted_at_peers_by_caller, heavy.caller, heavy.admitted * weight)
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
    """Return the demands of the heaviest callers, and the mean demand of all others."""
    heaviest = sorted(demand_by_caller.values(), reverse=True)[:MAX_REPORTED_CALLERS]
    others = max(callers - len(heaviest), 1)
    rest = max(all_demand - sum(heaviest), 0)
    return [*((demand, 1.0) for demand in heaviest), (rest / others, others)]


def decay_factor(age_s: float, interval_s: float) -> float:
    """Return the weight of a report: one until the next is due, then falling to zero."""
    return max(0, 1 - max(0, age_s - interval_s) / DECAY_S)
