"""Hold what a slot keeper has observed of upstreams."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class UpstreamHealth:
    """Hold one upstream's observed health; `limit` is its slots in use at most.

    It is ejected until `ejected_until`; after that one attempt at a time
    probes it, and `limit` grows from one as attempts succeed.
    """

    limit: float = 1
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0
    succeeded_until: float = 0
    hinted_down: bool = False


@dataclass(slots=True)
class Health:
    """Hold all upstreams by endpoint.

    `trusts_hints` believes health endpoints; it is off but where a test or a
    benchmark shows what that costs.
    """

    by_endpoint: dict[str, UpstreamHealth] = field(default_factory=dict)
    trusts_hints: bool = False

    def of(self, endpoint: str) -> UpstreamHealth:
        """Return an upstream's health, made if it is new."""
        return self.by_endpoint.setdefault(endpoint, UpstreamHealth())
