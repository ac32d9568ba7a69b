"""Simulate upstreams: they accept flows, work in slots, and check the packets that they receive."""

from asyncio import DatagramProtocol, DatagramTransport, get_running_loop
from collections import Counter, deque
from collections.abc import Callable
from math import prod
from random import Random
from time import monotonic
from typing import Any

from bronzekeel.soak.checks import Checks, Promise
from bronzekeel.soak.disturbances import Disturbances
from bronzekeel.soak.links import Address, Link, bind_datagrams
from bronzekeel.soak.requests import Answer, Request, read_request
from bronzekeel.standins.echo_packets import (
    ACK,
    FIN,
    RST,
    SYN,
    EchoSegment,
    build_echo,
    read_echo,
    split_number,
)


SLOTS = 3
_MAX_QUEUED = 12
_SEQUENCE_BITS = 31
_WORK_S = (0.01, 0.05)

#: Seconds after an upstream is marked as draining until which new flows may reach it, the users'
#: `drainMs`, and slack for a busy machine.
_DRAIN_S = 3.0
_SLACK_S = 1.0


def _none_evacuated(host_ip: str) -> set[str]:
    return set()


class Runs:
    """Count executions by request and attempt; `refused` holds attempts that must not run."""

    def __init__(self) -> None:
        """Start without any executions."""
        self.by_number: Counter[int] = Counter()
        self.attempts: set[tuple[int, int]] = set()
        self.refused: set[tuple[int, int]] = set()


class _FlowState:
    """State of one flow at the upstream's end."""

    __slots__ = ('answer', 'arrived', 'expected', 'sequence')

    def __init__(self, expected: int, sequence: int) -> None:
        self.expected = expected
        self.sequence = sequence
        self.arrived = b''
        self.answer: EchoSegment | None = None


class Upstream(DatagramProtocol):
    """Simulate one upstream at an address.

    `alive` is cleared by a crash; while `grey` is set, it answers no request; `slowdown` multiplies
    its work time. A fault that slows it down without disturbing its flows appends its factor to
    `harmless_slowdowns`. `drained_at` is the time at which the store listed it as draining.
    `evacuated_for` returns the data centres to which a host must send no new flows.
    """

    def __init__(
        self,
        number: int,
        service: str,
        data_centre: str,
        callers: Address,
        checks: Checks,
        runs: Runs,
    ) -> None:
        """Send answers directly to `callers`, without a balancer."""
        self.number = number
        self.service = service
        self.data_centre = data_centre
        self.disturbances = Disturbances()
        self.link_by_host: dict[str, Link] = {}
        self.routes: set[Address] = set()
        self.evacuated_for: Callable[[str], set[str]] = _none_evacuated
        self.alive = True
        self.grey = False
        self.slowdown: float = 1
        self.harmless_slowdowns: list[float] = []
        self.drained_at: float | None = None
        self._callers = callers
        self._checks = checks
        self._runs = runs
        self._random = Random(number)
        self._state_by_flow: dict[tuple[Address, Address], _FlowState] = {}
        self._busy = 0
        self._queue: deque[tuple[EchoSegment, _FlowState, Request]] = deque()
        self._transport: DatagramTransport | None = None

    @property
    def address(self) -> Address:
        """Address on which it receives packets."""
        if self._transport is None:
            raise RuntimeError('not open; call `open` first')
        host, port = self._transport.get_extra_info('sockname')[:2]
        return host, port

    @property
    def speed(self) -> float:
        """Work of a slot per second, where 1 is the speed without harmless slowdowns."""
        return 1 / prod(self.harmless_slowdowns)

    async def open(self, address: Address = ('127.0.0.1', 0)) -> None:
        """Bind an address."""
        self._transport = await bind_datagrams(self, address)

    def close(self) -> None:
        """Release the address."""
        self.alive = False
        if self._transport is not None:
            self._transport.close()

    def crash(self) -> None:
        """Discard all flows and stop answering."""
        self.alive = False
        self.disturbances.begin()
        self._state_by_flow.clear()
        self._queue.clear()

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        """Handle a packet unless the link drops it or it is addressed to another upstream."""
        link = self.link_by_host.get(str(addr[0]))
        if not self.alive or (link is not None and not link.passes(self._random)):
            return
        number, raw = split_number(data)
        if number != self.number:
            return
        segment = read_echo(raw)
        description = (
            f'upstream {self.number} of {self.service} received a packet of {segment.source}'
        )
        unchanged = segment.checksum == segment.computed_checksum
        self._checks.check(Promise.UNCHANGED, unchanged, description)
        if segment.flags & SYN:
            self._open_flow(segment, description, str(addr[0]))
            return
        state = self._state_by_flow.get((segment.source, segment.target))
        if state is None:
            self._send(segment, RST, 0)
        elif segment.payload:
            self._handle_payload(segment, state)
        elif segment.flags & FIN:
            self._state_by_flow.pop((segment.source, segment.target))

    def _open_flow(self, segment: EchoSegment, description: str, host_ip: str) -> None:
        is_known = segment.target in self.routes
        self._checks.check(Promise.SERVICE, is_known, f'{description} for {segment.target}')
        if self.drained_at is not None:
            is_late = monotonic() > self.drained_at + _DRAIN_S + _SLACK_S
            self._checks.check(
                Promise.DRAINED, not is_late or not self.disturbances.is_stable, description
            )
        evacuated = self.evacuated_for(host_ip)
        if evacuated:
            is_allowed = self.data_centre not in evacuated
            self._checks.check(Promise.EVACUATED, is_allowed, f'{description} through {host_ip}')
        flow = (segment.source, segment.target)
        state = self._state_by_flow.setdefault(
            flow,
            _FlowState(segment.sequence + 1, self._random.getrandbits(_SEQUENCE_BITS)),
        )
        self._send(segment, SYN | ACK, state.sequence)

    def _handle_payload(self, segment: EchoSegment, state: _FlowState) -> None:
        if segment.sequence != state.expected:
            if state.answer is not None and segment.sequence < state.expected:
                self._resend(state.answer)
            return
        state.expected += len(segment.payload)
        state.arrived += segment.payload
        request = read_request(state.arrived)
        if request is None or len(state.arrived) < request.size:
            return
        is_whole = request.is_intact(state.arrived)
        self._checks.check(Promise.UNCHANGED, is_whole, f'request {request.number} changed')
        state.arrived = b''
        state.answer = None
        if self._busy < SLOTS:
            self._start_work(segment, state, request)
        elif len(self._queue) < _MAX_QUEUED:
            self._queue.append((segment, state, request))
        else:
            self._reply(segment, state, Answer(request.number, self.number, ran=False))

    def _start_work(self, segment: EchoSegment, state: _FlowState, request: Request) -> None:
        self._busy += 1
        self._runs.by_number[request.number] += 1
        attempt = (request.number, request.attempt)
        self._runs.attempts.add(attempt)
        if attempt in self._runs.refused:
            description = f'request {request.number} ran after it was refused'
            self._checks.check(Promise.NOT_RUN, False, description)  # noqa: FBT003 (it ran)
        if not request.idempotent:
            is_first = self._runs.by_number[request.number] == 1
            self._checks.check(
                Promise.AT_MOST_ONCE, is_first, f'request {request.number} ran again'
            )
        work_s = self._random.uniform(*_WORK_S) * self.slowdown / self.speed
        get_running_loop().call_later(work_s, self._finish_work, segment, state, request)

    def _finish_work(self, segment: EchoSegment, state: _FlowState, request: Request) -> None:
        self._busy -= 1
        if self._queue and self.alive:
            self._start_work(*self._queue.popleft())
        if self.alive and not self.grey:
            self._reply(segment, state, Answer(request.number, self.number, ran=True))

    def _reply(self, segment: EchoSegment, state: _FlowState, answer: Answer) -> None:
        payload = answer.encode()
        state.answer = self._send(segment, ACK, state.sequence + 1, payload)
        state.sequence += len(payload)

    def _send(
        self,
        segment: EchoSegment,
        flags: int,
        sequence: int,
        payload: bytes = b'',
    ) -> EchoSegment:
        reply = EchoSegment(
            segment.target,
            segment.source,
            flags,
            segment.echo,
            sequence=sequence,
            acknowledged=segment.sequence + len(segment.payload),
            payload=payload,
        )
        reply.checksum = reply.computed_checksum
        self._resend(reply)
        return reply

    def _resend(self, reply: EchoSegment) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(build_echo(reply), self._callers)
