"""Stand-in of consumers: they open flows through the fabric and send requests on them."""

from asyncio import DatagramProtocol, Event, TimeoutError, get_running_loop, wait_for
from random import Random
from time import monotonic

from standins.wire import ACK, FIN, RESET_WINDOW, RST, SYN, Packet, decode


#: When copies of an opening packet are sent, and when the attempt ends, in seconds.
_COPIES_S = (0.2, 0.6, 1.4)
_RETRANSMIT_S = 0.2
_MAX_RETRANSMIT_S = 1.6


class Flow:
    """A consumer's end of one flow.

    `reset_by` is 'system' or 'target' once a reset was accepted; `hosts` are the balancers that the
    fabric gave its packets, with the times.
    """

    __slots__ = (
        '_caller', 'ack', 'answers', 'echo', 'hosts', 'key', 'opened_at', 'reset_at', 'reset_by', 'seq', 'woken',
    )

    def __init__(self, caller, key, isn):
        self._caller = caller
        self.key = key
        self.seq = isn
        self.ack = 0
        self.echo = 0
        self.opened_at = None
        self.reset_by = None
        self.reset_at = None
        self.answers = b''
        self.hosts = []
        self.woken = Event()

    async def open(self):
        """Open the flow; return whether that succeeded."""
        begin = monotonic()
        isn = self.seq
        for copy, next_at in enumerate(_COPIES_S):
            self._send(SYN, isn, copy)
            if await self._wait(lambda: self.opened_at or self.reset_by, begin + next_at):
                break
        return self.opened_at is not None and self.reset_by is None

    async def request(self, request_id, within_s):
        """Send a request and return its answer; None if there was none in time or a reset."""
        text = f'GET / HTTP/1.1\r\nHost: x\r\nRequest-Id: {request_id}\r\n\r\n'.encode()
        give_up_at = monotonic() + within_s
        self.answers = b''
        wait_s = _RETRANSMIT_S
        seq = self.seq
        self.seq += len(text)
        while monotonic() < give_up_at and not self.reset_by:
            self._send(ACK, seq, self.ack, text)
            if await self._wait(lambda: self.answers or self.reset_by, min(monotonic() + wait_s, give_up_at)):
                break
            wait_s = min(wait_s * 2, _MAX_RETRANSMIT_S)
        return self.answers or None

    def close(self):
        """Send a FIN."""
        self._send(ACK | FIN, self.seq, self.ack)

    def receive(self, packet):
        """Handle a packet of this flow."""
        if packet.flags & RST:
            self._note_reset(packet)
            return
        if not packet.sum_ok:
            return
        if packet.flags & SYN:
            if self.opened_at is None:
                self.echo = packet.echo
                self.seq += 1
                self.ack = packet.seq + 1
                self.opened_at = monotonic()
                self._send(ACK, self.seq, self.ack)
            self.woken.set()
            return
        self.echo = packet.echo
        if packet.data:
            if packet.seq == self.ack % (1 << 32):
                self.ack += len(packet.data)
                self.answers += packet.data
            self._send(ACK, self.seq, self.ack)
        self.woken.set()

    def _note_reset(self, packet):
        """Accept a reset: any while the flow isn't open, else one near the last acknowledgement."""
        distance = (packet.seq - self.ack) % (1 << 32)
        near = min(distance, (1 << 32) - distance) <= RESET_WINDOW
        if self.opened_at is not None and not near:
            return
        if self.reset_by is None:
            self.reset_by = 'target' if packet.sum_ok else 'system'
            self.reset_at = monotonic()
        self.woken.set()

    def _send(self, flags, seq, ack, data=b''):
        src, sport, dst, dport = self.key
        self._caller.send(self, Packet(src, sport, dst, dport, flags, seq, ack, self.echo, data))

    async def _wait(self, condition, until):
        while not condition():
            left_s = until - monotonic()
            if left_s <= 0:
                return False
            self.woken.clear()
            try:
                await wait_for(self.woken.wait(), left_s)
            except TimeoutError:
                continue
        return True


class Consumer(DatagramProtocol):
    """A consumer machine in a zone with one address and many flows."""

    def __init__(self, fabric, zone, address):
        self.fabric = fabric
        self.zone = zone
        self.address = address
        self.flows = {}
        self._random = Random(address[0])
        self._next_port = 40_000
        self._transport = None

    async def start(self):
        """Bind the address."""
        loop = get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=self.address)

    def flow_to(self, route):
        """Return a new flow from a new port to the address and port of a route."""
        self._next_port += 1
        key = (self.address[0], self._next_port, *route)
        flow = Flow(self, key, self._random.getrandbits(31))
        self.flows[key] = flow
        return flow

    def send(self, flow, packet):
        """Send a packet to the balancer that the fabric chooses."""
        host = self.fabric.host_for(self.zone, flow.key)
        if host is None:
            return
        flow.hosts.append((monotonic(), host.name))
        self._transport.sendto(packet.encode(), host.packets)

    def datagram_received(self, raw, sender):
        """Hand a packet to its flow."""
        packet = decode(raw)
        if packet is None:
            return
        flow = self.flows.get((packet.dst, packet.dport, packet.src, packet.sport))
        if flow is not None:
            flow.receive(packet)

    def close(self):
        """Release the address."""
        self._transport.close()
