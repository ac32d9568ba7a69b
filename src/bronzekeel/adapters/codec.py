"""Read the packets that the fabric and peers send: IP in UDP.

Outer UDP payloads are whole IPv4 packets.  Between balancers four bytes go
before them: a mark that no IP packet starts with, a version, the hand-offs so
far, and zero.  The common packet, without IP options, has a path of its own with
fixed places, since every microsecond counts there.
"""

from struct import Struct

from bronzekeel.core.events import Packet
from bronzekeel.core.hashing import flow_hash
from bronzekeel.core.steering.packets import DropReason


_MARK = 0xB7
_VERSION = 1
_HEADER_BYTES = 4
_IPV4 = 4
_WORD = 4
_LEAST_IP = 20
_LEAST_TCP = 20
_TCP = 6
_LENGTH_BITS = 15
_SOURCE_AT = 12
_TARGET_AT = 16
_FRAGMENT_BITS = 0x3FFF
_SYN_ACK_BITS = 0x12
_SYN = 2
_FIN_RST_BITS = 5
_LEAST_BYTES = _LEAST_IP + _LEAST_TCP
_PLAIN_IP = 0x45
_PLAIN_TCP = 0x50
_FLAGS_AT = 13
_DATA_OFFSET_AT = 12

#: Of a packet without IP options: version and length, total length, fragment
#: bits, protocol, addresses and ports in one piece, TCP data offset, flags.
_PLAIN = Struct('!BxH2xHxB2x12s8xBB').unpack_from

#: Largest inner packet; more would not fit a datagram with its header.
MOST_BYTES = 65000


def hand_header(hops: int) -> bytes:
    """Return the header of a packet that is handed to another balancer."""
    return bytes((_MARK, _VERSION, hops, 0))


def read_packet(raw: bytes, hops: int = 0) -> Packet | DropReason:
    """Return the packet in a datagram, or why it is dropped."""
    if len(raw) < _LEAST_BYTES:
        return DropReason.MALFORMED
    first, length, fragment, protocol, ends, data_offset, flags = _PLAIN(raw)
    if first == _PLAIN_IP and protocol == _TCP and not fragment & _FRAGMENT_BITS:
        if length == len(raw) and length <= MOST_BYTES and data_offset >= _PLAIN_TCP:
            return Packet(
                ends[4:8] + ends[10:],
                flow_hash(ends),
                flags & _SYN_ACK_BITS == _SYN,
                flags & _FIN_RST_BITS != 0,
                raw,
                hops,
            )
    return _read_handed(raw) if raw[0] == _MARK else _read_unusual(raw, hops)


def _read_handed(raw: bytes) -> Packet | DropReason:
    """Read a packet that another balancer handed over."""
    if raw[1] != _VERSION or raw[_HEADER_BYTES] == _MARK:
        return DropReason.MALFORMED
    return read_packet(raw[_HEADER_BYTES:], raw[2])


def _read_unusual(raw: bytes, hops: int) -> Packet | DropReason:
    """Read a packet with IP options, or tell why it is none of ours."""
    if len(raw) > MOST_BYTES:
        return DropReason.TOO_BIG
    if raw[0] >> 4 != _IPV4:
        return DropReason.PROTOCOL
    start = (raw[0] & _LENGTH_BITS) * _WORD
    if start < _LEAST_IP or raw[2] << 8 | raw[3] != len(raw):
        return DropReason.MALFORMED
    if (raw[6] << 8 | raw[7]) & _FRAGMENT_BITS:
        return DropReason.FRAGMENT
    if raw[9] != _TCP:
        return DropReason.PROTOCOL
    if len(raw) < start + _LEAST_TCP or raw[start + _DATA_OFFSET_AT] < _PLAIN_TCP:
        return DropReason.MALFORMED
    return _with_options(raw, start, hops)


def _with_options(raw: bytes, start: int, hops: int) -> Packet:
    """Read a packet whose TCP header begins at `start`."""
    flags = raw[start + _FLAGS_AT]
    target_port = raw[start + 2 : start + _WORD]
    return Packet(
        raw[_TARGET_AT:_LEAST_IP] + target_port,
        flow_hash(raw[_SOURCE_AT:_LEAST_IP] + raw[start : start + _WORD]),
        flags & _SYN_ACK_BITS == _SYN,
        flags & _FIN_RST_BITS != 0,
        raw,
        hops,
    )
