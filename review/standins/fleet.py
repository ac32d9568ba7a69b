"""Run balancers with the commands of the deploy file, and the fabric in front of them."""

from asyncio import create_subprocess_exec, create_task, open_connection, sleep, wait_for
from json import dumps
from os import environ
from pathlib import Path
from random import SystemRandom
from shutil import which
from signal import SIGKILL, SIGTERM
from socket import AF_INET, SOCK_DGRAM, SOCK_STREAM, socket
import sys
from time import monotonic
import tomllib
from zlib import crc32

ROOT = Path(__file__).resolve().parents[2]
DEPS = ROOT / 'target' / 'deps'

_PROBE_S = 0.5
_MISSES = 2
_GRACE_S = 6


class CannotRunError(Exception):
    """Raised if the case cannot run here."""


class Host:
    """One balancer process, and its place in the rotation of the fabric."""

    def __init__(self, name, zone, ip, ports):
        self.name = name
        self.zone = zone
        self.packets = (ip, ports['packets'])
        self.ready = (ip, ports['ready'])
        self.control = (ip, ports['control'])
        self.process = None
        self.started_at = None
        self.in_rotation = False
        self.misses = 0
        self.ready_at = None

    @property
    def running(self):
        """Whether the process runs."""
        return self.process is not None and self.process.returncode is None


class Fleet:
    """The balancers of a small deployment of three zones in one region."""

    def __init__(self, folder, zones, store_address, ports):
        self.hosts = []
        self.zones = zones
        self.ports = ports
        self._folder = Path(folder)
        self._store = store_address
        if not (DEPS / 'bronzekeel').is_dir():
            raise CannotRunError('target/deps is missing: run the build line of deploy/system.toml')
        sys.path.insert(0, str(DEPS))
        from bronzekeel.standins.template import fill_template

        self._fill = fill_template
        deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text(encoding='utf-8'))
        self._role = deploy['roles']['balancer']
        self._template = (ROOT / self._role['template']).read_text(encoding='utf-8')

    def add(self, name, zone, ip):
        """Add a machine, without starting its process."""
        host = Host(name, zone, ip, self.ports)
        self.hosts.append(host)
        return host

    async def start(self, host, seeds):
        """Write the settings of a host and start its process."""
        fields = {
            'nodeName': host.name,
            'zone': host.zone,
            'listenAddrs': {
                'datagramAddr': _text(host.packets),
                'ready': _text(host.ready),
                'control': _text(host.control),
            },
            'seeds': [_text(seed) for seed in seeds],
            'zones': {zone: 'region' for zone in self.zones},
            'bounds': {'graceS': _GRACE_S},
            'limits': {'linkMbps': 1000.0},
            'platform': {'address': _text(self._store)},
        }
        path = self._folder / f'{host.name}.json'
        path.write_text(self._fill(self._template, fields), encoding='utf-8')
        words = self._role['run'].replace('{{listenAddrs.datagramAddr}}', _text(host.packets)).split()
        program = which(words[0])
        if program is None:
            raise CannotRunError(f'{words[0]} is not on the path')
        env = {name: environ[name] for name in ('PATH', 'HOME', 'LANG') if name in environ}
        env['PYTHONPATH'] = str(DEPS)
        env['BRONZEKEEL_NODE_FILE'] = str(path)
        with (self._folder / f'{host.name}.log').open('ab') as log:
            host.process = await create_subprocess_exec(
                program, *words[1:], cwd=ROOT, env=env, stdout=log, stderr=log,
            )
        host.started_at = monotonic()

    async def kill(self, host):
        """Kill a process."""
        host.process.send_signal(SIGKILL)
        await host.process.wait()

    async def end(self):
        """End all processes that were started here."""
        for host in self.hosts:
            if host.running:
                host.process.send_signal(SIGTERM)
        await sleep(0.1)
        for host in self.hosts:
            if host.running:
                await self.kill(host)

    def log_of(self, host):
        """Return the log of a host."""
        return (self._folder / f'{host.name}.log').read_text(encoding='utf-8', errors='replace')


class Fabric:
    """Probe the hosts twice a second, and forward each packet by a hash over those in rotation."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._tasks = []

    def start(self):
        """Start probing."""
        self._tasks.append(create_task(self._probe_all()))

    def stop(self):
        """Stop probing."""
        for task in self._tasks:
            task.cancel()

    def host_for(self, zone, key):
        """Return the host that gets a packet of a flow, None if there is none."""
        zones = [zone, *(other for other in self._fleet.zones if other != zone)]
        for place in zones:
            nodes = [host for host in self._fleet.hosts if host.zone == place]
            rotation = [host for host in nodes if host.in_rotation]
            if not rotation:
                continue
            if len(rotation) * 2 < len(nodes):
                rotation = nodes
            return rotation[crc32(repr(key).encode()) % len(rotation)]
        return None

    async def _probe_all(self):
        while True:
            for host in list(self._fleet.hosts):
                create_task(self._probe(host))
            await sleep(_PROBE_S)

    async def _probe(self, host):
        try:
            ok = await wait_for(_is_ready(host.ready), _PROBE_S)
        except (OSError, TimeoutError):
            ok = False
        if ok:
            host.misses = 0
            if not host.in_rotation:
                host.ready_at = monotonic()
            host.in_rotation = True
            return
        host.misses += 1
        if host.misses >= _MISSES:
            host.in_rotation = False


async def _is_ready(address):
    reader, writer = await open_connection(*address)
    try:
        writer.write(b'GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n')
        line = await reader.readline()
    finally:
        writer.close()
    return b' 200 ' in line


def free_ports(names, ips):
    """Return a port for each name that is free on all addresses, for TCP and UDP."""
    random = SystemRandom()
    by_name = {}
    for name in names:
        for _ in range(200):
            port = random.randrange(21_000, 31_000)
            if port not in by_name.values() and all(_is_free(ip, port) for ip in ips):
                by_name[name] = port
                break
        else:
            raise CannotRunError('no free ports on the loopback addresses')
    return by_name


def _is_free(ip, port):
    for kind in (SOCK_STREAM, SOCK_DGRAM):
        with socket(AF_INET, kind) as trial:
            try:
                trial.bind((ip, port))
            except OSError:
                return False
    return True


def _text(address):
    return f'{address[0]}:{address[1]}'


def text_spec(version, service_by_route):
    """Return the bytes of a desired state that maps routes (address, port) to services."""
    routes = [
        {
            'name': f'r-{index}', 'host': host, 'pathPrefix': f'/{port}/', 'type': 'idempotent',
            'timeoutMs': 2000, 'sloMs': 200, 'priority': 2, 'service': service, 'maxAttempts': 2,
        }
        for index, ((host, port), service) in enumerate(service_by_route.items())
    ]
    services = [
        {'name': name, 'healthPath': '/health', 'maxConns': 2000, 'protocol': 'h1', 'tls': False}
        for name in sorted(set(service_by_route.values()))
    ]
    limits = {
        'maxHeaderBytes': 16384, 'maxBodyBytes': 262144, 'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000,
    }
    return dumps({'version': version, 'routes': routes, 'services': services, 'limits': limits}).encode()
