"""Define what traffic needs of a fleet, and what a fleet tells traffic."""

from abc import abstractmethod

from bronzekeel.core.effects import Effect
from bronzekeel.core.events import Packet
from bronzekeel.replay.virtual_time import VirtualTime


class SprayedFleet(VirtualTime):
    """Take packets at balancers that a fabric chooses."""

    @property
    @abstractmethod
    def sprayed_names(self) -> list[str]:
        """Names of the balancers that the fabric hands packets to."""

    @abstractmethod
    def arrive(self, name: str, packet: Packet) -> None:
        """Let a packet arrive at a balancer."""


class Sink:
    """Receive what leaves a fleet; override what a replay is interested in."""

    def forwarded(self, packet: Packet, upstream: str) -> None:
        """Take a packet that was forwarded to an upstream."""

    def dropped(self, packet: Packet, reason: str) -> None:
        """Take a packet that was dropped."""

    def effect_emitted(self, effect: Effect, host: str) -> None:
        """Take any other effect of a host."""
