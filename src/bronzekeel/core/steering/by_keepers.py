"""Steer packets by the registers that keepers publish."""

from collections.abc import Callable

from bronzekeel.core.effects import Drop, Effect, Forward, Hand
from bronzekeel.core.events import Packet, PacketArrived
from bronzekeel.core.reducer import packet_verdict, reduce
from bronzekeel.core.state import BalancerState
from bronzekeel.core.steering.packets import DropReason, Verdict
from bronzekeel.core.steering.strategy import SteeringStrategy


class KeeperSteering(SteeringStrategy[Packet, Verdict]):
    """Steer packets by the state of one balancer, which follows the keepers of buckets."""

    def __init__(self, state: BalancerState, emit: Callable[[Effect], None]) -> None:
        """Use `state` for decisions; pass effects other than the verdict to `emit`."""
        self._state = state
        self._emit = emit

    def decide(self, packet: Packet, now: float) -> Verdict:
        """Return the verdict on a packet.

        The reducer runs only for packets whose verdict changes the state.
        """
        verdict = packet_verdict(self._state, packet, now)
        if verdict is not None:
            return verdict
        for effect in reduce(self._state, PacketArrived(packet), now):
            if isinstance(effect, (Forward, Hand, Drop)):
                verdict = effect
            else:
                self._emit(effect)
        return verdict or Drop(DropReason.NOT_READY)
