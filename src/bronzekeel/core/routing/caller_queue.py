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
        self._take_back(now)
        self._set_aside(now)
        chosen = self._within.first
        chosen_key: tuple[int, int, _Rank] | None = None
        if chosen is not None:
            chosen_key = (chosen[0][0], 0, chosen[0])
        for caller, aside in self._aside_by_caller.items():
            front = aside.first
            if front is None:
                continue
            key = (front[0][0], self._shares.place(caller, now), front[0])
            if chosen_key is None or key < chosen_key:
                chosen = front
                chosen_key = key
        return chosen[1] if chosen else None

    def _take_back(self, now: float) -> None:
        """Join the requests of callers that are within their shares again with the others."""
        for caller, aside in list(self._aside_by_caller.items()):
            if aside.first is not None and self._shares.place(caller, now):
                continue
            self._aside_by_caller.pop(caller)
            for rank, request in aside.take_all():
                self._within.add(rank, request)

    def _set_aside(self, now: float) -> None:
        """Set the requests in front aside until one is of a caller within its share."""
        front = self._within.first
        while front is not None:
            caller = self._shares.caller_of(front[1].packets[0].flow)
            if not self._shares.place(caller, now):
                return
            aside = self._aside_by_caller.setdefault(caller, _Ordered())
            aside.add(*self._within.pop())
            front = self._within.first


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
