"""Define request ids, which name the only balancer that may run them.

This guarantees at-most-once execution without consensus: only the process that
issued an id runs it, and it remembers the id until its deadline.  Once that process
is gone, no balancer runs the id, whatever view of the fleet it has.
"""

from dataclasses import dataclass


_SEPARATOR = '.'
_PARTS = 3
_HEX = 16


@dataclass(frozen=True, slots=True)
class RequestId:
    """A request id: the name and incarnation of its issuer, and a serial number."""

    host: str
    incarnation: int
    number: int

    @classmethod
    def parse(cls, encoded: str) -> 'RequestId | None':
        """Return the id that `encoded` represents, or None if it is not a valid id."""
        parts = encoded.rsplit(_SEPARATOR, _PARTS - 1)
        if len(parts) != _PARTS:
            return None
        try:
            return cls(parts[0], int(parts[1], _HEX), int(parts[2], _HEX))
        except ValueError:
            return None

    def __str__(self) -> str:
        """Return the id in the form that callers receive."""
        return f'{self.host}{_SEPARATOR}{self.incarnation:x}{_SEPARATOR}{self.number:x}'
