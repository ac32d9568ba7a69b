"""Define what the daemon needs of the platform that it runs on.

An implementation translates names, formats and calls, and decides nothing.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping
from types import MappingProxyType

from bronzekeel.core.routing.effects import ReadPage, WatchChanges
from bronzekeel.core.routing.events import Event
from bronzekeel.core.routing.model import FlowPacket, Upstream


Address = tuple[str, int]
Datagram = tuple[bytes, Address]

#: Headers of an answer that has none.
NO_HEADERS: Mapping[str, str] = MappingProxyType({})


#: Payload length, what names flow and id, flags, sequence, acknowledgement.
Positions = tuple[int, bytes, int, int, int]


class PacketFormat(ABC):
    """Read and write datagrams.

    Most packets are ordinary: their head is `head_bytes` long and has
    `ordinary_flags`; ``positions`` reads it in one call, and ``read`` is for
    all others.
    """

    head_bytes: int
    ordinary_flags: int
    positions: Callable[[bytes], Positions]

    @abstractmethod
    def read(self, raw: bytes) -> FlowPacket | str:
        """Return the packet of a caller's datagram, or the kind of its fault."""

    @abstractmethod
    def prefix(self, upstream: Upstream) -> bytes:
        """Return what stands before every packet for an upstream."""

    @abstractmethod
    def delivery(self, packet: FlowPacket, upstream: Upstream, connection_id: int) -> Datagram:
        """Return the datagram that brings a packet to an upstream.

        A `connection_id` other than zero is written into the packet.
        """

    @abstractmethod
    def reset(self, packet: FlowPacket) -> Datagram:
        """Return the datagram that resets the packet's flow at its caller."""


class StoreFormat(ABC):
    """Spell the calls to the platform's object store and read their answers."""

    @abstractmethod
    def page_target(self, effect: ReadPage) -> str:
        """Return the HTTP target that reads a page."""

    @abstractmethod
    def watch_target(self, effect: WatchChanges) -> str:
        """Return the HTTP target that waits for changes."""

    @abstractmethod
    def read_page(
        self,
        collection: str,
        status: int,
        body: bytes,
        header_by_name: Mapping[str, str] = NO_HEADERS,
    ) -> Event:
        """Return what the answer to a page tells; names of headers are in lower case."""

    @abstractmethod
    def read_changes(
        self,
        collection: str,
        status: int,
        body: bytes,
        header_by_name: Mapping[str, str] = NO_HEADERS,
    ) -> Event:
        """Return what the answer to a watch tells; names of headers are in lower case."""
