"""Spray the packets of flows over a fleet and count the outcomes."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from bronzekeel.core.catalogue import ServiceSpec
from bronzekeel.core.events import Packet
from bronzekeel.core.hashing import service_key, string_hash
from bronzekeel.replay.sinks import Sink, SprayedFleet


_SYN_RETRANSMIT_S = 1.0


@dataclass(slots=True)
class Flow:
    """Hold one flow as its client sees it."""

    number: int
    hashed: int
    upstream: str = ''
    broken: bool = False
    misdelivered: bool = False
    stalls: int = 0


@dataclass(slots=True)
class FlowTraffic(Sink):
    """Open flows of one service and send their packets to random balancers.

    A flow is broken when one of its packets reaches an upstream other than the one that received
    its SYN.  A dropped packet only counts as a stall, since TCP retransmits it.  `foreign` holds
    the endpoints of other services, which no packet may reach.  `reachable` returns the names of
    the balancers to send to; by default those of `fleet`.
    """

    service: ServiceSpec
    flows: list[Flow] = field(default_factory=list)
    by_hash: dict[int, Flow] = field(default_factory=dict)
    drops: Counter[str] = field(default_factory=Counter)
    packets: int = 0
    handed: int = 0
    opened_at_by_upstream: dict[str, float] = field(default_factory=dict)
    fleet: SprayedFleet | None = None
    foreign: set[str] = field(default_factory=set)
    reachable: Callable[[], list[str]] | None = None

    def forwarded(self, packet: Packet, upstream: str) -> None:
        """Check that a packet was forwarded to the flow's upstream."""
        flow = self.by_hash[packet.hashed]
        if upstream in self.foreign:
            flow.misdelivered = True
        if packet.opens:
            flow.upstream = flow.upstream or upstream
            if self.fleet is not None:
                self.opened_at_by_upstream[upstream] = self.fleet.now
        if flow.upstream != upstream:
            flow.broken = True

    def dropped(self, packet: Packet, reason: str) -> None:
        """Count a stall; retransmit an opening packet after ``_SYN_RETRANSMIT_S``."""
        self.drops[reason] += 1
        flow = self.by_hash[packet.hashed]
        flow.stalls += 1
        if packet.opens and self.fleet is not None:
            self.fleet.at(_SYN_RETRANSMIT_S, lambda: self.send(flow, opens=True))

    def open(self, count: int, over_s: float, packets: int, every_s: float) -> None:
        """Open `count` flows over `over_s` seconds, at random times.

        Each sends `packets` more packets at random intervals, `every_s` on average.
        """
        fleet = self._fleet()
        for _ in range(count):
            number = len(self.flows)
            hashed = string_hash('/'.join((self.service.name, str(number))))
            flow = Flow(number, hashed)
            self.flows.append(flow)
            self.by_hash[hashed] = flow
            begin = partial(self._begin, flow, packets, every_s)
            fleet.at(fleet.random.random() * over_s, begin)

    def send(self, flow: Flow, *, opens: bool = False, closes: bool = False) -> None:
        """Send one packet of a flow to a random balancer."""
        if flow.broken:
            return
        fleet = self._fleet()
        names = self.reachable() if self.reachable else fleet.sprayed_names
        self.packets += 1
        packet = Packet(
            service_key(self.service.address, self.service.port),
            flow.hashed,
            opens,
            closes,
        )
        fleet.arrive(fleet.random.choice(names), packet)

    @property
    def broken(self) -> int:
        """Number of flows of which a packet reached a wrong upstream."""
        return sum(flow.broken for flow in self.flows)

    @property
    def misdelivered(self) -> int:
        """Number of flows of which a packet reached another service."""
        return sum(flow.misdelivered for flow in self.flows)

    @property
    def opened(self) -> int:
        """Number of flows that were opened at an upstream."""
        return sum(bool(flow.upstream) for flow in self.flows)

    def imbalance(self) -> float:
        """Return the ratio of the highest to the mean flow count of upstreams with flows."""
        counts = Counter(flow.upstream for flow in self.flows if flow.upstream)
        if not counts:
            return 0
        return max(counts.values()) * len(counts) / sum(counts.values())

    def _begin(self, flow: Flow, packets: int, every_s: float) -> None:
        self.send(flow, opens=True)
        self._schedule(flow, packets, every_s)

    def _schedule(self, flow: Flow, remaining: int, every_s: float) -> None:
        if remaining:
            fleet = self._fleet()
            delay_s = every_s * (0.5 + fleet.random.random())
            fleet.at(delay_s, partial(self._send_next, flow, remaining, every_s))

    def _send_next(self, flow: Flow, remaining: int, every_s: float) -> None:
        if flow.upstream:
            self.send(flow)
        self._schedule(flow, remaining - 1, every_s)

    def _fleet(self) -> SprayedFleet:
        if self.fleet is None:
            raise RuntimeError('set `fleet` before flows are opened')
        return self.fleet
