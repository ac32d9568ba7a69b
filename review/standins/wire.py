"""Packets as the users' pages lay them out: a head of 31 bytes, then up to 1,200 bytes of data."""

from socket import inet_aton, inet_ntoa
from struct import Struct
from zlib import crc32


SYN = 1
ACK = 128
FIN = 32
RST = 64

MAX_DATA_BYTES = 1200
RESET_WINDOW = 76_800
SEQUENCE_RANGE = 1 << 32

#: len, sum, dst, sport, dport, src, echo, flags, seq, ack.
_HEAD = Struct('>HI4sHH4sIBII')
_KEY = b'known to consumers and targets only'


class Packet:
    """One packet; `sum_ok` tells whether an end of the flow wrote it as it is."""

    __slots__ = ('ack', 'data', 'dport', 'dst', 'echo', 'flags', 'seq', 'sport', 'src', 'sum', 'sum_ok')

    def __init__(self, src, sport, dst, dport, flags, seq=0, ack=0, echo=0, data=b''):
        self.src = src
        self.sport = sport
        self.dst = dst
        self.dport = dport
        self.flags = flags
        self.seq = seq % SEQUENCE_RANGE
        self.ack = ack % SEQUENCE_RANGE
        self.echo = echo
        self.data = data
        self.sum = 0
        self.sum_ok = False

    def encode(self):
        """Return the bytes, with the sum that only the ends of a flow can compute."""
        return _HEAD.pack(
            len(self.data), self._sum(), inet_aton(self.dst), self.sport, self.dport,
            inet_aton(self.src), self.echo, self.flags, self.seq, self.ack,
        ) + self.data

    def _sum(self):
        """Return the keyed sum over all fields but `echo`."""
        fields = _HEAD.pack(
            len(self.data), 0, inet_aton(self.dst), self.sport, self.dport,
            inet_aton(self.src), 0, self.flags, self.seq, self.ack,
        )
        return crc32(_KEY + fields + self.data)


def decode(raw):
    """Return the packet in `raw`, None if it is none."""
    if len(raw) < _HEAD.size:
        return None
    length, found_sum, dst, sport, dport, src, echo, flags, seq, ack = _HEAD.unpack_from(raw)
    if len(raw) != _HEAD.size + length:
        return None
    packet = Packet(
        inet_ntoa(src), sport, inet_ntoa(dst), dport, flags, seq, ack, echo, raw[_HEAD.size:],
    )
    packet.sum = found_sum
    packet.sum_ok = found_sum == packet._sum()
    return packet
