"""Give the placement benchmark the limits of requests in progress that were weighed."""

from bronzekeel.core.routing.admission import Admission, RequestsPerSlot
from bronzekeel.core.routing.pools import NO_LIMIT, Pool


#: What `FixedLimit` lets be in progress, whatever there is: right for three slots an
#: upstream, three upstreams and three balancers a data centre.
_FIXED_LIMIT = 6

#: How `LearnedLimit` changes its limit at each tick, and how much slower than at best
#: answers may be.
_INCREMENT = 0.5
_DECREASE_FACTOR = 0.8
_MAX_LATENCY_RATIO = 2.0
_MIN_LIMIT = 2.0
_INITIAL_LIMIT = 10.0

#: Seconds of waiting that `WaitTarget` tolerates, and for how long more than that.
_TARGET_WAIT_S = 0.02
_INTERVAL_S = 0.1


class AdmitAll(Admission):
    """Let every request go on at once."""

    def reckon(self, now: float) -> None:
        """Leave all pools without a limit."""


class FixedLimit(Admission):
    """Let a fixed number be in progress."""

    def reckon(self, now: float) -> None:
        """Set the same limit for all pools of the data centre."""
        for pool in self._directory.pools_of(self._data_centre):
            pool.limit = _FIXED_LIMIT


class ShareWithoutBorrowing(RequestsPerSlot):
    """Let a balancer have its share of the slots and borrow nothing from neighbours."""

    borrowed_share = 0


class _LatencyAdmission(Admission):
    """Follow how long answers take, by Little's law: requests in progress by answers a second."""

    def __init__(self, *args: object) -> None:
        """Start with nothing known."""
        super().__init__(*args)  # type: ignore[arg-type]
        self._answered_by_pool: dict[Pool, int] = {}
        self._min_latency_s_by_pool: dict[Pool, float] = {}
        self._busy_by_pool: dict[Pool, float] = {}
        self._rate_by_pool: dict[Pool, float] = {}
        self._updated_at: float = 0

    def reckon(self, now: float) -> None:
        """Adjust the limits of the pools of the data centre."""
        elapsed_s = max(now - self._updated_at, 0.01)
        self._updated_at = now
        for pool in self._directory.pools_of(self._data_centre):
            answered = pool.answered - self._answered_by_pool.get(pool, 0)
            self._answered_by_pool[pool] = pool.answered
            rate = self._smooth(self._rate_by_pool, pool, answered / elapsed_s)
            busy = self._smooth(self._busy_by_pool, pool, pool.busy)
            if rate <= 0:
                continue
            latency_s = busy / rate
            min_latency_s = min(self._min_latency_s_by_pool.get(pool, latency_s), latency_s)
            self._min_latency_s_by_pool[pool] = min_latency_s
            self._adjust(pool, latency_s, min_latency_s, now)

    def _smooth(self, by_pool: dict[Pool, float], pool: Pool, latest: float) -> float:
        previous = by_pool.get(pool, latest)
        by_pool[pool] = previous + (latest - previous) * 0.3
        return by_pool[pool]

    def _adjust(self, pool: Pool, latency_s: float, min_latency_s: float, now: float) -> None:
        """Adjust the limit of a pool whose answers took `took_s`, at best `least_s`."""


class LearnedLimit(_LatencyAdmission):
    """Learn the limit: add while answers are quick, take a fifth away when they are slow.

    Additive increase and multiplicative decrease as in "Congestion Avoidance and Control"
    (Jacobson, SIGCOMM 1988), with the times of answers as the sign, as in "TCP Vegas"
    (Brakmo and Peterson, IEEE JSAC 13(8), 1995).
    """

    def _adjust(self, pool: Pool, latency_s: float, min_latency_s: float, now: float) -> None:
        limit = min(pool.limit, _INITIAL_LIMIT) if pool.limit == NO_LIMIT else pool.limit
        if latency_s > min_latency_s * _MAX_LATENCY_RATIO:
            pool.limit = max(_MIN_LIMIT, limit * _DECREASE_FACTOR)
            return
        is_limit_used = pool.busy > limit / 2
        pool.limit = limit + _INCREMENT * is_limit_used


class WaitTarget(_LatencyAdmission):
    """Let nothing more go on while requests have waited too long at upstreams for an interval.

    As in "Controlling Queue Delay" (Nichols and Jacobson, ACM Queue 10(5), 2012).
    """

    def __init__(self, *args: object) -> None:
        """Start with nothing known."""
        super().__init__(*args)
        self._above_since: dict[Pool, float] = {}

    def _adjust(self, pool: Pool, latency_s: float, min_latency_s: float, now: float) -> None:
        if latency_s < min_latency_s + _TARGET_WAIT_S:
            self._above_since.pop(pool, None)
            pool.limit = NO_LIMIT
            return
        since = self._above_since.setdefault(pool, now)
        if now >= since + _INTERVAL_S:
            pool.limit = max(1, pool.busy * _DECREASE_FACTOR)
