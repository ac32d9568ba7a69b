"""Send flows that find no room in their data centre to another one that has some.

What goes wrong without it: a data centre loses a third of its upstreams, or its callers ask
for more than others' do.  Its callers wait and are refused while upstreams elsewhere idle.
One notices by refusals in one data centre, and none in the others.

Data centres tell each other how many requests are in progress for each of their slots.  That of
their own callers only: what others send there does not count, so the room that is told
does not shrink because it is used, and nothing swings.
"""

from collections.abc import Container, Iterable, Mapping

from bronzekeel.core.routing.directory import Directory
from bronzekeel.core.routing.messages import Allowance
from bronzekeel.core.routing.pools import NO_LIMIT, REQUESTS_A_SLOT


#: Requests in progress a slot up to which a data centre has room for others' callers: a little
#: less than those from which its own callers wait.  Source: a flow that crosses must find a slot
#: that is about to be free, and own callers go first.
ACCEPTING_LOAD = 1.75

#: Requests in progress a slot from which a data centre may look for room elsewhere itself.
FULL_LOAD = 1.0

#: How many times its own slots a data centre must lack to claim others'.  What goes wrong with
#: less: data centres that differ a little send each other flows in every overload, and what
#: is saved in one is lost in the next.
CLAIM_FACTOR = 1.0

#: Requests that a balancer without upstreams at home may have in progress at each other data
#: centre, whatever room is told.  Source: as at home, where a share is one at least.
MIN_REMOTE_REQUESTS = 1.0

#: Interval in seconds at which room elsewhere is reckoned.  Source: that of heartbeats.
ALLOWANCE_INTERVAL_S = 0.25


class RemoteCapacity:
    """Hold what other data centres have room for, as reckoned or told last.

    This balancer `reckons` it when other data centres tell it their loads.
    """

    __slots__ = ('allowances', 'reckon_at', 'reckons')

    def __init__(self) -> None:
        """Start with no room known."""
        self.allowances: tuple[Allowance, ...] = ()
        self.reckon_at: float = 0
        self.reckons = False


def allowances_of(
    directory: Directory,
    home: str,
    load_by_service_by_centre: Mapping[str, Mapping[str, float]],
    rates_by_centre: Mapping[str, Mapping[str, float]],
) -> tuple[Allowance, ...]:
    """Return how many requests of the callers at `home` may be in progress elsewhere.

    It is what others have room for, in equal parts for all that have none themselves, and
    never less than the part of all slots that follows from what the callers of all data
    centres ask for.
    """
    services = {name for loads in load_by_service_by_centre.values() for name in loads}
    allowances: list[Allowance] = []
    for service in sorted(services):
        load_by_centre = _of_service(service, load_by_service_by_centre)
        rate_by_centre = _of_service(service, rates_by_centre)
        capacity_by_centre = directory.pool_members.capacity_by_centre(service)
        claims = claims_of(home, capacity_by_centre, rate_by_centre)
        for centre, room in free_capacity_by_centre(capacity_by_centre, load_by_centre).items():
            requests = max(room, claims.get(centre, 0) * REQUESTS_A_SLOT)
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
    """Return the requests that each data centre has room for, by its load.

    All that have no room themselves get equal parts.
    """
    sharers = 1 + sum(load >= FULL_LOAD for load in load_by_centre.values())
    return {
        centre: max(0, ACCEPTING_LOAD - load) * capacity_by_centre.get(centre, 0) / sharers
        for centre, load in load_by_centre.items()
    }


def claims_of(
    home: str,
    capacity_by_centre: Mapping[str, float],
    rate_by_centre: Mapping[str, float],
    factor: float = CLAIM_FACTOR,
) -> dict[str, float]:
    """Return the slots elsewhere that the callers at `home` may claim, by data centre.

    What goes wrong without it: a data centre that has lost its upstreams gets only what
    others leave, which is nothing in an overload, and all of its callers are refused.
    """
    rate = sum(rate_by_centre.values())
    capacity = sum(capacity_by_centre.get(centre, 0) for centre in rate_by_centre)
    if not rate or not capacity:
        return {}
    due_by_centre = {centre: capacity * asked / rate for centre, asked in rate_by_centre.items()}
    own = capacity_by_centre.get(home, 0)
    claimed = due_by_centre.get(home, 0) - own
    spare_by_centre = _spare_of(capacity_by_centre, due_by_centre)
    spare = sum(spare_by_centre.values())
    if not spare or claimed < own * factor:
        return {}
    return {centre: claimed * unused / spare for centre, unused in spare_by_centre.items()}


def _spare_of(
    capacity_by_centre: Mapping[str, float],
    due_by_centre: Mapping[str, float],
) -> dict[str, float]:
    """Return the capacity of each data centre beyond what is due to its own callers."""
    return {
        centre: max(0, capacity_by_centre.get(centre, 0) - due)
        for centre, due in due_by_centre.items()
    }


def apply_allowances(
    directory: Directory,
    home: str,
    allowances: Iterable[Allowance],
    share_by_service: Mapping[str, float],
    homeless: Container[str],
) -> None:
    """Give this balancer its share of what its data centre may have in progress elsewhere.

    It limits flows that found no room at home, and all flows of services that are
    `homeless`: without upstreams at home.
    """
    pools = directory.pools_elsewhere(home)
    for pool in pools.values():
        pool.allowance = 0
        pool.limit = NO_LIMIT
    for allowance in allowances:
        elsewhere = pools.get((allowance.service, allowance.data_centre))
        if elsewhere is None:
            continue
        elsewhere.allowance = allowance.requests * share_by_service[allowance.service]
        if allowance.service in homeless:
            elsewhere.limit = max(elsewhere.allowance, MIN_REMOTE_REQUESTS)
