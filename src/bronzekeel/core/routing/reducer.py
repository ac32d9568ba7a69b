"""Reduce events of a balancer that steers by connection ids to effects.

Packets go to `core.routing.steering` directly; every event that changes what the
balancer knows of the store, its text and its upstreams is handled here.
"""

from collections.abc import Callable, Mapping
from types import MappingProxyType

from bronzekeel.core.log_numbers import LogNumber
from bronzekeel.core.routing.balancing import update_balance, update_free_capacity
from bronzekeel.core.routing.effects import DropWaiting, Effect, End, WriteLine
from bronzekeel.core.routing.evacuations import (
    expire_evacuations,
)
from bronzekeel.core.routing.events import (
    CallFailed,
    ChangesRead,
    Event,
    HeartbeatHeard,
    HistoryLost,
    PageRead,
    Paused,
    ProbeAnswered,
    SettingsChanged,
    Started,
    StopAsked,
    Ticked,
    ViewFailed,
    ViewFetched,
)
from bronzekeel.core.routing.learning import learn_capacities
from bronzekeel.core.routing.load_moves import update_load
from bronzekeel.core.routing.object_updates import (
    apply_confirmed,
)
from bronzekeel.core.routing.peer_exchange import (
    announce_change,
    apply_view,
    fetch_remote,
    on_heartbeat,
    on_view_failed,
    send_due_heartbeats,
)
from bronzekeel.core.routing.state import RoutingState
from bronzekeel.core.routing.store_answers import (
    on_changes,
    on_failure,
    on_history_lost,
    on_page,
)
from bronzekeel.core.routing.store_calls import make_due_calls


#: Interval in seconds at which the daemon sends ``Ticked``.  A delay of a tenth
#: of a second is small compared with every timeout that is decided here.
TICK_S = 0.1

#: Interval in seconds at which upstreams that have been gone for long are dropped.
_FORGET_INTERVAL_S = 5.0

#: Length in seconds of a pause of the process from which the packets that waited
#: through it are dropped.  Callers give up an opening packet after 1.4 s, and
#: repeat all others sooner.
STALE_PAUSE_S = 1.4

#: Seconds for which an idle flow is tracked while no text is known.
_DEFAULT_IDLE_S = 15.0


def reduce(state: RoutingState, event: Event, now: float) -> list[Effect]:
    """Apply `event` to `state`; return the effects for the adapters."""
    return _HANDLERS[type(event)](state, event, now)


def _on_started(state: RoutingState, event: Started, now: float) -> list[Effect]:
    state.started_at = now
    state.eligibility.begin(now)
    effects = send_due_heartbeats(state, now)
    for follower in state.follower_by_collection.values():
        effects.append(follower.begin_listing(now))
    return effects


def _on_probe(state: RoutingState, event: ProbeAnswered, now: float) -> list[Effect]:
    if not event.ready:
        state.stopping.note_refusal()
    return []


def _on_stop(state: RoutingState, event: StopAsked, now: float) -> list[Effect]:
    if state.stopping.is_requested:
        return []
    state.stopping.begin(now)
    stopping = WriteLine(LogNumber.STOPPING, flows=len(state.flows))
    return [stopping, *announce_change(state, now)]


def _on_pause(state: RoutingState, event: Paused, now: float) -> list[Effect]:
    """Invalidate what was known before a pause until it is confirmed again.

    Packets that waited through a long pause are dropped: an opening packet
    among them would open a flow that its caller has given up, and occupy a slot
    of an upstream.
    """
    for follower in state.follower_by_collection.values():
        follower.invalidate(now)
    state.peers.expire_all()
    state.demand.capacities.counts.valid_from = now
    effects: list[Effect] = [WriteLine(LogNumber.PAUSED, paused_s=round(event.paused_s, 3))]
    if event.paused_s >= STALE_PAUSE_S:
        effects.append(DropWaiting())
    return effects


def _on_settings(state: RoutingState, event: SettingsChanged, now: float) -> list[Effect]:
    if event.problem:
        return [WriteLine(LogNumber.SETTINGS_REFUSED, problem=event.problem)]
    state.stopping.within_s = event.stop_within_s
    return [WriteLine(LogNumber.SETTINGS_TAKEN, stop_within_s=event.stop_within_s)]


def _on_tick(state: RoutingState, event: Ticked, now: float) -> list[Effect]:
    state.flows.expire(state.text.idle_s if state.text else _DEFAULT_IDLE_S, now)
    if now >= state.forget_at:
        state.forget_at = now + _FORGET_INTERVAL_S
        state.directory.forget_old(now)
    effects = apply_confirmed(state, now)
    effects.extend(expire_evacuations(state, now))
    state.peers.forget_expired(now)
    state.shared_loads.note(state.directory, state.peers.busy_at_peers(now))
    effects.extend(_update_load(state, now))
    effects.extend(make_due_calls(state, now))
    effects.extend(fetch_remote(state, now))
    effects.extend(send_due_heartbeats(state, now))
    if state.stopping.is_done(now):
        effects.append(WriteLine(LogNumber.STOPPED, refusals=state.stopping.refusals))
        effects.append(End())
    return effects


def _update_load(state: RoutingState, now: float) -> list[Effect]:
    """Update capacities, the distribution of flows, request limits and callers' shares."""
    effects = learn_capacities(state, now)
    update_balance(state, now)
    update_free_capacity(state, now)
    effects.extend(update_load(state, now))
    state.admission.update_limits(now)
    pools = state.directory.pools_of(state.peers.me.data_centre)
    effects.extend(state.overloads.check(pools, now))
    callers = state.demand.callers
    effects.extend(callers.update(pools, state.peers, now, controlled=state.controls_demand))
    return effects


_HANDLERS: Mapping[type[Event], Callable[..., list[Effect]]] = MappingProxyType(
    {
        Started: _on_started,
        Ticked: _on_tick,
        PageRead: on_page,
        ChangesRead: on_changes,
        HistoryLost: on_history_lost,
        CallFailed: on_failure,
        ProbeAnswered: _on_probe,
        StopAsked: _on_stop,
        Paused: _on_pause,
        SettingsChanged: _on_settings,
        HeartbeatHeard: on_heartbeat,
        ViewFetched: apply_view,
        ViewFailed: on_view_failed,
    },
)
