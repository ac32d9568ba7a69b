"""State of requests in progress and of the slots of upstreams."""

from collections import deque
from dataclasses import dataclass, field
from enum import IntEnum
from heapq import heappop, heappush


class Phase(IntEnum):
    """Phase of a request, in the order of its progress; only a retry goes back, to WAITING."""

    RESERVED = 0
    WAITING = 1
    RUNNING = 2
    ENDED = 3


@dataclass(slots=True)
class Request:
    """A request whose id this balancer issued."""

    request: str
    service: str
    deadline: float
    phase: Phase = Phase.RESERVED
    group: str = ''
    idempotent: bool = False
    upstream: str = ''
    keeper: str = ''
    attempts: int = 0
    ask_at: float = 0
    avoid: tuple[str, ...] = ()
    forget_at: float = 0


@dataclass(slots=True)
class QueuedAsk:
    """A request for a slot that is queued at the slot keeper."""

    sender: str
    request: str
    group: str
    avoid: tuple[str, ...]
    give_up_at: float


@dataclass(slots=True)
class Slots:
    """A service's queues, one per group, and the slots granted from them.

    `group_rotation` is the round-robin order of the groups; `expiry_by_holder` maps
    a request and its upstream to the time at which the slot expires;
    `grants_by_endpoint` counts grants, for fairness between upstreams.
    """

    queue_by_group: dict[str, deque[QueuedAsk]] = field(default_factory=dict)
    group_rotation: deque[str] = field(default_factory=deque)
    queued: int = 0
    expiry_by_holder: dict[tuple[str, str], float] = field(default_factory=dict)
    used_by_endpoint: dict[str, int] = field(default_factory=dict)
    grants_by_endpoint: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class Requests:
    """State of the requests domain of one balancer.

    `at_most_once` is disabled only by a test that shows the failure it prevents.
    """

    by_id: dict[str, Request] = field(default_factory=dict)
    active_by_id: dict[str, Request] = field(default_factory=dict)
    expiry_heap: list[tuple[float, str]] = field(default_factory=list)
    slots_by_service: dict[str, Slots] = field(default_factory=dict)
    retry_budget_by_service: dict[str, float] = field(default_factory=dict)
    down_by_sender: dict[str, tuple[frozenset[str], float]] = field(default_factory=dict)
    attempts_by_endpoint: dict[str, int] = field(default_factory=dict)
    announced_down: frozenset[str] = frozenset()
    announce_at: float = 0
    check_at: float = 0
    required: frozenset[str] = frozenset()
    issued: int = 0
    at_most_once: bool = True

    @property
    def in_progress(self) -> bool:
        """Whether a request is waiting or running here."""
        return bool(self.active_by_id)

    def add(self, request: Request) -> None:
        """Remember a request until its `forget_at`."""
        self.by_id[request.request] = request
        heappush(self.expiry_heap, (request.forget_at, request.request))

    def begin(self, request: Request) -> None:
        """Count a request as in progress."""
        request.phase = Phase.WAITING
        self.active_by_id[request.request] = request

    def end(self, request: Request) -> None:
        """End a request permanently; its id is remembered until its `forget_at`."""
        request.phase = Phase.ENDED
        self.active_by_id.pop(request.request, None)

    def forget(self, now: float) -> None:
        """Remove the requests past their `forget_at`, except those still in progress."""
        while self.expiry_heap and self.expiry_heap[0][0] <= now:
            _, request_id = heappop(self.expiry_heap)
            request = self.active_by_id.get(request_id)
            if request is None:
                self.by_id.pop(request_id, None)
                continue
            request.forget_at = now + 1
            heappush(self.expiry_heap, (request.forget_at, request_id))
