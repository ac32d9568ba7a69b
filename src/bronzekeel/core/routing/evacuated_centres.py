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
RESTORE_CONFIRM_S = 5.0


class EvacuatedCentres:
    """Hold the store's newest word, `reported`, and what a restore has lost, until `_retained_until`."""

    __slots__ = ('_retained', '_retained_until', 'reported')

    def __init__(self) -> None:
        """Start with none."""
        self.reported: Evacuated = NOTHING_EVACUATED
        self._retained: frozenset[str] = frozenset()
        self._retained_until: float = 0

    @property
    def names(self) -> frozenset[str]:
        """Data centres whose upstreams get no new flows."""
        return self.reported.centres | self._retained

    def apply(self, reported: Evacuated, now: float) -> None:
        """Go by a newer word; one of another incarnation ends nothing for a while."""
        former = self.reported
        self.reported = reported
        if former.as_of and not is_same_incarnation(former.as_of, reported.as_of):
            self._retained |= former.centres
            self._retained_until = now + RESTORE_CONFIRM_S
        self._retained -= reported.centres

    def expire_retained(self, now: float) -> frozenset[str]:
        """Return the data centres that operators did not name again in time; they open."""
        if now < self._retained_until:
            return frozenset()
        ended = self._retained
        self._retained = frozenset()
        return ended
