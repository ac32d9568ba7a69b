"""Send and receive messages between balancers.

Heartbeats are datagrams: the next one replaces a lost one, and a late one must not delay others.
All other messages are sent in order over gRPC, several per call.
"""

from asyncio import (
    AbstractEventLoop,
    DatagramProtocol,
    DatagramTransport,
    Queue,
    QueueFull,
    Task,
    create_task,
    get_running_loop,
)
from collections import Counter
from collections.abc import Callable
from itertools import repeat
from logging import getLogger
from typing import Any

from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.const import Cardinality, Handler
from grpclib.encoding.base import CodecBase
from grpclib.server import Server, Stream
from msgspec import DecodeError, Struct, ValidationError
from msgspec.msgpack import Decoder, Encoder

from bronzekeel.adapters.errors import CALL_ERRORS
from bronzekeel.core.log_numbers import LogNumber
from bronzekeel.core.messages import Heartbeat, HostEntry, Message
from bronzekeel.entry.port_pair import MAX_BIND_ATTEMPTS, bind_pair
from bronzekeel.wire import WireError, decode, encode, wire_bytes


_logger = getLogger(__name__)

_PATH = '/bronzekeel.Peers/Deliver'
_CALL_TIMEOUT_S = 2.0
_MAX_QUEUED = 4096
_MAX_BATCH = 256


class _Batch(Struct, frozen=True, array_like=True):
    """Contain the messages of one call."""

    messages: tuple[Message, ...]


class _Ack(Struct, frozen=True, array_like=True):
    """Acknowledge a batch."""


class _PeerCodec(CodecBase):
    """Encode calls between peers as MessagePack."""

    __content_subtype__ = 'msgpack'

    def __init__(self) -> None:
        self._encoder = Encoder()
        self._decoders: dict[type, Decoder[Any]] = {
            _Batch: Decoder(_Batch),
            _Ack: Decoder(_Ack),
        }

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Encode a request or reply of a call."""
        return self._encoder.encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Decode a request or reply of a call.  Raises WireError if it is invalid."""
        try:
            return self._decoders[message_type].decode(data)
        except (DecodeError, ValidationError, RecursionError) as error:
            raise WireError(f'invalid peer call, drop it: {error}') from error


class _Service:
    """Serve calls from peers."""

    def __init__(self, on_message: Callable[[Message], None]) -> None:
        self._on_message = on_message

    async def deliver(self, stream: Stream[_Batch, _Ack]) -> None:
        batch = await stream.recv_message()
        if batch is not None:
            for message in batch.messages:
                self._on_message(message)
        await stream.send_message(_Ack())

    def __mapping__(self) -> dict[str, Handler]:  # noqa: PLW3201 (grpclib asks for it)
        return {
            _PATH: Handler(self.deliver, Cardinality.UNARY_UNARY, _Batch, _Ack),
        }


class _Datagrams(DatagramProtocol):
    """Receive heartbeats; count and drop datagrams that cannot be decoded."""

    def __init__(self, on_message: Callable[[Message], None], counts: Counter[str]) -> None:
        self._on_message = on_message
        self._counts = counts

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        try:
            message = decode(data)
        except WireError:
            self._counts['bad_datagram'] += 1
            return
        self._on_message(message)


class _Outbox:
    """Queue messages for one peer and send them in order."""

    def __init__(self, host: HostEntry, codec: CodecBase) -> None:
        self.host = host
        self._queue: Queue[Message] = Queue(_MAX_QUEUED)
        self._channel = Channel(host.address, host.peers, codec=codec)
        self._task: Task[None] = create_task(self._run())
        self.failed = 0

    def put(self, message: Message) -> None:
        """Queue a message; if the queue is full it is lost, and the protocol repeats it."""
        try:
            self._queue.put_nowait(message)
        except QueueFull:
            self.failed += 1

    def close(self) -> None:
        """Stop sending and close the connection."""
        self._task.cancel()
        self._channel.close()

    async def _run(self) -> None:
        method = UnaryUnaryMethod(self._channel, _PATH, _Batch, _Ack)
        while True:
            batch = [await self._queue.get()]
            while not self._queue.empty() and len(batch) < _MAX_BATCH:
                batch.append(self._queue.get_nowait())
            try:
                await method(_Batch(tuple(batch)), timeout=_CALL_TIMEOUT_S)
            except CALL_ERRORS:
                self.failed += 1
                _logger.debug(
                    'cannot reach peer %s',
                    self.host.name,
                    extra={'event': LogNumber.PEER_UNREACHED},
                )


class Peers:
    """Own the sockets for messages from and to other balancers."""

    def __init__(self, on_message: Callable[[Message], None]) -> None:
        """Pass every received message to `on_message`."""
        self.counts: Counter[str] = Counter()
        self.bytes_by_kind: Counter[str] = Counter()
        self._on_message = on_message
        self._codec = _PeerCodec()
        self._server = Server([_Service(on_message)], codec=self._codec)
        self._transport: DatagramTransport | None = None
        self._outboxes: dict[str, _Outbox] = {}

    async def open(self, address: str, port: int) -> int:
        """Bind one port for both calls and datagrams, and return its number."""
        loop: AbstractEventLoop = get_running_loop()
        datagrams, calls = bind_pair(address, repeat(port, MAX_BIND_ATTEMPTS))
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _Datagrams(self._on_message, self.counts),
            sock=datagrams,
        )
        self._transport = transport
        await self._server.start(sock=calls)
        return calls.getsockname()[1]

    def send(self, host: HostEntry, message: Message) -> None:
        """Send a message to a peer, without a guarantee of delivery."""
        raw = encode(message)
        self.bytes_by_kind[type(message).__name__] += wire_bytes(message, raw)
        if isinstance(message, Heartbeat):
            if self._transport is not None:
                self._transport.sendto(raw, (host.address, host.peers))
            return
        self._outbox(host).put(message)

    async def close(self) -> None:
        """Close all connections and sockets."""
        for outbox in self._outboxes.values():
            outbox.close()
        if self._transport is not None:
            self._transport.close()
        self._server.close()
        await self._server.wait_closed()

    def _outbox(self, host: HostEntry) -> _Outbox:
        outbox = self._outboxes.get(host.name)
        if outbox is None or outbox.host != host:
            if outbox is not None:
                outbox.close()
            outbox = _Outbox(host, self._codec)
            self._outboxes[host.name] = outbox
        return outbox
