"""Count the checks of each promise, and record the violations."""

from collections import Counter
from enum import StrEnum


class Promise(StrEnum):
    """What balancers must guarantee."""

    UNCHANGED = 'a packet arrives as its sender sent it'
    SERVICE = 'a packet for one service reaches no other service'
    AT_MOST_ONCE = 'non-idempotent work runs at most once'
    NOT_RUN = 'a refused request did not run'
    ANSWERED_WHOLE = 'an answer is complete and belongs to its request'
    FLOW_KEPT = 'an established flow of a live upstream is not reset'
    SLOW_KEPT = 'an established flow of a slowed upstream is not reset'
    SHARED = 'no caller is starved while another gets more than its share of served requests'
    TEXT_IN_FORCE = 'an accepted text is in force within its bound'
    TEXT_KEPT = 'a text in force is never replaced by an older one'
    DRAINED = 'a draining upstream gets no new flow after its bound'
    EVACUATED = 'an evacuated data centre gets no new flow after its bound'
    SERVED_AFTER = 'callers are served after the last fault'
    PROCESS_LIVES = 'no balancer exits by itself or logs an internal fault'


class Checks:
    """Hold how often each promise was checked, and the first violations."""

    #: Violations that are recorded; further ones would only repeat them.
    _max_broken = 20

    def __init__(self) -> None:
        """Start without any checks."""
        self.count_by_promise: Counter[Promise] = Counter()
        self.broken: list[str] = []

    @property
    def ok(self) -> bool:
        """Whether no promise was broken."""
        return not self.broken

    @property
    def unchecked(self) -> list[str]:
        """Names of the promises that were never checked."""
        return [promise.name for promise in Promise if not self.count_by_promise[promise]]

    def check(self, promise: Promise, holds: bool, description: str) -> None:  # noqa: FBT001
        """Count a check; record a violation with `description` if the promise does not hold."""
        self.count_by_promise[promise] += 1
        if not holds and len(self.broken) < self._max_broken:
            self.broken.append(f'{promise.name}: {promise.value}: {description}')
