"""Assemble a site of stand-ins and balancers, and change it as operators and the platform do."""

from asyncio import gather, sleep
from contextlib import suppress
from pathlib import Path
from random import Random
from socket import AF_INET, SOCK_DGRAM, SOCK_STREAM, socket
from time import monotonic

from bronzekeel.platform.answers import upstream_name
from bronzekeel.platform.calls import EVACUATIONS_KIND, UPSTREAMS_KIND
from bronzekeel.soak.callers import Callers
from bronzekeel.soak.checks import Checks
from bronzekeel.soak.disturbances import Disturbances
from bronzekeel.soak.fabric import Fabric
from bronzekeel.soak.hosts import START_SCRIPT, Host, Ports
from bronzekeel.soak.links import Address
from bronzekeel.soak.texts import Texts
from bronzekeel.soak.upstreams import SLOTS, Runs, Upstream
from bronzekeel.standins.platform import PlatformStandIn


CENTRES = ('dc-a', 'dc-b', 'dc-c')
PORTAL = 'portal'
INTAKE = 'intake'
_LOOPBACK = '127.0.0.1'
_UPSTREAMS_PER_CENTRE = 3
_INTAKE_UPSTREAMS = 2
_CALLERS_PER_CENTRE = 5
_SEEDS = 3
_READY_TIMEOUT_S = 30.0
_POLL_INTERVAL_S = 0.05
_PORTS = 3
_NUMBER_BITS = 60

#: Seconds after an evacuation is written to the store until which new flows may still reach the
#: data centre: all hosts know of it within a second, and a busy machine may take as long again.
EVACUATION_BOUND_S = 2.0


class Site:
    """Own everything that a soak runs; `store_disturbances` tracks disturbances of the store.

    `load_disturbances` tracks periods in which the demand exceeds what upstreams can serve.
    """

    def __init__(self, hosts: int, seed: int, folder: Path, script: Path = START_SCRIPT) -> None:
        """Prepare `hosts` balancers in three data centres, started by `script`."""
        self.random = Random(seed)
        self.checks = Checks()
        self.runs = Runs()
        self.store = PlatformStandIn()
        self.store_disturbances = Disturbances()
        self.hosts: list[Host] = []
        self.upstreams: dict[int, Upstream] = {}
        self.fabric = Fabric(self.hosts, self.random)
        self.callers = Callers(
            self.fabric,
            self.upstreams,
            self.checks,
            self.runs,
            self.random,
        )
        self.texts = Texts(self.store)
        self.evacuated_at_by_centre: dict[str, float] = {}
        self.demand_factor: float = 1
        self.load_disturbances = Disturbances()
        self._ports = Ports(*_free_ports())
        self._initial_hosts = hosts
        self._folder = folder
        self._script = script

    @property
    def overloaded(self) -> bool:
        """Whether balancers may refuse flows for lack of free capacity."""
        return not self.load_disturbances.is_stable

    def set_demand(self, factor: float) -> None:
        """Set the demand of callers to `factor` times the normal rate."""
        self.demand_factor = factor

    def mark_all_disturbed(self) -> None:
        """Mark everything as disturbed: the machine is too busy, so time bounds do not apply."""
        for disturbances in self._all_disturbances():
            disturbances.note()

    async def open(self) -> None:
        """Start everything; balancers may not be ready yet."""
        await self.store.open()
        await self.callers.open(self._ports.packets)
        for index in range(_CALLERS_PER_CENTRE * len(CENTRES)):
            await self.callers.add(CENTRES[index % len(CENTRES)])
        for centre in CENTRES:
            for _ in range(_UPSTREAMS_PER_CENTRE):
                await self.add_upstream(PORTAL, centre)
        for centre in CENTRES[:_INTAKE_UPSTREAMS]:
            await self.add_upstream(INTAKE, centre)
        await self.texts.change()
        self.update_allowed_routes()
        for number in range(self._initial_hosts):
            await self._add_host(number)
        await gather(*(host.start(self._script) for host in self.hosts))

    async def until_ready(self) -> None:
        """Wait until all hosts are in rotation. Raises TimeoutError."""
        deadline_at = monotonic() + _READY_TIMEOUT_S
        while not all(self.fabric.in_rotation(host) for host in self.hosts):
            if monotonic() > deadline_at:
                raise TimeoutError('balancers did not become ready in time; see their logs')
            await sleep(_POLL_INTERVAL_S)

    async def aclose(self) -> None:
        """Stop everything that was started."""
        await gather(*(host.end() for host in self.hosts))
        for upstream in self.upstreams.values():
            upstream.close()
        self.callers.close()
        await self.store.close()

    async def add_host(self) -> Host:
        """Start one more balancer."""
        host = await self._add_host(len(self.hosts))
        await host.start(self._script)
        return host

    async def add_upstream(
        self,
        service: str,
        data_centre: str,
        address: Address = (_LOOPBACK, 0),
    ) -> Upstream:
        """Start an upstream and write its entry."""
        number = self.random.getrandbits(_NUMBER_BITS)
        callers = (_LOOPBACK, self._ports.packets)
        upstream = Upstream(number, service, data_centre, callers, self.checks, self.runs)
        await upstream.open(address)
        self.upstreams[number] = upstream
        upstream.routes = self.texts.routes_of(service)
        upstream.evacuated_for = self.evacuated_for
        await self.list_upstream(upstream)
        return upstream

    async def list_upstream(self, upstream: Upstream, *, draining: bool = False) -> None:
        """Write the entry of an upstream."""
        self.store.put_upstream(
            upstream.number,
            upstream.service,
            upstream.address,
            upstream.data_centre,
            draining=draining,
            slots=SLOTS,
        )
        await self.store.notify_watches()

    async def unlist_upstream(self, upstream: Upstream) -> None:
        """Remove the entry of an upstream."""
        self.store.remove_object(UPSTREAMS_KIND, upstream_name(upstream.number))
        await self.store.notify_watches()

    async def evacuate(self, centre: str) -> None:
        """Start an evacuation: balancers must send no new flows to the data centre."""
        self.store.put_object(EVACUATIONS_KIND, centre, {})
        await self.store.notify_watches()
        self.evacuated_at_by_centre[centre] = monotonic()

    async def end_evacuation(self, centre: str) -> None:
        """End an evacuation."""
        self.evacuated_at_by_centre.pop(centre)
        self.store.remove_object(EVACUATIONS_KIND, centre)
        await self.store.notify_watches()

    def evacuated_for(self, host_ip: str) -> set[str]:
        """Return the data centres to which a host must send no new flows.

        There are none unless the host and the store are stable.
        """
        host_disturbances = [host.disturbances for host in self.hosts if host.packets[0] == host_ip]
        if not all(
            disturbances.is_stable for disturbances in (self.store_disturbances, *host_disturbances)
        ):
            return set()
        return {
            centre
            for centre, evacuated_at in self.evacuated_at_by_centre.items()
            if monotonic() > evacuated_at + EVACUATION_BOUND_S
        }

    def update_allowed_routes(self) -> None:
        """Update the routes that upstreams may receive: all that any text sent to their service."""
        for upstream in self.upstreams.values():
            upstream.routes = self.texts.routes_of(upstream.service)

    def available(self, service: str = PORTAL) -> list[Upstream]:
        """Return the live upstreams of a service that do not drain."""
        return [
            upstream
            for upstream in self.upstreams.values()
            if upstream.alive and upstream.service == service and upstream.drained_at is None
        ]

    def write_settings(self, host: Host) -> None:
        """Write the settings of a host, with the first hosts as seeds."""
        seeds = [other.advertised for other in self.hosts[:_SEEDS]]
        host.write_settings(seeds)

    def _all_disturbances(self) -> list[Disturbances]:
        upstreams = [upstream.disturbances for upstream in self.upstreams.values()]
        return [self.store_disturbances, *(host.disturbances for host in self.hosts), *upstreams]

    async def _add_host(self, number: int) -> Host:
        centre = CENTRES[number % len(CENTRES)]
        host = Host(f'{centre}-{number}', centre, number, self._ports, self._folder)
        await host.open(self.store.port)
        self.hosts.append(host)
        self.write_settings(host)
        return host


def _free_ports() -> list[int]:
    """Return loopback ports that are free for both datagrams and streams."""
    ports: list[int] = []
    bound_sockets = []
    while len(ports) < _PORTS:
        sockets = [socket(AF_INET, kind) for kind in (SOCK_DGRAM, SOCK_STREAM)]
        bound_sockets.extend(sockets)
        sockets[0].bind((_LOOPBACK, 0))
        port = sockets[0].getsockname()[1]
        with suppress(OSError):
            sockets[1].bind((_LOOPBACK, port))
            ports.append(port)
    for bound_socket in bound_sockets:
        bound_socket.close()
    return ports
