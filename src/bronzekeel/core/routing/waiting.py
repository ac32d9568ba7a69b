"""Hold requests that found no room until there is some.

What goes wrong without it: callers ask for more than the upstreams can do.  Queues at the
upstreams fill, each answer takes as long as a full queue, and those that found it full
ask again at once.  One notices by answers that are all late while upstreams turn away
a third of what reaches them.  Held here, requests go on in the order that serves callers
best, and an upstream gets one when it is about to have a slot.
"""

from abc import ABC, abstractmethod
from heapq import heappop, heappush

from bronzekeel.core.routing.model import FlowPacket, Route
from bronzekeel.core.routing.pools import Pool
from bronzekeel.core.routing.waiting_bounds import RECHECK_INTERVAL_S, wait_s


#: Bytes of packets that wait at most; beyond them requests go on without waiting.  Source: an
#: eighth of the memory that a balancer may take at the size of docs/CAPACITY.md.
MAX_WAITING_BYTES = 4_000_000


class WaitingRequest:
    """Hold one request that waits: an opening packet, or the packets of a request on a flow.

    It waits until `until`, a moment of the steady clock, at most; its caller gives it up at
    `given_up_at`.  `ended` tells that it no longer waits.
    """

    __slots__ = ('ended', 'given_up_at', 'packets', 'pool', 'priority', 'until')

    def __init__(
        self,
        packet: FlowPacket,
        pool: Pool,
        priority: int,
        until: float,
        given_up_at: float,
    ) -> None:
        """Wait with the first packet of a request."""
        self.packets = [packet]
        self.pool = pool
        self.priority = priority
        self.until = until
        self.given_up_at = given_up_at
        self.ended = False

    @property
    def opens(self) -> bool:
        """Whether its flow is not open yet, and may be refused."""
        return self.packets[0].opens

    def must_be_sent(self, now: float) -> bool:
        """Whether it is sent on after its wait: it cannot be refused and is wanted still."""
        return not self.opens and now < self.given_up_at

    @property
    def size(self) -> int:
        """Bytes of its packets."""
        return sum(len(packet.raw) for packet in self.packets)


class WaitingQueue(ABC):
    """Hold the requests that wait for one pool."""

    __slots__ = ()

    @abstractmethod
    def add(self, request: WaitingRequest, number: int) -> None:
        """Take the request that came as the `number`th."""

    @abstractmethod
    def first(self, now: float) -> WaitingRequest | None:
        """Return the request that goes on first, None if none waits."""


class WaitingOrder(ABC):
    """Say which of the waiting requests of a pool goes on first."""

    def queue_of(self, pool: Pool) -> WaitingQueue:
        """Return the queue of a pool that none waits for yet."""
        return RankedQueue(self)

    @abstractmethod
    def rank(self, request: WaitingRequest, number: int) -> tuple[int, int]:
        """Return the place of the request that came as the `number`th; the smallest goes first."""


class NewestFirst(WaitingOrder):
    """Let the most urgent go first, and of equals the newest.

    Load pattern: more requests than slots, for seconds.  Oldest first, every request waits
    as long as all that came before it, and all answers are late; newest first, most are in
    time, and the few that are late already become later.  The published source is "Fail
    at Scale" (Maurer, ACM Queue 13(8), 2015), which calls it adaptive LIFO.
    """

    def rank(self, request: WaitingRequest, number: int) -> tuple[int, int]:
        """Rank by priority, then by who came last."""
        return request.priority, -number


class RankedQueue(WaitingQueue):
    """Hold requests by ranks that stay as they are from when they come."""

    __slots__ = ('_heap', '_order')

    def __init__(self, order: WaitingOrder) -> None:
        """Rank requests by `order`."""
        self._order = order
        self._heap: list[tuple[tuple[int, int], WaitingRequest]] = []

    def add(self, request: WaitingRequest, number: int) -> None:
        """Take the request that came as the `number`th."""
        heappush(self._heap, (self._order.rank(request, number), request))

    def first(self, now: float) -> WaitingRequest | None:
        """Return the request that goes on first, None if none waits."""
        while self._heap and self._heap[0][1].ended:
            heappop(self._heap)
        return self._heap[0][1] if self._heap else None


class WaitingRequests:
    """Hold the waiting requests of all pools; of each flow one request waits at most."""

    def __init__(self, order: WaitingOrder) -> None:
        """Start with none; `order` says who goes on first."""
        self._order = order
        self._by_flow: dict[bytes, WaitingRequest] = {}
        self._queue_by_pool: dict[Pool, WaitingQueue] = {}
        self._by_expiry: list[tuple[float, int, WaitingRequest]] = []
        self._number = 0
        self._bytes = 0

    def __len__(self) -> int:
        """Return the number of requests that wait."""
        return len(self._by_flow)

    @property
    def is_full(self) -> bool:
        """Whether no further request may wait."""
        return self._bytes >= MAX_WAITING_BYTES

    @property
    def next_expiry(self) -> float | None:
        """When the next of them has waited long enough, None if none waits."""
        while self._by_expiry and self._by_expiry[0][2].ended:
            heappop(self._by_expiry)
        return self._by_expiry[0][0] if self._by_expiry else None

    def of_flow(self, flow: bytes) -> WaitingRequest | None:
        """Return the request of a flow that waits, None if none does."""
        return self._by_flow.get(flow)

    def add(self, packet: FlowPacket, pool: Pool, route: Route, now: float) -> None:
        """Let the request that `packet` begins wait for room in `pool`."""
        pool.enter(now)
        if pool.callers is not None:
            pool.callers.note_shortage(now)
        until = now + wait_s(packet, pool, route, now)
        request = WaitingRequest(packet, pool, route.priority, until, now + route.timeout_s)
        pool.waiting_open += not request.opens
        self._by_flow[packet.flow] = request
        self._bytes += request.size
        if pool not in self._queue_by_pool:
            self._queue_by_pool[pool] = self._order.queue_of(pool)
        self._push_expiry(request)
        self._queue_by_pool[pool].add(request, self._number)

    def join(self, request: WaitingRequest, packet: FlowPacket) -> None:
        """Let a further packet wait with its request; repeats of a packet are dropped."""
        if packet.sequence in {other.sequence for other in request.packets}:
            return
        request.packets.append(packet)
        self._bytes += len(packet.raw)

    def end(self, request: WaitingRequest, now: float) -> None:
        """Let a request wait no longer."""
        request.ended = True
        request.pool.leave(now)
        request.pool.waiting_open -= not request.opens
        self._bytes -= request.size
        self._by_flow.pop(request.packets[0].flow)

    def pop_expired(self, now: float) -> WaitingRequest | None:
        """Take out the next request that has waited long enough, None if none has."""
        end = self.next_expiry
        while end is not None and now >= end:
            request = heappop(self._by_expiry)[2]
            if not self._keeps_waiting(request, now):
                self.end(request, now)
                return request
            request.until = min(now + RECHECK_INTERVAL_S, request.given_up_at)
            self._push_expiry(request)
            end = self.next_expiry
        return None

    def pop_more_urgent(self, request: WaitingRequest, now: float) -> WaitingRequest | None:
        """Take out the first that is more urgent than one that goes on before there is room."""
        queue = self._queue_by_pool.get(request.pool)
        first = queue.first(now) if queue else None
        if first is None or first.priority >= request.priority:
            return None
        self.end(first, now)
        return first

    def pop_ready(self, now: float) -> WaitingRequest | None:
        """Take out the first request that has room by now, None if none has."""
        for pool, queue in list(self._queue_by_pool.items()):
            if not pool.waiting:
                self._queue_by_pool.pop(pool)
                continue
            if pool.busy >= pool.limit:
                continue
            request = queue.first(now)
            if request is None:
                self._queue_by_pool.pop(pool)
                continue
            self.end(request, now)
            return request
        return None

    def _push_expiry(self, request: WaitingRequest) -> None:
        self._number += 1
        heappush(self._by_expiry, (request.until, self._number, request))

    def _keeps_waiting(self, request: WaitingRequest, now: float) -> bool:
        """Whether a request that is to go on waits longer: its caller is far above its share."""
        callers = request.pool.callers
        if callers is None or not request.must_be_sent(now):
            return False
        return callers.refuses(callers.caller_of(request.packets[0].flow), now)
