"""Compose what a balancer tells each of its peers."""

from collections.abc import Mapping
from typing import TypeVar

from bronzekeel.core.routing.answer_counts import ToldCounts
from bronzekeel.core.routing.balance import load_at
from bronzekeel.core.routing.balancing import rates_of_centre
from bronzekeel.core.routing.load_moves import shares_to_report
from bronzekeel.core.routing.load_reports import (
    centre_demand,
    centres_reporting_to_host,
    host_demand,
)
from bronzekeel.core.routing.messages import Evacuated, Heartbeat, PeerAddress
from bronzekeel.core.routing.silence import silent_upstreams
from bronzekeel.core.routing.state import RoutingState


#: Upstreams whose load a heartbeat tells at most, the busiest first.
MOST_LOADS = 24

#: Services whose requests a heartbeat tells at most, the most asked first.  Source: at
#: 15 bytes each, half of what its sender's name and flags take.
MOST_RATES = 8

#: Evacuated data centres that a heartbeat tells at most, whether they have upstreams or not.
#: Source: ten times the data centres of docs/CAPACITY.md; anybody may write to the store, and a
#: heartbeat with thousands of names fits in no datagram.
MOST_EVACUATED = 60

KeyT = TypeVar('KeyT')
FigureT = TypeVar('FigureT', int, float)


def answer_to(state: RoutingState, peer: PeerAddress, now: float) -> Heartbeat:
    """Return the heartbeat that answers a peer's; it names hosts near to that."""
    if peer.data_centre == state.peers.me.data_centre:
        return near_heartbeat(state, now)
    return far_heartbeat(state, state.peers.some_others(peer.data_centre, now), now)


def far_heartbeat(
    state: RoutingState,
    others: tuple[PeerAddress, ...],
    now: float,
) -> Heartbeat:
    """Return what hosts of other data centres need.

    Who this is, how new its views are, what its data centre's callers ask for, and how
    much of its upstreams that takes.
    """
    rate_by_service = _largest(rates_of_centre(state, now), MOST_RATES)
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
        evacuated=_told_evacuated(state),
        asked_by_service=centre_demand(state, now),
        unheard=tuple(sorted(state.demand.moving.unheard.names)),
        direct=state.is_direct(now),
        lost=state.is_lost,
        stopping=state.stopping.asked,
    )


def near_heartbeat(
    state: RoutingState,
    now: float,
    counts: ToldCounts | None = None,
) -> Heartbeat:
    """Return all that a neighbour may use; `counts` only in one that all neighbours get."""
    busy_by_number = {
        number: upstream.busy_flows
        for number, upstream in state.directory.by_number.items()
        if upstream.busy_flows
    }
    return Heartbeat(
        state.peers.me,
        state.text_order,
        state.directory.newest_revision,
        _largest(busy_by_number, MOST_LOADS),
        state.peers.some_others(state.peers.me.data_centre, now),
        _largest(state.balance.meter.by_service, MOST_RATES),
        shares_to_report(state),
        allowances=state.room.allowances if state.room.reckons else None,
        unanswered_by_number=silent_upstreams(state, now),
        callers_by_service=state.demand.callers.reports(
            state.directory.pools_of(state.peers.me.data_centre),
            now,
        ),
        counts=counts,
        asked_by_service=host_demand(state),
        hears=centres_reporting_to_host(state, now),
        evacuated=_told_evacuated(state),
        direct=state.is_direct(now),
        lost=state.is_lost,
        stopping=state.stopping.asked,
    )


def _told_evacuated(state: RoutingState) -> Evacuated:
    """Return what is evacuated; of too many names only those of data centres with upstreams."""
    evacuated = state.evacuated
    if len(evacuated.centres) <= MOST_EVACUATED:
        return evacuated
    return Evacuated(evacuated.as_of, evacuated.centres & state.directory.data_centres)


def _largest(by_key: Mapping[KeyT, FigureT], most: int) -> dict[KeyT, FigureT]:
    """Return the entries with the largest figures, `most` at most."""
    if len(by_key) <= most:
        return dict(by_key)
    return dict(sorted(by_key.items(), key=lambda entry: -entry[1])[:most])
