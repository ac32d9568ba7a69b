"""Play callers' flows through replayed balancers to upstreams with slots.

Callers, upstreams and the way between them are just what placement has to bear:
copies of opening packets, places that are taken, queues, cold starts.  Packets are
never lost here.
"""

from collections import deque
from collections.abc import Callable
from functools import partial

from bronzekeel.core.routing.connection_ids import seal_of
from bronzekeel.core.routing.follower import Collection
from bronzekeel.core.routing.model import (
    FlowPacket,
    Route,
    RoutingText,
    ServiceShare,
    UpstreamEntry,
)
from bronzekeel.core.routing.placement import Placement
from bronzekeel.core.routing.verdicts import Deliver, Verdict
from bronzekeel.replay.routing_fleet import RoutingFleet


#: Mean work of a request in seconds, and how it spreads about it.
WORK_S = 0.045
_WORK_SPREAD = 0.5

SLOTS = 3
_SERVICE = 'portal'

#: Seconds after which a silent flow may be forgotten.
_IDLE_S = 15
_KEY = bytes((198, 18, 0, 1, 1, 187))

#: Requests that may wait at an upstream; beyond it new flows get no answer.
_MOST_WAITING = 12

#: One way between a caller and a host, and within and between data centres, seconds.
_CALLER_S = 0.003
_NEAR_S = 0.0001
_FAR_S = 0.0014

#: When callers repeat an opening packet, and when they give the attempt up, seconds.
_COPIES_S = (0.2, 0.6)
_GIVE_UP_S = 1.4

#: Attempts to open a flow for a request.
_MOST_ATTEMPTS = 3

#: Seconds that a fresh upstream takes longer for its work, and how much longer.
COLD_S = 3.0
_COLD_FACTOR = 1.6

#: Requests on a long flow, and the mean pause between two, seconds.
_FLOW_REQUESTS = 20
_PAUSE_S = 0.3


class Server:
    """Work on requests in some slots, in the order in which they came.

    A `grey` one takes everything and answers nothing.
    """

    __slots__ = ('_busy', '_waiting', 'cold_until', 'data_centre', 'grey', 'name', 'ran', 'slow')

    def __init__(self, name: str, data_centre: str) -> None:
        """Start warm and idle."""
        self.name = name
        self.data_centre = data_centre
        self.ran = 0
        self.slow: float = 1
        self.grey = False
        self.cold_until: float = 0
        self._busy = 0
        self._waiting: deque[Callable[[], None]] = deque()

    @property
    def is_full(self) -> bool:
        """Whether it takes nothing more."""
        return len(self._waiting) >= _MOST_WAITING

    def take(self, fleet: RoutingFleet, work_s: float, done: Callable[[], None]) -> None:
        """Work on a request when there is a slot; then call `done`."""
        if self.grey:
            return
        begin = partial(self._begin, fleet, work_s, done)
        if self._busy < SLOTS:
            begin()
            return
        self._waiting.append(begin)

    def _begin(self, fleet: RoutingFleet, work_s: float, done: Callable[[], None]) -> None:
        self._busy += 1
        self.ran += 1
        cold = _COLD_FACTOR if fleet.now < self.cold_until else 1
        fleet.at(work_s * self.slow * cold, partial(self._end, done))

    def _end(self, done: Callable[[], None]) -> None:
        self._busy -= 1
        if self._waiting:
            self._waiting.popleft()()
        done()


class Request:
    """Hold one request from its caller's first attempt to its answer."""

    __slots__ = ('answered', 'attempts', 'begun_at', 'then', 'work_s')

    def __init__(self, begun_at: float, work_s: float, then: Callable[['Flow'], None]) -> None:
        """Begin; ``then`` goes on with the flow after the answer."""
        self.begun_at = begun_at
        self.work_s = work_s
        self.then = then
        self.attempts = 0
        self.answered = False


class Flow:
    """Hold one flow of a caller through one host."""

    __slots__ = ('acknowledged', 'connection_id', 'host', 'key', 'opened_by', 'sequence', 'server')

    def __init__(self, key: bytes, host: str) -> None:
        """Start with a flow that is not open."""
        self.key = key
        self.host = host
        self.server: Server | None = None
        self.opened_by: set[str] = set()
        self.connection_id = 0
        self.sequence = 1
        self.acknowledged = 1


class FlowLoad:
    """Run callers against a fleet, and count what they feel."""

    def __init__(
        self,
        hosts: int,
        servers: int,
        placement_of: type[Placement],
        seed: int,
        weights: tuple[int, ...] = (1, 1, 1),
    ) -> None:
        """Set up three data centres of `hosts` balancers and `servers` upstreams each.

        Callers are in them by their `weights`.
        """
        self.centres = ('dc-a', 'dc-b', 'dc-c')
        self._centre_by_weight = [
            centre
            for centre, weight in zip(self.centres, weights, strict=True)
            for _ in range(weight)
        ]
        names = {
            centre: tuple(f'{centre}-{place}' for place in range(hosts)) for centre in self.centres
        }
        self.fleet = RoutingFleet(names, seed, placement_of)
        self.server_by_name: dict[str, Server] = {}
        self.arrivals: list[tuple[float, float]] = []
        self.latencies: list[float] = []
        self.waited_for_copy = 0
        self.opened = 0
        self.opened_twice = 0
        self._names = names
        self._numbers = 0
        route = Route(_KEY, (ServiceShare(_SERVICE, 1),), seal_of(_KEY))
        self.fleet.store.put(
            Collection.TEXT,
            'main',
            lambda revision: RoutingText(revision, revision, {_KEY: route}, _IDLE_S),
        )
        for _ in range(servers):
            for centre in self.centres:
                self.add_server(centre)
        self.fleet.start()
        self.fleet.run(2)
        self._began_at = self.fleet.now

    def add_server(self, centre: str, cold_s: float = 0) -> Server:
        """List one more upstream."""
        number = len(self.server_by_name) + 1
        server = Server(f'i-{number}', centre)
        server.cold_until = self.fleet.now + cold_s
        self.server_by_name[server.name] = server
        self._put(server, number, cold_s=cold_s)
        return server

    def drain_server(self, name: str) -> None:
        """Let an upstream announce that it leaves."""
        self._put(self.server_by_name[name], int(name.removeprefix('i-')), draining=True)

    def arrive(self, rate_of: Callable[[float], float], lasting_s: float) -> None:
        """Let single requests arrive at random, ``rate_of`` a second, for some time."""
        at_s = self.fleet.random.expovariate(rate_of(0))
        while at_s < lasting_s:
            self.fleet.at(at_s, partial(self._begin, self._any_centre(), None, lambda flow: None))
            at_s += self.fleet.random.expovariate(rate_of(at_s))

    def hold_flows(self, users: int, lasting_s: float) -> None:
        """Let users send request after request on long flows, for some time."""
        until = self.fleet.now + lasting_s
        for number in range(users):
            centre = self._centre_by_weight[number % len(self._centre_by_weight)]
            delay_s = self.fleet.random.uniform(0, _PAUSE_S)
            self.fleet.at(delay_s, partial(self._ask_on, centre, None, _FLOW_REQUESTS, until))

    def _any_centre(self) -> str:
        return self.fleet.random.choice(self._centre_by_weight)

    def _put(
        self,
        server: Server,
        number: int,
        *,
        draining: bool = False,
        cold_s: float = 0,
    ) -> None:
        def made(revision: int) -> UpstreamEntry:  # noqa: WPS430 (the revision is known later)
            return UpstreamEntry(
                name=server.name,
                number=number,
                service=_SERVICE,
                address=('10.0.0.1', number),
                data_centre=server.data_centre,
                slots=SLOTS,
                draining=draining,
                cold_s=cold_s,
                revision=revision,
            )

        self.fleet.store.put(Collection.UPSTREAMS, server.name, made)
        self.fleet.tell_watches()

    def _ask_on(self, centre: str, flow: Flow | None, left: int, until: float) -> None:
        """Send the next request of a user, on its open flow or a new one."""
        if self.fleet.now >= until:
            return
        pause_s = self.fleet.random.expovariate(1 / _PAUSE_S)
        remaining = left - 1 or _FLOW_REQUESTS

        def go_on(used: Flow) -> None:  # noqa: WPS430 (holds the user's place)
            kept = used if left > 1 else None
            self.fleet.at(pause_s, partial(self._ask_on, centre, kept, remaining, until))

        self._begin(centre, flow, go_on)

    def _begin(self, centre: str, flow: Flow | None, then: Callable[[Flow], None]) -> None:
        spread = self.fleet.random.uniform(1 - _WORK_SPREAD, 1 + _WORK_SPREAD)
        request = Request(self.fleet.now, WORK_S * spread, then)
        self.arrivals.append((self.fleet.now - self._began_at, request.work_s))
        if flow is None:
            self._open(centre, request)
            return
        self._ask(flow, request)

    def _open(self, centre: str, request: Request) -> None:
        """Open a flow for a request, again and again for as long as callers do."""
        if request.attempts >= _MOST_ATTEMPTS:
            return
        request.attempts += 1
        self._numbers += 1
        key = self._numbers.to_bytes(6, 'big') + _KEY
        flow = Flow(key, self.fleet.random.choice(self._names[centre]))
        self._send_opening(flow, request, 0)
        for copy, delay_s in enumerate(_COPIES_S, start=1):
            self.fleet.at(delay_s, partial(self._send_opening, flow, request, copy))
        self.fleet.at(_GIVE_UP_S, partial(self._give_up, centre, flow, request))

    def _give_up(self, centre: str, flow: Flow, request: Request) -> None:
        if flow.server is None and not request.answered:
            self._open(centre, request)

    def _send_opening(self, flow: Flow, request: Request, copy: int) -> None:
        if flow.server is not None:
            return
        packet = FlowPacket(flow.key, _KEY, 0, 1, copy, 0, opens=True, copy=copy)
        self.fleet.at(_CALLER_S, partial(self._take_opening, flow, request, packet))

    def _take_opening(self, flow: Flow, request: Request, packet: FlowPacket) -> None:
        verdict = self.fleet.decide(flow.host, packet)
        server = self._server_of(verdict)
        if server is None or server.is_full:
            return
        flow.opened_by.add(server.name)
        connection_id = verdict.connection_id if isinstance(verdict, Deliver) else 0
        delay_s = _CALLER_S + self._hop_s(flow, server)
        opened = partial(self._note_open, flow, request, server, connection_id, packet.copy)
        self.fleet.at(delay_s, opened)

    def _note_open(
        self,
        flow: Flow,
        request: Request,
        server: Server,
        connection_id: int,
        copy: int,
    ) -> None:
        if flow.server is not None:
            self.opened_twice += len(flow.opened_by) > 1
            return
        self.opened += 1
        self.waited_for_copy += bool(copy)
        flow.server = server
        flow.connection_id = connection_id
        self._ask(flow, request)

    def _ask(self, flow: Flow, request: Request) -> None:
        """Send a request on an open flow."""
        flow.sequence += 1
        self._pass(flow, 1, partial(self._reach, flow, request))

    def _reach(self, flow: Flow, request: Request) -> None:
        if flow.server is not None:
            done = partial(self._answer, flow, request)
            flow.server.take(self.fleet, request.work_s, done)

    def _answer(self, flow: Flow, request: Request) -> None:
        self.fleet.at(_CALLER_S, partial(self._take_answer, flow, request))

    def _take_answer(self, flow: Flow, request: Request) -> None:
        request.answered = True
        self.latencies.append(self.fleet.now - request.begun_at)
        flow.acknowledged += 1
        self._pass(flow, 0, lambda: None)
        request.then(flow)

    def _pass(self, flow: Flow, payload_bytes: int, then: Callable[[], None]) -> None:
        """Send a packet of an open flow through its host."""
        packet = FlowPacket(
            flow.key,
            _KEY,
            flow.connection_id,
            flow.sequence,
            flow.acknowledged,
            payload_bytes,
        )
        self.fleet.at(_CALLER_S, partial(self._deliver, flow, packet, then))

    def _deliver(self, flow: Flow, packet: FlowPacket, then: Callable[[], None]) -> None:
        server = self._server_of(self.fleet.decide(flow.host, packet))
        if server is not None:
            self.fleet.at(self._hop_s(flow, server), then)

    def _server_of(self, verdict: Verdict) -> Server | None:
        if isinstance(verdict, Deliver):
            return self.server_by_name[verdict.upstream.entry.name]
        return None

    def _hop_s(self, flow: Flow, server: Server) -> float:
        near = self.fleet.node_by_name[flow.host].me.data_centre == server.data_centre
        return _NEAR_S if near else _FAR_S
