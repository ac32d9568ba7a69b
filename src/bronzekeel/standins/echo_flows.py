"""Stand-ins for callers and upstreams whose flows carry a connection id."""

from asyncio import DatagramProtocol, DatagramTransport, get_running_loop
from dataclasses import dataclass, field
from random import Random
from typing import Any

from bronzekeel.standins.echo_packets import (
    ACK,
    RST,
    SYN,
    EchoSegment,
    build_echo,
    read_echo,
    split_number,
)


_Address = tuple[str, int]
_LOOPBACK = '127.0.0.1'


async def _bind(protocol: DatagramProtocol) -> DatagramTransport:
    transport, _ = await get_running_loop().create_datagram_endpoint(
        lambda: protocol,
        local_addr=(_LOOPBACK, 0),
    )
    return transport


@dataclass(slots=True)
class EchoFlow:
    """Hold one flow as its caller sees it; `reset` is set when an upstream has reset it."""

    port: int
    echo: int = 0
    opened: bool = False
    reset: bool = False
    answered: int = 0
    sent: int = 0


@dataclass(slots=True)
class EchoCallers(DatagramProtocol):
    """Send packets of flows to one address, each through a random balancer.

    Upstreams answer callers directly (direct server return).  A caller echoes the connection id
    of the last answer in its own packets.
    """

    service: _Address
    random: Random
    balancers: dict[str, _Address] = field(default_factory=dict)
    flow_by_port: dict[int, EchoFlow] = field(default_factory=dict)
    transport: DatagramTransport | None = None

    async def open(self) -> int:
        """Bind the port at which all callers receive answers, and return it."""
        self.transport = await _bind(self)
        port: int = self.transport.get_extra_info('sockname')[1]
        return port

    def close(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()

    def add_flow(self) -> EchoFlow:
        """Create a flow and return it."""
        flow = EchoFlow(1024 + len(self.flow_by_port))
        self.flow_by_port[flow.port] = flow
        return flow

    def step(self, flow: EchoFlow) -> None:
        """Send the next packet of a flow: its opening packet until that is answered, then data."""
        if flow.reset or not self.balancers or self.transport is None:
            return
        flow.sent += 1
        segment = EchoSegment(
            (_LOOPBACK, flow.port),
            self.service,
            ACK if flow.opened else SYN,
            flow.echo,
            sequence=flow.sent,
            acknowledged=flow.answered if flow.opened else 0,
            payload=b'packet' if flow.opened else b'',
        )
        names = sorted(self.balancers)
        address = self.balancers[self.random.choice(names)]
        self.transport.sendto(build_echo(segment), address)

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        """Handle an answer or a reset."""
        segment = read_echo(data)
        flow = self.flow_by_port.get(segment.target[1])
        if flow is None:
            return
        if segment.flags & RST:
            flow.reset = True
            return
        flow.echo = segment.echo
        if segment.flags & SYN:
            flow.opened = True
            return
        flow.answered += 1


@dataclass(slots=True, eq=False)
class EchoUpstream(DatagramProtocol):
    """Receive packets addressed to its number, and answer callers directly.

    It resets flows that it did not open, and counts packets for other upstreams.
    """

    number: int
    callers: _Address
    flows: set[_Address] = field(default_factory=set)
    opened: int = 0
    misdelivered: int = 0
    transport: DatagramTransport | None = None

    @property
    def address(self) -> _Address:
        """Address at which it receives packets.  Raises RuntimeError if it is not open."""
        if self.transport is None:
            raise RuntimeError('not open; call `open` first')
        host, port = self.transport.get_extra_info('sockname')[:2]
        return host, port

    async def open(self) -> None:
        """Bind a socket."""
        self.transport = await _bind(self)

    def close(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        """Handle one packet."""
        number, raw = split_number(data)
        if number != self.number:
            self.misdelivered += 1
            return
        segment = read_echo(raw)
        if segment.flags & SYN:
            self.opened += segment.source not in self.flows
            self.flows.add(segment.source)
            self._answer(segment, SYN | ACK)
        elif segment.source in self.flows:
            self._answer(segment, ACK)
        else:
            self._answer(segment, RST)

    def _answer(self, segment: EchoSegment, flags: int) -> None:
        if self.transport is None:
            return
        answer = EchoSegment(segment.target, segment.source, flags, segment.echo)
        self.transport.sendto(build_echo(answer), self.callers)
