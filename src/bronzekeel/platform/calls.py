"""Spell the targets of calls to the platform's object store."""

_MS = 1000


def list_target(kind: str, after: str = '') -> str:
    """Return the target that lists a kind, the names after `after`."""
    query = f'?after={_percent_encoded(after)}' if after else ''
    return f'/v1/objects/{kind}{query}'


def watch_target(kind: str, revision: int, wait_s: float) -> str:
    """Return the target that waits for a kind's changes after a revision."""
    return f'/v1/objects/{kind}?watch={revision}&waitMs={round(wait_s * _MS)}'


def object_target(kind: str, name: str) -> str:
    """Return the target of one object."""
    return f'/v1/objects/{kind}/{name}'


def _percent_encoded(name: str) -> str:
    """Return a name for a query, every byte of it encoded.

    The library's function takes 11 ms of processor time to import.
    """
    octets = name.encode().hex('%')
    return f'%{octets}'
