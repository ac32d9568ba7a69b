"""The demo's site: platform, fabric, callers, upstreams and balancers."""

from dataclasses import dataclass, field
from random import Random
from types import MappingProxyType

from msgspec.json import encode

from bronzekeel.balancer.daemon import Balancer
from bronzekeel.balancer.settings import Settings
from bronzekeel.core.messages import HostEntry
from bronzekeel.platform.client import HOSTS_KEY, PlatformClient
from bronzekeel.standins.caller import CallerStandIn
from bronzekeel.standins.fabric import FabricStandIn
from bronzekeel.standins.platform import PlatformStandIn
from bronzekeel.standins.upstream import FlowUpstream, RequestUpstream
from bronzekeel.text.model import Document, ServiceText, UpstreamText
from bronzekeel.text.submission import Submitted, submit


CENTRES = ('den-haag', 'rotterdam', 'utrecht')
PORTAL = 'summons-portal'
INTAKE = 'evidence-intake'
REPLIES = 'availability-replies'
CHECKS = 'evidence-checks'

_ADDRESS_BY_FLOW_SERVICE = MappingProxyType(
    {
        PORTAL: ('198.51.100.10', 443),
        INTAKE: ('198.51.100.11', 443),
    }
)
_SIZE_BY_SERVICE = MappingProxyType({PORTAL: 7, INTAKE: 3, REPLIES: 7, CHECKS: 3})
_MEMBERS = ('Van Dijk', 'De Boer', 'Smit')
_IDLE_S = 6.0


@dataclass(slots=True)
class Site:
    """All parts of the demo, with methods to start and stop them."""

    random: Random
    platform: PlatformStandIn = field(default_factory=PlatformStandIn)
    caller: CallerStandIn = field(default_factory=CallerStandIn)
    flow_upstreams: dict[str, dict[str, FlowUpstream]] = field(default_factory=dict)
    request_upstreams: dict[str, dict[str, RequestUpstream]] = field(default_factory=dict)
    balancers: dict[str, Balancer] = field(default_factory=dict)
    hosts: dict[str, HostEntry] = field(default_factory=dict)
    draining: set[str] = field(default_factory=set)
    joined: set[str] = field(default_factory=set)
    fabric: FabricStandIn = field(init=False)
    reply_address: tuple[str, int] = ('', 0)
    submissions: int = 0

    def __post_init__(self) -> None:
        """Create the fabric with the site's random generator."""
        self.fabric = FabricStandIn(self.random)

    async def open(self) -> None:
        """Start everything except the balancers."""
        await self.platform.open()
        self.reply_address = await self.fabric.open()
        for service, size in _SIZE_BY_SERVICE.items():
            for _ in range(size):
                await self.add_upstream(service)

    async def add_upstream(self, service: str) -> str:
        """Start another upstream of a service; return its endpoint."""
        address = _ADDRESS_BY_FLOW_SERVICE.get(service)
        if address is not None:
            flow = FlowUpstream(address, self.reply_address)
            endpoint = await flow.open()
            while endpoint in self._endpoints():
                flow.close()
                endpoint = await flow.open()
            self.flow_upstreams.setdefault(service, {})[endpoint] = flow
            return endpoint
        upstream = RequestUpstream(self.random)
        endpoint = await upstream.open()
        while endpoint in self._endpoints():
            await upstream.close()
            endpoint = await upstream.open()
        self.request_upstreams.setdefault(service, {})[endpoint] = upstream
        return endpoint

    async def start_balancer(self, name: str, centre: str) -> None:
        """Start one balancer in a data centre."""
        await self.add_balancer(
            Settings(name, centre, '127.0.0.1', self.platform.url, stop_within_s=10),
        )

    async def add_balancer(self, settings: Settings) -> None:
        """Start a balancer and register it with the platform, the fabric and the callers."""
        balancer = Balancer(settings)
        host = await balancer.start()
        self.balancers[host.name] = balancer
        self.hosts[host.name] = host
        self.list_hosts()
        self.fabric.balancers[host.name] = (host.address, host.packets)
        self.caller.add(host.name, host.address, host.callers)

    def list_hosts(self) -> None:
        """Write the list of hosts to the platform."""
        self.platform.put(HOSTS_KEY, encode(tuple(self.hosts.values())))

    def remove_balancer(self, name: str) -> None:
        """Remove a balancer from the list of hosts, the fabric and the callers."""
        self.hosts.pop(name, None)
        self.list_hosts()
        self.fabric.balancers.pop(name, None)
        self.caller.remove(name)

    def document(self) -> Document:
        """Return the Stichting's text with the stand-ins' endpoints."""
        services: dict[str, ServiceText] = {}
        for name in _SIZE_BY_SERVICE:
            flow = name in _ADDRESS_BY_FLOW_SERVICE
            address = _ADDRESS_BY_FLOW_SERVICE.get(name, ('198.51.100.20', 0))
            services[name] = ServiceText(
                kind='flow' if flow else 'request',
                address=address[0],
                port=address[1] or 8000 + len(services),
                upstreams=self._upstreams_by_centre(name),
                idempotent=name == CHECKS,
                idle_s=_IDLE_S,
                buckets=256,
                depends_on=(CHECKS,) if name == REPLIES else (),
            )
        return Document(services)

    async def submit(self) -> Submitted:
        """Submit the text as an operator would."""
        self.submissions += 1
        async with PlatformClient(self.platform.url) as client:
            return await submit(
                client,
                encode(self.document()),
                f'demo-{self.submissions}',
            )

    async def close(self) -> None:
        """Stop everything that is still running."""
        self.caller.close()
        for balancer in self.balancers.values():
            await balancer.close()
        self.fabric.close()
        for flows in self.flow_upstreams.values():
            for flow in flows.values():
                flow.close()
        for requests in self.request_upstreams.values():
            for upstream in requests.values():
                await upstream.close()
        await self.platform.close()

    def _endpoints(self) -> set[str]:
        """Return the endpoints of all upstreams.

        UDP and TCP ports are allocated independently, so a request upstream may get the port
        number of a flow upstream; a text that contains both is refused.
        """
        endpoints: set[str] = set()
        for kind in (self.flow_upstreams, self.request_upstreams):
            endpoints.update(*kind.values())
        return endpoints

    def _upstreams_by_centre(self, service: str) -> dict[str, tuple[UpstreamText, ...]]:
        endpoints = self.flow_upstreams.get(service) or self.request_upstreams[service]
        by_centre: dict[str, list[UpstreamText]] = {}
        for index, endpoint in enumerate(endpoints):
            centre = CENTRES[index % len(CENTRES)]
            state = 'draining' if endpoint in self.draining else 'active'
            member = _MEMBERS[index % len(_MEMBERS)]
            by_centre.setdefault(centre, []).append(
                UpstreamText(endpoint, state=state, member=member),  # type: ignore[arg-type]
            )
        return {centre: tuple(listed) for centre, listed in by_centre.items()}
