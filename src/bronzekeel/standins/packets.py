"""Encode and decode the inner packets that stand-ins exchange: TCP over IPv4."""

from socket import inet_aton, inet_ntoa
from struct import Struct
from typing import NamedTuple


SYN = 2
ACK = 0x10

_IP = Struct('!BBHHHBBH4s4s')
_TCP = Struct('!HHIIBBHHH')
_HEADERS = _IP.size + _TCP.size
_TTL = 64
_TCP_PROTOCOL = 6
_DATA_OFFSET = 0x50
_VERSION_AND_LENGTH = 0x45


class Segment(NamedTuple):
    """Hold the fields of a packet that the stand-ins use."""

    source: str
    source_port: int
    target: str
    target_port: int
    flags: int
    content: bytes


def build(segment: Segment) -> bytes:
    """Encode a segment as a packet; checksums are zero, since no stand-in verifies them."""
    length = _HEADERS + len(segment.content)
    ip_header = _IP.pack(
        _VERSION_AND_LENGTH,
        0,
        length,
        0,
        0,
        _TTL,
        _TCP_PROTOCOL,
        0,
        inet_aton(segment.source),
        inet_aton(segment.target),
    )
    tcp_header = _TCP.pack(
        segment.source_port,
        segment.target_port,
        0,
        0,
        _DATA_OFFSET,
        segment.flags,
        0,
        0,
        0,
    )
    return ip_header + tcp_header + segment.content


def read_segment(raw: bytes) -> Segment:
    """Decode a packet that `build` encoded."""
    ip_fields = _IP.unpack_from(raw)
    tcp_fields = _TCP.unpack_from(raw, _IP.size)
    return Segment(
        inet_ntoa(ip_fields[8]),
        tcp_fields[0],
        inet_ntoa(ip_fields[9]),
        tcp_fields[1],
        tcp_fields[5],
        raw[_HEADERS:],
    )
