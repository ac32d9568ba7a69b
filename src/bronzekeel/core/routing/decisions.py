"""Note the decisions that touch a flow, for the log."""

from abc import ABC, abstractmethod

from bronzekeel.core.routing.model import FlowPacket, Upstream
from bronzekeel.core.routing.pools import Pool


class Decision:
    """Hold one decision: what was done with a packet, and by which inputs."""

    __slots__ = ('inputs', 'outcome', 'packet', 'pool', 'upstream')

    def __init__(
        self,
        outcome: str,
        packet: FlowPacket,
        inputs: str,
        upstream: Upstream | None = None,
        pool: Pool | None = None,
    ) -> None:
        """Keep the decision; `inputs` names the upstream or the reason, `pool` what was full."""
        self.outcome = outcome
        self.packet = packet
        self.inputs = inputs
        self.upstream = upstream
        self.pool = pool


class DecisionLog(ABC):
    """Take decisions and never fail: a log must not stop a packet."""

    @abstractmethod
    def note(self, decision: Decision, now: float) -> None:
        """Take one decision."""


class NoDecisionLog(DecisionLog):
    """Keep nothing."""

    def note(self, decision: Decision, now: float) -> None:
        """Do nothing."""
