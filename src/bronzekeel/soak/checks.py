"""Count the promises that were checked, and note those that were broken."""

from collections import Counter
from enum import StrEnum


class Promise(StrEnum):
    """Name what must hold."""

    UNCHANGED = 'a packet arrives as its sender wrote it'
    SERVICE = 'a packet of one service reaches no other'
    AT_MOST_ONCE = 'non-idempotent work runs at most once'
    NOT_RUN = 'a refused request did not run'
    ANSWERED_WHOLE = 'an answer is whole and belongs to its request'
    FLOW_KEPT = 'an established flow of a living upstream is not reset'
    SLOW_KEPT = 'an established flow of an upstream that turned slow is not reset'
    SHARED = 'no caller is shut out while another has more than its share of what is served'
    TEXT_IN_FORCE = 'an accepted text is in force within its bound'
    TEXT_KEPT = 'a text in force is never taken back'
    DRAINED = 'an upstream that leaves gets no new flow after its bound'
    EVACUATED = 'an evacuated data centre gets no new flow after its bound'
    SERVED_AFTER = 'after the last fault callers are served'
    PROCESS_LIVES = 'no balancer ends by itself or logs an internal fault'


class Checks:
    """Hold how often each promise was checked, and the first breaks of each."""

    #: Breaks that are told; more of the same would only repeat them.
    _max_broken = 20

    def __init__(self) -> None:
        """Start with nothing checked."""
        self.count_by_promise: Counter[Promise] = Counter()
        self.broken: list[str] = []

    @property
    def ok(self) -> bool:
        """Whether all promises were kept."""
        return not self.broken

    @property
    def unchecked(self) -> list[str]:
        """Promises that had no chance to be broken."""
        return [promise.name for promise in Promise if not self.count_by_promise[promise]]

    def check(self, promise: Promise, holds: bool, description: str) -> None:  # noqa: FBT001
        """Count a check; note what was `description` if it does not hold."""
        self.count_by_promise[promise] += 1
        if not holds and len(self.broken) < self._max_broken:
            self.broken.append(f'{promise.name}: {promise.value}: {description}')
