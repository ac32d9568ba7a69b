"""Baseline steering policies that the keeper is compared with.

Both use only a balancer's own view of the text and no messages from other
balancers: consistent hashing alone, and hashing with a local flow table.
"""

from abc import ABC, abstractmethod
from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import partial

from bronzekeel.core.catalogue import Catalogue, ServiceSpec
from bronzekeel.core.events import Packet
from bronzekeel.core.messages import HostEntry
from bronzekeel.core.steering.assignment import assign
from bronzekeel.replay.sinks import Sink, SprayedFleet


@dataclass(slots=True)
class IndependentBalancer:
    """A balancer that steers without exchanging state with others."""

    name: str
    view_lag_s: float = 0
    dead: bool = False
    paused_until: float = 0
    targets: list[str] = field(default_factory=list)
    upstream_by_flow: dict[int, str] = field(default_factory=dict)


class SteeringPolicy(ABC):
    """Chooses the upstream of a packet from one balancer's view."""

    @abstractmethod
    def choose(self, balancer: IndependentBalancer, packet: Packet) -> str:
        """Return the endpoint that the packet is forwarded to."""


class HashPolicy(SteeringPolicy):
    """Steers by consistent hash alone."""

    def choose(self, balancer: IndependentBalancer, packet: Packet) -> str:
        """Return the bucket's target in this balancer's view."""
        return balancer.targets[packet.hashed % len(balancer.targets)]


class FlowTablePolicy(HashPolicy):
    """Steers by a table of the flows that the balancer has seen, and new flows by hash."""

    def choose(self, balancer: IndependentBalancer, packet: Packet) -> str:
        """Return the upstream recorded for the flow, or choose and record one by hash."""
        upstream = balancer.upstream_by_flow.get(packet.hashed)
        if upstream is None or packet.opens:
            upstream = super().choose(balancer, packet)
            balancer.upstream_by_flow[packet.hashed] = upstream
        return upstream


class BaselineFleet(SprayedFleet):
    """Simulates independent balancers in virtual time, with the operations of ``Fleet``."""

    def __init__(
        self,
        hosts: Iterable[HostEntry],
        seed: int,
        sink: Sink,
        policy: SteeringPolicy,
    ) -> None:
        """Start a balancer on each of `hosts`."""
        super().__init__(seed)
        self.sink = sink
        self.by_name: dict[str, IndependentBalancer] = {}
        self._policy = policy
        self._latest_spec: ServiceSpec | None = None
        self._stopping: set[str] = set()
        for host in hosts:
            self.start(host)

    @property
    def running(self) -> list[IndependentBalancer]:
        """Balancers that have not been terminated."""
        return [balancer for balancer in self.by_name.values() if not balancer.dead]

    @property
    def sprayed_names(self) -> list[str]:
        """Names of the running balancers that are not stopping."""
        return [balancer.name for balancer in self.running if balancer.name not in self._stopping]

    def start(self, host: HostEntry) -> None:
        """Start a balancer with the latest text."""
        self._stopping.discard(host.name)
        balancer = IndependentBalancer(host.name)
        if self._latest_spec is not None:
            balancer.targets = assign(self._latest_spec)
        self.by_name[host.name] = balancer

    def submit(self, catalogue: Catalogue) -> None:
        """Deliver the text to each balancer after that balancer's view lag."""
        self._latest_spec = next(iter(catalogue.services_by_name.values()))
        targets = assign(self._latest_spec)
        for balancer in self.running:
            self.at(balancer.view_lag_s, partial(self._adopt, balancer, targets))

    def stop(self, name: str) -> None:
        """Stop routing packets to a balancer; it has no state to hand over."""
        self._stopping.add(name)

    def unlist(self, name: str) -> None:
        """Terminate a stopped balancer."""
        self.by_name[name].dead = True

    def kill(self, name: str) -> None:
        """Terminate a balancer abruptly."""
        self.by_name[name].dead = True

    def pause(self, name: str, duration_s: float) -> None:
        """Suspend a balancer's process for `duration_s` seconds."""
        self.by_name[name].paused_until = self.now + duration_s

    def cut(self, left: Iterable[str], right: Iterable[str]) -> None:
        """Do nothing: the baselines use no links between balancers."""

    def heal(self) -> None:
        """Do nothing: the baselines use no links between balancers."""

    def arrive(self, name: str, packet: Packet) -> None:
        """Forward a packet, after any pause; drop it if the balancer is dead."""
        balancer = self.by_name[name]
        if balancer.dead:
            self.sink.dropped(packet, 'dead_balancer')
        elif self.now < balancer.paused_until:
            self.at(balancer.paused_until - self.now, partial(self.arrive, name, packet))
        else:
            self.sink.forwarded(packet, self._policy.choose(balancer, packet))

    def _adopt(self, balancer: IndependentBalancer, targets: list[str]) -> None:
        if self.now < balancer.paused_until:
            wait_s = balancer.paused_until - self.now
            self.at(wait_s, partial(self._adopt, balancer, targets))
            return
        balancer.targets = targets
