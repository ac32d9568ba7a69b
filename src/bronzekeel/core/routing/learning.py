"""Learn capacities from the answers of this host and of neighbours if demand is controlled."""

from bronzekeel.core.routing.effects import Effect
from bronzekeel.core.routing.messages import Heartbeat
from bronzekeel.core.routing.state import RoutingState


def learn_capacities(state: RoutingState, now: float) -> list[Effect]:
    """Mark the controlled pools and update the capacities of their upstreams."""
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
    """Apply the answer counts that a neighbour reports for the local data centre."""
    sender = heartbeat.sender
    if heartbeat.counts is None or sender.data_centre != state.peers.me.data_centre:
        return
    state.demand.capacities.add_report(sender.name, heartbeat.counts, state.directory)
