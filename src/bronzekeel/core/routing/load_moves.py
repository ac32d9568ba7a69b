"""Keep up where load that moves may go, for the services whose demand is controlled."""

from collections.abc import Hashable

from bronzekeel.core.routing.balance import capacity_by_centre_of, load_at
from bronzekeel.core.routing.effects import Effect
from bronzekeel.core.routing.load_words import (
    asked_of_centre,
    controlled_services,
    is_centre_lacking,
)
from bronzekeel.core.routing.messages import Allowance, Asked, FlowShare, Heartbeat
from bronzekeel.core.routing.moving_load import ROOM_WORD_S, CentreWord, whole_part
from bronzekeel.core.routing.peers import rank_of
from bronzekeel.core.routing.relays import RELAY_S
from bronzekeel.core.routing.state import RoutingState


_NOTHING_ASKED = Asked(0, 0)


def look_at_load(state: RoutingState, now: float) -> list[Effect]:
    """Count what is asked, and notice what others should hear at once."""
    moving = state.demand.moving
    services = controlled_services(state)
    if not services:
        return []
    requests_by_service = state.flows.requests_by_service
    if moving.asked.look(services, requests_by_service, state.directory, now):
        moving.far_news.note(_far_levels(state, services), now)
    moving.near_news.note(_near_levels(state, services), now)
    return moving.departures.look(now)


def hasten_room(state: RoutingState, heartbeat: Heartbeat) -> None:
    """Reckon room at the next tick if a heartbeat may have told of another."""
    told = heartbeat.allowances is not None
    far = heartbeat.sender.data_centre != state.peers.me.data_centre
    if heartbeat.asked_by_service and (told or far):
        state.room.reckon_at = 0


def is_hurried(state: RoutingState, now: float) -> bool:
    """Whether other data centres are to be told more often than in calm."""
    if state.directory.is_strained(state.peers.me.data_centre, now):
        return True
    if not state.demand.moving.asked.by_service:
        return False
    return now < state.demand.moving.far_news.changed_at + RELAY_S or is_centre_lacking(state, now)


def shares_in_force(state: RoutingState, shares: tuple[FlowShare, ...]) -> tuple[FlowShare, ...]:
    """Leave out the shares of services whose flows leave only where home has no room.

    Where operators ask for equal work, all shares count.
    """
    if not state.balance.bearable:
        return shares
    return tuple(share for share in shares if not state.controls_demand(share.service))


def moved_allowances(
    state: RoutingState,
    allowances: tuple[Allowance, ...],
    now: float,
) -> tuple[Allowance, ...]:
    """Reckon those of the `allowances` anew whose services' demand is controlled.

    Data centres whose hosts are of a former version tell nothing of it; theirs stay as they are.
    """
    services = controlled_services(state)
    if not services:
        return allowances
    words = state.relays.words_elsewhere(now, ROOM_WORD_S)
    relays = state.relays
    former = {one for one in relays.loads_elsewhere(now) if not relays.tells_asked(one)}
    kept = [
        allowance
        for allowance in allowances
        if allowance.service not in services or allowance.data_centre in former
    ]
    for service in services:
        kept.extend(_allowances_of(state, service, words, now))
    return tuple(kept)


def believed_allowances(state: RoutingState, now: float) -> tuple[Allowance, ...]:
    """Return what neighbours reckoned, without what is too old for moving load."""
    allowances = state.peers.allowances_near(now)
    if now < state.peers.allowances_told_at(now) + ROOM_WORD_S:
        return allowances
    return tuple(one for one in allowances if not state.controls_demand(one.service))


def split_allowances(state: RoutingState, homeless: set[str], now: float) -> None:
    """Give this balancer whole requests of its data centre's allowances.

    Flows that have no upstream at home keep their part, however small.
    """
    me = state.peers.me
    names = [me.name, *(peer.address.name for peer in state.peers.living(now))]
    names.sort(key=rank_of)
    place = names.index(me.name)
    for (service, _), pool in state.directory.pools_elsewhere(me.data_centre).items():
        if service not in homeless and state.controls_demand(service):
            pool.allowance = whole_part(pool.allowance, place)


def _allowances_of(
    state: RoutingState,
    service: str,
    heartbeat_by_centre: dict[str, Heartbeat],
    now: float,
) -> list[Allowance]:
    home = state.peers.me.data_centre
    word_by_centre = {
        centre: _word_of(heartbeat, service, home)
        for centre, heartbeat in heartbeat_by_centre.items()
        if heartbeat.asked_by_service and service in heartbeat.asked_by_service
    }
    own = (asked_of_centre(state, now) or {}).get(service, _NOTHING_ASKED)
    capacity_by_centre = capacity_by_centre_of(state.directory.of_service(service))
    room = state.demand.moving.room
    return room.allowances_of(service, home, own.rate, word_by_centre, capacity_by_centre, now)


def _word_of(heartbeat: Heartbeat, service: str, home: str) -> CentreWord:
    asked = (heartbeat.asked_by_service or {}).get(service, _NOTHING_ASKED)
    load = heartbeat.load_by_service.get(service, 0)
    return CentreWord(load, asked.rate, asked.lacking, hears=home in heartbeat.hears)


def _far_levels(state: RoutingState, services: list[str]) -> dict[Hashable, float]:
    """Return the load at home of each service."""
    home = state.peers.me.data_centre
    return {service: load_at(state.directory, home, service) for service in services}


def _near_levels(state: RoutingState, services: list[str]) -> dict[Hashable, float]:
    """Return how many requests wait here, and the room elsewhere if it is reckoned here."""
    levels: dict[Hashable, float] = {
        service: sum(pool.waiting for pool in state.directory.pools_by_service[service].values())
        for service in services
    }
    if state.room.reckons:
        for allowance in state.room.allowances:
            levels[(allowance.service, allowance.data_centre)] = allowance.requests
    return levels
