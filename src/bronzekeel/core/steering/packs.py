"""Encode journal parts compactly: equal registers of a service share one entry.

Most registers of a shard differ only in their bucket.  Encoded one by one they
take about 60 bytes each, a considerable load when many are sent at once after
a partition heals.
"""

from array import array
from collections.abc import Iterable, Iterator, Sequence
from sys import byteorder

from bronzekeel.core.messages import JournalPart, OwnerEntry, RegisterEntry, RegisterPack

_BUCKET_BYTES = 2


def pack_part(
    sender: str,
    incarnation: int,
    after: int,
    seq: int,
    owners: Iterable[OwnerEntry],
    entries: Iterable[RegisterEntry],
) -> JournalPart:
    """Return a journal part with `entries`, grouped where they differ only in the bucket.

    Registers with exceptions are not grouped.
    """
    buckets_by_fields: dict[tuple[str, int, int, str, str], list[int]] = {}
    with_exceptions = []
    for entry in entries:
        if entry.flows:
            with_exceptions.append(entry)
            continue
        shared_fields = (entry.service, entry.term, entry.stage, entry.base, entry.current)
        buckets_by_fields.setdefault(shared_fields, []).append(entry.bucket)
    packs = tuple(
        RegisterPack(*shared_fields, _to_bytes(buckets))
        for shared_fields, buckets in buckets_by_fields.items()
    )
    return JournalPart(
        sender, incarnation, after, seq, tuple(owners), packs, tuple(with_exceptions)
    )


def unpack_part(part: JournalPart) -> Iterator[RegisterEntry]:
    """Yield every register entry of a journal part."""
    yield from part.registers
    for pack in part.packs:
        for bucket in _from_bytes(pack.buckets):
            yield RegisterEntry(
                pack.service,
                bucket,
                pack.term,
                pack.stage,
                pack.base,
                pack.current,
            )


def _to_bytes(buckets: list[int]) -> bytes:
    numbers = array('H', buckets)
    if byteorder == 'little':
        numbers.byteswap()
    return numbers.tobytes()


def _from_bytes(raw: bytes) -> Sequence[int]:
    """Return the bucket numbers in `raw`; an odd byte at the end is ignored."""
    numbers = array('H')
    numbers.frombytes(raw[: len(raw) - len(raw) % _BUCKET_BYTES])
    if byteorder == 'little':
        numbers.byteswap()
    return numbers
