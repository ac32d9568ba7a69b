"""Record decisions on flows for the log."""

from abc import ABC, abstractmethod

from bronzekeel.core.routing.model import FlowPacket, Upstream
from bronzekeel.core.routing.pools import Pool


class Decision:
    """Hold one decision: what was done with a packet, and on which grounds."""

    __slots__ = ('inputs', 'outcome', 'packet', 'pool', 'upstream')

    def __init__(
        self,
        outcome: str,
        packet: FlowPacket,
        inputs: str,
        upstream: Upstream | None = None,
        pool: Pool | None = None,
    ) -> None:
        """Store the decision; `inputs` names the upstream or the reason, `pool` the full pool."""
        self.outcome = outcome
        self.packet = packet
        self.inputs = inputs
        self.upstream = upstream
        self.pool = pool


class DecisionLog(ABC):
    """Record decisions.  Implementations never raise: a log failure must not stop a packet."""

    @abstractmethod
    def note(self, decision: Decision, now: float) -> None:
        """Record one decision."""


class NoDecisionLog(DecisionLog):
    """Discard all decisions."""

    def note(self, decision: Decision, now: float) -> None:
        """Do nothing."""
