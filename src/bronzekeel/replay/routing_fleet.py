"""Run balancers that steer by connection ids against each other in virtual time.

Messages and store calls are delivered by one event queue ordered by time.  There are no
sockets, no threads and no model of hosts.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from bronzekeel.core.routing.admission import Admission, RequestsPerSlot
from bronzekeel.core.routing.caller_queue import CallerFairOrder
from bronzekeel.core.routing.decisions import NoDecisionLog
from bronzekeel.core.routing.demand_control import DemandControl, DemandControlMode
from bronzekeel.core.routing.effects import (
    DropWaiting,
    Effect,
    End,
    FetchView,
    ReadPage,
    SendHeartbeat,
    WatchChanges,
    WriteLine,
)
from bronzekeel.core.routing.events import (
    CallFailed,
    ChangesRead,
    Event,
    HeartbeatHeard,
    Started,
    Ticked,
    ViewFailed,
    ViewFetched,
)
from bronzekeel.core.routing.follower import Collection
from bronzekeel.core.routing.messages import Heartbeat, PeerAddress
from bronzekeel.core.routing.model import FlowPacket
from bronzekeel.core.routing.peer_exchange import FETCH_RETRY_S, view_since
from bronzekeel.core.routing.peers import PeerTable
from bronzekeel.core.routing.placement import LeastBusy, Placement
from bronzekeel.core.routing.reducer import TICK_S, reduce
from bronzekeel.core.routing.state import RoutingState
from bronzekeel.core.routing.steering import ConnectionIdSteering
from bronzekeel.core.routing.verdicts import Verdict, Wait
from bronzekeel.core.routing.waiting import WaitingOrder
from bronzekeel.core.store_waits import ANSWER_TIMEOUT_S
from bronzekeel.replay.routing_store import StoreModel
from bronzekeel.replay.virtual_time import VirtualTime


_STORE_DELAY_S = 0.004
_PEER_DELAY_S = 0.001
_STOP_S = 6.0
_PORT = 9
_SEEDS = 3


@dataclass(frozen=True, slots=True)
class FleetPolicies:
    """Hold the load balancing policies of all balancers of a replay."""

    placement_of: type[Placement] = LeastBusy
    admission_of: type[Admission] = RequestsPerSlot
    order_of: type[WaitingOrder] = CallerFairOrder
    demand_control: DemandControlMode = DemandControlMode.BY_OBJECTIVE


_VerdictCallback = Callable[[Verdict], None]


@dataclass(slots=True)
class RoutingNode:
    """Hold one balancer of a replay.

    `store` is how the store responds to it: 'serves', 'refuses', 'silent' (no answer, but watches
    wait on) or 'loses' (answers are lost, and nothing further comes on their connections).
    `calls` counts its calls to the store, `consistent_reads` those that may not return stale
    data.  `boot` counts restarts; whatever is in flight to an earlier boot is lost.  A watch
    replaces the previous one on the same collection.
    """

    me: PeerAddress
    state: RoutingState
    steering: ConnectionIdSteering
    up: bool = True
    boot: int = 0
    store: str = 'serves'
    ended: bool = False
    calls: int = 0
    consistent_reads: int = 0
    heartbeats: int = 0
    fetches: int = 0
    remote_fetches: int = 0
    watch_by_collection: dict[str, '_Watch'] = field(default_factory=dict)
    lines: Counter[int] = field(default_factory=Counter)
    text_orders: list[int] = field(default_factory=list)
    callback_by_packet: dict[FlowPacket, _VerdictCallback] = field(default_factory=dict)
    resumes_at: float = 0


@dataclass(slots=True)
class _Watch:
    node: RoutingNode
    boot: int
    effect: WatchChanges
    ends_at: float
    open: bool = True


class RoutingFleet(VirtualTime):
    """Run the reducers of balancers against a store and each other."""

    def __init__(
        self,
        names_by_centre: dict[str, tuple[str, ...]],
        seed: int = 1,
        policies: FleetPolicies | None = None,
    ) -> None:
        """Create balancers by data centre; ``start`` starts them.

        Heartbeats and views do not pass between `isolated_centres` and others, nor from the first
        to the second centre of each pair in `lost_directions`.
        """
        super().__init__(seed)
        self._policies = policies or FleetPolicies()
        self.store = StoreModel()
        self.node_by_name: dict[str, RoutingNode] = {}
        self.isolated_centres: set[str] = set()
        self.lost_directions: set[tuple[str, str]] = set()
        self.views_available = True
        self.store_delay_s = _STORE_DELAY_S
        self.remote_heartbeats = 0
        self._handlers: dict[type[Effect], Callable[..., None]] = {
            WriteLine: _count_line,
            ReadPage: self._read_page,
            WatchChanges: self._watch,
            SendHeartbeat: self._send_heartbeat,
            FetchView: self._fetch_view,
            DropWaiting: lambda node, effect: None,
            End: _mark_ended,
        }
        self._node_by_address: dict[tuple[str, int], RoutingNode] = {}
        self._watches: list[_Watch] = []
        peers = [
            PeerAddress(name, centre, (name, _PORT))
            for centre, names in names_by_centre.items()
            for name in names
        ]
        self._seeds = tuple(peer.address for peer in peers[:_SEEDS])
        for peer in peers:
            state = self._new_state(peer)
            node = RoutingNode(peer, state, _new_steering(state, self._policies))
            self.node_by_name[peer.name] = node
            self._node_by_address[peer.address] = node

    @property
    def running(self) -> list[RoutingNode]:
        """Nodes that are up."""
        return [node for node in self.node_by_name.values() if node.up]

    def start(self) -> None:
        """Start all balancers."""
        for node in self.node_by_name.values():
            self._start(node)

    def kill(self, name: str) -> None:
        """Crash a balancer; its state is lost."""
        self.node_by_name[name].up = False

    def restart(self, name: str) -> None:
        """Start a balancer with empty state."""
        node = self.node_by_name[name]
        node.boot += 1
        node.up = True
        node.text_orders.clear()
        node.callback_by_packet.clear()
        node.state = self._new_state(node.me)
        node.steering = _new_steering(node.state, self._policies)
        self._start(node)

    def notify_watches(self) -> None:
        """Notify open watches of changes in the store; stale ones see them `staleness_s` later."""
        self.store.mark_visible(self.now)
        waiting = [watch for watch in self._watches if watch.open]
        for watch in waiting:
            self._poll(watch)
            self.at(self.store.staleness_s, partial(self._poll, watch))

    def fail_store(self, names: list[str], mode: str) -> None:
        """Set how the store responds to some balancers, as in ``RoutingNode``.

        With 'refuses', their open watches fail at once.
        """
        for name in names:
            self.node_by_name[name].store = mode
        for watch in list(self._watches):
            if watch.open and watch.node.store == 'refuses':
                self._end_watch(watch, CallFailed(watch.effect.collection, 'reset'), _STORE_DELAY_S)

    def decide(self, name: str, packet: FlowPacket) -> Verdict:
        """Return a balancer's verdict on a packet."""
        node = self.node_by_name[name]
        return node.steering.decide(packet, self.now)

    def steer(self, name: str, packet: FlowPacket, callback: _VerdictCallback) -> None:
        """Call `callback` with a balancer's verdict on a packet, after its wait if it is queued.

        A balancer that is down loses the packet.  Packets that wait when it ends are lost too.
        """
        node = self.node_by_name[name]
        if not node.up:
            return
        verdict = node.steering.decide(packet, self.now)
        if isinstance(verdict, Wait):
            node.callback_by_packet[packet] = callback
        else:
            callback(verdict)
        self._resume(node, node.boot)

    def _resume(self, node: RoutingNode, boot: int) -> None:
        """Deliver the verdicts on packets whose wait has ended, and schedule the next check."""
        if not node.up or node.boot != boot or not node.state.waiting:
            return
        for packet, verdict in node.steering.resume(self.now):
            node.callback_by_packet.pop(packet)(verdict)
        next_end_at = node.state.waiting.next_expiry
        if next_end_at is not None and next_end_at != node.resumes_at:
            node.resumes_at = next_end_at
            self.at(next_end_at - self.now, lambda: self._resume(node, boot))

    def _new_state(self, peer: PeerAddress) -> RoutingState:
        return RoutingState(
            PeerTable(peer, self._seeds),
            _STOP_S,
            self._policies.admission_of,
            self._policies.order_of,
            demand_control=DemandControl(self._policies.demand_control),
        )

    def _start(self, node: RoutingNode) -> None:
        boot = node.boot
        self.at(0, lambda: self._handle(node, boot, Started()))
        self.at(0, lambda: self._tick(node, boot))

    def _tick(self, node: RoutingNode, boot: int) -> None:
        if not node.up or node.boot != boot:
            return
        self._handle(node, boot, Ticked())
        self.at(TICK_S, lambda: self._tick(node, boot))

    def _handle(self, node: RoutingNode, boot: int, event: Event) -> None:
        if not node.up or node.boot != boot:
            return
        for effect in reduce(node.state, event, self.now):
            self._handlers[type(effect)](node, effect)
        node.text_orders.append(node.state.text_order)
        self._resume(node, boot)

    def _read_page(self, node: RoutingNode, effect: ReadPage) -> None:
        node.calls += 1
        boot = node.boot
        node.consistent_reads += not effect.stale
        collection = Collection(effect.collection)
        if self._reaches_store(node):
            page = self.store.page(
                collection, self.store.visible_revision(self.now, stale=effect.stale)
            )
            self.at(self.store_delay_s, lambda: self._handle(node, boot, page))
            return
        failure = CallFailed(collection, 'no answer')
        self.at(_failure_delay_s(node, 0), lambda: self._handle(node, boot, failure))

    def _watch(self, node: RoutingNode, effect: WatchChanges) -> None:
        node.calls += 1
        node.consistent_reads += not effect.stale
        superseded = node.watch_by_collection.get(effect.collection)
        if superseded in self._watches:
            self._watches.remove(superseded)
        watch = _Watch(node, node.boot, effect, self.now + effect.wait_s)
        node.watch_by_collection[effect.collection] = watch
        if not self._reaches_store(node):
            failure = CallFailed(effect.collection, 'no answer')
            self._end_watch(watch, failure, _failure_delay_s(node, effect.wait_s))
            return
        self._watches.append(watch)
        for wait_s in (_STORE_DELAY_S, self.store.staleness_s):
            self.at(wait_s, partial(self._poll, watch))
        self.at(effect.wait_s, lambda: self._poll(watch, last=True))

    def _poll(self, watch: _Watch, *, last: bool = False) -> None:
        """Answer a watch if there are changes, or if its wait is over (`last`)."""
        if not watch.open or watch not in self._watches:
            return
        reached = self._reaches_store(watch.node)
        if not reached and not last and watch.node.store != 'loses':
            return
        found = self.store.changes(
            Collection(watch.effect.collection),
            watch.effect.revision,
            self.store.visible_revision(self.now, stale=watch.effect.stale),
        )
        if isinstance(found, ChangesRead) and not found.objects and not last:
            return
        if reached:
            self._end_watch(watch, found, self.store_delay_s)
            return
        failure = CallFailed(watch.effect.collection, 'no answer')
        self._end_watch(watch, failure, watch.ends_at + ANSWER_TIMEOUT_S - self.now)

    def _end_watch(self, watch: _Watch, event: Event, after_s: float) -> None:
        watch.open = False
        if watch in self._watches:
            self._watches.remove(watch)
        self.at(after_s, lambda: self._answer(watch, event))

    def _answer(self, watch: _Watch, event: Event) -> None:
        if watch.node.watch_by_collection.get(watch.effect.collection) is watch:
            self._handle(watch.node, watch.boot, event)

    def _send_heartbeat(self, node: RoutingNode, effect: SendHeartbeat) -> None:
        for address in effect.addresses:
            node.heartbeats += 1
            peer = self._node_by_address.get(address)
            if peer is not None and peer.me.data_centre != node.me.data_centre:
                self.remote_heartbeats += 1
            if peer is not None and self._reaches(node, peer):
                self._deliver(peer, effect.heartbeat)

    def _deliver(self, peer: RoutingNode, heartbeat: Heartbeat) -> None:
        boot = peer.boot
        self.at(_PEER_DELAY_S, lambda: self._handle(peer, boot, HeartbeatHeard(heartbeat)))

    def _fetch_view(self, node: RoutingNode, effect: FetchView) -> None:
        node.fetches += 1
        boot = node.boot
        peer = self._node_by_address.get(effect.address)
        if peer is not None and peer.me.data_centre != node.me.data_centre:
            node.remote_fetches += 1
        reached = peer is not None and peer.up and self._reaches(node, peer)
        if peer is None or not reached or not self.views_available:
            failure = ViewFailed(effect.address, 'no answer')
            self.at(FETCH_RETRY_S, lambda: self._handle(node, boot, failure))
            return
        view = view_since(peer.state, effect.known, self.now)
        fetched = ViewFetched(effect.address, view)
        self.at(2 * _PEER_DELAY_S, lambda: self._handle(node, boot, fetched))

    def _reaches(self, node: RoutingNode, peer: RoutingNode) -> bool:
        if node.me.data_centre == peer.me.data_centre:
            return True
        if (node.me.data_centre, peer.me.data_centre) in self.lost_directions:
            return False
        return not {node.me.data_centre, peer.me.data_centre} & self.isolated_centres

    def _reaches_store(self, node: RoutingNode) -> bool:
        return node.store == 'serves' and node.me.data_centre not in self.isolated_centres


def _new_steering(state: RoutingState, policies: FleetPolicies) -> ConnectionIdSteering:
    placement = policies.placement_of(state.peers.me.data_centre, state.balance)
    return ConnectionIdSteering(state, placement, NoDecisionLog())


def _mark_ended(node: RoutingNode, effect: End) -> None:
    node.ended = True
    node.up = False


def _count_line(node: RoutingNode, effect: WriteLine) -> None:
    node.lines[effect.number] += 1


def _failure_delay_s(node: RoutingNode, wait_s: float) -> float:
    """Return the seconds after which a call to an unreachable store fails."""
    if node.store == 'refuses':
        return _STORE_DELAY_S
    return wait_s + ANSWER_TIMEOUT_S
