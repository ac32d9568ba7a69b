"""Receive packets, decide on each, and forward, hand off or drop it."""

from asyncio import AbstractEventLoop
from collections import Counter
from collections.abc import Callable
from socket import AF_INET, SO_RCVBUF, SOCK_DGRAM, SOL_SOCKET, socket
from time import monotonic

from bronzekeel.adapters.codec import hand_off_header, read_packet
from bronzekeel.core.effects import Drop, Forward, Hand
from bronzekeel.core.events import Packet
from bronzekeel.core.steering.packets import DropReason, Verdict


#: Datagrams received per wake-up, so that other work on the event loop is not starved.
_MAX_BATCH = 64
_MAX_DATAGRAM_BYTES = 65535
_RECEIVE_BUFFER_BYTES = 4 * 1024 * 1024

_Address = tuple[str, int]
_Decide = Callable[[Packet, float], Verdict]


class PacketSocket:
    """Own the UDP socket for packets of flows.

    `address_of` returns the packet address of a balancer by name, None if it is not known.  The
    function set by ``steer_by`` decides on packets; until then all are dropped.
    """

    def __init__(
        self,
        address: str,
        port: int,
        address_of: Callable[[str], _Address | None],
        clock: Callable[[], float] = monotonic,
    ) -> None:
        """Bind the socket; with port 0 the kernel chooses a free port."""
        self.counts: Counter[str] = Counter()
        self._decide: _Decide = _drop_not_ready
        self._clock = clock
        self._address_of = address_of
        self._endpoints: dict[str, _Address] = {}
        self._loop: AbstractEventLoop | None = None
        self._socket = socket(AF_INET, SOCK_DGRAM)
        self._socket.setsockopt(SOL_SOCKET, SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
        self._socket.setblocking(False)
        self._socket.bind((address, port))

    @property
    def port(self) -> int:
        """Return the port that the socket is bound to."""
        return self._socket.getsockname()[1]

    def open(self, loop: AbstractEventLoop) -> None:
        """Start receiving packets."""
        self._loop = loop
        loop.add_reader(self._socket.fileno(), self.receive_batch)

    def steer_by(self, decide: _Decide) -> None:
        """Call `decide` with each packet and the time of its batch for the verdict."""
        self._decide = decide

    def close(self) -> None:
        """Stop receiving packets and close the socket."""
        if self._loop is not None:
            self._loop.remove_reader(self._socket.fileno())
        self._socket.close()

    def receive_batch(self) -> None:
        """Receive the packets that are queued, up to one batch."""
        receive = self._socket.recv
        send = self._socket.sendto
        decide = self._decide
        now = self._clock()
        endpoints = self._endpoints
        forwarded = 0
        try:
            for _ in range(_MAX_BATCH):
                packet = read_packet(receive(_MAX_DATAGRAM_BYTES))
                if not isinstance(packet, Packet):
                    self.counts[packet] += 1
                    continue
                verdict = decide(packet, now)
                # The common verdict is executed inline: a function call per packet is costly here.
                if (
                    not isinstance(verdict, Forward)
                    or verdict.stale
                    or verdict.upstream not in endpoints
                ):
                    self.carry_out(verdict)
                    continue
                send(verdict.raw, endpoints[verdict.upstream])
                forwarded += 1
        except BlockingIOError:
            self.counts['batches'] += 1
        except OSError:
            self.counts['socket_error'] += 1
        self.counts['forwarded'] += forwarded

    def carry_out(self, verdict: Forward | Hand | Drop) -> None:
        """Forward, hand off or drop a packet according to its verdict."""
        if isinstance(verdict, Forward):
            self.counts['stale' if verdict.stale else 'forwarded'] += 1
            self._send(verdict.raw, self._endpoint(verdict.upstream))
            return
        if isinstance(verdict, Drop):
            self.counts[verdict.reason] += 1
            return
        address = self._address_of(verdict.host)
        if address is None:
            self.counts[DropReason.NO_KEEPER] += 1
            return
        self.counts['handed'] += 1
        self._send(hand_off_header(verdict.hops) + verdict.raw, address)

    def _endpoint(self, endpoint: str) -> _Address:
        """Return an endpoint as a socket address, from the cache if possible."""
        address = self._endpoints.get(endpoint)
        if address is None:
            host, _, port = endpoint.rpartition(':')
            address = (host, int(port))
            self._endpoints[endpoint] = address
        return address

    def _send(self, raw: bytes, address: _Address) -> None:
        """Send a datagram; it is lost if the socket buffer is full, as on a network."""
        try:
            self._socket.sendto(raw, address)
        except OSError:
            self.counts['send_error'] += 1


def _drop_not_ready(packet: Packet, now: float) -> Verdict:
    return Drop(DropReason.NOT_READY)
