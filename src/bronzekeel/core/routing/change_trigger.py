"""Detect changes that should be reported before the next regular heartbeat."""

from collections.abc import Hashable, Mapping
from typing import Generic, TypeVar


#: Least seconds between two changes that are reported early. Regular heartbeats of a large data
#: centre go every 0.8 to 1.2 s; early ones add at most twice as many.
MIN_INTERVAL_S = 0.5

KeyT = TypeVar('KeyT', bound=Hashable)


class ChangeTrigger(Generic[KeyT]):
    """Compare values with those that were reported early last; they changed at `changed_at`.

    A change is reported if it is at least `least`, and at least `share` of the larger value.
    Smaller changes wait for the regular heartbeat.
    """

    __slots__ = ('_least', '_level_by_key', '_next_at', '_share', 'changed_at')

    def __init__(self, least: float, share: float) -> None:
        """Start with all values at zero."""
        self.changed_at: float = 0
        self._least = least
        self._share = share
        self._level_by_key: dict[KeyT, float] = {}
        self._next_at: float = 0

    def note(self, level_by_key: Mapping[KeyT, float], now: float) -> None:
        """Record the values `now`, unless the last early report was too recent."""
        if now < self._next_at or not self._has_changed(level_by_key):
            return
        self._level_by_key = dict(level_by_key)
        self._next_at = now + MIN_INTERVAL_S
        self.changed_at = now

    def _has_changed(self, level_by_key: Mapping[KeyT, float]) -> bool:
        for key in self._level_by_key.keys() | level_by_key.keys():
            former = self._level_by_key.get(key, 0)
            newest = level_by_key.get(key, 0)
            least = max(self._least, self._share * max(former, newest))
            if abs(newest - former) >= least:
                return True
        return False
