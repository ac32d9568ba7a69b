"""Choose among upstreams that look alike by the capacity that their open flows leave.

Every host goes by nearly the same sums, which are as old as a heartbeat.  What goes wrong if each
takes the upstream with the most capacity left: all send there what comes until the next
heartbeat, a new upstream is rushed, and a flow that is kept open stays where that put it.  So each
host gives every upstream its share of the flows, in credit (smooth weighted round robin), and starts
the credits at a place of its own.
"""

from collections.abc import Sequence
from zlib import crc32

from bronzekeel.core.routing.model import Upstream


#: Work of a cold upstream as a multiple of a warm one's.  Source: upstreams
#: that have just started took 1.6 times as long; rounded up, since a cold one
#: also serves its first flows worst.
COLD_FACTOR = 2.0

#: Turns that an upstream may be ahead or behind at most.  What goes wrong without it: one that was
#: busy or silent for long gets all flows when it is back.
_MAX_CREDIT = 1.0

#: Turns of a service that are kept beside twice its upstreams.
_MAX_STALE_CREDITS = 64

_HASH_BITS = 32
_HASH_RANGE = 1 << _HASH_BITS


class _Credits:
    """Hold the credits of one service's upstreams; `most` of them were to choose from at a time."""

    __slots__ = ('by_upstream', 'most')

    def __init__(self) -> None:
        self.by_upstream: dict[Upstream, float] = {}
        self.most = 0

    def discard_stale(self, candidates: Sequence[Upstream]) -> None:
        """Forget the credits of all but the candidates if there are far more than upstreams."""
        self.most = max(self.most, len(candidates))
        if len(self.by_upstream) <= _MAX_STALE_CREDITS + 2 * self.most:
            return
        self.by_upstream = {
            upstream: self.by_upstream[upstream]
            for upstream in candidates
            if upstream in self.by_upstream
        }


class SharesByCapacity:
    """Give new flows to upstreams in proportion to the capacity that they have left."""

    __slots__ = ('_credits_by_service', '_host')

    def __init__(self, host: str) -> None:
        """Start the credits at the place of `host`."""
        self._host = host
        self._credits_by_service: dict[str, _Credits] = {}

    @property
    def credit_count(self) -> int:
        """Turns that are kept."""
        return sum(
            len(service_credits.by_upstream)
            for service_credits in self._credits_by_service.values()
        )

    def choose(self, candidates: Sequence[Upstream], now: float) -> Upstream:
        """Return the upstream of some of one service that look alike whose credit it is."""
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
    """Return the capacity that an upstream has left, in slots."""
    spare = upstream.capacity if upstream.spare is None else upstream.spare
    return spare / COLD_FACTOR if now < upstream.warm_at else spare
