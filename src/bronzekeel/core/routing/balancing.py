"""Settle where the flows of a data centre go, from what balancers tell each other."""

from bronzekeel.core.routing.admission import capacity_at
from bronzekeel.core.routing.balance import RECKON_S, load_at, reckoned
from bronzekeel.core.routing.load_moves import (
    adopt_shares,
    allowances_in_force,
    recompute_allowances,
    update_moving_shares,
)
from bronzekeel.core.routing.overflow import ALLOWANCE_INTERVAL_S, allowances_of, apply_allowances
from bronzekeel.core.routing.state import RoutingState


def reckon_balance(state: RoutingState, now: float) -> None:
    """Settle once in ``RECKON_S`` where the flows of this data centre are to go.

    The few hosts that other data centres tell reckon it; the others take it from them.
    """
    if now < state.balance.reckon_at:
        return
    state.balance.reckon_at = now + RECKON_S
    state.balance.meter.reckon(state.flows.requests_by_service)
    rates_by_centre = state.relays.rates_elsewhere(now)
    state.balance.reckons = bool(rates_by_centre) and state.balance.meter.settled
    if not state.balance.reckons:
        adopt_shares(state, state.peers.shares_near(now))
        return
    home = state.peers.me.data_centre
    rates_by_centre[home] = rates_of_centre(state, now)
    tolerated = state.balance.tolerated
    shares = reckoned(state.directory, home, rates_by_centre, tolerated)
    loads = {share.service: load_at(state.directory, home, share.service) for share in shares}
    adopt_shares(state, state.balance.settled(shares, loads))


def reckon_room(state: RoutingState, now: float) -> None:
    """Find once in ``ALLOWANCE_INTERVAL_S`` how much room other data centres have.

    The few hosts that other data centres tell reckon it; the others take it from them.
    """
    room = state.room
    if now < room.reckon_at:
        return
    room.reckon_at = now + ALLOWANCE_INTERVAL_S
    load_by_service_by_centre = state.relays.loads_elsewhere(now)
    room.reckons = bool(load_by_service_by_centre)
    home = state.peers.me.data_centre
    if room.reckons:
        rates_by_centre = state.relays.rates_elsewhere(now)
        rates_by_centre[home] = rates_of_centre(state, now)
        reckoned_here = allowances_of(
            state.directory,
            home,
            load_by_service_by_centre,
            rates_by_centre,
        )
        room.allowances = recompute_allowances(state, reckoned_here, now)
    else:
        room.allowances = state.peers.allowances_near(now)
    allowances = allowances_in_force(state, now)
    services = {allowance.service for allowance in allowances}
    shares = {service: state.admission.share_of(service, now) for service in services}
    homeless = {service for service in services if _is_homeless(state, service, now)}
    apply_allowances(state.directory, home, allowances, shares, homeless)
    update_moving_shares(state, now)


def _is_homeless(state: RoutingState, service: str, now: float) -> bool:
    """Whether the own data centre has no upstream of a service that new flows may go to."""
    home = state.peers.me.data_centre
    pool = state.directory.pools_by_service.get(service, {}).get(home)
    if pool is not None and pool.evacuated:
        return True
    return not capacity_at(state.directory.pool_members.of_pool(service, home), home, now)


def rates_of_centre(state: RoutingState, now: float) -> dict[str, float]:
    """Return the requests a second of all callers of this data centre, by service."""
    total = dict(state.balance.meter.by_service)
    for rate_by_service in state.peers.rates_near(now):
        for service, rate in rate_by_service.items():
            total[service] = total.get(service, 0) + rate
    return total
