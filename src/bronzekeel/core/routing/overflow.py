"""Send flows that find no free capacity in their data centre to remote ones that have some.

Without this, when a data centre loses a third of its upstreams or its callers demand more than
those of others, its callers wait and are refused while remote upstreams idle. The symptom is
refusals in one data centre and none in the others.

Data centres report to each other how many requests are in progress for each of their slots. Only
requests of local callers count: the reported free capacity does not shrink because remote callers
use it, so the allowances do not oscillate.
"""

from collections.abc import Container, Iterable, Mapping

from bronzekeel.core.routing.directory import Directory
from bronzekeel.core.routing.messages import Allowance
from bronzekeel.core.routing.pools import NO_LIMIT, REQUESTS_PER_SLOT


#: Requests in progress a slot up to which a data centre accepts flows of remote callers: a little
#: less than the load from which its own callers wait. A flow that crosses must find a slot that is
#: about to be free, and local callers go first.
ACCEPTING_LOAD = 1.75

#: Requests in progress a slot from which a data centre may send flows to remote ones.
FULL_LOAD = 1.0

#: How many times its own slots a data centre must be short of to claim remote ones. With less,
#: data centres that differ a little send each other flows in every overload, and what one gains
#: the next loses.
CLAIM_FACTOR = 1.0

#: Requests that a balancer without local upstreams may have in progress at each remote data
#: centre, whatever free capacity is reported: as for local pools, where a share is at least one.
MIN_REMOTE_REQUESTS = 1.0

#: Interval in seconds at which allowances are computed: that of heartbeats.
ALLOWANCE_INTERVAL_S = 0.25


class RemoteCapacity:
    """Hold the allowances in other data centres, as computed here or reported last.

    This balancer computes them itself (`computes_allowances`) when other data centres report their
    loads to it.
    """

    __slots__ = ('allowances', 'computes_allowances', 'update_at')

    def __init__(self) -> None:
        """Start without allowances."""
        self.allowances: tuple[Allowance, ...] = ()
        self.update_at: float = 0
        self.computes_allowances = False


def allowances_of(
    directory: Directory,
    local_centre: str,
    load_by_service_by_centre: Mapping[str, Mapping[str, float]],
    rates_by_centre: Mapping[str, Mapping[str, float]],
) -> tuple[Allowance, ...]:
    """Return how many requests of local callers may be in progress in remote data centres.

    The free capacity of each remote data centre is divided equally among all that have none
    themselves. An allowance is never less than the claim that follows from the demand of the
    callers of all data centres (see ``claims_of``).
    """
    services = {name for loads in load_by_service_by_centre.values() for name in loads}
    allowances: list[Allowance] = []
    for service in sorted(services):
        load_by_centre = _of_service(service, load_by_service_by_centre)
        rate_by_centre = _of_service(service, rates_by_centre)
        capacity_by_centre = directory.pool_members.capacity_by_centre(service)
        claims = claims_of(local_centre, capacity_by_centre, rate_by_centre)
        for centre, free in free_capacity_by_centre(capacity_by_centre, load_by_centre).items():
            requests = max(free, claims.get(centre, 0) * REQUESTS_PER_SLOT)
            allowances.append(Allowance(service, centre, requests))
    return tuple(allowances)


def _of_service(
    service: str,
    figures_by_centre: Mapping[str, Mapping[str, float]],
) -> dict[str, float]:
    return {centre: figures.get(service, 0) for centre, figures in figures_by_centre.items()}


def free_capacity_by_centre(
    capacity_by_centre: Mapping[str, float],
    load_by_centre: Mapping[str, float],
) -> dict[str, float]:
    """Return the requests that each data centre has free capacity for, by its load.

    It is divided equally among this data centre and all that have no free capacity.
    """
    sharers = 1 + sum(load >= FULL_LOAD for load in load_by_centre.values())
    return {
        centre: max(0, ACCEPTING_LOAD - load) * capacity_by_centre.get(centre, 0) / sharers
        for centre, load in load_by_centre.items()
    }


def claims_of(
    local_centre: str,
    capacity_by_centre: Mapping[str, float],
    rate_by_centre: Mapping[str, float],
    factor: float = CLAIM_FACTOR,
) -> dict[str, float]:
    """Return the remote slots that the callers at `local_centre` may claim, by data centre.

    Without this, a data centre that has lost its upstreams gets only what others leave, which is
    nothing in an overload, and all of its callers are refused.
    """
    rate = sum(rate_by_centre.values())
    capacity = sum(capacity_by_centre.get(centre, 0) for centre in rate_by_centre)
    if not rate or not capacity:
        return {}
    due_by_centre = {centre: capacity * demand / rate for centre, demand in rate_by_centre.items()}
    own = capacity_by_centre.get(local_centre, 0)
    claimed = due_by_centre.get(local_centre, 0) - own
    spare_by_centre = _spare_of(capacity_by_centre, due_by_centre)
    spare = sum(spare_by_centre.values())
    if not spare or claimed < own * factor:
        return {}
    return {centre: claimed * unused / spare for centre, unused in spare_by_centre.items()}


def _spare_of(
    capacity_by_centre: Mapping[str, float],
    due_by_centre: Mapping[str, float],
) -> dict[str, float]:
    """Return the capacity of each data centre beyond the part due to its own callers."""
    return {
        centre: max(0, capacity_by_centre.get(centre, 0) - due)
        for centre, due in due_by_centre.items()
    }


def apply_allowances(
    directory: Directory,
    local_centre: str,
    allowances: Iterable[Allowance],
    share_by_service: Mapping[str, float],
    without_upstreams: Container[str],
) -> None:
    """Set this balancer's share of the requests that its data centre may have in progress remotely.

    The allowance limits flows that found no free capacity locally, and all flows of the services
    `without_upstreams` in this data centre.
    """
    pools = directory.remote_pools(local_centre)
    for remote in pools.values():
        remote.allowance = 0
        remote.limit = NO_LIMIT
    for allowance in allowances:
        pool = pools.get((allowance.service, allowance.data_centre))
        if pool is None:
            continue
        pool.allowance = allowance.requests * share_by_service[allowance.service]
        if allowance.service in without_upstreams:
            pool.limit = max(pool.allowance, MIN_REMOTE_REQUESTS)
