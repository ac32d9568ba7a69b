"""Determine which upstreams a new flow of a route may use, regardless of failures."""

from collections.abc import Mapping
from types import MappingProxyType

from bronzekeel.core.routing.cold_starts import ColdStarts
from bronzekeel.core.routing.directory import Directory
from bronzekeel.core.routing.model import Route, RoutingText, Upstream


NO_REGIONS: Mapping[str, str] = MappingProxyType({})


class Eligibility:
    """Exclude upstreams outside the allowed regions of a route, and cold ones at their rate limit.

    Placement chooses among the others.
    """

    __slots__ = ('_cold_starts', '_directory', '_region_by_centre')

    def __init__(
        self,
        directory: Directory,
        cold_starts: ColdStarts,
        region_by_centre: Mapping[str, str] = NO_REGIONS,
    ) -> None:
        """Use the upstreams of `directory`; `region_by_centre` has the regions of data centres."""
        self._directory = directory
        self._cold_starts = cold_starts
        self._region_by_centre = region_by_centre

    def begin(self, now: float) -> None:
        """Record the start time of this host."""
        self._cold_starts.begin(now)

    def of_service(
        self,
        service: str,
        route: Route,
        text: RoutingText,
        now: float,
    ) -> list[Upstream]:
        """Return the upstreams of a service that a new flow of `route` may go to."""
        upstreams = self._directory.of_service(service)
        if route.homes:
            upstreams = [
                upstream for upstream in upstreams if self._is_in_allowed_region(upstream, route)
            ]
        rate = text.cold_rate_by_service.get(service)
        if rate is None:
            return upstreams
        may_place = self._cold_starts.may_place
        return [upstream for upstream in upstreams if may_place(upstream, rate, now)]

    def note_placed(self, upstream: Upstream, text: RoutingText, now: float) -> None:
        """Record a new flow to an upstream."""
        if upstream.entry.service in text.cold_rate_by_service:
            self._cold_starts.note_placed(upstream, now)

    def _is_in_allowed_region(self, upstream: Upstream, route: Route) -> bool:
        """Whether the region of an upstream is allowed; an unknown region never is."""
        return self._region_by_centre.get(upstream.entry.data_centre) in route.homes
