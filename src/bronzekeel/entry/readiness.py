"""Answer the fabric's readiness probes over HTTP."""

from collections.abc import Callable
from selectors import EVENT_READ
from socket import AF_INET, SO_REUSEADDR, SOCK_STREAM, SOL_SOCKET, socket

from httptools import HttpParserError, HttpRequestParser

from bronzekeel.entry.loop import Loop


_BACKLOG = 64
_CHUNK_BYTES = 4096

#: Connections that are held at once; the fabric has one or two.
_MOST_CONNECTIONS = 32

_OK = 200
_NOT_FOUND = 404
_UNAVAILABLE = 503


class ReadinessServer:
    """Own the port that says whether this balancer takes traffic."""

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        path: str,
        is_ready: Callable[[], bool],
    ) -> None:
        """Bind `address`; ``is_ready`` is asked at each probe of `path`."""
        self._loop = loop
        self._path = path.encode()
        self._is_ready = is_ready
        self._connections: set[_Connection] = set()
        self._socket = socket(AF_INET, SOCK_STREAM)
        self._socket.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
        self._socket.setblocking(False)
        self._socket.bind(address)
        self._socket.listen(_BACKLOG)
        loop.watch(self._socket, EVENT_READ, self._accept)

    @property
    def port(self) -> int:
        """Port that the socket is bound to."""
        return self._socket.getsockname()[1]

    def close(self) -> None:
        """Free the port and close all connections."""
        self._loop.forget(self._socket)
        self._socket.close()
        for connection in list(self._connections):
            connection.close()

    def status_of(self, path: bytes) -> int:
        """Return the HTTP status for a probe of `path`."""
        if path != self._path:
            return _NOT_FOUND
        return _OK if self._is_ready() else _UNAVAILABLE

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
            _Connection(self._loop, accepted, self.status_of, self._connections.discard),
        )


class _Connection:
    """Serve one connection of the fabric."""

    def __init__(
        self,
        loop: Loop,
        accepted: socket,
        status_of: Callable[[bytes], int],
        closed: Callable[['_Connection'], None],
    ) -> None:
        self._loop = loop
        self._socket = accepted
        self._status_of = status_of
        self._closed = closed
        self._path = b''
        self._complete = False
        self._parser = HttpRequestParser(self)
        loop.watch(accepted, EVENT_READ, self._ready)

    def on_url(self, url: bytes) -> None:
        """Take the path (called by the parser)."""
        self._path = url

    def on_message_complete(self) -> None:
        """Note that a request is whole (called by the parser)."""
        self._complete = True

    def close(self) -> None:
        """Close the connection."""
        self._loop.forget(self._socket)
        self._socket.close()
        self._closed(self)

    def _ready(self, mask: int) -> None:
        try:
            chunk = self._socket.recv(_CHUNK_BYTES)
            if not chunk:
                self.close()
                return
            self._parser.feed_data(chunk)
            self._answer()
        except (OSError, HttpParserError):
            self.close()

    def _answer(self) -> None:
        if not self._complete:
            return
        self._complete = False
        status = self._status_of(self._path)
        self._socket.send(f'HTTP/1.1 {status} -\r\nContent-Length: 0\r\n\r\n'.encode())
