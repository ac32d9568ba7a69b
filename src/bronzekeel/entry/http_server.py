"""Answer GET requests over HTTP: the fabric's probes and peers' questions."""

from collections.abc import Callable
from selectors import EVENT_READ, EVENT_WRITE
from socket import AF_INET, SO_REUSEADDR, SOCK_STREAM, SOL_SOCKET, socket

from httptools import HttpParserError, HttpRequestParser

from bronzekeel.entry.loop import Loop


OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404
UNAVAILABLE = 503

_BACKLOG = 64
_CHUNK_BYTES = 4096

#: Connections that are held at once.  Source: the fabric has one or two, and
#: all peers of a data centre may ask at the same moment (``MAX_NEIGHBOURS``).
_MOST_CONNECTIONS = 64


class Answer:
    """Hold the answer to one request."""

    __slots__ = ('body', 'status')

    def __init__(self, status: int, body: bytes = b'') -> None:
        """Answer with `status` and `body`."""
        self.status = status
        self.body = body

    def encode(self) -> bytes:
        """Return the answer as it goes over the wire."""
        head = f'HTTP/1.1 {self.status} -\r\nContent-Length: {len(self.body)}\r\n\r\n'
        return head.encode() + self.body


_AnswerTo = Callable[[str], Answer]


def bound_stream(address: tuple[str, int]) -> socket:
    """Return a socket that is to take connections at `address`.

    Raises OSError when the port is taken or the address is not this host's.
    """
    bound = socket(AF_INET, SOCK_STREAM)
    bound.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
    bound.bind(address)
    return bound


class HttpServer:
    """Own one listening port."""

    def __init__(self, loop: Loop, bound: socket, answer_to: _AnswerTo) -> None:
        """Listen on a `bound` socket; ``answer_to`` is asked for the answer to each target."""
        self._loop = loop
        self._answer_to = answer_to
        self._connections: set[_Connection] = set()
        self._socket = bound
        self._socket.setblocking(False)
        self._socket.listen(_BACKLOG)
        loop.watch(self._socket, EVENT_READ, self._accept)

    @property
    def port(self) -> int:
        """Port that the socket is bound to."""
        return self._socket.getsockname()[1]

    @property
    def sending(self) -> int:
        """Number of connections whose answers are not yet sent."""
        return sum(connection.is_sending for connection in self._connections)

    def close(self) -> None:
        """Free the port and close all connections."""
        self._loop.forget(self._socket)
        self._socket.close()
        for connection in list(self._connections):
            connection.close()

    def _accept(self, mask: int) -> None:
        try:
            accepted, _ = self._socket.accept()
        except OSError:
            return
        accepted.setblocking(False)
        if len(self._connections) >= _MOST_CONNECTIONS:
            accepted.close()
            return
        self._connections.add(
            _Connection(self._loop, accepted, self._answer_to, self._connections.discard),
        )


class _Connection:
    """Serve one connection, one request after the other."""

    def __init__(
        self,
        loop: Loop,
        accepted: socket,
        answer_to: _AnswerTo,
        closed: Callable[['_Connection'], None],
    ) -> None:
        self._loop = loop
        self._socket = accepted
        self._answer_to = answer_to
        self._closed = closed
        self._target = b''
        self._unsent = b''
        self._parser = HttpRequestParser(self)
        loop.watch(accepted, EVENT_READ, self._ready)

    @property
    def is_sending(self) -> bool:
        """Whether a part of an answer is not yet sent."""
        return bool(self._unsent)

    def on_message_begin(self) -> None:
        """Begin a request (called by the parser)."""
        self._target = b''

    def on_url(self, url: bytes) -> None:
        """Take the target, which may come in pieces (called by the parser)."""
        self._target += url

    def on_message_complete(self) -> None:
        """Answer a request that is whole (called by the parser)."""
        self._unsent += self._answer_to(self._target.decode('latin-1')).encode()

    def close(self) -> None:
        """Close the connection."""
        self._loop.forget(self._socket)
        self._socket.close()
        self._closed(self)

    def _ready(self, mask: int) -> None:
        try:
            if mask & EVENT_READ and not self._receive():
                self.close()
                return
            self._send()
        except (OSError, HttpParserError):
            self.close()

    def _receive(self) -> bool:
        """Read and parse; return whether the peer still sends."""
        chunk = self._socket.recv(_CHUNK_BYTES)
        if chunk:
            self._parser.feed_data(chunk)
        return bool(chunk)

    def _send(self) -> None:
        if self._unsent:
            sent = self._socket.send(self._unsent)
            self._unsent = self._unsent[sent:]
        mask = EVENT_READ | EVENT_WRITE if self._unsent else EVENT_READ
        self._loop.watch(self._socket, mask, self._ready)
