"""Update where the flows of a data centre go from the reports of other balancers."""

from bronzekeel.core.routing.admission import capacity_at
from bronzekeel.core.routing.balance import UPDATE_INTERVAL_S, compute_shares, load_at
from bronzekeel.core.routing.load_moves import (
    adopt_shares,
    allowances_in_force,
    recompute_allowances,
    update_moving_shares,
)
from bronzekeel.core.routing.overflow import ALLOWANCE_INTERVAL_S, allowances_of, apply_allowances
from bronzekeel.core.routing.state import RoutingState


def update_balance(state: RoutingState, now: float) -> None:
    """Update the shares of flows for remote data centres once per ``UPDATE_INTERVAL_S``.

    The few hosts that receive the reports of other data centres compute the shares; the other hosts
    adopt them.
    """
    if now < state.balance.next_update_at:
        return
    state.balance.next_update_at = now + UPDATE_INTERVAL_S
    state.balance.meter.update(state.flows.requests_by_service)
    rates_by_centre = state.relays.remote_rates(now)
    state.balance.computes_shares = bool(rates_by_centre) and state.balance.meter.settled
    if not state.balance.computes_shares:
        adopt_shares(state, state.peers.local_shares(now))
        return
    local_centre = state.peers.me.data_centre
    rates_by_centre[local_centre] = rates_of_centre(state, now)
    tolerated_ratio = state.balance.tolerated_ratio
    shares = compute_shares(state.directory, local_centre, rates_by_centre, tolerated_ratio)
    loads = {
        share.service: load_at(state.directory, local_centre, share.service) for share in shares
    }
    adopt_shares(state, state.balance.filter_strained(shares, loads))


def update_free_capacity(state: RoutingState, now: float) -> None:
    """Update the free capacity of remote data centres once per ``ALLOWANCE_INTERVAL_S``.

    The few hosts that receive the reports of other data centres compute it; the other hosts adopt
    their results.
    """
    remote_capacity = state.remote_capacity
    if now < remote_capacity.update_at:
        return
    remote_capacity.update_at = now + ALLOWANCE_INTERVAL_S
    load_by_service_by_centre = state.relays.remote_loads(now)
    remote_capacity.computes_allowances = bool(load_by_service_by_centre)
    local_centre = state.peers.me.data_centre
    if remote_capacity.computes_allowances:
        rates_by_centre = state.relays.remote_rates(now)
        rates_by_centre[local_centre] = rates_of_centre(state, now)
        local_allowances = allowances_of(
            state.directory,
            local_centre,
            load_by_service_by_centre,
            rates_by_centre,
        )
        remote_capacity.allowances = recompute_allowances(state, local_allowances, now)
    else:
        remote_capacity.allowances = state.peers.local_allowances(now)
    allowances = allowances_in_force(state, now)
    services = {allowance.service for allowance in allowances}
    shares = {service: state.admission.share_of(service, now) for service in services}
    remote_only_services = {
        service for service in services if _has_no_local_upstream(state, service, now)
    }
    apply_allowances(state.directory, local_centre, allowances, shares, remote_only_services)
    update_moving_shares(state, now)


def _has_no_local_upstream(state: RoutingState, service: str, now: float) -> bool:
    """Whether the local data centre has no upstream of a service for new flows."""
    local_centre = state.peers.me.data_centre
    pool = state.directory.pools_by_service.get(service, {}).get(local_centre)
    if pool is not None and pool.evacuated:
        return True
    return not capacity_at(
        state.directory.pool_members.of_pool(service, local_centre), local_centre, now
    )


def rates_of_centre(state: RoutingState, now: float) -> dict[str, float]:
    """Return the requests per second of all callers of this data centre, by service."""
    total = dict(state.balance.meter.by_service)
    for rate_by_service in state.peers.local_rates(now):
        for service, rate in rate_by_service.items():
            total[service] = total.get(service, 0) + rate
    return total
