"""Decide on packets that carry a connection id."""

from collections.abc import Iterator
from zlib import crc32

from bronzekeel.core.routing.connection_ids import decode_connection_id, encode_connection_id
from bronzekeel.core.routing.decisions import Decision, DecisionLog
from bronzekeel.core.routing.flows import Flow
from bronzekeel.core.routing.model import (
    FlowPacket,
    Route,
    RoutingText,
    ServiceShare,
    Upstream,
)
from bronzekeel.core.routing.placement import Placement
from bronzekeel.core.routing.pools import Pool
from bronzekeel.core.routing.remote_flows import RemoteFlowReason
from bronzekeel.core.routing.siblings import siblings_of, with_free_capacity
from bronzekeel.core.routing.state import RoutingState
from bronzekeel.core.routing.verdicts import Deliver, Discard, Reason, Reset, Verdict, Wait
from bronzekeel.core.routing.waiting import WaitingRequest
from bronzekeel.core.steering.strategy import SteeringStrategy


#: Seconds within which a repeated opening packet goes to the same upstream as the
#: first.  Without this, a slow balancer that reads a packet and its repeat
#: together would send them to two upstreams; both would open the flow, and the
#: caller's packets would name whichever answered last.  The value is below the
#: 0.2 s after which callers repeat, and above the delay of any link.
DUPLICATE_WINDOW_S = 0.15

#: Repeats after which a flow is reset if its upstream drained and then left.  One
#: repeat means 0.2 s without an answer.
REPEATS_WHEN_LEFT = 1

#: Repeats after which a flow is reset if the entry of its upstream lapsed, as the
#: upstream may be running and only be cut off from the store.  Two repeats mean
#: 0.6 s without an answer, longer than any delay on the link to a live upstream.
REPEATS_WHEN_LAPSED = 2


#: Seconds after the end of its wait within which an opening packet is refused; later it is
#: dropped.  Without this, a balancer that was paused for a second would, on resuming, reset flows
#: that its callers' repeats have opened through another host in the meantime.  The value is half
#: of the 0.2 s between an opening packet and its repeat.
LATE_REFUSAL_S = 0.1


class ConnectionIdSteering(SteeringStrategy[FlowPacket, Verdict]):
    """Decide on packets by their connection ids and one balancer's state."""

    def __init__(self, state: RoutingState, placement: Placement, decisions: DecisionLog) -> None:
        """Decide by `state`, choose upstreams by `placement`, record decisions in `decisions`."""
        self._state = state
        self._placement = placement
        self._decisions = decisions

    @property
    def state(self) -> RoutingState:
        """The state that decisions are based on."""
        return self._state

    def decide(self, packet: FlowPacket, now: float) -> Verdict:
        """Return the verdict on `packet`."""
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
        """Yield packets whose requests no longer wait, with their verdicts.

        When its wait has ended, a request that would open a flow is refused.  One on an open flow
        is sent on if its caller still waits for it, which is so only where demand is controlled,
        and dropped otherwise.
        """
        self._state.flows.expire_openings(now)
        waiting = self._state.waiting
        request = waiting.pop_expired(now)
        while request is not None:
            if request.must_be_sent(now):
                yield from self._resume_above_limit(request, now)
            else:
                for refused in request.packets:
                    yield refused, self._end_wait(refused, request, now)
            request = waiting.pop_expired(now)
        request = waiting.pop_ready(now)
        while request is not None:
            yield from self._resume_request(request, now)
            request = waiting.pop_ready(now)

    def _resume_above_limit(
        self,
        request: WaitingRequest,
        now: float,
    ) -> Iterator[tuple[FlowPacket, Verdict]]:
        """Send a request on without free capacity for it, after all more urgent ones."""
        urgent = self._state.waiting.pop_more_urgent(request, now)
        while urgent is not None:
            yield from self._resume_request(urgent, now)
            urgent = self._state.waiting.pop_more_urgent(request, now)
        yield from self._resume_request(request, now)

    def _resume_request(
        self,
        request: WaitingRequest,
        now: float,
    ) -> Iterator[tuple[FlowPacket, Verdict]]:
        for packet in request.packets:
            yield packet, self._decide(packet, now, may_wait=False)

    def _end_wait(self, packet: FlowPacket, request: WaitingRequest, now: float) -> Verdict:
        """Decide on a packet whose request has waited too long for free capacity.

        An opening packet goes to a remote data centre with free capacity, or is refused.  It is
        dropped instead if another packet may have opened its flow in the meantime.  Openings wait
        longer where demand is controlled, so a repeat is always dropped there: the packet before
        it may have opened the flow through another host.  Packets that joined an opening packet
        are dropped too, as their caller repeats them.
        """
        late = now >= request.until + LATE_REFUSAL_S
        repeats = packet.copy > 0 and request.pool.callers is not None
        if not request.opens or late or repeats or not packet.opens:
            return Discard(Reason.GIVEN_UP)
        moved = self._remote_instead_of_refusal(packet, now)
        if moved is not None:
            return moved
        return self._refuse(packet, request.pool, Reason.OVERLOADED, now)

    def _refuse(self, packet: FlowPacket, pool: Pool, reason: Reason, now: float) -> Verdict:
        """Refuse a flow because its pool lacks free capacity."""
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
            return self._refuse_without_route(packet, now)
        if packet.opens:
            return self._open(packet, route, text, now, may_wait=may_wait)
        return self._continue(packet, route, now, may_wait=may_wait)

    def _refuse_without_route(self, packet: FlowPacket, now: float) -> Verdict:
        """Reset a packet for which the text has no route, unless a newer text may have one.

        A host that is cut off from the store may miss the text that added the
        route; without an answer, the caller repeats and may reach another host.
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
        repeated = self._decide_repeat(packet, route, now)
        if repeated is not None:
            return repeated
        service = _pick_service(route.shares, packet.flow)
        candidates = self._state.eligibility.of_service(service, route, text, now)
        upstream = self._placement.choose(candidates, now)
        if upstream is None:
            return self._refuse_without_upstream(packet, now)
        if may_wait and not upstream.pool.has_free_capacity:
            remote = self._remote_instead_of_waiting(upstream, candidates, route, now)
            if remote is not None:
                return self._place(
                    packet, remote, route, text, now, RemoteFlowReason.NO_FREE_CAPACITY
                )
            sibling = self._choose_sibling(route, service, text, now)
            verdict = None if sibling else self._refuse_or_queue(packet, upstream.pool, route, now)
            if verdict is not None:
                return verdict
            upstream = sibling or upstream
        surging = self._state.balance.sends_remote(service)
        reason = RemoteFlowReason.SURGE if surging else RemoteFlowReason.NO_UPSTREAM
        return self._place(packet, upstream, route, text, now, reason)

    def _decide_repeat(self, packet: FlowPacket, route: Route, now: float) -> Verdict | None:
        """Send a repeat to the first packet's upstream, None if it needs to be placed anew."""
        flow = self._state.flows.find(packet.flow)
        if flow is None or flow.upstream is None or not _is_repeat(packet, flow, now):
            return None
        if now < flow.opened_at + DUPLICATE_WINDOW_S or flow.answered:
            return Deliver(flow.upstream, _connection_id_for(flow.upstream, route))
        self._state.flows.note_unanswered(flow, now)
        return None

    def _place(
        self,
        packet: FlowPacket,
        upstream: Upstream,
        route: Route,
        text: RoutingText,
        now: float,
        reason: RemoteFlowReason,
    ) -> Verdict:
        """Open a flow at `upstream`; `reason` says why, if that is in a remote centre."""
        self._state.flows.place(packet.flow, upstream, now)
        crosses = upstream.entry.data_centre != self._state.peers.me.data_centre
        if crosses and self._state.controls_demand:
            self._state.demand.moving.remote_flows.note(upstream.entry.service, reason, now)
        self._state.eligibility.note_placed(upstream, text, now)
        self._decisions.note(Decision('placed', packet, upstream.entry.name, upstream), now)
        return Deliver(upstream, _connection_id_for(upstream, route))

    def _remote_instead_of_waiting(
        self,
        upstream: Upstream,
        candidates: list[Upstream],
        route: Route,
        now: float,
    ) -> Upstream | None:
        """Return a remote upstream for a flow that `upstream` has no capacity for, else None.

        Where demand is controlled, a flow that is expected to be long leaves the local data centre
        only if that as a whole lacks free capacity, because all its requests would cross.  A flow
        without a local upstream crosses in any case.
        """
        service = upstream.entry.service
        may_cross = (
            not self._state.controls_demand
            or upstream.entry.data_centre != self._state.peers.me.data_centre
            or self._state.flows.lengths.is_short(route.key)
            or self._state.demand.moving.is_full(service)
        )
        return self._choose_remote(candidates, now) if may_cross else None

    def _remote_instead_of_refusal(self, packet: FlowPacket, now: float) -> Verdict | None:
        """Open a flow remotely that found no local capacity in time, None if there is none."""
        text = self._state.text
        route = text.route_by_key.get(packet.route) if text else None
        if text is None or route is None:
            return None
        service = _pick_service(route.shares, packet.flow)
        if not self._state.controls_demand:
            return None
        candidates = self._state.eligibility.of_service(service, route, text, now)
        upstream = self._choose_remote(candidates, now)
        if upstream is None:
            return None
        return self._place(packet, upstream, route, text, now, RemoteFlowReason.ELSE_REFUSED)

    def _choose_remote(self, candidates: list[Upstream], now: float) -> Upstream | None:
        """Return a remote upstream with an allowance for further flows, None if there is none."""
        remote = [
            upstream
            for upstream in candidates
            if upstream.pool.has_allowance and now >= upstream.avoided_until
        ]
        return self._placement.choose(remote, now)

    def _choose_sibling(
        self,
        route: Route,
        service: str,
        text: RoutingText,
        now: float,
    ) -> Upstream | None:
        """Return a local upstream with free capacity in another service of the route, or None."""
        if not self._state.controls_demand:
            return None
        local_centre = self._state.peers.me.data_centre
        for sibling in siblings_of(route, service):
            upstreams = self._state.eligibility.of_service(sibling, route, text, now)
            chosen = self._placement.choose(with_free_capacity(upstreams, local_centre, now), now)
            if chosen is not None:
                return chosen
        return None

    def _refuse_or_queue(
        self,
        packet: FlowPacket,
        pool: Pool,
        route: Route,
        now: float,
    ) -> Verdict | None:
        """Refuse an opening packet or let it wait for capacity; None if it is to go on."""
        if _is_above_share(packet, pool, now):
            return self._refuse(packet, pool, Reason.ABOVE_SHARE, now)
        return Wait() if self._enqueue(packet, pool, route, now) else None

    def _enqueue(self, packet: FlowPacket, pool: Pool, route: Route, now: float) -> bool:
        """Queue the request that `packet` starts if its pool is full; return whether it waits."""
        waiting = self._state.waiting
        if pool.has_free_capacity or waiting.is_full:
            return False
        waiting.add(packet, pool, route, now)
        return True

    def _refuse_without_upstream(self, packet: FlowPacket, now: float) -> Verdict:
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
        number = decode_connection_id(packet.connection_id, route.route_tag)
        upstream = self._state.directory.by_number.get(number)
        if may_wait and upstream is not None and self._begins_request(packet, upstream):
            if self._enqueue(packet, upstream.pool, route, now):
                return Wait()
        flow = self._state.flows.note_packet(packet, upstream, now)
        if upstream is None:
            return self._handle_unknown_upstream(packet, flow, now)
        if upstream.missing_at is None:
            return Deliver(upstream, flow=flow)
        if self._is_lost(upstream, flow, now):
            self._decisions.note(Decision('reset', packet, Reason.UPSTREAM_GONE, upstream), now)
            return Reset(Reason.UPSTREAM_GONE)
        return Deliver(upstream)

    def _begins_request(self, packet: FlowPacket, upstream: Upstream) -> bool:
        """Whether a packet starts a further request on a flow that is tracked here."""
        if not packet.payload_bytes or packet.closes or upstream.missing_at is not None:
            return False
        flow = self._state.flows.find(packet.flow)
        if flow is None or flow.upstream is not upstream:
            return False
        return not flow.busy and packet.sequence != flow.sequence

    def _handle_unknown_upstream(self, packet: FlowPacket, flow: Flow, now: float) -> Verdict:
        """Reset a flow whose upstream is unknown, once it is certain that none is listed.

        The entry may be in transit, so the listing must be settled, and the caller must have
        repeated its packet for longer than an entry takes to arrive.  Peers may remember an
        upstream that runs without being listed, so one of them must have been queried: since this
        balancer drops the packets, their repeats show nothing about the upstream.
        """
        queried = self._state.knows_missing or not self._state.peers.live_neighbours(now)
        settled = queried and self._state.is_settled(now)
        if flow.repeats < REPEATS_WHEN_LAPSED or not settled:
            return Discard(Reason.UNKNOWN_CONNECTION_ID)
        self._decisions.note(Decision('reset', packet, Reason.UNKNOWN_CONNECTION_ID), now)
        return Reset(Reason.UNKNOWN_CONNECTION_ID)

    def _is_lost(self, upstream: Upstream, flow: Flow, now: float) -> bool:
        """Whether a flow's upstream is certainly gone.

        This takes two independent signs: the store, settled, no longer lists the upstream, and
        the caller repeats packets without an answer.  Relying on the store alone would break
        flows of a running upstream that cannot reach the store; relying on repeats alone would
        break flows behind a link that loses packets.
        """
        if not upstream.is_gone(now) or not self._state.is_settled(now):
            return False
        needed = REPEATS_WHEN_LEFT if upstream.left else REPEATS_WHEN_LAPSED
        return flow.repeats >= needed


def _is_repeat(packet: FlowPacket, flow: Flow, now: float) -> bool:
    """Whether an opening packet repeats the one that opened `flow`.

    The packet's repeat counter decides.  A packet with a counter of zero that
    follows within the window is a duplicate made by the network.
    """
    return packet.copy > 0 or now < flow.opened_at + DUPLICATE_WINDOW_S


def _is_above_share(packet: FlowPacket, pool: Pool, now: float) -> bool:
    """Whether an opening packet is refused because its caller is far above its share.

    A repeat never is: the first packet may have opened the flow through another host.
    """
    if pool.callers is None or packet.copy or pool.busy < pool.limit:
        return False
    return pool.callers.refuses(pool.callers.caller_of(packet.flow), now)


def _connection_id_for(upstream: Upstream, route: Route) -> int:
    return encode_connection_id(upstream.entry.short_number, route.route_tag)


def _pick_service(shares: tuple[ServiceShare, ...], flow: bytes) -> str:
    """Pick a flow's service by the shares' weights; repeated packets get the same service."""
    if len(shares) == 1:
        return shares[0].service
    total = sum(share.weight for share in shares)
    if total <= 0:
        return shares[0].service
    offset = crc32(flow) % total
    for share in shares:
        offset -= share.weight
        if offset < 0:
            return share.service
    return shares[-1].service
