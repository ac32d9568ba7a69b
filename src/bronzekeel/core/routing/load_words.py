"""Gather what the hosts of a data centre know of load, to tell others."""

from bronzekeel.core.routing.asked_meter import total_of
from bronzekeel.core.routing.messages import ServiceDemand
from bronzekeel.core.routing.moving_load import ROOM_WORD_S
from bronzekeel.core.routing.state import RoutingState


#: Services of which is told what is asked, at most.  Source: that of rates in heartbeats.
MOST_ASKED = 8

#: Share of a second's requests that must lack room for a data centre to lack it.  Source: fewer
#: wait by chance at single hosts while others have room.
LACKING_SHARE = 0.05


def controlled_services(state: RoutingState) -> list[str]:
    """Return the services with upstreams, none unless demand is controlled."""
    return list(state.directory.pools_by_service) if state.controls_demand else []


def asked_here(state: RoutingState) -> dict[str, ServiceDemand] | None:
    """Return what the callers of this host ask for: nothing before it is known.

    None if demand is not controlled.
    """
    if not controlled_services(state):
        return None
    return _largest(state.demand.moving.asked.by_service or {})


def asked_of_centre(state: RoutingState, now: float) -> dict[str, ServiceDemand] | None:
    """Return the same for all callers of this data centre."""
    own = asked_here(state)
    if not own:
        return own
    near = [
        peer.heartbeat.demand_by_service
        for peer in state.peers.live_neighbours(now)
        if peer.heartbeat is not None and peer.heartbeat.demand_by_service is not None
    ]
    return _largest(total_of([own, *near]))


def is_centre_lacking(state: RoutingState, now: float) -> bool:
    """Whether callers of this data centre lack room of a service whose demand is controlled."""
    asked = asked_of_centre(state, now) or {}
    return any(one.unserved > one.rate * LACKING_SHARE for one in asked.values())


def centres_heard_here(state: RoutingState, now: float) -> tuple[str, ...]:
    """Return the data centres that this host has heard of late."""
    if not asked_here(state):
        return ()
    return tuple(sorted(state.relays.remote_reports(now, ROOM_WORD_S)))


def centres_heard(state: RoutingState, now: float) -> tuple[str, ...]:
    """Return the data centres that some host of this one has heard of late."""
    heard = set(centres_heard_here(state, now))
    for peer in state.peers.live_neighbours(now):
        if peer.heartbeat is not None:
            heard.update(peer.heartbeat.hears)
    return tuple(sorted(heard))


def _largest(demand_by_service: dict[str, ServiceDemand]) -> dict[str, ServiceDemand]:
    """Return what is asked of the services that are asked most, ``MOST_ASKED`` at most."""
    services = sorted(demand_by_service, key=lambda service: -demand_by_service[service].rate)
    return {service: demand_by_service[service] for service in services[:MOST_ASKED]}
