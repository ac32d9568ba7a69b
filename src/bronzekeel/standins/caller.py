"""Stand-in for callers of request services."""

from collections import Counter
from dataclasses import dataclass, field

from grpclib.client import Channel

from bronzekeel.adapters.errors import CALL_ERRORS
from bronzekeel.proto import requests_pb2 as proto
from bronzekeel.proto.requests_grpc import RequestsStub


_DEADLINE_MS = 4000
_CALL_TIMEOUT_S = 8.0


@dataclass(frozen=True, slots=True)
class RequestResult:
    """Hold the result of one request as its caller got it."""

    request: str
    outcome: str
    kind: str = ''
    body: bytes = b''


@dataclass(slots=True)
class CallerStandIn:
    """Send requests to balancers and record the results.

    `cut` counts truncated answers: those that ended without an end marker and without another
    outcome, or whose size differs from the one in the marker.  `mismatched` counts complete
    answers that belong to another request.
    """

    channels: dict[str, Channel] = field(default_factory=dict)
    retired: list[Channel] = field(default_factory=list)
    request_results: list[RequestResult] = field(default_factory=list)
    outcomes: Counter[str] = field(default_factory=Counter)
    cut: int = 0
    mismatched: int = 0

    def add(self, name: str, address: str, port: int) -> None:
        """Add a balancer, and create the channel to it."""
        self.channels[name] = Channel(address, port)

    def remove(self, name: str) -> None:
        """Remove a balancer; calls in progress continue."""
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
    ) -> RequestResult:
        """Reserve an id at a balancer, run the request there, and record the result."""
        channel = self.channels[name]
        stub = RequestsStub(channel)
        try:
            reserved = await stub.Reserve(
                proto.ReserveRequest(service=service, deadline_ms=_DEADLINE_MS),
                timeout=_CALL_TIMEOUT_S,
            )
        except CALL_ERRORS:
            return self._record(RequestResult('', 'not_reserved'))
        if reserved.HasField('not_run'):
            return self._record(RequestResult('', 'not_run', reserved.not_run.kind))
        return await self.run(channel, reserved.id, service, body, idempotent=idempotent)

    async def run(
        self,
        channel: Channel,
        request: str,
        service: str,
        body: bytes,
        *,
        idempotent: bool = False,
    ) -> RequestResult:
        """Run a request under a reserved id and record the result."""
        run_request = proto.RunRequest(
            id=request,
            service=service,
            group='demo',
            idempotent=idempotent,
            deadline_ms=_DEADLINE_MS,
            body=body,
        )
        try:
            result = await self._read_answer(channel, run_request)
        except CALL_ERRORS:
            result = RequestResult(request, 'unknown', 'connection_lost')
        if result.outcome == 'cut':
            self.cut += 1
        return self._record(result)

    def close(self) -> None:
        """Close all connections."""
        for channel in (*self.channels.values(), *self.retired):
            channel.close()

    async def _read_answer(self, channel: Channel, run_request: proto.RunRequest) -> RequestResult:
        """Read an answer up to its end marker, or another outcome."""
        parts: list[bytes] = []
        async with RequestsStub(channel).Run.open(timeout=_CALL_TIMEOUT_S) as stream:
            await stream.send_message(run_request, end=True)
            async for reply in stream:
                if not reply.HasField('chunk'):
                    return self._result_of(run_request.id, reply, b''.join(parts), run_request.body)
                parts.append(reply.chunk)
        return RequestResult(run_request.id, 'cut')

    def _result_of(
        self,
        request: str,
        reply: proto.RunReply,
        answer: bytes,
        body: bytes,
    ) -> RequestResult:
        if reply.HasField('not_run'):
            return RequestResult(request, 'not_run', reply.not_run.kind)
        if reply.HasField('unknown'):
            return RequestResult(request, 'unknown', reply.unknown.kind)
        if reply.end.size != len(answer):
            self.cut += 1
        elif answer != b':'.join((request.encode(), body)):
            self.mismatched += 1
        return RequestResult(request, 'answered', '', answer)

    def _record(self, result: RequestResult) -> RequestResult:
        self.request_results.append(result)
        self.outcomes[result.outcome] += 1
        return result
