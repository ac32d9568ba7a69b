"""Know which data centres are closed to new flows, also after the store has lost word of it.

What goes wrong with the store's word alone: operators evacuate a data centre, the store comes back
from a copy made before, and new flows go to upstreams that people work on, until the
operators have written it again.
"""

from bronzekeel.core.routing.messages import NOTHING_EVACUATED, Evacuated
from bronzekeel.core.routing.revisions import is_same_incarnation


#: Seconds for which a restored store's word must have stood before it ends a leaving or an
#: evacuation.  Source: an upstream that lives writes its entry each 1.2 s at the slowest, and one
#: that does not write it for three times that is no longer listed; a second more to hear of it.
COPY_DOUBTED_S = 5.0


class ClosedCentres:
    """Hold the store's newest word, `told`, and what a restore has lost, until `_kept_until`."""

    __slots__ = ('_kept', '_kept_until', 'told')

    def __init__(self) -> None:
        """Start with none."""
        self.told: Evacuated = NOTHING_EVACUATED
        self._kept: frozenset[str] = frozenset()
        self._kept_until: float = 0

    @property
    def names(self) -> frozenset[str]:
        """Data centres whose upstreams get no new flows."""
        return self.told.centres | self._kept

    def take(self, told: Evacuated, now: float) -> None:
        """Go by a newer word; one of another incarnation ends nothing for a while."""
        former = self.told
        self.told = told
        if former.as_of and not is_same_incarnation(former.as_of, told.as_of):
            self._kept |= former.centres
            self._kept_until = now + COPY_DOUBTED_S
        self._kept -= told.centres

    def end_kept(self, now: float) -> frozenset[str]:
        """Return the data centres that operators did not name again in time; they open."""
        if now < self._kept_until:
            return frozenset()
        ended = self._kept
        self._kept = frozenset()
        return ended
