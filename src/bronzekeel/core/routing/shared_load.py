"""Compute from the reports of peers how busy upstreams are with requests of other balancers.

Reports are as old as a heartbeat, which is several times the work of a request. Added up for each
upstream, they make all balancers see the same one as the least busy until the next heartbeat, and
send it all new requests: callers wait while other upstreams idle, most of all in a burst and with
many balancers. So the reports count as a mean, which decides between data centres, and only
upstreams far above the mean are singled out: those that are slow or partly failed.
"""

from collections.abc import Mapping

from bronzekeel.core.routing.directory import Directory
from bronzekeel.core.routing.model import Upstream
from bronzekeel.core.routing.pool_members import PoolCapacity
from bronzekeel.core.routing.pools import Pool


#: An upstream is singled out when its load exceeds this factor times the mean of the others, plus
#: the slack a slot. Among factors 1.5 and 2 and slacks 0.25, 0.5 and 1 this pair gives the fewest
#: late requests in a burst, and no more with a slow upstream.
OUTLIER_FACTOR = 2.0
OUTLIER_SLACK = 0.5


class SharedLoads:
    """Record at upstreams the requests in progress that other balancers report.

    Only upstreams in the current or the previous reports are updated: with tens of thousands of
    upstreams, a pass over all of them ten times a second takes a tenth of a core.
    """

    def __init__(self) -> None:
        """Start without reports."""
        self._reported: set[int] = set()

    def note(self, directory: Directory, busy_by_number: Mapping[int, int]) -> None:
        """Record the requests in progress by the short numbers of their upstreams."""
        touched = self._reported.union(busy_by_number)
        self._reported = set(busy_by_number)
        touched_by_pool: dict[Pool, list[Upstream]] = {}
        for number in touched:
            upstream = directory.by_number.get(number)
            if upstream is None:
                continue
            upstream.busy_at_peers = busy_by_number.get(number, 0)
            touched_by_pool.setdefault(upstream.pool, []).append(upstream)
        for pool, upstreams in touched_by_pool.items():
            _note_loads(upstreams, directory.pool_members.capacity_of(pool))


def _note_loads(touched: list[Upstream], capacity: PoolCapacity) -> None:
    """Set the shared load of the upstreams of a pool that peers report, or last reported.

    All other upstreams of the pool have a shared load of zero.
    """
    busy = sum(
        upstream.busy_at_peers for upstream in touched if upstream.listed or capacity.none_listed
    )
    for upstream in touched:
        others = capacity.of_listed - upstream.capacity
        excess: float = 0
        if others > 0:
            mean = (busy - upstream.busy_at_peers) / others
            load = upstream.busy_at_peers / upstream.capacity
            excess = max(0, load - mean * OUTLIER_FACTOR - OUTLIER_SLACK)
        upstream.shared_load = excess
