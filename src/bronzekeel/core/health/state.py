"""Health of upstreams as observed by a slot keeper."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class UpstreamHealth:
    """Observed health of one upstream.

    `limit` is the maximum number of its slots in use.  The upstream is ejected
    until `ejected_until`.  After that it is probed by one attempt at a time, and
    `limit` grows from one as attempts succeed.
    """

    limit: float = 1
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0
    succeeded_until: float = 0
    hinted_down: bool = False


@dataclass(slots=True)
class Health:
    """Health of all upstreams by endpoint.

    `trusts_hints` makes health endpoints take precedence over observed
    outcomes.  It is off in production; tests and benchmarks enable it to show
    the effect.
    """

    by_endpoint: dict[str, UpstreamHealth] = field(default_factory=dict)
    trusts_hints: bool = False

    def of(self, endpoint: str) -> UpstreamHealth:
        """Return an upstream's health; create it if it does not exist."""
        return self.by_endpoint.setdefault(endpoint, UpstreamHealth())
