"""Pack registers for the wire: equal ones of a service share one entry.

Most registers of a shard differ in their bucket alone.  Named one by one they
take about sixty bytes each, which a fleet that heals from a cut would feel.
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
    """Return the part of a journal that holds these entries."""
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
    """Yield every register that a part of a journal states."""
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
    """Return bucket numbers; a byte left over at the end is passed over."""
    numbers = array('H')
    numbers.frombytes(raw[: len(raw) - len(raw) % _BUCKET_BYTES])
    if byteorder == 'little':
        numbers.byteswap()
    return numbers
