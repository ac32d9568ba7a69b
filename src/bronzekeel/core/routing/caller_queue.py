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
_Placed = tuple[tuple[int, int, _Rank], WaitingRequest]


class _Ordered:
    """Hold requests by urgency, then the newest first."""

    __slots__ = ('_heap',)

    def __init__(self) -> None:
        self._heap: list[tuple[_Rank, WaitingRequest]] = []

    @property
    def first(self) -> tuple[_Rank, WaitingRequest] | None:
        """The rank and the request in front, None if none waits."""
        while self._heap and self._heap[0][1].ended:
            heappop(self._heap)
        return self._heap[0] if self._heap else None

    def add(self, rank: _Rank, request: WaitingRequest) -> None:
        """Take a request."""
        heappush(self._heap, (rank, request))

    def pop(self) -> tuple[_Rank, WaitingRequest]:
        """Take the request in front out."""
        return heappop(self._heap)

    def take_all(self) -> Iterator[tuple[_Rank, WaitingRequest]]:
        """Take all requests out."""
        while self.first is not None:
            yield self.pop()


class CallerQueue(WaitingQueue):
    """Let callers within their shares go first, then those that are the least beyond.

    What a caller was given changes while its requests wait, so it is looked up when a request
    is taken.  Those of callers that are not far below their shares are set aside, a heap each:
    counted callers are few, so the choice among them is cheap.
    """

    __slots__ = ('_aside_by_caller', '_shares', '_within')

    def __init__(self, shares: CallerShares) -> None:
        """Order by `shares`."""
        self._shares = shares
        self._within = _Ordered()
        self._aside_by_caller: dict[int, _Ordered] = {}

    def add(self, request: WaitingRequest, number: int) -> None:
        """Take the request that came as the `number`th."""
        self._within.add((request.priority, -number), request)

    def first(self, now: float) -> WaitingRequest | None:
        """Return the request that goes on first, None if none waits."""
        best = self._first_aside(now)
        front = self._within.first
        while front is not None:
            placed = self._placed(front, now)
            if best is None or placed[0] < best[0]:
                best = placed
            if not placed[0][1]:
                break
            aside = self._aside_by_caller.setdefault(self._caller(front[1]), _Ordered())
            aside.add(*self._within.pop())
            front = self._within.first
        return best[1] if best else None

    def _first_aside(self, now: float) -> _Placed | None:
        """Return the first that was set aside; join those that need not be with the others."""
        best: _Placed | None = None
        for caller, aside in list(self._aside_by_caller.items()):
            front = aside.first
            placed = self._placed(front, now) if front else None
            if placed is None or not placed[0][1]:
                self._aside_by_caller.pop(caller)
                self._take_back(aside)
            elif best is None or placed[0] < best[0]:
                best = placed
        return best

    def _take_back(self, aside: _Ordered) -> None:
        for rank, request in aside.take_all():
            self._within.add(rank, request)

    def _placed(self, ranked: tuple[_Rank, WaitingRequest], now: float) -> _Placed:
        """Return a request with its priority, its caller's place, and its rank."""
        rank, request = ranked
        return (rank[0], self._shares.place(self._caller(request), now), rank), request

    def _caller(self, request: WaitingRequest) -> int:
        return self._shares.caller_of(request.packets[0].flow)


class SharedAmongCallers(NewestFirst):
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
