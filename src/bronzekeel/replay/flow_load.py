"""Generate load: flows of callers through replayed balancers to upstreams with slots.

Callers, upstreams and the network are modelled only as far as they affect placement and
admission: retransmitted opening packets, queues, refusals and cold starts.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from itertools import cycle

from bronzekeel.core.routing.connection_ids import route_tag_of
from bronzekeel.core.routing.follower import Collection
from bronzekeel.core.routing.model import Route, RoutingText, ServiceShare, UpstreamEntry
from bronzekeel.replay.load_addresses import Caller, CallerList
from bronzekeel.replay.load_callers import Arrival, Callers, Flow, Request, RequestKind, Tally
from bronzekeel.replay.load_servers import Server, ServerKind, Slot
from bronzekeel.replay.routing_fleet import FleetPolicies, RoutingFleet


_SERVICE = 'portal'

#: Idle timeout of a flow, in seconds.
_IDLE_S = 15

#: Number of requests that a user sends on a flow before it opens another, and the mean pause
#: between two requests, in seconds.
_FLOW_REQUESTS = 20
_PAUSE_S = 0.3

CENTRES = ('dc-a', 'dc-b', 'dc-c')

#: Single requests that open a flow each.
SINGLE = RequestKind('single', bytes((198, 18, 0, 1, 1, 187)))

#: Requests on long-lived flows, less urgent than single ones.
FEED = RequestKind('feed', bytes((198, 18, 0, 1, 32, 251)), priority=1, keeps_flow=True)


@dataclass(frozen=True, slots=True)
class Client:
    """Hold a caller and its idle flows by the name of the request kind."""

    caller: Caller
    idle_by_kind: dict[str, list[Flow]] = field(default_factory=dict)

    def idle_flows(self, kind: RequestKind) -> list[Flow]:
        """Return the idle flows for a kind of request; an empty list if it does not reuse flows."""
        if not kind.keeps_flow:
            return []
        return self.idle_by_kind.setdefault(kind.name, [])


class FlowLoad:
    """Run callers against a fleet, and record the outcomes of their requests."""

    def __init__(
        self,
        hosts: int,
        servers: int,
        policies: FleetPolicies,
        seed: int,
        weights: tuple[int, ...] = (1, 1, 1),
        server_kind: ServerKind | None = None,
        kinds: tuple[RequestKind, ...] = (SINGLE, FEED),
    ) -> None:
        """Set up three data centres of `hosts` balancers and `servers` upstreams each.

        `weights` distribute the callers over the data centres; `kinds` are the kinds of requests
        that they send.
        """
        self._centre_by_weight = [
            centre for centre, weight in zip(CENTRES, weights, strict=True) for _ in range(weight)
        ]
        names_by_centre = {
            centre: tuple(f'{centre}-{place}' for place in range(hosts)) for centre in CENTRES
        }
        self.fleet = RoutingFleet(names_by_centre, seed, policies)
        self.server_kind = server_kind or ServerKind()
        self.server_by_name: dict[str, Server] = {}
        self.caller_list = CallerList()
        self.callers = Callers(self.fleet, names_by_centre, self.server_by_name)
        self.tally_by_kind = {kind.name: Tally(kind) for kind in kinds}
        routes = {
            kind.key: Route(
                kind.key,
                (ServiceShare(_SERVICE, 1),),
                route_tag_of(kind.key),
                kind.priority,
                kind.timeout_s,
                objective_s=kind.objective_s,
            )
            for kind in kinds
        }
        self.fleet.store.put(
            Collection.TEXT,
            'main',
            lambda revision: RoutingText(revision, revision, routes, _IDLE_S),
        )
        for _ in range(servers):
            for centre in CENTRES:
                self.add_server(centre)
        self.fleet.start()
        self.fleet.run(2)
        self._began_at = self.fleet.now

    @property
    def slots(self) -> list[Slot]:
        """All slots of all upstreams, with times relative to the start of the load."""
        return [
            slot
            for server in self.server_by_name.values()
            for slot in server.slots_since(self._began_at)
        ]

    @property
    def capacity(self) -> float:
        """Seconds of work that all upstreams together complete per second."""
        return sum(server.kind.slots * server.speed for server in self.server_by_name.values())

    @property
    def elapsed_s(self) -> float:
        """Seconds since the start of the load."""
        return self.fleet.now - self._began_at

    def add_server(self, centre: str, *, cold: bool = False) -> Server:
        """Add an upstream and list it in the store."""
        number = len(self.server_by_name) + 1
        server = Server(self.fleet, f'i-{number}', centre, self.server_kind)
        server.set_speed(self.server_kind.speed_of(number))
        cold_s = self.server_kind.cold_s if cold else 0
        server.cold_until = self.fleet.now + cold_s
        self.server_by_name[server.name] = server
        self._put(server, number, cold_s=cold_s)
        return server

    def drain_server(self, name: str) -> None:
        """Mark an upstream as draining in the store."""
        server = self.server_by_name[name]
        server.left_at = self.fleet.now
        self._put(server, int(name.removeprefix('i-')), draining=True)

    def fail_server(self, name: str, unlisted_after_s: float) -> None:
        """Make an upstream unresponsive for good; its entry is removed `unlisted_after_s` later."""
        server = self.server_by_name[name]
        server.silent = True
        server.left_at = self.fleet.now
        self.fleet.at(unlisted_after_s, partial(self._remove, name))

    def arrive(
        self,
        rate_of: Callable[[float], float],
        lasting_s: float,
        kind: RequestKind = SINGLE,
        centre: str | None = None,
    ) -> None:
        """Schedule Poisson arrivals of requests on flows of their own for `lasting_s`.

        ``rate_of`` returns the rate per second at a time from now.  The requests come from the
        callers of all data centres, or of one `centre`.
        """
        for at_s in self._arrivals(rate_of, lasting_s):
            self.fleet.at(at_s, partial(self._arrive, kind, centre or self._random_centre()))

    def send_from_new_clients(
        self,
        rate_of: Callable[[float], float],
        lasting_s: float,
        clients: int,
        kind: RequestKind = FEED,
    ) -> None:
        """Schedule Poisson arrivals of requests at a number of new clients."""
        self.send_from_clients(self.add_clients(clients), rate_of, lasting_s, kind)

    def add_clients(self, clients: int, centre: str | None = None) -> list[Client]:
        """Add clients to all data centres according to their weights, or to one of them."""
        centres = cycle([centre] if centre else self._centre_by_weight)
        return [Client(self.caller_list.add(next(centres))) for _ in range(clients)]

    def send_from_clients(
        self,
        clients: list[Client],
        rate_of: Callable[[float], float],
        lasting_s: float,
        kind: RequestKind,
        begins_s: float = 0,
    ) -> None:
        """Schedule Poisson arrivals of requests at clients, which reuse their idle flows.

        A client without an idle flow opens another one, so a burst opens many.
        """
        for at_s in self._arrivals(rate_of, lasting_s, begins_s):
            client = self.fleet.random.choice(clients)
            self.fleet.at(at_s, partial(self._send_from_client, kind, client))

    def run_users(self, users: int, lasting_s: float, kind: RequestKind = SINGLE) -> None:
        """Run users that send one request after another on long-lived flows, for `lasting_s`."""
        until = self.fleet.now + lasting_s
        for number in range(users):
            centre = self._centre_by_weight[number % len(self._centre_by_weight)]
            delay_s = self.fleet.random.uniform(0, _PAUSE_S)
            caller = self.caller_list.add(centre)
            send_first = partial(self._send_next, kind, caller, None, _FLOW_REQUESTS, until)
            self.fleet.at(delay_s, send_first)

    def _arrivals(
        self,
        rate_of: Callable[[float], float],
        lasting_s: float,
        begins_s: float = 0,
    ) -> list[float]:
        arrivals = []
        at_s = begins_s + self.fleet.random.expovariate(rate_of(begins_s))
        while at_s < lasting_s:
            arrivals.append(at_s)
            at_s += self.fleet.random.expovariate(rate_of(at_s))
        return arrivals

    def _random_centre(self) -> str:
        return self.fleet.random.choice(self._centre_by_weight)

    def _put(
        self,
        server: Server,
        number: int,
        *,
        draining: bool = False,
        cold_s: float = 0,
    ) -> None:
        def entry_at(revision: int) -> UpstreamEntry:  # noqa: WPS430 (needs the revision)
            return UpstreamEntry(
                name=server.name,
                number=number,
                service=_SERVICE,
                address=('10.0.0.1', number),
                data_centre=server.data_centre,
                slots=server.kind.slots,
                draining=draining,
                cold_s=cold_s,
                revision=revision,
            )

        self.fleet.store.put(Collection.UPSTREAMS, server.name, entry_at)
        self.fleet.notify_watches()

    def _remove(self, name: str) -> None:
        self.fleet.store.remove(Collection.UPSTREAMS, name)
        self.fleet.notify_watches()

    def _arrive(self, kind: RequestKind, centre: str) -> None:
        """Send a request of the next caller of a data centre on a new flow."""
        self._begin(kind, self.caller_list.next_of(centre), None, _discard)

    def _send_from_client(self, kind: RequestKind, client: Client) -> None:
        """Send a request of a client on one of its idle flows or a new one."""
        idle = client.idle_flows(kind)
        flow = idle.pop() if idle else None

        def retain(used: Flow | None) -> None:  # noqa: WPS430 (closes over the client's flows)
            if used is None or used.ended:
                return
            if used.carried == kind.flow_requests:
                self.callers.close(used)
                return
            idle.append(used)

        self._begin(kind, client.caller, flow, retain)

    def _send_next(
        self,
        kind: RequestKind,
        caller: Caller,
        flow: Flow | None,
        remaining_requests: int,
        until: float,
    ) -> None:
        """Send the next request of a user on its open flow, or on a new one."""
        if self.fleet.now >= until:
            return
        pause_s = self.fleet.random.expovariate(1 / _PAUSE_S)
        next_remaining = remaining_requests - 1 or _FLOW_REQUESTS

        def schedule_next(used: Flow | None) -> None:  # noqa: WPS430 (closes over the user)
            kept = used if remaining_requests > 1 else None
            self.fleet.at(
                pause_s, partial(self._send_next, kind, caller, kept, next_remaining, until)
            )

        self._begin(kind, caller, flow, schedule_next)

    def _begin(
        self,
        kind: RequestKind,
        caller: Caller,
        flow: Flow | None,
        then: Callable[[Flow | None], None],
    ) -> None:
        work_s = kind.draw_work_s(self.fleet.random)
        tally = self.tally_by_kind[kind.name]
        caller.asked += 1
        server = '' if flow is None or flow.server is None else flow.server.name
        tally.arrivals.append(Arrival(self.elapsed_s, work_s, server))
        self.callers.send(Request(tally, caller, self.fleet.now, work_s, then), flow)


def _discard(flow: Flow | None) -> None:
    """Leave the flow of a single request unused."""
