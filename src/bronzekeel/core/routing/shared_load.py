"""Reckon from what peers tell how busy upstreams are beyond own sight.

What peers tell is as old as a heartbeat, several times the work of a request.
What goes wrong when it is added up for each upstream: all balancers see the same
one as the least busy until the next heartbeat, and send it everything that comes.
One notices by callers who wait while other upstreams idle, most in a burst and
with many balancers.  So peers' word counts as a mean, which decides between data
centres, and singles out only those that are far beyond the mean: slow or grey ones.
"""

from collections.abc import Mapping

from bronzekeel.core.routing.directory import Directory
from bronzekeel.core.routing.model import Upstream
from bronzekeel.core.routing.pool_members import PoolCapacity
from bronzekeel.core.routing.pools import Pool


#: How many times the mean of the others an upstream's load must be to be singled out,
#: and how much more a slot.  Source: of factors 1.5 and 2 and slacks 0.25, 0.5 and 1
#: those with the fewest late requests in a burst, and no more with a slow upstream.
OUTLIER_FACTOR = 2.0
OUTLIER_SLACK = 0.5


class SharedLoads:
    """Note at upstreams what others see in progress there.

    Only upstreams that peers tell of, or told of last, are looked at: with tens of
    thousands of them a look at all, ten times a second, is a tenth of a core.
    """

    def __init__(self) -> None:
        """Start with nothing told."""
        self._reported: set[int] = set()

    def note(self, directory: Directory, busy_by_number: Mapping[int, int]) -> None:
        """Take the requests in progress by the short numbers of their upstreams."""
        touched = self._reported.union(busy_by_number)
        self._reported = set(busy_by_number)
        touched_by_pool: dict[Pool, list[Upstream]] = {}
        for number in touched:
            upstream = directory.by_number.get(number)
            if upstream is None:
                continue
            upstream.busy_elsewhere = busy_by_number.get(number, 0)
            touched_by_pool.setdefault(upstream.pool, []).append(upstream)
        for pool, upstreams in touched_by_pool.items():
            _note_loads(upstreams, directory.pool_members.capacity_of(pool))


def _note_loads(touched: list[Upstream], capacity: PoolCapacity) -> None:
    """Set the shared load of the upstreams of a pool that peers report, or last reported.

    All other upstreams of the pool have a shared load of zero.
    """
    busy = sum(
        upstream.busy_elsewhere for upstream in touched if upstream.listed or capacity.none_listed
    )
    for upstream in touched:
        others = capacity.of_listed - upstream.capacity
        beyond: float = 0
        if others > 0:
            usual = (busy - upstream.busy_elsewhere) / others
            load = upstream.busy_elsewhere / upstream.capacity
            beyond = max(0, load - usual * OUTLIER_FACTOR - OUTLIER_SLACK)
        upstream.shared_load = beyond
