"""Track flows by what callers' packets show of them.

Forwarding does not depend on this state, because a packet's connection id names
its upstream.  The state shows how busy an upstream is, whether it answers
opening packets, and whether a caller repeats packets without an answer.  Losing
it breaks no flow.
"""

from collections import OrderedDict

from bronzekeel.core.routing.answer_counts import AnswerCounts, PendingRequest
from bronzekeel.core.routing.flow_lengths import FlowLengths
from bronzekeel.core.routing.histograms import Histogram
from bronzekeel.core.routing.model import FlowPacket, Upstream
from bronzekeel.core.routing.pools import MIN_ANSWER_TIMEOUT_S


#: Seconds after which a request whose end was not seen no longer counts as load:
#: eight times the mean processing time of the users' longest kind of request.
BUSY_TIMEOUT_S = 0.5

#: Limit on tracked flows, beyond which each new flow evicts another.  A host of
#: the size in docs/CAPACITY.md has 6,970 flows; four times as many, at about
#: 300 bytes each, take less than 10 MB.
MAX_FLOWS = 28_000

#: Seconds for which an upstream gets no new flows after it left an opening packet unanswered.
#: Callers repeat an opening packet after 0.2 and 0.6 s, and the upstream of the previous packet
#: must still be avoided when a repeat arrives.
AVOID_S = 0.5

#: Factor by which that time grows with each further unanswered packet in a row.  Two in a row are
#: rarely lost by chance, and the entry of a crashed upstream lapses after two seconds.
AVOID_FACTOR = 4

#: Longest time in seconds for which an upstream is avoided before it is tried again.
MAX_AVOID_S = 4.0

_MAX_GROWTH = 3

#: Offset of the route's address and port in a flow's key.
_ROUTE_OFFSET = 6

#: Flows that one call of ``expire`` checks: a minimum, and a fraction of all
#: flows.  Called every tenth of a second, it has checked all flows after six
#: seconds, well within the time that an idle flow is tracked.
_MIN_SWEPT_FLOWS = 64
_SWEEP_DIVISOR = 64


def avoid_s(unanswered: int) -> float:
    """Return how many seconds to avoid an upstream with this many unanswered openings in a row."""
    return min(AVOID_S * AVOID_FACTOR ** min(unanswered - 1, _MAX_GROWTH), MAX_AVOID_S)


class Flow:
    """Hold what was seen of one flow.

    `answered` is set once the caller got an answer from `upstream`, `unanswered` if the opening
    packet is considered unanswered, and `live` while the flow is tracked.  `repeats` counts how
    often the caller has repeated its newest bytes.  `busy` is set while a request is in progress,
    `in_pool` while that request counts toward the load of its upstream's pool.
    """

    __slots__ = (
        'acknowledged',
        'answered',
        'busy',
        'closed',
        'in_pool',
        'key',
        'live',
        'opened_at',
        'repeats',
        'requested_at',
        'seen_at',
        'sequence',
        'unanswered',
        'upstream',
    )

    def __init__(self, key: bytes, upstream: Upstream | None, now: float) -> None:
        """Track a flow from the first packet that was seen of it."""
        self.key = key
        self.live = True
        self.upstream = upstream
        self.opened_at = now
        self.seen_at = now
        self.requested_at: float = 0
        self.sequence = -1
        self.acknowledged = -1
        self.repeats = 0
        self.answered = False
        self.unanswered = False
        self.busy = False
        self.in_pool = False
        self.closed = False


class FlowTable:
    """Hold the flows that were seen recently.

    `answers` counts the times from requests to the acknowledgements of their answers, `lengths`
    how many requests flows carry, and `requests_by_service` the requests, opening packets
    included.  `last_answer_at` is when any upstream last answered an opening packet, and
    `unresponsive_at` when one was last found to have left an opening packet unanswered.
    """

    def __init__(self, counts: AnswerCounts | None = None) -> None:
        """Start with none; `counts` records the answers where demand is controlled."""
        self._counts = counts or AnswerCounts()
        self._by_key: OrderedDict[bytes, Flow] = OrderedDict()
        self._busy_by_key: OrderedDict[bytes, Flow] = OrderedDict()
        self._opening_by_key: OrderedDict[bytes, Flow] = OrderedDict()
        self.answers = Histogram()
        self.lengths = FlowLengths()
        self.last_answer_at: float = 0
        self.unresponsive_at: float = 0
        self.requests_by_service: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of tracked flows."""
        return len(self._by_key)

    def find(self, key: bytes) -> Flow | None:
        """Return a flow, None if it is not tracked."""
        return self._by_key.get(key)

    def place(self, key: bytes, upstream: Upstream, now: float) -> None:
        """Track a new flow whose opening packet goes to `upstream`."""
        self.drop(key)
        flow = Flow(key, upstream, now)
        upstream.open_flows += 1
        self._by_key[key] = flow
        self.lengths.note_opening(key)
        self._mark_busy(flow, now)
        self._opening_by_key[key] = flow
        if len(self._by_key) > MAX_FLOWS:
            self.drop(next(iter(self._by_key)))

    def note_packet(self, packet: FlowPacket, upstream: Upstream | None, now: float) -> Flow:
        """Record a packet of an open flow; return the flow."""
        flow = self._by_key.get(packet.flow)
        if flow is None or flow.upstream is not upstream:
            opened_here = flow is not None and not flow.answered
            flow = self._adopt(packet.flow, upstream, now)
            flow.answered = not opened_here
        elif not flow.answered and upstream is not None:
            upstream.pool.note_rtt(now - flow.opened_at)
        if not flow.answered:
            flow.answered = True
            self._opening_by_key.pop(flow.key, None)
            self.last_answer_at = now
            _note_answered(upstream, now)
        has_request = packet.payload_bytes > 0 or packet.closes
        self.advance(flow, now, packet.sequence, packet.acknowledged, has_request)
        if packet.closes:
            self._mark_idle(flow)
            _close(flow)
        return flow

    def advance(
        self,
        flow: Flow,
        now: float,
        sequence: int,
        acknowledged: int,
        has_request: bool,  # noqa: FBT001 (called for each packet, by place)
    ) -> None:
        """Record a further packet of a flow; `has_request` if it carries bytes of a request.

        A host sees only the packets from callers: new bytes are a request, and
        an acknowledgement that advances shows the answer to it.
        """
        flow.seen_at = now
        if acknowledged != flow.acknowledged:
            flow.acknowledged = acknowledged
            flow.repeats = 0
            if flow.busy:
                self._note_answer(flow, now)
        if not has_request:
            return
        if sequence == flow.sequence:
            flow.repeats += 1
            return
        flow.sequence = sequence
        self._mark_busy(flow, now)

    def note_unanswered(self, flow: Flow, now: float) -> None:
        """Record that the flow's upstream left its opening packet unanswered."""
        upstream = flow.upstream
        if upstream is None or flow.answered or flow.unanswered:
            return
        flow.unanswered = True
        upstream.unanswered += 1
        self.unresponsive_at = now
        upstream.unresponsive_until = now + avoid_s(upstream.unanswered)
        upstream.avoided_until = max(upstream.avoided_until, upstream.unresponsive_until)

    def drop(self, key: bytes) -> None:
        """Stop tracking a flow."""
        flow = self._by_key.pop(key, None)
        if flow is None:
            return
        flow.live = False
        self._mark_idle(flow)
        _close(flow)

    def drop_upstream(self, upstream: Upstream) -> None:
        """Stop tracking the flows of an upstream that no longer has them."""
        keys = [key for key, flow in self._by_key.items() if flow.upstream is upstream]
        for key in keys:
            self.drop(key)

    def expire_openings(self, now: float) -> None:
        """Mark opening packets unanswered that nothing followed within their pool's patience.

        Without this, a crashed upstream that resets every flow appears idle, so callers that
        retry at once are sent to it again and again until its entry lapses, although most
        upstreams are healthy.  Also, after an outage of all balancers, flows that callers have
        given up would take capacity from live ones, and the limit would be reached for half a
        second after the start.
        """
        for opening in _requested_before(self._opening_by_key, now - MIN_ANSWER_TIMEOUT_S):
            if (
                opening.upstream is None
                or now < opening.opened_at + opening.upstream.pool.answer_timeout_s
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
            pending.append(PendingRequest(upstream, flow.key[_ROUTE_OFFSET:], flow.requested_at))
        return pending

    def expire(self, idle_s: float, now: float) -> None:
        """Drop flows that were idle for `idle_s`, and requests whose end was not seen."""
        self.expire_openings(now)
        for flow in _requested_before(self._busy_by_key, now - BUSY_TIMEOUT_S):
            if flow.upstream is not None:
                self._count_answer(flow, flow.upstream, now)
            self._mark_idle(flow)
        for _ in range(
            min(len(self._by_key), _MIN_SWEPT_FLOWS + len(self._by_key) // _SWEEP_DIVISOR)
        ):
            key = next(iter(self._by_key))
            if now < self._by_key[key].seen_at + idle_s:
                self._by_key.move_to_end(key)
                continue
            self.drop(key)

    def _adopt(self, key: bytes, upstream: Upstream | None, now: float) -> Flow:
        """Track a flow that another balancer opened."""
        self.drop(key)
        flow = Flow(key, upstream, now)
        flow.answered = True
        if upstream is not None:
            upstream.open_flows += 1
        self._by_key[key] = flow
        return flow

    def _note_answer(self, flow: Flow, now: float) -> None:
        self.answers.observe(now - flow.requested_at)
        if flow.upstream is not None:
            flow.upstream.pool.answered += 1
            self._count_answer(flow, flow.upstream, now)
        self._mark_idle(flow)

    def _count_answer(self, flow: Flow, upstream: Upstream, now: float) -> None:
        """Count an answer or a timeout; an opening packet carries no request and is not counted."""
        if upstream.pool.controlled and flow.sequence >= 0:
            self._counts.note(upstream, flow.key[_ROUTE_OFFSET:], flow.requested_at, now)

    def _mark_busy(self, flow: Flow, now: float) -> None:
        flow.requested_at = now
        self._busy_by_key[flow.key] = flow
        self._busy_by_key.move_to_end(flow.key)
        _enter_pool(flow)
        if not flow.busy and flow.upstream is not None:
            flow.busy = True
            flow.upstream.busy_flows += 1
            flow.upstream.recent_requests += 1
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


def _requested_before(by_key: OrderedDict[bytes, Flow], requested_until: float) -> list[Flow]:
    """Return the flows at the front whose last request is no newer than that time."""
    older = []
    for flow in by_key.values():
        if flow.requested_at > requested_until:
            break
        older.append(flow)
    return older


def _enter_pool(flow: Flow) -> None:
    """Count a request in progress toward the load of its pool."""
    if not flow.in_pool and flow.upstream is not None:
        flow.in_pool = True
        flow.upstream.pool.busy += 1


def _leave_pool(flow: Flow) -> None:
    if flow.in_pool and flow.upstream is not None:
        flow.in_pool = False
        flow.upstream.pool.busy -= 1


def _close(flow: Flow) -> None:
    """Stop counting a flow as open."""
    if not flow.closed and flow.upstream is not None:
        flow.upstream.open_flows -= 1
    flow.closed = True


def _note_answered(upstream: Upstream | None, now: float) -> None:
    """Record that an upstream answered an opening packet, so that it is no longer avoided."""
    if upstream is not None:
        upstream.answered_at = now
        upstream.unanswered = 0
        upstream.avoided_until = 0
        upstream.unresponsive_until = 0
