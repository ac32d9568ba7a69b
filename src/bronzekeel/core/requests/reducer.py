"""Run requests: reserve an id, wait for a slot, attempt, retry and return the outcome.

NotRun is returned only when nothing can run the request later: its id is ended
before the caller is informed, and an ended id is never started.
"""

from bronzekeel.core.catalogue import ServiceKind
from bronzekeel.core.effects import Attempt, Cancel, Effect, Relay, Reserved, Say, Settle
from bronzekeel.core.events import AttemptEnded, CallerGone, ReserveAsked, RunAsked
from bronzekeel.core.health.reducer import observe
from bronzekeel.core.messages import SlotAsk, SlotDone, SlotGrant, SlotRefuse
from bronzekeel.core.outcomes import (
    AttemptEnd,
    RefusalKind,
    UnknownKind,
)
from bronzekeel.core.requests.ids import RequestId
from bronzekeel.core.requests.keepers import (
    blocked_dependency,
    keeper_of,
    choose_without_keeper,
    spec_of,
)
from bronzekeel.core.requests.remedies import not_run, unknown
from bronzekeel.core.requests.state import Phase, Request
from bronzekeel.core.state import BalancerState


_RETRY_S = 1.0
_RETRY_BUDGET_SHARE = 0.1
_MAX_RETRY_BUDGET = 10.0
_MILLISECONDS = 1000
_ID_RETENTION_S = 1.0
MAX_REMEMBERED_IDS = 100_000


def on_reserve(state: BalancerState, event: ReserveAsked, now: float) -> list[Effect]:
    """Issue an id, or refuse a request that cannot run."""
    requests = state.requests
    kind = _early_refusal(state, event.service)
    if kind is None and len(requests.by_id) >= MAX_REMEMBERED_IDS:
        kind = RefusalKind.OVERLOADED
    if kind is not None:
        return [Settle('', not_run(kind, event.service))]
    requests.issued += 1
    members = state.members
    request_id = str(RequestId(members.me.name, members.incarnation, requests.issued))
    request = Request(request_id, event.service, event.deadline)
    request.forget_at = event.deadline + _ID_RETENTION_S
    requests.add(request)
    return [Reserved(request_id)]


def _early_refusal(state: BalancerState, service: str) -> RefusalKind | None:
    if state.stopping:
        return RefusalKind.LEAVING
    if not state.ready:
        return RefusalKind.NOT_READY
    spec = spec_of(state, service)
    if spec is None or spec.kind is not ServiceKind.REQUEST:
        return RefusalKind.UNKNOWN_SERVICE
    return None


def on_run(state: BalancerState, event: RunAsked, now: float) -> list[Effect]:
    """Start a request, or return why it is not started.

    A request that may have run is retried only if both the caller and the text
    declare it idempotent.
    """
    parsed = RequestId.parse(event.request)
    members = state.members
    if parsed is None:
        return [Settle(event.request, not_run(RefusalKind.BAD_ID, event.service))]
    if parsed.host != members.me.name:
        member = members.by_name.get(parsed.host)
        if member and not member.dead and member.incarnation == parsed.incarnation:
            return [Relay(event.request, parsed.host)]
        return [Settle(event.request, unknown(UnknownKind.ISSUER_GONE))]
    if parsed.incarnation != members.incarnation:
        return [Settle(event.request, unknown(UnknownKind.ISSUER_GONE))]
    request = state.requests.by_id.get(event.request)
    if request is None:
        return [Settle(event.request, unknown(UnknownKind.ISSUER_GONE))]
    if request.phase is not Phase.RESERVED and state.requests.at_most_once:
        return [Settle(event.request, unknown(UnknownKind.STARTED))]
    request.group = event.group
    spec = spec_of(state, event.service)
    request.idempotent = event.idempotent and spec is not None and spec.idempotent
    request.deadline = min(request.deadline, event.deadline)
    request.service = event.service
    return _start(state, request, now)


def _start(state: BalancerState, request: Request, now: float) -> list[Effect]:
    spec = spec_of(state, request.service)
    if spec is None or spec.kind is not ServiceKind.REQUEST:
        return _refuse(state, request, RefusalKind.UNKNOWN_SERVICE)
    if now >= request.deadline:
        return _refuse(state, request, RefusalKind.DEADLINE)
    dependency = blocked_dependency(state, spec, now)
    if dependency is not None:
        return _refuse(state, request, RefusalKind.DEPENDENCY, dependency)
    budget = state.requests.retry_budget_by_service.get(request.service, 1.0)
    state.requests.retry_budget_by_service[request.service] = min(
        _MAX_RETRY_BUDGET,
        budget + _RETRY_BUDGET_SHARE,
    )
    state.requests.begin(request)
    return _ask(state, request, now)


def _refuse(
    state: BalancerState,
    request: Request,
    kind: RefusalKind,
    detail: str = '',
    retry_s: float = 0,
) -> list[Effect]:
    """End the id, then report to the caller that the request was not run."""
    state.requests.end(request)
    outcome = not_run(kind, detail or request.service, retry_s)
    return [Settle(request.request, outcome)]


def _ask(state: BalancerState, request: Request, now: float) -> list[Effect]:
    """Request a slot from the service's slot keeper; without a keeper, choose an upstream here."""
    me = state.members.me.name
    keeper = keeper_of(state, request.service, now)
    request.keeper = keeper
    request.ask_at = now + _RETRY_S
    wait_ms = max(0, int((request.deadline - now) * _MILLISECONDS))
    ask = SlotAsk(
        me,
        request.service,
        request.request,
        request.group,
        request.avoid,
        wait_ms,
    )
    if not keeper:
        return _attempt_without_keeper(state, request, now)
    return [Say(keeper, ask)]


def _attempt_without_keeper(
    state: BalancerState,
    request: Request,
    now: float,
) -> list[Effect]:
    """Choose an upstream by this balancer's own counts while no keeper can be reached."""
    spec = spec_of(state, request.service)
    endpoint = choose_without_keeper(state, spec, request, now) if spec else None
    if endpoint is None:
        request.ask_at = now
        return []
    return _attempt(state, request, endpoint)


def _attempt(state: BalancerState, request: Request, endpoint: str) -> list[Effect]:
    request.phase = Phase.RUNNING
    request.upstream = endpoint
    request.attempts += 1
    counts = state.requests.attempts_by_endpoint
    counts[endpoint] = counts.get(endpoint, 0) + 1
    return [Attempt(request.request, endpoint, request.deadline)]


def on_grant(state: BalancerState, grant: SlotGrant, now: float) -> list[Effect]:
    """Use a granted slot, or return it if the request no longer waits."""
    request = state.requests.by_id.get(grant.request)
    waits = request is not None and request.phase is Phase.WAITING
    if request is None or not waits or now >= request.deadline:
        done = SlotDone(
            state.members.me.name,
            grant.service,
            grant.request,
            grant.upstream,
            AttemptEnd.CANCELLED,
        )
        return [Say(grant.sender, done)]
    request.keeper = grant.sender
    return _attempt(state, request, grant.upstream)


def on_refuse(state: BalancerState, refusal: SlotRefuse, now: float) -> list[Effect]:
    """Report a keeper's refusal to the caller at once, with the time to retry."""
    request = state.requests.by_id.get(refusal.request)
    if request is None or request.phase is not Phase.WAITING:
        return []
    retry_s = refusal.retry_ms / _MILLISECONDS
    return _refuse(state, request, RefusalKind(refusal.kind), retry_s=retry_s)


def on_attempt_ended(
    state: BalancerState,
    event: AttemptEnded,
    now: float,
) -> list[Effect]:
    """Return the slot, then retry if that is safe, or settle the outcome."""
    request = state.requests.by_id.get(event.request)
    if request is None or request.phase is not Phase.RUNNING:
        return []
    effects = _return_slot(state, request, event, now)
    if event.ended in {AttemptEnd.SHED, AttemptEnd.UNREACHED}:
        effects.extend(_retry_or_refuse(state, request, event, now))
    elif event.ended == AttemptEnd.LOST and request.idempotent:
        effects.extend(_retry(state, request, event, now) or _settle_answer_lost(state, request))
    elif event.ended == AttemptEnd.ANSWERED:
        state.requests.end(request)
    else:
        effects.extend(_settle_answer_lost(state, request))
    return effects


def _settle_answer_lost(state: BalancerState, request: Request) -> list[Effect]:
    state.requests.end(request)
    return [Settle(request.request, unknown(UnknownKind.ANSWER_LOST))]


def _return_slot(
    state: BalancerState,
    request: Request,
    event: AttemptEnded,
    now: float,
) -> list[Effect]:
    counts = state.requests.attempts_by_endpoint
    counts[event.upstream] = max(0, counts.get(event.upstream, 0) - 1)
    spec = spec_of(state, request.service)
    me = state.members.me.name
    if not request.keeper:
        if spec is not None:
            return observe(state.health, event.upstream, event.ended, spec.slots, now)
        return []
    done = SlotDone(me, request.service, request.request, event.upstream, event.ended)
    return [Say(request.keeper, done)]


def _retry_or_refuse(
    state: BalancerState,
    request: Request,
    event: AttemptEnded,
    now: float,
) -> list[Effect]:
    """Retry a request that the upstream did not accept, or refuse it as overloaded."""
    retried = _retry(state, request, event, now)
    if retried:
        return retried
    return _refuse(state, request, RefusalKind.OVERLOADED, retry_s=_RETRY_S)


def _retry(
    state: BalancerState,
    request: Request,
    event: AttemptEnded,
    now: float,
) -> list[Effect]:
    """Request another slot if the retry budget and the deadline allow it, else do nothing.

    Without a budget, an outage of most upstreams would cause every request to be
    tried on each of them, and the retries would overload the remaining ones.
    """
    budget = state.requests.retry_budget_by_service.get(request.service, 0)
    if budget < 1 or now >= request.deadline:
        return []
    state.requests.retry_budget_by_service[request.service] = budget - 1
    request.avoid = (*request.avoid, event.upstream)
    request.phase = Phase.WAITING
    return _ask(state, request, now)


def on_caller_gone(state: BalancerState, event: CallerGone) -> list[Effect]:
    """Cancel the attempt of a request whose caller is gone, or end the request."""
    request = state.requests.by_id.get(event.request)
    if request is None:
        return []
    if request.phase is Phase.RUNNING:
        return [Cancel(request.request)]
    state.requests.end(request)
    return []


def on_tick(state: BalancerState, now: float) -> list[Effect]:
    """Refuse requests past their deadline, repeat lost slot requests, forget old ids."""
    effects: list[Effect] = []
    for request in list(state.requests.active_by_id.values()):
        if request.phase is Phase.WAITING:
            effects.extend(_advance_waiting(state, request, now))
    state.requests.forget(now)
    return effects


def _advance_waiting(state: BalancerState, request: Request, now: float) -> list[Effect]:
    if now >= request.deadline:
        return _refuse(state, request, RefusalKind.DEADLINE)
    if now < request.ask_at:
        return []
    return _ask(state, request, now)
