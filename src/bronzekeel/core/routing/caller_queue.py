"""Order the requests that wait by their callers' shares."""

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
_Classed = tuple[tuple[int, int, _Rank], WaitingRequest]


class _RequestHeap:
    """Hold requests by urgency, then the newest first."""

    __slots__ = ('_heap',)

    def __init__(self) -> None:
        self._heap: list[tuple[_Rank, WaitingRequest]] = []

    @property
    def first(self) -> tuple[_Rank, WaitingRequest] | None:
        """The rank and the request in head, None if none waits."""
        while self._heap and self._heap[0][1].ended:
            heappop(self._heap)
        return self._heap[0] if self._heap else None

    def add(self, rank: _Rank, request: WaitingRequest) -> None:
        """Take a request."""
        heappush(self._heap, (rank, request))

    def pop(self) -> tuple[_Rank, WaitingRequest]:
        """Take the request in head out."""
        return heappop(self._heap)

    def pop_all(self) -> Iterator[tuple[_Rank, WaitingRequest]]:
        """Take all requests out."""
        while self.first is not None:
            yield self.pop()


class CallerQueue(WaitingQueue):
    """Let callers within their shares go first, then those that are the least beyond.

    What a caller was given changes while its requests wait, so it is looked up when a request
    is taken.  Those of callers that are not far below their shares are set deferred, a heap each:
    counted callers are few, so the choice among them is cheap.
    """

    __slots__ = ('_deferred_by_caller', '_shares', '_undeferred')

    def __init__(self, shares: CallerShares) -> None:
        """Order by `shares`."""
        self._shares = shares
        self._undeferred = _RequestHeap()
        self._deferred_by_caller: dict[int, _RequestHeap] = {}

    def add(self, request: WaitingRequest, number: int) -> None:
        """Take the request that came as the `number`th."""
        self._undeferred.add((request.priority, -number), request)

    def first(self, now: float) -> WaitingRequest | None:
        """Return the request that goes on first, None if none waits."""
        best = self._first_deferred(now)
        head = self._undeferred.first
        while head is not None:
            classed = self._with_class(head, now)
            if best is None or classed[0] < best[0]:
                best = classed
            if not classed[0][1]:
                break
            deferred = self._deferred_by_caller.setdefault(self._caller(head[1]), _RequestHeap())
            deferred.add(*self._undeferred.pop())
            head = self._undeferred.first
        return best[1] if best else None

    def _first_deferred(self, now: float) -> _Classed | None:
        """Return the first that was set deferred; join those that need not be with the others."""
        best: _Classed | None = None
        for caller, deferred in list(self._deferred_by_caller.items()):
            head = deferred.first
            classed = self._with_class(head, now) if head else None
            if classed is None or not classed[0][1]:
                self._deferred_by_caller.pop(caller)
                self._restore(deferred)
            elif best is None or classed[0] < best[0]:
                best = classed
        return best

    def _restore(self, deferred: _RequestHeap) -> None:
        for rank, request in deferred.pop_all():
            self._undeferred.add(rank, request)

    def _with_class(self, ranked: tuple[_Rank, WaitingRequest], now: float) -> _Classed:
        """Return a request with its priority, its caller's place, and its rank."""
        rank, request = ranked
        return (rank[0], self._shares.priority_class(self._caller(request), now), rank), request

    def _caller(self, request: WaitingRequest) -> int:
        return self._shares.caller_of(request.packets[0].flow)


class CallerFairOrder(NewestFirst):
    """Share the room of pools whose demand is controlled among callers, max-min.

    Load pattern: one caller asks for many times what the others do, and there is too little room
    for all.  Newest first alone gives each caller as much of the room as it has of the
    requests: the others are refused as often as the one that is the cause.
    """

    def queue_of(self, pool: Pool) -> WaitingQueue:
        """Return the queue of a pool that none waits for yet."""
        if pool.callers is None:
            return RankedQueue(self)
        return CallerQueue(pool.callers)
