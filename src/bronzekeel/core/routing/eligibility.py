"""Say which upstreams a new flow of a route may go to, whatever is down."""

from collections.abc import Mapping
from types import MappingProxyType

from bronzekeel.core.routing.cold_starts import ColdStarts
from bronzekeel.core.routing.directory import Directory
from bronzekeel.core.routing.model import Route, RoutingText, Upstream


NO_REGIONS: Mapping[str, str] = MappingProxyType({})


class Eligibility:
    """Leave out upstreams outside a route's homes, and cold ones that have had their share.

    Which of the others gets a flow is for placement to say.
    """

    __slots__ = ('_cold_starts', '_directory', '_region_by_centre')

    def __init__(
        self,
        directory: Directory,
        cold_starts: ColdStarts,
        region_by_centre: Mapping[str, str] = NO_REGIONS,
    ) -> None:
        """Choose among the upstreams of `directory`; data centres have their regions."""
        self._directory = directory
        self._cold_starts = cold_starts
        self._region_by_centre = region_by_centre

    def begin(self, now: float) -> None:
        """Note the start of this host."""
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
        """Note that a new flow goes to an upstream."""
        if upstream.entry.service in text.cold_rate_by_service:
            self._cold_starts.note_placed(upstream, now)

    def _is_in_allowed_region(self, upstream: Upstream, route: Route) -> bool:
        """Whether an upstream is in a home; one whose region is not known is in none."""
        return self._region_by_centre.get(upstream.entry.data_centre) in route.homes
