"""HTTP server for readiness probes of the fabric and for requests of peers."""

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

#: Maximum number of open connections.  The fabric uses one or two, and all peers of a data centre
#: may connect at the same time (``MAX_NEIGHBOURS``).
_MAX_CONNECTIONS = 64


class Answer:
    """A response to one request."""

    __slots__ = ('body', 'status')

    def __init__(self, status: int, body: bytes = b'') -> None:
        """Initialise a response with `status` and `body`."""
        self.status = status
        self.body = body

    def encode(self) -> bytes:
        """Return the response as HTTP/1.1 bytes."""
        head = f'HTTP/1.1 {self.status} -\r\nContent-Length: {len(self.body)}\r\n\r\n'
        return head.encode() + self.body


_RequestHandler = Callable[[str], Answer]


def bind_stream(address: tuple[str, int]) -> socket:
    """Return a stream socket bound to `address`, not listening yet.

    Raises OSError if the port is taken or the address does not belong to this host.
    """
    bound = socket(AF_INET, SOCK_STREAM)
    bound.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
    bound.bind(address)
    return bound


class HttpServer:
    """A server on one listening socket."""

    def __init__(self, loop: Loop, bound: socket, handle_request: _RequestHandler) -> None:
        """Listen on a `bound` socket; `handle_request` returns the response to a target."""
        self._loop = loop
        self._handle_request = handle_request
        self._connections: set[_Connection] = set()
        self._socket = bound
        self._socket.setblocking(False)
        self._socket.listen(_BACKLOG)
        loop.watch(self._socket, EVENT_READ, self._accept)

    @property
    def port(self) -> int:
        """Port number of the listening socket."""
        return self._socket.getsockname()[1]

    @property
    def sending(self) -> int:
        """Number of connections with response bytes still to send."""
        return sum(connection.is_sending for connection in self._connections)

    def close(self) -> None:
        """Close the listening socket and all connections."""
        self._loop.unwatch(self._socket)
        self._socket.close()
        for connection in list(self._connections):
            connection.close()

    def _accept(self, mask: int) -> None:
        try:
            accepted, _ = self._socket.accept()
        except OSError:
            return
        accepted.setblocking(False)
        if len(self._connections) >= _MAX_CONNECTIONS:
            accepted.close()
            return
        self._connections.add(
            _Connection(self._loop, accepted, self._handle_request, self._connections.discard),
        )


class _Connection:
    """An accepted connection, which serves its requests in order."""

    def __init__(
        self,
        loop: Loop,
        accepted: socket,
        handle_request: _RequestHandler,
        on_close: Callable[['_Connection'], None],
    ) -> None:
        self._loop = loop
        self._socket = accepted
        self._handle_request = handle_request
        self._on_close = on_close
        self._target = b''
        self._unsent = b''
        self._parser = HttpRequestParser(self)
        loop.watch(accepted, EVENT_READ, self._on_ready)

    @property
    def is_sending(self) -> bool:
        """Whether response bytes are still to be sent."""
        return bool(self._unsent)

    def on_message_begin(self) -> None:
        """Reset the target for a new request (called by the parser)."""
        self._target = b''

    def on_url(self, url: bytes) -> None:
        """Append a part of the target, which may arrive in several (called by the parser)."""
        self._target += url

    def on_message_complete(self) -> None:
        """Queue the response to a complete request (called by the parser)."""
        self._unsent += self._handle_request(self._target.decode('latin-1')).encode()

    def close(self) -> None:
        """Close the connection and remove it from the server."""
        self._loop.unwatch(self._socket)
        self._socket.close()
        self._on_close(self)

    def _on_ready(self, mask: int) -> None:
        try:
            if mask & EVENT_READ and not self._receive():
                self.close()
                return
            self._send()
        except (OSError, HttpParserError):
            self.close()

    def _receive(self) -> bool:
        """Read and parse bytes; return False if the client has closed the connection."""
        chunk = self._socket.recv(_CHUNK_BYTES)
        if chunk:
            self._parser.feed_data(chunk)
        return bool(chunk)

    def _send(self) -> None:
        if self._unsent:
            sent = self._socket.send(self._unsent)
            self._unsent = self._unsent[sent:]
        mask = EVENT_READ | EVENT_WRITE if self._unsent else EVENT_READ
        self._loop.watch(self._socket, mask, self._on_ready)
