"""Update how much load may move to other data centres, for services whose demand is controlled."""

from bronzekeel.core.routing.balance import load_at
from bronzekeel.core.routing.effects import Effect
from bronzekeel.core.routing.load_reports import (
    centre_demand,
    centres_reporting,
    controlled_services,
    has_unserved_demand,
)
from bronzekeel.core.routing.messages import Allowance, FlowShare, Heartbeat, ServiceDemand
from bronzekeel.core.routing.moving_load import REPORT_VALID_S, CentreReport, LevelKey
from bronzekeel.core.routing.peers import Peer
from bronzekeel.core.routing.relays import QUEUEING_RELAY_S
from bronzekeel.core.routing.state import RoutingState


_NO_DEMAND = ServiceDemand(0, 0)

#: Marks a share among the levels. It counts as so many flows that a change by a tenth of all is
#: reported early.
_SHARE = 'share'
_SHARE_SCALE = 10


def update_load(state: RoutingState, now: float) -> list[Effect]:
    """Sample the demand, and detect changes that peers should receive at once."""
    moving = state.demand.moving
    services = controlled_services(state)
    if not services:
        return []
    requests_by_service = state.flows.requests_by_service
    if moving.demand_meter.sample(services, requests_by_service, state.directory, now):
        moving.load_by_service = _local_loads(state, services)
        moving.remote_changes.note(moving.full_services(), now)
        moving.lost_centres.note(centres_reporting(state, now), now)
    moving.local_changes.note(_levels_for_peers(state, services), now)
    return moving.remote_flows.poll(now)


def expedite_allowances(state: RoutingState, heartbeat: Heartbeat) -> None:
    """Recompute allowances at the next tick if a heartbeat may have changed them."""
    has_allowances = heartbeat.allowances is not None
    is_remote = heartbeat.sender.data_centre != state.peers.me.data_centre
    if state.controls_demand and heartbeat.demand_by_service and (has_allowances or is_remote):
        state.remote_capacity.update_at = 0


def needs_frequent_reports(state: RoutingState, now: float) -> bool:
    """Whether other data centres get reports more often than in calm periods."""
    if state.directory.is_queueing(state.peers.me.data_centre, now):
        return True
    if not state.demand.moving.demand_meter.by_service:
        return False
    frequent_until = state.demand.moving.remote_changes.changed_at + QUEUEING_RELAY_S
    return now < frequent_until or has_unserved_demand(state, now)


def adopt_shares(state: RoutingState, shares: tuple[FlowShare, ...]) -> None:
    """Apply shares, unless ``update_moving_shares`` computes them from the newest demand.

    Where operators set equal work, all shares are applied.
    """
    if not state.balance.min_sharing_load or not state.controls_demand:
        state.balance.adopt(shares)


def update_moving_shares(state: RoutingState, now: float) -> None:
    """Set the shares of flows that leave because they could not be served in time locally.

    A host that receives reports of all data centres that its neighbours receive computes the shares
    itself; the others adopt those of a neighbour that does.
    """
    moving = state.demand.moving
    services = controlled_services(state)
    if not services or not state.balance.min_sharing_load:
        return
    heartbeat_by_centre = state.relays.remote_reports(now, REPORT_VALID_S)
    complete = bool(heartbeat_by_centre) and set(heartbeat_by_centre) >= set(
        centres_reporting(state, now)
    )
    moving.computed_shares = (
        _shares_of(state, services, heartbeat_by_centre, now) if complete else ()
    )
    shares = moving.computed_shares if complete else _shares_from_peers(state, now)
    state.balance.adopt(shares)


def shares_to_report(state: RoutingState) -> tuple[FlowShare, ...] | None:
    """Return the shares that were computed here, None if this host receives too little for it.

    Shares that neighbours reported are left out; otherwise hosts would repeat each other's shares
    endlessly.
    """
    if not state.balance.computes_shares:
        return None
    if not state.balance.min_sharing_load or not state.controls_demand:
        return state.balance.shares
    return state.demand.moving.computed_shares


def _shares_from_peers(state: RoutingState, now: float) -> tuple[FlowShare, ...]:
    """Return the shares of the neighbour that receives most, unless its report is old."""
    shares: tuple[FlowShare, ...] = ()
    most: tuple[int, float] = (0, 0)
    for peer in _recent_peers(state, now):
        if peer.heartbeat is None or peer.heartbeat.shares is None:
            continue
        received = (len(peer.heartbeat.hears), peer.last_seen_at)
        if received > most:
            most = received
            shares = peer.heartbeat.shares
    return shares


def _recent_peers(state: RoutingState, now: float) -> list[Peer]:
    """Return the neighbours whose reports are still valid, the newest last."""
    recent = [
        peer
        for peer in state.peers.live_neighbours(now)
        if now < peer.last_seen_at + REPORT_VALID_S
    ]
    return sorted(recent, key=lambda peer: peer.last_seen_at)


def _shares_of(
    state: RoutingState,
    services: list[str],
    heartbeat_by_centre: dict[str, Heartbeat],
    now: float,
) -> tuple[FlowShare, ...]:
    local_centre = state.peers.me.data_centre
    demand_by_service = centre_demand(state, now) or {}
    shares: list[FlowShare] = []
    for service in services:
        rate_by_centre = _rates_of(service, local_centre, heartbeat_by_centre)
        rate_by_centre[local_centre] = demand_by_service.get(service, _NO_DEMAND).rate
        capacity_by_centre = state.directory.pool_members.capacity_by_centre(service)
        load = load_at(state.directory, local_centre, service)
        by_centre = state.demand.moving.shares.shares_of(
            service, local_centre, capacity_by_centre, rate_by_centre, load, now
        )
        shares.extend(FlowShare(service, centre, share) for centre, share in by_centre.items())
    return tuple(shares)


def _rates_of(
    service: str, local_centre: str, heartbeat_by_centre: dict[str, Heartbeat]
) -> dict[str, float]:
    """Return the demand in the data centres that receive reports of this one."""
    rate_by_centre: dict[str, float] = {}
    for centre, heartbeat in heartbeat_by_centre.items():
        demand_by_service = heartbeat.demand_by_service or {}
        if local_centre not in heartbeat.unheard and service in demand_by_service:
            rate_by_centre[centre] = demand_by_service[service].rate
    return rate_by_centre


def recompute_allowances(
    state: RoutingState,
    allowances: tuple[Allowance, ...],
    now: float,
) -> tuple[Allowance, ...]:
    """Recompute those of the `allowances` that belong to services whose demand is controlled.

    Data centres whose hosts run an older version report no demand; their allowances stay.
    """
    services = controlled_services(state)
    if not services:
        return allowances
    heartbeat_by_centre = state.relays.remote_reports(now, REPORT_VALID_S)
    relays = state.relays
    former = {one for one in relays.remote_loads(now) if not relays.reports_demand(one)}
    recomputed = [
        allowance
        for allowance in allowances
        if allowance.service not in services or allowance.data_centre in former
    ]
    for service in services:
        recomputed.extend(_allowances_of(state, service, heartbeat_by_centre, now))
    return tuple(recomputed)


def allowances_in_force(state: RoutingState, now: float) -> tuple[Allowance, ...]:
    """Return the allowances computed here, and recent ones that only neighbours could compute.

    Where demand is not controlled, they are all from one source.
    """
    if not state.controls_demand:
        return state.remote_capacity.allowances
    by_target: dict[tuple[str, str], Allowance] = {}
    for peer in _recent_peers(state, now):
        for reported in (peer.heartbeat and peer.heartbeat.allowances) or ():
            by_target[(reported.service, reported.data_centre)] = reported
    for own in (
        state.remote_capacity.allowances if state.remote_capacity.computes_allowances else ()
    ):
        by_target[(own.service, own.data_centre)] = own
    return tuple(by_target.values())


def _allowances_of(
    state: RoutingState,
    service: str,
    heartbeat_by_centre: dict[str, Heartbeat],
    now: float,
) -> list[Allowance]:
    local_centre = state.peers.me.data_centre
    report_by_centre = {
        centre: _report_of(heartbeat, service, local_centre)
        for centre, heartbeat in heartbeat_by_centre.items()
        if heartbeat.demand_by_service and service in heartbeat.demand_by_service
    }
    own = (centre_demand(state, now) or {}).get(service, _NO_DEMAND)
    capacity_by_centre = state.directory.pool_members.capacity_by_centre(service)
    remote_allowances = state.demand.moving.remote_allowances
    return remote_allowances.allowances_of(
        service, local_centre, own.rate, report_by_centre, capacity_by_centre, now
    )


def _report_of(heartbeat: Heartbeat, service: str, local_centre: str) -> CentreReport:
    demand = (heartbeat.demand_by_service or {}).get(service, _NO_DEMAND)
    load = heartbeat.load_by_service.get(service, 0)
    return CentreReport(
        load, demand.rate, demand.unserved, receives_reports=local_centre not in heartbeat.unheard
    )


def _local_loads(state: RoutingState, services: list[str]) -> dict[str, float]:
    local_centre = state.peers.me.data_centre
    return {service: load_at(state.directory, local_centre, service) for service in services}


def _levels_for_peers(
    state: RoutingState,
    services: list[str],
) -> dict[LevelKey, float]:
    """Return the waiting requests, and the allowances and shares if they are computed here."""
    levels: dict[LevelKey, float] = {
        service: sum(pool.waiting for pool in state.directory.pools_by_service[service].values())
        for service in services
    }
    if state.remote_capacity.computes_allowances:
        for allowance in state.remote_capacity.allowances:
            levels[(allowance.service, allowance.data_centre)] = allowance.requests
    for share in state.demand.moving.computed_shares:
        levels[(share.service, share.data_centre, _SHARE)] = share.share * _SHARE_SCALE
    return levels
