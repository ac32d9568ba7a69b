"""Interfaces between the daemon and the platform that it runs on.

Implementations translate names, formats and calls; they make no decisions.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping
from types import MappingProxyType

from bronzekeel.core.routing.effects import ReadPage, WatchChanges
from bronzekeel.core.routing.events import Event
from bronzekeel.core.routing.model import FlowPacket, Upstream


Address = tuple[str, int]
Datagram = tuple[bytes, Address]

#: Headers of a response without headers.
NO_HEADERS: Mapping[str, str] = MappingProxyType({})


#: Payload length, key of the flow and connection id, flags, sequence, acknowledgement.
Positions = tuple[int, bytes, int, int, int]


class PacketFormat(ABC):
    """Parser and serialiser for datagrams.

    Most packets are ordinary: they have a head of `head_bytes` with `ordinary_flags`, which
    ``positions`` parses in one call.  All other packets are parsed by ``read``.
    """

    head_bytes: int
    ordinary_flags: int
    positions: Callable[[bytes], Positions]

    @abstractmethod
    def read(self, raw: bytes) -> FlowPacket | str:
        """Return the packet in a datagram of a caller, or the kind of error if it is malformed."""

    @abstractmethod
    def prefix(self, upstream: Upstream) -> bytes:
        """Return the bytes that precede each packet to an upstream."""

    @abstractmethod
    def delivery(self, packet: FlowPacket, upstream: Upstream, connection_id: int) -> Datagram:
        """Return the datagram that delivers a packet to an upstream.

        A non-zero `connection_id` is written into the packet.
        """

    @abstractmethod
    def reset(self, packet: FlowPacket) -> Datagram:
        """Return the datagram that resets the flow of a packet at its caller."""


class StoreFormat(ABC):
    """Format of calls to the platform's object store and of its responses."""

    @abstractmethod
    def page_target(self, effect: ReadPage) -> str:
        """Return the HTTP target that reads a page."""

    @abstractmethod
    def watch_target(self, effect: WatchChanges) -> str:
        """Return the HTTP target that waits for changes (a watch)."""

    @abstractmethod
    def read_page(
        self,
        collection: str,
        status: int,
        body: bytes,
        header_by_name: Mapping[str, str] = NO_HEADERS,
    ) -> Event:
        """Return the event for the response to a page; header names are in lower case."""

    @abstractmethod
    def read_changes(
        self,
        collection: str,
        status: int,
        body: bytes,
        header_by_name: Mapping[str, str] = NO_HEADERS,
    ) -> Event:
        """Return the event for the response to a watch; header names are in lower case."""
