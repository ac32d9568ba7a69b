"""Define the protocol between the callers and upstreams of a soak."""

from struct import Struct, error
from zlib import crc32


_HEADER = Struct('>QBBI')
_ANSWER = Struct('>QBQI')


class Request:
    """One attempt at a request; `number` is the same for all attempts."""

    __slots__ = ('attempt', 'idempotent', 'number', 'size')

    def __init__(self, number: int, attempt: int, size: int, *, idempotent: bool) -> None:
        """Create a request of `size` bytes, header included."""
        self.number = number
        self.attempt = attempt
        self.size = max(size, _HEADER.size)
        self.idempotent = idempotent

    def encode(self) -> bytes:
        """Return the encoded request; the padding after the header is derived from the number."""
        head = _HEADER.pack(self.number, self.attempt, self.idempotent, self.size)
        return head + self._padding()

    def is_intact(self, raw: bytes) -> bool:
        """Whether `raw` equals what `encode` returns."""
        return raw == self.encode()

    def _padding(self) -> bytes:
        unit = crc32(self.number.to_bytes(8, 'big')).to_bytes(4, 'big')
        remaining = self.size - _HEADER.size
        return (unit * (remaining // len(unit) + 1))[:remaining]


def read_request(raw: bytes) -> Request | None:
    """Return the request at the start of `raw`, or None if its header is incomplete."""
    try:
        number, attempt, idempotent, size = _HEADER.unpack_from(raw)
    except error:
        return None
    return Request(number, attempt, size, idempotent=bool(idempotent))


class Answer:
    """Answer of an upstream; `ran` is off if it turned the request away."""

    __slots__ = ('number', 'ran', 'upstream')

    def __init__(self, number: int, upstream: int, *, ran: bool) -> None:
        """Answer the request with this `number`."""
        self.number = number
        self.upstream = upstream
        self.ran = ran

    def encode(self) -> bytes:
        """Return the encoded answer, with a checksum over it."""
        body = _ANSWER.pack(self.number, self.ran, self.upstream, 0)
        return _ANSWER.pack(self.number, self.ran, self.upstream, crc32(body))


def read_answer(raw: bytes) -> Answer | None:
    """Return the decoded answer, or None if it is truncated or corrupt."""
    try:
        number, ran, upstream, _ = _ANSWER.unpack(raw)
    except error:
        return None
    answer = Answer(number, upstream, ran=bool(ran))
    return answer if answer.encode() == raw else None
