"""Stand in for callers of request services."""

from collections import Counter
from dataclasses import dataclass, field

from grpclib.client import Channel

from bronzekeel.adapters.errors import CALL_ERRORS
from bronzekeel.proto import requests_pb2 as proto
from bronzekeel.proto.requests_grpc import RequestsStub


_DEADLINE_MS = 4000
_PATIENCE_S = 8.0


@dataclass(frozen=True, slots=True)
class Told:
    """Hold what a caller was told of one request."""

    request: str
    outcome: str
    kind: str = ''
    body: bytes = b''


@dataclass(slots=True)
class CallerStandIn:
    """Send requests to balancers and keep what it was told.

    `cut` counts answers that ended without their end mark and without another
    outcome; `crossed` counts whole answers to another request.
    """

    channels: dict[str, Channel] = field(default_factory=dict)
    retired: list[Channel] = field(default_factory=list)
    told: list[Told] = field(default_factory=list)
    outcomes: Counter[str] = field(default_factory=Counter)
    cut: int = 0
    crossed: int = 0

    def add(self, name: str, address: str, port: int) -> None:
        """Make a balancer known."""
        self.channels[name] = Channel(address, port)

    def remove(self, name: str) -> None:
        """Forget a balancer; calls in progress go on."""
        channel = self.channels.pop(name, None)
        if channel is not None:
            self.retired.append(channel)

    async def request(
        self,
        name: str,
        service: str,
        body: bytes,
        *,
        idempotent: bool = False,
    ) -> Told:
        """Reserve an id at a balancer, run it there, and note the outcome."""
        channel = self.channels[name]
        stub = RequestsStub(channel)
        try:
            reserved = await stub.Reserve(
                proto.ReserveRequest(service=service, deadline_ms=_DEADLINE_MS),
                timeout=_PATIENCE_S,
            )
        except CALL_ERRORS:
            return self._note(Told('', 'not_reserved'))
        if reserved.HasField('not_run'):
            return self._note(Told('', 'not_run', reserved.not_run.kind))
        return await self.run(channel, reserved.id, service, body, idempotent=idempotent)

    async def run(
        self,
        channel: Channel,
        request: str,
        service: str,
        body: bytes,
        *,
        idempotent: bool = False,
    ) -> Told:
        """Run a reserved id and note the outcome."""
        asked = proto.RunRequest(
            id=request,
            service=service,
            group='demo',
            idempotent=idempotent,
            deadline_ms=_DEADLINE_MS,
            body=body,
        )
        try:
            told = await self._read(channel, asked)
        except CALL_ERRORS:
            told = Told(request, 'unknown', 'connection_lost')
        if told.outcome == 'cut':
            self.cut += 1
        return self._note(told)

    def close(self) -> None:
        """Close all connections."""
        for channel in (*self.channels.values(), *self.retired):
            channel.close()

    async def _read(self, channel: Channel, asked: proto.RunRequest) -> Told:
        """Read an answer to its end mark, or another outcome."""
        parts: list[bytes] = []
        async with RequestsStub(channel).Run.open(timeout=_PATIENCE_S) as stream:
            await stream.send_message(asked, end=True)
            async for reply in stream:
                if not reply.HasField('chunk'):
                    return self._told(asked.id, reply, b''.join(parts), asked.body)
                parts.append(reply.chunk)
        return Told(asked.id, 'cut')

    def _told(
        self,
        request: str,
        reply: proto.RunReply,
        answer: bytes,
        body: bytes,
    ) -> Told:
        if reply.HasField('not_run'):
            return Told(request, 'not_run', reply.not_run.kind)
        if reply.HasField('unknown'):
            return Told(request, 'unknown', reply.unknown.kind)
        if reply.end.size != len(answer):
            self.cut += 1
        elif answer != b':'.join((request.encode(), body)):
            self.crossed += 1
        return Told(request, 'answered', '', answer)

    def _note(self, told: Told) -> Told:
        self.told.append(told)
        self.outcomes[told.outcome] += 1
        return told
