"""Learn how many requests the flows of a route carry.

A flow stays with its upstream, so a flow with many requests that was opened at a remote upstream
continues to cause traffic between data centres long after the local one has free capacity again.
"""

#: Bytes of the route at the end of a flow's key.
_ROUTE_BYTES = 6

#: Mean number of requests per flow from which the flows of a route are long.  From the third
#: request on, more bytes are sent between data centres after the first answer than before it.
LONG_FLOW_REQUESTS = 3.0

#: Number of flows above which the counts of a route are halved.
_MAX_COUNTED_FLOWS = 200

#: Minimum number of flows for an estimate.  The error of the mean of ten flows is half a request if
#: flows carry one or two.
_MIN_FLOWS = 10

#: Maximum number of routes with counts; the oldest is discarded first.  This is twice a text of
#: 2,000 routes, so that the routes of the previous text do not displace those in force.
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
        """Start without flows."""
        self._counts_by_route: dict[bytes, _RouteCounts] = {}

    def note_opening(self, flow: bytes) -> None:
        """Count the opening of a flow."""
        counts = self._of_flow(flow)
        counts.openings += 1
        if counts.openings > _MAX_COUNTED_FLOWS:
            counts.openings /= 2
            counts.requests /= 2

    def note_request(self, flow: bytes) -> None:
        """Count a request of a flow, including the first."""
        self._of_flow(flow).requests += 1

    def is_short(self, route: bytes) -> bool:
        """Whether the flows of a route are known to carry few requests."""
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
