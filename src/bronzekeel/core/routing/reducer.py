"""Reduce every event of a balancer that steers by connection ids to effects.

Packets pass `core.routing.steering` directly; all that changes what the
balancer believes of the store, its text and its upstreams passes here.
"""

from collections.abc import Callable, Mapping
from types import MappingProxyType

from bronzekeel.core.log_numbers import LogNumber
from bronzekeel.core.routing.balancing import reckon_balance, reckon_room
from bronzekeel.core.routing.effects import DropWaiting, Effect, End, WriteLine
from bronzekeel.core.routing.events import (
    CallFailed,
    ChangesRead,
    Evacuation,
    Event,
    HeartbeatHeard,
    HistoryLost,
    PageRead,
    Paused,
    ProbeAnswered,
    SettingsChanged,
    Started,
    StopAsked,
    StoredObject,
    Ticked,
    Unreadable,
    ViewFailed,
    ViewFetched,
)
from bronzekeel.core.routing.evacuations import (
    STORE,
    end_evacuations,
    evacuated_after,
    take_evacuated,
)
from bronzekeel.core.routing.follower import GATHER_S, LISTEN_S, Collection, Follower
from bronzekeel.core.routing.load_moves import look_at_load
from bronzekeel.core.routing.messages import NOTHING_EVACUATED, Evacuated
from bronzekeel.core.routing.model import RoutingText, UpstreamEntry
from bronzekeel.core.routing.readiness import become_ready
from bronzekeel.core.routing.revisions import (
    incarnation_of,
    is_same_incarnation,
    revision_of,
    shown,
)
from bronzekeel.core.routing.sharing import (
    ask_elsewhere,
    beat,
    is_long_behind,
    on_heartbeat,
    note_refusal,
    take_view,
    announce_change,
)
from bronzekeel.core.routing.state import RoutingState
from bronzekeel.core.routing.taking import (
    note_restored,
    settle_doubts,
    take_entry,
    take_removal,
    take_text,
    take_unreadable,
)


#: Interval in seconds at which the daemon feeds ``Ticked``.
#: Source: a tenth of a second late is little beside every wait decided here.
TICK_S = 0.1

#: Interval in seconds at which upstreams that are long gone are forgotten.
_FORGET_EVERY_S = 5.0

#: Seconds of a pause after which the packets that waited are dropped.  Source:
#: callers give an opening packet up after 1.4 s, and repeat all others sooner.
STALE_PAUSE_S = 1.4

#: What is wrong, in the log, with an answer from before the store was restored.
_FORMER = 'a former incarnation of the store answered'

#: Seconds that a silent flow is remembered while no text is known.
_IDLE_S = 15.0


def reduce(state: RoutingState, event: Event, now: float) -> list[Effect]:
    """Return what `event` asks the adapters to do, and note it in `state`."""
    return _HANDLERS[type(event)](state, event, now)


def _on_started(state: RoutingState, event: Started, now: float) -> list[Effect]:
    state.started_at = now
    state.eligibility.begin(now)
    effects = beat(state, now)
    for follower in state.follower_by_collection.values():
        effects.append(follower.begin_listing())
    return effects


def _on_page(state: RoutingState, event: PageRead, now: float) -> list[Effect]:
    follower = state.follower_by_collection[Collection(event.collection)]
    if incarnation_of(event.revision) < state.incarnation:
        return _on_failure(state, CallFailed(event.collection, _FORMER), now)
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
    effects.extend(_go_on(state, follower, now))
    return effects


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


def _on_changes(state: RoutingState, event: ChangesRead, now: float) -> list[Effect]:
    follower = state.follower_by_collection[Collection(event.collection)]
    if incarnation_of(event.revision) < state.incarnation:
        return _on_failure(state, CallFailed(event.collection, _FORMER), now)
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
        effects.extend(_go_on(state, follower, now))
    if known != _news(state):
        effects.extend(announce_change(state, now))
    return effects


def _news(state: RoutingState) -> tuple[int, int, frozenset[str]]:
    """Return what differs when the store has told something that peers should know at once."""
    return state.text_order, state.directory.newest_revision, state.evacuated.centres


def _go_on(state: RoutingState, follower: Follower, now: float) -> list[Effect]:
    """Watch on, or leave that to others when enough of them do."""
    effect = follower.watch(now, stale=state.reads_stale(follower.collection, now))
    if state.is_watcher(now):
        return [effect]
    follower.pause()
    return []


def _on_history_lost(state: RoutingState, event: HistoryLost, now: float) -> list[Effect]:
    follower = state.follower_by_collection[Collection(event.collection)]
    state.store_record.histories_lost += 1
    effects = _note_incarnation(state, follower, revision_of(event.incarnation, 0), now)
    line = WriteLine(
        LogNumber.HISTORY_LOST,
        collection=event.collection,
        revision=shown(follower.revision),
    )
    return [*effects, line, *follower.relist(now)]


def _on_failure(state: RoutingState, event: CallFailed, now: float) -> list[Effect]:
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


def _on_probe(state: RoutingState, event: ProbeAnswered, now: float) -> list[Effect]:
    if not event.ready:
        state.stopping.note_refusal()
    return []


def _on_stop(state: RoutingState, event: StopAsked, now: float) -> list[Effect]:
    if state.stopping.asked:
        return []
    state.stopping.ask(now)
    stopping = WriteLine(LogNumber.STOPPING, flows=len(state.flows))
    return [stopping, *announce_change(state, now)]


def _on_pause(state: RoutingState, event: Paused, now: float) -> list[Effect]:
    """Rely on nothing that was valid before a pause until it is proved again.

    Packets that waited through a long pause are dropped: an opening packet
    among them would open a flow that its caller has given up, and hold a place
    at an upstream.
    """
    for follower in state.follower_by_collection.values():
        follower.doubt(now)
    state.peers.doubt_all()
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
    state.flows.expire(state.text.idle_s if state.text else _IDLE_S, now)
    if now >= state.forget_at:
        state.forget_at = now + _FORGET_EVERY_S
        state.directory.forget_old(now)
    effects = settle_doubts(state, now)
    effects.extend(end_evacuations(state, now))
    state.peers.forget_silent(now)
    state.shared_loads.note(state.directory, state.peers.busy_elsewhere(now))
    reckon_balance(state, now)
    reckon_room(state, now)
    effects.extend(look_at_load(state, now))
    state.admission.reckon(now)
    pools = state.directory.pools_of(state.peers.me.data_centre)
    effects.extend(state.overloads.look(pools, now))
    effects.extend(_follow_on(state, now))
    effects.extend(ask_elsewhere(state, now))
    effects.extend(beat(state, now))
    if state.stopping.is_done(now):
        effects.append(WriteLine(LogNumber.STOPPED, refusals=state.stopping.refusals))
        effects.append(End())
    return effects


def _follow_on(state: RoutingState, now: float) -> list[Effect]:
    """Make the calls to the store that are due."""
    effects: list[Effect] = []
    watches = state.is_watcher(now)
    behind = is_long_behind(state, now)
    if behind:
        state.behind_since = now
    for follower in state.follower_by_collection.values():
        effects.extend(_next_call(state, follower, now, watches=watches, behind=behind))
    return effects


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
        return _go_on(state, follower, now)
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


_HANDLERS: Mapping[type[Event], Callable[..., list[Effect]]] = MappingProxyType(
    {
        Started: _on_started,
        Ticked: _on_tick,
        PageRead: _on_page,
        ChangesRead: _on_changes,
        HistoryLost: _on_history_lost,
        CallFailed: _on_failure,
        ProbeAnswered: _on_probe,
        StopAsked: _on_stop,
        Paused: _on_pause,
        SettingsChanged: _on_settings,
        HeartbeatHeard: on_heartbeat,
        ViewFetched: take_view,
        ViewFailed: note_refusal,
    },
)
