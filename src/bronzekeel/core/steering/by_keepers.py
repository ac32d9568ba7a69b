"""Steer by registers that keepers own."""

from collections.abc import Callable

from bronzekeel.core.effects import Drop, Effect, Forward, Hand
from bronzekeel.core.events import Packet, PacketArrived
from bronzekeel.core.reducer import packet_verdict, reduce
from bronzekeel.core.state import BalancerState
from bronzekeel.core.steering.packets import DropReason, Verdict
from bronzekeel.core.steering.strategy import SteeringStrategy


class KeeperSteering(SteeringStrategy[Packet, Verdict]):
    """Steer by what the keepers of buckets say, over one balancer's state."""

    def __init__(self, state: BalancerState, emit: Callable[[Effect], None]) -> None:
        """Decide on `state`; effects beside the verdict go to `emit`."""
        self._state = state
        self._emit = emit

    def decide(self, packet: Packet, now: float) -> Verdict:
        """Give the verdict on a packet; only one that changes state is an event."""
        verdict = packet_verdict(self._state, packet, now)
        if verdict is not None:
            return verdict
        for effect in reduce(self._state, PacketArrived(packet), now):
            if isinstance(effect, (Forward, Hand, Drop)):
                verdict = effect
            else:
                self._emit(effect)
        return verdict or Drop(DropReason.NOT_READY)
