"""Assemble a site of stand-ins and balancers, and change it as operators and the platform do."""

from asyncio import gather, sleep
from contextlib import suppress
from pathlib import Path
from random import Random
from socket import AF_INET, SOCK_DGRAM, SOCK_STREAM, socket
from time import monotonic

from bronzekeel.platform.calls import EVACUATIONS_KIND, UPSTREAMS_KIND
from bronzekeel.platform.answers import upstream_name
from bronzekeel.soak.callers import Callers
from bronzekeel.soak.checks import Checks
from bronzekeel.soak.contact import Contact
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
_UPSTREAMS_A_CENTRE = 3
_INTAKE_UPSTREAMS = 2
_CALLERS_A_CENTRE = 5
_SEEDS = 3
_READY_S = 30.0
_LOOK_S = 0.05
_PORTS = 3
_NUMBER_BITS = 60

#: Seconds after the store's word of an evacuation until which new flows may reach it.  Source: all
#: hosts know within a second; as much again for a machine that is busy.
EVACUATED_S = 2.0


class Site:
    """Own everything that a soak runs; `store_contact` tells when the store was disturbed.

    `load_contact` tells when callers asked for more than upstreams can do.
    """

    def __init__(self, hosts: int, seed: int, folder: Path, script: Path = START_SCRIPT) -> None:
        """Prepare `hosts` balancers over three data centres, started by `script`."""
        self.random = Random(seed)
        self.checks = Checks()
        self.runs = Runs()
        self.store = PlatformStandIn()
        self.store_contact = Contact()
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
        self.burst: float = 1
        self.load_contact = Contact()
        self._ports = Ports(*_free_ports())
        self._first_hosts = hosts
        self._folder = folder
        self._script = script

    @property
    def overloaded(self) -> bool:
        """Whether balancers may refuse flows for want of room."""
        return not self.load_contact.in_touch

    def ask_for(self, times: float) -> None:
        """Let callers ask for `times` the usual."""
        self.burst = times

    def note_busy_machine(self) -> None:
        """Take everything for disturbed: the machine cannot keep up, and times mean nothing."""
        for contact in self._contacts():
            contact.touch()

    async def open(self) -> None:
        """Start everything; return when all balancers take traffic.  Raises TimeoutError."""
        await self.store.open()
        await self.callers.open(self._ports.packets)
        for place in range(_CALLERS_A_CENTRE * len(CENTRES)):
            await self.callers.add(CENTRES[place % len(CENTRES)])
        for centre in CENTRES:
            for _ in range(_UPSTREAMS_A_CENTRE):
                await self.add_upstream(PORTAL, centre)
        for centre in CENTRES[:_INTAKE_UPSTREAMS]:
            await self.add_upstream(INTAKE, centre)
        await self.texts.change()
        self.allow_routes()
        for number in range(self._first_hosts):
            await self._add_host(number)
        await gather(*(host.start(self._script) for host in self.hosts))

    async def until_ready(self) -> None:
        """Wait until all hosts are in rotation.  Raises TimeoutError."""
        give_up_at = monotonic() + _READY_S
        while not all(self.fabric.in_rotation(host) for host in self.hosts):
            if monotonic() > give_up_at:
                raise TimeoutError('balancers are not ready in time; read their logs')
            await sleep(_LOOK_S)

    async def aclose(self) -> None:
        """End everything that was started."""
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
        """Start an upstream and list it."""
        number = self.random.getrandbits(_NUMBER_BITS)
        callers = (_LOOPBACK, self._ports.packets)
        upstream = Upstream(number, service, data_centre, callers, self.checks, self.runs)
        await upstream.open(address)
        self.upstreams[number] = upstream
        upstream.routes = self.texts.routes_of(service)
        upstream.closed_to = self.closed_to
        await self.list_upstream(upstream)
        return upstream

    async def list_upstream(self, upstream: Upstream, *, draining: bool = False) -> None:
        """Write an upstream's entry."""
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
        """Let an upstream's entry lapse."""
        self.store.remove_object(UPSTREAMS_KIND, upstream_name(upstream.number))
        await self.store.notify_watches()

    async def evacuate(self, centre: str) -> None:
        """Ask balancers to send nothing new to a data centre."""
        self.store.put_object(EVACUATIONS_KIND, centre, {})
        await self.store.notify_watches()
        self.evacuated_at_by_centre[centre] = monotonic()

    async def take_back(self, centre: str) -> None:
        """End an evacuation."""
        self.evacuated_at_by_centre.pop(centre)
        self.store.remove_object(EVACUATIONS_KIND, centre)
        await self.store.notify_watches()

    def closed_to(self, host_ip: str) -> set[str]:
        """Return the data centres to which a host that is in touch must send nothing new."""
        contacts = [host.contact for host in self.hosts if host.packets[0] == host_ip]
        if not all(contact.in_touch for contact in (self.store_contact, *contacts)):
            return set()
        return {
            centre
            for centre, evacuated_at in self.evacuated_at_by_centre.items()
            if monotonic() > evacuated_at + EVACUATED_S
        }

    def allow_routes(self) -> None:
        """Let upstreams know which routes any text sent to their service."""
        for upstream in self.upstreams.values():
            upstream.routes = self.texts.routes_of(upstream.service)

    def living(self, service: str = PORTAL) -> list[Upstream]:
        """Return the upstreams of a service that are listed for new flows."""
        return [
            upstream
            for upstream in self.upstreams.values()
            if upstream.alive and upstream.service == service and upstream.drained_at is None
        ]

    def write_settings(self, host: Host) -> None:
        """Write a host's settings, with some hosts as seeds."""
        seeds = [other.advertised for other in self.hosts[:_SEEDS]]
        host.write_settings(seeds)

    def _contacts(self) -> list[Contact]:
        upstreams = [upstream.contact for upstream in self.upstreams.values()]
        return [self.store_contact, *(host.contact for host in self.hosts), *upstreams]

    async def _add_host(self, number: int) -> Host:
        centre = CENTRES[number % len(CENTRES)]
        host = Host(f'{centre}-{number}', centre, number, self._ports, self._folder)
        await host.open(self.store.port)
        self.hosts.append(host)
        self.write_settings(host)
        return host


def _free_ports() -> list[int]:
    """Return ports that are free on loopback, for datagrams and for streams."""
    ports: list[int] = []
    held = []
    while len(ports) < _PORTS:
        pair = [socket(AF_INET, kind) for kind in (SOCK_DGRAM, SOCK_STREAM)]
        held.extend(pair)
        pair[0].bind((_LOOPBACK, 0))
        port = pair[0].getsockname()[1]
        with suppress(OSError):
            pair[1].bind((_LOOPBACK, port))
            ports.append(port)
    for bound in held:
        bound.close()
    return ports
