"""Collect what the hosts of a data centre know of its load, for reports to others."""

from bronzekeel.core.routing.demand_meter import total_demand
from bronzekeel.core.routing.messages import ServiceDemand
from bronzekeel.core.routing.moving_load import REPORT_VALID_S
from bronzekeel.core.routing.state import RoutingState


#: Most services whose demand is reported: as many as rates in heartbeats.
MAX_DEMAND_SERVICES = 8

#: Share of a second's requests that must wait or be refused for a data centre to count as short of
#: capacity. Fewer wait by chance at single hosts while others have free capacity.
UNSERVED_SHARE = 0.05


def controlled_services(state: RoutingState) -> list[str]:
    """Return the services with upstreams, none unless demand is controlled."""
    return list(state.directory.pools_by_service) if state.controls_demand else []


def host_demand(state: RoutingState) -> dict[str, ServiceDemand] | None:
    """Return the demand of this host's callers by service; empty before it is known.

    None if demand is not controlled.
    """
    if not controlled_services(state):
        return None
    return _largest(state.demand.moving.demand_meter.by_service or {})


def centre_demand(state: RoutingState, now: float) -> dict[str, ServiceDemand] | None:
    """Return the demand of all callers of this data centre, as ``host_demand`` does."""
    own = host_demand(state)
    if not own:
        return own
    at_peers = [
        peer.heartbeat.demand_by_service
        for peer in state.peers.live_neighbours(now)
        if peer.heartbeat is not None and peer.heartbeat.demand_by_service is not None
    ]
    return _largest(total_demand([own, *at_peers]))


def has_unserved_demand(state: RoutingState, now: float) -> bool:
    """Whether too many requests of this data centre wait or were refused.

    Only services whose demand is controlled count.
    """
    demand = centre_demand(state, now) or {}
    return any(one.unserved > one.rate * UNSERVED_SHARE for one in demand.values())


def centres_reporting_to_host(state: RoutingState, now: float) -> tuple[str, ...]:
    """Return the data centres of which this host has received reports recently."""
    if not host_demand(state):
        return ()
    return tuple(sorted(state.relays.remote_reports(now, REPORT_VALID_S)))


def centres_reporting(state: RoutingState, now: float) -> tuple[str, ...]:
    """Return the data centres of which some local host has received reports recently."""
    centres = set(centres_reporting_to_host(state, now))
    for peer in state.peers.live_neighbours(now):
        if peer.heartbeat is not None:
            centres.update(peer.heartbeat.hears)
    return tuple(sorted(centres))


def _largest(demand_by_service: dict[str, ServiceDemand]) -> dict[str, ServiceDemand]:
    """Return the services with the highest demand, ``MAX_DEMAND_SERVICES`` at most."""
    services = sorted(demand_by_service, key=lambda service: -demand_by_service[service].rate)
    return {service: demand_by_service[service] for service in services[:MAX_DEMAND_SERVICES]}
