"""Track the evacuated data centres, also after a restore of the store has lost them.

If only the store's current content counted, new flows would go to upstreams under maintenance when
operators evacuate a data centre and the store is then restored from an older backup, until the
operators have written the evacuation again.
"""

from bronzekeel.core.routing.messages import NOTHING_EVACUATED, Evacuated
from bronzekeel.core.routing.revisions import is_same_incarnation


#: Seconds for which content of a restored store must stand before it ends a drain or an evacuation.
#: A live upstream writes its entry every 1.2 s at the slowest, and is unlisted if it does not write
#: it for three times that; one second is added for the transmission.
RESTORE_CONFIRM_S = 5.0


class EvacuatedCentres:
    """Hold the newest evacuations `reported`, and those a restore lost until `_retained_until`."""

    __slots__ = ('_retained', '_retained_until', 'reported')

    def __init__(self) -> None:
        """Start without evacuations."""
        self.reported: Evacuated = NOTHING_EVACUATED
        self._retained: frozenset[str] = frozenset()
        self._retained_until: float = 0

    @property
    def names(self) -> frozenset[str]:
        """Names of the data centres whose upstreams get no new flows."""
        return self.reported.centres | self._retained

    def apply(self, reported: Evacuated, now: float) -> None:
        """Apply a newer report; one of another incarnation ends no evacuation for a while."""
        former = self.reported
        self.reported = reported
        if former.as_of and not is_same_incarnation(former.as_of, reported.as_of):
            self._retained |= former.centres
            self._retained_until = now + RESTORE_CONFIRM_S
        self._retained -= reported.centres

    def expire_retained(self, now: float) -> frozenset[str]:
        """Return the retained data centres whose time is over; they get new flows again."""
        if now < self._retained_until:
            return frozenset()
        ended = self._retained
        self._retained = frozenset()
        return ended
