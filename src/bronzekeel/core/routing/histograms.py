"""Count durations in the buckets of a histogram."""

from bisect import bisect_left


#: Upper bounds of the buckets in seconds.  They range from the time of a fast request to the
#: longest time limit of callers, each about twice the previous one.
BOUNDS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 8)


class Histogram:
    """Count durations in buckets; the last bucket has no upper bound."""

    __slots__ = ('counts', 'total_s')

    def __init__(self) -> None:
        """Start without durations."""
        self.counts = [0 for _ in range(len(BOUNDS_S) + 1)]
        self.total_s: float = 0

    def observe(self, seconds: float) -> None:
        """Count one duration."""
        self.counts[bisect_left(BOUNDS_S, seconds)] += 1
        self.total_s += seconds
