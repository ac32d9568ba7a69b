"""Model the callers of a replayed load: flows, requests, and how often they try.

Callers either keep flows open for many requests or open one for each.  Packets are lost only
where a host or an upstream is down.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import NamedTuple

from bronzekeel.core.routing.model import FlowPacket
from bronzekeel.core.routing.verdicts import Deliver, Reset, Verdict
from bronzekeel.replay.load_addresses import Caller
from bronzekeel.replay.load_servers import Server
from bronzekeel.replay.routing_fleet import RoutingFleet


#: One way between a caller and a host, and within and between data centres, seconds.
CALLER_DELAY_S = 0.003
_LOCAL_HOP_S = 0.0001
_REMOTE_HOP_S = 0.0014

#: When callers repeat an opening packet, and when they give the attempt up, seconds.
_OPENING_RETRANSMITS_S = (0.2, 0.6)
_OPENING_TIMEOUT_S = 1.4

#: When callers repeat a request that their flow's upstream did not get, seconds.
_REQUEST_RETRANSMITS_S = (0.2, 0.6, 1.4)

#: Attempts at a request, and the seconds before the next one: at once when a flow was
#: refused, after a short and random wait when an upstream turned the request away.
_MAX_ATTEMPTS = 3
_REFUSAL_BACKOFF_S = 0.001
_REJECTION_BACKOFF_S = (0.005, 0.05)

#: Bytes of a request and of an upstream's word that it turned one away.
_REQUEST_BYTES = 200


@dataclass(frozen=True, slots=True)
class RequestKind:
    """Say what callers ask for.

    `key` is the route's address and port.  An answer within `target_s` earns `worth`, a later one
    `late_worth`; callers give up after `timeout_s`.  `keeps_flow` tells that they ask on open
    flows where they have some, each of which they close after `flow_requests`, zero for never.
    `tail_share` of the requests take `tail_factor` times as long.  The route states
    `objective_s`.
    """

    name: str
    key: bytes
    work_s: float = 0.045
    work_spread: float = 0.5
    target_s: float = 0.2
    timeout_s: float = 2.0
    worth: float = 1
    late_worth: float = 0.3
    priority: int = 0
    keeps_flow: bool = False
    flow_requests: int = 0
    tail_share: float = 0
    tail_factor: float = 1
    objective_s: float = 0

    @property
    def mean_work_s(self) -> float:
        """Seconds that a request takes in the mean."""
        return self.work_s * (1 + self.tail_share * (self.tail_factor - 1))

    def draw_work_s(self, random: Random) -> float:
        """Draw how long a request takes."""
        work_s = self.work_s * random.uniform(1 - self.work_spread, 1 + self.work_spread)
        if self.tail_share and random.random() < self.tail_share:
            return work_s * self.tail_factor
        return work_s


class Arrival(NamedTuple):
    """Hold when a request was asked from the start, its work, and the server of its open flow."""

    at_s: float
    work_s: float
    server: str = ''


@dataclass(slots=True)
class Tally:
    """Count what callers of one kind felt; `latencies` are seconds of answered requests."""

    kind: RequestKind
    arrivals: list[Arrival] = field(default_factory=list)
    latencies: list[float] = field(default_factory=list)
    answered_at: list[float] = field(default_factory=list)
    refused: int = 0

    @property
    def in_time(self) -> int:
        """Number of requests that were answered in time."""
        return sum(latency <= self.kind.target_s for latency in self.latencies)

    @property
    def earned(self) -> float:
        """Worth of all answers."""
        late = len(self.latencies) - self.in_time
        return self.in_time * self.kind.worth + late * self.kind.late_worth

    @property
    def owed(self) -> float:
        """Worth of all requests if every answer were in time."""
        return len(self.arrivals) * self.kind.worth


class Request:
    """Hold one request from its caller's first attempt to its end."""

    __slots__ = ('attempts', 'begun_at', 'caller', 'ended', 'on_done', 'tally', 'work_s')

    def __init__(
        self,
        tally: Tally,
        caller: Caller,
        begun_at: float,
        work_s: float,
        on_done: Callable[['Flow | None'], None],
    ) -> None:
        """Begin; `then` goes on with the flow that answered, None when the request failed."""
        self.tally = tally
        self.caller = caller
        self.begun_at = begun_at
        self.work_s = work_s
        self.on_done = on_done
        self.attempts = 0
        self.ended = False


class Flow:
    """Hold one flow of a caller through one host."""

    __slots__ = (
        'acknowledged',
        'caller',
        'carried',
        'connection_id',
        'ended',
        'host',
        'key',
        'opened_by',
        'reached',
        'sequence',
        'server',
    )

    def __init__(self, caller: Caller, route_key: bytes, host: str) -> None:
        """Start with a flow that is not open."""
        self.caller = caller
        self.key = caller.next_key(route_key)
        self.carried = 0
        self.host = host
        self.server: Server | None = None
        self.opened_by: set[str] = set()
        self.connection_id = 0
        self.sequence = 1
        self.acknowledged = 1
        self.reached = False
        self.ended = False


class Callers:
    """Send requests through a fleet's hosts, and count what comes of them."""

    def __init__(
        self,
        fleet: RoutingFleet,
        names_by_centre: dict[str, tuple[str, ...]],
        server_by_name: dict[str, Server],
    ) -> None:
        """Send through the hosts of a data centre at random.

        `crossed` has when flows were opened in another data centre, from where and to where.
        """
        self.fleet = fleet
        self.opened_by_retransmission = 0
        self.opened = 0
        self.opened_twice = 0
        self.remote_opens: list[tuple[float, str, str]] = []
        self._names_by_centre = names_by_centre
        self._server_by_name = server_by_name

    def send(self, request: Request, flow: Flow | None) -> None:
        """Send a request on an open flow, or on a new one."""
        if flow is None:
            self._open(request)
            return
        self.fleet.at(
            request.tally.kind.timeout_s, partial(self._on_request_timeout, request, flow)
        )
        self._send_on_flow(flow, request)

    def close(self, flow: Flow) -> None:
        """Close a flow."""
        flow.ended = True
        flow.sequence += 1
        packet = self._packet(flow, 0, closes=True)
        self.fleet.at(CALLER_DELAY_S, partial(self._steer, flow, packet, _ignore))

    def _open(self, request: Request) -> None:
        """Open a flow for a request, again and again for as long as callers do."""
        if request.ended:
            return
        is_expired = self.fleet.now >= request.begun_at + request.tally.kind.timeout_s
        if request.attempts >= _MAX_ATTEMPTS or is_expired:
            self._fail(request)
            return
        request.attempts += 1
        caller = request.caller
        flow = Flow(caller, request.tally.kind.key, self._host_in(caller.centre))
        self._send_opening(flow, request, 0)
        for copy, delay_s in enumerate(_OPENING_RETRANSMITS_S, start=1):
            self.fleet.at(delay_s, partial(self._send_opening, flow, request, copy))
        self.fleet.at(_OPENING_TIMEOUT_S, partial(self._on_opening_timeout, flow, request))

    def _host_in(self, centre: str) -> str:
        """Return a host that takes packets, any of them when none does."""
        names = self._names_by_centre[centre]
        up = [name for name in names if self.fleet.node_by_name[name].up]
        return self.fleet.random.choice(up or names)

    def _fail(self, request: Request) -> None:
        if request.ended:
            return
        request.ended = True
        request.tally.refused += 1
        request.on_done(None)

    def _on_opening_timeout(self, flow: Flow, request: Request) -> None:
        if flow.server is None and not flow.ended:
            flow.ended = True
            self._open(request)

    def _on_request_timeout(self, request: Request, flow: Flow) -> None:
        """Close the flow of a request that was not answered in time to be of use."""
        if request.ended:
            return
        self.close(flow)
        self._fail(request)

    def _send_opening(self, flow: Flow, request: Request, copy: int) -> None:
        if flow.server is not None or flow.ended:
            return
        packet = FlowPacket(flow.key, flow.key[-6:], 0, 1, copy, 0, opens=True, copy=copy)
        on_verdict = partial(self._on_opening_verdict, flow, request, copy)
        self.fleet.at(CALLER_DELAY_S, partial(self._steer, flow, packet, on_verdict))

    def _on_opening_verdict(
        self, flow: Flow, request: Request, copy: int, verdict: Verdict
    ) -> None:
        if isinstance(verdict, Reset):
            self.fleet.at(CALLER_DELAY_S, partial(self._on_refused, flow, request))
            return
        if not isinstance(verdict, Deliver):
            return
        server = self._server_by_name[verdict.upstream.entry.name]
        if server.silent:
            return
        flow.opened_by.add(server.name)
        delay_s = CALLER_DELAY_S + self._hop_s(flow, server)
        connection_id = verdict.connection_id
        opened = partial(self._on_opened, flow, request, server, connection_id, copy)
        self.fleet.at(delay_s, opened)

    def _on_refused(self, flow: Flow, request: Request) -> None:
        if flow.server is not None or flow.ended:
            return
        flow.ended = True
        self.fleet.at(_REFUSAL_BACKOFF_S, partial(self._open, request))

    def _on_opened(
        self,
        flow: Flow,
        request: Request,
        server: Server,
        connection_id: int,
        copy: int,
    ) -> None:
        if flow.server is not None or flow.ended:
            self.opened_twice += len(flow.opened_by) > 1
            return
        self.opened += 1
        local_centre = self.fleet.node_by_name[flow.host].me.data_centre
        if server.data_centre != local_centre:
            self.remote_opens.append((self.fleet.now, local_centre, server.data_centre))
        self.opened_by_retransmission += bool(copy)
        flow.server = server
        flow.connection_id = connection_id
        remaining_s = request.begun_at + request.tally.kind.timeout_s - self.fleet.now
        self.fleet.at(max(remaining_s, 0), partial(self._on_request_timeout, request, flow))
        self._send_on_flow(flow, request)

    def _send_on_flow(self, flow: Flow, request: Request) -> None:
        """Send a request on an open flow, and again until its upstream has it."""
        flow.sequence += 1
        flow.reached = False
        for delay_s in (0, *_REQUEST_RETRANSMITS_S):
            self.fleet.at(delay_s, partial(self._send_request, flow, request, flow.sequence))

    def _send_request(self, flow: Flow, request: Request, sequence: int) -> None:
        """Send a request unless its upstream has it or its flow has gone on."""
        if flow.reached or flow.ended or flow.sequence != sequence:
            return
        packet = self._packet(flow, _REQUEST_BYTES)
        on_verdict = partial(self._on_request_verdict, flow, request)
        self.fleet.at(CALLER_DELAY_S, partial(self._steer, flow, packet, on_verdict))

    def _on_request_verdict(self, flow: Flow, request: Request, verdict: Verdict) -> None:
        if isinstance(verdict, Reset):
            self.fleet.at(CALLER_DELAY_S, partial(self._on_reset, flow, request))
            return
        if isinstance(verdict, Deliver):
            server = self._server_by_name[verdict.upstream.entry.name]
            self.fleet.at(
                self._hop_s(flow, server), partial(self._on_request_arrived, flow, request)
            )

    def _on_reset(self, flow: Flow, request: Request) -> None:
        if flow.ended:
            return
        flow.ended = True
        self.fleet.at(_REFUSAL_BACKOFF_S, partial(self._open, request))

    def _on_request_arrived(self, flow: Flow, request: Request) -> None:
        if flow.server is None or flow.server.silent or flow.reached:
            return
        flow.reached = True
        if not request.ended:
            flow.server.serve(request.work_s, partial(self._send_answer, flow, request))

    def _send_answer(self, flow: Flow, request: Request, ran: bool) -> None:  # noqa: FBT001
        handle = self._on_answered if ran else self._on_rejected
        self.fleet.at(CALLER_DELAY_S, partial(handle, flow, request))

    def _on_answered(self, flow: Flow, request: Request) -> None:
        self._acknowledge(flow)
        if request.ended:
            return
        request.ended = True
        flow.carried += 1
        latency_s = self.fleet.now - request.begun_at
        request.caller.in_time += latency_s <= request.tally.kind.target_s
        request.tally.latencies.append(latency_s)
        request.tally.answered_at.append(self.fleet.now)
        request.on_done(flow)

    def _on_rejected(self, flow: Flow, request: Request) -> None:
        self._acknowledge(flow)
        delay_s = self.fleet.random.uniform(*_REJECTION_BACKOFF_S)
        self.fleet.at(delay_s, partial(self._open, request))

    def _acknowledge(self, flow: Flow) -> None:
        flow.acknowledged += 1
        self.fleet.at(CALLER_DELAY_S, partial(self._steer, flow, self._packet(flow, 0), _ignore))

    def _packet(self, flow: Flow, payload_bytes: int, *, closes: bool = False) -> FlowPacket:
        return FlowPacket(
            flow.key,
            flow.key[-6:],
            flow.connection_id,
            flow.sequence,
            flow.acknowledged,
            payload_bytes,
            closes=closes,
        )

    def _steer(self, flow: Flow, packet: FlowPacket, on_verdict: Callable[[Verdict], None]) -> None:
        """Give a packet to its host, to another one if that is down or its caller has moved."""
        node = self.fleet.node_by_name[flow.host]
        if not node.up or node.me.data_centre != flow.caller.centre:
            flow.host = self._host_in(flow.caller.centre)
        self.fleet.steer(flow.host, packet, on_verdict)

    def _hop_s(self, flow: Flow, server: Server) -> float:
        is_local = self.fleet.node_by_name[flow.host].me.data_centre == server.data_centre
        return _LOCAL_HOP_S if is_local else _REMOTE_HOP_S


def _ignore(verdict: Verdict) -> None:
    """Take a verdict that changes nothing for the caller."""
