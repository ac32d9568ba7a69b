"""Check single fields of entries, from the store or from peers, against their bounds.

Without these checks, an entry of another writer with a negative number of slots or an invalid
address would be used as it is: such an upstream looks like the least busy one of all, and every new
flow would go there.
"""

from typing import Any


#: Maximum characters of a name: the longest host name on the internet.
MAX_NAME_LENGTH = 253

#: Maximum requests that an upstream processes at once.  This is far above what a process handles on
#: the largest hosts; a larger value is a mistake.
MAX_SLOTS = 100_000

#: Maximum seconds of a cold start.  An upstream that takes longer than an hour to warm up is
#: described wrongly.
MAX_COLD_S = 3600

#: Maximum requests per second that a service may state, far above what a process handles on the
#: largest hosts.
MAX_RATE = 1e6

#: Maximum latency objective in seconds that a route may state.  Callers who wait for longer than an
#: hour have no objective.
MAX_OBJECTIVE_S = 3600

#: Maximum number of times that a store was restored from a backup; a value above a billion is a
#: mistake.
MAX_INCARNATION = 1_000_000_000

#: Largest revision and time, 64 bits as in stores.
MAX_INTEGER = 0x7FFFFFFFFFFFFFFF

_MAX_OCTET = 255
_OCTETS = 4
_MAX_DIGITS = 3
_MAX_PORT = 65535


class FieldError(ValueError):
    """An unreadable field of an entry, to be corrected where the entry is written."""

    def __init__(self, field: str, found: object, wanted: str) -> None:
        """Compose the message from the `field`, its value and the expected value."""
        found_text = repr(found)[:MAX_NAME_LENGTH]
        super().__init__(f'{field}: {found_text} is not {wanted}')


def whole_number(field: str, found: Any, minimum: int = 0, maximum: int = MAX_INTEGER) -> int:
    """Return an integer within bounds.  Raises FieldError."""
    if not isinstance(found, int) or isinstance(found, bool) or not minimum <= found <= maximum:
        raise FieldError(field, found, f'a whole number from {minimum} to {maximum}')
    return found


def bounded_float(field: str, found: Any, maximum: float) -> float:
    """Return a number from zero to `maximum`.  Raises FieldError."""
    if not isinstance(found, int | float) or isinstance(found, bool) or not 0 <= found <= maximum:
        raise FieldError(field, found, f'a number from 0 to {maximum}')
    return float(found)


def label(field: str, found: Any) -> str:
    """Return a printable name that can be sent to peers.  Raises FieldError."""
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
    """Whether it is a number without leading zeros, which some programs read as octal."""
    if not text.isascii() or not text.isdecimal() or len(text) > _MAX_DIGITS:
        return False
    return int(text) <= _MAX_OCTET and text == str(int(text))
