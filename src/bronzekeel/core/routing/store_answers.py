"""Take what the store answers to lists and watches, in its order."""

from bronzekeel.core.log_numbers import LogNumber
from bronzekeel.core.routing.effects import Effect, WriteLine
from bronzekeel.core.routing.evacuations import STORE, evacuated_after, take_evacuated
from bronzekeel.core.routing.events import (
    CallFailed,
    ChangesRead,
    Evacuation,
    HistoryLost,
    PageRead,
    StoredObject,
    Unreadable,
)
from bronzekeel.core.routing.follower import GATHER_S, LISTEN_S, Collection, Follower
from bronzekeel.core.routing.messages import NOTHING_EVACUATED, Evacuated
from bronzekeel.core.routing.model import RoutingText, UpstreamEntry
from bronzekeel.core.routing.peer_exchange import announce_change
from bronzekeel.core.routing.readiness import become_ready
from bronzekeel.core.routing.revisions import (
    incarnation_of,
    is_same_incarnation,
    revision_of,
    shown,
)
from bronzekeel.core.routing.state import RoutingState
from bronzekeel.core.routing.store_calls import go_on
from bronzekeel.core.routing.taking import (
    note_restored,
    take_entry,
    take_removal,
    take_text,
    take_unreadable,
)


#: What is wrong, in the log, with an answer from before the store was restored.
_FORMER = 'a former incarnation of the store answered'


def on_page(state: RoutingState, event: PageRead, now: float) -> list[Effect]:
    follower = state.follower_by_collection[Collection(event.collection)]
    if incarnation_of(event.revision) < state.incarnation:
        return on_failure(state, CallFailed(event.collection, _FORMER), now)
    follower.answered_at = now
    effects = _note_regained(state, follower, now)
    effects.extend(_note_incarnation(state, follower, event.revision, now))
    # Pages of two incarnations make no whole: what joined between them would look removed.
    if not follower.is_page_of_listing(event.revision):
        return [*effects, follower.begin_listing()]
    last_name = follower.add_page(event.objects, event.revision)
    if event.more and last_name:
        return [*effects, follower.next_page(last_name)]
    follower.end_listing(event.revision)
    effects.extend(_take_listing(state, follower, now))
    effects.extend(become_ready(state, now))
    if follower.stale:
        follower.listen(now + LISTEN_S)
        return effects
    effects.extend(go_on(state, follower, now))
    return effects


def on_changes(state: RoutingState, event: ChangesRead, now: float) -> list[Effect]:
    follower = state.follower_by_collection[Collection(event.collection)]
    if incarnation_of(event.revision) < state.incarnation:
        return on_failure(state, CallFailed(event.collection, _FORMER), now)
    effects = _note_regained(state, follower, now)
    effects.extend(_note_incarnation(state, follower, event.revision, now))
    # A restored store answers by the watch's number, which it has given out again: changes that
    # are numbered below it would be missed.
    if not is_same_incarnation(event.revision, follower.watched_from):
        return [*effects, *follower.relist(now)]
    follower.relistings = 0
    known = _news(state)
    for stored in event.objects:
        effects.extend(_take(state, follower, stored, now))
    if follower.collection is Collection.EVACUATIONS:
        told = evacuated_after(state.evacuated, event.objects, event.revision)
        effects.extend(take_evacuated(state, told, STORE, now))
    follower.revision = max(follower.revision, event.revision)
    effects.extend(become_ready(state, now))
    if event.objects and follower.collection is Collection.UPSTREAMS:
        follower.rest(now + GATHER_S)
    else:
        effects.extend(go_on(state, follower, now))
    if known != _news(state):
        effects.extend(announce_change(state, now))
    return effects


def on_history_lost(state: RoutingState, event: HistoryLost, now: float) -> list[Effect]:
    follower = state.follower_by_collection[Collection(event.collection)]
    state.store_record.histories_lost += 1
    effects = _note_incarnation(state, follower, revision_of(event.incarnation, 0), now)
    line = WriteLine(
        LogNumber.HISTORY_LOST,
        collection=event.collection,
        revision=shown(follower.revision),
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
            revision=shown(follower.revision),
        ),
    ]


def _take_listing(state: RoutingState, follower: Follower, now: float) -> list[Effect]:
    """Take a listing that is whole.

    What goes wrong with a page at a time: the newest revision on it is told to peers before the
    other pages are read, and those that have fetched up to there ask for nothing more.
    """
    if follower.collection is Collection.UPSTREAMS:
        note_restored(state, follower.listing_revision or 0, now)
    effects: list[Effect] = []
    for stored in follower.objects:
        effects.extend(_take(state, follower, stored, now))
    if follower.collection is Collection.UPSTREAMS:
        effects.extend(_remove_unlisted(state, follower, now))
    if follower.collection is Collection.EVACUATIONS:
        effects.extend(take_evacuated(state, _listed_evacuated(state, follower), STORE, now))
    follower.objects = []
    return effects


def _news(state: RoutingState) -> tuple[int, int, frozenset[str]]:
    """Return what differs when the store has told something that peers should know at once."""
    return state.text_order, state.directory.newest_revision, state.evacuated.centres


def _note_regained(state: RoutingState, follower: Follower, now: float) -> list[Effect]:
    """Note that the store answers again.

    Entries that lapsed during the outage get time to come back, counted from
    here: without it a whole service would look gone right after an outage.
    """
    if not follower.lost:
        return []
    follower.lost = False
    if follower.collection is Collection.UPSTREAMS:
        state.directory.note_regained(now)
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
    told: int,
    now: float,
) -> list[Effect]:
    """Note which incarnation of the store answered, up to the revision that it `told`.

    The watches of the other collections are made anew if it is a newer one.
    """
    incarnation = incarnation_of(told)
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
            revision=shown(follower.revision),
        ),
    ]


def _take(
    state: RoutingState,
    follower: Follower,
    stored: StoredObject,
    now: float,
) -> list[Effect]:
    if isinstance(stored.content, RoutingText):
        return take_text(state, stored.content)
    if isinstance(stored.content, UpstreamEntry):
        return take_entry(state, stored.content, now)
    if isinstance(stored.content, Evacuation):
        return []
    if isinstance(stored.content, Unreadable):
        return take_unreadable(state, stored.name, stored.revision, stored.content.problem)
    if follower.collection is Collection.EVACUATIONS:
        return []
    if follower.collection is Collection.TEXT:
        removed = 'removed; the last text stays in force'
        return take_unreadable(state, stored.name, stored.revision, removed)
    return take_removal(state, stored.name, stored.revision, now)


def _remove_unlisted(state: RoutingState, follower: Follower, now: float) -> list[Effect]:
    """Note the upstreams that a complete listing does not have.

    One with objects whose names could not be read may have them.  What a peer told of
    meanwhile may be newer than the listing, so a removal counts from the listing's own
    revision.
    """
    effects: list[Effect] = []
    if follower.has_gaps:
        return effects
    revision = follower.listing_revision or 0
    found = {listed.name for listed in follower.objects}
    for name in list(state.directory.by_name):
        if name in found:
            continue
        effects.extend(take_removal(state, name, revision, now))
    return effects


def _listed_evacuated(state: RoutingState, follower: Follower) -> Evacuated:
    """Return what a complete listing says of evacuations.

    One whose names could not all be read ends none of those that are known.
    """
    known = state.evacuated if follower.has_gaps else NOTHING_EVACUATED
    found = {listed.name for listed in follower.objects if listed.name}
    return Evacuated(follower.listing_revision or 0, known.centres.union(found))
