"""Queue requests that find no free capacity until there is some.

Without this, when callers demand more than the upstreams can serve, the queues at the upstreams
fill, each answer takes as long as a full queue, and callers that were turned away retry at once.
The symptom is that all answers are late while upstreams turn away a third of what reaches them.
Queued at the balancer, requests are sent in the order that serves callers best, and an upstream
gets one when a slot is about to become free.
"""

from abc import ABC, abstractmethod
from heapq import heappop, heappush

from bronzekeel.core.routing.model import FlowPacket, Route
from bronzekeel.core.routing.pools import Pool
from bronzekeel.core.routing.waiting_bounds import RECHECK_INTERVAL_S, wait_s


#: Most bytes of packets that wait; beyond them requests are sent without waiting. This is an
#: eighth of the memory that a balancer may take at the size of docs/CAPACITY.md.
MAX_WAITING_BYTES = 4_000_000


class WaitingRequest:
    """Hold one waiting request: an opening packet, or the packets of a request on an open flow.

    It waits no later than `until`, a time of the monotonic clock; its caller gives it up at
    `given_up_at`. `ended` is set when it no longer waits.
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
        """Start with the first packet of a request."""
        self.packets = [packet]
        self.pool = pool
        self.priority = priority
        self.until = until
        self.given_up_at = given_up_at
        self.ended = False

    @property
    def opens(self) -> bool:
        """Whether its flow is not open yet, so that it may be refused."""
        return self.packets[0].opens

    def must_be_sent(self, now: float) -> bool:
        """Whether it is sent after its wait: its flow is open and its caller still waits for it."""
        return not self.opens and now < self.given_up_at

    @property
    def size(self) -> int:
        """Total size of its packets in bytes."""
        return sum(len(packet.raw) for packet in self.packets)


class WaitingQueue(ABC):
    """Hold the waiting requests of one pool."""

    __slots__ = ()

    @abstractmethod
    def add(self, request: WaitingRequest, number: int) -> None:
        """Add the request that arrived as the `number`th."""

    @abstractmethod
    def first(self, now: float) -> WaitingRequest | None:
        """Return the request to send next, None if none waits."""


class WaitingOrder(ABC):
    """Define which waiting request of a pool is sent first."""

    def queue_of(self, pool: Pool) -> WaitingQueue:
        """Return a new queue for a pool."""
        return RankedQueue(self)

    @abstractmethod
    def rank(self, request: WaitingRequest, number: int) -> tuple[int, int]:
        """Return the rank of the request that arrived as the `number`th; the lowest goes first."""


class NewestFirst(WaitingOrder):
    """Send the most urgent request first, and among equals the newest.

    Load pattern: more requests than slots, for seconds. With the oldest first, every request waits
    for all that arrived before it, and all answers are late. With the newest first, most answers
    are in time, and the few that are late already become later. This is the adaptive LIFO of "Fail
    at Scale" (Maurer, ACM Queue 13(8), 2015).
    """

    def rank(self, request: WaitingRequest, number: int) -> tuple[int, int]:
        """Rank by priority, then by arrival, the newest first."""
        return request.priority, -number


class RankedQueue(WaitingQueue):
    """Hold requests by ranks that are fixed on arrival."""

    __slots__ = ('_heap', '_order')

    def __init__(self, order: WaitingOrder) -> None:
        """Rank requests by `order`."""
        self._order = order
        self._heap: list[tuple[tuple[int, int], WaitingRequest]] = []

    def add(self, request: WaitingRequest, number: int) -> None:
        """Add the request that arrived as the `number`th."""
        heappush(self._heap, (self._order.rank(request, number), request))

    def first(self, now: float) -> WaitingRequest | None:
        """Return the request to send next, None if none waits."""
        while self._heap and self._heap[0][1].ended:
            heappop(self._heap)
        return self._heap[0][1] if self._heap else None


class WaitingRequests:
    """Hold the waiting requests of all pools, at most one for each flow."""

    def __init__(self, order: WaitingOrder) -> None:
        """Start empty; `order` defines which request is sent first."""
        self._order = order
        self._by_flow: dict[bytes, WaitingRequest] = {}
        self._queue_by_pool: dict[Pool, WaitingQueue] = {}
        self._by_expiry: list[tuple[float, int, WaitingRequest]] = []
        self._number = 0
        self._bytes = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._by_flow)

    @property
    def is_full(self) -> bool:
        """Whether no further request may wait."""
        return self._bytes >= MAX_WAITING_BYTES

    @property
    def next_expiry(self) -> float | None:
        """When the wait of the next request expires, None if none waits."""
        while self._by_expiry and self._by_expiry[0][2].ended:
            heappop(self._by_expiry)
        return self._by_expiry[0][0] if self._by_expiry else None

    def of_flow(self, flow: bytes) -> WaitingRequest | None:
        """Return the waiting request of a flow, None if there is none."""
        return self._by_flow.get(flow)

    def add(self, packet: FlowPacket, pool: Pool, route: Route, now: float) -> None:
        """Queue the request that `packet` begins until `pool` has free capacity."""
        pool.enqueue(now)
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
        """Add a further packet to its waiting request; retransmitted packets are dropped."""
        if packet.sequence in {other.sequence for other in request.packets}:
            return
        request.packets.append(packet)
        self._bytes += len(packet.raw)

    def end(self, request: WaitingRequest, now: float) -> None:
        """End the wait of a request."""
        request.ended = True
        request.pool.dequeue(now)
        request.pool.waiting_open -= not request.opens
        self._bytes -= request.size
        self._by_flow.pop(request.packets[0].flow)

    def pop_expired(self, now: float) -> WaitingRequest | None:
        """Remove and return the next request whose wait has expired, None if there is none."""
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
        """Remove and return a request more urgent than one that is sent despite the limit."""
        queue = self._queue_by_pool.get(request.pool)
        first = queue.first(now) if queue else None
        if first is None or first.priority >= request.priority:
            return None
        self.end(first, now)
        return first

    def pop_ready(self, now: float) -> WaitingRequest | None:
        """Remove and return the first request whose pool has free capacity, if any."""
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
        """Whether an expired request waits longer because its caller is far above its share."""
        callers = request.pool.callers
        if callers is None or not request.must_be_sent(now):
            return False
        return callers.refuses(callers.caller_of(request.packets[0].flow), now)
