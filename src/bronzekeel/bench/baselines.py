"""Steer by the two ways that the keeper is weighed against.

Both decide by the view a balancer has of the text, without a word from any
other balancer: the consistent hash alone, and the hash with a flow table.
"""

from abc import ABC, abstractmethod
from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import partial

from bronzekeel.core.catalogue import Catalogue, ServiceSpec
from bronzekeel.core.events import Packet
from bronzekeel.core.messages import HostEntry
from bronzekeel.core.steering.assignment import assign
from bronzekeel.replay.sinks import Sink, Sprayed


@dataclass(slots=True)
class IndependentBalancer:
    """Hold a balancer that decides by itself."""

    name: str
    view_lag_s: float = 0
    dead: bool = False
    paused_until: float = 0
    targets: list[str] = field(default_factory=list)
    upstream_by_flow: dict[int, str] = field(default_factory=dict)


class SteeringPolicy(ABC):
    """Choose the upstream of a packet from one balancer's view."""

    @abstractmethod
    def choose(self, balancer: IndependentBalancer, packet: Packet) -> str:
        """Return the endpoint that the packet goes to."""


class HashPolicy(SteeringPolicy):
    """Use the consistent hash alone."""

    def choose(self, balancer: IndependentBalancer, packet: Packet) -> str:
        """Return the bucket's target in this balancer's view."""
        return balancer.targets[packet.hashed % len(balancer.targets)]


class FlowTablePolicy(HashPolicy):
    """Use a table of the flows that this balancer has seen, else the hash."""

    def choose(self, balancer: IndependentBalancer, packet: Packet) -> str:
        """Return the upstream that the flow had here before."""
        upstream = balancer.upstream_by_flow.get(packet.hashed)
        if upstream is None or packet.opens:
            upstream = super().choose(balancer, packet)
            balancer.upstream_by_flow[packet.hashed] = upstream
        return upstream


class BaselineFleet(Sprayed):
    """Run lone balancers in virtual time, with the operations of ``Fleet``."""

    def __init__(
        self,
        hosts: Iterable[HostEntry],
        seed: int,
        sink: Sink,
        policy: SteeringPolicy,
    ) -> None:
        """Start a lone balancer for each of `hosts`."""
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
        """Balancers that are not dead."""
        return [balancer for balancer in self.by_name.values() if not balancer.dead]

    @property
    def sprayed_names(self) -> list[str]:
        """Names of the running balancers that are not being stopped."""
        return [balancer.name for balancer in self.running if balancer.name not in self._stopping]

    def start(self, host: HostEntry) -> None:
        """Start a balancer that knows the newest text."""
        self._stopping.discard(host.name)
        balancer = IndependentBalancer(host.name)
        if self._latest_spec is not None:
            balancer.targets = assign(self._latest_spec)
        self.by_name[host.name] = balancer

    def submit(self, catalogue: Catalogue) -> None:
        """Let the text reach each balancer after its lag."""
        self._latest_spec = next(iter(catalogue.services_by_name.values()))
        targets = assign(self._latest_spec)
        for balancer in self.running:
            self.at(balancer.view_lag_s, partial(self._adopt, balancer, targets))

    def stop(self, name: str) -> None:
        """Stop a balancer; it has nothing to hand over."""
        self._stopping.add(name)

    def unlist(self, name: str) -> None:
        """End a stopped balancer."""
        self.by_name[name].dead = True

    def kill(self, name: str) -> None:
        """End a balancer without warning."""
        self.by_name[name].dead = True

    def pause(self, name: str, duration_s: float) -> None:
        """Stop a balancer's process for a while."""
        self.by_name[name].paused_until = self.now + duration_s

    def cut(self, left: Iterable[str], right: Iterable[str]) -> None:
        """Cut links that these ways do not use."""

    def heal(self) -> None:
        """Restore links that these ways do not use."""

    def arrive(self, name: str, packet: Packet) -> None:
        """Forward a packet as the way says."""
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
