"""Send requests to upstreams over gRPC and report how each attempt ended."""

from asyncio import CancelledError, Queue, Task, create_task
from collections.abc import Callable
from dataclasses import dataclass, field

from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.metadata import Deadline

from bronzekeel.core.effects import Attempt
from bronzekeel.core.events import AttemptEnded
from bronzekeel.core.outcomes import AttemptEnd, NotRun, Unknown
from bronzekeel.proto.requests_grpc import UpstreamStub
from bronzekeel.proto.requests_pb2 import Work


#: Pieces of an answer that are buffered for a slow caller before reading from the
#: upstream stops (back-pressure).
_MAX_BUFFERED_PIECES = 16


@dataclass(frozen=True, slots=True)
class EndMark:
    """Mark the end of a complete answer of `size` bytes."""

    size: int


@dataclass(slots=True)
class Answer:
    """Hold the body of a request and the queue of answer pieces for its caller."""

    request: str
    service: str
    body: bytes
    pieces: 'Queue[bytes | EndMark | NotRun | Unknown]' = field(
        default_factory=lambda: Queue(_MAX_BUFFERED_PIECES),
    )
    size: int = 0


class Upstreams:
    """Own the channels to upstreams and the attempts in progress."""

    def __init__(self, ended: Callable[[AttemptEnded], None]) -> None:
        """Report the end of every attempt to `ended`."""
        self._ended = ended
        self._channels: dict[str, Channel] = {}
        self._tasks: dict[str, Task[None]] = {}

    def attempt(self, effect: Attempt, answer: Answer, wait_s: float) -> None:
        """Start an attempt with a timeout of `wait_s` seconds."""
        task = create_task(self._run(effect, answer, wait_s))
        self._tasks[effect.request] = task

    def cancel(self, request: str) -> None:
        """Cancel the attempt for a request, if one is in progress."""
        task = self._tasks.get(request)
        if task is not None:
            task.cancel()

    def close(self) -> None:
        """Cancel all attempts and close all channels."""
        for task in list(self._tasks.values()):
            task.cancel()
        for channel in self._channels.values():
            channel.close()

    def channel_to(self, endpoint: str) -> Channel:
        """Return the cached channel to an upstream; it connects with the first call."""
        channel = self._channels.get(endpoint)
        if channel is None:
            host, _, port = endpoint.rpartition(':')
            channel = Channel(host, int(port))
            self._channels[endpoint] = channel
        return channel

    async def _run(self, effect: Attempt, answer: Answer, wait_s: float) -> None:
        try:
            ended = await self._call(effect.upstream, answer, wait_s)
        except CancelledError:
            ended = AttemptEnd.CANCELLED
        self._tasks.pop(effect.request, None)
        self._ended(AttemptEnded(effect.request, effect.upstream, ended))

    async def _call(self, endpoint: str, answer: Answer, wait_s: float) -> AttemptEnd:
        """Make one call and return how it ended.

        A failure before the request is sent proves that the upstream did not run it.
        """
        stub = UpstreamStub(self.channel_to(endpoint))
        sent = False
        deadline = Deadline.from_timeout(wait_s)
        try:
            async with stub.Handle.open(timeout=wait_s) as stream:
                await stream.send_request()
                sent = True
                work = Work(id=answer.request, service=answer.service, body=answer.body)
                await stream.send_message(work, end=True)
                return await self._relay(stream, answer)
        except GRPCError as error:
            if error.status is Status.RESOURCE_EXHAUSTED and not answer.size:
                return AttemptEnd.SHED
        except (OSError, StreamTerminatedError, TimeoutError):
            if not sent:
                return AttemptEnd.UNREACHED
        if deadline.time_remaining() <= 0:
            return AttemptEnd.DEADLINE
        return AttemptEnd.CUT if answer.size else AttemptEnd.LOST

    async def _relay(self, stream: object, answer: Answer) -> AttemptEnd:
        """Pass the answer on piece by piece; it is complete only with an end mark."""
        async for piece in stream:  # type: ignore[attr-defined]
            if piece.HasField('end'):
                if piece.end.size != answer.size:
                    break
                await answer.pieces.put(EndMark(answer.size))
                return AttemptEnd.ANSWERED
            answer.size += len(piece.chunk)
            await answer.pieces.put(piece.chunk)
        return AttemptEnd.CUT if answer.size else AttemptEnd.LOST
