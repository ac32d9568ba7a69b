"""Exchange heartbeats and views with peers: send what this balancer knows, apply what they know.

Without this, a host that restarts while its data centre is cut off from the store knows nothing,
although the fabric may send it packets; and each host would need a watch of its own, which costs
the store a call per host at each change.

Views are ordered by the store's revisions (`core.routing.revisions`), texts by their generations,
whatever source they come from. What is older than the known state is ignored, so no host returns to
an older state.
"""

from bronzekeel.core.log_numbers import LogNumber
from bronzekeel.core.routing.effects import Effect, FetchView, SendHeartbeat, WriteLine
from bronzekeel.core.routing.evacuations import apply_evacuated
from bronzekeel.core.routing.events import HeartbeatHeard, ViewFailed, ViewFetched
from bronzekeel.core.routing.follower import Collection
from bronzekeel.core.routing.heartbeats import local_heartbeat, remote_heartbeat, reply_to
from bronzekeel.core.routing.learning import apply_counts
from bronzekeel.core.routing.load_moves import expedite_allowances, needs_frequent_reports
from bronzekeel.core.routing.messages import (
    Heartbeat,
    KnownVersions,
    MissingEntry,
    PeerAddress,
    View,
)
from bronzekeel.core.routing.model import UpstreamEntry
from bronzekeel.core.routing.object_updates import (
    apply_entry,
    apply_removal,
    apply_text,
    note_restore,
)
from bronzekeel.core.routing.readiness import become_ready
from bronzekeel.core.routing.revisions import incarnation_of
from bronzekeel.core.routing.state import RoutingState
from bronzekeel.core.routing.unresponsive import apply_unresponsive


#: Seconds after which a view is requested again: ten times what a text of 2,000 routes takes on a
#: link of 5 Mbit/s.
FETCH_RETRY_S = 0.5

#: Seconds after which a balancer that could not get from its peers what they know asks the store:
#: a third of the shortest bound on a change (3 s).
MAX_BEHIND_S = 1.0

#: Seconds from a start in which the store may answer before another data centre is queried: fifty
#: times the usual answer time of the users' store. Without this, each of hundreds of starting
#: hosts fetches a view of all upstreams across data centres although the store is about to list
#: them.
STORE_GRACE_S = 0.2

#: Seconds for which another data centre must have known more before it is queried. The local watch
#: reports a change within 0.25 s of a remote one, even if the store is sixty times slower than its
#: usual 4 ms; this is twice that.
REMOTE_GRACE_S = 0.5


def send_due_heartbeats(state: RoutingState, now: float) -> list[Effect]:
    """Send the heartbeats that are due."""
    effects: list[Effect] = []
    changed_at = max(state.flows.unresponsive_at, state.demand.moving.local_changes.changed_at)
    if changed_at > state.peers.last_sent_at:
        state.peers.send_heartbeats_soon()
    local_addresses = state.peers.due_neighbours(now)
    if local_addresses:
        counts = state.demand.capacities.counts.pop_report(now)
        effects.append(SendHeartbeat(local_heartbeat(state, now, counts), local_addresses))
    remote_addresses = state.peers.due_seeds(now, ready=state.ready)
    remote_addresses.extend(
        state.relays.due(
            now,
            direct=state.is_direct(now),
            queueing=needs_frequent_reports(state, now),
        )
    )
    if remote_addresses:
        named = state.peers.next_remote(now)
        effects.append(SendHeartbeat(remote_heartbeat(state, named, now), remote_addresses))
    return effects


def announce_change(state: RoutingState, now: float) -> list[Effect]:
    """Send heartbeats at once because there is a change."""
    state.peers.send_heartbeats_now()
    return send_due_heartbeats(state, now)


def on_heartbeat(state: RoutingState, event: HeartbeatHeard, now: float) -> list[Effect]:
    """Apply a heartbeat, and fetch the sender's view if it knows more.

    A peer that is new or knows nothing is answered at once: it may be in another data centre, which
    gets heartbeats seldom, and it serves nothing until then. A balancer that knows nothing itself
    answers only new peers; otherwise two of them would answer each other endlessly.
    """
    heartbeat = event.heartbeat
    effects: list[Effect] = []
    sender = heartbeat.sender
    joined = state.peers.note_heartbeat(heartbeat, now)
    effects.extend(_apply_evacuations(state, heartbeat, now))
    apply_unresponsive(state, heartbeat.unanswered_by_number, now)
    apply_counts(state, heartbeat)
    expedite_allowances(state, heartbeat)
    if joined:
        effects.append(WriteLine(LogNumber.MEMBER_JOINED, peer=sender.name))
    if joined or (state.text_order and not heartbeat.text_order):
        effects.append(SendHeartbeat(reply_to(state, sender, now), [sender.address]))
    if not _knows_more(state, heartbeat, now):
        return effects
    if state.behind_since is None:
        state.behind_since = now
    if now >= state.fetch_until:
        effects.append(_fetch_from(state, sender, now))
    return effects


def apply_view(state: RoutingState, event: ViewFetched, now: float) -> list[Effect]:
    """Apply a peer's view.

    If it came from another data centre, the change is announced at once, because all hosts of this
    data centre wait for it.
    """
    view = event.view
    known = (state.text_order, state.directory.newest_revision)
    state.fetch_until = now
    restored = note_restore(state, view.newest_revision, now)
    effects: list[Effect] = []
    if view.text is not None:
        effects.extend(apply_text(state, view.text))
    for entry in view.entries:
        effects.extend(apply_entry(state, entry, now))
    for missing in view.missing:
        effects.extend(_apply_missing(state, missing, now))
    if view.upstreams_followed:
        effects.extend(_remove_unlisted(state, view, now, restored=restored))
        _note_removals(state, view)
    state.directory.advance_revision(view.newest_revision)
    state.knows_missing = state.knows_missing or view.all_missing
    followers = state.follower_by_collection
    if state.text is not None:
        followers[Collection.TEXT].adopt(view.text_followed)
    if view.upstreams_followed:
        followers[Collection.UPSTREAMS].adopt(view.upstreams_followed)
    effects.extend(become_ready(state, now))
    effects.extend(_note_changes(state, known, now))
    return effects


def _remove_unlisted(
    state: RoutingState,
    view: View,
    now: float,
    *,
    restored: bool,
) -> list[Effect]:
    """Remove the upstreams whose removal the peer may have missed or forgotten, or a restore lost.

    A view of a restored store has all its entries.
    """
    listed_names = view.listed_names
    if listed_names is None and restored:
        listed_names = frozenset(entry.name for entry in view.entries)
    if listed_names is None:
        return []
    complete = max(view.newest_revision, view.upstreams_followed)
    effects: list[Effect] = []
    for name in list(state.directory.by_name):
        if name not in listed_names:
            effects.extend(apply_removal(state, name, complete, now))
    return effects


def _note_removals(state: RoutingState, view: View) -> None:
    """Record since when every removal is remembered, from what a peer reported of its own."""
    directory = state.directory
    if state.upstreams_complete < view.removals_since:
        directory.removals_since = view.removals_since
    elif view.all_missing and view.upstreams_followed >= directory.removals_since:
        directory.removals_since = min(directory.removals_since, view.removals_since)


def on_view_failed(state: RoutingState, event: ViewFailed, now: float) -> list[Effect]:
    """Log that a peer gave no view; the next heartbeat triggers another fetch."""
    state.fetch_until = now
    address = ':'.join(map(str, event.address))
    return [WriteLine(LogNumber.PEER_UNREACHED, peer=address, problem=event.problem)]


def collections_behind(state: RoutingState, now: float) -> frozenset[Collection]:
    """Return what peers know more of, once one has been ahead for ``MAX_BEHIND_S``.

    A balancer asks the store for these itself. Without this, a large text that the busy peers of a
    large data centre cannot pass on in time arrives later than the bound on a change.
    """
    if state.behind_since is None:
        return frozenset()
    behind = set()
    for peer in state.peers.live_neighbours(now):
        if peer.heartbeat is None:
            continue
        if peer.heartbeat.text_order > state.text_order:
            behind.add(Collection.TEXT)
        if peer.heartbeat.upstreams_revision > state.directory.newest_revision:
            behind.add(Collection.UPSTREAMS)
    if not behind:
        state.behind_since = None
    elif now < state.behind_since + MAX_BEHIND_S:
        behind.clear()
    return frozenset(behind)


def fetch_remote(state: RoutingState, now: float) -> list[Effect]:
    """Fetch the view of a remote host that has known more for ``REMOTE_GRACE_S``.

    Without this, a store that stops answering all watchers of a data centre without closing their
    connections goes unnoticed: until their watches end the watchers report that nothing has
    changed, and the data centre routes by an old text and to upstreams that have left. Remote hosts
    that know more reveal it.
    """
    ahead = state.relays.ahead(
        state.text_order,
        state.directory.newest_revision,
        now,
    )
    if ahead is None or not state.ready:
        state.remote_behind_since = None
        return []
    if state.remote_behind_since is None:
        state.remote_behind_since = now
    if now < max(state.remote_behind_since + REMOTE_GRACE_S, state.fetch_until):
        return []
    return [_fetch_from(state, ahead, now)]


def view_since(state: RoutingState, known: KnownVersions, now: float) -> View:
    """Return what this balancer knows beyond what is `known`.

    Peers that have not received a view yet also get what the store's listing does not contain:
    upstreams that are no longer listed, and those whose entries became unreadable. A
    peer that knows only a former incarnation of the store gets everything that is listed, because
    what the store has lost has no revision.
    """
    followers = state.follower_by_collection
    upstreams = followers[Collection.UPSTREAMS]
    missed = known.upstreams_revision < state.directory.removals_since
    return View(
        state.text if state.text_order > known.text_order else None,
        followers[Collection.TEXT].revision,
        _entries_since(state, known),
        _missing_since(state, known, now),
        upstreams.revision if upstreams.listed else 0,
        state.directory.newest_revision,
        all_missing=not known.removals_revision,
        removals_since=state.directory.removals_since,
        listed_names=state.directory.listed_names if missed else None,
    )


def _entries_since(state: RoutingState, known: KnownVersions) -> list[UpstreamEntry]:
    newest = state.directory.newest_revision
    whole = incarnation_of(known.upstreams_revision) < incarnation_of(newest)
    entries = []
    for upstream in state.directory.by_name.values():
        if upstream.missing_at is not None:
            continue
        withheld = not upstream.entry.usable
        seen = known.removals_revision if withheld else known.upstreams_revision
        if whole or upstream.entry.revision > seen:
            entries.append(upstream.entry)
    # Unconfirmed entries come last: before the valid ones they would count as newer.
    entries.extend(
        unconfirmed_entry
        for unconfirmed_entry in state.directory.unconfirmed_entries
        if unconfirmed_entry.revision > known.upstreams_revision
    )
    return entries


def _missing_since(state: RoutingState, known: KnownVersions, now: float) -> list[MissingEntry]:
    return [
        MissingEntry(
            upstream.entry,
            upstream.removed_revision,
            max(0, upstream.gone_at - now),
            left=upstream.left,
        )
        for upstream in state.directory.by_name.values()
        if upstream.missing_at is not None and upstream.removed_revision > known.removals_revision
    ]


def _apply_evacuations(state: RoutingState, heartbeat: Heartbeat, now: float) -> list[Effect]:
    """Apply the evacuations that a peer reports.

    The watch of this host has to report the same soon, or it counts as stalled. Changes that come
    from another data centre are announced at once, because all hosts of this data centre wait for
    them.
    """
    known = state.evacuated.centres
    effects = apply_evacuated(state, heartbeat.evacuated, heartbeat.sender.name, now)
    effects.extend(become_ready(state, now))
    if state.evacuated.centres == known:
        return effects
    state.follower_by_collection[Collection.EVACUATIONS].expect_change(now)
    if heartbeat.sender.data_centre != state.peers.me.data_centre:
        effects.extend(announce_change(state, now))
    return effects


def _fetch_from(state: RoutingState, peer: PeerAddress, now: float) -> Effect:
    """Request from a peer what it knows beyond what is known here."""
    state.fetch_until = now + FETCH_RETRY_S
    complete = state.upstreams_complete
    removals = complete if state.knows_missing else 0
    return FetchView(peer.address, KnownVersions(state.text_order, complete, removals))


def _note_changes(state: RoutingState, known: tuple[int, int], now: float) -> list[Effect]:
    """Handle what a view added to the `known` revisions of text and upstreams.

    The watches of this host have to report the same soon, or they count as stalled. Changes that
    come from another data centre are announced at once, because all hosts of this data centre wait
    for them.
    """
    text_order, upstreams_revision = known
    followers = state.follower_by_collection
    if state.text_order > text_order:
        followers[Collection.TEXT].expect_change(now)
    if state.directory.newest_revision > upstreams_revision:
        followers[Collection.UPSTREAMS].expect_change(now)
    changed = known != (state.text_order, state.directory.newest_revision)
    if changed and state.remote_behind_since is not None:
        return announce_change(state, now)
    return []


def _knows_more(state: RoutingState, heartbeat: Heartbeat, now: float) -> bool:
    """Whether the sender has state worth fetching.

    A sender without state is not queried. Before this balancer is ready it also queries remote
    peers, unless the store is answering. Later it queries only local peers, so that a change does
    not cross data centres once for each host. It queries one local peer once for the entries that
    the peer remembers and the store no longer has, because their upstreams may be alive.
    """
    if not heartbeat.text_order:
        return False
    is_local = heartbeat.sender.data_centre == state.peers.me.data_centre
    if not state.ready:
        return is_local or _is_store_unresponsive(state, now)
    if not is_local:
        return False
    if not state.knows_missing:
        return True
    return heartbeat.is_ahead_of(state.text_order, state.directory.newest_revision)


def _is_store_unresponsive(state: RoutingState, now: float) -> bool:
    """Whether the store had time to answer a host that starts, and did not."""
    answered_at = state.started_at
    for follower in state.follower_by_collection.values():
        answered_at = max(answered_at, follower.answered_at)
    return state.is_lost or now >= answered_at + STORE_GRACE_S


def _apply_missing(state: RoutingState, missing: MissingEntry, now: float) -> list[Effect]:
    """Apply a removal; the sender knows how long the entry may still come back."""
    name = missing.entry.name
    state.directory.add_unlisted(missing.entry, now)
    effects = apply_removal(state, name, missing.revision, now)
    upstream = state.directory.by_name.get(name)
    if effects and upstream is not None:
        upstream.left = missing.left
        upstream.gone_at = max(upstream.gone_at, now + missing.gone_in_s)
    return effects
