"""Find other services of a route for a flow whose own service has no free capacity.

The weights of a text distribute new flows while there is free capacity.  If they also applied
beyond that, and a text sent most flows of a route to a small service, its callers would be refused
in a surge while the other service of the same route is idle.
"""

from collections.abc import Iterable

from bronzekeel.core.routing.model import Route, Upstream


def siblings_of(route: Route, service: str) -> list[str]:
    """Return the other services of a route, those with the largest weights first.

    A service with zero weight is being set up or removed, and gets nothing.
    """
    others = [share for share in route.shares if share.service != service and share.weight > 0]
    others.sort(key=lambda share: -share.weight)
    return [share.service for share in others]


def with_free_capacity(
    upstreams: Iterable[Upstream], data_centre: str, now: float
) -> list[Upstream]:
    """Return the responsive upstreams of a data centre whose pool has free capacity."""
    return [
        upstream
        for upstream in upstreams
        if upstream.entry.data_centre == data_centre
        and upstream.pool.has_free_capacity
        and now >= upstream.avoided_until
    ]
