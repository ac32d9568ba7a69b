"""Notice changes that others should hear before the next ordinary heartbeat."""

from collections.abc import Hashable, Mapping
from typing import Generic, TypeVar


#: Seconds between two changes that are told early, at least.  Source: a large data centre's
#: ordinary heartbeats go every 0.8 to 1.2 s; early ones add no more than twice as many.
MIN_INTERVAL_S = 0.5

KeyT = TypeVar('KeyT', bound=Hashable)


class ChangeTrigger(Generic[KeyT]):
    """Compare levels with those that were told early last; they changed at `changed_at`.

    A change is told if it is at least `least`, and `share` of the larger level: small ones wait
    for the ordinary heartbeat.
    """

    __slots__ = ('_least', '_level_by_key', '_next_at', '_share', 'changed_at')

    def __init__(self, least: float, share: float) -> None:
        """Start with all levels at zero."""
        self.changed_at: float = 0
        self._least = least
        self._share = share
        self._level_by_key: dict[KeyT, float] = {}
        self._next_at: float = 0

    def note(self, level_by_key: Mapping[KeyT, float], now: float) -> None:
        """Take the levels as they are `now`."""
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
