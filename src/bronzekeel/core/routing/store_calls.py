"""Decide which calls to the store are due, and which can be left to other hosts."""

from bronzekeel.core.log_numbers import LogNumber
from bronzekeel.core.routing.effects import Effect, WriteLine
from bronzekeel.core.routing.follower import Follower
from bronzekeel.core.routing.peer_exchange import collections_behind
from bronzekeel.core.routing.revisions import format_revision
from bronzekeel.core.routing.state import RoutingState


def make_due_calls(state: RoutingState, now: float) -> list[Effect]:
    """Return the calls to the store that are due."""
    effects: list[Effect] = []
    watches = state.is_watcher(now)
    behind = collections_behind(state, now)
    if behind:
        state.behind_since = now
    for follower in state.follower_by_collection.values():
        is_behind = follower.collection in behind
        effects.extend(_next_call(state, follower, now, watches=watches, behind=is_behind))
    return effects


def continue_watch(state: RoutingState, follower: Follower, now: float) -> list[Effect]:
    """Start the next watch, or pause if enough other balancers watch."""
    effect = follower.watch(now, stale=state.reads_stale(follower.collection, now))
    if state.is_watcher(now):
        return [effect]
    follower.pause()
    return []


def _next_call(
    state: RoutingState,
    follower: Follower,
    now: float,
    *,
    watches: bool,
    behind: bool,
) -> list[Effect]:
    """Return the call that is due for one collection, or pause if other balancers make it."""
    if follower.is_stalled(now):
        return _restart_stalled_watch(state, follower, now)
    if follower.is_delay_over(now) and (follower.is_current(now) or not watches):
        return continue_watch(state, follower, now)
    if not follower.is_due(now) and not follower.is_delay_over(now):
        return []
    if behind:
        return [follower.resume()]
    if watches or not follower.listed:
        return [follower.resume(stale=state.reads_stale(follower.collection, now))]
    follower.pause()
    return []


def _restart_stalled_watch(state: RoutingState, follower: Follower, now: float) -> list[Effect]:
    """Restart a watch that did not report a change that a peer reported."""
    line = WriteLine(
        LogNumber.WATCH_DOUBTED,
        collection=follower.collection.value,
        revision=format_revision(follower.revision),
    )
    return [line, follower.resume(stale=state.reads_stale(follower.collection, now))]
