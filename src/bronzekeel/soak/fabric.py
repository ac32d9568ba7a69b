"""Distribute callers' packets over the hosts in rotation, as the platform's routers do."""

from asyncio import create_task, gather, open_connection, sleep, wait_for
from contextlib import closing, suppress
from random import Random
from time import monotonic
from zlib import crc32

from bronzekeel.soak.hosts import Host
from bronzekeel.soak.links import Address, Link


#: Probe interval in seconds, and consecutive misses after which a host leaves the rotation, as on
#: the users' platform.
_PROBE_INTERVAL_S = 0.5
_MAX_MISSES = 2

#: Seconds after which the answer to a probe is slow. If most answers are, the machine is busy.
_SLOW_PROBE_S = 0.2


class Fabric:
    """Track which hosts are in rotation, and choose one for each packet.

    Hosts of a data centre divide its callers' flows by a hash; nearly all flows move when a host
    joins or leaves.
    """

    def __init__(self, hosts: list[Host], random: Random) -> None:
        """Choose among `hosts`, a list that may grow."""
        self.link_by_host: dict[str, Link] = {}
        self._hosts = hosts
        self._random = random
        self._misses_by_host: dict[str, int] = {}
        self._slow_by_host: dict[str, bool] = {}

    async def probe(self) -> None:
        """Probe all hosts periodically until cancelled."""
        while True:
            probes = [create_task(self._probe_one(host)) for host in self._hosts]
            await gather(*probes, sleep(_PROBE_INTERVAL_S))

    @property
    def slow_probes(self) -> int:
        """Number of hosts whose last probe was slow."""
        return sum(self._slow_by_host.values())

    def in_rotation(self, host: Host) -> bool:
        """Whether a host is in rotation."""
        return self._misses_by_host.get(host.name, _MAX_MISSES) < _MAX_MISSES

    def choose(self, flow: bytes, data_centre: str) -> Host:
        """Return the host for a packet, preferably one of the given data centre.

        If only a minority of the local hosts is in rotation, all local hosts are used; if none is,
        those of other data centres.
        """
        local = [host for host in self._hosts if host.data_centre == data_centre]
        ready = [host for host in local if self.in_rotation(host)]
        if ready and len(ready) * 2 < len(local):
            ready = local
        if not ready:
            ready = [host for host in self._hosts if self.in_rotation(host)] or self._hosts
        return ready[crc32(flow) % len(ready)]

    def is_undisturbed(self, packets: Address) -> bool:
        """Whether the host that sends from an address has had no recent unplanned disturbance."""
        return all(
            host.unplanned_disturbances.is_stable for host in self._hosts if host.packets == packets
        )

    def passes(self, host: Host) -> bool:
        """Whether a packet reaches a host."""
        link = self.link_by_host.get(host.name)
        return link is None or link.passes(self._random)

    async def _probe_one(self, host: Host) -> None:
        ready = False
        sent_at = monotonic()
        with suppress(OSError, TimeoutError):
            ready = await wait_for(_is_ready(host), _PROBE_INTERVAL_S)
        self._slow_by_host[host.name] = monotonic() > sent_at + _SLOW_PROBE_S
        misses = self._misses_by_host.get(host.name, _MAX_MISSES)
        self._misses_by_host[host.name] = 0 if ready else misses + 1


async def _is_ready(host: Host) -> bool:
    reader, writer = await open_connection(*host.readiness)
    with closing(writer.transport):
        writer.write(b'GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n')
        status = await reader.readline()
    return b' 200 ' in status
