"""HTTP client with one persistent connection, for calls to the store and to peers."""

from collections.abc import Callable, Mapping
from errno import EINPROGRESS
from selectors import EVENT_READ, EVENT_WRITE
from socket import (
    AF_INET,
    IPPROTO_TCP,
    SO_ERROR,
    SO_KEEPALIVE,
    SOCK_STREAM,
    SOL_SOCKET,
    TCP_KEEPCNT,
    TCP_KEEPIDLE,
    TCP_KEEPINTVL,
    TCP_NODELAY,
    TCP_USER_TIMEOUT,
    socket,
)
from time import monotonic

from httptools import HttpParserError, HttpResponseParser

from bronzekeel.entry.sockets import Deadline, SocketLoop


#: Idle time before the first TCP keepalive probe, and interval between probes.  A dead connection
#: must be closed within the four seconds that users tolerate.
_KEEPALIVE_INTERVAL_S = 1

#: Unanswered keepalive probes after which the kernel closes the connection.
_KEEPALIVE_PROBES = 2

#: Time for which sent bytes may stay unacknowledged before the kernel closes the connection.
_UNACKNOWLEDGED_MS = 2000

_CHUNK_BYTES = 65536


class Reply:
    """The response to a call; header names are in lower case."""

    __slots__ = ('body', 'header_by_name', 'status')

    def __init__(self, status: int, body: bytes, header_by_name: Mapping[str, str]) -> None:
        """Initialise a response with its status, body and headers."""
        self.status = status
        self.body = body
        self.header_by_name = header_by_name


_OnReply = Callable[[Reply], None]
_OnFailure = Callable[[str], None]


class Call:
    """A request with its deadline and the callbacks for its outcome."""

    __slots__ = ('answered', 'body', 'deadline_at', 'failed', 'method', 'target')

    def __init__(
        self,
        target: str,
        deadline_at: float,
        answered: _OnReply,
        failed: _OnFailure,
        method: str = 'GET',
        body: bytes = b'',
    ) -> None:
        """Request `target`; the response must be complete by `deadline_at` (monotonic clock).

        Then `answered` is called with the response, or `failed` with the reason of the failure.
        """
        self.method = method
        self.target = target
        self.body = body
        self.deadline_at = deadline_at
        self.answered = answered
        self.failed = failed


class HttpConnection:
    """A persistent connection that is reopened after a failure and carries one call at a time.

    `calls` counts the calls started.
    """

    def __init__(self, loop: SocketLoop, address: tuple[str, int]) -> None:
        """Use the server at `address`; the first call opens the connection."""
        self.calls = 0
        self._loop = loop
        self._address = address
        self._socket: socket | None = None
        self._parser = HttpResponseParser(self)
        self._call: Call | None = None
        self._deadline: Deadline | None = None
        self._unsent = b''
        self._body: list[bytes] = []
        self._header_by_name: dict[str, str] = {}
        self._connected = False
        self._complete = False

    def start_call(self, call: Call) -> None:
        """Start a call; a call in progress is cancelled without calling back."""
        if self._call is not None:
            self.close()
        self.calls += 1
        self._call = call
        self._body = []
        self._header_by_name = {}
        self._complete = False
        self._unsent = self._encode(call)
        self._deadline = self._loop.call_at(call.deadline_at, self._on_timeout)
        try:
            self._open_and_send()
        except OSError as error:
            self._fail(str(error))

    def close(self) -> None:
        """Close the connection; a call in progress is cancelled without calling back."""
        if self._deadline is not None:
            self._deadline.cancel()
        if self._socket is not None:
            self._loop.unwatch(self._socket)
            self._socket.close()
        self._socket = None
        self._call = None

    def on_header(self, name: bytes, header: bytes) -> None:
        """Add a header of the response (called by the parser)."""
        self._header_by_name[name.decode('latin-1').lower()] = header.decode('latin-1')

    def on_body(self, body: bytes) -> None:
        """Add a part of the body (called by the parser)."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Mark the response as complete (called by the parser)."""
        self._complete = True

    def _encode(self, call: Call) -> bytes:
        host = ':'.join(map(str, self._address))
        lines = [f'{call.method} {call.target} HTTP/1.1', f'Host: {host}']
        if call.body:
            lines.append('Content-Type: application/json')
            lines.append(f'Content-Length: {len(call.body)}')
        head = '\r\n'.join(lines)
        return f'{head}\r\n\r\n'.encode() + call.body

    def _open_and_send(self) -> None:
        if self._socket is None:
            self._socket = _start_connecting(self._address)
            self._connected = False
            self._parser = HttpResponseParser(self)
        if self._connected:
            self._send()
            return
        self._loop.watch(self._socket, EVENT_READ | EVENT_WRITE, self._on_ready)

    def _on_ready(self, mask: int) -> None:
        try:
            if mask & EVENT_WRITE:
                self._finish_connecting()
                self._send()
            if mask & EVENT_READ:
                self._receive()
        except (OSError, HttpParserError) as error:
            self._fail(f'{type(error).__name__}: {error}')

    def _finish_connecting(self) -> None:
        if self._connected or self._socket is None:
            return
        error_number = self._socket.getsockopt(SOL_SOCKET, SO_ERROR)
        if error_number:
            raise ConnectionError(error_number, 'connection failed')
        self._connected = True

    def _send(self) -> None:
        if self._socket is None:
            return
        if self._unsent:
            sent = self._socket.send(self._unsent)
            self._unsent = self._unsent[sent:]
        mask = EVENT_READ | EVENT_WRITE if self._unsent else EVENT_READ
        self._loop.watch(self._socket, mask, self._on_ready)

    def _receive(self) -> None:
        if self._socket is None:
            return
        chunk = self._socket.recv(_CHUNK_BYTES)
        if not chunk:
            raise ConnectionError('connection closed by the server')
        self._parser.feed_data(chunk)
        if self._complete:
            self._finish()

    def _finish(self) -> None:
        call = self._call
        if call is None:
            self.close()
            return
        is_reusable = self._parser.should_keep_alive()
        reply = Reply(
            self._parser.get_status_code(),
            b''.join(self._body),
            self._header_by_name,
        )
        self._call = None
        if self._deadline is not None:
            self._deadline.cancel()
        if not is_reusable:
            self.close()
        call.answered(reply)

    def _on_timeout(self) -> None:
        if self._call is not None and monotonic() >= self._call.deadline_at:
            self._fail('no response before the deadline')

    def _fail(self, problem: str) -> None:
        call = self._call
        self.close()
        if call is not None:
            call.failed(problem)


def _start_connecting(address: tuple[str, int]) -> socket:
    connecting = socket(AF_INET, SOCK_STREAM)
    connecting.setblocking(False)
    connecting.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
    connecting.setsockopt(SOL_SOCKET, SO_KEEPALIVE, 1)
    connecting.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, _KEEPALIVE_INTERVAL_S)
    connecting.setsockopt(IPPROTO_TCP, TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    connecting.setsockopt(IPPROTO_TCP, TCP_KEEPCNT, _KEEPALIVE_PROBES)
    connecting.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MS)
    error_number = connecting.connect_ex(address)
    if error_number not in {0, EINPROGRESS}:
        connecting.close()
        raise ConnectionError(error_number, 'cannot connect')
    return connecting
