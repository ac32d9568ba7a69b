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

#: Turns that are kept before those of upstreams that are gone are forgotten.
_MANY_TURNS = 64

_HASH_BITS = 32
_HASHES = 1 << _HASH_BITS


class SharesByCapacity:
    """Give new flows to upstreams in proportion to the capacity that they have left."""

    __slots__ = ('_host', '_turn_by_upstream')

    def __init__(self, host: str) -> None:
        """Start the turns at the place of `host`."""
        self._host = host
        self._turn_by_upstream: dict[Upstream, float] = {}

    def choose(self, candidates: Sequence[Upstream], now: float) -> Upstream:
        """Return the upstream of some that look alike whose turn it is."""
        if len(self._turn_by_upstream) > _MANY_TURNS + 2 * len(candidates):
            self._forget(candidates)
        weights = [spare_of(upstream, now) for upstream in candidates]
        total = sum(weights)
        best = candidates[0]
        best_turn = float('-inf')
        for upstream, weight in zip(candidates, weights, strict=True):
            turn = self._turn_of(upstream) + weight / total
            self._turn_by_upstream[upstream] = min(turn, _MOST_TURNS)
            if turn > best_turn:
                best = upstream
                best_turn = turn
        self._turn_by_upstream[best] = max(best_turn - 1, -_MOST_TURNS)
        return best

    def _forget(self, known: Sequence[Upstream]) -> None:
        """Forget the turns of all upstreams but some."""
        self._turn_by_upstream = {
            upstream: self._turn_by_upstream[upstream]
            for upstream in known
            if upstream in self._turn_by_upstream
        }

    def _turn_of(self, upstream: Upstream) -> float:
        turn = self._turn_by_upstream.get(upstream)
        if turn is not None:
            return turn
        name = upstream.entry.name
        return crc32(f'{self._host}/{name}'.encode()) / _HASHES - 1 / 2


def spare_of(upstream: Upstream, now: float) -> float:
    """Return the capacity that an upstream has left, in slots."""
    spare = upstream.capacity if upstream.spare is None else upstream.spare
    return spare / COLD_FACTOR if now < upstream.warm_at else spare
