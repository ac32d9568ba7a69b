"""Keep up where load that moves may go, for the services whose demand is controlled."""

from bronzekeel.core.routing.balance import load_at
from bronzekeel.core.routing.effects import Effect
from bronzekeel.core.routing.load_reports import (
    centre_demand,
    centres_reporting,
    controlled_services,
    has_unserved_demand,
)
from bronzekeel.core.routing.messages import Allowance, Asked, FlowShare, Heartbeat
from bronzekeel.core.routing.moving_load import REPORT_VALID_S, CentreReport, LevelKey
from bronzekeel.core.routing.peers import Peer
from bronzekeel.core.routing.relays import STRAINED_RELAY_S
from bronzekeel.core.routing.state import RoutingState


_NO_DEMAND = Asked(0, 0)

#: Marks a share among levels, which counts as so many flows: a tenth of all is told early.
_SHARE = 'share'
_SHARE_SCALE = 10


def update_load(state: RoutingState, now: float) -> list[Effect]:
    """Count what is asked, and notice what others should hear at once."""
    moving = state.demand.moving
    services = controlled_services(state)
    if not services:
        return []
    requests_by_service = state.flows.requests_by_service
    if moving.asked.sample(services, requests_by_service, state.directory, now):
        moving.load_by_service = _local_loads(state, services)
        moving.remote_changes.note(moving.full_services(), now)
        moving.unheard.note(centres_reporting(state, now), now)
    moving.local_changes.note(_levels_for_peers(state, services), now)
    return moving.departures.look(now)


def expedite_allowances(state: RoutingState, heartbeat: Heartbeat) -> None:
    """Reckon room at the next tick if a heartbeat may have told of another."""
    told = heartbeat.allowances is not None
    far = heartbeat.sender.data_centre != state.peers.me.data_centre
    if state.controls_demand and heartbeat.asked_by_service and (told or far):
        state.room.reckon_at = 0


def needs_frequent_reports(state: RoutingState, now: float) -> bool:
    """Whether other data centres are to be told more often than in calm."""
    if state.directory.is_strained(state.peers.me.data_centre, now):
        return True
    if not state.demand.moving.asked.by_service:
        return False
    hurried_until = state.demand.moving.remote_changes.changed_at + STRAINED_RELAY_S
    return now < hurried_until or has_unserved_demand(state, now)


def adopt_shares(state: RoutingState, shares: tuple[FlowShare, ...]) -> None:
    """Put shares in force, unless they are reckoned by the newest second.

    Where operators ask for equal work, all shares count.
    """
    if not state.balance.bearable or not state.controls_demand:
        state.balance.adopt(shares)


def update_moving_shares(state: RoutingState, now: float) -> None:
    """Settle which flows leave that home could not serve in time, by the newest report.

    A host that hears all data centres that its neighbours hear reckons the shares itself; the
    others take them from one that does.
    """
    moving = state.demand.moving
    services = controlled_services(state)
    if not services or not state.balance.bearable:
        return
    heartbeat_by_centre = state.relays.words_elsewhere(now, REPORT_VALID_S)
    complete = bool(heartbeat_by_centre) and set(heartbeat_by_centre) >= set(
        centres_reporting(state, now)
    )
    moving.computed_shares = (
        _shares_of(state, services, heartbeat_by_centre, now) if complete else ()
    )
    shares = moving.computed_shares if complete else _shares_from_peers(state, now)
    state.balance.adopt(shares)


def shares_to_report(state: RoutingState) -> tuple[FlowShare, ...] | None:
    """Return the shares that were reckoned here, None if this host hears too little for it.

    What goes wrong with shares that neighbours told: hosts repeat each other's for ever.
    """
    if not state.balance.reckons:
        return None
    if not state.balance.bearable or not state.controls_demand:
        return state.balance.shares
    return state.demand.moving.computed_shares


def _shares_from_peers(state: RoutingState, now: float) -> tuple[FlowShare, ...]:
    """Return the shares of the neighbour that hears most, unless its report is old."""
    told: tuple[FlowShare, ...] = ()
    most: tuple[int, float] = (0, 0)
    for peer in _recent_peers(state, now):
        if peer.heartbeat is None or peer.heartbeat.shares is None:
            continue
        heard = (len(peer.heartbeat.hears), peer.newest_at)
        if heard > most:
            most = heard
            told = peer.heartbeat.shares
    return told


def _recent_peers(state: RoutingState, now: float) -> list[Peer]:
    """Return the neighbours whose report of room is still believed, the newest last."""
    lately = [peer for peer in state.peers.living(now) if now < peer.newest_at + REPORT_VALID_S]
    return sorted(lately, key=lambda peer: peer.newest_at)


def _shares_of(
    state: RoutingState,
    services: list[str],
    heartbeat_by_centre: dict[str, Heartbeat],
    now: float,
) -> tuple[FlowShare, ...]:
    home = state.peers.me.data_centre
    asked = centre_demand(state, now) or {}
    shares: list[FlowShare] = []
    for service in services:
        rate_by_centre = _rates_of(service, home, heartbeat_by_centre)
        rate_by_centre[home] = asked.get(service, _NO_DEMAND).rate
        capacity_by_centre = state.directory.pool_members.capacity_by_centre(service)
        load = load_at(state.directory, home, service)
        by_centre = state.demand.moving.shares.shares_of(
            service, home, capacity_by_centre, rate_by_centre, load, now
        )
        shares.extend(FlowShare(service, centre, share) for centre, share in by_centre.items())
    return tuple(shares)


def _rates_of(
    service: str, home: str, heartbeat_by_centre: dict[str, Heartbeat]
) -> dict[str, float]:
    """Return what is asked in the data centres that hear this one."""
    rate_by_centre: dict[str, float] = {}
    for centre, heartbeat in heartbeat_by_centre.items():
        asked = heartbeat.asked_by_service or {}
        if home not in heartbeat.unheard and service in asked:
            rate_by_centre[centre] = asked[service].rate
    return rate_by_centre


def recompute_allowances(
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
    heartbeat_by_centre = state.relays.words_elsewhere(now, REPORT_VALID_S)
    relays = state.relays
    former = {one for one in relays.loads_elsewhere(now) if not relays.tells_asked(one)}
    kept = [
        allowance
        for allowance in allowances
        if allowance.service not in services or allowance.data_centre in former
    ]
    for service in services:
        kept.extend(_allowances_of(state, service, heartbeat_by_centre, now))
    return tuple(kept)


def allowances_in_force(state: RoutingState, now: float) -> tuple[Allowance, ...]:
    """Return what is reckoned here, and what only neighbours lately had report for.

    Where demand is not controlled it is only the one or the other.
    """
    if not state.controls_demand:
        return state.room.allowances
    by_target: dict[tuple[str, str], Allowance] = {}
    for peer in _recent_peers(state, now):
        for told in (peer.heartbeat and peer.heartbeat.allowances) or ():
            by_target[(told.service, told.data_centre)] = told
    for own in state.room.allowances if state.room.reckons else ():
        by_target[(own.service, own.data_centre)] = own
    return tuple(by_target.values())


def _allowances_of(
    state: RoutingState,
    service: str,
    heartbeat_by_centre: dict[str, Heartbeat],
    now: float,
) -> list[Allowance]:
    home = state.peers.me.data_centre
    report_by_centre = {
        centre: _report_of(heartbeat, service, home)
        for centre, heartbeat in heartbeat_by_centre.items()
        if heartbeat.asked_by_service and service in heartbeat.asked_by_service
    }
    own = (centre_demand(state, now) or {}).get(service, _NO_DEMAND)
    capacity_by_centre = state.directory.pool_members.capacity_by_centre(service)
    room = state.demand.moving.room
    return room.allowances_of(service, home, own.rate, report_by_centre, capacity_by_centre, now)


def _report_of(heartbeat: Heartbeat, service: str, home: str) -> CentreReport:
    asked = (heartbeat.asked_by_service or {}).get(service, _NO_DEMAND)
    load = heartbeat.load_by_service.get(service, 0)
    return CentreReport(load, asked.rate, asked.lacking, hears=home not in heartbeat.unheard)


def _local_loads(state: RoutingState, services: list[str]) -> dict[str, float]:
    home = state.peers.me.data_centre
    return {service: load_at(state.directory, home, service) for service in services}


def _levels_for_peers(
    state: RoutingState,
    services: list[str],
) -> dict[LevelKey, float]:
    """Return how many requests wait here, and the room elsewhere if it is reckoned here."""
    levels: dict[LevelKey, float] = {
        service: sum(pool.waiting for pool in state.directory.pools_by_service[service].values())
        for service in services
    }
    if state.room.reckons:
        for allowance in state.room.allowances:
            levels[(allowance.service, allowance.data_centre)] = allowance.requests
    for share in state.demand.moving.computed_shares:
        levels[(share.service, share.data_centre, _SHARE)] = share.share * _SHARE_SCALE
    return levels
