"""Choose among upstreams that look alike by the capacity that their open flows leave.

Every host goes by nearly the same sums, which are as old as a heartbeat.  What goes wrong if each
takes the upstream with the most capacity left: all send there what comes until the next
heartbeat, a new upstream is rushed, and a flow that is kept open stays where that put it.  So each
host gives every upstream its share of the flows, in turn (smooth weighted round robin), and starts
the turns at a place of its own.
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
_MOST_TURNS = 1.0

#: Turns of a service that are kept beside twice its upstreams.
_MANY_TURNS = 64

_HASH_BITS = 32
_HASHES = 1 << _HASH_BITS


class _Turns:
    """Hold the turns of one service's upstreams; `most` of them were to choose from at a time."""

    __slots__ = ('by_upstream', 'most')

    def __init__(self) -> None:
        self.by_upstream: dict[Upstream, float] = {}
        self.most = 0

    def keep(self, candidates: Sequence[Upstream]) -> None:
        """Forget the turns of all but the candidates if there are far more than upstreams."""
        self.most = max(self.most, len(candidates))
        if len(self.by_upstream) <= _MANY_TURNS + 2 * self.most:
            return
        self.by_upstream = {
            upstream: self.by_upstream[upstream]
            for upstream in candidates
            if upstream in self.by_upstream
        }


class SharesByCapacity:
    """Give new flows to upstreams in proportion to the capacity that they have left."""

    __slots__ = ('_host', '_turns_by_service')

    def __init__(self, host: str) -> None:
        """Start the turns at the place of `host`."""
        self._host = host
        self._turns_by_service: dict[str, _Turns] = {}

    @property
    def kept(self) -> int:
        """Turns that are kept."""
        return sum(len(turns.by_upstream) for turns in self._turns_by_service.values())

    def choose(self, candidates: Sequence[Upstream], now: float) -> Upstream:
        """Return the upstream of some of one service that look alike whose turn it is."""
        turns = self._turns_by_service.setdefault(candidates[0].entry.service, _Turns())
        turns.keep(candidates)
        weights = [spare_of(upstream, now) for upstream in candidates]
        total = sum(weights)
        best = candidates[0]
        best_turn = float('-inf')
        for upstream, weight in zip(candidates, weights, strict=True):
            if upstream not in turns.by_upstream:
                turns.by_upstream[upstream] = self._first_turn(upstream)
            turn = turns.by_upstream[upstream] + weight / total
            turns.by_upstream[upstream] = min(turn, _MOST_TURNS)
            if turn > best_turn:
                best = upstream
                best_turn = turn
        turns.by_upstream[best] = max(best_turn - 1, -_MOST_TURNS)
        return best

    def _first_turn(self, upstream: Upstream) -> float:
        name = upstream.entry.name
        return crc32(f'{self._host}/{name}'.encode()) / _HASHES - 1 / 2


def spare_of(upstream: Upstream, now: float) -> float:
    """Return the capacity that an upstream has left, in slots."""
    spare = upstream.capacity if upstream.spare is None else upstream.spare
    return spare / COLD_FACTOR if now < upstream.warm_at else spare
