"""Run balancers as the deploy file does: a process each, with a settings file of its own."""

from asyncio import create_subprocess_exec, create_task, sleep
from asyncio.subprocess import Process
from json import dumps as encode_json
from json import loads as decode_json
from os import environ, pathsep
from pathlib import Path
from random import Random
from signal import SIGCONT, SIGHUP, SIGKILL, SIGSTOP, SIGTERM
from sys import executable
from sys import path as module_path

from bronzekeel.core.log_numbers import LogNumber
from bronzekeel.platform.machine import HostPlace, host_fields
from bronzekeel.platform.start import SETTINGS_VARIABLE
from bronzekeel.soak.contact import Contact
from bronzekeel.soak.links import Address, DatagramProxy, StreamProxy, loopback
from bronzekeel.standins.template import fill_template


_ROOT = Path(__file__).parents[3]
START_SCRIPT = _ROOT / 'deploy' / 'start.py'
_TEMPLATE = _ROOT / 'deploy' / 'settings.json'

#: Seconds that a stop may take, and after which a process that ended is started again.
STOP_S = 6
RESTART_S = 0.3


class Ports:
    """Hold the ports that are the same on all hosts."""

    __slots__ = ('packets', 'peers', 'readiness')

    def __init__(self, packets: int, peers: int, readiness: int) -> None:
        """Use three free ports."""
        self.packets = packets
        self.peers = peers
        self.readiness = readiness


class Host:
    """Own one balancer's process, its settings, and the proxies before it.

    `expected` tells that it was told to end; `starts` counts its processes.  `contact` notes all
    that disturbs it, `unplanned` what no operator asked for.
    """

    def __init__(
        self,
        name: str,
        data_centre: str,
        number: int,
        ports: Ports,
        folder: Path,
    ) -> None:
        """Place the host at loopback addresses of its own."""
        self.name = name
        self.data_centre = data_centre
        ip = loopback('127.9', number)
        proxy_ip = loopback('127.8', number)
        self.packets: Address = (ip, ports.packets)
        self.peers: Address = (ip, ports.peers)
        self.readiness: Address = (ip, ports.readiness)
        self.advertised: Address = (proxy_ip, ports.peers)
        self.contact = Contact()
        self.unplanned = Contact()
        self.starts = 0
        self.expected = False
        self.left = False
        self.failures: list[str] = []
        random = Random(name)
        self.heartbeats = DatagramProxy(self.peers, random)
        self.views = StreamProxy(self.peers)
        self.store = StreamProxy(('127.0.0.1', 0))
        self._path = folder / f'{name}.json'
        self.log_path = folder / f'{name}.log'
        self._process: Process | None = None

    @property
    def running(self) -> bool:
        """Whether its process runs."""
        return self._process is not None and self._process.returncode is None

    async def open(self, store_port: int) -> None:
        """Bind the proxies before the host."""
        await self.heartbeats.open(self.advertised)
        await self.views.open(self.advertised)
        self.store.target = ('127.0.0.1', store_port)
        await self.store.open(('127.0.0.1', 0))

    def write_settings(self, seeds: list[Address], stop_within_s: int = STOP_S) -> None:
        """Write the settings that the template gives, in one piece."""
        place = HostPlace(self.name, self.data_centre, self.packets, self.readiness, self.peers)
        store = ('127.0.0.1', self.store.port)
        template = _TEMPLATE.read_text(encoding='utf-8')
        fields = decode_json(
            fill_template(template, host_fields(place, store, seeds, stop_within_s))
        )
        fields['peers_advertised'] = f'{self.advertised[0]}:{self.advertised[1]}'
        fresh = self._path.with_suffix('.new')
        fresh.write_text(encode_json(fields), encoding='utf-8')
        fresh.rename(self._path)

    async def start(self, script: Path) -> None:
        """Start its process; it is started again whenever it ends."""
        self.starts += 1
        self.contact.touch()
        sources = pathsep.join((str(_ROOT / 'src'), *module_path))
        with self.log_path.open('ab') as log:
            self._process = await create_subprocess_exec(
                executable,
                '-S',
                str(script),
                env={**environ, 'PYTHONPATH': sources, SETTINGS_VARIABLE: str(self._path)},
                stdout=log,
                stderr=log,
            )
        create_task(self._watch(self._process, script))  # noqa: RUF006 (ends with the process)

    def signal(self, number: int) -> None:
        """Send a signal to its process, if it runs."""
        if self._process is not None and self.running:
            self._process.send_signal(number)

    def kill(self) -> None:
        """End its process at once."""
        self.expected = True
        self.unplanned.touch()
        self.signal(SIGKILL)

    def stop(self) -> None:
        """End its process in the planned way."""
        self.expected = True
        self.signal(SIGTERM)

    def pause(self) -> None:
        """Let its process stand still."""
        self.contact.begin()
        self.unplanned.begin()
        self.signal(SIGSTOP)

    def go_on(self) -> None:
        """Let its process go on."""
        self.signal(SIGCONT)
        self.contact.end()
        self.unplanned.end()

    def reload(self) -> None:
        """Tell its process that the settings have changed."""
        self.signal(SIGHUP)

    async def end(self) -> None:
        """End its process for good, and free the proxies."""
        self.left = True
        self.signal(SIGCONT)
        self.kill()
        if self._process is not None:
            await self._process.wait()
        self.heartbeats.close()
        self.views.close()
        self.store.close()

    def faults_logged(self) -> list[str]:
        """Return lines that no balancer should write."""
        lines = self.log_path.read_text(encoding='utf-8', errors='replace').splitlines()
        fault = f'"event": {int(LogNumber.INTERNAL_FAULT)},'
        return [line for line in lines if line and (not line.startswith('{') or fault in line)]

    async def _watch(self, process: Process, script: Path) -> None:
        code = await process.wait()
        if not self.expected:
            self.failures.append(f'{self.name} ended by itself with code {code}')
        self.expected = False
        if self.left:
            return
        await sleep(RESTART_S)
        if not self.left:
            await self.start(script)
