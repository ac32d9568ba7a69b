"""Grant the slots of a service's upstreams from one set of queues.

One keeper per service sees every attempt, so it can use exactly the slots that
each upstream has (three by default).  Balancers that counted on their own would
exceed them and learn of it only when upstreams shed requests.  A second keeper at
the same time is harmless: it grants too many slots, and upstreams shed the excess.
"""

from collections import deque
from collections.abc import Iterator

from bronzekeel.core.catalogue import PolicyPriority, ServiceSpec
from bronzekeel.core.health.reducer import allowances
from bronzekeel.core.health.state import Health
from bronzekeel.core.messages import SlotAsk, SlotGrant, SlotRefuse
from bronzekeel.core.outcomes import RefusalKind
from bronzekeel.core.requests.state import QueuedAsk, Slots


#: Queued requests for slots, per slot, above which a service refuses at once.
QUEUE_PER_SLOT = 8

#: Time past its request's deadline after which a slot is freed if its return was lost.
LATE_RETURN_S = 1.0

_MILLISECONDS = 1000
_RETRY_MS = 500


def enqueue(
    slots: Slots, spec: ServiceSpec, me: str, ask: SlotAsk, now: float
) -> SlotRefuse | None:
    """Queue a request for a slot, or refuse it if its group has used up its share.

    The capacity of the queue is divided equally among the waiting groups, so a long
    queue of one group does not cause refusals for others.  No queued request is
    displaced.
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
    """Grant free slots to the groups round-robin; yield each receiver with its message."""
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
    """Return why a queued request has to be refused, or None if it may wait."""
    if now >= ask.give_up_at:
        return RefusalKind.DEADLINE
    return None if allowed else RefusalKind.NO_UPSTREAM


def _head(slots: Slots) -> QueuedAsk | None:
    """Return the first queued request of the next group; drop the group if it has none."""
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
    """Return the upstream with a free slot that ranks best under the service's priority."""
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
    """Return how many slots an upstream was granted; a new one starts at the minimum.

    If a joining upstream started at zero, it would get all new requests at once
    during its cold start.
    """
    grants = slots.grants_by_endpoint.get(endpoint)
    if grants is None:
        grants = min(slots.grants_by_endpoint.values(), default=0)
        slots.grants_by_endpoint[endpoint] = grants
    return grants


def hold(slots: Slots, request: str, endpoint: str, deadline: float) -> None:
    """Count a slot as used until it is returned, or until its request's deadline has passed.

    Returns are lost when a link or a host fails.  With a fixed expiry time, an
    upstream whose limit is one would get no requests until that time is over.
    """
    if (request, endpoint) in slots.expiry_by_holder:
        return
    slots.expiry_by_holder[request, endpoint] = deadline + LATE_RETURN_S
    slots.used_by_endpoint[endpoint] = slots.used_by_endpoint.get(endpoint, 0) + 1
    slots.grants_by_endpoint[endpoint] = _grants_to(slots, endpoint) + 1


def release(slots: Slots, request: str, endpoint: str) -> None:
    """Free the slot of a request; a duplicate return has no effect."""
    if slots.expiry_by_holder.pop((request, endpoint), None) is not None:
        slots.used_by_endpoint[endpoint] -= 1


def cancel(slots: Slots, request: str) -> None:
    """Remove a request from the queue."""
    for queue in slots.queue_by_group.values():
        for ask in queue:
            if ask.request == request:
                queue.remove(ask)
                slots.queued -= 1
                return


def expire(slots: Slots, now: float) -> None:
    """Free the slots that were not returned in time."""
    for (request, endpoint), expiry in list(slots.expiry_by_holder.items()):
        if now >= expiry:
            release(slots, request, endpoint)
