"""Exchange heartbeats and views with other balancers.

Heartbeats are datagrams; the next one makes up for a lost one.  Views are requested over HTTP, with
the client that calls the store and the server that answers the fabric's probes.  gRPC, which the
other steering mode uses between processes, takes 0.2 s of processor time to import.
"""

from collections.abc import Callable, Mapping
from itertools import repeat
from selectors import EVENT_READ
from time import monotonic

from bronzekeel.core.routing.effects import FetchView, SendHeartbeat
from bronzekeel.core.routing.events import Event, HeartbeatHeard, ViewFailed, ViewFetched
from bronzekeel.core.routing.messages import KnownVersions, View
from bronzekeel.core.routing.peer_exchange import FETCH_RETRY_S
from bronzekeel.entry.http_client import Call, HttpConnection, Reply
from bronzekeel.entry.http_server import (
    BAD_REQUEST,
    NOT_FOUND,
    OK,
    UNAVAILABLE,
    Answer,
    HttpServer,
)
from bronzekeel.entry.loop import Loop
from bronzekeel.entry.peer_messages import (
    MessageError,
    decode_heartbeat,
    decode_view,
    encode_heartbeat,
    encode_view,
    compress_body,
    decompress_body,
)
from bronzekeel.entry.port_pair import MAX_BIND_ATTEMPTS, bind_pair


#: Maximum number of views sent at the same time.  A refused peer asks another one, which has the
#: view by then, at the next heartbeat.  With two at a time the number of hosts that have the view
#: more than doubles in each round; with more sharing the link, all of them would time out.
MAX_CONCURRENT_VIEWS = 2

_VIEW_PATH = '/view/'
_REVISION_COUNT = 3

#: Maximum number of digits of a text order, which consists of a generation, an incarnation and a
#: number of 64 bits each.
_MAX_DIGITS = 58
_BATCH_DATAGRAMS = 64
_MAX_DATAGRAM_BYTES = 8192

_Emit = Callable[[Event], None]
_ViewSince = Callable[[KnownVersions], View]
_LogBadPacket = Callable[[str, bytes], None]


class PeerSockets:
    """The port for messages of peers, over UDP and over HTTP."""

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        emit: _Emit,
        view_since: _ViewSince,
        log_bad_packet: _LogBadPacket,
        pages: Mapping[str, Callable[[], bytes]],
    ) -> None:
        """Bind `address` for datagrams and streams.  Raises OSError if that is not possible.

        Received messages are passed to `emit`, and `view_since` returns the view for a peer's
        request.  `pages` are further pages by path.
        """
        self._pages = pages
        self._loop = loop
        self._emit = emit
        self._view_since = view_since
        self._log_bad_packet = log_bad_packet
        self._view_connection: HttpConnection | None = None
        datagrams, streams = bind_pair(address[0], repeat(address[1], MAX_BIND_ATTEMPTS))
        datagrams.setblocking(False)
        self._socket = datagrams
        self._server = HttpServer(loop, streams, self._handle_request)
        loop.watch(self._socket, EVENT_READ, self._receive)

    @property
    def port(self) -> int:
        """Port number of both sockets."""
        return self._server.port

    def close(self) -> None:
        """Close all sockets."""
        self._loop.unwatch(self._socket)
        self._socket.close()
        self._server.close()
        if self._view_connection is not None:
            self._view_connection.close()

    def send(self, effect: SendHeartbeat) -> None:
        """Send a heartbeat; one that the kernel rejects is logged and lost."""
        raw = encode_heartbeat(effect.heartbeat)
        for address in effect.addresses:
            try:
                self._socket.sendto(raw, address)
            except OSError as error:
                self._log_bad_packet(f'heartbeat: {error}', raw)

    def fetch(self, effect: FetchView) -> None:
        """Request the view of a peer; a request in progress is cancelled."""
        if self._view_connection is not None:
            self._view_connection.close()
        address = effect.address
        self._view_connection = HttpConnection(self._loop, address)
        self._view_connection.start_call(
            Call(
                _view_target(effect.known),
                monotonic() + FETCH_RETRY_S,
                lambda reply: self._handle_view(address, reply),
                lambda problem: self._emit(ViewFailed(address, problem)),
            ),
        )

    def _handle_view(self, address: tuple[str, int], reply: Reply) -> None:
        if self._view_connection is not None:
            self._view_connection.close()
        if reply.status != OK:
            self._emit(ViewFailed(address, f'refused with status {reply.status}'))
            return
        try:
            view = decode_view(decompress_body(reply.body))
        except MessageError as error:
            self._emit(ViewFailed(address, str(error)))
            return
        self._emit(ViewFetched(address, view))

    def _receive(self, mask: int) -> None:
        for _ in range(_BATCH_DATAGRAMS):
            try:
                raw = self._socket.recv(_MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                self._log_bad_packet(f'peers: {error}', b'')
                return
            self._handle_datagram(raw)

    def _handle_datagram(self, raw: bytes) -> None:
        try:
            heartbeat = decode_heartbeat(raw)
        except MessageError as error:
            self._log_bad_packet(str(error), raw)
            return
        self._emit(HeartbeatHeard(heartbeat))

    def _handle_request(self, target: str) -> Answer:
        page = self._pages.get(target)
        if page is not None:
            return Answer(OK, page())
        if not target.startswith(_VIEW_PATH):
            return Answer(NOT_FOUND)
        if self._server.sending >= MAX_CONCURRENT_VIEWS:
            return Answer(UNAVAILABLE)
        revisions = target.removeprefix(_VIEW_PATH).split('/')
        if len(revisions) != _REVISION_COUNT or not all(map(_is_whole_number, revisions)):
            return Answer(BAD_REQUEST)
        view = self._view_since(KnownVersions(*map(int, revisions)))
        return Answer(OK, compress_body(encode_view(view)))


def _is_whole_number(text: str) -> bool:
    return text.isascii() and text.isdecimal() and len(text) <= _MAX_DIGITS


def _view_target(known: KnownVersions) -> str:
    revisions = (known.text_order, known.upstreams_revision, known.removals_revision)
    return _VIEW_PATH + '/'.join(map(str, revisions))
