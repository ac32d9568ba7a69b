"""Stand-ins of the platform for the scripts of this review: only the standard library.

They follow the users' pages: the store (lists, watches and stale reads), the routers, the targets
and the consumers.  Balancers are started with the command of the deploy file, each with a settings
file that is filled in from the deploy file's template.  All addresses are loopback addresses.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import zlib
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

from bronzekeel.standins.template import fill_template


ROOT = Path(__file__).resolve().parents[2]
SYN, ACK, FIN, RST = 1, 128, 32, 64

#: len, sum, dst, sport, dport, src, echo, flags, seq, ack; all big-endian (PROTOCOL, "Packets").
HEADER = struct.Struct('>HI4sHH4sIBII')
RESET_WINDOW = 76_800
SYN_COPIES_S = (0.2, 0.6)
SYN_TIMEOUT_S = 1.4
RETRY_S = 0.2
MAX_RETRY_S = 1.6
PROBE_S = 0.5
RESTART_DELAY_S = 0.3
HEARTBEAT_S = 0.77
START = time.monotonic()


class Record:
    """Collects what was sent, answered and run, and writes it to a file at the end."""

    def __init__(self, path):
        self.path = path
        self.lines = []
        self.faults = []

    def note(self, text):
        self.lines.append(f'{time.monotonic() - START:8.3f} {text}')

    def fault(self, text):
        self.faults.append(text)
        self.note(f'BROKEN {text}')

    def write(self, verdict):
        self.path.write_text('\n'.join([*self.lines, verdict, '']), encoding='utf-8')


class Store:
    """The platform's store: objects by kind and name, lists, watches, and stale reads.

    A read with `serializable` sees the objects as they were `stale_s` seconds ago.  Every change is
    kept, with its time.
    """

    def __init__(self, stale_s=0.0, latency_s=0.004):
        self.stale_s = stale_s
        self.latency_s = latency_s
        self.changes = []
        self.objects = {}
        self.changed = asyncio.Event()
        self.port = 0
        self._server = None

    async def open(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self):
        if self._server is not None:
            self._server.close()

    def put(self, kind, name, spec):
        """Create or replace an object; an unchanged one gets no new revision."""
        known = self.objects.get((kind, name))
        if known is not None and known['spec'] == spec:
            return known['meta']['revision']
        revision = len(self.changes) + 1
        created = known['meta']['createRevision'] if known else revision
        meta = {'name': name, 'revision': revision, 'createRevision': created,
                'finalizers': [], 'deleting': False}
        self.objects[kind, name] = {'meta': meta, 'spec': spec, 'status': None}
        self._add(kind, self.objects[kind, name], False)
        return revision

    def delete(self, kind, name):
        known = self.objects.pop((kind, name), None)
        if known is not None:
            meta = {**known['meta'], 'revision': len(self.changes) + 1}
            self._add(kind, {**known, 'meta': meta}, True)

    def _add(self, kind, content, removed):
        self.changes.append((time.monotonic(), kind, content, removed))
        self.changed.set()
        self.changed = asyncio.Event()

    def _visible(self, stale):
        """Return how many changes a read sees now."""
        if not stale or not self.stale_s:
            return len(self.changes)
        limit = time.monotonic() - self.stale_s
        return sum(change[0] <= limit for change in self.changes)

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                line = head.split(b'\r\n', 1)[0].decode()
                method, target, _ = line.split(' ')
                await asyncio.sleep(self.latency_s)
                status, body = await self._answer(method, target)
                raw = json.dumps(body).encode()
                writer.write(
                    f'HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n'
                    f'Content-Length: {len(raw)}\r\n\r\n'.encode() + raw
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, target):
        parts = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        path = [unquote(part) for part in parts.path.split('/')[3:]]
        stale = query.get('serializable') == '1'
        if method != 'GET':
            return 503, {}
        if len(path) == 2:
            found = self.objects.get((path[0], path[1]))
            return (200, found) if found else (404, {})
        if 'watch' in query:
            wait_s = int(query.get('waitMs', '0')) / 1000
            return 200, await self._watch(path[0], int(query['watch']), wait_s, stale)
        seen = self._visible(stale)
        objects = {}
        for _, kind, content, removed in self.changes[:seen]:
            if kind != path[0]:
                continue
            objects.pop(content['meta']['name'], None)
            if not removed:
                objects[content['meta']['name']] = content
        names = sorted(name for name in objects if name > query.get('after', ''))
        items = [objects[name] for name in names[:500]]
        return 200, {'items': items, 'hasMore': len(names) > 500, 'storeRevision': seen}

    async def _watch(self, kind, since, wait_s, stale):
        until = time.monotonic() + wait_s
        while True:
            seen = self._visible(stale)
            events = [
                {'object': content, 'tombstone': removed}
                for _, owner, content, removed in self.changes[since:seen]
                if owner == kind
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return {'events': events, 'storeRevision': max(seen, since)}
            waiting = self.changed
            pause = min(left, 0.02) if stale and self.stale_s else left
            try:
                await asyncio.wait_for(waiting.wait(), pause)
            except asyncio.TimeoutError:
                pass
            if stale and self.stale_s:
                await asyncio.sleep(0.01)


class Cuts:
    """Which zones' packets reach which: holds pairs of zones between which nothing passes."""

    def __init__(self):
        self.blocked = set()

    def passes(self, sender, receiver):
        return (sender, receiver) not in self.blocked


class Host:
    """One machine with one balancer, started with the command of the deploy file.

    Heartbeats and views of other machines pass through a proxy in front of its control address.
    """

    def __init__(self, deployment, number, zone):
        self.deployment = deployment
        self.number = number
        self.zone = zone
        self.name = f'edge-{zone}-{number}'
        self.ip = f'127.9.{number // 200}.{number % 200 + 1}'
        self.proxy_ip = f'127.8.{number // 200}.{number % 200 + 1}'
        self.process = None
        self.in_rotation = False
        self.misses = 2
        self.removed = False
        self.own_exits = []
        self.starts = 0
        self.started_at = 0.0
        self._expected = False
        self._path = deployment.folder / f'{self.name}.json'
        self._log = deployment.folder / f'{self.name}.log'

    @property
    def packets(self):
        return self.ip, self.deployment.packet_port

    def write_settings(self):
        deployment = self.deployment
        fields = {
            'nodeName': self.name,
            'zone': self.zone,
            'zones': {zone: 'region' for zone in deployment.zones},
            'seeds': [f'{host.proxy_ip}:{deployment.peer_port}' for host in deployment.hosts[:3]],
            'listenAddrs': {
                'datagramAddr': f'{self.ip}:{deployment.packet_port}',
                'ready': f'{self.ip}:{deployment.ready_port}',
                'control': f'{self.ip}:{deployment.peer_port}',
            },
            'limits': {'linkMbps': 1000.0},
            'bounds': deployment.bounds,
            'platform': {'address': f'127.0.0.1:{deployment.store.port}'},
        }
        template = (ROOT / 'deploy' / 'settings.json').read_text(encoding='utf-8')
        settings = json.loads(fill_template(template, fields))
        settings['peers_advertised'] = f'{self.proxy_ip}:{deployment.peer_port}'
        temporary = self._path.with_suffix('.new')
        temporary.write_text(json.dumps(settings), encoding='utf-8')
        temporary.rename(self._path)

    async def start(self):
        self.starts += 1
        self._expected = False
        self.started_at = time.monotonic()
        environment = {
            'PATH': os.environ.get('PATH', ''),
            'HOME': os.environ.get('HOME', '/'),
            'LANG': 'C.UTF-8',
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'BRONZEKEEL_NODE_FILE': str(self._path),
        }
        with self._log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                'python3', '-S', 'deploy/start.py', f'{self.ip}:{self.deployment.packet_port}',
                cwd=ROOT, env=environment, stdout=log, stderr=log,
            )
        asyncio.create_task(self._supervise(self.process))

    async def _supervise(self, process):
        code = await process.wait()
        if self.deployment.closing:
            return
        self.deployment.record.note(f'{self.name} ended with code {code}')
        if not self._expected:
            self.own_exits.append((time.monotonic(), code))
        if self.removed:
            return
        await asyncio.sleep(RESTART_DELAY_S)
        if not self.deployment.closing:
            await self.start()

    def send(self, number, ends=False):
        """Send a signal; `ends` if it is one with which the platform ends the process."""
        if ends:
            self._expected = True
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()

    def log_lines(self, name):
        """Return the log lines of a kind."""
        text = self._log.read_text(encoding='utf-8', errors='replace') if self._log.exists() else ''
        return [line for line in text.splitlines() if f'"name": "{name}"' in line]

    def owns(self, port):
        """Whether this machine's process owns the local TCP port (a connecting socket)."""
        if self.process is None:
            return False
        inodes = _inodes_of_port(port)
        folder = Path(f'/proc/{self.process.pid}/fd')
        try:
            for entry in folder.iterdir():
                if os.readlink(entry) in inodes:
                    return True
        except OSError:
            return False
        return False


def _inodes_of_port(port):
    found = set()
    for line in Path('/proc/net/tcp').read_text().splitlines()[1:]:
        fields = line.split()
        if int(fields[1].split(':')[1], 16) == port:
            found.add(f'socket:[{fields[9]}]')
    return found


class _HeartbeatProxy(asyncio.DatagramProtocol):
    def __init__(self, host):
        self.host = host
        self.transport = None

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, addr):
        deployment = self.host.deployment
        sender = deployment.host_by_ip.get(addr[0])
        if sender is None or not deployment.cuts.passes(sender.zone, self.host.zone):
            return
        self.transport.sendto(data, (self.host.ip, deployment.peer_port))


class Deployment:
    """Everything that a script runs."""

    def __init__(self, record, zones, stale_s=0.0, bounds=None, seed=1):
        self.record = record
        self.zones = zones
        self.random = random.Random(seed)
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.store = Store(stale_s)
        self.cuts = Cuts()
        self.hosts = []
        self.host_by_ip = {}
        self.targets = []
        self.consumers = []
        self.closing = False
        self.bounds = {'graceS': 6, **(bounds or {})}
        self.packet_port, self.ready_port, self.peer_port = _free_ports()
        self._tasks = []
        self._servers = []
        self._transports = []

    async def open(self, hosts_per_zone):
        await self.store.open()
        for zone in self.zones:
            for _ in range(hosts_per_zone):
                host = Host(self, len(self.hosts), zone)
                self.hosts.append(host)
                self.host_by_ip[host.ip] = host
        loop = asyncio.get_running_loop()
        for host in self.hosts:
            transport, _ = await loop.create_datagram_endpoint(
                lambda host=host: _HeartbeatProxy(host),
                local_addr=(host.proxy_ip, self.peer_port),
            )
            self._transports.append(transport)
            server = await asyncio.start_server(
                lambda reader, writer, host=host: self._relay(host, reader, writer),
                host.proxy_ip, self.peer_port,
            )
            self._servers.append(server)
            host.write_settings()

    async def start(self):
        """Start all machines and wait until all are in rotation."""
        for host in self.hosts:
            await host.start()
        self._tasks.append(asyncio.create_task(self._probe_all()))
        until = time.monotonic() + 20
        while not all(host.in_rotation for host in self.hosts):
            if time.monotonic() > until:
                raise RuntimeError('not all balancers became ready')
            await asyncio.sleep(0.05)

    def holder_of(self, flow):
        """Return the running target that holds a flow as open, None if there is none."""
        key = flow.packet(ACK, 0).flow
        for target in self.targets:
            held = target.flows.get(key)
            if target.alive and held is not None and held.open:
                return target
        return None

    def on_reset(self, flow, by_system):
        """Judge a reset of an open flow (rule FLOW, a): its target did not send it, and lives."""
        holder = self.holder_of(flow)
        sender = 'the system' if by_system else 'a target'
        self.record.note(f'flow {flow.consumer.ip}:{flow.port} reset by {sender}')
        if by_system and holder is not None:
            self.record.fault(
                f'FLOW: {flow.consumer.ip}:{flow.port}, open at the running target {holder.id},'
                ' was reset by the system'
            )

    def run(self, coroutine):
        self._tasks.append(asyncio.create_task(coroutine))

    async def close(self):
        self.closing = True
        for task in self._tasks:
            task.cancel()
        for host in self.hosts:
            await host.end()
        for part in (*self._servers, *self._transports, *self.targets, *self.consumers):
            part.close()
        self.store.close()
        if os.environ.get('KEEP_LOGS'):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def choose(self, flow, zone):
        """Return the machine to which the routers send a packet of a flow (hash `mod`)."""
        local = [host for host in self.hosts if host.zone == zone and not host.removed]
        ready = [host for host in local if host.in_rotation]
        if ready and 2 * len(ready) < len(local):
            ready = local
        if not ready:
            ready = [host for host in self.hosts if host.in_rotation]
        if not ready:
            return None
        return ready[zlib.crc32(flow) % len(ready)]

    async def _probe_all(self):
        while True:
            await asyncio.gather(*(self._probe(host) for host in self.hosts), asyncio.sleep(PROBE_S))

    async def _probe(self, host):
        if host.removed:
            host.in_rotation = False
            return
        good = False
        try:
            good = await asyncio.wait_for(self._is_ready(host), PROBE_S)
        except (OSError, asyncio.TimeoutError, ValueError):
            pass
        former = host.in_rotation
        host.misses = 0 if good else host.misses + 1
        host.in_rotation = host.misses < 2
        if former != host.in_rotation:
            self.record.note(f'{host.name} in rotation: {host.in_rotation}')

    async def _is_ready(self, host):
        reader, writer = await asyncio.open_connection(host.ip, self.ready_port)
        try:
            writer.write(b'GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n')
            line = await reader.readline()
            return b' 200 ' in line
        finally:
            writer.close()

    async def _relay(self, host, reader, writer):
        """Carry a view's connection, or hold it in silence while a cut separates its ends."""
        port = writer.get_extra_info('peername')[1]
        client = next((other for other in self.hosts if other.owns(port)), None)
        try:
            if client is not None and not self._both_ways(client, host):
                await reader.read(-1)
                return
            to_reader, to_writer = await asyncio.open_connection(host.ip, self.peer_port)
        except (OSError, asyncio.CancelledError):
            writer.close()
            return
        await asyncio.gather(
            self._copy(reader, to_writer, client, host), self._copy(to_reader, writer, client, host)
        )

    def _both_ways(self, client, host):
        forth = self.cuts.passes(client.zone, host.zone)
        return forth and self.cuts.passes(host.zone, client.zone)

    async def _copy(self, reader, writer, client, host):
        try:
            while data := await reader.read(65536):
                if client is not None and not self._both_ways(client, host):
                    continue
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


def _free_ports():
    """Return three ports that are free for datagrams and streams."""
    ports = []
    held = []
    while len(ports) < 3:
        datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        streams = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        held.extend((datagrams, streams))
        datagrams.bind(('', 0))
        port = datagrams.getsockname()[1]
        try:
            streams.bind(('', port))
        except OSError:
            continue
        ports.append(port)
    for sock in held:
        sock.close()
    return ports


class Packet:
    """One packet, as PROTOCOL describes it."""

    __slots__ = ('ack', 'data', 'dport', 'dst', 'echo', 'flags', 'seq', 'sport', 'src', 'sum')

    def __init__(self, src, sport, dst, dport, flags, seq, ack, echo=0, data=b''):
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.flags, self.seq, self.ack, self.echo, self.data = flags, seq, ack, echo, data
        self.sum = self.computed_sum()

    def computed_sum(self):
        fields = (self.src, self.sport, self.dst, self.dport, self.flags, self.seq, self.ack)
        return zlib.crc32(repr(fields).encode() + self.data) or 1

    def encode(self):
        return HEADER.pack(
            len(self.data), self.sum, socket.inet_aton(self.dst), self.sport, self.dport,
            socket.inet_aton(self.src), self.echo, self.flags, self.seq, self.ack,
        ) + self.data

    @classmethod
    def decode(cls, raw):
        _, total, dst, sport, dport, src, echo, flags, seq, ack = HEADER.unpack_from(raw)
        packet = cls(socket.inet_ntoa(src), sport, socket.inet_ntoa(dst), dport, flags, seq, ack,
                     echo, raw[HEADER.size:])
        packet.sum = total
        return packet

    @property
    def flow(self):
        return (socket.inet_aton(self.src) + self.sport.to_bytes(2, 'big')
                + socket.inet_aton(self.dst) + self.dport.to_bytes(2, 'big'))


class _TargetFlow:
    def __init__(self, packet, seq):
        self.expected = packet.seq + 1
        self.seq = seq
        self.echo = packet.echo
        self.open = False
        self.reply = None
        self.busy = False


class Target(asyncio.DatagramProtocol):
    """One target of a service: accepts flows, runs requests, registers itself in the store.

    A request is one packet; its answer is one packet.  A target that drains closes each flow after
    its next answer, and still accepts SYNs.
    """

    def __init__(self, deployment, service, zone, capacity=3, work_s=0.04):
        self.deployment = deployment
        self.service = service
        self.zone = zone
        self.capacity = capacity
        self.work_s = work_s
        self.id = f'i-{deployment.random.getrandbits(40):010x}'
        self.number = int(self.id[2:], 16)
        self.draining = False
        self.drained_at = None
        self.alive = True
        self.sequence = 0
        self.flows = {}
        self.busy = 0
        self.queue = []
        self.opened = []
        self.ran = []
        self.cold_s = 0.0
        self.warm_at = 0.0
        self.address = None
        self.transport = None
        self._tasks = []

    async def open(self):
        loop = asyncio.get_running_loop()
        ip = f'127.7.{len(self.deployment.targets) // 200}.{len(self.deployment.targets) % 200 + 1}'
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(ip, 0))
        self.address = self.transport.get_extra_info('sockname')[:2]
        self.deployment.targets.append(self)
        self.write()
        self._tasks.append(asyncio.create_task(self._heartbeat()))
        return self

    def close(self):
        self.alive = False
        for task in self._tasks:
            task.cancel()
        if self.transport is not None:
            self.transport.close()

    @property
    def spec(self):
        return {
            'service': self.service,
            'address': f'{self.address[0]}:{self.address[1]}',
            'zone': self.zone,
            'version': 'v1',
            'capacity': self.capacity,
            'state': 'draining' if self.draining else 'ready',
            'warmupLeftMs': round(self.cold_s * 1000),
            'sequence': 1,
        }

    def write(self):
        """Write its entry; the entry changes when more than `sequence` changes."""
        self.deployment.store.put('servers', self.id, self.spec)

    def drain(self):
        self.draining = True
        self.write()
        self.drained_at = time.monotonic()

    def leave(self):
        """Exit: what is in progress is lost, and the entry is removed."""
        self.deployment.store.delete('servers', self.id)
        self.close()

    async def _heartbeat(self):
        await asyncio.sleep(self.deployment.random.uniform(0, HEARTBEAT_S))
        while self.alive:
            self.write()
            await asyncio.sleep(HEARTBEAT_S)

    def datagram_received(self, data, addr):
        if not self.alive:
            return
        number = int.from_bytes(data[:8], 'big')
        if number not in {0, self.number}:
            return
        packet = Packet.decode(data[8:])
        if packet.sum != packet.computed_sum():
            self.deployment.record.fault(f'UNASKED: {self.id} got a packet that was changed')
            return
        if packet.flags & RST:
            self.flows.pop(packet.flow, None)
        elif packet.flags & SYN:
            self._on_syn(packet, addr)
        else:
            self._on_packet(packet, addr)

    def _on_syn(self, packet, addr):
        flow = self.flows.get(packet.flow)
        if flow is None:
            flow = _TargetFlow(packet, self.deployment.random.getrandbits(31))
            self.flows[packet.flow] = flow
            self.opened.append((time.monotonic(), addr[0], packet))
        flow.echo = packet.echo
        self._send(packet, SYN | ACK, flow.seq, packet.seq + 1, flow.echo)

    def _on_packet(self, packet, addr):
        flow = self.flows.get(packet.flow)
        if flow is None or (not flow.open and packet.ack != flow.seq + 1):
            self._send(packet, RST, packet.ack, 0, packet.echo)
            return
        if not flow.open:
            flow.open = True
            flow.seq += 1
        flow.echo = packet.echo
        if packet.flags & FIN:
            self.flows.pop(packet.flow)
            self._send(packet, ACK, flow.seq, packet.seq + 1, flow.echo)
            return
        if not packet.data:
            return
        if packet.seq == flow.expected:
            flow.expected += len(packet.data)
            flow.reply = None
            if self.busy < self.capacity:
                self._run(packet, flow)
            elif len(self.queue) < 12:
                self.queue.append((packet, flow))
            else:
                self._reply(packet, flow, b'HTTP/1.1 503 -\r\nNot-Executed: 1\r\n')
        elif flow.reply is not None and packet.seq < flow.expected:
            self.transport.sendto(flow.reply, self._consumer(packet))

    def _run(self, packet, flow):
        self.busy += 1
        request = packet.data.split(b'\r\n')[1].decode()
        self.ran.append((time.monotonic(), request))
        work_s = self.work_s * self.deployment.random.uniform(0.5, 1.5)
        asyncio.get_running_loop().call_later(work_s, self._finish, packet, flow, request)

    def _finish(self, packet, flow, request):
        if not self.alive:
            return
        self.busy -= 1
        if self.queue:
            self._run(*self.queue.pop(0))
        body = f'HTTP/1.1 200 OK\r\n{request}\r\nTarget-Id: {self.id}\r\n'.encode()
        self._reply(packet, flow, body + b'x' * 600)

    def _reply(self, packet, flow, body):
        reply = Packet(packet.dst, packet.dport, packet.src, packet.sport,
                       ACK | (FIN if self.draining else 0), flow.seq, flow.expected, flow.echo, body)
        flow.reply = reply.encode()
        flow.seq += len(body)
        self.transport.sendto(flow.reply, self._consumer(packet))

    def _consumer(self, packet):
        return packet.src, self.deployment.packet_port

    def _send(self, packet, flags, seq, ack, echo):
        answer = Packet(packet.dst, packet.dport, packet.src, packet.sport, flags, seq, ack, echo)
        self.transport.sendto(answer.encode(), self._consumer(packet))


class Flow:
    """One flow as its consumer sees it."""

    def __init__(self, consumer, port, route):
        self.consumer = consumer
        self.port = port
        self.route = route
        self.seq = consumer.deployment.random.getrandbits(30)
        self.ack = 0
        self.echo = 0
        self.target = None
        self.state = 'new'
        self.ended_by = None
        self.event = asyncio.Event()
        self.answer = None

    def packet(self, flags, ack, data=b''):
        return Packet(self.consumer.ip, self.port, *self.route, flags, self.seq, ack, self.echo, data)

    async def open(self):
        """Open the flow; return whether that succeeded."""
        self.state = 'opening'
        begun = time.monotonic()
        for copy, until in enumerate((*SYN_COPIES_S, SYN_TIMEOUT_S)):
            self.consumer.transmit(self.packet(SYN, copy))
            if await self._wait(begun + until, lambda: self.state != 'opening'):
                break
        if self.state != 'open':
            self.ended_by = self.ended_by or 'no answer'
            self.state = 'ended'
            return False
        self.seq += 1
        return True

    async def request(self, body, limit_s=2.0):
        """Send a request and wait for its answer; return it, or None."""
        data = body.encode() + b'\r\n' + b'y' * 200
        until = time.monotonic() + limit_s
        wait_s = RETRY_S
        self.answer = None
        while time.monotonic() < until and self.state == 'open':
            self.consumer.transmit(self.packet(ACK, self.ack, data))
            retry_at = min(time.monotonic() + wait_s, until)
            if await self._wait(retry_at, lambda: self.answer is not None or self.state != 'open'):
                break
            wait_s = min(wait_s * 2, MAX_RETRY_S)
        if self.answer is None:
            return None
        self.seq += len(data)
        self.consumer.transmit(self.packet(ACK, self.ack))
        return self.answer

    def finish(self):
        """Close the flow."""
        if self.state in {'open', 'closing'}:
            self.consumer.transmit(self.packet(FIN | ACK, self.ack))
        self.state = 'ended'
        self.consumer.flow_by_port.pop(self.port, None)

    async def _wait(self, until, is_done):
        """Wait until something has arrived that ends the wait; return False if nothing has."""
        while not is_done():
            left = until - time.monotonic()
            if left <= 0:
                return False
            self.event.clear()
            try:
                await asyncio.wait_for(self.event.wait(), left)
            except asyncio.TimeoutError:
                pass
        return True

    def receive(self, packet):
        if packet.flags & RST:
            self._on_reset(packet)
            return
        if packet.sum != packet.computed_sum():
            self.consumer.deployment.record.fault('MIXED: a consumer got a packet that was changed')
            return
        if packet.flags & SYN:
            if self.state == 'opening':
                self.echo = packet.echo
                self.ack = packet.seq + 1
                self.state = 'open'
                self.event.set()
            return
        if self.state != 'open':
            return
        self.echo = packet.echo
        if packet.data and packet.seq == self.ack:
            self.ack += len(packet.data)
            self.answer = packet.data.decode()
            for line in self.answer.split('\r\n'):
                if line.startswith('Target-Id: '):
                    self.target = line[11:]
            self.event.set()
        if packet.flags & FIN:
            self.state = 'closing' if self.answer is not None else 'ended'
            self.ended_by = 'closed by the target'
            self.event.set()

    def _on_reset(self, packet):
        by_system = packet.sum == 0
        if self.state == 'open':
            distance = (packet.seq - self.ack) % (1 << 32)
            if min(distance, (1 << 32) - distance) > RESET_WINDOW:
                return
        if self.state not in {'open', 'opening'}:
            return
        self.ended_by = 'reset by the system' if by_system else 'reset by a target'
        if self.state == 'open':
            self.consumer.deployment.on_reset(self, by_system)
        self.state = 'ended'
        self.event.set()


class Consumer(asyncio.DatagramProtocol):
    """One consumer address in a zone; it may have many flows."""

    def __init__(self, deployment, zone):
        self.deployment = deployment
        self.zone = zone
        self.flow_by_port = {}
        self.ip = None
        self.transport = None
        self._next_port = 1024

    async def open(self):
        number = len(self.deployment.consumers)
        self.ip = f'127.6.{number // 200}.{number % 200 + 1}'
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.ip, self.deployment.packet_port)
        )
        self.deployment.consumers.append(self)
        return self

    def close(self):
        if self.transport is not None:
            self.transport.close()

    def flow(self, route):
        self._next_port += 1
        flow = Flow(self, self._next_port, route)
        self.flow_by_port[flow.port] = flow
        return flow

    def transmit(self, packet):
        host = self.deployment.choose(packet.flow, self.zone)
        if host is not None and not self.transport.is_closing():
            self.transport.sendto(packet.encode(), host.packets)

    def datagram_received(self, data, addr):
        packet = Packet.decode(data)
        flow = self.flow_by_port.get(packet.dport)
        if flow is not None:
            flow.receive(packet)


def text(version, services, routes, rate_by_service=None):
    """Return a desired state: `routes` has the service of each (address, port)."""
    return {
        'version': version,
        'routes': [
            {'name': f'r-{index}', 'host': host, 'pathPrefix': f'/{port}/', 'type': 'idempotent',
             'timeoutMs': 2000, 'sloMs': 200, 'priority': 1, 'service': service, 'maxAttempts': 2}
            for index, ((host, port), service) in enumerate(sorted(routes.items()))
        ],
        'services': [
            {'name': service, 'healthPath': '/health', 'maxConns': 2000, 'protocol': 'h1',
             'tls': False, 'warmupS': 8.0, 'warmupPerS': (rate_by_service or {}).get(service, 0.0)}
            for service in services
        ],
        'limits': {'idleTimeoutMs': 15000},
    }


async def _limited(script):
    """Run a script for 110 s at most; a signal ends it, and with it all that it started."""
    task = asyncio.ensure_future(script)
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    await asyncio.wait_for(task, 110)


def play(main, folder):
    """Run a script's `main(record, trouble)`; exit with 1 if a rule was broken, 2 if it failed."""
    record = Record(Path(folder) / 'record.txt')
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record.note(f'TROUBLE={int(trouble)}')
    code = 2
    try:
        asyncio.run(_limited(main(record, trouble)))
        code = 1 if record.faults else 0
    except (Exception, asyncio.CancelledError) as error:  # the case could not run
        record.note(f'could not run: {error!r}')
        print(f'could not run: {error!r}')
    verdict = {0: 'HELD', 1: f'BROKEN {len(record.faults)} times', 2: 'COULD NOT RUN'}[code]
    record.write(verdict)
    print(verdict)
    for fault in record.faults[:5]:
        print(f'  {fault}')
    sys.exit(code)
