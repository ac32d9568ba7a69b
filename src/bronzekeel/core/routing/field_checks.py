"""Check single fields of entries, from whatever source, against their bounds.

What goes wrong without it: somebody else writes an entry with a negative number of slots or an
address that is none.  Read as it stands, such an upstream looks like the least busy one of
all, and every new flow goes there.
"""

from typing import Any


#: Characters of a name at most.  Source: the longest name of a host on the internet.
MOST_NAME = 253

#: Requests that an upstream works on at once at most.  Source: far above what a process does
#: on the largest hosts; a figure beyond it is a mistake.
MOST_SLOTS = 100_000

#: Seconds for which an upstream may be slow after its start.  Source: one that takes longer
#: than an hour to warm up is described wrongly.
MOST_COLD_S = 3600

#: Requests a second at most that a service may state.  Source: far above what a process does
#: on the largest hosts.
MOST_RATE = 1e6

#: Longest latency objective in seconds that a route may state.  Source: callers who wait for
#: longer than an hour have no objective.
MOST_OBJECTIVE_S = 3600

#: Times at most that a store has come back from a copy.  Source: a figure beyond a billion is a
#: mistake.
MOST_INCARNATION = 1_000_000_000

#: Largest revision and time that are counted with.  Source: 64 bits, as stores use.
MOST_WHOLE = 0x7FFFFFFFFFFFFFFF

_MOST_OCTET = 255
_OCTETS = 4
_MOST_DIGITS = 3
_MOST_PORT = 65535


class FieldError(ValueError):
    """Tell that a field of an entry is unreadable; correct it where it is written."""

    def __init__(self, field: str, found: object, wanted: str) -> None:
        """Name the `field`, what it holds, and what it should hold."""
        shown = repr(found)[:MOST_NAME]
        super().__init__(f'{field}: {shown} is not {wanted}')


def whole_number(field: str, found: Any, least: int = 0, most: int = MOST_WHOLE) -> int:
    """Return a whole number within bounds.  Raises FieldError."""
    if not isinstance(found, int) or isinstance(found, bool) or not least <= found <= most:
        raise FieldError(field, found, f'a whole number from {least} to {most}')
    return found


def figure(field: str, found: Any, most: float) -> float:
    """Return a number from zero to `most`.  Raises FieldError."""
    if not isinstance(found, int | float) or isinstance(found, bool) or not 0 <= found <= most:
        raise FieldError(field, found, f'a number from 0 to {most}')
    return float(found)


def label(field: str, found: Any) -> str:
    """Return a name that can be told on.  Raises FieldError."""
    if not isinstance(found, str) or not 0 < len(found) <= MOST_NAME or not found.isprintable():
        raise FieldError(field, found, f'a name of up to {MOST_NAME} printable characters')
    return found


def address(field: str, host: Any, port: Any) -> tuple[str, int]:
    """Return an address of four octets and a port.  Raises FieldError."""
    octets = host.split('.') if isinstance(host, str) else ()
    if len(octets) != _OCTETS or not all(map(_is_octet, octets)):
        raise FieldError(field, host, 'an address of four octets')
    return host, whole_number(field, port, 1, _MOST_PORT)


def _is_octet(text: str) -> bool:
    """Whether it is a number without leading zeros, which some read as octal."""
    if not text.isascii() or not text.isdecimal() or len(text) > _MOST_DIGITS:
        return False
    return int(text) <= _MOST_OCTET and text == str(int(text))
