"""Hash flows to buckets and order hosts by rendezvous."""

from collections.abc import Iterable, Sequence
from ipaddress import ip_address
from math import log

from xxhash import xxh3_64_intdigest


_HASH_BITS = 64
_HASH_RANGE = float(1 << _HASH_BITS)


#: Hash a flow to 64 bits from the bytes of its addresses and ports.
flow_hash = xxh3_64_intdigest


def service_key(address: str, port: int) -> bytes:
    """Return the six bytes that a packet has for a service's address and port."""
    return ip_address(address).packed + port.to_bytes(2, 'big')


def string_hash(text: str) -> int:
    """Return the 64-bit hash of a text."""
    return xxh3_64_intdigest(text.encode())


def _score(key: str, name: str) -> int:
    return string_hash(f'{key}|{name}')


def rendezvous_order(key: str, names: Iterable[str]) -> list[str]:
    """Return `names` by descending rendezvous score for `key`."""
    return sorted(names, key=lambda name: (_score(key, name), name), reverse=True)


def rendezvous_first(key: str, names: Sequence[str]) -> str | None:
    """Return the first of `names` in rendezvous order, None of an empty list."""
    if not names:
        return None
    return max(names, key=lambda name: (_score(key, name), name))


def weighted_score(key: str, name: str, weight: float) -> float:
    """Return a rendezvous score whose chance to win grows with `weight`.

    Source: the logarithmic method of weighted rendezvous hashing.
    """
    uniform = (_score(key, name) + 1) / (_HASH_RANGE + 1)
    return -weight / log(uniform)
