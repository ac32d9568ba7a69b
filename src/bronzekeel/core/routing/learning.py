"""Learn capacities where demand is controlled, from own answers and neighbours' word."""

from bronzekeel.core.routing.effects import Effect
from bronzekeel.core.routing.messages import Heartbeat
from bronzekeel.core.routing.state import RoutingState


def learn_capacities(state: RoutingState, now: float) -> list[Effect]:
    """Say which pools are controlled, and reckon the capacities of their upstreams."""
    local_centre = state.peers.me.data_centre
    controlled = state.controls_demand
    for pool in state.directory.pools_of(local_centre):
        if pool.controlled and not controlled:
            state.demand.capacities.request_update()
        pool.controlled = controlled
    if controlled:
        state.demand.capacities.counts.note_pending(state.flows.pending_requests(), now)
    state.demand.capacities.forget_unknown_hosts(state.peers.by_name)
    return state.demand.capacities.update(state.directory, local_centre, now)


def apply_counts(state: RoutingState, heartbeat: Heartbeat) -> None:
    """Take the answers that a neighbour saw."""
    sender = heartbeat.sender
    if heartbeat.counts is None or sender.data_centre != state.peers.me.data_centre:
        return
    state.demand.capacities.add_report(sender.name, heartbeat.counts, state.directory)
