"""Stand in for callers: long feeds and single requests, over flows that the fabric sprays."""

from asyncio import DatagramProtocol, DatagramTransport, Queue, wait_for
from collections import Counter
from contextlib import suppress
from enum import Enum
from random import Random
from time import monotonic
from typing import Any

from bronzekeel.soak.checks import Checks, Promise
from bronzekeel.soak.fabric import Fabric
from bronzekeel.soak.links import Address, bound_datagrams
from bronzekeel.soak.requests import Request, read_answer
from bronzekeel.soak.upstreams import Runs, Upstream
from bronzekeel.standins.echo_packets import (
    ACK,
    FIN,
    RST,
    SYN,
    EchoSegment,
    build_echo,
    read_echo,
)


_LOOPBACK = '127.0.0.1'
_FIRST_PORT = 1024
_PORTS = 64_000
_SEQUENCE_BITS = 31
_MOST_PAYLOAD = 1200

#: Waits in seconds after an opening packet and its two copies, and after a request and its repeats.
_OPENING_WAITS_S = (0.2, 0.4, 0.8)
_ANSWER_WAITS_S = (0.2, 0.4, 0.8, 1.6)
_ATTEMPTS = 3


class Outcome(Enum):
    """Name what came of an attempt."""

    ANSWERED = 'answered'
    TURNED_AWAY = 'turned away'
    REFUSED = 'refused'
    BROKEN = 'broken'
    SILENT = 'silent'


class Flow:
    """Hold one flow as its caller has it."""

    __slots__ = (
        'acknowledged',
        'data_centre',
        'echo',
        'inbox',
        'opened_at',
        'port',
        'sequence',
        'target',
        'upstream',
        'used_at',
    )

    def __init__(self, port: int, target: Address, data_centre: str, sequence: int) -> None:
        """Start with a flow that is not open."""
        self.port = port
        self.target = target
        self.data_centre = data_centre
        self.sequence = sequence
        self.acknowledged = 0
        self.echo = 0
        self.opened_at: float | None = None
        self.used_at: float = 0
        self.upstream: Upstream | None = None
        self.inbox: Queue[tuple[EchoSegment, Address]] = Queue()


class Callers(DatagramProtocol):
    """Own the socket at which all callers take packets, and send requests."""

    def __init__(
        self,
        fabric: Fabric,
        upstreams: dict[int, Upstream],
        checks: Checks,
        runs: Runs,
        random: Random,
    ) -> None:
        """Send through `fabric`; `upstreams` by number tell who lives."""
        self.outcomes: Counter[Outcome] = Counter()
        self.flows = 0
        self.dropped_routes: set[Address] = set()
        self._fabric = fabric
        self._upstreams = upstreams
        self._checks = checks
        self._runs = runs
        self._random = random
        self._flow_by_port: dict[int, Flow] = {}
        self._requests = 0
        self._served: list[tuple[float, bool]] = []
        self._transport: DatagramTransport | None = None

    async def open(self, port: int) -> None:
        """Bind the port that the platform sends callers' packets to."""
        self._transport = await bound_datagrams(self, (_LOOPBACK, port))

    def close(self) -> None:
        """Free the socket."""
        if self._transport is not None:
            self._transport.close()

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        """Give a packet to its flow."""
        segment = read_echo(data)
        flow = self._flow_by_port.get(segment.target[1])
        if flow is not None:
            flow.inbox.put_nowait((segment, (str(addr[0]), int(addr[1]))))

    def new_flow(self, target: Address, data_centre: str) -> Flow:
        """Return a flow from a port of its own."""
        self.flows += 1
        port = _FIRST_PORT + self.flows % _PORTS
        flow = Flow(port, target, data_centre, self._random.getrandbits(_SEQUENCE_BITS))
        self._flow_by_port[port] = flow
        return flow

    async def request(
        self,
        target: Address,
        data_centre: str,
        size: int,
        flow: Flow | None = None,
        *,
        idempotent: bool,
    ) -> Flow | None:
        """Send a request, on an open flow at first if there is one; return the flow that answered.

        Further tries use new flows.  A request that is not idempotent is tried again only
        if its flow never opened or it was turned away.
        """
        self._requests += 1
        number = self._requests
        begun_at = monotonic()
        for attempt in range(_ATTEMPTS):
            used = flow or self.new_flow(target, data_centre)
            flow = None
            request = Request(number, attempt, size, idempotent=idempotent)
            outcome = await self._try(used, request)
            self.outcomes[outcome] += 1
            if outcome is Outcome.ANSWERED:
                self._served.append((begun_at, True))
                return used
            self.end(used)
            unsure = outcome in {Outcome.BROKEN, Outcome.SILENT} and used.opened_at is not None
            if unsure and not idempotent:
                break
        self._served.append((begun_at, False))
        return None

    def served_share(self, window_s: tuple[float, float]) -> float:
        """Return the share served of the requests that began so many seconds ago, from and to."""
        now = monotonic()
        begins, ends = now - window_s[0], now - window_s[1]
        served = [was for begun_at, was in self._served if begins <= begun_at < ends]
        return sum(served) / len(served) if served else 0

    def end(self, flow: Flow) -> None:
        """Close a flow."""
        if flow.opened_at is not None:
            self._send(flow, ACK | FIN, b'')
        self._flow_by_port.pop(flow.port, None)

    async def try_open(self, flow: Flow, first_host_only: Address | None = None) -> Outcome:
        """Send the opening packet and its copies; return whether the flow opened."""
        for copy, wait_s in enumerate(_OPENING_WAITS_S):
            self._send(flow, SYN, b'', copy, first_host_only)
            found = await self._next(flow, wait_s)
            if found is None:
                continue
            segment, sender = found
            if segment.flags & RST:
                return Outcome.REFUSED
            flow.upstream = self._upstream_at(sender)
            flow.opened_at = monotonic()
            flow.used_at = flow.opened_at
            flow.sequence += 1
            flow.echo = segment.echo
            flow.acknowledged = segment.sequence + 1
            return Outcome.ANSWERED
        return Outcome.SILENT

    async def _try(self, flow: Flow, request: Request) -> Outcome:
        if flow.opened_at is None:
            outcome = await self.try_open(flow)
            if outcome is Outcome.REFUSED:
                ran = (request.number, request.attempt) in self._runs.attempts
                self._checks.check(Promise.NOT_RUN, not ran, f'request {request.number}')
            if outcome is not Outcome.ANSWERED:
                return outcome
        return await self._ask(flow, request)

    async def _ask(self, flow: Flow, request: Request) -> Outcome:
        raw = request.encode()
        pieces = [raw[at : at + _MOST_PAYLOAD] for at in range(0, len(raw), _MOST_PAYLOAD)]
        for wait_s in _ANSWER_WAITS_S:
            sent = flow.sequence
            for piece in pieces:
                self._send(flow, ACK, piece)
                flow.sequence += len(piece)
            found = await self._next(flow, wait_s)
            if found is not None:
                return self._take(flow, request, *found)
            flow.sequence = sent
        return Outcome.SILENT

    def _take(
        self,
        flow: Flow,
        request: Request,
        segment: EchoSegment,
        sender: Address,
    ) -> Outcome:
        if segment.flags & RST:
            self._check_reset(flow, sender)
            return Outcome.BROKEN
        answer = read_answer(segment.payload)
        own = answer is not None and answer.number == request.number
        self._checks.check(Promise.ANSWERED_WHOLE, own, f'request {request.number}')
        if answer is None:
            return Outcome.BROKEN
        self._checks.check(Promise.FLOW_KEPT, True, '')  # noqa: FBT003 (it was answered)
        flow.acknowledged = segment.sequence + len(segment.payload)
        flow.used_at = monotonic()
        self._send(flow, ACK, b'')
        return Outcome.ANSWERED if answer.ran else Outcome.TURNED_AWAY

    def _check_reset(self, flow: Flow, sender: Address) -> None:
        """Check a reset on an open flow that its upstream did not send: that must not live."""
        upstream = flow.upstream
        if upstream is None or sender == upstream.address:
            return
        calm = self._fabric.is_calm(sender) and upstream.contact.in_touch
        undisturbed = upstream.alive and calm
        dropped = flow.target in self.dropped_routes
        told = f'flow {flow.port} to {flow.target} at upstream {upstream.number} by {sender}'
        self._checks.check(Promise.FLOW_KEPT, dropped or not undisturbed, told)

    def _upstream_at(self, address: Address) -> Upstream | None:
        for upstream in self._upstreams.values():
            if upstream.alive and upstream.address == address:
                return upstream
        return None

    async def _next(self, flow: Flow, wait_s: float) -> tuple[EchoSegment, Address] | None:
        """Return the next packet that is no repeat of the flow's opening answer."""
        with suppress(TimeoutError):
            while True:
                found = await wait_for(flow.inbox.get(), wait_s)
                if flow.opened_at is None or not _is_repeat(flow, found[0]):
                    return found
        return None

    def _send(
        self,
        flow: Flow,
        flags: int,
        payload: bytes,
        copy: int = 0,
        host: Address | None = None,
    ) -> None:
        segment = EchoSegment(
            (_LOOPBACK, flow.port),
            flow.target,
            flags,
            flow.echo,
            sequence=flow.sequence,
            acknowledged=copy if flags & SYN else flow.acknowledged,
            payload=payload,
        )
        segment.checksum = segment.reckoned_checksum
        key = f'{flow.port}>{flow.target}'.encode()
        chosen = self._fabric.choose(key, flow.data_centre)
        if self._transport is None or (host is None and not self._fabric.passes(chosen)):
            return
        self._transport.sendto(build_echo(segment), host or chosen.packets)


def _is_repeat(flow: Flow, segment: EchoSegment) -> bool:
    """Whether a packet repeats what the flow's caller has: an opening or an earlier answer."""
    if segment.flags & SYN:
        return True
    return bool(segment.payload) and segment.sequence < flow.acknowledged
