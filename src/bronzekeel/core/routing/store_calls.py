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
    confirms = watches and state.reads_newest(now)
    grace_s = state.store_record.grace_s
    behind = collections_behind(state, now)
    if behind:
        state.behind_since = now
    for follower in state.follower_by_collection.values():
        if confirms and follower.is_unconfirmed(now, grace_s):
            effects.append(_doubted_line(state, follower, now))
            effects.append(follower.probe(now, grace_s))
            continue
        is_behind = follower.collection in behind
        effects.extend(_next_call(state, follower, now, watches=watches, behind=is_behind))
    return effects


def continue_watch(state: RoutingState, follower: Follower, now: float) -> list[Effect]:
    """Start the next watch, or pause if enough other balancers watch."""
    collection = follower.collection
    wait_s = state.watch_wait_s(collection, now)
    effect = follower.watch(
        now,
        wait_s=wait_s,
        grace_s=state.store_record.grace_s,
        stale=state.reads_stale(collection, now),
    )
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
        line = _doubted_line(state, follower, now)
        return [line, follower.resume(now, stale=state.reads_stale(follower.collection, now))]
    if follower.is_delay_over(now) and (follower.is_current(now) or not watches):
        return continue_watch(state, follower, now)
    if not follower.is_due(now) and not follower.is_delay_over(now):
        return []
    if behind:
        return [follower.resume(now)]
    if watches or not follower.listed:
        return [follower.resume(now, stale=state.reads_stale(follower.collection, now))]
    follower.pause()
    return []


def _doubted_line(state: RoutingState, follower: Follower, now: float) -> Effect:
    """Count a watch that may have lost its answer, and return its log line."""
    state.store_record.watches_doubted += 1
    return WriteLine(
        LogNumber.WATCH_DOUBTED,
        collection=follower.collection.value,
        revision=format_revision(follower.revision),
        unconfirmed_s=round(now - follower.confirmed_at, 3),
    )
