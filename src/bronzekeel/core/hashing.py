"""Hash flows and names, and rank names by rendezvous hashing."""

from collections.abc import Iterable, Sequence
from ipaddress import ip_address
from math import log

from xxhash import xxh3_64_intdigest


_HASH_BITS = 64
_HASH_RANGE = float(1 << _HASH_BITS)


#: 64-bit hash of a flow, computed from the bytes of its addresses and ports.
flow_hash = xxh3_64_intdigest


def service_key(address: str, port: int) -> bytes:
    """Return a service's IPv4 address and port as the six bytes they take in a packet."""
    return ip_address(address).packed + port.to_bytes(2, 'big')


def string_hash(string: str) -> int:
    """Return the 64-bit hash of a string."""
    return xxh3_64_intdigest(string.encode())


def _score(key: str, name: str) -> int:
    return string_hash(f'{key}|{name}')


def rendezvous_order(key: str, names: Iterable[str]) -> list[str]:
    """Return `names` by descending rendezvous score for `key`."""
    return sorted(names, key=lambda name: (_score(key, name), name), reverse=True)


def rendezvous_first(key: str, names: Sequence[str]) -> str | None:
    """Return the first of `names` in rendezvous order, or None if there are none."""
    if not names:
        return None
    return max(names, key=lambda name: (_score(key, name), name))


def weighted_score(key: str, name: str, weight: float) -> float:
    """Return the score of weighted rendezvous hashing (logarithmic method).

    The probability that a name scores highest is proportional to its `weight`.
    """
    uniform = (_score(key, name) + 1) / (_HASH_RANGE + 1)
    return -weight / log(uniform)
