"""Receive packets, ask for their verdicts, and send them on their path."""

from collections.abc import Callable
from selectors import EVENT_READ
from socket import socket
from time import monotonic

from bronzekeel.core.routing.flows import MOST_FLOWS, Flow
from bronzekeel.core.routing.holding import HeldPackets
from bronzekeel.core.routing.link_queue import LinkQueue, Outgoing
from bronzekeel.core.routing.model import FlowPacket, Upstream
from bronzekeel.core.routing.steering import ConnectionIdSteering
from bronzekeel.core.routing.verdicts import Deliver, Reset, Verdict, Wait
from bronzekeel.entry.loop import Loop
from bronzekeel.entry.ports import PacketFormat


#: Datagrams taken before probes and the store get their turn.
_BATCH = 64
_MOST_DATAGRAM = 2048
_DELIVERED = 'delivered'
_WAITED = 'waited'
_STALE = 'stale'
_NO_LINK = 'no_room_on_link'

#: Flows whose path is kept at most; with more all are looked up anew.
#: Source: as many as are remembered (``MOST_FLOWS``).
_MOST_PATHS = MOST_FLOWS

_Fault = Callable[[str, bytes], None]


class _KnownPath:
    """Hold where ordinary packets of one flow go."""

    __slots__ = ('address', 'flow', 'pool', 'prefix')

    def __init__(self, prefix: bytes, upstream: Upstream, flow: Flow) -> None:
        self.prefix = prefix
        self.address = upstream.entry.address
        self.pool = upstream.pool
        self.flow = flow


class PacketSocket:
    """Own the UDP socket for packets of flows.

    Most packets are ordinary ones of flows that were seen before.  Their path is
    kept until the state's epoch changes: a packet takes 4.1 us of processor
    time by it and 9.2 us by a decision (`bench forward`, median of 300 rounds).
    `count_by_fate` tells what became of all packets.  Those that come before
    the state is ready are held until ``release_held``.
    """

    def __init__(
        self,
        loop: Loop,
        bound: socket,
        packet_format: PacketFormat,
        steering: ConnectionIdSteering,
        note_fault: _Fault,
        clock: Callable[[], float] = monotonic,
        link: LinkQueue | None = None,
    ) -> None:
        """Start to take packets of a `bound` socket; `steering` decides.

        With a `link` datagrams leave at its rate.
        """
        self._link = link
        self._clock = clock
        self._count_by_fate: dict[str, int] = {}
        self._kept = 0
        self._resumed_at: float = 0
        self.last_packet_at: float = 0
        self._format = packet_format
        self._steering = steering
        self._state = steering.state
        self._epoch = self._state.epoch
        self._path_by_key: dict[bytes, _KnownPath] = {}
        self._head_bytes = packet_format.head_bytes
        self._ordinary_flags = packet_format.ordinary_flags
        self._positions = packet_format.positions
        self._step = self._state.flows.step
        self._note_fault = note_fault
        self._loop = loop
        self._held = HeldPackets()
        self._socket = bound
        loop.watch(self._socket, EVENT_READ, self.take_batch)

    @property
    def count_by_fate(self) -> dict[str, int]:
        """Packets by what became of them."""
        counts = dict(self._count_by_fate)
        counts[_DELIVERED] = counts.get(_DELIVERED, 0) + self._kept
        if self._link is not None:
            counts[_NO_LINK] = self._link.lost
        return counts

    @property
    def port(self) -> int:
        """Port that the socket is bound to."""
        return self._socket.getsockname()[1]

    def close(self) -> None:
        """Free the socket."""
        self._loop.forget(self._socket)
        self._socket.close()

    def take_batch(self, mask: int = EVENT_READ) -> None:
        """Take the packets that wait, up to a batch."""
        now = self._clock()
        self.last_packet_at = now
        if self._state.epoch != self._epoch or len(self._path_by_key) > _MOST_PATHS:
            self._epoch = self._state.epoch
            self._path_by_key.clear()
        self._state.flows.expire_openings(now)
        self._read_batch(now)
        self.resume()

    def resume(self) -> None:
        """Send on or refuse the requests that wait no longer."""
        if not self._state.waiting:
            return
        for packet, verdict in self._steering.resume(self._clock()):
            self._apply(packet, verdict)
        end = self._state.waiting.next_expiry
        if end is not None and end != self._resumed_at:
            self._resumed_at = end
            self._loop.call_at(end, self.resume)

    def release_held(self) -> None:
        """Decide on the packets that came before the state was ready."""
        if not self._held or not self._state.ready:
            return
        now = self._clock()
        for raw in self._held.release(now):
            self._take(raw, now)

    def drop_waiting(self) -> None:
        """Drop and count the packets that wait in the kernel, here, and for the link."""
        if self._link is not None:
            self._count(_STALE, self._link.drop())
        self._count(_STALE, self._held.drop())
        while self._reads_one():
            self._count(_STALE)

    def _read_batch(self, now: float) -> None:
        for _ in range(_BATCH):
            try:
                raw = self._socket.recv(_MOST_DATAGRAM)
            except BlockingIOError:
                return
            except OSError as fault:
                self._note_fault(f'receive: {fault}', b'')
                return
            if not self._forward_ordinary(raw, now):
                self._take(raw, now)

    def _reads_one(self) -> bool:
        try:
            self._socket.recv(_MOST_DATAGRAM)
        except OSError:
            return False
        return True

    def _forward_ordinary(self, raw: bytes, now: float) -> bool:
        """Send an ordinary packet on its kept path; return whether it has one."""
        if len(raw) < self._head_bytes:
            return False
        payload_bytes, key, flags, sequence, acknowledged = self._positions(raw)
        if flags != self._ordinary_flags or len(raw) != self._head_bytes + payload_bytes:
            return False
        path = self._path_by_key.get(key)
        if path is None or not path.flow.live:
            return False
        if payload_bytes and not path.flow.busy and not path.pool.has_room:
            return False
        self._step(path.flow, now, sequence, acknowledged, payload_bytes > 0)
        self._kept += 1
        self._leave(key, path.prefix + raw, path.address, now)
        return True

    def _take(self, raw: bytes, now: float) -> None:
        if not self._state.ready:
            self._held.hold(raw, now)
            return
        packet = self._format.read(raw)
        if isinstance(packet, str):
            self._count(packet)
            self._note_fault(packet, raw)
            return
        self._apply(packet, self._steering.decide(packet, now))

    def _apply(self, packet: FlowPacket, verdict: Verdict) -> None:
        if isinstance(verdict, Deliver):
            self._count(_DELIVERED)
            self._remember_path(packet.raw, verdict)
            raw, address = self._format.delivery(packet, verdict.upstream, verdict.connection_id)
            self._leave(self._positions(packet.raw)[1], raw, address, self._clock())
            return
        if isinstance(verdict, Wait):
            self._count(_WAITED)
            return
        self._count(verdict.reason)
        if isinstance(verdict, Reset):
            self._send(*self._format.reset(packet))

    def _remember_path(self, raw: bytes, verdict: Deliver) -> None:
        if verdict.flow is None:
            return
        key = self._positions(raw)[1]
        upstream = verdict.upstream
        prefix = self._format.prefix(upstream)
        self._path_by_key[key] = _KnownPath(prefix, upstream, verdict.flow)

    def _leave(self, key: bytes, raw: bytes, address: tuple[str, int], now: float) -> None:
        """Send a datagram now, or when the link has room for it."""
        link = self._link
        if link is None or link.passes(len(raw), now):
            self._send(raw, address)
            return
        waited = len(link)
        link.add(Outgoing(key, raw, address))
        if not waited:
            self._loop.call_at(link.next_at, self._send_due)

    def _send_due(self) -> None:
        """Send what the link has room for, and come again while something waits."""
        link = self._link
        if link is None:
            return
        outgoing = link.take_due(self._clock())
        while outgoing is not None:
            self._send(outgoing.raw, outgoing.address)
            outgoing = link.take_due(self._clock())
        if link:
            self._loop.call_at(link.next_at, self._send_due)

    def _send(self, raw: bytes, address: tuple[str, int]) -> None:
        """Send a datagram; one that the kernel refuses is lost like any other."""
        try:
            self._socket.sendto(raw, address)
        except OSError as refused:
            self._note_refused(refused, raw)

    def _note_refused(self, refused: OSError, raw: bytes) -> None:
        self._count('send_error')
        self._note_fault(f'send: {refused}', raw)

    def _count(self, fate: str, packets: int = 1) -> None:
        self._count_by_fate[fate] = self._count_by_fate.get(fate, 0) + packets
