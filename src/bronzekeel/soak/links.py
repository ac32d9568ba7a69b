"""Proxy datagrams and streams between processes, with delay, loss or a complete block."""

from asyncio import (
    Server,
    DatagramProtocol,
    DatagramTransport,
    StreamReader,
    StreamWriter,
    create_task,
    gather,
    get_running_loop,
    open_connection,
    sleep,
    start_server,
)
from contextlib import suppress
from dataclasses import dataclass
from random import Random
from typing import Any


Address = tuple[str, int]

_CHUNK = 65536
_ADDRESSES_PER_OCTET = 250


def loopback(net: str, number: int) -> str:
    """Return the address number `number` of those that begin with the two octets of `net`."""
    third, fourth = divmod(number, _ADDRESSES_PER_OCTET)
    return '.'.join((net, str(third), str(fourth + 1)))


@dataclass(slots=True)
class Link:
    """Impairments of one direction of a link; `silent` drops everything."""

    silent: bool = False
    lost_share: float = 0
    delay_s: float = 0

    def passes(self, random: Random) -> bool:
        """Whether a datagram gets through."""
        return not self.silent and random.random() >= self.lost_share


async def bind_datagrams(protocol: DatagramProtocol, address: Address) -> DatagramTransport:
    """Bind a datagram socket that is served by `protocol`."""
    bound = await get_running_loop().create_datagram_endpoint(lambda: protocol, local_addr=address)
    return bound[0]


class DatagramProxy(DatagramProtocol):
    """Forward datagrams to one target; the source address selects the link."""

    def __init__(self, target: Address, random: Random) -> None:
        """Forward to `target`."""
        self.target = target
        self.link_by_source: dict[Address, Link] = {}
        self.inbound = Link()
        self._random = random
        self._transport: DatagramTransport | None = None

    async def open(self, address: Address) -> None:
        """Bind `address`."""
        self._transport = await bind_datagrams(self, address)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        """Forward a datagram, or drop it."""
        outbound = self.link_by_source.get(addr[:2], _UNIMPAIRED)
        if not self.inbound.passes(self._random) or not outbound.passes(self._random):
            return
        delay_s = self.inbound.delay_s + outbound.delay_s
        if delay_s:
            get_running_loop().call_later(delay_s, self._forward, data)
            return
        self._forward(data)

    def _forward(self, raw: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(raw, self.target)


class StreamProxy:
    """Forward connections to one target.

    While `refusing` is set, new connections are reset; `reset` ends those that are open. While
    `link` is silent, open connections stay open and carry no data.
    """

    def __init__(self, target: Address) -> None:
        """Forward to `target`."""
        self.target = target
        self.link = Link()
        self.refusing = False
        self._server: Server | None = None
        self._writers: set[StreamWriter] = set()

    async def open(self, address: Address) -> None:
        """Bind `address`."""
        self._server = await start_server(self._serve, *address)

    @property
    def port(self) -> int:
        """Port that the proxy is bound to."""
        if self._server is None:
            raise RuntimeError('not open; call `open` first')
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    def close(self) -> None:
        """Abort all connections and close the socket."""
        self.reset()
        if self._server is not None:
            self._server.close()

    def reset(self) -> None:
        """Abort all open connections."""
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        if self.refusing:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        ends = {writer, target_writer}
        self._writers |= ends
        directions = (self._forward(reader, target_writer), self._forward(target_reader, writer))
        with suppress(OSError):
            await gather(*(create_task(direction) for direction in directions))
        self._writers -= ends
        for end in ends:
            end.transport.abort()

    async def _forward(self, reader: StreamReader, writer: StreamWriter) -> None:
        """Copy one direction until it ends; data read while the link is silent is dropped."""
        while chunk := await reader.read(_CHUNK):
            if self.link.delay_s:
                await sleep(self.link.delay_s)
            if self.link.silent:
                continue
            writer.write(chunk)
            await writer.drain()
        writer.transport.abort()


_UNIMPAIRED = Link()
