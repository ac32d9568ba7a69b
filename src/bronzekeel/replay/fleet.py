"""Run the reducers of several balancers against each other in virtual time.

Messages, texts and packets are delivered by one event queue ordered by time.  There are no
sockets, no threads and no model of hosts.  All randomness comes from one seed.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from bronzekeel.core.catalogue import Catalogue
from bronzekeel.core.constants import TICK_S
from bronzekeel.core.effects import Drop, Effect, Forward, Hand, InForce, Log, Say, Stopped
from bronzekeel.core.events import (
    Event,
    HostsListed,
    Packet,
    PacketArrived,
    PeerSaid,
    StopAsked,
    TextAccepted,
    Ticked,
)
from bronzekeel.core.messages import HostEntry, JournalPart, Message, TextBody
from bronzekeel.core.reducer import packet_verdict, reduce
from bronzekeel.core.state import BalancerState
from bronzekeel.replay.sinks import Sink, SprayedFleet
from bronzekeel.wire import encode, wire_bytes


#: Longest delay before a text from the platform reaches a watcher, in seconds.
_MAX_TEXT_DELAY_S = 0.05


@dataclass(slots=True)
class Node:
    """Hold the state of one balancer of a replay.

    `clock_skew` shifts its clock, in seconds.  Deliveries to a paused node are deferred until it
    resumes, as a stopped process finds them in its socket buffers.  `view_lag_s` delays texts
    and journals on their way to it.
    """

    state: BalancerState
    dead: bool = False
    paused_until: float = 0
    clock_skew: float = 0
    view_lag_s: float = 0
    bytes_by_kind: Counter[str] = field(default_factory=Counter)
    verdicts: Counter[str] = field(default_factory=Counter)
    in_force_at: dict[int, float] = field(default_factory=dict)

    @property
    def name(self) -> str:
        """Name of the balancer."""
        return self.state.members.me.name


class Fleet(SprayedFleet):
    """Connect the reducers of balancers through a simulated network and platform."""

    def __init__(
        self,
        hosts: Iterable[HostEntry],
        seed: int,
        sink: Sink | None = None,
        one_way_s: float = 0.0005,
        lost_share: float = 0,
    ) -> None:
        """Start a node for each of `hosts`, which learn of each other from the list of hosts.

        Messages take `one_way_s` to twice that; a share `lost_share` of them is lost.
        """
        super().__init__(seed)
        self.sink = sink or Sink()
        self.one_way_s = one_way_s
        self.lost_share = lost_share
        self.by_name: dict[str, Node] = {}
        self.hosts: dict[str, HostEntry] = {}
        self.platform_up = True
        self.newest: Catalogue | None = None
        self.cuts: set[tuple[str, str]] = set()
        self.incarnations = 0
        self.hosts_version = 0
        for host in hosts:
            self.start(host)

    @property
    def running(self) -> list[Node]:
        """Nodes that are alive, including paused ones."""
        return [node for node in self.by_name.values() if not node.dead]

    @property
    def sprayed_names(self) -> list[str]:
        """Names of the running balancers that are not stopping."""
        return [node.name for node in self.running if not node.state.stopping]

    def start(self, host: HostEntry) -> Node:
        """Start a balancer with empty state; it replaces one of the same name."""
        self.hosts[host.name] = host
        self.incarnations += 1
        node = Node(BalancerState.fresh(host, self.incarnations, self.now))
        self.by_name[host.name] = node
        self.at(self.random.random() * TICK_S, lambda: self._tick(node))
        self.list_hosts()
        return node

    def list_hosts(self) -> None:
        """Deliver the platform's list of hosts to every running node."""
        listed = tuple(self.hosts.values())
        self.hosts_version += 1
        for node in self.running:
            self.deliver(node, HostsListed(listed, self.hosts_version))

    def unlist(self, name: str) -> None:
        """Remove a host from the platform's list."""
        self.hosts.pop(name, None)
        self.list_hosts()

    def kill(self, name: str) -> None:
        """Crash a balancer: it stops without notice."""
        self.by_name[name].dead = True

    def pause(self, name: str, duration_s: float) -> None:
        """Suspend a balancer's process for `duration_s`."""
        self.by_name[name].paused_until = self.now + duration_s

    def stop(self, name: str) -> None:
        """Ask a balancer to stop gracefully."""
        self.deliver(self.by_name[name], StopAsked())

    def cut(self, left: Iterable[str], right: Iterable[str]) -> None:
        """Cut all links between two groups of hosts, in both directions."""
        others = list(right)
        for one in left:
            self.cuts.update((one, other) for other in others)
            self.cuts.update((other, one) for other in others)

    def heal(self) -> None:
        """Restore all links."""
        self.cuts.clear()

    def submit(self, catalogue: Catalogue) -> None:
        """Accept a text at the platform and send it to the watchers.

        During an outage it is only stored; watchers read the newest text when the outage ends.
        """
        self.newest = catalogue
        if not self.platform_up:
            return
        for node in self.running:
            if node.state.rollout.watching or not node.state.rollout.generation:
                self._send_text(node, catalogue)

    def deliver(self, node: Node, event: Event) -> None:
        """Reduce an event on a node, now or when its pause ends."""
        if node.dead:
            return
        if self.now < node.paused_until:
            self.at(node.paused_until - self.now, lambda: self.deliver(node, event))
            return
        for effect in reduce(node.state, event, self.now + node.clock_skew):
            self._apply_effect(node, effect)

    def platform_back(self) -> None:
        """End a platform outage; watchers then read the newest text."""
        self.platform_up = True
        for node in self.running:
            if node.state.rollout.watching:
                self._read_platform(node)

    def arrive(self, name: str, packet: Packet) -> None:
        """Process a packet that a balancer receives from the fabric or a peer."""
        node = self.by_name[name]
        if node.dead:
            self.sink.dropped(packet, 'dead_balancer')
            return
        if self.now < node.paused_until:
            self.at(node.paused_until - self.now, lambda: self.arrive(name, packet))
            return
        now = self.now + node.clock_skew
        verdict = packet_verdict(node.state, packet, now)
        if verdict is not None:
            self._apply_verdict(node, packet, verdict)
            return
        for effect in reduce(node.state, PacketArrived(packet), now):
            if isinstance(effect, (Forward, Hand, Drop)):
                self._apply_verdict(node, packet, effect)
            else:
                self._apply_effect(node, effect)

    def _send_text(self, node: Node, catalogue: Catalogue) -> None:
        event = TextAccepted(catalogue, from_platform=True)
        delay_s = self.random.random() * _MAX_TEXT_DELAY_S + node.view_lag_s
        self.at(delay_s, lambda: self.deliver(node, event))

    def _tick(self, node: Node) -> None:
        if node.dead:
            return
        wait_s = max(TICK_S, node.paused_until - self.now)
        self.at(wait_s, lambda: self._tick(node))
        if self.now < node.paused_until:
            return
        was_watching = node.state.rollout.watching
        self.deliver(node, Ticked())
        if node.state.rollout.watching and not was_watching:
            self._read_platform(node)

    def _read_platform(self, node: Node) -> None:
        if self.platform_up and self.newest is not None:
            self._send_text(node, self.newest)

    def _apply_effect(self, node: Node, effect: Effect) -> None:
        if isinstance(effect, Say):
            self._send(node, effect.host, effect.message)
        elif isinstance(effect, InForce):
            node.in_force_at[effect.generation] = self.now
        elif isinstance(effect, Stopped):
            node.dead = True
        elif not isinstance(effect, Log):
            self.sink.effect_emitted(effect, node.name)

    def _send(self, node: Node, host: str, message: Message) -> None:
        size = wire_bytes(message, encode(message))
        node.bytes_by_kind[type(message).__name__] += size
        peer = self.by_name.get(host)
        if peer is None or (node.name, host) in self.cuts:
            return
        if self.lost_share and self.random.random() < self.lost_share:
            return
        delay_s = self.one_way_s * (1 + self.random.random())
        if isinstance(message, (JournalPart, TextBody)):
            delay_s += peer.view_lag_s
        self.at(delay_s, lambda: self.deliver(peer, PeerSaid(message)))

    def _apply_verdict(self, node: Node, packet: Packet, verdict: Forward | Hand | Drop) -> None:
        node.verdicts[type(verdict).__name__] += 1
        if isinstance(verdict, Forward):
            self.sink.forwarded(packet, verdict.upstream)
            return
        if isinstance(verdict, Drop):
            self.sink.dropped(packet, verdict.reason)
            return
        if verdict.host not in self.by_name or (node.name, verdict.host) in self.cuts:
            self.sink.dropped(packet, 'link_cut')
            return
        handed = Packet(
            packet.service,
            packet.hashed,
            packet.opens,
            packet.closes,
            packet.raw,
            verdict.hops,
        )
        delay_s = self.one_way_s * (1 + self.random.random())
        self.at(delay_s, lambda: self.arrive(verdict.host, handed))
