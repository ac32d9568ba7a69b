"""Stand in for upstreams: they take flows, work in slots, and check what reaches them."""

from asyncio import DatagramProtocol, DatagramTransport, get_running_loop
from collections import Counter, deque
from collections.abc import Callable
from math import prod
from random import Random
from time import monotonic
from typing import Any

from bronzekeel.soak.checks import Checks, Promise
from bronzekeel.soak.contact import Contact
from bronzekeel.soak.links import Address, Link, bound_datagrams
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
_QUEUE = 12
_SEQUENCE_BITS = 31
_WORK_S = (0.01, 0.05)

#: Seconds after the store's word that an upstream leaves until which new flows may reach it, and
#: what a machine that is busy may add.  Source: the users' `drainMs`.
_DRAIN_S = 3.0
_SLACK_S = 1.0


def _nothing_closed(host_ip: str) -> set[str]:
    return set()


class Runs:
    """Count what ran anywhere, by request and by attempt; `refused` are attempts that must not."""

    def __init__(self) -> None:
        """Start with nothing."""
        self.by_number: Counter[int] = Counter()
        self.attempts: set[tuple[int, int]] = set()
        self.refused: set[tuple[int, int]] = set()


class _End:
    """Hold an upstream's end of one flow."""

    __slots__ = ('answer', 'arrived', 'expected', 'sequence')

    def __init__(self, expected: int, sequence: int) -> None:
        self.expected = expected
        self.sequence = sequence
        self.arrived = b''
        self.answer: EchoSegment | None = None


class Upstream(DatagramProtocol):
    """Own one upstream at an address.

    `alive` is off after a crash, `grey` when it answers no request, `slow` times its work.
    Each fault that lets it work slower without harming it puts its factor into `slowed_by`.
    `drained_at` is when the store was told that it leaves; `closed_to` tells to which data
    centres a host must send nothing new.
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
        """Answer callers at `callers` directly."""
        self.number = number
        self.service = service
        self.data_centre = data_centre
        self.contact = Contact()
        self.link_by_host: dict[str, Link] = {}
        self.routes: set[Address] = set()
        self.closed_to: Callable[[str], set[str]] = _nothing_closed
        self.alive = True
        self.grey = False
        self.slow: float = 1
        self.slowed_by: list[float] = []
        self.drained_at: float | None = None
        self._callers = callers
        self._checks = checks
        self._runs = runs
        self._random = Random(number)
        self._end_by_flow: dict[tuple[Address, Address], _End] = {}
        self._busy = 0
        self._waiting: deque[tuple[EchoSegment, _End, Request]] = deque()
        self._transport: DatagramTransport | None = None

    @property
    def address(self) -> Address:
        """Where it takes packets."""
        if self._transport is None:
            raise RuntimeError('not open; call `open` first')
        host, port = self._transport.get_extra_info('sockname')[:2]
        return host, port

    @property
    def speed(self) -> float:
        """Work that a slot does in a second, with one for an upstream that nothing slows."""
        return 1 / prod(self.slowed_by)

    async def open(self, address: Address = ('127.0.0.1', 0)) -> None:
        """Bind an address."""
        self._transport = await bound_datagrams(self, address)

    def close(self) -> None:
        """Leave its address to others."""
        self.alive = False
        if self._transport is not None:
            self._transport.close()

    def crash(self) -> None:
        """Forget all flows and answer nothing any more."""
        self.alive = False
        self.contact.begin()
        self._end_by_flow.clear()
        self._waiting.clear()

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        """Take one packet, if it arrives and is meant for this upstream."""
        link = self.link_by_host.get(str(addr[0]))
        if not self.alive or (link is not None and not link.passes(self._random)):
            return
        number, raw = split_number(data)
        if number != self.number:
            return
        segment = read_echo(raw)
        told = f'upstream {self.number} of {self.service} got {segment.source}'
        unchanged = segment.checksum == segment.computed_checksum
        self._checks.check(Promise.UNCHANGED, unchanged, told)
        if segment.flags & SYN:
            self._open(segment, told, str(addr[0]))
            return
        end = self._end_by_flow.get((segment.source, segment.target))
        if end is None:
            self._send(segment, RST, 0)
        elif segment.payload:
            self._take(segment, end)
        elif segment.flags & FIN:
            self._end_by_flow.pop((segment.source, segment.target))

    def _open(self, segment: EchoSegment, told: str, host_ip: str) -> None:
        allowed = segment.target in self.routes
        self._checks.check(Promise.SERVICE, allowed, f'{told} for {segment.target}')
        if self.drained_at is not None:
            late = monotonic() > self.drained_at + _DRAIN_S + _SLACK_S
            self._checks.check(Promise.DRAINED, not late or not self.contact.in_touch, told)
        closed = self.closed_to(host_ip)
        if closed:
            kept_away = self.data_centre not in closed
            self._checks.check(Promise.EVACUATED, kept_away, f'{told} through {host_ip}')
        flow = (segment.source, segment.target)
        end = self._end_by_flow.setdefault(
            flow,
            _End(segment.sequence + 1, self._random.getrandbits(_SEQUENCE_BITS)),
        )
        self._send(segment, SYN | ACK, end.sequence)

    def _take(self, segment: EchoSegment, end: _End) -> None:
        if segment.sequence != end.expected:
            if end.answer is not None and segment.sequence < end.expected:
                self._resend(end.answer)
            return
        end.expected += len(segment.payload)
        end.arrived += segment.payload
        request = read_request(end.arrived)
        if request is None or len(end.arrived) < request.size:
            return
        whole = request.is_whole(end.arrived)
        self._checks.check(Promise.UNCHANGED, whole, f'request {request.number} changed')
        end.arrived = b''
        end.answer = None
        if self._busy < SLOTS:
            self._begin(segment, end, request)
        elif len(self._waiting) < _QUEUE:
            self._waiting.append((segment, end, request))
        else:
            self._reply(segment, end, Answer(request.number, self.number, ran=False))

    def _begin(self, segment: EchoSegment, end: _End, request: Request) -> None:
        self._busy += 1
        self._runs.by_number[request.number] += 1
        attempt = (request.number, request.attempt)
        self._runs.attempts.add(attempt)
        if attempt in self._runs.refused:
            told = f'request {request.number} ran after it was refused'
            self._checks.check(Promise.NOT_RUN, False, told)  # noqa: FBT003 (it ran)
        if not request.idempotent:
            once = self._runs.by_number[request.number] == 1
            self._checks.check(Promise.AT_MOST_ONCE, once, f'request {request.number} ran again')
        work_s = self._random.uniform(*_WORK_S) * self.slow / self.speed
        get_running_loop().call_later(work_s, self._finish, segment, end, request)

    def _finish(self, segment: EchoSegment, end: _End, request: Request) -> None:
        self._busy -= 1
        if self._waiting and self.alive:
            self._begin(*self._waiting.popleft())
        if self.alive and not self.grey:
            self._reply(segment, end, Answer(request.number, self.number, ran=True))

    def _reply(self, segment: EchoSegment, end: _End, answer: Answer) -> None:
        payload = answer.encode()
        end.answer = self._send(segment, ACK, end.sequence + 1, payload)
        end.sequence += len(payload)

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
