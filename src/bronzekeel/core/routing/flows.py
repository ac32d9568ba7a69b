"""Remember for a while what callers' packets show of their flows.

Forwarding needs none of this: a packet's connection id names its upstream.
What is remembered tells how busy an upstream is, whether it answers opening
packets, and whether a caller repeats itself in vain.  All of it may be lost.
"""

from collections import OrderedDict

from bronzekeel.core.routing.answer_counts import AnswerCounts, PendingRequest
from bronzekeel.core.routing.flow_lengths import FlowLengths
from bronzekeel.core.routing.histograms import Histogram
from bronzekeel.core.routing.model import FlowPacket, Upstream
from bronzekeel.core.routing.pools import LEAST_PATIENCE_S


#: Seconds after which a request in progress no longer counts as load when
#: nothing shows its end.  Source: eight times the mean work of the users'
#: longest kind of request.
BUSY_S = 0.5

#: Flows that are remembered at most; beyond it one leaves for each that comes.
#: Source: at the size of docs/CAPACITY.md a host has 6,970 flows; at about
#: 300 bytes each, four times as many stay below 10 MB.
MOST_FLOWS = 28_000

#: Seconds for which an upstream gets no new flows after an opening packet that it left
#: unanswered.  Source: an opening packet is repeated after 0.2 and 0.6 s; a repeat must find
#: the upstream of the packet before it still avoided.
AVOID_S = 0.5

#: How many times longer that is after each further one in a row.  Source: two in a row are seldom
#: lost by chance, and the entry of an upstream that crashed lapses after two seconds.
AVOID_FACTOR = 4

#: Seconds that an upstream is avoided at most before it is tried again.
MOST_AVOID_S = 4.0

_MOST_GROWTH = 3

#: Where the address and port of the route begin in a flow's key.
_ROUTE_PLACE = 6

#: Flows that one call of ``expire`` looks at: some, and a share of all.
#: Source: called each tenth of a second it has seen all after six seconds,
#: well within the time that a silent flow is remembered.
_SWEPT_FLOWS = 64
_SWEEPS = 64


def avoid_s(unanswered: int) -> float:
    """Return the seconds without new flows after so many unanswered opening packets in a row."""
    return min(AVOID_S * AVOID_FACTOR ** min(unanswered - 1, _MOST_GROWTH), MOST_AVOID_S)


class Flow:
    """Hold what was seen of one flow.

    `answered` tells that the caller got an answer of `upstream`; `repeats`
    counts how often the caller sent its newest bytes again; `live` that the
    flow is remembered; `unanswered` that its opening packet was taken for that.
    `busy` tells that a request is in progress, `in_pool` that it takes room in its
    upstream's pool.
    """

    __slots__ = (
        'acknowledged',
        'answered',
        'asked_at',
        'busy',
        'closed',
        'in_pool',
        'key',
        'live',
        'opened_at',
        'repeats',
        'seen_at',
        'sequence',
        'unanswered',
        'upstream',
    )

    def __init__(self, key: bytes, upstream: Upstream | None, now: float) -> None:
        """Start with a flow of which the first packet is seen."""
        self.key = key
        self.live = True
        self.upstream = upstream
        self.opened_at = now
        self.seen_at = now
        self.asked_at: float = 0
        self.sequence = -1
        self.acknowledged = -1
        self.repeats = 0
        self.answered = False
        self.unanswered = False
        self.busy = False
        self.in_pool = False
        self.closed = False


class FlowTable:
    """Hold the flows that were seen of late.

    `answers` counts the times from requests to the acknowledgements of their
    answers, `lengths` how many requests flows carry, `requests_by_service` the requests, new
    flows too.  Some upstream answered an opening packet at `heard_at`, and one was found not to
    at `silent_at`.
    """

    def __init__(self, counts: AnswerCounts | None = None) -> None:
        """Start with none; `counts` takes the answers where demand is controlled."""
        self._counts = counts or AnswerCounts()
        self._by_key: OrderedDict[bytes, Flow] = OrderedDict()
        self._busy_by_key: OrderedDict[bytes, Flow] = OrderedDict()
        self._opening_by_key: OrderedDict[bytes, Flow] = OrderedDict()
        self.answers = Histogram()
        self.lengths = FlowLengths()
        self.heard_at: float = 0
        self.silent_at: float = 0
        self.requests_by_service: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of flows that are remembered."""
        return len(self._by_key)

    def find(self, key: bytes) -> Flow | None:
        """Return a flow, None when it is not remembered."""
        return self._by_key.get(key)

    def place(self, key: bytes, upstream: Upstream, now: float) -> None:
        """Note that an opening packet goes to `upstream`."""
        self.drop(key)
        flow = Flow(key, upstream, now)
        upstream.open_flows += 1
        self._by_key[key] = flow
        self.lengths.note_opening(key)
        self._mark_busy(flow, now)
        self._opening_by_key[key] = flow
        if len(self._by_key) > MOST_FLOWS:
            self.drop(next(iter(self._by_key)))

    def see(self, packet: FlowPacket, upstream: Upstream | None, now: float) -> Flow:
        """Note a packet of an open flow; return the flow."""
        flow = self._by_key.get(packet.flow)
        if flow is None or flow.upstream is not upstream:
            opened_here = flow is not None and not flow.answered
            flow = self._adopt(packet.flow, upstream, now)
            flow.answered = not opened_here
        elif not flow.answered and upstream is not None:
            upstream.pool.note_way(now - flow.opened_at)
        if not flow.answered:
            flow.answered = True
            self._opening_by_key.pop(flow.key, None)
            self.heard_at = now
            _note_answered(upstream, now)
        asks = packet.payload_bytes > 0 or packet.closes
        self.step(flow, now, packet.sequence, packet.acknowledged, asks)
        if packet.closes:
            self._mark_idle(flow)
            _close(flow)
        return flow

    def step(
        self,
        flow: Flow,
        now: float,
        sequence: int,
        acknowledged: int,
        asks: bool,  # noqa: FBT001 (called for each packet, by place)
    ) -> None:
        """Note one more packet of a flow; `asks` if it has bytes of a request.

        A host sees the callers' half only: bytes sent are a request, and an
        acknowledgement that moved on is its answer.
        """
        flow.seen_at = now
        if acknowledged != flow.acknowledged:
            flow.acknowledged = acknowledged
            flow.repeats = 0
            if flow.busy:
                self._note_answer(flow, now)
        if not asks:
            return
        if sequence == flow.sequence:
            flow.repeats += 1
            return
        flow.sequence = sequence
        self._mark_busy(flow, now)

    def note_unanswered(self, flow: Flow, now: float) -> None:
        """Note that the flow's upstream left its opening packet unanswered."""
        upstream = flow.upstream
        if upstream is None or flow.answered or flow.unanswered:
            return
        flow.unanswered = True
        upstream.unanswered += 1
        self.silent_at = now
        upstream.silent_until = now + avoid_s(upstream.unanswered)
        upstream.avoided_until = max(upstream.avoided_until, upstream.silent_until)

    def drop(self, key: bytes) -> None:
        """Forget a flow."""
        flow = self._by_key.pop(key, None)
        if flow is None:
            return
        flow.live = False
        self._mark_idle(flow)
        _close(flow)

    def drop_of(self, upstream: Upstream) -> None:
        """Forget the flows of an upstream that no longer holds them."""
        held = [key for key, flow in self._by_key.items() if flow.upstream is upstream]
        for key in held:
            self.drop(key)

    def expire_openings(self, now: float) -> None:
        """Take opening packets that nothing followed for unanswered.

        What goes wrong without it: an upstream crashes and resets whatever comes; it looks
        idle, and callers who try again at once meet it again and again until its entry lapses.
        And after all balancers were dark, flows that callers have given up take the room of
        living ones.  One notices by callers that fail while most upstreams are well, and by
        a limit that is reached for half a second after a start.
        """
        for opening in _older(self._opening_by_key, now - LEAST_PATIENCE_S):
            if (
                opening.upstream is None
                or now < opening.opened_at + opening.upstream.pool.patience_s
            ):
                continue
            self._opening_by_key.pop(opening.key)
            _leave_pool(opening)
            self.note_unanswered(opening, now)

    def pending_requests(self) -> list[PendingRequest]:
        """Return the requests in progress at upstreams whose demand is controlled."""
        pending: list[PendingRequest] = []
        for flow in self._busy_by_key.values():
            upstream = flow.upstream
            if upstream is None or not upstream.pool.controlled or flow.sequence < 0:
                continue
            pending.append(PendingRequest(upstream, flow.key[_ROUTE_PLACE:], flow.asked_at))
        return pending

    def expire(self, idle_s: float, now: float) -> None:
        """Forget silent flows, and requests whose end was not seen."""
        self.expire_openings(now)
        for flow in _older(self._busy_by_key, now - BUSY_S):
            if flow.upstream is not None:
                self._count(flow, flow.upstream, now)
            self._mark_idle(flow)
        for _ in range(min(len(self._by_key), _SWEPT_FLOWS + len(self._by_key) // _SWEEPS)):
            key = next(iter(self._by_key))
            if now < self._by_key[key].seen_at + idle_s:
                self._by_key.move_to_end(key)
                continue
            self.drop(key)

    def _adopt(self, key: bytes, upstream: Upstream | None, now: float) -> Flow:
        """Remember a flow that another balancer opened."""
        self.drop(key)
        flow = Flow(key, upstream, now)
        flow.answered = True
        if upstream is not None:
            upstream.open_flows += 1
        self._by_key[key] = flow
        return flow

    def _note_answer(self, flow: Flow, now: float) -> None:
        self.answers.observe(now - flow.asked_at)
        if flow.upstream is not None:
            flow.upstream.pool.answered += 1
            self._count(flow, flow.upstream, now)
        self._mark_idle(flow)

    def _count(self, flow: Flow, upstream: Upstream, now: float) -> None:
        """Count an answer, or that none came for long; an opening packet asks for no work."""
        if upstream.pool.controlled and flow.sequence >= 0:
            self._counts.note(upstream, flow.key[_ROUTE_PLACE:], flow.asked_at, now)

    def _mark_busy(self, flow: Flow, now: float) -> None:
        flow.asked_at = now
        self._busy_by_key[flow.key] = flow
        self._busy_by_key.move_to_end(flow.key)
        _enter_pool(flow)
        if not flow.busy and flow.upstream is not None:
            flow.busy = True
            flow.upstream.busy_flows += 1
            flow.upstream.asked += 1
            if flow.upstream.pool.callers is not None:
                flow.upstream.pool.callers.note(flow.key, now, admitted=True)
            self.lengths.note_request(flow.key)
            service = flow.upstream.entry.service
            self.requests_by_service[service] = self.requests_by_service.get(service, 0) + 1

    def _mark_idle(self, flow: Flow) -> None:
        self._busy_by_key.pop(flow.key, None)
        self._opening_by_key.pop(flow.key, None)
        _leave_pool(flow)
        if flow.busy and flow.upstream is not None:
            flow.busy = False
            flow.upstream.busy_flows -= 1


def _older(by_key: OrderedDict[bytes, Flow], asked_until: float) -> list[Flow]:
    """Return the flows in front whose last request was asked until then."""
    older = []
    for flow in by_key.values():
        if flow.asked_at > asked_until:
            break
        older.append(flow)
    return older


def _enter_pool(flow: Flow) -> None:
    """Let a request in progress take room."""
    if not flow.in_pool and flow.upstream is not None:
        flow.in_pool = True
        flow.upstream.pool.busy += 1


def _leave_pool(flow: Flow) -> None:
    if flow.in_pool and flow.upstream is not None:
        flow.in_pool = False
        flow.upstream.pool.busy -= 1


def _close(flow: Flow) -> None:
    """Count a flow as open no longer."""
    if not flow.closed and flow.upstream is not None:
        flow.upstream.open_flows -= 1
    flow.closed = True


def _note_answered(upstream: Upstream | None, now: float) -> None:
    """Note that an upstream answered an opening packet."""
    if upstream is not None:
        upstream.answered_at = now
        upstream.unanswered = 0
        upstream.avoided_until = 0
        upstream.silent_until = 0
