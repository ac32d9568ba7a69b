"""Interface of the strategies for steering packets."""

from abc import ABC, abstractmethod
from typing import Generic, TypeVar


PacketT = TypeVar('PacketT')
VerdictT = TypeVar('VerdictT')


class SteeringStrategy(ABC, Generic[PacketT, VerdictT]):
    """Strategy that returns the verdict on each packet.

    There are two strategies.  If packets carry no data for the balancer,
    buckets need keepers on which all balancers agree
    (`core.steering.by_keepers`).  If both ends echo a connection id, the packet
    itself identifies its upstream (`core.routing.steering`) and no agreement is
    needed.  The setting `steering` selects one; the duties of the other do not
    run.
    """

    @abstractmethod
    def decide(self, packet: PacketT, now: float) -> VerdictT:
        """Return the verdict on `packet`; `now` is the monotonic clock in seconds."""
