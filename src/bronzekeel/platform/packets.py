"""Read and write the platform's packets.

A datagram from a caller is a header and up to 1,200 bytes of payload.  The order and widths of the
header fields are specified by the users' platform and are the same in all deployments.
"""

from socket import inet_ntoa
from struct import Struct

from bronzekeel.core.routing.model import FlowPacket, Upstream
from bronzekeel.entry.ports import Datagram, PacketFormat


#: len, sum, dst, sport, dport, src, echo, flags, seq, ack; all big-endian.
_HEADER = Struct('>HI4sHH4sIBII')

#: len; dst, sport, dport, src and echo as one byte string; flags, seq, ack.
_POSITIONS = Struct('>H4x16sBII')
_MAX_PAYLOAD_BYTES = 1200

#: Offsets of fields that are read or written as bytes.
_ECHO = slice(18, 22)
_TARGET_ADDRESS = slice(6, 10)
_SOURCE_PORT = slice(10, 12)
_TARGET_PORT = slice(12, 14)
_SOURCE_ADDRESS = slice(14, 18)

_SYN = 1
_ACK = 128
_FIN = 32
_RST = 64

_UPSTREAM_NUMBER_BYTES = 8
_ECHO_BYTES = 4


class PlatformPackets(PacketFormat):
    """Parse datagrams from callers; build datagrams to upstreams and to callers."""

    head_bytes = _HEADER.size
    ordinary_flags = _ACK
    positions = _POSITIONS.unpack_from

    def __init__(self, caller_port: int) -> None:
        """Send to callers at `caller_port`, on which all of them receive packets."""
        self._caller_port = caller_port

    def read(self, raw: bytes) -> FlowPacket | str:
        """Return the packet of a caller's datagram, or the reason why it is malformed."""
        if len(raw) < _HEADER.size:
            return 'truncated'
        length, _, _, _, _, _, echo, flags, sequence, acknowledged = _HEADER.unpack_from(raw)
        if length > _MAX_PAYLOAD_BYTES or len(raw) != _HEADER.size + length:
            return 'wrong_length'
        if flags & _SYN and flags & (_ACK | _FIN | _RST):
            return 'not_from_caller'
        route = raw[_TARGET_ADDRESS] + raw[_TARGET_PORT]
        return FlowPacket(
            raw[_SOURCE_ADDRESS] + raw[_SOURCE_PORT] + route,
            route,
            echo,
            sequence,
            acknowledged,
            length,
            raw,
            opens=bool(flags & _SYN),
            closes=bool(flags & _FIN),
            # In an opening packet the acknowledgement field counts retransmissions.
            copy=acknowledged if flags & _SYN else 0,
        )

    def prefix(self, upstream: Upstream) -> bytes:
        """Return the number of the addressed upstream, which precedes each packet to it."""
        return upstream.entry.number.to_bytes(_UPSTREAM_NUMBER_BYTES, 'big')

    def delivery(self, packet: FlowPacket, upstream: Upstream, connection_id: int) -> Datagram:
        """Return the datagram that delivers a packet: the upstream's number, then the packet.

        A `connection_id` other than zero replaces the echo field.
        """
        raw = packet.raw
        if connection_id:
            echo = connection_id.to_bytes(_ECHO_BYTES, 'big')
            raw = raw[: _ECHO.start] + echo + raw[_ECHO.stop :]
        return self.prefix(upstream) + raw, upstream.entry.address

    def reset(self, packet: FlowPacket) -> Datagram:
        """Return a reset from the route's address to the caller, within the caller's window."""
        raw = packet.raw
        header = _HEADER.pack(
            0,
            0,
            raw[_SOURCE_ADDRESS],
            int.from_bytes(raw[_TARGET_PORT], 'big'),
            int.from_bytes(raw[_SOURCE_PORT], 'big'),
            raw[_TARGET_ADDRESS],
            0,
            _RST,
            packet.acknowledged,
            0,
        )
        return header, (inet_ntoa(raw[_SOURCE_ADDRESS]), self._caller_port)
