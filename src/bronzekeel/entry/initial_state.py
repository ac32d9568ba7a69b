"""Initial state of a balancer, built from its settings."""

from bronzekeel.core.routing.cold_starts import ColdStarts
from bronzekeel.core.routing.demand_control import DemandControl
from bronzekeel.core.routing.messages import PeerAddress
from bronzekeel.core.routing.peers import PeerTable
from bronzekeel.core.routing.state import RoutingState
from bronzekeel.entry.settings import EntrySettings


def initial_state(me: PeerAddress, settings: EntrySettings) -> RoutingState:
    """Return the state of the balancer `me` before it has received any view or text."""
    peers = PeerTable(me, settings.seeds)
    cold_starts = ColdStarts(
        peers,
        settings.cold_overage,
        settings.cold_slack,
        alone=not set(settings.seeds).difference((me.address,)),
    )
    state = RoutingState(
        peers,
        settings.stop_within_s,
        region_by_centre=settings.region_by_data_centre,
        cold_starts=cold_starts,
        demand_control=DemandControl(settings.demand_control),
    )
    state.demand.callers.bits = settings.caller_bits
    return state
