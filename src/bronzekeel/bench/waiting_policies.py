"""Give the placement benchmark the orders of waiting requests that were weighed."""

from collections.abc import Callable
from heapq import heappop, heappush
from zlib import crc32

from bronzekeel.core.routing.caller_shares import USUAL_CALLER_BITS, CallerShares, caller_of
from bronzekeel.core.routing.pools import Pool
from bronzekeel.core.routing.waiting import (
    NewestFirst,
    RankedQueue,
    WaitingOrder,
    WaitingQueue,
    WaitingRequest,
)


_Ranked = tuple[tuple[int, int], WaitingRequest]

#: Queues that callers are hashed to.
_STOCHASTIC_QUEUES = 16


class OldestFirst(WaitingOrder):
    """Let the most urgent go first, and of equals the oldest."""

    def rank(self, request: WaitingRequest, number: int) -> tuple[int, int]:
        """Rank by priority, then by who came first."""
        return request.priority, number


class PriorityBlind(WaitingOrder):
    """Let the newest go first, however urgent."""

    def rank(self, request: WaitingRequest, number: int) -> tuple[int, int]:
        """Rank by who came last."""
        return 0, -number


class _RoundRobinQueue(WaitingQueue):
    """Let groups of requests have their turns, within a priority; in a group the newest first."""

    __slots__ = (
        '_group_of',
        '_heap_by_group',
        '_last_returned',
        '_turn_number',
        '_last_turn_by_group',
    )

    def __init__(self, group_of: Callable[[WaitingRequest], int]) -> None:
        self._group_of = group_of
        self._heap_by_group: dict[int, list[_Ranked]] = {}
        self._last_turn_by_group: dict[int, int] = {}
        self._turn_number = 0
        self._last_returned: tuple[int, WaitingRequest] | None = None

    def add(self, request: WaitingRequest, number: int) -> None:
        """Take the request that came as the `number`th."""
        heap = self._heap_by_group.setdefault(self._group_of(request), [])
        heappush(heap, ((request.priority, -number), request))

    def first(self, now: float) -> WaitingRequest | None:
        """Return the request of the group whose last turn is the longest ago."""
        self._record_turn()
        best: tuple[tuple[int, int], int, WaitingRequest] | None = None
        for group, heap in list(self._heap_by_group.items()):
            while heap and heap[0][1].ended:
                heappop(heap)
            if not heap:
                self._heap_by_group.pop(group)
                continue
            request = heap[0][1]
            key = (request.priority, self._last_turn_by_group.get(group, 0))
            if best is None or key < best[0]:
                best = (key, group, request)
        self._last_returned = best[1:] if best else None
        return best[2] if best else None

    def _record_turn(self) -> None:
        """Note the turn of the group whose request was taken."""
        if self._last_returned is not None and self._last_returned[1].ended:
            self._turn_number += 1
            self._last_turn_by_group[self._last_returned[0]] = self._turn_number


class _BelowShareFirstQueue(WaitingQueue):
    """Let callers below their shares go first, by a look at all that wait."""

    __slots__ = ('_shares', '_waiting')

    def __init__(self, shares: CallerShares) -> None:
        self._shares = shares
        self._waiting: list[tuple[int, WaitingRequest]] = []

    def add(self, request: WaitingRequest, number: int) -> None:
        """Take the request that came as the `number`th."""
        self._waiting.append((-number, request))

    def first(self, now: float) -> WaitingRequest | None:
        """Return the newest of the callers that are below their shares."""
        self._waiting = [waiting for waiting in self._waiting if not waiting[1].ended]
        selected = min(self._waiting, key=lambda waiting: self._key(waiting, now), default=None)
        return selected[1] if selected else None

    def _key(self, waiting: tuple[int, WaitingRequest], now: float) -> tuple[int, bool, int]:
        rank, request = waiting
        received = self._shares.given_to(_caller_key(request), now)
        return request.priority, received > self._shares.level, rank


class RoundRobin(NewestFirst):
    """Let callers go in turn (deficit round robin, one request a turn)."""

    def queue_of(self, pool: Pool) -> WaitingQueue:
        """Return a queue with a group for each caller."""
        return _RoundRobinQueue(_caller_key)


class StochasticFairness(NewestFirst):
    """Let a few queues go in turn that callers are hashed to."""

    def queue_of(self, pool: Pool) -> WaitingQueue:
        """Return a queue with a few groups."""
        return _RoundRobinQueue(_caller_hash)


class TokensByShare(NewestFirst):
    """Let callers go first that were given less than their shares, and then the newest."""

    def queue_of(self, pool: Pool) -> WaitingQueue:
        """Return a queue that knows two kinds of callers."""
        return RankedQueue(self) if pool.callers is None else _BelowShareFirstQueue(pool.callers)


def _caller_key(request: WaitingRequest) -> int:
    return caller_of(request.packets[0].flow, USUAL_CALLER_BITS)


def _caller_hash(request: WaitingRequest) -> int:
    return crc32(request.packets[0].flow[:4]) % _STOCHASTIC_QUEUES
