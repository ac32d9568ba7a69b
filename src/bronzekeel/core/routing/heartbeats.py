"""Compose the heartbeats that a balancer sends to its peers."""

from collections.abc import Mapping
from typing import TypeVar

from bronzekeel.core.routing.answer_counts import ReportedCounts
from bronzekeel.core.routing.balance import load_at
from bronzekeel.core.routing.balancing import rates_of_centre
from bronzekeel.core.routing.load_moves import shares_to_report
from bronzekeel.core.routing.load_reports import (
    centre_demand,
    centres_reporting_to_host,
    host_demand,
)
from bronzekeel.core.routing.messages import Evacuated, Heartbeat, PeerAddress
from bronzekeel.core.routing.state import RoutingState
from bronzekeel.core.routing.unresponsive import unresponsive_upstreams


#: Maximum number of upstreams whose load a heartbeat reports, the busiest first.
MAX_LOADS = 24

#: Maximum number of services whose request rate a heartbeat reports, the highest first.  At 15
#: bytes each, they take half of the size of the sender's name and flags.
MAX_RATES = 8

#: Maximum number of evacuated data centres that a heartbeat reports, with or without upstreams.
#: This is ten times the data centres of docs/CAPACITY.md.  Anybody may write to the store, and a
#: heartbeat with thousands of names fits in no datagram.
MAX_EVACUATED = 60

KeyT = TypeVar('KeyT')
NumberT = TypeVar('NumberT', int, float)


def reply_to(state: RoutingState, peer: PeerAddress, now: float) -> Heartbeat:
    """Return the heartbeat that answers a peer's; it names hosts of the peer's data centre."""
    if peer.data_centre == state.peers.me.data_centre:
        return local_heartbeat(state, now)
    return remote_heartbeat(state, state.peers.peers_to_name(peer.data_centre, now), now)


def remote_heartbeat(
    state: RoutingState,
    others: tuple[PeerAddress, ...],
    now: float,
) -> Heartbeat:
    """Return the heartbeat for hosts of other data centres.

    It has this balancer's address, how new its views are, the demand of its data centre's callers,
    and how much of its upstreams that takes.
    """
    rate_by_service = _largest(rates_of_centre(state, now), MAX_RATES)
    return Heartbeat(
        state.peers.me,
        state.text_order,
        state.directory.newest_revision,
        {},
        others,
        rate_by_service,
        load_by_service={
            service: load_at(state.directory, state.peers.me.data_centre, service)
            for service in rate_by_service
        },
        evacuated=_announced_evacuated(state),
        demand_by_service=centre_demand(state, now),
        unheard=tuple(sorted(state.demand.moving.lost_centres.names)),
        direct=state.is_direct(now),
        lost=state.is_lost,
        stopping=state.stopping.is_requested,
    )


def local_heartbeat(
    state: RoutingState,
    now: float,
    counts: ReportedCounts | None = None,
) -> Heartbeat:
    """Return the heartbeat for neighbours; `counts` only in one that all neighbours get."""
    busy_by_number = {
        number: upstream.busy_flows
        for number, upstream in state.directory.by_number.items()
        if upstream.busy_flows
    }
    return Heartbeat(
        state.peers.me,
        state.text_order,
        state.directory.newest_revision,
        _largest(busy_by_number, MAX_LOADS),
        state.peers.peers_to_name(state.peers.me.data_centre, now),
        _largest(state.balance.meter.by_service, MAX_RATES),
        shares_to_report(state),
        allowances=state.remote_capacity.allowances
        if state.remote_capacity.computes_allowances
        else None,
        unanswered_by_number=unresponsive_upstreams(state, now),
        callers_by_service=state.demand.callers.reports(
            state.directory.pools_of(state.peers.me.data_centre),
            now,
        ),
        counts=counts,
        demand_by_service=host_demand(state),
        hears=centres_reporting_to_host(state, now),
        evacuated=_announced_evacuated(state),
        direct=state.is_direct(now),
        lost=state.is_lost,
        stopping=state.stopping.is_requested,
    )


def _announced_evacuated(state: RoutingState) -> Evacuated:
    """Return the evacuations; if there are too many, only data centres with upstreams."""
    evacuated = state.evacuated
    if len(evacuated.centres) <= MAX_EVACUATED:
        return evacuated
    return Evacuated(evacuated.as_of, evacuated.centres & state.directory.data_centres)


def _largest(by_key: Mapping[KeyT, NumberT], maximum: int) -> dict[KeyT, NumberT]:
    """Return the entries with the largest values, at most `maximum`."""
    if len(by_key) <= maximum:
        return dict(by_key)
    return dict(sorted(by_key.items(), key=lambda entry: -entry[1])[:maximum])
