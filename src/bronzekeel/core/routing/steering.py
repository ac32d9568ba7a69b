"""Give packets that carry a connection id their verdicts."""

from collections.abc import Iterator
from zlib import crc32

from bronzekeel.core.routing.connection_ids import opened, sealed
from bronzekeel.core.routing.flows import Flow
from bronzekeel.core.routing.decisions import Decision, DecisionLog
from bronzekeel.core.routing.departures import Departure
from bronzekeel.core.routing.model import (
    FlowPacket,
    Route,
    RoutingText,
    ServiceShare,
    Upstream,
)
from bronzekeel.core.routing.placement import Placement
from bronzekeel.core.routing.pools import Pool
from bronzekeel.core.routing.siblings import siblings_of, with_room
from bronzekeel.core.routing.state import RoutingState
from bronzekeel.core.routing.verdicts import Deliver, Discard, Reason, Reset, Verdict, Wait
from bronzekeel.core.routing.waiting import WaitingRequest
from bronzekeel.core.steering.strategy import SteeringStrategy


#: Seconds within which a repeated opening packet goes where the first went.
#: What goes wrong without it: a balancer that was slow finds the packet and its
#: repeat together, sends them to two upstreams, and both open the flow; the
#: caller's packets then name whichever answered last.  Source: below the 0.2 s
#: after which callers repeat, above the time that any link takes.
COPY_GAP_S = 0.15

#: Repeats after which a flow of an upstream that had announced its leaving,
#: and then left, is reset.  Source: one repeat means 0.2 s without an answer.
REPEATS_WHEN_LEFT = 1

#: Repeats after which a flow of an upstream whose entry lapsed is reset: it
#: may live and only be cut off from the store.  Source: two repeats mean 0.6 s
#: without an answer, longer than any delay of a living upstream's link.
REPEATS_WHEN_LAPSED = 2


#: Seconds after the end of its wait within which an opening packet is refused; later it is
#: dropped.  What goes wrong without it: a balancer stands still for a second; its callers'
#: repeats open their flows through another, and when it wakes it resets them.  Source: half
#: of the 0.2 s between an opening packet and its repeat.
LATE_REFUSAL_S = 0.1


class ConnectionIdSteering(SteeringStrategy[FlowPacket, Verdict]):
    """Steer by connection ids over one balancer's state."""

    def __init__(self, state: RoutingState, placement: Placement, decisions: DecisionLog) -> None:
        """Decide on `state`, choose by `placement`, and note decisions in `decisions`."""
        self._state = state
        self._placement = placement
        self._decisions = decisions

    @property
    def state(self) -> RoutingState:
        """What the decisions go by."""
        return self._state

    def decide(self, packet: FlowPacket, now: float) -> Verdict:
        """Return what becomes of `packet`."""
        waiting = self._state.waiting
        request = waiting.of_flow(packet.flow)
        if request is not None:
            if packet.closes:
                waiting.end(request, now)
            elif packet.opens or packet.payload_bytes:
                waiting.join(request, packet)
                return Wait()
        return self._decide(packet, now, may_wait=True)

    def resume(self, now: float) -> Iterator[tuple[FlowPacket, Verdict]]:
        """Decide on the packets whose requests wait no longer.

        Those that waited long enough are refused if their flow is not open.  On an open flow they
        are sent on where demand is controlled; elsewhere their caller has given them up.
        """
        self._state.flows.expire_openings(now)
        waiting = self._state.waiting
        request = waiting.pop_expired(now)
        while request is not None:
            if request.must_be_sent(now):
                yield from self._go_on_in_turn(request, now)
            else:
                for refused in request.packets:
                    yield refused, self._refuse(refused, request, now)
            request = waiting.pop_expired(now)
        request = waiting.pop_ready(now)
        while request is not None:
            yield from self._go_on(request, now)
            request = waiting.pop_ready(now)

    def _go_on_in_turn(
        self,
        request: WaitingRequest,
        now: float,
    ) -> Iterator[tuple[FlowPacket, Verdict]]:
        """Send a request on before there is room, and those that are more urgent before it."""
        urgent = self._state.waiting.pop_more_urgent(request, now)
        while urgent is not None:
            yield from self._go_on(urgent, now)
            urgent = self._state.waiting.pop_more_urgent(request, now)
        yield from self._go_on(request, now)

    def _go_on(
        self,
        request: WaitingRequest,
        now: float,
    ) -> Iterator[tuple[FlowPacket, Verdict]]:
        for packet in request.packets:
            yield packet, self._decide(packet, now, may_wait=False)

    def _refuse(self, packet: FlowPacket, request: WaitingRequest, now: float) -> Verdict:
        """Refuse a flow that found no room here or elsewhere, unless its repeat may be open.

        Openings wait longer where demand is controlled, so a repeat is dropped there: the packet
        before it may have opened the flow through another host.  What joined an opening is dropped
        too; its caller sends it again.
        """
        late = now >= request.until + LATE_REFUSAL_S
        repeats = packet.copy > 0 and request.pool.callers is not None
        if not request.opens or late or repeats or not packet.opens:
            return Discard(Reason.GIVEN_UP)
        moved = self._instead_of_refusal(packet, now)
        if moved is not None:
            return moved
        return self._turn_away(packet, request.pool, Reason.OVERLOADED, now)

    def _turn_away(self, packet: FlowPacket, pool: Pool, reason: Reason, now: float) -> Verdict:
        """Refuse a flow for want of room in a pool."""
        pool.refused += 1
        if pool.callers is not None:
            pool.callers.note(packet.flow, now, admitted=False)
        self._decisions.note(Decision('refused', packet, reason, pool=pool), now)
        return Reset(reason)

    def _decide(self, packet: FlowPacket, now: float, *, may_wait: bool) -> Verdict:
        text = self._state.text
        if text is None:
            return Discard(Reason.NO_TEXT)
        route = text.route_by_key.get(packet.route)
        if route is None:
            return self._without_route(packet, now)
        if packet.opens:
            return self._open(packet, route, text, now, may_wait=may_wait)
        return self._continue(packet, route, now, may_wait=may_wait)

    def _without_route(self, packet: FlowPacket, now: float) -> Verdict:
        """Refuse at once what no text allows, unless a newer text may.

        A host that is cut off from the store may miss the text that added the
        route; its silence lets the caller's repeat reach another host.
        """
        if not self._state.is_current(now):
            return Discard(Reason.NO_ROUTE)
        self._decisions.note(Decision('refused', packet, Reason.NO_ROUTE), now)
        return Reset(Reason.NO_ROUTE)

    def _open(
        self,
        packet: FlowPacket,
        route: Route,
        text: RoutingText,
        now: float,
        *,
        may_wait: bool,
    ) -> Verdict:
        repeated = self._repeat(packet, route, now)
        if repeated is not None:
            return repeated
        service = _pick(route.shares, packet.flow)
        candidates = self._state.eligibility.of_service(service, route, text, now)
        upstream = self._placement.choose(candidates, now)
        if upstream is None:
            return self._without_upstream(packet, now)
        if may_wait and not upstream.pool.has_room:
            elsewhere = self._instead_of_waiting(upstream, candidates, route, now)
            if elsewhere is not None:
                return self._place(packet, elsewhere, route, text, now, Departure.NO_ROOM)
            sibling = self._at_sibling(route, service, text, now)
            held = None if sibling else self._hold(packet, upstream.pool, route, now)
            if held is not None:
                return held
            upstream = sibling or upstream
        crowded = self._state.balance.sends_away(service)
        departure = Departure.CROWD if crowded else Departure.NO_UPSTREAM
        return self._place(packet, upstream, route, text, now, departure)

    def _repeat(self, packet: FlowPacket, route: Route, now: float) -> Verdict | None:
        """Send a repeated opening packet where the first went, None if it is to go elsewhere."""
        flow = self._state.flows.find(packet.flow)
        if flow is None or flow.upstream is None or not _is_repeat(packet, flow, now):
            return None
        if now < flow.opened_at + COPY_GAP_S or flow.answered:
            return Deliver(flow.upstream, _id_of(flow.upstream, route))
        self._state.flows.note_unanswered(flow, now)
        return None

    def _place(
        self,
        packet: FlowPacket,
        upstream: Upstream,
        route: Route,
        text: RoutingText,
        now: float,
        departure: Departure,
    ) -> Verdict:
        """Open a flow at `upstream`; `departure` is why if that is in another data centre."""
        self._state.flows.place(packet.flow, upstream, now)
        crosses = upstream.entry.data_centre != self._state.peers.me.data_centre
        if crosses and self._state.controls_demand:
            self._state.demand.moving.departures.note(upstream.entry.service, departure, now)
        self._state.eligibility.note_placed(upstream, text, now)
        self._decisions.note(Decision('placed', packet, upstream.entry.name, upstream), now)
        return Deliver(upstream, _id_of(upstream, route))

    def _instead_of_waiting(
        self,
        upstream: Upstream,
        candidates: list[Upstream],
        route: Route,
        now: float,
    ) -> Upstream | None:
        """Return an upstream elsewhere for a flow without room at `upstream`, None if it waits.

        Where demand is controlled, a long flow goes only if the whole data centre lacks room: it
        crosses for all its life.  One that has no upstream at home crosses anyway.
        """
        service = upstream.entry.service
        may_cross = (
            not self._state.controls_demand
            or upstream.entry.data_centre != self._state.peers.me.data_centre
            or self._state.flows.lengths.is_short(route.key)
            or self._state.demand.moving.is_full(service)
        )
        return self._with_room_elsewhere(candidates, now) if may_cross else None

    def _instead_of_refusal(self, packet: FlowPacket, now: float) -> Verdict | None:
        """Open a flow elsewhere that waited at home in vain, None if nobody has room."""
        text = self._state.text
        route = text.route_by_key.get(packet.route) if text else None
        if text is None or route is None:
            return None
        service = _pick(route.shares, packet.flow)
        if not self._state.controls_demand:
            return None
        candidates = self._state.eligibility.of_service(service, route, text, now)
        upstream = self._with_room_elsewhere(candidates, now)
        if upstream is None:
            return None
        return self._place(packet, upstream, route, text, now, Departure.ELSE_REFUSED)

    def _with_room_elsewhere(self, candidates: list[Upstream], now: float) -> Upstream | None:
        """Return an upstream of another data centre that has room, None if none has."""
        there = [
            upstream
            for upstream in candidates
            if upstream.pool.has_allowance and now >= upstream.avoided_until
        ]
        return self._placement.choose(there, now)

    def _at_sibling(
        self,
        route: Route,
        service: str,
        text: RoutingText,
        now: float,
    ) -> Upstream | None:
        """Return an upstream of another service of the route that has room, None if none has."""
        if not self._state.controls_demand:
            return None
        home = self._state.peers.me.data_centre
        for sibling in siblings_of(route, service):
            upstreams = self._state.eligibility.of_service(sibling, route, text, now)
            chosen = self._placement.choose(with_room(upstreams, home, now), now)
            if chosen is not None:
                return chosen
        return None

    def _hold(
        self,
        packet: FlowPacket,
        pool: Pool,
        route: Route,
        now: float,
    ) -> Verdict | None:
        """Refuse an opening packet that finds no room, or let it wait; None lets it go on."""
        if _is_above_share(packet, pool, now):
            return self._turn_away(packet, pool, Reason.ABOVE_SHARE, now)
        return Wait() if self._waits(packet, pool, route, now) else None

    def _waits(self, packet: FlowPacket, pool: Pool, route: Route, now: float) -> bool:
        """Let the request that `packet` begins wait if its pool has no room."""
        waiting = self._state.waiting
        if pool.has_room or waiting.is_full:
            return False
        waiting.add(packet, pool, route, now)
        return True

    def _without_upstream(self, packet: FlowPacket, now: float) -> Verdict:
        if not self._state.is_current(now):
            return Discard(Reason.NO_UPSTREAM)
        self._decisions.note(Decision('refused', packet, Reason.NO_UPSTREAM), now)
        return Reset(Reason.NO_UPSTREAM)

    def _continue(
        self,
        packet: FlowPacket,
        route: Route,
        now: float,
        *,
        may_wait: bool,
    ) -> Verdict:
        if not packet.connection_id:
            return Discard(Reason.NO_CONNECTION_ID)
        number = opened(packet.connection_id, route.seal)
        upstream = self._state.directory.by_number.get(number)
        if may_wait and upstream is not None and self._begins_request(packet, upstream):
            if self._waits(packet, upstream.pool, route, now):
                return Wait()
        flow = self._state.flows.see(packet, upstream, now)
        if upstream is None:
            return self._to_unknown(packet, flow, now)
        if upstream.missing_at is None:
            return Deliver(upstream, flow=flow)
        if self._is_lost(upstream, flow, now):
            self._decisions.note(Decision('reset', packet, Reason.UPSTREAM_GONE, upstream), now)
            return Reset(Reason.UPSTREAM_GONE)
        return Deliver(upstream)

    def _begins_request(self, packet: FlowPacket, upstream: Upstream) -> bool:
        """Whether a packet is the first of a further request on a flow that is known here."""
        if not packet.payload_bytes or packet.closes or upstream.missing_at is not None:
            return False
        flow = self._state.flows.find(packet.flow)
        if flow is None or flow.upstream is not upstream:
            return False
        return not flow.busy and packet.sequence != flow.sequence

    def _to_unknown(self, packet: FlowPacket, flow: Flow, now: float) -> Verdict:
        """Reset a flow whose upstream nobody lists, once that is sure.

        The entry may be on its way, so the listing must be settled and the
        caller must have asked in vain for longer than an entry takes.  Neighbours may
        remember an upstream that lives unlisted, so one of them must have been asked: it
        is this balancer that drops the packets, and the repeats tell nothing of the upstream.
        """
        asked = self._state.knows_missing or not self._state.peers.living(now)
        settled = asked and self._state.is_settled(now)
        if flow.repeats < REPEATS_WHEN_LAPSED or not settled:
            return Discard(Reason.UNKNOWN_CONNECTION_ID)
        self._decisions.note(Decision('reset', packet, Reason.UNKNOWN_CONNECTION_ID), now)
        return Reset(Reason.UNKNOWN_CONNECTION_ID)

    def _is_lost(self, upstream: Upstream, flow: Flow, now: float) -> bool:
        """Whether a flow's upstream is surely gone.

        It takes two independent signs: the store, which no longer lists the upstream
        and is settled, and the caller, which repeats itself in vain.  The
        store alone would break flows of an upstream that lives but cannot
        reach the store; repeats alone those behind a link that loses packets.
        """
        if not upstream.is_gone(now) or not self._state.is_settled(now):
            return False
        needed = REPEATS_WHEN_LEFT if upstream.left else REPEATS_WHEN_LAPSED
        return flow.repeats >= needed


def _is_repeat(packet: FlowPacket, flow: Flow, now: float) -> bool:
    """Whether an opening packet repeats the one that `flow` was placed by.

    The counter is believed first; a packet without one that follows at once is
    a duplicate made on the way.
    """
    return packet.copy > 0 or now < flow.opened_at + COPY_GAP_S


def _is_above_share(packet: FlowPacket, pool: Pool, now: float) -> bool:
    """Whether the caller of an opening packet was given far more than its share.

    A repeat is not judged: the first packet may have opened the flow through another host.
    """
    if pool.callers is None or packet.copy or pool.busy < pool.limit:
        return False
    return pool.callers.refuses(pool.callers.caller_of(packet.flow), now)


def _id_of(upstream: Upstream, route: Route) -> int:
    return sealed(upstream.entry.short_number, route.seal)


def _pick(shares: tuple[ServiceShare, ...], flow: bytes) -> str:
    """Return the service that takes a flow, by the shares' weights."""
    if len(shares) == 1:
        return shares[0].service
    total = sum(share.weight for share in shares)
    if total <= 0:
        return shares[0].service
    place = crc32(flow) % total
    for share in shares:
        place -= share.weight
        if place < 0:
            return share.service
    return shares[-1].service
