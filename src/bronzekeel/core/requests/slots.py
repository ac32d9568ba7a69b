"""Dispense the slots of a service's upstreams from one queue.

One keeper per service sees every attempt, so three slots an upstream are used
exactly; balancers that count for themselves find out by being shed.  A second
keeper at the same time is harmless: it grants too much and upstreams shed.
"""

from collections import deque
from collections.abc import Iterator

from bronzekeel.core.catalogue import PolicyPriority, ServiceSpec
from bronzekeel.core.health.reducer import allowances
from bronzekeel.core.health.state import Health
from bronzekeel.core.messages import SlotAsk, SlotGrant, SlotRefuse
from bronzekeel.core.outcomes import RefusalKind
from bronzekeel.core.requests.state import QueuedAsk, Slots


#: Queued asks per slot above which a service refuses at once.
QUEUE_PER_SLOT = 8

#: Time past its request's deadline that a slot is held for when its return is lost.
LATE_RETURN_S = 1.0

_MILLISECONDS = 1000
_RETRY_MS = 500


def enqueue(
    slots: Slots, spec: ServiceSpec, me: str, ask: SlotAsk, now: float
) -> SlotRefuse | None:
    """Queue an ask; refuse it at once when the queue is full.

    The longest group queue pays: an ask of another group displaces nothing
    and is only refused when its own group already has its share.
    """
    capacity = QUEUE_PER_SLOT * spec.slots * max(1, len(spec.active))
    queue = slots.queue_by_group.get(ask.group)
    group_queued = len(queue or ())
    groups = len(slots.group_rotation) + int(not queue)
    share = max(1, capacity // groups)
    if any(queued.request == ask.request for queued in queue or ()):
        return None
    if group_queued >= share:
        return SlotRefuse(
            me,
            spec.name,
            ask.request,
            RefusalKind.OVERLOADED,
            _RETRY_MS,
        )
    if queue is None:
        queue = deque()
        slots.queue_by_group[ask.group] = queue
        slots.group_rotation.append(ask.group)
    give_up_at = now + ask.wait_ms / _MILLISECONDS
    queue.append(
        QueuedAsk(ask.sender, ask.request, ask.group, ask.avoid, give_up_at),
    )
    slots.queued += 1
    return None


def grant_slots(
    slots: Slots,
    health: Health,
    spec: ServiceSpec,
    me: str,
    now: float,
) -> Iterator[tuple[str, SlotGrant | SlotRefuse]]:
    """Grant free slots to the groups in turn; yield receivers and messages."""
    endpoints = [upstream.endpoint for upstream in spec.active]
    allowed = allowances(health, endpoints, spec.slots, now)
    blocked = 0
    while slots.group_rotation and blocked < len(slots.group_rotation):
        ask = _head(slots)
        if ask is None:
            continue
        refusal_kind = _refusal_kind(ask, allowed, now)
        if refusal_kind is not None:
            _pop(slots)
            yield ask.sender, _refuse(me, spec, ask, refusal_kind)
            continue
        chosen = _choose(slots, health, spec, allowed, ask.avoid)
        if chosen is None:
            slots.group_rotation.rotate(-1)
            blocked += 1
            continue
        _pop(slots)
        blocked = 0
        hold(slots, ask.request, chosen, ask.give_up_at)
        yield ask.sender, SlotGrant(me, spec.name, ask.request, chosen)


def _refusal_kind(ask: QueuedAsk, allowed: dict[str, int], now: float) -> RefusalKind | None:
    """Return why waiting on is pointless, None when it is not."""
    if now >= ask.give_up_at:
        return RefusalKind.DEADLINE
    return None if allowed else RefusalKind.NO_UPSTREAM


def _head(slots: Slots) -> QueuedAsk | None:
    """Return the first ask of the group whose turn it is."""
    group = slots.group_rotation[0]
    queue = slots.queue_by_group.get(group)
    if queue:
        return queue[0]
    slots.group_rotation.popleft()
    slots.queue_by_group.pop(group, None)
    return None


def _pop(slots: Slots) -> None:
    slots.queue_by_group[slots.group_rotation[0]].popleft()
    slots.queued -= 1
    slots.group_rotation.rotate(-1)


def _refuse(me: str, spec: ServiceSpec, ask: QueuedAsk, kind: RefusalKind) -> SlotRefuse:
    return SlotRefuse(me, spec.name, ask.request, kind, _RETRY_MS)


def _choose(
    slots: Slots,
    health: Health,
    spec: ServiceSpec,
    allowed: dict[str, int],
    avoid: tuple[str, ...],
) -> str | None:
    """Return the upstream with a free slot that the service's weighing prefers."""
    weight_by_endpoint = {item.endpoint: item.weight for item in spec.active}
    best: str | None = None
    best_rank: tuple[float, ...] = ()
    for endpoint, limit in allowed.items():
        used = slots.used_by_endpoint.get(endpoint, 0)
        if used >= limit:
            continue
        grants = _grants_to(slots, endpoint) / weight_by_endpoint[endpoint]
        rank: tuple[float, ...] = (float(endpoint in avoid), grants, used / limit)
        if spec.weighs is PolicyPriority.BROKEN_FLOWS:
            rank = (
                float(endpoint in avoid),
                float(health.of(endpoint).failures),
                *rank[1:],
            )
        if best is None or rank < best_rank:
            best = endpoint
            best_rank = rank
    return best


def _grants_to(slots: Slots, endpoint: str) -> int:
    """Return how often an upstream was chosen; a new one starts level.

    What goes wrong otherwise: an upstream that joins has been chosen least
    often and gets all new work at once, cold as it is.
    """
    grants = slots.grants_by_endpoint.get(endpoint)
    if grants is None:
        grants = min(slots.grants_by_endpoint.values(), default=0)
        slots.grants_by_endpoint[endpoint] = grants
    return grants


def hold(slots: Slots, request: str, endpoint: str, deadline: float) -> None:
    """Count a slot as used by a request until its return, or past its deadline.

    What goes wrong with a fixed time: returns are lost with a link or a host,
    and an upstream whose limit is one gets nothing until that time is over.
    """
    if (request, endpoint) in slots.expiry_by_holder:
        return
    slots.expiry_by_holder[request, endpoint] = deadline + LATE_RETURN_S
    slots.used_by_endpoint[endpoint] = slots.used_by_endpoint.get(endpoint, 0) + 1
    slots.grants_by_endpoint[endpoint] = _grants_to(slots, endpoint) + 1


def release(slots: Slots, request: str, endpoint: str) -> None:
    """Free the slot of a request; a repeated return frees nothing more."""
    if slots.expiry_by_holder.pop((request, endpoint), None) is not None:
        slots.used_by_endpoint[endpoint] -= 1


def cancel(slots: Slots, request: str) -> None:
    """Take an ask out of the queue."""
    for queue in slots.queue_by_group.values():
        for ask in queue:
            if ask.request == request:
                queue.remove(ask)
                slots.queued -= 1
                return


def expire(slots: Slots, now: float) -> None:
    """Free slots whose return was lost, with the host that held them."""
    for (request, endpoint), expiry in list(slots.expiry_by_holder.items()):
        if now >= expiry:
            release(slots, request, endpoint)
