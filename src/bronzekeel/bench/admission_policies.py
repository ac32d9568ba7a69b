"""Alternative limits on requests in progress that the placement benchmark compares."""

from bronzekeel.core.routing.admission import Admission, RequestsPerSlot
from bronzekeel.core.routing.pools import NO_LIMIT, Pool


#: Requests in progress per pool that `FixedLimit` allows regardless of capacity.  It fits data
#: centres of three balancers and three upstreams with three slots each.
_FIXED_LIMIT = 6

#: Additive increase and multiplicative decrease of `LearnedLimit` at each tick, the ratio of the
#: latency to the minimum latency above which it decreases, and its lower bound and initial value.
_INCREMENT = 0.5
_DECREASE_FACTOR = 0.8
_MAX_LATENCY_RATIO = 2.0
_MIN_LIMIT = 2.0
_INITIAL_LIMIT = 10.0

#: Queueing delay that `WaitTarget` tolerates, and for how long the delay may exceed it, in seconds.
_TARGET_WAIT_S = 0.02
_INTERVAL_S = 0.1


class AdmitAll(Admission):
    """Admit every request at once."""

    def update_limits(self, now: float) -> None:
        """Leave all pools unlimited."""


class FixedLimit(Admission):
    """Limit every pool to the same fixed number of requests in progress."""

    def update_limits(self, now: float) -> None:
        """Set the fixed limit for all pools of the data centre."""
        for pool in self._directory.pools_of(self._data_centre):
            pool.limit = _FIXED_LIMIT


class ShareWithoutBorrowing(RequestsPerSlot):
    """Limit a balancer to its share of the slots, without borrowing from neighbours."""

    borrowed_share = 0


class _LatencyAdmission(Admission):
    """Estimate latency by Little's law: requests in progress divided by answers per second."""

    def __init__(self, *args: object) -> None:
        """Start without any estimates."""
        super().__init__(*args)  # type: ignore[arg-type]
        self._answered_by_pool: dict[Pool, int] = {}
        self._min_latency_s_by_pool: dict[Pool, float] = {}
        self._busy_by_pool: dict[Pool, float] = {}
        self._rate_by_pool: dict[Pool, float] = {}
        self._updated_at: float = 0

    def update_limits(self, now: float) -> None:
        """Update the estimates of the pools of the data centre and adjust their limits."""
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
        """Adjust the limit of a pool from its latency and the lowest latency seen so far."""


class LearnedLimit(_LatencyAdmission):
    """Adapt the limit: add while latency is low, multiply by 0.8 when it is high.

    Additive increase and multiplicative decrease as in "Congestion Avoidance and Control"
    (Jacobson, SIGCOMM 1988), with latency as the congestion signal, as in "TCP Vegas"
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
    """Shrink the limit when the queueing delay at upstreams stays high for an interval.

    The control law follows "Controlling Queue Delay" (Nichols and Jacobson, ACM Queue 10(5), 2012).
    """

    def __init__(self, *args: object) -> None:
        """Start without any estimates."""
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
