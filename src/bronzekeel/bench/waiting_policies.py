"""Alternative orders of waiting requests that the placement benchmark compares."""

from collections.abc import Callable
from heapq import heappop, heappush
from zlib import crc32

from bronzekeel.core.routing.caller_shares import DEFAULT_CALLER_BITS, CallerShares, caller_of
from bronzekeel.core.routing.pools import Pool
from bronzekeel.core.routing.waiting import (
    NewestFirst,
    RankedQueue,
    WaitingOrder,
    WaitingQueue,
    WaitingRequest,
)


_Ranked = tuple[tuple[int, int], WaitingRequest]

#: Number of queues that callers are hashed to.
_STOCHASTIC_QUEUES = 16


class OldestFirst(WaitingOrder):
    """Serves the most urgent requests first, and the oldest first within a priority."""

    def rank(self, request: WaitingRequest, number: int) -> tuple[int, int]:
        """Rank by priority, then by order of arrival."""
        return request.priority, number


class PriorityBlind(WaitingOrder):
    """Serves the newest requests first, regardless of priority."""

    def rank(self, request: WaitingRequest, number: int) -> tuple[int, int]:
        """Rank by reverse order of arrival."""
        return 0, -number


class _RoundRobinQueue(WaitingQueue):
    """Serves groups of requests in turn within a priority, and the newest first in a group."""

    __slots__ = (
        '_group_of',
        '_heap_by_group',
        '_last_returned',
        '_last_turn_by_group',
        '_turn_number',
    )

    def __init__(self, group_of: Callable[[WaitingRequest], int]) -> None:
        self._group_of = group_of
        self._heap_by_group: dict[int, list[_Ranked]] = {}
        self._last_turn_by_group: dict[int, int] = {}
        self._turn_number = 0
        self._last_returned: tuple[int, WaitingRequest] | None = None

    def add(self, request: WaitingRequest, number: int) -> None:
        """Add the request with arrival number `number`."""
        heap = self._heap_by_group.setdefault(self._group_of(request), [])
        heappush(heap, ((request.priority, -number), request))

    def first(self, now: float) -> WaitingRequest | None:
        """Return the most urgent request, of the least recently served group among equals."""
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
        """Record the turn of the group if the request returned last has been served."""
        if self._last_returned is not None and self._last_returned[1].ended:
            self._turn_number += 1
            self._last_turn_by_group[self._last_returned[0]] = self._turn_number


class _BelowShareFirstQueue(WaitingQueue):
    """Serves callers below their shares first, by scanning all waiting requests."""

    __slots__ = ('_shares', '_waiting')

    def __init__(self, shares: CallerShares) -> None:
        self._shares = shares
        self._waiting: list[tuple[int, WaitingRequest]] = []

    def add(self, request: WaitingRequest, number: int) -> None:
        """Add the request with arrival number `number`."""
        self._waiting.append((-number, request))

    def first(self, now: float) -> WaitingRequest | None:
        """Return the most urgent request, callers below their shares and newest ones first."""
        self._waiting = [waiting for waiting in self._waiting if not waiting[1].ended]
        selected = min(self._waiting, key=lambda waiting: self._key(waiting, now), default=None)
        return selected[1] if selected else None

    def _key(self, waiting: tuple[int, WaitingRequest], now: float) -> tuple[int, bool, int]:
        rank, request = waiting
        received = self._shares.admitted_for(_caller_key(request), now)
        return request.priority, received > self._shares.level, rank


class RoundRobin(NewestFirst):
    """Serves callers in turn (deficit round robin with one request per turn)."""

    def queue_of(self, pool: Pool) -> WaitingQueue:
        """Return a queue with a group for each caller."""
        return _RoundRobinQueue(_caller_key)


class StochasticFairness(NewestFirst):
    """Serves a few queues in turn, to which callers are hashed (stochastic fairness)."""

    def queue_of(self, pool: Pool) -> WaitingQueue:
        """Return a queue with a group for each hash of callers."""
        return _RoundRobinQueue(_caller_hash)


class TokensByShare(NewestFirst):
    """Serves callers that received less than their shares first, then the newest requests."""

    def queue_of(self, pool: Pool) -> WaitingQueue:
        """Return a queue that prefers callers below their shares, if the pool tracks callers."""
        return RankedQueue(self) if pool.callers is None else _BelowShareFirstQueue(pool.callers)


def _caller_key(request: WaitingRequest) -> int:
    return caller_of(request.packets[0].flow, DEFAULT_CALLER_BITS)


def _caller_hash(request: WaitingRequest) -> int:
    return crc32(request.packets[0].flow[:4]) % _STOCHASTIC_QUEUES
