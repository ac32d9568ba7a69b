"""Define what every way of steering packets has."""

from abc import ABC, abstractmethod
from typing import Generic, TypeVar


PacketT = TypeVar('PacketT')
VerdictT = TypeVar('VerdictT')


class SteeringStrategy(ABC, Generic[PacketT, VerdictT]):
    """Give every packet of a flow its verdict.

    Two ways exist.  Fabrics whose packets carry nothing for a balancer need
    owners of buckets that agree with each other (`core.steering.keepers`).
    Where both ends echo a connection id, the packet itself names its upstream
    (`core.routing.steering`) and balancers need no agreement.  The setting
    `steering` chooses; duties of the other way do not run.
    """

    @abstractmethod
    def decide(self, packet: PacketT, now: float) -> VerdictT:
        """Return what becomes of `packet`; `now` is the steady clock in seconds."""
