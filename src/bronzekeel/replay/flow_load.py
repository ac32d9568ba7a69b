"""Play callers' flows through replayed balancers to upstreams with slots.

Callers, upstreams and the way between them are just what placement and admission have to
bear: copies of opening packets, queues, refusals, cold starts.
"""

from collections.abc import Callable
from functools import partial
from itertools import cycle

from bronzekeel.core.routing.connection_ids import seal_of
from bronzekeel.core.routing.follower import Collection
from bronzekeel.core.routing.model import Route, RoutingText, ServiceShare, UpstreamEntry
from bronzekeel.replay.load_callers import Callers, Flow, Request, RequestKind, Tally
from bronzekeel.replay.load_servers import Server, ServerKind
from bronzekeel.replay.routing_fleet import FleetPolicies, RoutingFleet


_SERVICE = 'portal'

#: Seconds after which a silent flow may be forgotten.
_IDLE_S = 15

#: Requests that all flows carry before their callers open others, and the mean pause between
#: two, seconds.
_FLOW_REQUESTS = 20
_PAUSE_S = 0.3

CENTRES = ('dc-a', 'dc-b', 'dc-c')

#: Single requests, a flow each.
SINGLE = RequestKind('single', bytes((198, 18, 0, 1, 1, 187)))

#: Requests of long feeds, less urgent than single ones.
FEED = RequestKind('feed', bytes((198, 18, 0, 1, 32, 251)), priority=1, keeps_flow=True)


class FlowLoad:
    """Run callers against a fleet, and count what they feel."""

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

        Callers are in them by their `weights`, and ask for requests of some `kinds`.
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
        self.callers = Callers(self.fleet, names_by_centre, self.server_by_name)
        self.tally_by_kind = {kind.name: Tally(kind) for kind in kinds}
        routes = {
            kind.key: Route(
                kind.key,
                (ServiceShare(_SERVICE, 1),),
                seal_of(kind.key),
                kind.priority,
                kind.timeout_s,
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
    def slots(self) -> list[tuple[float, float]]:
        """From when to when each slot of an upstream was there, seconds from the start."""
        return [
            (server.began_at - self._began_at, server.left_at - self._began_at)
            for server in self.server_by_name.values()
            for _ in range(server.kind.slots)
        ]

    @property
    def elapsed_s(self) -> float:
        """Seconds since the load began."""
        return self.fleet.now - self._began_at

    def add_server(self, centre: str, *, cold: bool = False) -> Server:
        """List one more upstream."""
        number = len(self.server_by_name) + 1
        server = Server(self.fleet, f'i-{number}', centre, self.server_kind)
        cold_s = self.server_kind.cold_s if cold else 0
        server.cold_until = self.fleet.now + cold_s
        self.server_by_name[server.name] = server
        self._put(server, number, cold_s=cold_s)
        return server

    def drain_server(self, name: str) -> None:
        """Let an upstream announce that it leaves."""
        server = self.server_by_name[name]
        server.left_at = self.fleet.now
        self._put(server, int(name.removeprefix('i-')), draining=True)

    def silence_server(self, name: str, unlisted_after_s: float) -> None:
        """Let an upstream fall silent for good; its entry lapses later."""
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
        """Let requests arrive at random, ``rate_of`` a second, for some time, a flow each.

        They come from callers in `centre`, or in all data centres by their weights.
        """
        for at_s in self._arrivals(rate_of, lasting_s):
            begin = partial(self._begin, kind, centre or self._any_centre(), None, _forget)
            self.fleet.at(at_s, begin)

    def ask_from_clients(
        self,
        rate_of: Callable[[float], float],
        lasting_s: float,
        clients: int,
        kind: RequestKind = FEED,
    ) -> None:
        """Let requests arrive at random at clients, which use their open flows.

        A client whose flows are all busy opens one more, so that a burst opens many.
        """
        centres = cycle(self._centre_by_weight)
        idle_by_client: list[tuple[str, list[Flow]]] = [(next(centres), []) for _ in range(clients)]
        for at_s in self._arrivals(rate_of, lasting_s):
            client = self.fleet.random.choice(idle_by_client)
            self.fleet.at(at_s, partial(self._ask_from, kind, *client))

    def hold_flows(self, users: int, lasting_s: float, kind: RequestKind = SINGLE) -> None:
        """Let users send request after request on long flows, for some time."""
        until = self.fleet.now + lasting_s
        for number in range(users):
            centre = self._centre_by_weight[number % len(self._centre_by_weight)]
            delay_s = self.fleet.random.uniform(0, _PAUSE_S)
            ask = partial(self._ask_on, kind, centre, None, _FLOW_REQUESTS, until)
            self.fleet.at(delay_s, ask)

    def _arrivals(self, rate_of: Callable[[float], float], lasting_s: float) -> list[float]:
        arrivals = []
        at_s = self.fleet.random.expovariate(rate_of(0))
        while at_s < lasting_s:
            arrivals.append(at_s)
            at_s += self.fleet.random.expovariate(rate_of(at_s))
        return arrivals

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
                slots=server.kind.slots,
                draining=draining,
                cold_s=cold_s,
                revision=revision,
            )

        self.fleet.store.put(Collection.UPSTREAMS, server.name, made)
        self.fleet.tell_watches()

    def _remove(self, name: str) -> None:
        self.fleet.store.remove(Collection.UPSTREAMS, name)
        self.fleet.tell_watches()

    def _ask_from(self, kind: RequestKind, centre: str, idle: list[Flow]) -> None:
        """Send a request of a client on one of its idle flows or a new one."""
        flow = idle.pop() if idle else None

        def keep(used: Flow | None) -> None:  # noqa: WPS430 (holds the client's flows)
            if used is not None and not used.ended:
                idle.append(used)

        self._begin(kind, centre, flow, keep)

    def _ask_on(
        self,
        kind: RequestKind,
        centre: str,
        flow: Flow | None,
        left: int,
        until: float,
    ) -> None:
        """Send the next request of a user, on its open flow or a new one."""
        if self.fleet.now >= until:
            return
        pause_s = self.fleet.random.expovariate(1 / _PAUSE_S)
        remaining = left - 1 or _FLOW_REQUESTS

        def go_on(used: Flow | None) -> None:  # noqa: WPS430 (holds the user's place)
            kept = used if left > 1 else None
            self.fleet.at(pause_s, partial(self._ask_on, kind, centre, kept, remaining, until))

        self._begin(kind, centre, flow, go_on)

    def _begin(
        self,
        kind: RequestKind,
        centre: str,
        flow: Flow | None,
        then: Callable[[Flow | None], None],
    ) -> None:
        spread = self.fleet.random.uniform(1 - kind.work_spread, 1 + kind.work_spread)
        work_s = kind.work_s * spread
        tally = self.tally_by_kind[kind.name]
        tally.arrivals.append((self.elapsed_s, work_s))
        self.callers.send(Request(tally, centre, self.fleet.now, work_s, then), flow)


def _forget(flow: Flow | None) -> None:
    """Go on with nothing after a single request."""
