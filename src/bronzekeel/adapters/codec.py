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


_HAND_OFF_MARK = 0xB7
_VERSION = 1
_HEADER_BYTES = 4
_IPV4 = 4
_WORD_BYTES = 4
_MIN_IP_BYTES = 20
_MIN_TCP_BYTES = 20
_TCP = 6
_HEADER_LENGTH_MASK = 15
_SOURCE_OFFSET = 12
_DESTINATION_OFFSET = 16
_FRAGMENT_MASK = 0x3FFF
_SYN_ACK_MASK = 0x12
_SYN = 2
_FIN_RST_MASK = 5
_MIN_PACKET_BYTES = _MIN_IP_BYTES + _MIN_TCP_BYTES
_IP_WITHOUT_OPTIONS = 0x45
_MIN_DATA_OFFSET = 0x50
_FLAGS_OFFSET = 13
_DATA_OFFSET_POSITION = 12

#: Of a packet without IP options: version and length, total length, fragment
#: bits, protocol, addresses and ports in one piece, TCP data offset, flags.
_unpack_common_packet = Struct('!BxH2xHxB2x12s8xBB').unpack_from

#: Largest inner packet; more would not fit a datagram with its header.
MAX_PACKET_BYTES = 65000


def hand_off_header(hops: int) -> bytes:
    """Return the header of a packet that is handed to another balancer."""
    return bytes((_HAND_OFF_MARK, _VERSION, hops, 0))


def read_packet(raw: bytes, hops: int = 0) -> Packet | DropReason:
    """Return the packet in a datagram, or why it is dropped."""
    if len(raw) < _MIN_PACKET_BYTES:
        return DropReason.MALFORMED
    first, length, fragment, protocol, addresses_and_ports, data_offset, flags = (
        _unpack_common_packet(raw)
    )
    if first == _IP_WITHOUT_OPTIONS and protocol == _TCP and not fragment & _FRAGMENT_MASK:
        if length == len(raw) and length <= MAX_PACKET_BYTES and data_offset >= _MIN_DATA_OFFSET:
            return Packet(
                addresses_and_ports[4:8] + addresses_and_ports[10:],
                flow_hash(addresses_and_ports),
                flags & _SYN_ACK_MASK == _SYN,
                flags & _FIN_RST_MASK != 0,
                raw,
                hops,
            )
    return _read_handed_off(raw) if raw[0] == _HAND_OFF_MARK else _read_uncommon(raw, hops)


def _read_handed_off(raw: bytes) -> Packet | DropReason:
    """Read a packet that another balancer handed over."""
    if raw[1] != _VERSION or raw[_HEADER_BYTES] == _HAND_OFF_MARK:
        return DropReason.MALFORMED
    return read_packet(raw[_HEADER_BYTES:], raw[2])


def _read_uncommon(raw: bytes, hops: int) -> Packet | DropReason:
    """Read a packet with IP options, or tell why it is none of ours."""
    if len(raw) > MAX_PACKET_BYTES:
        return DropReason.TOO_BIG
    if raw[0] >> 4 != _IPV4:
        return DropReason.PROTOCOL
    start = (raw[0] & _HEADER_LENGTH_MASK) * _WORD_BYTES
    if start < _MIN_IP_BYTES or raw[2] << 8 | raw[3] != len(raw):
        return DropReason.MALFORMED
    if (raw[6] << 8 | raw[7]) & _FRAGMENT_MASK:
        return DropReason.FRAGMENT
    if raw[9] != _TCP:
        return DropReason.PROTOCOL
    if len(raw) < start + _MIN_TCP_BYTES or raw[start + _DATA_OFFSET_POSITION] < _MIN_DATA_OFFSET:
        return DropReason.MALFORMED
    return _packet_with_options(raw, start, hops)


def _packet_with_options(raw: bytes, start: int, hops: int) -> Packet:
    """Read a packet whose TCP header begins at `start`."""
    flags = raw[start + _FLAGS_OFFSET]
    destination_port = raw[start + 2 : start + _WORD_BYTES]
    return Packet(
        raw[_DESTINATION_OFFSET:_MIN_IP_BYTES] + destination_port,
        flow_hash(raw[_SOURCE_OFFSET:_MIN_IP_BYTES] + raw[start : start + _WORD_BYTES]),
        flags & _SYN_ACK_MASK == _SYN,
        flags & _FIN_RST_MASK != 0,
        raw,
        hops,
    )
