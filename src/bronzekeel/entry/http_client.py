"""Call the store, or a peer, over one kept connection, one call at a time."""

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


#: Seconds of silence after which the kernel asks whether the peer is there,
#: and between such questions.  Source: a connection that fell silent must be
#: given up within the four seconds for which the users excuse it.
_KEEPALIVE_S = 1

#: Unanswered questions after which the connection is closed.
_KEEPALIVE_PROBES = 2

#: Milliseconds for which sent bytes may stay unconfirmed.
_UNCONFIRMED_MS = 2000

_CHUNK_BYTES = 65536


class Reply:
    """Hold the answer to a call; names of headers are in lower case."""

    __slots__ = ('body', 'header_by_name', 'status')

    def __init__(self, status: int, body: bytes, header_by_name: Mapping[str, str]) -> None:
        """Keep the parts of the answer."""
        self.status = status
        self.body = body
        self.header_by_name = header_by_name


_ANSWERED = Callable[[Reply], None]
_FAILED = Callable[[str], None]


class Call:
    """Hold one call: what is asked, by when, and who is told."""

    __slots__ = ('answered', 'body', 'failed', 'method', 'target', 'until')

    def __init__(
        self,
        target: str,
        until: float,
        answered: _ANSWERED,
        failed: _FAILED,
        method: str = 'GET',
        body: bytes = b'',
    ) -> None:
        """Ask for `target`; the answer must be complete at `until`."""
        self.method = method
        self.target = target
        self.body = body
        self.until = until
        self.answered = answered
        self.failed = failed


class HttpConnection:
    """Own one connection that is opened anew when it is lost.

    ``calls`` counts what was sent.
    """

    def __init__(self, loop: SocketLoop, address: tuple[str, int]) -> None:
        """Connect to `address` with the first call."""
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

    def ask(self, call: Call) -> None:
        """Make a call; one in progress is given up without a word."""
        if self._call is not None:
            self.close()
        self.calls += 1
        self._call = call
        self._body = []
        self._header_by_name = {}
        self._complete = False
        self._unsent = self._encoded(call)
        self._deadline = self._loop.call_at(call.until, self._time_out)
        try:
            self._open_and_send()
        except OSError as fault:
            self._fail(str(fault))

    def close(self) -> None:
        """Close the connection; a call in progress is given up without a word."""
        if self._deadline is not None:
            self._deadline.cancel()
        if self._socket is not None:
            self._loop.forget(self._socket)
            self._socket.close()
        self._socket = None
        self._call = None

    def on_header(self, name: bytes, header: bytes) -> None:
        """Take a header of the answer (called by the parser)."""
        self._header_by_name[name.decode('latin-1').lower()] = header.decode('latin-1')

    def on_body(self, body: bytes) -> None:
        """Take a part of the answer (called by the parser)."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Note that the answer is whole (called by the parser)."""
        self._complete = True

    def _encoded(self, call: Call) -> bytes:
        host = ':'.join(map(str, self._address))
        lines = [f'{call.method} {call.target} HTTP/1.1', f'Host: {host}']
        if call.body:
            lines.append('Content-Type: application/json')
            lines.append(f'Content-Length: {len(call.body)}')
        head = '\r\n'.join(lines)
        return f'{head}\r\n\r\n'.encode() + call.body

    def _open_and_send(self) -> None:
        if self._socket is None:
            self._socket = _connecting(self._address)
            self._connected = False
            self._parser = HttpResponseParser(self)
        if self._connected:
            self._send()
            return
        self._loop.watch(self._socket, EVENT_READ | EVENT_WRITE, self._ready)

    def _ready(self, mask: int) -> None:
        try:
            if mask & EVENT_WRITE:
                self._finish_connecting()
                self._send()
            if mask & EVENT_READ:
                self._receive()
        except (OSError, HttpParserError) as fault:
            self._fail(f'{type(fault).__name__}: {fault}')

    def _finish_connecting(self) -> None:
        if self._connected or self._socket is None:
            return
        error = self._socket.getsockopt(SOL_SOCKET, SO_ERROR)
        if error:
            raise ConnectionError(error, 'not connected')
        self._connected = True

    def _send(self) -> None:
        if self._socket is None:
            return
        if self._unsent:
            sent = self._socket.send(self._unsent)
            self._unsent = self._unsent[sent:]
        mask = EVENT_READ | EVENT_WRITE if self._unsent else EVENT_READ
        self._loop.watch(self._socket, mask, self._ready)

    def _receive(self) -> None:
        if self._socket is None:
            return
        chunk = self._socket.recv(_CHUNK_BYTES)
        if not chunk:
            raise ConnectionError('closed by the store')
        self._parser.feed_data(chunk)
        if self._complete:
            self._finish()

    def _finish(self) -> None:
        call = self._call
        if call is None:
            self.close()
            return
        keep = self._parser.should_keep_alive()
        reply = Reply(
            self._parser.get_status_code(),
            b''.join(self._body),
            self._header_by_name,
        )
        self._call = None
        if self._deadline is not None:
            self._deadline.cancel()
        if not keep:
            self.close()
        call.answered(reply)

    def _time_out(self) -> None:
        if self._call is not None and monotonic() >= self._call.until:
            self._fail('no answer in time')

    def _fail(self, problem: str) -> None:
        call = self._call
        self.close()
        if call is not None:
            call.failed(problem)


def _connecting(address: tuple[str, int]) -> socket:
    made = socket(AF_INET, SOCK_STREAM)
    made.setblocking(False)
    made.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
    made.setsockopt(SOL_SOCKET, SO_KEEPALIVE, 1)
    made.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, _KEEPALIVE_S)
    made.setsockopt(IPPROTO_TCP, TCP_KEEPINTVL, _KEEPALIVE_S)
    made.setsockopt(IPPROTO_TCP, TCP_KEEPCNT, _KEEPALIVE_PROBES)
    made.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, _UNCONFIRMED_MS)
    error = made.connect_ex(address)
    if error not in {0, EINPROGRESS}:
        made.close()
        raise ConnectionError(error, 'cannot connect')
    return made
