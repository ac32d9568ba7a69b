"""Distribute flows over equally ranked upstreams in proportion to their spare capacity.

All hosts use nearly the same figures, which are up to a heartbeat interval old.  If each host chose
the upstream with the most spare capacity, all would send their flows there until the next
heartbeat, overload a new upstream, and persistent flows would stay where they were placed.  Instead
each host gives every upstream its share of the flows by smooth weighted round robin, with initial
credits that differ between hosts.
"""

from collections.abc import Sequence
from zlib import crc32

from bronzekeel.core.routing.model import Upstream


#: Work per request of a cold upstream as a multiple of that of a warm one.  Upstreams that have
#: just started take 1.6 times as long; the factor is rounded up, since the first flows of a cold
#: upstream are the slowest.
COLD_FACTOR = 2.0

#: Maximum absolute credit in flows.  Without this limit, an upstream that was busy or unresponsive
#: for a long time would get all flows when it becomes available again.
_MAX_CREDIT = 1.0

#: Number of credits retained per service in addition to twice its number of upstreams.
_MAX_STALE_CREDITS = 64

_HASH_BITS = 32
_HASH_RANGE = 1 << _HASH_BITS


class _Credits:
    """Hold the credits of the upstreams of one service; `most` is the maximum of candidates."""

    __slots__ = ('by_upstream', 'most')

    def __init__(self) -> None:
        self.by_upstream: dict[Upstream, float] = {}
        self.most = 0

    def discard_stale(self, candidates: Sequence[Upstream]) -> None:
        """Discard the credits of all but the candidates if there are far more than those."""
        self.most = max(self.most, len(candidates))
        if len(self.by_upstream) <= _MAX_STALE_CREDITS + 2 * self.most:
            return
        self.by_upstream = {
            upstream: self.by_upstream[upstream]
            for upstream in candidates
            if upstream in self.by_upstream
        }


class SharesByCapacity:
    """Distribute new flows over upstreams in proportion to their spare capacity."""

    __slots__ = ('_credits_by_service', '_host')

    def __init__(self, host: str) -> None:
        """Start without credits; the initial ones depend on the name `host`."""
        self._host = host
        self._credits_by_service: dict[str, _Credits] = {}

    @property
    def credit_count(self) -> int:
        """Number of upstreams with credits, over all services."""
        return sum(
            len(service_credits.by_upstream)
            for service_credits in self._credits_by_service.values()
        )

    def choose(self, candidates: Sequence[Upstream], now: float) -> Upstream:
        """Return the upstream with the highest credit among candidates of one service."""
        service_credits = self._credits_by_service.setdefault(
            candidates[0].entry.service, _Credits()
        )
        service_credits.discard_stale(candidates)
        weights = [spare_of(upstream, now) for upstream in candidates]
        total = sum(weights)
        best = candidates[0]
        best_credit = float('-inf')
        for upstream, weight in zip(candidates, weights, strict=True):
            if upstream not in service_credits.by_upstream:
                service_credits.by_upstream[upstream] = self._initial_credit(upstream)
            credit = service_credits.by_upstream[upstream] + weight / total
            service_credits.by_upstream[upstream] = min(credit, _MAX_CREDIT)
            if credit > best_credit:
                best = upstream
                best_credit = credit
        service_credits.by_upstream[best] = max(best_credit - 1, -_MAX_CREDIT)
        return best

    def _initial_credit(self, upstream: Upstream) -> float:
        name = upstream.entry.name
        return crc32(f'{self._host}/{name}'.encode()) / _HASH_RANGE - 1 / 2


def spare_of(upstream: Upstream, now: float) -> float:
    """Return the spare capacity of an upstream in slots."""
    spare = upstream.capacity if upstream.spare is None else upstream.spare
    return spare / COLD_FACTOR if now < upstream.warm_at else spare
