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

#: Flows after which what was counted before weighs half.
_REMEMBERED_FLOWS = 200

#: Flows from which on a route's are judged.  Source: the mean of ten is half a request off where
#: flows carry one or two.
_LEAST_FLOWS = 10

#: Routes that are counted at most; the one counted first makes room.  Source: twice a text of
#: 2,000 routes, so that those of a former text do not push out those in force.
MOST_ROUTES = 4_000


class _Counted:
    __slots__ = ('openings', 'requests')

    def __init__(self) -> None:
        self.openings: float = 0
        self.requests: float = 0


class FlowLengths:
    """Count flows and requests by route."""

    __slots__ = ('_counted_by_route',)

    def __init__(self) -> None:
        """Start with none."""
        self._counted_by_route: dict[bytes, _Counted] = {}

    def note_opening(self, flow: bytes) -> None:
        """Note that a flow is opened."""
        counted = self._of_flow(flow)
        counted.openings += 1
        if counted.openings > _REMEMBERED_FLOWS:
            counted.openings /= 2
            counted.requests /= 2

    def note_request(self, flow: bytes) -> None:
        """Note a request of a flow, its first one too."""
        self._of_flow(flow).requests += 1

    def is_short(self, route: bytes) -> bool:
        """Whether flows of a route are known to carry a request or two."""
        counted = self._counted_by_route.get(route)
        if counted is None or counted.openings < _LEAST_FLOWS:
            return False
        return counted.requests < counted.openings * LONG_FLOW_REQUESTS

    def _of_flow(self, flow: bytes) -> _Counted:
        route = flow[-_ROUTE_BYTES:]
        counted = self._counted_by_route.get(route)
        if counted is None:
            if len(self._counted_by_route) >= MOST_ROUTES:
                self._counted_by_route.pop(next(iter(self._counted_by_route)))
            counted = _Counted()
            self._counted_by_route[route] = counted
        return counted
