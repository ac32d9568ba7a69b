"""Gather what the hosts of a data centre know of load, to tell others."""

from bronzekeel.core.routing.demand_meter import total_demand
from bronzekeel.core.routing.messages import Asked
from bronzekeel.core.routing.moving_load import REPORT_VALID_S
from bronzekeel.core.routing.state import RoutingState


#: Services of which is told what is asked, at most.  Source: that of rates in heartbeats.
MAX_DEMAND_SERVICES = 8

#: Share of a second's requests that must lack room for a data centre to lack it.  Source: fewer
#: wait by chance at single hosts while others have room.
UNSERVED_SHARE = 0.05


def controlled_services(state: RoutingState) -> list[str]:
    """Return the services with upstreams, none unless demand is controlled."""
    return list(state.directory.pools_by_service) if state.controls_demand else []


def host_demand(state: RoutingState) -> dict[str, Asked] | None:
    """Return what the callers of this host ask for: nothing before it is known.

    None if demand is not controlled.
    """
    if not controlled_services(state):
        return None
    return _largest(state.demand.moving.asked.by_service or {})


def centre_demand(state: RoutingState, now: float) -> dict[str, Asked] | None:
    """Return the same for all callers of this data centre."""
    own = host_demand(state)
    if not own:
        return own
    near = [
        peer.heartbeat.asked_by_service
        for peer in state.peers.living(now)
        if peer.heartbeat is not None and peer.heartbeat.asked_by_service is not None
    ]
    return _largest(total_demand([own, *near]))


def has_unserved_demand(state: RoutingState, now: float) -> bool:
    """Whether callers of this data centre lack room of a service whose demand is controlled."""
    asked = centre_demand(state, now) or {}
    return any(one.lacking > one.rate * UNSERVED_SHARE for one in asked.values())


def centres_reporting_to_host(state: RoutingState, now: float) -> tuple[str, ...]:
    """Return the data centres that this host has heard of late."""
    if not host_demand(state):
        return ()
    return tuple(sorted(state.relays.words_elsewhere(now, REPORT_VALID_S)))


def centres_reporting(state: RoutingState, now: float) -> tuple[str, ...]:
    """Return the data centres that some host of this one has heard of late."""
    heard = set(centres_reporting_to_host(state, now))
    for peer in state.peers.living(now):
        if peer.heartbeat is not None:
            heard.update(peer.heartbeat.hears)
    return tuple(sorted(heard))


def _largest(asked_by_service: dict[str, Asked]) -> dict[str, Asked]:
    """Return what is asked of the services that are asked most, ``MAX_DEMAND_SERVICES`` at most."""
    services = sorted(asked_by_service, key=lambda service: -asked_by_service[service].rate)
    return {service: asked_by_service[service] for service in services[:MAX_DEMAND_SERVICES]}
