"""Simulate callers: long-lived feeds and single requests on flows that the fabric distributes."""

from asyncio import DatagramProtocol, DatagramTransport, Queue, wait_for
from collections import Counter
from contextlib import suppress
from enum import Enum
from random import Random
from time import monotonic
from typing import Any

from bronzekeel.soak.checks import Checks, Promise
from bronzekeel.soak.fabric import Fabric
from bronzekeel.soak.links import Address, bind_datagrams, loopback
from bronzekeel.soak.requests import Request, read_answer
from bronzekeel.soak.share_counts import Caller, ShareCounts
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
_MAX_PAYLOAD_BYTES = 1200

#: Timeouts in seconds of the opening packet and its two retransmissions, and of a request and its
#: retransmissions.
_OPENING_WAITS_S = (0.2, 0.4, 0.8)
_ANSWER_WAITS_S = (0.2, 0.4, 0.8, 1.6)
_MAX_ATTEMPTS = 3


class Outcome(Enum):
    """Result of one attempt at a request."""

    ANSWERED = 'answered'
    TURNED_AWAY = 'turned away'
    REFUSED = 'refused'
    BROKEN = 'broken'
    SILENT = 'silent'


class Flow:
    """State of one flow at the caller's end."""

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
        """Create a flow that is not open yet."""
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
    """Own the sockets on which callers receive packets, and send requests.

    `share_counts`, if set, counts the requests of each caller of `all` while one of them causes a
    surge. Probes are sent from an address of their own.
    """

    def __init__(
        self,
        fabric: Fabric,
        upstreams: dict[int, Upstream],
        checks: Checks,
        runs: Runs,
        random: Random,
    ) -> None:
        """Send through `fabric`; `upstreams`, by number, identifies the live upstreams."""
        self.outcomes: Counter[Outcome] = Counter()
        self.flows = 0
        self.dropped_routes: set[Address] = set()
        self.probe_caller = Caller(_LOOPBACK, '')
        self.all: list[Caller] = []
        self.share_counts: ShareCounts | None = None
        self._fabric = fabric
        self._upstreams = upstreams
        self._checks = checks
        self._runs = runs
        self._random = random
        self._flow_by_port: dict[int, Flow] = {}
        self._requests = 0
        self._completed: list[tuple[float, bool]] = []
        self._port = 0
        self._transports: list[DatagramTransport] = []

    async def open(self, port: int) -> None:
        """Bind the port to which the platform sends packets for callers."""
        self._port = port
        await self._bind(_LOOPBACK)

    async def add(self, data_centre: str) -> Caller:
        """Add a caller with its own address."""
        caller = Caller(loopback(_CALLERS_NET, len(self._transports)), data_centre)
        await self._bind(caller.address)
        self.all.append(caller)
        return caller

    def discard_shares(self) -> None:
        """Discard the current share counts, because callers are moving between data centres."""
        if self.share_counts is not None:
            self.share_counts.discarded = True

    def close(self) -> None:
        """Close the sockets."""
        for transport in self._transports:
            transport.close()

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        """Queue a packet for the flow that it belongs to."""
        segment = read_echo(data)
        flow = self._flow_by_port.get(segment.target[1])
        if flow is not None:
            flow.inbox.put_nowait((segment, (str(addr[0]), int(addr[1]))))

    def new_flow(self, target: Address, caller: Caller) -> Flow:
        """Return a new flow with its own port."""
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
        """Send a request, first on an open flow if one is given; return the flow that answered.

        Retries use new flows. A request that is not idempotent is retried only if its flow never
        opened or the request was turned away.
        """
        share_counts = self._counts_for(target)
        data_centre = caller.data_centre
        if share_counts is not None:
            share_counts.count_request(data_centre, caller.address)
        found = await self._request_with_retries(target, caller, size, flow, idempotent=idempotent)
        if found is not None and share_counts is not None and share_counts is self.share_counts:
            share_counts.count_served(data_centre, caller.address)
        return found

    def served_share(self, window_s: tuple[float, float]) -> float:
        """Return the served share of requests that began in a window, in seconds before now."""
        now = monotonic()
        begins, ends = now - window_s[0], now - window_s[1]
        served = [is_served for begun_at, is_served in self._completed if begins <= begun_at < ends]
        return sum(served) / len(served) if served else 0

    def end(self, flow: Flow) -> None:
        """Close a flow."""
        if flow.opened_at is not None:
            self._send(flow, ACK | FIN, b'')
        self._flow_by_port.pop(flow.port, None)

    async def try_open(self, flow: Flow, first_host_only: Address | None = None) -> Outcome:
        """Send the opening packet and its retransmissions; return whether the flow opened."""
        for copy, wait_s in enumerate(_OPENING_WAITS_S):
            self._send(flow, SYN, b'', copy, first_host_only)
            found = await self._next_packet(flow, wait_s)
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

    async def _request_with_retries(
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
        for attempt in range(_MAX_ATTEMPTS):
            used_flow = flow or self.new_flow(target, caller)
            flow = None
            request = Request(number, attempt, size, idempotent=idempotent)
            outcome = await self._try_once(used_flow, request)
            self.outcomes[outcome] += 1
            if outcome is Outcome.ANSWERED:
                self._completed.append((begun_at, True))
                return used_flow
            self.end(used_flow)
            may_have_run = (
                outcome in {Outcome.BROKEN, Outcome.SILENT} and used_flow.opened_at is not None
            )
            if may_have_run and not idempotent:
                break
        self._completed.append((begun_at, False))
        return None

    def _counts_for(self, target: Address) -> ShareCounts | None:
        """Return the counts that currently include requests to a target, if any."""
        is_counted = self.share_counts is not None and target in self.share_counts.targets
        return self.share_counts if is_counted else None

    async def _bind(self, address: str) -> None:
        self._transports.append(await bind_datagrams(self, (address, self._port)))

    async def _try_once(self, flow: Flow, request: Request) -> Outcome:
        if flow.opened_at is None:
            outcome = await self.try_open(flow)
            if outcome is Outcome.REFUSED:
                self._check_not_executed(request)
            if outcome is not Outcome.ANSWERED:
                return outcome
        return await self._exchange(flow, request)

    async def _exchange(self, flow: Flow, request: Request) -> Outcome:
        raw = request.encode()
        segments = [
            raw[at : at + _MAX_PAYLOAD_BYTES] for at in range(0, len(raw), _MAX_PAYLOAD_BYTES)
        ]
        for wait_s in _ANSWER_WAITS_S:
            first_sequence = flow.sequence
            for part in segments:
                self._send(flow, ACK, part)
                flow.sequence += len(part)
            found = await self._next_packet(flow, wait_s)
            if found is not None:
                return self._handle_answer(flow, request, *found)
            flow.sequence = first_sequence
        return Outcome.SILENT

    def _handle_answer(
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
        matches = answer is not None and answer.number == request.number
        self._checks.check(Promise.ANSWERED_WHOLE, matches, f'request {request.number}')
        if answer is None:
            return Outcome.BROKEN
        self._checks.check(_flow_promise(flow), True, '')  # noqa: FBT003 (it was answered)
        flow.acknowledged = segment.sequence + len(segment.payload)
        flow.used_at = monotonic()
        self._send(flow, ACK, b'')
        return Outcome.ANSWERED if answer.ran else Outcome.TURNED_AWAY

    def _check_reset(self, flow: Flow, request: Request, sender: Address) -> None:
        """Check a reset of an open flow that another sender than its upstream sent.

        This breaks a promise if the upstream is live, the route was not dropped, and nothing
        disturbed the upstream or the host that sent the reset.
        """
        upstream = flow.upstream
        if upstream is None or sender == upstream.address:
            return
        stable = self._fabric.is_undisturbed(sender) and upstream.disturbances.is_stable
        undisturbed = upstream.alive and stable
        is_dropped = flow.target in self.dropped_routes
        description = (
            f'flow {flow.port} to {flow.target} at upstream {upstream.number} reset by {sender}'
        )
        self._checks.check(_flow_promise(flow), is_dropped or not undisturbed, description)
        if undisturbed:
            self._check_not_executed(request)

    def _check_not_executed(self, request: Request) -> None:
        """Check that a refused request has not run, and record it to detect a later run."""
        self._runs.refused.add((request.number, request.attempt))
        has_run = (request.number, request.attempt) in self._runs.attempts
        self._checks.check(Promise.NOT_RUN, not has_run, f'request {request.number}')

    def _upstream_at(self, address: Address) -> Upstream | None:
        for upstream in self._upstreams.values():
            if upstream.alive and upstream.address == address:
                return upstream
        return None

    async def _next_packet(self, flow: Flow, wait_s: float) -> tuple[EchoSegment, Address] | None:
        """Return the next packet that is no duplicate, or None if there is none in `wait_s`."""
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


def _flow_promise(flow: Flow) -> Promise:
    """Return the promise that applies to an established flow."""
    slow = flow.upstream is not None and flow.upstream.speed < 1
    return Promise.SLOW_KEPT if slow else Promise.FLOW_KEPT


def _is_repeat(flow: Flow, segment: EchoSegment) -> bool:
    """Whether a packet is a duplicate of one already received: the opening or an earlier answer."""
    if segment.flags & SYN:
        return True
    return bool(segment.payload) and segment.sequence < flow.acknowledged
