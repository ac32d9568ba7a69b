"""Decide which calls to the store are due, and leave them to other hosts where these make them."""

from bronzekeel.core.log_numbers import LogNumber
from bronzekeel.core.routing.effects import Effect, WriteLine
from bronzekeel.core.routing.follower import Follower
from bronzekeel.core.routing.peer_exchange import is_behind_too_long
from bronzekeel.core.routing.revisions import shown
from bronzekeel.core.routing.state import RoutingState


def follow_on(state: RoutingState, now: float) -> list[Effect]:
    """Make the calls to the store that are due."""
    effects: list[Effect] = []
    watches = state.is_watcher(now)
    behind = is_behind_too_long(state, now)
    if behind:
        state.behind_since = now
    for follower in state.follower_by_collection.values():
        effects.extend(_next_call(state, follower, now, watches=watches, behind=behind))
    return effects


def go_on(state: RoutingState, follower: Follower, now: float) -> list[Effect]:
    """Watch on, or leave that to others when enough of them do."""
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
    """Return the call that is due for one collection; leave it to others if they do it."""
    if follower.is_doubtful(now):
        return _doubt(state, follower, now)
    if follower.has_rested(now) and (follower.is_current(now) or not watches):
        return go_on(state, follower, now)
    if not follower.is_due(now) and not follower.has_rested(now):
        return []
    if behind:
        return [follower.resume()]
    if watches or not follower.listed:
        return [follower.resume(stale=state.reads_stale(follower.collection, now))]
    follower.pause()
    return []


def _doubt(state: RoutingState, follower: Follower, now: float) -> list[Effect]:
    """Begin a watch anew that did not tell what a peer told."""
    line = WriteLine(
        LogNumber.WATCH_DOUBTED,
        collection=follower.collection.value,
        revision=shown(follower.revision),
    )
    return [line, follower.resume(stale=state.reads_stale(follower.collection, now))]
