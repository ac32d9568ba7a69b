"""Define what callers and upstreams of a soak say to each other on a flow."""

from struct import Struct, error
from zlib import crc32


_HEADER = Struct('>QBBI')
_ANSWER = Struct('>QBQI')


class Request:
    """Hold one attempt at a request; `number` is the same for all attempts."""

    __slots__ = ('attempt', 'idempotent', 'number', 'size')

    def __init__(self, number: int, attempt: int, size: int, *, idempotent: bool) -> None:
        """Ask with `size` bytes in all."""
        self.number = number
        self.attempt = attempt
        self.size = max(size, _HEADER.size)
        self.idempotent = idempotent

    def encode(self) -> bytes:
        """Return its bytes; what follows the head is made of its number."""
        head = _HEADER.pack(self.number, self.attempt, self.idempotent, self.size)
        return head + self._padding()

    def is_intact(self, raw: bytes) -> bool:
        """Whether `raw` is just what `encode` gave."""
        return raw == self.encode()

    def _padding(self) -> bytes:
        unit = crc32(self.number.to_bytes(8, 'big')).to_bytes(4, 'big')
        remaining = self.size - _HEADER.size
        return (unit * (remaining // len(unit) + 1))[:remaining]


def read_request(raw: bytes) -> Request | None:
    """Return the request that `raw` begins with, None if its head is not there yet."""
    try:
        number, attempt, idempotent, size = _HEADER.unpack_from(raw)
    except error:
        return None
    return Request(number, attempt, size, idempotent=bool(idempotent))


class Answer:
    """Hold what an upstream says to a request; one that did not run was turned away."""

    __slots__ = ('number', 'ran', 'upstream')

    def __init__(self, number: int, upstream: int, *, ran: bool) -> None:
        """Answer the request with a `number`."""
        self.number = number
        self.upstream = upstream
        self.ran = ran

    def encode(self) -> bytes:
        """Return its bytes, with a checksum of them."""
        body = _ANSWER.pack(self.number, self.ran, self.upstream, 0)
        return _ANSWER.pack(self.number, self.ran, self.upstream, crc32(body))


def read_answer(raw: bytes) -> Answer | None:
    """Return an answer, None if it is not whole."""
    try:
        number, ran, upstream, _ = _ANSWER.unpack(raw)
    except error:
        return None
    answer = Answer(number, upstream, ran=bool(ran))
    return answer if answer.encode() == raw else None
