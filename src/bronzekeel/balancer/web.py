"""Serve metrics, status and recent events over HTTP."""

from collections import Counter

from aiohttp import web
from aioprometheus.collectors import Counter as CounterMetric
from aioprometheus.collectors import Gauge, Registry
from aioprometheus.renderer import render
from msgspec import Struct
from msgspec.json import encode

from bronzekeel.balancer.daemon import Balancer
from bronzekeel.balancer.logs import RecentEvents
from bronzekeel.core.steering.registers import Register


class Status(Struct, frozen=True):
    """Hold what ``bronzekeel status`` shows about one balancer."""

    name: str
    data_centre: str
    ready: bool
    stopping: bool
    generation: int
    confirmed: bool
    watching: bool
    shards_kept: int
    buckets_unsettled: int
    members: dict[str, str]
    packets: dict[str, int]
    requests: dict[str, int]
    control_bytes: dict[str, int]
    platform_calls: int
    flows_recorded_by_upstream: dict[str, int]


def status_of(balancer: Balancer) -> Status | None:
    """Return a balancer's status, or None before it has started."""
    state = balancer.state
    if state is None:
        return None
    steering = state.steering
    me = state.members.me
    return Status(
        name=me.name,
        data_centre=me.data_centre,
        ready=state.ready,
        stopping=state.stopping,
        generation=state.rollout.generation,
        confirmed=state.rollout.confirmed,
        watching=state.rollout.watching,
        shards_kept=sum(item.owner == me.name for item in steering.owners),
        buckets_unsettled=len(steering.unsettled),
        members={
            name: _member_state(member.dead, member.leaving, member.ready)
            for name, member in state.members.by_name.items()
        },
        packets=dict(balancer.packet_counts),
        requests=dict(balancer.counts),
        control_bytes=dict(balancer.peers.bytes_by_kind),
        platform_calls=balancer.platform.calls,
        flows_recorded_by_upstream=_recorded_flows(balancer),
    )


def _member_state(dead: bool, leaving: bool, ready: bool) -> str:  # noqa: FBT001 (member flags)
    if dead:
        return 'dead'
    if leaving:
        return 'leaving'
    return 'ready' if ready else 'starting'


def _recorded_flows(balancer: Balancer) -> dict[str, int]:
    """Count the recorded flows by upstream, for the shards that this balancer keeps.

    The base upstream of an unsettled bucket is listed even without recorded flows.  A draining
    upstream can be switched off once no balancer lists it.
    """
    counts: Counter[str] = Counter()
    if balancer.state is None:
        return dict(counts)
    steering = balancer.state.steering
    for table in steering.tables_by_name.values():
        for register in table.registers:
            if register is not None and steering.owns(register.shard):
                _count_flows(register, counts)
    return dict(counts)


def _count_flows(register: Register, counts: Counter[str]) -> None:
    counts.update(upstream for _, upstream in register.exceptions or ())
    counts.update(record.upstream for record in register.records.values())
    if not register.settled:
        counts.setdefault(register.base, 0)


class StatusServer:
    """Serve the HTTP port of one balancer."""

    def __init__(self, balancer: Balancer, recent: RecentEvents | None = None) -> None:
        """Serve the metrics and status of `balancer` and the lines of `recent`."""
        self._balancer = balancer
        self._recent = recent
        self._registry = Registry()
        self._packets = CounterMetric(
            'bronzekeel_packets_total',
            'Packets by outcome.',
            registry=self._registry,
        )
        self._bytes = CounterMetric(
            'bronzekeel_control_bytes_total',
            'Bytes sent to peers by message kind.',
            registry=self._registry,
        )
        self._outcomes = CounterMetric(
            'bronzekeel_requests_total',
            'Requests by outcome.',
            registry=self._registry,
        )
        self._gauges = Gauge(
            'bronzekeel_state',
            'State variables of this balancer, by name.',
            registry=self._registry,
        )
        self._runner: web.AppRunner | None = None

    async def open(self, address: str, port: int) -> int:
        """Bind the port and return its number."""
        app = web.Application()
        app.router.add_get('/metrics', self._serve_metrics)
        app.router.add_get('/status', self._serve_status)
        app.router.add_get('/events', self._serve_events)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        site = web.TCPSite(self._runner, address, port)
        await site.start()
        return self._runner.addresses[0][1]

    async def close(self) -> None:
        """Stop serving and free the port."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _serve_metrics(self, request: web.Request) -> web.Response:
        status = status_of(self._balancer)
        if status is not None:
            self._collect(status)
        content, headers = render(self._registry, request.headers.getall('Accept', []))
        return web.Response(body=content, headers=headers)

    def _collect(self, status: Status) -> None:
        for fate, count in status.packets.items():
            self._packets.set({'fate': fate}, count)
        for kind, size in status.control_bytes.items():
            self._bytes.set({'kind': kind}, size)
        for outcome, count in status.requests.items():
            self._outcomes.set({'outcome': outcome}, count)
        self._gauges.set({'name': 'ready'}, int(status.ready))
        self._gauges.set({'name': 'generation'}, status.generation)
        self._gauges.set({'name': 'buckets_unsettled'}, status.buckets_unsettled)
        self._gauges.set({'name': 'shards_kept'}, status.shards_kept)

    async def _serve_status(self, request: web.Request) -> web.Response:
        return web.Response(
            body=encode(status_of(self._balancer)),
            content_type='application/json',
        )

    async def _serve_events(self, request: web.Request) -> web.Response:
        lines = self._recent.lines if self._recent else ()
        return web.Response(text=''.join(f'{line}\n' for line in lines))
