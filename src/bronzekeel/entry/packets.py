"""Receive packets, ask for their verdicts, and send them on their way."""

from collections.abc import Callable
from selectors import EVENT_READ
from socket import AF_INET, SO_RCVBUF, SOCK_DGRAM, SOL_SOCKET, socket
from time import monotonic

from bronzekeel.core.routing.model import FlowPacket
from bronzekeel.core.routing.verdicts import Deliver, Reset, Verdict
from bronzekeel.entry.loop import Loop
from bronzekeel.entry.ports import PacketFormat


#: Datagrams taken before probes and the store get their turn.
_BATCH = 64
_MOST_DATAGRAM = 2048

#: Bytes that the kernel may hold for us.  Source: two tenths of a second of a
#: busy host's packets, the time that a start of Python may take on a slow one.
_RECEIVE_BUFFER = 1024 * 1024

_Decide = Callable[[FlowPacket, float], Verdict]
_Fault = Callable[[str, bytes], None]


class PacketSocket:
    """Own the UDP socket for packets of flows.

    `count_by_fate` tells what became of them.
    """

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        packet_format: PacketFormat,
        decide: _Decide,
        note_fault: _Fault,
    ) -> None:
        """Bind the socket and start to take packets."""
        self.count_by_fate: dict[str, int] = {}
        self.last_packet_at: float = 0
        self._format = packet_format
        self._decide = decide
        self._note_fault = note_fault
        self._loop = loop
        self._socket = socket(AF_INET, SOCK_DGRAM)
        self._socket.setsockopt(SOL_SOCKET, SO_RCVBUF, _RECEIVE_BUFFER)
        self._socket.setblocking(False)
        self._socket.bind(address)
        loop.watch(self._socket, EVENT_READ, self.take_batch)

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
        for _ in range(_BATCH):
            try:
                raw = self._socket.recv(_MOST_DATAGRAM)
            except BlockingIOError:
                return
            except OSError as fault:
                self._note_fault(f'receive: {fault}', b'')
                return
            self._take(raw)

    def _take(self, raw: bytes) -> None:
        packet = self._format.read(raw)
        if isinstance(packet, str):
            self._count(packet)
            self._note_fault(packet, raw)
            return
        now = monotonic()
        self.last_packet_at = now
        verdict = self._decide(packet, now)
        if isinstance(verdict, Deliver):
            self._count('delivered')
            self._send(
                *self._format.delivery(packet, verdict.upstream, verdict.connection_id),
            )
            return
        self._count(verdict.reason)
        if isinstance(verdict, Reset):
            self._send(*self._format.reset(packet))

    def _send(self, raw: bytes, address: tuple[str, int]) -> None:
        """Send a datagram; one that the kernel refuses is lost like any other."""
        try:
            self._socket.sendto(raw, address)
        except OSError as fault:
            self._count('send_error')
            self._note_fault(f'send: {fault}', raw)

    def _count(self, fate: str) -> None:
        self.count_by_fate[fate] = self.count_by_fate.get(fate, 0) + 1
