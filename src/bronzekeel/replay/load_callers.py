"""Model the callers of a replayed load: their flows, requests, retransmissions and retries.

Callers either keep a flow open for many requests or open one for each.  Packets are lost only
at hosts and upstreams that are down.
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


#: One-way delay between a caller and a host, and from a host to an upstream of the same and of
#: another data centre, in seconds.
CALLER_DELAY_S = 0.003
_LOCAL_HOP_S = 0.0001
_REMOTE_HOP_S = 0.0014

#: Times at which a caller retransmits an opening packet, and after which it abandons the
#: attempt, in seconds from the first packet.
_OPENING_RETRANSMITS_S = (0.2, 0.6)
_OPENING_TIMEOUT_S = 1.4

#: Times at which a caller retransmits a request that has not reached the upstream of its flow,
#: in seconds.
_REQUEST_RETRANSMITS_S = (0.2, 0.6, 1.4)

#: Attempts per request, and the delay before a retry in seconds: nearly none if the flow was
#: refused or reset, short and random if an upstream rejected the request.
_MAX_ATTEMPTS = 3
_REFUSAL_BACKOFF_S = 0.001
_REJECTION_BACKOFF_S = (0.005, 0.05)

#: Payload size of a request.
_REQUEST_BYTES = 200


@dataclass(frozen=True, slots=True)
class RequestKind:
    """Describe one kind of request.

    `key` is the route's address and port.  An answer within `target_s` is worth `worth`, a later
    one `late_worth`; callers give up after `timeout_s`.  With `keeps_flow`, callers reuse open
    flows and close each after `flow_requests` requests (zero: never).  Work takes `work_s`,
    varied at random by up to the share `work_spread`; a share `tail_share` of the requests takes
    `tail_factor` times as long.  `objective_s` is the latency objective of the route.
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
        """Mean work of a request, in seconds."""
        return self.work_s * (1 + self.tail_share * (self.tail_factor - 1))

    def draw_work_s(self, random: Random) -> float:
        """Draw the work of a request at random, in seconds."""
        work_s = self.work_s * random.uniform(1 - self.work_spread, 1 + self.work_spread)
        if self.tail_share and random.random() < self.tail_share:
            return work_s * self.tail_factor
        return work_s


class Arrival(NamedTuple):
    """Record the arrival of a request: its time from the start of the load and its work.

    `server` is the upstream of the open flow that it was sent on, empty for a new flow.
    """

    at_s: float
    work_s: float
    server: str = ''


@dataclass(slots=True)
class Tally:
    """Record the requests of one kind and their outcomes.

    `latencies` are those of the answered requests, in seconds; `refused` counts the requests
    that failed.
    """

    kind: RequestKind
    arrivals: list[Arrival] = field(default_factory=list)
    latencies: list[float] = field(default_factory=list)
    answered_at: list[float] = field(default_factory=list)
    refused: int = 0

    @property
    def in_time(self) -> int:
        """Number of requests that were answered within the target."""
        return sum(latency <= self.kind.target_s for latency in self.latencies)

    @property
    def earned(self) -> float:
        """Total worth of all answers."""
        late = len(self.latencies) - self.in_time
        return self.in_time * self.kind.worth + late * self.kind.late_worth

    @property
    def full_worth(self) -> float:
        """Total worth if every request were answered in time."""
        return len(self.arrivals) * self.kind.worth


class Request:
    """Hold one request from its first attempt to its end."""

    __slots__ = ('attempts', 'begun_at', 'caller', 'ended', 'on_slot_done', 'tally', 'work_s')

    def __init__(
        self,
        tally: Tally,
        caller: Caller,
        begun_at: float,
        work_s: float,
        on_slot_done: Callable[['Flow | None'], None],
    ) -> None:
        """Create a request; `on_slot_done` gets the flow that answered, or None if it failed."""
        self.tally = tally
        self.caller = caller
        self.begun_at = begun_at
        self.work_s = work_s
        self.on_slot_done = on_slot_done
        self.attempts = 0
        self.ended = False


class Flow:
    """Hold one flow of a caller, whose packets go through `host`.

    `opened_by` has the upstreams that received an opening packet; `reached` tells whether the
    current request has reached the upstream; `carried` counts answered requests.
    """

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
        """Create a flow that is not open yet."""
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
    """Send requests through the hosts of a fleet, and record the outcomes."""

    def __init__(
        self,
        fleet: RoutingFleet,
        names_by_centre: dict[str, tuple[str, ...]],
        server_by_name: dict[str, Server],
    ) -> None:
        """Create callers that send through random hosts of their data centre.

        `remote_opens` has the time, the host's and the upstream's data centre of each flow that
        was opened in another data centre.  `opened_by_retransmission` counts flows that were not
        opened by their first packet, `opened_twice` late answers to opening packets that more
        than one upstream received.
        """
        self.fleet = fleet
        self.opened_by_retransmission = 0
        self.opened = 0
        self.opened_twice = 0
        self.remote_opens: list[tuple[float, str, str]] = []
        self._names_by_centre = names_by_centre
        self._server_by_name = server_by_name

    def send(self, request: Request, flow: Flow | None) -> None:
        """Send a request on an open flow, or on a new one if `flow` is None."""
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
        """Open a flow for a request, or fail it if its attempts or its time are used up."""
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
        """Return a random host of a data centre that is up; any host if all are down."""
        names = self._names_by_centre[centre]
        up = [name for name in names if self.fleet.node_by_name[name].up]
        return self.fleet.random.choice(up or names)

    def _fail(self, request: Request) -> None:
        if request.ended:
            return
        request.ended = True
        request.tally.refused += 1
        request.on_slot_done(None)

    def _on_opening_timeout(self, flow: Flow, request: Request) -> None:
        if flow.server is None and not flow.ended:
            flow.ended = True
            self._open(request)

    def _on_request_timeout(self, request: Request, flow: Flow) -> None:
        """Fail a request that was not answered within its timeout, and close its flow."""
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
        """Send a request on an open flow, with retransmissions until it reaches the upstream."""
        flow.sequence += 1
        flow.reached = False
        for delay_s in (0, *_REQUEST_RETRANSMITS_S):
            self.fleet.at(delay_s, partial(self._send_request, flow, request, flow.sequence))

    def _send_request(self, flow: Flow, request: Request, sequence: int) -> None:
        """Send a request unless it reached the upstream or the flow has advanced or ended."""
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
        request.on_slot_done(flow)

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
        """Send a packet to the flow's host.

        If that is down, or the caller has moved to another data centre, choose a new host.
        """
        node = self.fleet.node_by_name[flow.host]
        if not node.up or node.me.data_centre != flow.caller.centre:
            flow.host = self._host_in(flow.caller.centre)
        self.fleet.steer(flow.host, packet, on_verdict)

    def _hop_s(self, flow: Flow, server: Server) -> float:
        is_local = self.fleet.node_by_name[flow.host].me.data_centre == server.data_centre
        return _LOCAL_HOP_S if is_local else _REMOTE_HOP_S


def _ignore(verdict: Verdict) -> None:
    """Ignore a verdict that does not affect the caller."""
