"""Handle the store's answers to lists and watches, in revision order."""

from bronzekeel.core.log_numbers import LogNumber
from bronzekeel.core.routing.effects import Effect, WriteLine
from bronzekeel.core.routing.evacuations import STORE, apply_evacuated, evacuated_with
from bronzekeel.core.routing.events import (
    CallFailed,
    ChangesRead,
    Evacuation,
    HistoryLost,
    PageRead,
    StoredObject,
    Unreadable,
)
from bronzekeel.core.routing.follower import BATCH_S, LISTEN_S, Collection, Follower
from bronzekeel.core.routing.messages import NOTHING_EVACUATED, Evacuated
from bronzekeel.core.routing.model import RoutingText, UpstreamEntry
from bronzekeel.core.routing.object_updates import (
    apply_entry,
    apply_removal,
    apply_text,
    handle_unreadable,
    note_restore,
)
from bronzekeel.core.routing.peer_exchange import announce_change
from bronzekeel.core.routing.readiness import become_ready
from bronzekeel.core.routing.revisions import (
    format_revision,
    incarnation_of,
    is_same_incarnation,
    revision_of,
)
from bronzekeel.core.routing.state import RoutingState
from bronzekeel.core.routing.store_calls import continue_watch


#: Problem that is logged for an answer from before the store was restored.
_OLD_INCARNATION = 'answer from an earlier incarnation of the store'


def on_page(state: RoutingState, event: PageRead, now: float) -> list[Effect]:
    follower = state.follower_by_collection[Collection(event.collection)]
    if incarnation_of(event.revision) < state.incarnation:
        return on_failure(state, CallFailed(event.collection, _OLD_INCARNATION), now)
    follower.answered_at = now
    effects = _note_recovered(state, follower, now)
    effects.extend(_note_incarnation(state, follower, event.revision, now))
    # Pages of two incarnations don't form one listing: upstreams that joined between them would
    # seem removed.
    if not follower.listing.continues_at(event.revision):
        return [*effects, follower.begin_listing(now)]
    last_name = follower.listing.add_page(event.objects, event.revision)
    if event.more and last_name:
        return [*effects, follower.next_page(last_name, now)]
    if follower.collection is Collection.UPSTREAMS:
        _note_unseen_removals(state, follower)
    effects.extend(_apply_listing(state, follower, now))
    follower.end_listing()
    effects.extend(become_ready(state, now))
    if follower.stale:
        follower.listen(now + LISTEN_S)
        return effects
    effects.extend(continue_watch(state, follower, now))
    return effects


def on_changes(state: RoutingState, event: ChangesRead, now: float) -> list[Effect]:
    follower = state.follower_by_collection[Collection(event.collection)]
    if incarnation_of(event.revision) < state.incarnation:
        return on_failure(state, CallFailed(event.collection, _OLD_INCARNATION), now)
    if now >= follower.due_at:
        state.store_record.late_s = now - follower.due_at
    effects = _note_recovered(state, follower, now)
    effects.extend(_note_incarnation(state, follower, event.revision, now))
    # A restored store answers a watch by its revision number alone, and gives out numbers again, so
    # changes with lower numbers would be missed.
    if not is_same_incarnation(event.revision, follower.watched_from):
        return [*effects, *follower.relist(now)]
    follower.relistings = 0
    known = _announced_state(state)
    for stored in event.objects:
        effects.extend(_apply(state, follower, stored, now))
    if follower.collection is Collection.UPSTREAMS:
        _advance_directory(state, event.objects, event.revision)
    if follower.collection is Collection.EVACUATIONS:
        reported = evacuated_with(state.evacuated, event.objects, event.revision)
        effects.extend(apply_evacuated(state, reported, STORE, now))
    follower.store_changes = not event.objects and event.revision > follower.revision
    follower.revision = max(follower.revision, event.revision)
    if not follower.stale:
        _advance_others(state, follower, event)
        state.confirm_views(event.revision, now)
    probing = follower.probing
    effects.extend(become_ready(state, now))
    if event.objects and follower.collection is Collection.UPSTREAMS:
        follower.delay_next_call(now + BATCH_S)
    else:
        effects.extend(continue_watch(state, follower, now))
    if known != _announced_state(state):
        if probing:
            state.relays.expedite()
        effects.extend(announce_change(state, now))
    return effects


def on_history_lost(state: RoutingState, event: HistoryLost, now: float) -> list[Effect]:
    follower = state.follower_by_collection[Collection(event.collection)]
    state.store_record.histories_lost += 1
    effects = _note_incarnation(state, follower, revision_of(event.incarnation, 0), now)
    line = WriteLine(
        LogNumber.HISTORY_LOST,
        collection=event.collection,
        revision=format_revision(follower.revision),
    )
    return [*effects, line, *follower.relist(now)]


def on_failure(state: RoutingState, event: CallFailed, now: float) -> list[Effect]:
    follower = state.follower_by_collection[Collection(event.collection)]
    known = follower.lost
    follower.fail(now)
    if known:
        return []
    return [
        WriteLine(
            LogNumber.PLATFORM_LOST,
            collection=event.collection,
            problem=event.problem,
            revision=format_revision(follower.revision),
        ),
    ]


def _apply_listing(state: RoutingState, follower: Follower, now: float) -> list[Effect]:
    """Apply a complete listing.

    Pages are not applied one by one.  Otherwise the newest revision of the first page would be
    announced to peers before the other pages are read, and peers that fetched up to that revision
    would not ask for the rest.
    """
    if follower.collection is Collection.UPSTREAMS:
        state.directory.has_gaps = follower.listing.has_gaps
        note_restore(state, follower.listing.revision or 0, now)
    effects: list[Effect] = []
    for stored in follower.listing.objects:
        effects.extend(_apply(state, follower, stored, now))
    if follower.collection is Collection.UPSTREAMS:
        effects.extend(_remove_unlisted(state, follower, now))
        _advance_directory(state, follower.listing.objects, follower.listing.revision or 0)
    if follower.collection is Collection.EVACUATIONS:
        effects.extend(apply_evacuated(state, _listed_evacuated(state, follower), STORE, now))
    return effects


def _advance_directory(state: RoutingState, objects: list[StoredObject], complete: int) -> None:
    """Record the last change among `objects`, which account for every change up to `complete`."""
    revisions = (stored.revision for stored in objects if stored.revision <= complete)
    state.directory.advance_revision(max(revisions, default=0))


def _note_unseen_removals(state: RoutingState, follower: Follower) -> None:
    """Record that a listing hides what was added and removed since the last answer."""
    revision = follower.listing.revision or 0
    if revision > follower.revision:
        state.directory.removals_since = max(state.directory.removals_since, revision)


def _announced_state(state: RoutingState) -> tuple[int, int, frozenset[str]]:
    """Return the values whose change has to be announced to peers at once."""
    return state.text_order, state.directory.newest_revision, state.evacuated.centres


def _advance_others(state: RoutingState, follower: Follower, event: ChangesRead) -> None:
    """Advance the other collections if an answer has every change since they were read.

    Each change has a revision of its own, so none of the changes was one of theirs.
    """
    changed = {stored.revision for stored in event.objects}
    for other in state.follower_by_collection.values():
        if other is follower or not other.listed:
            continue
        missed = event.revision - other.revision
        if not 0 < missed <= len(changed):
            continue
        if changed.issuperset(range(other.revision + 1, event.revision + 1)):
            other.adopt(event.revision)


def _note_recovered(state: RoutingState, follower: Follower, now: float) -> list[Effect]:
    """Record that the store answers again.

    Entries that lapsed during the outage get a grace period from now on.  Without it, all upstreams
    of a service would count as gone right after an outage.
    """
    if not follower.lost:
        return []
    follower.lost = False
    if follower.collection is Collection.UPSTREAMS:
        state.directory.note_recovered(now)
    return [
        WriteLine(
            LogNumber.PLATFORM_BACK,
            collection=follower.collection.value,
            failures=follower.failures,
        ),
    ]


def _note_incarnation(
    state: RoutingState,
    follower: Follower,
    reported: int,
    now: float,
) -> list[Effect]:
    """Record the incarnation of the store in the `reported` revision.

    If it is newer than the known one, the watches of the other collections are restarted.
    """
    incarnation = incarnation_of(reported)
    former = state.store_record.incarnation
    if former is not None and incarnation <= former:
        return []
    state.store_record.incarnation = incarnation
    for other in state.follower_by_collection.values():
        if other is not follower:
            other.expect_incarnation(incarnation, now)
    if former is None:
        return []
    return [
        WriteLine(
            LogNumber.STORE_RESTORED,
            collection=follower.collection.value,
            incarnation=incarnation,
            former_incarnation=former,
            revision=format_revision(follower.revision),
        ),
    ]


def _apply(
    state: RoutingState,
    follower: Follower,
    stored: StoredObject,
    now: float,
) -> list[Effect]:
    if isinstance(stored.content, RoutingText):
        return apply_text(state, stored.content)
    if isinstance(stored.content, UpstreamEntry):
        return apply_entry(state, stored.content, now)
    if isinstance(stored.content, Evacuation):
        return []
    if isinstance(stored.content, Unreadable):
        return handle_unreadable(state, stored.name, stored.revision, stored.content.problem)
    if follower.collection is Collection.EVACUATIONS:
        return []
    if follower.collection is Collection.TEXT:
        removed = 'removed; the last text stays in force'
        return handle_unreadable(state, stored.name, stored.revision, removed)
    return apply_removal(state, stored.name, stored.revision, now)


def _remove_unlisted(state: RoutingState, follower: Follower, now: float) -> list[Effect]:
    """Remove the upstreams that are absent from a complete listing.

    Nothing is removed if the listing has objects with unreadable names, which may be any of them.
    A peer or a newer page may have shown entries newer than the listing, so a removal counts from
    the listing's own revision.
    """
    effects: list[Effect] = []
    if follower.listing.has_gaps:
        return effects
    revision = follower.listing.revision or 0
    found = {listed.name for listed in follower.listing.objects}
    unreadable = state.directory.unreadable_by_name
    state.directory.unreadable_by_name = {
        name: unreadable[name] for name in found & set(unreadable)
    }
    for name in list(state.directory.by_name):
        if name in found:
            continue
        effects.extend(apply_removal(state, name, revision, now))
        state.directory.advance_revision(revision)
    return effects


def _listed_evacuated(state: RoutingState, follower: Follower) -> Evacuated:
    """Return the evacuations in a complete listing.

    If some names in the listing are unreadable, all known evacuations stay in force.
    """
    known = state.evacuated if follower.listing.has_gaps else NOTHING_EVACUATED
    found = {listed.name for listed in follower.listing.objects if listed.name}
    return Evacuated(follower.listing.revision or 0, known.centres.union(found))
