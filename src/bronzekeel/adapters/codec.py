"""Decode the packets that the fabric and peers send: IP in UDP.

The UDP payload is a whole IPv4 packet.  Between balancers a header of four bytes precedes it: a
mark that no IPv4 packet starts with, a version, the number of hand-offs so far, and zero.  Packets
without IP options, the common case, are decoded at fixed offsets, because this is the hot path,
where every microsecond counts.
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

#: Fields of a packet without IP options: version and header length, total length,
#: fragment bits, protocol, addresses and ports as one string, TCP data offset, flags.
_unpack_common_packet = Struct('!BxH2xHxB2x12s8xBB').unpack_from

#: Largest inner packet; a larger one does not fit into a datagram with the hand-off header.
MAX_PACKET_BYTES = 65000


def hand_off_header(hops: int) -> bytes:
    """Return the header for a packet that is handed off to another balancer."""
    return bytes((_HAND_OFF_MARK, _VERSION, hops, 0))


def read_packet(raw: bytes, hops: int = 0) -> Packet | DropReason:
    """Return the packet in a datagram, or the reason to drop it."""
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
    """Decode a packet that another balancer handed off."""
    if raw[1] != _VERSION or raw[_HEADER_BYTES] == _HAND_OFF_MARK:
        return DropReason.MALFORMED
    return read_packet(raw[_HEADER_BYTES:], raw[2])


def _read_uncommon(raw: bytes, hops: int) -> Packet | DropReason:
    """Decode a packet with IP options, or return the reason to drop it."""
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
    """Return the packet whose TCP header starts at byte `start`."""
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
