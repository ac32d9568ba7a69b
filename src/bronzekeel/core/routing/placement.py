"""Choose the upstream of a new flow."""

from abc import ABC, abstractmethod
from collections.abc import Iterable

from bronzekeel.core.routing.model import Upstream


#: Work of a cold upstream as a multiple of a warm one's.  Source: upstreams
#: that have just started took 1.6 times as long; rounded up, since a cold one
#: also serves its first flows worst.
COLD_FACTOR = 2.0

#: Load of an open flow that waits for nothing, in parts of one that does.
#: Source: a feed asks about twice in five seconds for 40 ms of work.
IDLE_FLOW_LOAD = 0.02

#: Load that an upstream of another data centre is taken to have beside what is
#: seen of it: flows that its own data centre sends there, and the distance.
#: Source: of 1, 2 and 3 the one with the fewest bytes between data centres
#: among those that served best (docs/DESIGN.md, "Placement").
FAR_LOAD = 2.0


class Placement(ABC):
    """Choose among upstreams; every policy answers one load pattern."""

    @abstractmethod
    def choose(self, candidates: Iterable[Upstream], now: float) -> Upstream | None:
        """Return the upstream for a new flow, None if none may get it."""


class LeastBusy(Placement):
    """Choose the least busy upstream, and one of the own data centre if it can be.

    Load pattern: requests come in bursts, long feeds gather on upstreams that
    started early, and a data centre loses upstreams while others idle.  What
    this balancer and its peers have in progress at each upstream keeps new
    flows from busy ones; another data centre gets them when they would wait for
    more than ``FAR_LOAD`` requests a slot at home.
    """

    def __init__(self, data_centre: str) -> None:
        """Prefer upstreams of `data_centre`."""
        self._data_centre = data_centre
        self._turn = 0

    def choose(self, candidates: Iterable[Upstream], now: float) -> Upstream | None:
        """Return the upstream with the least load among the nearest that answer."""
        best: Upstream | None = None
        best_rank: tuple[float, ...] = ()
        self._turn += 1
        for place, upstream in enumerate(candidates):
            if not upstream.takes_flows(now):
                continue
            rank = (*self._reluctance(upstream, now), (place + self._turn) % _TURNS)
            if best is None or rank < best_rank:
                best = upstream
                best_rank = rank
        return best

    def _reluctance(self, upstream: Upstream, now: float) -> tuple[float, ...]:
        """Rank an upstream; smaller is better.

        One that does not answer comes after all others of any data centre, and
        is still better than nobody.
        """
        silent = now < upstream.avoided_until
        load = load_of(upstream, now)
        if upstream.entry.data_centre != self._data_centre:
            load += FAR_LOAD
        return (silent, upstream.missing_at is not None, load)


def load_of(upstream: Upstream, now: float) -> float:
    """Return the load of an upstream with one more flow, per slot."""
    load = 1 + upstream.busy_flows + upstream.busy_elsewhere + upstream.open_flows * IDLE_FLOW_LOAD
    if now < upstream.warm_at:
        load *= COLD_FACTOR
    return load / upstream.entry.slots


#: Upstreams of equal rank get flows in turn; more of them than this share turns.
_TURNS = 64
