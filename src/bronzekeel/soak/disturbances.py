"""Know what was disturbed when: promises with a time bound hold for what is in touch."""

from time import monotonic


#: Seconds without any disturbance after which something is in touch again.  Source: the users'
#: `stableWindowMs`.
STABLE_S = 4.0


class Disturbances:
    """Hold until when something is disturbed, and since when it has been in touch."""

    __slots__ = ('_ongoing', '_ended_at', 'planned_at')

    def __init__(self) -> None:
        """Start as something that has just begun."""
        self._ongoing = 0
        self._ended_at = monotonic()
        self.planned_at: float = 0

    @property
    def is_stable(self) -> bool:
        """Whether nothing has disturbed it for ``STABLE_S``."""
        return not self._ongoing and monotonic() >= self._ended_at + STABLE_S

    @property
    def stable_since(self) -> float:
        """When it came to be in touch, as far as is known now."""
        return self._ended_at + STABLE_S

    def begin(self) -> None:
        """Note that a disturbance begins."""
        self._ongoing += 1

    def end(self) -> None:
        """Note that a disturbance ends."""
        self._ongoing -= 1
        self._ended_at = monotonic()

    def note(self) -> None:
        """Note a disturbance that is over at once."""
        self.begin()
        self.end()
