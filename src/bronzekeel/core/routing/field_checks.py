"""Check single fields of entries, from whatever source, against their bounds.

What goes wrong without it: somebody else writes an entry with a negative number of slots or an
address that is none.  Read as it stands, such an upstream looks like the minimum busy one of
all, and every new flow goes there.
"""

from typing import Any


#: Characters of a name at maximum.  Source: the longest name of a host on the internet.
MAX_NAME_LENGTH = 253

#: Requests that an upstream works on at once at maximum.  Source: far above what a process does
#: on the largest hosts; a figure beyond it is a mistake.
MAX_SLOTS = 100_000

#: Seconds for which an upstream may be slow after its start.  Source: one that takes longer
#: than an hour to warm up is described wrongly.
MAX_COLD_S = 3600

#: Requests a second at maximum that a service may state.  Source: far above what a process does
#: on the largest hosts.
MAX_RATE = 1e6

#: Longest latency objective in seconds that a route may state.  Source: callers who wait for
#: longer than an hour have no objective.
MAX_OBJECTIVE_S = 3600

#: Times at maximum that a store has come back from a copy.  Source: a figure beyond a billion is a
#: mistake.
MAX_INCARNATION = 1_000_000_000

#: Largest revision and time that are counted with.  Source: 64 bits, as stores use.
MAX_INTEGER = 0x7FFFFFFFFFFFFFFF

_MAX_OCTET = 255
_OCTETS = 4
_MAX_DIGITS = 3
_MAX_PORT = 65535


class FieldError(ValueError):
    """Tell that a field of an entry is unreadable; correct it where it is written."""

    def __init__(self, field: str, found: object, wanted: str) -> None:
        """Name the `field`, what it holds, and what it should hold."""
        found_text = repr(found)[:MAX_NAME_LENGTH]
        super().__init__(f'{field}: {found_text} is not {wanted}')


def whole_number(field: str, found: Any, minimum: int = 0, maximum: int = MAX_INTEGER) -> int:
    """Return a whole number within bounds.  Raises FieldError."""
    if not isinstance(found, int) or isinstance(found, bool) or not minimum <= found <= maximum:
        raise FieldError(field, found, f'a whole number from {minimum} to {maximum}')
    return found


def bounded_float(field: str, found: Any, maximum: float) -> float:
    """Return a number from zero to `maximum`.  Raises FieldError."""
    if not isinstance(found, int | float) or isinstance(found, bool) or not 0 <= found <= maximum:
        raise FieldError(field, found, f'a number from 0 to {maximum}')
    return float(found)


def label(field: str, found: Any) -> str:
    """Return a name that can be told on.  Raises FieldError."""
    if (
        not isinstance(found, str)
        or not 0 < len(found) <= MAX_NAME_LENGTH
        or not found.isprintable()
    ):
        raise FieldError(field, found, f'a name of up to {MAX_NAME_LENGTH} printable characters')
    return found


def address(field: str, host: Any, port: Any) -> tuple[str, int]:
    """Return an address of four octets and a port.  Raises FieldError."""
    octets = host.split('.') if isinstance(host, str) else ()
    if len(octets) != _OCTETS or not all(map(_is_octet, octets)):
        raise FieldError(field, host, 'an address of four octets')
    return host, whole_number(field, port, 1, _MAX_PORT)


def _is_octet(text: str) -> bool:
    """Whether it is a number without leading zeros, which some read as octal."""
    if not text.isascii() or not text.isdecimal() or len(text) > _MAX_DIGITS:
        return False
    return int(text) <= _MAX_OCTET and text == str(int(text))
