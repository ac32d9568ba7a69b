"""Stand-in for the fabric and the clients of flow services."""

from asyncio import DatagramProtocol, DatagramTransport, get_running_loop
from dataclasses import dataclass, field
from random import Random
from typing import Any

from bronzekeel.standins.packets import ACK, SYN, Segment, build, read_segment


_Address = tuple[str, int]
_SYN_RETRY_STEPS = 4
_OCTET = 256
_FIRST_PORT = 1024


@dataclass(slots=True)
class ClientFlow:
    """Hold one flow as its client sees it.

    `reset` is set when an upstream does not know the flow, which is then broken.
    """

    number: int
    service: _Address
    port: int
    source: str
    established: bool = False
    reset: bool = False
    sent: int = 0
    answered: int = 0
    waited: int = 0


@dataclass(slots=True)
class FabricStandIn(DatagramProtocol):
    """Spray every packet of every flow over the balancers at random."""

    random: Random
    balancers: dict[str, _Address] = field(default_factory=dict)
    flow_by_key: dict[tuple[str, int], ClientFlow] = field(default_factory=dict)
    sprayed: int = 0
    transport: DatagramTransport | None = None

    async def open(self) -> _Address:
        """Bind a socket and return its address, to which upstreams send answers."""
        transport, _ = await get_running_loop().create_datagram_endpoint(
            lambda: self,
            local_addr=('127.0.0.1', 0),
        )
        self.transport = transport
        return transport.get_extra_info('sockname')[:2]

    def close(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()

    def add_flow(self, service: _Address, number: int) -> ClientFlow:
        """Create a flow and return it; its source address and port derive from `number`."""
        rest, last = divmod(number, _OCTET)
        page, third = divmod(rest, _OCTET)
        flow = ClientFlow(number, service, _FIRST_PORT + page, f'127.1.{third}.{last}')
        self.flow_by_key[flow.source, flow.port] = flow
        return flow

    def step(self, flow: ClientFlow) -> None:
        """Send the next packet of a flow: its SYN until that is answered, then data."""
        if flow.reset:
            return
        if flow.established:
            flow.sent += 1
            self._spray(flow, ACK, b'packet')
            return
        if flow.waited % _SYN_RETRY_STEPS == 0:
            self._spray(flow, SYN, b'')
        flow.waited += 1

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        """Handle an answer that an upstream sent directly."""
        segment = read_segment(data)
        flow = self.flow_by_key.get((segment.target, segment.target_port))
        if flow is None:
            return
        if segment.content == b'reset':
            flow.reset = True
        elif segment.flags & SYN:
            flow.established = True
        else:
            flow.answered += 1

    def _spray(self, flow: ClientFlow, flags: int, content: bytes) -> None:
        if not self.balancers or self.transport is None:
            return
        self.sprayed += 1
        address = self.random.choice(list(self.balancers.values()))
        raw = build(Segment(flow.source, flow.port, *flow.service, flags, content))
        self.transport.sendto(raw, address)
