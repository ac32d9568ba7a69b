"""Stand-in of a target: it registers itself, holds flows and answers requests."""

from asyncio import DatagramProtocol, Semaphore, create_task, get_running_loop, sleep
from json import dumps
from random import Random
from time import monotonic

from standins.wire import ACK, FIN, RST, SYN, Packet, decode


HEARTBEAT_S = 0.77
COLD_S = 2.0
CAPACITY = 3
WORK_S = 0.04

_NUMBER_BYTES = 8
_RETRANSMIT_S = 0.2
_MAX_RETRANSMIT_S = 1.6
_MAX_RETRANSMISSIONS = 8


class TargetFlow:
    """A flow at a target: the next sequence numbers, and whether it is open."""

    __slots__ = ('acked', 'answer_end', 'answers_by_seq', 'echo', 'expects', 'isn', 'next_seq', 'opened_at')

    def __init__(self, isn, expects, echo):
        self.isn = isn
        self.next_seq = isn + 1
        self.acked = isn
        self.expects = expects
        self.echo = echo
        self.opened_at = None
        self.answers_by_seq = {}


class Target(DatagramProtocol):
    """One boot of a target.  `opened` and `runs` record its flows and the requests that it ran."""

    def __init__(self, store, name, service, address, zone, consumer_port, *, cold=False):
        self.store = store
        self.name = name
        self.number = int(name.rpartition('-')[2], 16)
        self.service = service
        self.address = address
        self.zone = zone
        self.state = 'ready'
        self.flows = {}
        self.opened = {}
        self.runs = []
        self.alive = False
        self.ended_at = None
        self._consumer_port = consumer_port
        self._cold = cold
        self._slots = Semaphore(CAPACITY)
        self._random = Random(name)
        self._written = None
        self._tasks = set()
        self._transport = None

    async def start(self):
        """Listen, register, and go on writing the entry."""
        loop = get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=self.address)
        self.alive = True
        self._warm_at = monotonic() + (COLD_S if self._cold else 0)
        self.write_entry()
        self._spawn(self._write_entries())

    def drain(self):
        """Report that it is leaving; return the revision of the entry."""
        self.state = 'draining'
        return self.write_entry()

    def end(self):
        """End the process: flows are gone and the entry is removed."""
        self.alive = False
        self.ended_at = monotonic()
        for task in list(self._tasks):
            task.cancel()
        self._transport.close()

    def leave(self):
        """End after a drain: the entry is removed."""
        self.end()
        self.store.remove('servers', self.name.encode())

    def write_entry(self):
        """Write the entry if more than `sequence` has changed."""
        cold_ms = max(0, round((self._warm_at - monotonic()) * 1000))
        spec = {
            'service': self.service,
            'address': f'{self.address[0]}:{self.address[1]}',
            'zone': self.zone,
            'version': 'v1',
            'capacity': CAPACITY,
            'state': self.state,
            'warmupLeftMs': cold_ms,
        }
        if spec == self._written:
            return None
        self._written = spec
        return self.store.put('servers', self.name.encode(), dumps({**spec, 'sequence': 1}).encode())

    async def _write_entries(self):
        while True:
            await sleep(HEARTBEAT_S)
            self.write_entry()

    def datagram_received(self, raw, sender):
        """Handle a datagram: eight bytes that name the target, and the packet."""
        number = int.from_bytes(raw[:_NUMBER_BYTES], 'big')
        packet = decode(raw[_NUMBER_BYTES:])
        if number not in {0, self.number} or packet is None or not packet.sum_ok:
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            self._accept(key, flow, packet)
        elif packet.flags & RST:
            self.flows.pop(key, None)
        elif flow is None:
            self._send(key, RST, packet.ack, packet.seq, packet.echo)
        else:
            self._continue(key, flow, packet)

    def _accept(self, key, flow, packet):
        if flow is None:
            flow = TargetFlow(self._random.getrandbits(32), packet.seq + 1, packet.echo)
            self.flows[key] = flow
        if flow.opened_at is None:
            self._send(key, SYN | ACK, flow.isn, flow.expects, packet.echo)

    def _continue(self, key, flow, packet):
        flow.echo = packet.echo
        if flow.opened_at is None and packet.ack == (flow.isn + 1) % (1 << 32):
            flow.opened_at = monotonic()
            self.opened[key] = flow.opened_at
        flow.acked = packet.ack
        if packet.data and packet.seq == flow.expects % (1 << 32):
            flow.expects += len(packet.data)
            self._spawn(self._answer(key, flow, packet.data))
        if packet.flags & FIN:
            self._send(key, ACK | FIN, flow.next_seq, packet.seq + 1, flow.echo)
            self.flows.pop(key, None)

    async def _answer(self, key, flow, request):
        """Run a request, and send its answer until it is acknowledged."""
        request_id = request.split(b'Request-Id: ')[1].split(b'\r\n')[0].decode()
        async with self._slots:
            self.runs.append((monotonic(), request_id))
            await sleep(WORK_S)
        body = b'%s served by %s' % (request_id.encode(), self.name.encode())
        answer = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body) + body
        seq = flow.next_seq
        flow.next_seq += len(answer)
        wait_s = _RETRANSMIT_S
        for _ in range(_MAX_RETRANSMISSIONS):
            self._send(key, ACK, seq, flow.expects, flow.echo, answer)
            await sleep(wait_s)
            wait_s = min(wait_s * 2, _MAX_RETRANSMIT_S)
            if (flow.acked - seq - len(answer)) % (1 << 32) < 1 << 31 or key not in self.flows:
                return

    def _send(self, key, flags, seq, ack, echo, data=b''):
        src, sport, dst, dport = key
        packet = Packet(dst, dport, src, sport, flags, seq, ack, echo, data)
        self._transport.sendto(packet.encode(), (src, self._consumer_port))

    def _spawn(self, work):
        task = create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
