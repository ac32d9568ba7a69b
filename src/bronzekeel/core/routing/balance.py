"""Distribute the demand of a data centre beyond its share of the capacity to remote ones.

Without this, if a data centre has lost most of its upstreams or has more callers than others, its
callers wait while remote upstreams are idle, and equal upstreams, and the organisations that own
them, get unequal work.  This shows in the requests per upstream, compared over data centres.

Data centres therefore report to each other the request rates of their callers for each service.
A data centre above the mean places a share of its new flows at remote upstreams.  The demand of
callers does not depend on where it is placed, so the shares do not oscillate.
"""

from collections.abc import Mapping

from bronzekeel.core.routing.directory import Directory
from bronzekeel.core.routing.messages import FlowShare


#: Interval in seconds at which rates and shares are updated.
UPDATE_INTERVAL_S = 1.0

#: Weight of the newest second in a rate.  Five seconds of 40 requests per second are 200 requests,
#: with a random variation of seven percent.
_NEWEST_WEIGHT = 0.2

#: Number of intervals after which rates are usable: the newest five contribute two thirds.
_SETTLED_INTERVALS = 5

#: Requests per second of a service in all data centres below which no flows are sent to remote data
#: centres, since the differences between data centres are random.
MIN_RATE = 20.0

#: Number of placed flows of a service above which their counts are halved.
_MAX_COUNTED_FLOWS = 100


class RateMeter:
    """Measure the requests per second that pass this balancer, by service."""

    def __init__(self) -> None:
        """Start without requests."""
        self.by_service: dict[str, float] = {}
        self._intervals = 0
        self._seen_by_service: dict[str, int] = {}

    @property
    def settled(self) -> bool:
        """Whether there were enough intervals since the start for usable rates.

        Without this, when all hosts start and traffic returns to one data centre a second before
        another, the first would send flows away.
        """
        return self._intervals >= _SETTLED_INTERVALS

    def update(self, requests_by_service: Mapping[str, int]) -> None:
        """Update the rates, given the total numbers of requests one interval later."""
        self._intervals += 1
        for service, requests in requests_by_service.items():
            newest = (requests - self._seen_by_service.get(service, 0)) / UPDATE_INTERVAL_S
            self._seen_by_service[service] = requests
            self.by_service[service] = _smoothed(self.by_service.get(service), newest)


class Balance:
    """Hold which share of a service's new flows goes to which remote data centre.

    A data centre serves up to `tolerated_ratio` times its share of the requests itself.  Beyond
    that, flows are sent away once its upstreams have `min_sharing_load` requests in progress per
    slot.  Shares are updated at `next_update_at`.  `computes_shares` is whether this balancer
    computes them itself, since other data centres report their demand to it.
    """

    def __init__(self, host: str = '') -> None:
        """Start with all flows of `host` in the local data centre."""
        self.host = host
        self.next_update_at: float = 0
        self.computes_shares = False
        self.tolerated_ratio: float = 1
        self.min_sharing_load: float = 0
        self._strained: set[str] = set()
        self.meter = RateMeter()
        self._shares_by_service: dict[str, dict[str, float]] = {}
        self._placed_by_service: dict[str, dict[str, float]] = {}

    @property
    def shares(self) -> tuple[FlowShare, ...]:
        """Shares in force."""
        return tuple(
            FlowShare(service, centre, share)
            for service, share_by_centre in self._shares_by_service.items()
            for centre, share in share_by_centre.items()
        )

    def adopt(self, shares: tuple[FlowShare, ...]) -> None:
        """Put shares in force that this host or a neighbour computed."""
        self._shares_by_service = {}
        for share in shares:
            by_centre = self._shares_by_service.setdefault(share.service, {})
            by_centre[share.data_centre] = share.share

    def adopt_strained(
        self, shares: tuple[FlowShare, ...], local_loads: Mapping[str, float]
    ) -> None:
        """Put the `shares` of locally strained services in force."""
        self.adopt(self.filter_strained(shares, local_loads))

    def filter_strained(
        self,
        shares: tuple[FlowShare, ...],
        local_loads: Mapping[str, float],
    ) -> tuple[FlowShare, ...]:
        """Return those of the `shares` whose services are strained in the local data centre.

        A service becomes strained when its load reaches `min_sharing_load`.  It remains so until
        there are no `shares` for it, since sending flows away reduces the load immediately.
        """
        above = {share.service for share in shares}
        self._strained = {
            service
            for service in above
            if service in self._strained or local_loads.get(service, 0) >= self.min_sharing_load
        }
        return tuple(share for share in shares if share.service in self._strained)

    def centre_of_next(self, service: str) -> str | None:
        """Return the data centre that is to get the next flow, None for the local one."""
        placed = self._placed_by_service.get(service, {})
        total = sum(placed.values()) + 1
        for centre, share in self._shares_by_service.get(service, {}).items():
            if placed.get(centre, 0) < share * total:
                return centre
        return None

    def sends_remote(self, service: str) -> bool:
        """Whether a share of a service's new flows goes to remote data centres."""
        return bool(self._shares_by_service.get(service))

    def note_placed(self, service: str, centre: str) -> None:
        """Count a flow placed in a data centre."""
        placed = self._placed_by_service.setdefault(service, {})
        placed[centre] = placed.get(centre, 0) + 1
        if sum(placed.values()) > _MAX_COUNTED_FLOWS:
            for name in placed:
                placed[name] /= 2


def compute_shares(
    directory: Directory,
    local_centre: str,
    rates_by_centre: Mapping[str, Mapping[str, float]],
    tolerated_ratio: float,
) -> tuple[FlowShare, ...]:
    """Return the shares that follow from the demand of the callers of each data centre."""
    shares: list[FlowShare] = []
    for service in rates_by_centre[local_centre]:
        rate_by_centre = {
            centre: rate_by_service.get(service, 0)
            for centre, rate_by_service in rates_by_centre.items()
        }
        capacity_by_centre = directory.pool_members.capacity_by_centre(service)
        share_by_centre = shares_of(
            local_centre, capacity_by_centre, rate_by_centre, tolerated_ratio
        )
        for centre, share in share_by_centre.items():
            shares.append(FlowShare(service, centre, share))
    return tuple(shares)


def load_at(directory: Directory, local_centre: str, service: str) -> float:
    """Return the requests in progress per slot of capacity of a service in `local_centre`."""
    capacity = directory.pool_members.capacity_by_centre(service).get(local_centre, 0)
    if not capacity:
        return 0
    busy = 0
    for upstream in directory.pool_members.of_pool(service, local_centre):
        in_progress = upstream.busy_flows + upstream.busy_at_peers
        if in_progress and upstream.counts_toward_capacity:
            busy += in_progress
    return busy / capacity


def shares_of(
    local_centre: str,
    capacity_by_centre: Mapping[str, float],
    rate_by_centre: Mapping[str, float],
    tolerated_ratio: float,
) -> dict[str, float]:
    """Return the share of the flows of `local_centre` that each remote data centre gets.

    It is empty while the demand of `local_centre` is at most `tolerated_ratio` times its share.
    Only data centres whose rate and capacity are both known are taken into account.
    """
    known = [centre for centre in rate_by_centre if capacity_by_centre.get(centre)]
    capacity = sum(capacity_by_centre[centre] for centre in known)
    rate = sum(rate_by_centre[centre] for centre in known)
    if local_centre not in known or rate < MIN_RATE:
        return {}
    mean = rate / capacity
    above = rate_by_centre[local_centre] - mean * capacity_by_centre[local_centre]
    if rate_by_centre[local_centre] <= tolerated_ratio * mean * capacity_by_centre[local_centre]:
        return {}
    below_by_centre = {
        centre: max(0, mean * capacity_by_centre[centre] - rate_by_centre[centre])
        for centre in known
    }
    free_capacity = sum(below_by_centre.values())
    if free_capacity <= 0:
        return {}
    share = above / rate_by_centre[local_centre] / free_capacity
    return {name: share * below for name, below in below_by_centre.items() if below > 0}


def _smoothed(former: float | None, newest: float) -> float:
    if former is None:
        return newest
    return former + (newest - former) * _NEWEST_WEIGHT
