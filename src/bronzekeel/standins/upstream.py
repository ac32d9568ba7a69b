"""Stand-ins for upstreams: one for packets of flows, one for requests."""

from asyncio import CancelledError, DatagramProtocol, DatagramTransport, get_running_loop, sleep
from collections import Counter
from dataclasses import dataclass, field
from random import Random
from typing import Any

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.health.check import ServiceStatus
from grpclib.health.service import Health
from grpclib.server import Server, Stream

from bronzekeel.proto import requests_pb2 as proto
from bronzekeel.proto.requests_grpc import UpstreamBase
from bronzekeel.standins.packets import ACK, SYN, Segment, build, read_segment


_Address = tuple[str, int]


@dataclass(slots=True, eq=False)
class FlowUpstream(DatagramProtocol):
    """Receive a service's packets as the kernel of its host would, and answer directly.

    A packet of a flow that it did not open is answered by a reset; a packet for another service
    is counted as misdelivered.
    """

    service: _Address
    answer_to: _Address
    flows: set[tuple[str, int]] = field(default_factory=set)
    opened: int = 0
    misdelivered: int = 0
    resets: int = 0
    last_opened_at: float = 0
    transport: DatagramTransport | None = None

    async def open(self) -> str:
        """Bind a socket and return the endpoint for the text."""
        transport, _ = await get_running_loop().create_datagram_endpoint(
            lambda: self,
            local_addr=('127.0.0.1', 0),
        )
        self.transport = transport
        host, port = transport.get_extra_info('sockname')[:2]
        return f'{host}:{port}'

    def close(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        """Handle one inner packet."""
        segment = read_segment(data)
        if (segment.target, segment.target_port) != self.service:
            self.misdelivered += 1
            return
        key = (segment.source, segment.source_port)
        if segment.flags & SYN:
            if key not in self.flows:
                self.opened += 1
                self.last_opened_at = get_running_loop().time()
            self.flows.add(key)
            self._answer(segment, SYN | ACK, b'')
        elif key in self.flows:
            self._answer(segment, ACK, segment.content)
        else:
            self.resets += 1
            self._answer(segment, ACK, b'reset')

    def _answer(self, segment: Segment, flags: int, content: bytes) -> None:
        if self.transport is None:
            return
        raw = build(
            Segment(
                segment.target,
                segment.target_port,
                segment.source,
                segment.source_port,
                flags,
                content,
            )
        )
        self.transport.sendto(raw, self.answer_to)


@dataclass(slots=True, eq=False)
class RequestUpstream(UpstreamBase):
    """Run requests in a number of slots, and shed those beyond.

    Work takes twice as long before `cold_until`.  `draining` sheds all new requests.  The next
    `lose_next` requests run but their answers are lost; the next `cut_next` answers are
    truncated.  `ran` counts the runs by request id.
    """

    random: Random
    slots: int = 3
    work_s: float = 0.03
    draining: bool = False
    cold_until: float = 0
    lose_next: int = 0
    cut_next: int = 0
    ran: Counter[str] = field(default_factory=Counter)
    shed: int = 0
    busy: int = 0
    cancelled: int = 0
    health: ServiceStatus = field(default_factory=ServiceStatus)
    server: Server | None = None

    async def open(self, port: int = 0) -> str:
        """Start serving and return the endpoint for the text; port 0 selects a free one."""
        self.health.set(True)
        self.server = Server([self, Health({self: [self.health]})])
        await self.server.start('127.0.0.1', port)
        bound = self.server._server.sockets[0].getsockname()[1]  # noqa: SLF001
        return f'127.0.0.1:{bound}'

    async def close(self) -> None:
        """Stop serving at once; calls in progress are lost."""
        if self.server is not None:
            self.server.close()
            await self.server.wait_closed()

    async def Handle(self, stream: Stream[proto.Work, proto.Piece]) -> None:
        """Run one request."""
        work = await stream.recv_message()
        if work is None:
            return
        if self.draining or self.busy >= self.slots:
            self.shed += 1
            raise GRPCError(Status.RESOURCE_EXHAUSTED, 'not started')
        self.ran[work.id] += 1
        self.busy += 1
        try:
            await self._work()
        except CancelledError:
            self.cancelled += 1
            raise
        finally:
            self.busy -= 1
        await self._answer(stream, work)

    async def _work(self) -> None:
        factor = 2 if get_running_loop().time() < self.cold_until else 1
        await sleep(self.work_s * factor * (0.5 + self.random.random()))

    async def _answer(self, stream: Stream[proto.Work, proto.Piece], work: proto.Work) -> None:
        if self.lose_next:
            self.lose_next -= 1
            raise GRPCError(Status.UNAVAILABLE, 'answer lost')
        answer = b':'.join((work.id.encode(), work.body))
        half = len(answer) // 2
        await stream.send_message(proto.Piece(chunk=answer[:half]))
        if self.cut_next:
            self.cut_next -= 1
            raise GRPCError(Status.UNAVAILABLE, 'answer cut')
        await stream.send_message(proto.Piece(chunk=answer[half:]))
        await stream.send_message(proto.Piece(end=proto.End(size=len(answer))))
