"""Serve callers over gRPC: reserve an id, run the request, stream the answer."""

from asyncio import CancelledError, Future, Task, create_task, get_running_loop
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from logging import getLogger
from types import MappingProxyType
from typing import TypeAlias

from grpclib.client import Channel
from grpclib.exceptions import StreamTerminatedError
from grpclib.server import Server, Stream

from bronzekeel.adapters.errors import CALL_ERRORS
from bronzekeel.adapters.upstreams import Answer, EndMark
from bronzekeel.core.events import CallerGone, Event, ReserveAsked, RunAsked
from bronzekeel.core.messages import HostEntry
from bronzekeel.core.outcomes import NotRun, RefusalKind, Unknown, UnknownKind
from bronzekeel.core.requests.remedies import not_run, unknown
from bronzekeel.proto import requests_pb2 as proto
from bronzekeel.proto.requests_grpc import RequestsBase, RequestsStub


_logger = getLogger(__name__)
_MILLISECONDS = 1000

#: Largest request body; callers send nothing larger than one document.
MAX_BODY_BYTES = 0x1000000

_Runs: TypeAlias = 'Stream[proto.RunRequest, proto.RunReply]'
_Reserves: TypeAlias = 'Stream[proto.ReserveRequest, proto.ReserveReply]'


_OUTCOME_NAMES: Mapping[type, str] = MappingProxyType(
    {
        EndMark: 'answered',
        NotRun: 'not_run',
        Unknown: 'unknown',
    }
)


@dataclass(frozen=True, slots=True)
class CallEnd:
    """Describe how a call ended; `took_s` is its duration in seconds."""

    service: str
    group: str
    outcome: str
    kind: str
    took_s: float


class Callers(RequestsBase):
    """Convert calls to events and effects to replies.

    `emit` passes events to the reducer; the resulting effects come back through
    ``reserved``, ``relays``, ``settle`` and ``answers``.
    """

    def __init__(
        self,
        emit: Callable[[Event], None],
        clock: Callable[[], float],
        on_end: Callable[[CallEnd], None],
    ) -> None:
        """Emit events by `emit`, read `clock` for deadlines, report each end to `on_end`."""
        self.on_end = on_end
        self.answers: dict[str, Answer] = {}
        self.relays: dict[str, HostEntry] = {}
        self._emit = emit
        self._clock = clock
        self._server = Server([self])
        self._settle_tasks: set[Task[None]] = set()
        self._reservation: Future[str | NotRun] | None = None
        self._channels: dict[str, Channel] = {}

    async def open(self, address: str, port: int) -> int:
        """Bind the port for callers and return its number."""
        await self._server.start(address, port)
        sockets = self._server._server.sockets  # noqa: SLF001 (no public way to the port)
        return sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stop accepting calls and close the channels to other balancers."""
        for channel in self._channels.values():
            channel.close()
        self._server.close()
        await self._server.wait_closed()

    def reserved(self, outcome: str | NotRun) -> None:
        """Pass the reserved id, or the refusal, to the pending Reserve call."""
        if self._reservation is not None and not self._reservation.done():
            self._reservation.set_result(outcome)

    def settle(self, request: str, outcome: NotRun | Unknown) -> None:
        """Pass a request's outcome to the call that waits for it."""
        if not request:
            if isinstance(outcome, NotRun):
                self.reserved(outcome)
            return
        answer = self.answers.get(request)
        if answer is not None:
            task = create_task(answer.pieces.put(outcome))
            self._settle_tasks.add(task)
            task.add_done_callback(self._settle_tasks.discard)

    async def Reserve(self, stream: _Reserves) -> None:
        """Handle a Reserve call: reply with a request id or a refusal."""
        message = await stream.recv_message()
        if message is None:
            return
        self._reservation = get_running_loop().create_future()
        deadline = self._clock() + message.deadline_ms / _MILLISECONDS
        self._emit(ReserveAsked(message.service, deadline))
        outcome = await self._reservation
        if isinstance(outcome, NotRun):
            await stream.send_message(proto.ReserveReply(not_run=_refusal(outcome)))
            return
        await stream.send_message(proto.ReserveReply(id=outcome))

    async def Run(self, stream: _Runs) -> None:
        """Handle a Run call: run the reserved request and stream its answer."""
        message = await stream.recv_message()
        if message is None:
            return
        if message.id in self.answers:
            await _send(stream, unknown(UnknownKind.STARTED))
            return
        if len(message.body) > MAX_BODY_BYTES:
            outcome = not_run(RefusalKind.OVERLOADED, 'body over 16 MiB')
            await _send(stream, outcome)
            return
        answer = Answer(message.id, message.service, message.body)
        self.answers[message.id] = answer
        try:
            await self._run(stream, message, answer)
        except (CancelledError, StreamTerminatedError, ConnectionError):
            self._emit(CallerGone(message.id))
            raise
        finally:
            self.answers.pop(message.id, None)

    async def _run(self, stream: _Runs, message: proto.RunRequest, answer: Answer) -> None:
        started_at = self._clock()
        deadline = started_at + message.deadline_ms / _MILLISECONDS
        self._emit(
            RunAsked(
                message.id,
                message.service,
                message.group,
                message.idempotent,
                deadline,
            )
        )
        host = self.relays.pop(message.id, None)
        if host is not None:
            await self._forward(stream, message, host)
            return
        while True:
            piece = await answer.pieces.get()
            if not isinstance(piece, bytes):
                self._report_end(message, piece, started_at)
            await _send(stream, piece)
            if not isinstance(piece, bytes):
                return

    def _report_end(
        self,
        message: proto.RunRequest,
        piece: EndMark | NotRun | Unknown,
        started_at: float,
    ) -> None:
        """Report the outcome and duration of a call to `on_end`."""
        kind = '' if isinstance(piece, EndMark) else str(piece.kind)
        outcome = _OUTCOME_NAMES[type(piece)]
        took_s = self._clock() - started_at
        self.on_end(CallEnd(message.service, message.group, outcome, kind, took_s))

    async def _forward(
        self,
        stream: _Runs,
        message: proto.RunRequest,
        host: HostEntry,
    ) -> None:
        """Relay the request to the balancer that issued its id and stream the answer back."""
        if message.relayed:
            await _send(stream, unknown(UnknownKind.ISSUER_GONE))
            return
        message.relayed = True
        channel = self._channels.get(host.name)
        if channel is None:
            channel = Channel(host.address, host.callers)
            self._channels[host.name] = channel
        ended = False
        try:
            async with RequestsStub(channel).Run.open(
                timeout=message.deadline_ms / _MILLISECONDS,
            ) as issuer_stream:
                await issuer_stream.send_message(message, end=True)
                async for reply in issuer_stream:
                    ended = not reply.HasField('chunk')
                    await stream.send_message(reply)
        except CALL_ERRORS:
            _logger.debug('failed to relay request %s', message.id)
        if not ended:
            await _send(stream, unknown(UnknownKind.ISSUER_GONE))


async def _send(stream: _Runs, piece: bytes | EndMark | NotRun | Unknown) -> None:
    """Send one piece of an answer, its end mark, or an outcome."""
    if isinstance(piece, bytes):
        await stream.send_message(proto.RunReply(chunk=piece))
    elif isinstance(piece, EndMark):
        await stream.send_message(proto.RunReply(end=proto.End(size=piece.size)))
    elif isinstance(piece, NotRun):
        await stream.send_message(proto.RunReply(not_run=_refusal(piece)))
    else:
        outcome = proto.Unknown(kind=piece.kind, remedy=piece.remedy)
        await stream.send_message(proto.RunReply(unknown=outcome))


def _refusal(outcome: NotRun) -> proto.NotRun:
    return proto.NotRun(
        kind=outcome.kind,
        remedy=outcome.remedy,
        retry_ms=int(outcome.retry_s * _MILLISECONDS),
    )
