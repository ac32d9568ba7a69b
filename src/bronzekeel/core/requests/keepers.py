"""Find the slot keeper of a service, and act as the slot keeper of kept services."""

from bronzekeel.core.catalogue import ServiceKind, ServiceSpec
from bronzekeel.core.constants import HEARTBEAT_S, LEASE_S, SHARDS, TICK_S
from bronzekeel.core.effects import Effect, Say
from bronzekeel.core.hashing import rendezvous_order, string_hash
from bronzekeel.core.health.reducer import allowances, observe, usable
from bronzekeel.core.messages import ServiceState, SlotAsk, SlotDone, SlotHeld
from bronzekeel.core.outcomes import AttemptEnd
from bronzekeel.core.requests.slots import cancel, enqueue, expire, grant_slots, hold, release
from bronzekeel.core.requests.state import Phase, Request, Slots
from bronzekeel.core.state import BalancerState


_ANNOUNCE_S = 2 * HEARTBEAT_S
_ANNOUNCEMENT_TTL_S = 3 * _ANNOUNCE_S
_MILLISECONDS = 1000

#: Time for which contact with a keeper must remain valid to ask it: two heartbeats may be lost.
_MIN_CONTACT_LEFT_S = LEASE_S - 2 * HEARTBEAT_S - TICK_S


def spec_of(state: BalancerState, service: str) -> ServiceSpec | None:
    """Return a service of the text in force, or None if the text does not contain it."""
    catalogue = state.rollout.catalogue
    if catalogue is None:
        return None
    return catalogue.services_by_name.get(service)


def keeper_of(state: BalancerState, service: str, now: float) -> str:
    """Return the host that keeps a service's slots, or '' if it cannot be reached."""
    shard = string_hash(service) % SHARDS
    owner = state.steering.owners[shard].owner
    if owner == state.members.me.name:
        return owner if now < state.steering.self_valid_until else ''
    if state.members.in_contact(owner, now + _MIN_CONTACT_LEFT_S):
        return owner
    return ''


def _slots_of(state: BalancerState, service: str) -> Slots:
    return state.requests.slots_by_service.setdefault(service, Slots())


def on_slot_ask(state: BalancerState, ask: SlotAsk, now: float) -> list[Effect]:
    """Queue a request for a slot and grant the slots that are free."""
    spec = spec_of(state, ask.service)
    if spec is None:
        return []
    slots = _slots_of(state, ask.service)
    refusal = enqueue(slots, spec, state.members.me.name, ask, now)
    if refusal is not None:
        return [Say(ask.sender, refusal)]
    return _grant_free_slots(state, spec, slots, now)


def _grant_free_slots(
    state: BalancerState,
    spec: ServiceSpec,
    slots: Slots,
    now: float,
) -> list[Effect]:
    me = state.members.me.name
    return [
        Say(receiver, message)
        for receiver, message in grant_slots(slots, state.health, spec, me, now)
    ]


def on_slot_done(state: BalancerState, done: SlotDone, now: float) -> list[Effect]:
    """Release a slot, update the upstream's health and grant the free slots again."""
    spec = spec_of(state, done.service)
    if spec is None:
        return []
    slots = _slots_of(state, done.service)
    release(slots, done.request, done.upstream)
    effects = observe(state.health, done.upstream, done.ended, spec.slots, now)
    if done.ended == AttemptEnd.CANCELLED:
        cancel(slots, done.request)
    return [*effects, *_grant_free_slots(state, spec, slots, now)]


def on_slot_held(state: BalancerState, held: SlotHeld, now: float) -> list[Effect]:
    """Count a slot that the previous keeper granted as used."""
    deadline = now + held.wait_ms / _MILLISECONDS
    hold(_slots_of(state, held.service), held.request, held.upstream, deadline)
    return []


def report_held_slots(state: BalancerState, now: float) -> list[Effect]:
    """Report the slots in use to a new keeper, so that it does not grant them again."""
    effects: list[Effect] = []
    me = state.members.me.name
    for request in state.requests.active_by_id.values():
        if request.phase is not Phase.RUNNING:
            continue
        keeper = keeper_of(state, request.service, now)
        if not keeper or keeper == request.keeper:
            continue
        request.keeper = keeper
        left_ms = max(0, int((request.deadline - now) * _MILLISECONDS))
        held = SlotHeld(me, request.service, request.request, request.upstream, left_ms)
        effects.append(Say(keeper, held))
    return effects


def upstreams_of_kept_services(state: BalancerState, now: float) -> list[tuple[str, str]]:
    """Return pairs of a service whose slots are kept here and one of its upstreams."""
    return [
        (name, upstream.endpoint)
        for name in state.requests.slots_by_service
        if keeper_of(state, name, now) == state.members.me.name
        for upstream in getattr(spec_of(state, name), 'active', ())
    ]


def maintain_slots(state: BalancerState, now: float) -> list[Effect]:
    """Free the slots whose return was lost, and serve the queues."""
    effects: list[Effect] = []
    for service, slots in list(state.requests.slots_by_service.items()):
        spec = spec_of(state, service)
        if spec is None:
            state.requests.slots_by_service.pop(service)
            continue
        expire(slots, now)
        effects.extend(_grant_free_slots(state, spec, slots, now))
    return effects


def choose_without_keeper(
    state: BalancerState,
    spec: ServiceSpec,
    request: Request,
    now: float,
) -> str | None:
    """Return the upstream with the fewest running attempts of this balancer.

    Ties are broken by the rendezvous order of the request id.  With a fixed
    order, all balancers without a keeper would choose the same upstream.
    """
    endpoints = [item.endpoint for item in spec.active]
    allowed = allowances(state.health, endpoints, spec.slots, now)
    counts = state.requests.attempts_by_endpoint
    free = [
        endpoint
        for endpoint in rendezvous_order(request.request, allowed)
        if counts.get(endpoint, 0) < spec.slots and endpoint not in request.avoid
    ]
    return min(free, key=lambda endpoint: counts.get(endpoint, 0), default=None)


def _down_services_kept_here(state: BalancerState, now: float) -> frozenset[str]:
    """Return the required services kept here that have no usable upstream."""
    me = state.members.me.name
    down = []
    for name in state.requests.required:
        spec = spec_of(state, name)
        if spec is None or spec.kind is not ServiceKind.REQUEST:
            continue
        if keeper_of(state, name, now) != me:
            continue
        endpoints = [item.endpoint for item in spec.active]
        if not usable(state.health, endpoints, now):
            down.append(name)
    return frozenset(down)


def announce_down(state: BalancerState, now: float) -> list[Effect]:
    """Announce to all live members which services kept here cannot accept requests."""
    requests = state.requests
    if now < requests.check_at:
        return []
    requests.check_at = now + HEARTBEAT_S
    down = _down_services_kept_here(state, now)
    changed = down != requests.announced_down
    if not changed and (not down or now < requests.announce_at):
        return []
    requests.announced_down = down
    requests.announce_at = now + _ANNOUNCE_S
    me = state.members.me.name
    requests.down_by_sender[me] = (down, now + _ANNOUNCEMENT_TTL_S)
    report = ServiceState(me, tuple(sorted(down)))
    return [Say(name, report) for name in state.members.alive_names]


def on_service_state(state: BalancerState, report: ServiceState, now: float) -> list[Effect]:
    """Record which services a peer reports as down, until the report expires."""
    entry = (frozenset(report.down), now + _ANNOUNCEMENT_TTL_S)
    state.requests.down_by_sender[report.sender] = entry
    return []


def blocked_dependency(
    state: BalancerState,
    spec: ServiceSpec,
    now: float,
) -> str | None:
    """Return a direct or transitive dependency that cannot accept requests, if any."""
    pending = list(spec.depends_on)
    seen: set[str] = set()
    while pending:
        name = pending.pop()
        if name in seen:
            continue
        seen.add(name)
        needed = spec_of(state, name)
        if needed is None or not needed.active or _is_down(state, name, now):
            return name
        pending.extend(needed.depends_on)
    return None


def _is_down(state: BalancerState, service: str, now: float) -> bool:
    return any(
        service in down and now < until for down, until in state.requests.down_by_sender.values()
    )
