"""Learn how many requests the flows of a route carry.

A flow stays with the upstream that it was opened at, so one that carries many requests goes on
crossing data centres long after its home has room again.
"""

#: Bytes of the route at the end of a flow's key.
_ROUTE_BYTES = 6

#: Requests that a flow carries in the mean from which it is long.  Source: the request that
#: opens a flow, and a second one: from the third on more bytes cross after the first answer
#: than before it.
LONG_FLOW_REQUESTS = 3.0

#: Flows after which what was counts before weighs half.
_MAX_COUNTED_FLOWS = 200

#: Flows from which on a route's are judged.  Source: the mean of ten is half a request off where
#: flows carry one or two.
_MIN_FLOWS = 10

#: Routes that are counts at most; the one counts first makes room.  Source: twice a text of
#: 2,000 routes, so that those of a former text do not push out those in force.
MAX_ROUTES = 4_000


class _RouteCounts:
    __slots__ = ('openings', 'requests')

    def __init__(self) -> None:
        self.openings: float = 0
        self.requests: float = 0


class FlowLengths:
    """Count flows and requests by route."""

    __slots__ = ('_counts_by_route',)

    def __init__(self) -> None:
        """Start with none."""
        self._counts_by_route: dict[bytes, _RouteCounts] = {}

    def note_opening(self, flow: bytes) -> None:
        """Note that a flow is opened."""
        counts = self._of_flow(flow)
        counts.openings += 1
        if counts.openings > _MAX_COUNTED_FLOWS:
            counts.openings /= 2
            counts.requests /= 2

    def note_request(self, flow: bytes) -> None:
        """Note a request of a flow, its first one too."""
        self._of_flow(flow).requests += 1

    def is_short(self, route: bytes) -> bool:
        """Whether flows of a route are known to carry a request or two."""
        counts = self._counts_by_route.get(route)
        if counts is None or counts.openings < _MIN_FLOWS:
            return False
        return counts.requests < counts.openings * LONG_FLOW_REQUESTS

    def _of_flow(self, flow: bytes) -> _RouteCounts:
        route = flow[-_ROUTE_BYTES:]
        counts = self._counts_by_route.get(route)
        if counts is None:
            if len(self._counts_by_route) >= MAX_ROUTES:
                self._counts_by_route.pop(next(iter(self._counts_by_route)))
            counts = _RouteCounts()
            self._counts_by_route[route] = counts
        return counts
