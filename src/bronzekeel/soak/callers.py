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
from bronzekeel.soak.links import Address, bound_datagrams, loopback
from bronzekeel.soak.requests import Request, read_answer
from bronzekeel.soak.shares import Caller, Shares
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
_CALLERS_NET = '127.7'
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
        'caller',
        'echo',
        'inbox',
        'opened_at',
        'port',
        'sequence',
        'target',
        'upstream',
        'used_at',
    )

    def __init__(self, port: int, target: Address, caller: Caller, sequence: int) -> None:
        """Start with a flow that is not open."""
        self.port = port
        self.target = target
        self.caller = caller
        self.sequence = sequence
        self.acknowledged = 0
        self.echo = 0
        self.opened_at: float | None = None
        self.used_at: float = 0
        self.upstream: Upstream | None = None
        self.inbox: Queue[tuple[EchoSegment, Address]] = Queue()


class Callers(DatagramProtocol):
    """Own the sockets at which callers take packets, and send requests.

    `shares` count what each of `all` asks for while one of them is a crowd.  Probes come from an
    address of their own.
    """

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
        self.probe = Caller(_LOOPBACK, '')
        self.all: list[Caller] = []
        self.shares: Shares | None = None
        self._fabric = fabric
        self._upstreams = upstreams
        self._checks = checks
        self._runs = runs
        self._random = random
        self._flow_by_port: dict[int, Flow] = {}
        self._requests = 0
        self._served: list[tuple[float, bool]] = []
        self._port = 0
        self._transports: list[DatagramTransport] = []

    async def open(self, port: int) -> None:
        """Bind the port that the platform sends callers' packets to."""
        self._port = port
        await self._bind(_LOOPBACK)

    async def add(self, data_centre: str) -> Caller:
        """Add a caller with an address of its own."""
        caller = Caller(loopback(_CALLERS_NET, len(self._transports)), data_centre)
        await self._bind(caller.address)
        self.all.append(caller)
        return caller

    def void_shares(self) -> None:
        """Let the shares that are counted now judge nothing: callers move meanwhile."""
        if self.shares is not None:
            self.shares.void = True

    def close(self) -> None:
        """Free the sockets."""
        for transport in self._transports:
            transport.close()

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        """Give a packet to its flow."""
        segment = read_echo(data)
        flow = self._flow_by_port.get(segment.target[1])
        if flow is not None:
            flow.inbox.put_nowait((segment, (str(addr[0]), int(addr[1]))))

    def new_flow(self, target: Address, caller: Caller) -> Flow:
        """Return a flow from a port of its own."""
        self.flows += 1
        port = _FIRST_PORT + self.flows % _PORTS
        flow = Flow(port, target, caller, self._random.getrandbits(_SEQUENCE_BITS))
        self._flow_by_port[port] = flow
        return flow

    async def request(
        self,
        target: Address,
        caller: Caller,
        size: int,
        flow: Flow | None = None,
        *,
        idempotent: bool,
    ) -> Flow | None:
        """Send a request, on an open flow at first if there is one; return the flow that answered.

        Further tries use new flows.  A request that is not idempotent is tried again only
        if its flow never opened or it was turned away.
        """
        shares = self._shares_of(target)
        data_centre = caller.data_centre
        if shares is not None:
            shares.note_asked(data_centre, caller.address)
        found = await self._until_answered(target, caller, size, flow, idempotent=idempotent)
        if found is not None and shares is not None and shares is self.shares:
            shares.note_served(data_centre, caller.address)
        return found

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

    async def _until_answered(
        self,
        target: Address,
        caller: Caller,
        size: int,
        flow: Flow | None,
        *,
        idempotent: bool,
    ) -> Flow | None:
        self._requests += 1
        number = self._requests
        begun_at = monotonic()
        for attempt in range(_ATTEMPTS):
            used = flow or self.new_flow(target, caller)
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

    def _shares_of(self, target: Address) -> Shares | None:
        """Return the shares that count requests to a target now."""
        counted = self.shares is not None and target in self.shares.targets
        return self.shares if counted else None

    async def _bind(self, address: str) -> None:
        self._transports.append(await bound_datagrams(self, (address, self._port)))

    async def _try(self, flow: Flow, request: Request) -> Outcome:
        if flow.opened_at is None:
            outcome = await self.try_open(flow)
            if outcome is Outcome.REFUSED:
                self._check_not_run(request)
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
            self._check_reset(flow, request, sender)
            return Outcome.BROKEN
        answer = read_answer(segment.payload)
        own = answer is not None and answer.number == request.number
        self._checks.check(Promise.ANSWERED_WHOLE, own, f'request {request.number}')
        if answer is None:
            return Outcome.BROKEN
        self._checks.check(_kept(flow), True, '')  # noqa: FBT003 (it was answered)
        flow.acknowledged = segment.sequence + len(segment.payload)
        flow.used_at = monotonic()
        self._send(flow, ACK, b'')
        return Outcome.ANSWERED if answer.ran else Outcome.TURNED_AWAY

    def _check_reset(self, flow: Flow, request: Request, sender: Address) -> None:
        """Check a reset on an open flow that its upstream did not send: that must not live."""
        upstream = flow.upstream
        if upstream is None or sender == upstream.address:
            return
        calm = self._fabric.is_calm(sender) and upstream.contact.in_touch
        undisturbed = upstream.alive and calm
        dropped = flow.target in self.dropped_routes
        told = f'flow {flow.port} to {flow.target} at upstream {upstream.number} by {sender}'
        self._checks.check(_kept(flow), dropped or not undisturbed, told)
        if undisturbed:
            self._check_not_run(request)

    def _check_not_run(self, request: Request) -> None:
        """Check that a request that a host refused did not run, and does not run later."""
        self._runs.refused.add((request.number, request.attempt))
        ran = (request.number, request.attempt) in self._runs.attempts
        self._checks.check(Promise.NOT_RUN, not ran, f'request {request.number}')

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
            (flow.caller.address, flow.port),
            flow.target,
            flags,
            flow.echo,
            sequence=flow.sequence,
            acknowledged=copy if flags & SYN else flow.acknowledged,
            payload=payload,
        )
        segment.checksum = segment.computed_checksum
        key = f'{flow.port}>{flow.target}'.encode()
        chosen = self._fabric.choose(key, flow.caller.data_centre)
        if not self._transports or (host is None and not self._fabric.passes(chosen)):
            return
        self._transports[0].sendto(build_echo(segment), host or chosen.packets)


def _kept(flow: Flow) -> Promise:
    """Return what holds for an established flow."""
    slow = flow.upstream is not None and flow.upstream.speed < 1
    return Promise.SLOW_KEPT if slow else Promise.FLOW_KEPT


def _is_repeat(flow: Flow, segment: EchoSegment) -> bool:
    """Whether a packet repeats what the flow's caller has: an opening or an earlier answer."""
    if segment.flags & SYN:
        return True
    return bool(segment.payload) and segment.sequence < flow.acknowledged
