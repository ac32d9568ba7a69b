"""Encode and decode packets of flows whose endpoints echo a connection id."""

from socket import inet_aton, inet_ntoa
from struct import Struct
from zlib import crc32


SYN = 1
ACK = 128
FIN = 32
RST = 64

#: Payload length, checksum, target, source port, target port, source, echo, flags, sequence
#: number, acknowledgement number.
_HEADER = Struct('>HI4sHH4sIBII')
_PREFIX_BYTES = 8

_Address = tuple[str, int]


class EchoSegment:
    """Hold one packet between the two endpoints of a flow."""

    __slots__ = (
        'acknowledged',
        'checksum',
        'echo',
        'flags',
        'payload',
        'sequence',
        'source',
        'target',
    )

    def __init__(
        self,
        source: _Address,
        target: _Address,
        flags: int,
        echo: int = 0,
        *,
        sequence: int = 0,
        acknowledged: int = 0,
        payload: bytes = b'',
    ) -> None:
        """Create a packet with an unset checksum."""
        self.source = source
        self.target = target
        self.flags = flags
        self.echo = echo
        self.sequence = sequence
        self.acknowledged = acknowledged
        self.payload = payload
        self.checksum = 0

    @property
    def computed_checksum(self) -> int:
        """Checksum of the fields and the payload; the echo is not included."""
        fields = (self.source, self.target, self.flags, self.sequence, self.acknowledged)
        return crc32(repr(fields).encode() + self.payload) or 1


def build_echo(segment: EchoSegment) -> bytes:
    """Encode a packet."""
    header = _HEADER.pack(
        len(segment.payload),
        segment.checksum,
        inet_aton(segment.target[0]),
        segment.source[1],
        segment.target[1],
        inet_aton(segment.source[0]),
        segment.echo,
        segment.flags,
        segment.sequence,
        segment.acknowledged,
    )
    return header + segment.payload


def read_echo(raw: bytes) -> EchoSegment:
    """Decode a packet that `build_echo` encoded."""
    fields = _HEADER.unpack_from(raw)
    segment = EchoSegment(
        (inet_ntoa(fields[5]), fields[3]),
        (inet_ntoa(fields[2]), fields[4]),
        fields[7],
        fields[6],
        sequence=fields[8],
        acknowledged=fields[9],
        payload=raw[_HEADER.size :],
    )
    segment.checksum = fields[1]
    return segment


def split_number(raw: bytes) -> tuple[int, bytes]:
    """Split a datagram into the number of its upstream and the packet."""
    return int.from_bytes(raw[:_PREFIX_BYTES], 'big'), raw[_PREFIX_BYTES:]
