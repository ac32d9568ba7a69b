"""Exchange heartbeats and views with other balancers.

Heartbeats are datagrams: a lost one is replaced by the next.  Views are asked
for over HTTP, with the client and the server that the store and the fabric
already need.  gRPC, which the other way of steering uses between processes,
takes 0.2 s of processor time to import.
"""

from collections.abc import Callable, Mapping
from itertools import repeat
from selectors import EVENT_READ
from time import monotonic

from bronzekeel.core.routing.effects import FetchView, SendHeartbeat
from bronzekeel.core.routing.events import Event, HeartbeatHeard, ViewFailed, ViewFetched
from bronzekeel.core.routing.messages import Known, View
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
    packed,
    unpacked,
)
from bronzekeel.entry.port_pair import BIND_TRIES, bind_pair


#: Views that are sent at once; who asks beyond that is refused and asks another
#: peer at its next heartbeat, which by then has the view.  Source: with two at a
#: time the hosts that know more than double in each round, and a link that is
#: shared by more passes its time limit for all of them.
MOST_SENT_AT_ONCE = 2

_PATH = '/view/'
_REVISIONS = 3

#: Digits of a text's order at most: a generation, an incarnation and a number of 64 bits each.
_MOST_DIGITS = 58
_BATCH = 64
_MOST_DATAGRAM = 8192

_Emit = Callable[[Event], None]
_ViewSince = Callable[[Known], View]
_Fault = Callable[[str, bytes], None]


class PeerSockets:
    """Own the port that peers talk to, for datagrams and for HTTP."""

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        emit: _Emit,
        view_since: _ViewSince,
        note_fault: _Fault,
        pages: Mapping[str, Callable[[], bytes]],
    ) -> None:
        """Bind `address`; peers' questions are answered by `view_since`.

        `pages` are served beside, by their path.
        """
        self._pages = pages
        self._loop = loop
        self._emit = emit
        self._view_since = view_since
        self._note_fault = note_fault
        self._fetch: HttpConnection | None = None
        datagrams, streams = bind_pair(address[0], repeat(address[1], BIND_TRIES))
        datagrams.setblocking(False)
        self._socket = datagrams
        self._server = HttpServer(loop, streams, self._answer_to)
        loop.watch(self._socket, EVENT_READ, self._receive)

    @property
    def port(self) -> int:
        """Port that both sockets are bound to."""
        return self._server.port

    def close(self) -> None:
        """Free all sockets."""
        self._loop.forget(self._socket)
        self._socket.close()
        self._server.close()
        if self._fetch is not None:
            self._fetch.close()

    def send(self, effect: SendHeartbeat) -> None:
        """Send a heartbeat; one that the kernel refuses is lost like any other."""
        raw = encode_heartbeat(effect.heartbeat)
        for address in effect.addresses:
            try:
                self._socket.sendto(raw, address)
            except OSError as fault:
                self._note_fault(f'heartbeat: {fault}', raw)

    def fetch(self, effect: FetchView) -> None:
        """Ask a peer for its view; an older question is given up."""
        if self._fetch is not None:
            self._fetch.close()
        address = effect.address
        self._fetch = HttpConnection(self._loop, address)
        self._fetch.ask(
            Call(
                _target_of(effect.known),
                monotonic() + FETCH_RETRY_S,
                lambda reply: self._take_view(address, reply),
                lambda problem: self._emit(ViewFailed(address, problem)),
            ),
        )

    def _take_view(self, address: tuple[str, int], reply: Reply) -> None:
        if self._fetch is not None:
            self._fetch.close()
        if reply.status != OK:
            self._emit(ViewFailed(address, f'refused with status {reply.status}'))
            return
        try:
            view = decode_view(unpacked(reply.body))
        except MessageError as fault:
            self._emit(ViewFailed(address, str(fault)))
            return
        self._emit(ViewFetched(address, view))

    def _receive(self, mask: int) -> None:
        for _ in range(_BATCH):
            try:
                raw = self._socket.recv(_MOST_DATAGRAM)
            except BlockingIOError:
                return
            except OSError as fault:
                self._note_fault(f'peers: {fault}', b'')
                return
            self._take(raw)

    def _take(self, raw: bytes) -> None:
        try:
            heartbeat = decode_heartbeat(raw)
        except MessageError as fault:
            self._note_fault(str(fault), raw)
            return
        self._emit(HeartbeatHeard(heartbeat))

    def _answer_to(self, target: str) -> Answer:
        page = self._pages.get(target)
        if page is not None:
            return Answer(OK, page())
        if not target.startswith(_PATH):
            return Answer(NOT_FOUND)
        if self._server.sending >= MOST_SENT_AT_ONCE:
            return Answer(UNAVAILABLE)
        revisions = target.removeprefix(_PATH).split('/')
        if len(revisions) != _REVISIONS or not all(map(_is_whole, revisions)):
            return Answer(BAD_REQUEST)
        view = self._view_since(Known(*map(int, revisions)))
        return Answer(OK, packed(encode_view(view)))


def _is_whole(text: str) -> bool:
    return text.isascii() and text.isdecimal() and len(text) <= _MOST_DIGITS


def _target_of(known: Known) -> str:
    revisions = (known.text_order, known.upstreams_revision, known.removals_revision)
    return _PATH + '/'.join(map(str, revisions))
