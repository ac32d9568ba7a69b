"""Encode flow records in seven bytes per flow, grouped by service and upstream."""

from collections.abc import Iterable, Iterator
from struct import Struct as ByteLayout

from msgspec import Struct

from bronzekeel.core.messages import RecordPack

#: Bits of a flow's hash that select its bucket, and that identify it within the bucket.
BUCKET_BITS = 16
FINGERPRINT_BITS = 40

_FINGERPRINT_MASK = (1 << FINGERPRINT_BITS) - 1
_LAYOUT = ByteLayout('!HBI')
_LOW_BITS = 32
_LOW_MASK = (1 << _LOW_BITS) - 1


class RecordEntry(Struct, frozen=True):
    """The upstream of one flow of an unsettled bucket."""

    service: str
    bucket: int
    fingerprint: int
    upstream: str


def fingerprint_of(hashed: int) -> int:
    """Return the bits of a flow's hash that identify it within its bucket.

    With 40 bits and 512 exceptions per bucket, one flow in two billion is
    mistaken for another.
    """
    return hashed >> BUCKET_BITS & _FINGERPRINT_MASK


def pack(records: Iterable[RecordEntry]) -> tuple[RecordPack, ...]:
    """Encode records, grouped by service and upstream."""
    flows_by_upstream: dict[tuple[str, str], bytearray] = {}
    for record in records:
        flows = flows_by_upstream.setdefault((record.service, record.upstream), bytearray())
        high, low = divmod(record.fingerprint, 1 << _LOW_BITS)
        flows += _LAYOUT.pack(record.bucket, high, low)
    return tuple(
        RecordPack(service, upstream, bytes(flows))
        for (service, upstream), flows in flows_by_upstream.items()
    )


def unpack(packs: Iterable[RecordPack]) -> Iterator[RecordEntry]:
    """Yield the records of `packs`; incomplete records at the end of a pack are ignored."""
    for packed in packs:
        whole = len(packed.flows) - len(packed.flows) % _LAYOUT.size
        for bucket, high, low in _LAYOUT.iter_unpack(packed.flows[:whole]):
            fingerprint = high << _LOW_BITS | low
            yield RecordEntry(packed.service, bucket, fingerprint, packed.upstream)
