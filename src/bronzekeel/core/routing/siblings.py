"""Say which other services may take a flow of a route whose own service has no room.

The weights of a text say where new flows go while there is room.  What goes wrong when they
bind beyond that: a text leads most flows of a route to a small service, a crowd comes, and its
callers are refused while the other service of the same route idles.
"""

from collections.abc import Iterable

from bronzekeel.core.routing.model import Route, Upstream


def siblings_of(route: Route, service: str) -> list[str]:
    """Return the other services of a route, those with the largest weights first.

    One without a weight is being prepared or taken away, and gets nothing.
    """
    others = [share for share in route.shares if share.service != service and share.weight > 0]
    others.sort(key=lambda share: -share.weight)
    return [share.service for share in others]


def with_free_capacity(
    upstreams: Iterable[Upstream], data_centre: str, now: float
) -> list[Upstream]:
    """Return the upstreams of a data centre that answer and whose pool has room."""
    return [
        upstream
        for upstream in upstreams
        if upstream.entry.data_centre == data_centre
        and upstream.pool.has_free_capacity
        and now >= upstream.avoided_until
    ]
