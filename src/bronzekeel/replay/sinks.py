"""Define the interfaces between replayed fleets and the traffic sent through them."""

from abc import abstractmethod

from bronzekeel.core.effects import Effect
from bronzekeel.core.events import Packet
from bronzekeel.replay.virtual_time import VirtualTime


class SprayedFleet(VirtualTime):
    """Receive packets that a fabric sprays over the balancers."""

    @property
    @abstractmethod
    def sprayed_names(self) -> list[str]:
        """Names of the balancers that the fabric sprays packets to."""

    @abstractmethod
    def arrive(self, name: str, packet: Packet) -> None:
        """Process a packet that arrives at a balancer."""


class Sink:
    """Observe the decisions of a fleet; subclasses override the methods that they need."""

    def forwarded(self, packet: Packet, upstream: str) -> None:
        """Handle a packet that was forwarded to an upstream."""

    def dropped(self, packet: Packet, reason: str) -> None:
        """Handle a packet that was dropped."""

    def effect_emitted(self, effect: Effect, host: str) -> None:
        """Handle any other effect that a host emitted."""
