"""Order waiting requests by the fair shares of their callers."""

from collections.abc import Iterator
from heapq import heappop, heappush

from bronzekeel.core.routing.caller_shares import CallerShares
from bronzekeel.core.routing.pools import Pool
from bronzekeel.core.routing.waiting import (
    NewestFirst,
    RankedQueue,
    WaitingQueue,
    WaitingRequest,
)


_Rank = tuple[int, int]
_KeyedRequest = tuple[tuple[int, int, _Rank], WaitingRequest]


class _RequestHeap:
    """Hold requests by rank: the most urgent first, and among equals the newest."""

    __slots__ = ('_heap',)

    def __init__(self) -> None:
        self._heap: list[tuple[_Rank, WaitingRequest]] = []

    @property
    def first(self) -> tuple[_Rank, WaitingRequest] | None:
        """The rank and the request at the head, None if the heap is empty."""
        while self._heap and self._heap[0][1].ended:
            heappop(self._heap)
        return self._heap[0] if self._heap else None

    def add(self, rank: _Rank, request: WaitingRequest) -> None:
        """Add a request under its rank."""
        heappush(self._heap, (rank, request))

    def pop(self) -> tuple[_Rank, WaitingRequest]:
        """Remove and return the request at the head."""
        return heappop(self._heap)

    def pop_all(self) -> Iterator[tuple[_Rank, WaitingRequest]]:
        """Remove and yield all requests, in order."""
        while self.first is not None:
            yield self.pop()


class CallerQueue(WaitingQueue):
    """Serve callers within their shares first, then those that exceed theirs the least.

    The admitted requests of a caller change while its requests wait, so its priority class is
    computed when a request is taken from the queue. Requests of callers that are not far below
    their shares are deferred into one heap for each caller. Only a bounded number of callers is
    counted, so it is cheap to choose among these heaps.
    """

    __slots__ = ('_deferred_by_caller', '_shares', '_undeferred')

    def __init__(self, shares: CallerShares) -> None:
        """Order requests by `shares`."""
        self._shares = shares
        self._undeferred = _RequestHeap()
        self._deferred_by_caller: dict[int, _RequestHeap] = {}

    def add(self, request: WaitingRequest, number: int) -> None:
        """Add the request that arrived as the `number`th."""
        self._undeferred.add((request.priority, -number), request)

    def first(self, now: float) -> WaitingRequest | None:
        """Return the request to send next, None if none waits."""
        best = self._first_deferred(now)
        head = self._undeferred.first
        while head is not None:
            keyed = self._keyed(head, now)
            if best is None or keyed[0] < best[0]:
                best = keyed
            if not keyed[0][1]:
                break
            deferred = self._deferred_by_caller.setdefault(self._caller(head[1]), _RequestHeap())
            deferred.add(*self._undeferred.pop())
            head = self._undeferred.first
        return best[1] if best else None

    def _first_deferred(self, now: float) -> _KeyedRequest | None:
        """Return the best deferred request; requeue callers that are far below their shares."""
        best: _KeyedRequest | None = None
        for caller, deferred in list(self._deferred_by_caller.items()):
            head = deferred.first
            keyed = self._keyed(head, now) if head else None
            if keyed is None or not keyed[0][1]:
                self._deferred_by_caller.pop(caller)
                self._restore(deferred)
            elif best is None or keyed[0] < best[0]:
                best = keyed
        return best

    def _restore(self, deferred: _RequestHeap) -> None:
        for rank, request in deferred.pop_all():
            self._undeferred.add(rank, request)

    def _keyed(self, ranked: tuple[_Rank, WaitingRequest], now: float) -> _KeyedRequest:
        """Return a request with its sort key: priority, its caller's priority class, rank."""
        rank, request = ranked
        return (rank[0], self._shares.priority_class(self._caller(request), now), rank), request

    def _caller(self, request: WaitingRequest) -> int:
        return self._shares.caller_of(request.packets[0].flow)


class CallerFairOrder(NewestFirst):
    """Share the capacity of pools among callers by max-min fairness.

    It applies to pools whose demand is controlled. Load pattern: one caller sends many times as
    many requests as the others, and there is too little capacity for all. With newest first alone,
    each caller gets capacity in proportion to its requests, so the others are refused as often as
    the caller that is the cause.
    """

    def queue_of(self, pool: Pool) -> WaitingQueue:
        """Return a new queue for a pool."""
        if pool.callers is None:
            return RankedQueue(self)
        return CallerQueue(pool.callers)
