"""Track disturbances: promises with a time bound hold only for what is stable."""

from time import monotonic


#: Seconds without a disturbance after which something counts as stable again; the users'
#: `stableWindowMs`.
STABLE_S = 4.0


class Disturbances:
    """Track the disturbances of a component, and since when it has been stable."""

    __slots__ = ('_ended_at', '_ongoing', 'planned_at')

    def __init__(self) -> None:
        """Start as after a disturbance that ended just now."""
        self._ongoing = 0
        self._ended_at = monotonic()
        self.planned_at: float = 0

    @property
    def is_stable(self) -> bool:
        """Whether nothing has disturbed the component for ``STABLE_S``."""
        return not self._ongoing and monotonic() >= self._ended_at + STABLE_S

    @property
    def stable_since(self) -> float:
        """Time from which the component counts as stable if no other disturbance follows."""
        return self._ended_at + STABLE_S

    def begin(self) -> None:
        """Record that a disturbance begins."""
        self._ongoing += 1

    def end(self) -> None:
        """Record that a disturbance ends."""
        self._ongoing -= 1
        self._ended_at = monotonic()

    def note(self) -> None:
        """Record a disturbance of no duration."""
        self.begin()
        self.end()
