"""Run balancers as the deploy file does: one process each, with its own settings file."""

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
from bronzekeel.platform.host_description import HostDescription, template_fields
from bronzekeel.platform.start import SETTINGS_VARIABLE
from bronzekeel.soak.disturbances import Disturbances
from bronzekeel.soak.links import Address, DatagramProxy, StreamProxy, loopback
from bronzekeel.standins.template import fill_template


_ROOT = Path(__file__).parents[3]
START_SCRIPT = _ROOT / 'deploy' / 'start.py'
_TEMPLATE = _ROOT / 'deploy' / 'settings.json'

#: Seconds that a stop may take, and delay in seconds before an exited process is restarted.
MAX_STOP_S = 6
RESTART_DELAY_S = 0.3


class Ports:
    """Ports that are the same on all hosts."""

    __slots__ = ('packets', 'peers', 'readiness')

    def __init__(self, packets: int, peers: int, readiness: int) -> None:
        """Use three free ports."""
        self.packets = packets
        self.peers = peers
        self.readiness = readiness


class Host:
    """Own one balancer's process, its settings, and the proxies in front of it.

    `exit_expected` is set when the process was asked to exit; `starts` counts its processes.
    `disturbances` records everything that disturbs it, `unplanned_disturbances` only what no
    operator requested.
    """

    def __init__(
        self,
        name: str,
        data_centre: str,
        number: int,
        ports: Ports,
        folder: Path,
    ) -> None:
        """Assign the host its own loopback addresses."""
        self.name = name
        self.data_centre = data_centre
        address = loopback('127.9', number)
        proxy_ip = loopback('127.8', number)
        self.packets: Address = (address, ports.packets)
        self.peers: Address = (address, ports.peers)
        self.readiness: Address = (address, ports.readiness)
        self.advertised: Address = (proxy_ip, ports.peers)
        self.disturbances = Disturbances()
        self.unplanned_disturbances = Disturbances()
        self.starts = 0
        self.exit_expected = False
        self.is_closed = False
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
        """Whether the process is running."""
        return self._process is not None and self._process.returncode is None

    async def open(self, store_port: int) -> None:
        """Bind the proxies in front of the host."""
        await self.heartbeats.open(self.advertised)
        await self.views.open(self.advertised)
        self.store.target = ('127.0.0.1', store_port)
        await self.store.open(('127.0.0.1', 0))

    def write_settings(self, seeds: list[Address], stop_within_s: int = MAX_STOP_S) -> None:
        """Write the settings from the template, replacing the file atomically."""
        host_place = HostDescription(
            self.name, self.data_centre, self.packets, self.readiness, self.peers
        )
        store = ('127.0.0.1', self.store.port)
        template = _TEMPLATE.read_text(encoding='utf-8')
        fields = decode_json(
            fill_template(template, template_fields(host_place, store, seeds, stop_within_s))
        )
        fields['peers_advertised'] = f'{self.advertised[0]}:{self.advertised[1]}'
        temporary = self._path.with_suffix('.new')
        temporary.write_text(encode_json(fields), encoding='utf-8')
        temporary.rename(self._path)

    async def start(self, script: Path) -> None:
        """Start the process; it is restarted whenever it exits, until `end` is called."""
        self.starts += 1
        self.disturbances.note()
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
        create_task(self._supervise(self._process, script))  # noqa: RUF006 (ends with the process)

    def signal(self, number: int) -> None:
        """Send a signal to the process if it is running."""
        if self._process is not None and self.running:
            self._process.send_signal(number)

    def kill(self) -> None:
        """Kill the process."""
        self.exit_expected = True
        self.unplanned_disturbances.note()
        self.signal(SIGKILL)

    def stop(self) -> None:
        """Stop the process gracefully."""
        self.exit_expected = True
        self.signal(SIGTERM)

    def pause(self) -> None:
        """Pause the process."""
        self.disturbances.begin()
        self.unplanned_disturbances.begin()
        self.signal(SIGSTOP)

    def resume(self) -> None:
        """Resume the process."""
        self.signal(SIGCONT)
        self.disturbances.end()
        self.unplanned_disturbances.end()

    def reload(self) -> None:
        """Signal the process to reload its settings."""
        self.signal(SIGHUP)

    async def end(self) -> None:
        """Kill the process without a restart, and close the proxies."""
        self.is_closed = True
        self.signal(SIGCONT)
        self.kill()
        if self._process is not None:
            await self._process.wait()
        self.heartbeats.close()
        self.views.close()
        self.store.close()

    def logged_faults(self) -> list[str]:
        """Return log lines that report an internal fault or are not JSON."""
        lines = self.log_path.read_text(encoding='utf-8', errors='replace').splitlines()
        fault = f'"event": {int(LogNumber.INTERNAL_FAULT)},'
        return [line for line in lines if line and (not line.startswith('{') or fault in line)]

    async def _supervise(self, process: Process, script: Path) -> None:
        code = await process.wait()
        if not self.exit_expected:
            self.failures.append(f'{self.name} exited unexpectedly with code {code}')
        self.exit_expected = False
        if self.is_closed:
            return
        await sleep(RESTART_DELAY_S)
        if not self.is_closed:
            await self.start(script)
