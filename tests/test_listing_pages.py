"""Test listings whose pages show the store at different revisions."""

from itertools import permutations
from random import Random
from unittest import TestCase

from bronzekeel.core.routing.directory import RETENTION_S
from bronzekeel.core.routing.effects import Effect, FetchView, ReadPage, WatchChanges
from bronzekeel.core.routing.events import (
    ChangesRead,
    Evacuation,
    HeartbeatHeard,
    HistoryLost,
    PageRead,
    Started,
    StoredObject,
    Ticked,
    Unreadable,
    ViewFetched,
)
from bronzekeel.core.routing.follower import LISTEN_S, Collection
from bronzekeel.core.routing.heartbeats import local_heartbeat
from bronzekeel.core.routing.messages import View
from bronzekeel.core.routing.model import UpstreamEntry
from bronzekeel.core.routing.peer_exchange import view_since
from bronzekeel.core.routing.reducer import reduce
from bronzekeel.core.routing.state import RoutingState
from bronzekeel.entry.peer_messages import decode_view, encode_view
from bronzekeel.replay.routing_store import StoreModel
from tests.routing_cases import entry, fresh_state, page, ready_state, text


_PEER = ('peer', 9)
_SEEDS = range(60)
_STEPS = 40
_UPSTREAMS = 12
_PAGES = 4


class PageAgeTest(TestCase):
    """A listing has one old page and one new page."""

    def test_a_change_that_an_old_page_lacks_is_fetched(self) -> None:
        """Guards against hosts that never learn of an upstream, and reset its open flows."""
        peer = _ready(entry(1), entry(2, revision=90), entry(3, revision=100))
        state = _listed([entry(1)], 80, [entry(3, revision=100)], 100)
        _exchange(state, peer)
        self.assertEqual(3, state.directory.listed_count)

    def test_an_old_page_removes_nothing(self) -> None:
        """Guards against hosts that take a new upstream as removed, and tell their peers."""
        peer = _ready(entry(1, revision=100), entry(3, revision=90))
        state = fresh_state()
        reduce(state, Started(), 0)
        _exchange(state, peer)
        _list(state, [entry(1, revision=100)], 100, [], 80)
        self.assertTrue(state.directory.by_name[entry(3).name].listed)

    def test_changes_between_two_pages_reach_peers(self) -> None:
        """Guards against changes between two pages that peers of the listing host never learn."""
        state = ready_state(entry(1))
        peer = _ready(entry(1))
        reduce(state, HistoryLost(Collection.UPSTREAMS), 1)
        _list(state, [entry(1)], 10, [entry(3, revision=12)], 12)
        _exchange(peer, state)
        changes = [StoredObject(entry(2).name, 11, entry(2, revision=11))]
        reduce(state, ChangesRead(Collection.UPSTREAMS, changes, 12), 2)
        _exchange(peer, state)
        self.assertEqual(3, peer.directory.listed_count)

    def test_a_removal_that_a_listing_shows_is_passed_on(self) -> None:
        """Guards against upstreams that only the listing host knows to be gone."""
        state = ready_state(entry(1), entry(2))
        peer = _ready(entry(1), entry(2))
        reduce(state, HistoryLost(Collection.UPSTREAMS), 1)
        reduce(state, PageRead(Collection.UPSTREAMS, [_stored(entry(1))], 50, more=False), 1)
        _exchange(peer, state)
        self.assertFalse(peer.directory.by_name[entry(2).name].listed)

    def test_the_watch_begins_at_the_oldest_page(self) -> None:
        """Guards against texts and evacuations between two pages that are never read."""
        for collection in Collection:
            for revisions in permutations((80, 90, 100)):
                with self.subTest(collection=collection, revisions=revisions):
                    state = fresh_state()
                    reduce(state, Started(), 0)
                    effects = _read_all(state, collection, revisions)
                    watched = [
                        effect.revision for effect in effects if isinstance(effect, WatchChanges)
                    ]
                    self.assertEqual(80, watched[-1])


class UnreadableTest(TestCase):
    """A host starts while some entries cannot be read."""

    def test_an_unreadable_entry_is_not_reported_as_removed(self) -> None:
        """Guards against peers that drop an upstream because another host could not read it."""
        peer = _ready(entry(1))
        state = fresh_state()
        unreadable = StoredObject(entry(1).name, 40, Unreadable('no address'))
        _start(state, [unreadable, _stored(entry(2, revision=50))], 50)
        _exchange(peer, state)
        self.assertTrue(peer.directory.by_name[entry(1).name].listed)

    def test_an_older_entry_does_not_replace_an_unreadable_one(self) -> None:
        """Guards against new flows to an upstream whose entry became unreadable."""
        state = fresh_state()
        unreadable = StoredObject(entry(1).name, 40, Unreadable('no address'))
        _start(state, [unreadable, _stored(entry(2, revision=50))], 50)
        reduce(state, ViewFetched(_PEER, View(None, 0, [entry(1)], [], 0)), 1)
        self.assertFalse(state.directory.by_name[entry(1).name].entry.usable)

    def test_peers_fill_the_gaps_of_a_listing(self) -> None:
        """Guards against a host that ignores upstreams hidden behind unreadable names."""
        peer = _ready(entry(1), entry(2, revision=10), entry(3, revision=50), entry(4, revision=60))
        state = fresh_state()
        unnamed = StoredObject('', 40, Unreadable('no name'))
        _start(state, [unnamed, _stored(entry(2, revision=10))], 55)
        _exchange(state, peer)
        self.assertIn(entry(3).name, state.directory.by_name)

    def test_a_host_with_gaps_reports_no_removals(self) -> None:
        """Guards against peers that drop upstreams hidden behind unreadable names."""
        peer = _ready(entry(1))
        state = fresh_state()
        unnamed = StoredObject('', 40, Unreadable('no name'))
        _start(state, [unnamed, _stored(entry(2, revision=50))], 50)
        _exchange(peer, state)
        self.assertTrue(peer.directory.by_name[entry(1).name].listed)


class ViewFieldsTest(TestCase):
    """Views as they are sent."""

    def test_listed_names_survive_encoding(self) -> None:
        """Guards against receivers that remove upstreams because names were lost on the way."""
        for names in (None, frozenset(), frozenset((entry(1).name,)), frozenset((entry(2).name,))):
            with self.subTest(names=names):
                view = View(None, 0, [entry(1)], [], 7, removals_since=5, listed_names=names)
                decoded = decode_view(encode_view(view))
                self.assertEqual((names, 5), (decoded.listed_names, decoded.removals_since))


class CompletenessTest(TestCase):
    """Hosts list, watch and exchange views in any order, and reads may be stale."""

    def test_every_change_up_to_the_newest_revision_is_known(self) -> None:
        """Guards against knowledge that is claimed for changes before the newest one."""
        for seed in _SEEDS:
            with self.subTest(seed=seed):
                play = _Play(Random(seed))
                for _ in range(_STEPS):
                    play.step()
                    unknown = [play.unknown_changes(state) for state in play.states]
                    self.assertEqual([[], [], []], unknown)

    def test_all_hosts_agree_once_the_store_is_quiet(self) -> None:
        """Guards against changes that a host never learns."""
        for seed in _SEEDS:
            with self.subTest(seed=seed):
                play = _Play(Random(seed))
                for _ in range(_STEPS):
                    play.step()
                play.settle()
                for state in play.states:
                    self.assertEqual(play.truth(), _listed_revisions(state))


class _Play:
    """Play random reads of three hosts against a store that changes."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._store = StoreModel()
        self._changes: list[tuple[int, str, bool]] = []
        self._now: float = 0
        self._late_views: list[tuple[RoutingState, ViewFetched]] = []
        self.states = [fresh_state(name) for name in ('a1', 'a2', 'a3')]
        self._store.put(Collection.TEXT, 'main', text)
        for number in range(1, _UPSTREAMS + 1):
            self._write(number)

    def step(self) -> None:
        self._now += 0.1
        steps = (self._change, self._change, self._read_pages, self._read_changes, self._ask_peer)
        self._random.choice((*steps, self._apply_late_view, self._forget, self._restart))()

    def settle(self) -> None:
        """Let one host read everything, and the others ask it."""
        first, *others = self.states
        self._read(first, self._newest_pages())
        follower = first.follower_by_collection[Collection.UPSTREAMS]
        self._apply(first, self._store.changes(Collection.UPSTREAMS, follower.revision))
        for other in others:
            if not other.ready:
                self._read(other, self._newest_pages())
            _exchange(other, first, self._now)

    def truth(self) -> dict[str, int]:
        """Return the revisions of the upstreams that the store lists, by name."""
        listed = self._store.by_collection[Collection.UPSTREAMS]
        return {name: stored.revision for name, stored in listed.items()}

    def unknown_changes(self, state: RoutingState) -> list[str]:
        """Return the upstreams whose last change a host claims to know and does not."""
        bound = state.upstreams_complete
        last = {name: at for at, name, _ in self._changes if at <= bound}
        removed = {name: at for at, name, gone in self._changes if gone}
        found = []
        for name, revision in last.items():
            known = state.directory.by_name.get(name)
            if known is None or not known.listed:
                is_known = removed.get(name, 0) >= revision
            else:
                is_known = known.entry.revision >= revision
            if not is_known:
                found.append(name)
        return found

    def _change(self) -> None:
        number = self._random.randint(1, _UPSTREAMS)
        name = entry(number).name
        if name in self.truth() and self._random.choice((True, False, False)):
            self._store.remove(Collection.UPSTREAMS, name)
            self._changes.append((self._store.revision, name, True))
            return
        self._write(number)

    def _write(self, number: int) -> None:
        name = entry(number).name
        revision = self._store.put(
            Collection.UPSTREAMS, name, lambda assigned: entry(number, revision=assigned)
        )
        self._changes.append((revision, name, False))

    def _read_pages(self) -> None:
        oldest = max(0, self._store.revision - 10)
        revisions = [self._random.randint(oldest, self._store.revision) for _ in range(_PAGES)]
        self._read(self._random.choice(self.states), revisions)

    def _newest_pages(self) -> list[int]:
        return [self._store.revision for _ in range(_PAGES)]

    def _read(self, state: RoutingState, revisions: list[int]) -> None:
        """Let a host list upstreams, each page as of a revision of its own."""
        follower = state.follower_by_collection[Collection.UPSTREAMS]
        if not follower.listed:
            self._apply(state, self._store.page(Collection.TEXT))
            self._apply(state, self._store.page(Collection.EVACUATIONS))
        elif min(revisions) < follower.revision:
            # Only the first listing may be stale.
            revisions = self._newest_pages()
        follower.begin_listing(self._now)
        for number, revision in enumerate(revisions):
            names = {entry(upstream).name for upstream in range(1 + number * 3, 4 + number * 3)}
            objects = [
                stored
                for stored in self._store.page(Collection.UPSTREAMS, revision).objects
                if stored.name in names
            ]
            listing = follower.listing
            if objects or number == _PAGES - 1:
                more = number < _PAGES - 1
                self._apply(state, PageRead(Collection.UPSTREAMS, objects, revision, more=more))
            else:
                listing.add_page([], revision)

    def _read_changes(self) -> None:
        state = self._random.choice(self.states)
        follower = state.follower_by_collection[Collection.UPSTREAMS]
        if not follower.listed:
            return
        until = self._random.randint(follower.revision, self._store.revision)
        follower.resume(self._now)
        self._apply(state, self._store.changes(Collection.UPSTREAMS, follower.revision, until))

    def _ask_peer(self) -> None:
        state, peer = self._random.sample(self.states, 2)
        for fetched in _views(state, peer, self._now):
            if self._random.choice((True, False, False)):
                self._late_views.append((state, fetched))
            else:
                self._apply(state, fetched)

    def _forget(self) -> None:
        """Let a host forget what was removed long ago."""
        self._random.choice(self.states).directory.forget_old(self._now + RETENTION_S)

    def _restart(self) -> None:
        number = self._random.randrange(len(self.states))
        self.states[number] = fresh_state(self.states[number].peers.me.name)

    def _apply_late_view(self) -> None:
        if self._late_views:
            self._apply(*self._late_views.pop())

    def _apply(self, state: RoutingState, event: object) -> None:
        reduce(state, event, self._now)  # type: ignore[arg-type]


def _listed_revisions(state: RoutingState) -> dict[str, int]:
    by_name = state.directory.by_name
    return {name: known.entry.revision for name, known in by_name.items() if known.listed}


def _start(state: RoutingState, objects: list[StoredObject], revision: int) -> None:
    """Start a host with a listing of one page."""
    reduce(state, Started(), 0)
    reduce(state, page(Collection.TEXT, text(1)), 0)
    reduce(state, page(Collection.EVACUATIONS), 0)
    reduce(state, PageRead(Collection.UPSTREAMS, objects, revision, more=False), 0)


def _ready(*entries: UpstreamEntry) -> RoutingState:
    """Return the state of another host, with a listing of one page."""
    state = fresh_state('b1')
    reduce(state, page(Collection.TEXT, text(1)), 0)
    reduce(state, page(Collection.UPSTREAMS, *entries), 0)
    reduce(state, page(Collection.EVACUATIONS), 0)
    return state


def _stored(found: UpstreamEntry) -> StoredObject:
    return StoredObject(found.name, found.revision, found)


def _listed(
    first: list[UpstreamEntry],
    first_revision: int,
    second: list[UpstreamEntry],
    second_revision: int,
) -> RoutingState:
    """Return the state of a host that starts with a listing of two pages."""
    state = fresh_state()
    reduce(state, Started(), 0)
    reduce(state, page(Collection.TEXT, text(1)), 0)
    reduce(state, page(Collection.EVACUATIONS), 0)
    _list(state, first, first_revision, second, second_revision)
    return state


def _list(
    state: RoutingState,
    first: list[UpstreamEntry],
    first_revision: int,
    second: list[UpstreamEntry],
    second_revision: int,
) -> None:
    pages = ((first, first_revision, True), (second, second_revision, False))
    for entries, revision, more in pages:
        objects = [_stored(found) for found in entries]
        reduce(state, PageRead(Collection.UPSTREAMS, objects, revision, more=more), 0)


def _read_all(
    state: RoutingState,
    collection: Collection,
    revisions: tuple[int, ...],
) -> list[Effect]:
    """Read one object a page of a collection; return the effects when the watches begin."""
    for other in Collection:
        if other is not collection:
            reduce(state, page(other, *([text(1)] if other is Collection.TEXT else [])), 0)
    for number, revision in enumerate(revisions, start=1):
        content = {
            Collection.TEXT: text(1),
            Collection.UPSTREAMS: entry(number),
            Collection.EVACUATIONS: Evacuation(),
        }[collection]
        objects = [StoredObject(f'{number}', 1, content)]
        more = number < len(revisions)
        effects = reduce(state, PageRead(collection, objects, revision, more=more), 0)
        if more:
            assert isinstance(effects[-1], ReadPage)
    effects = reduce(state, Ticked(), LISTEN_S)
    return [effect for effect in effects if getattr(effect, 'collection', '') == collection]


def _views(state: RoutingState, peer: RoutingState, now: float = 1) -> list[ViewFetched]:
    """Return the view that a host fetches after a peer's heartbeat, if it does."""
    state.fetch_until = 0
    effects = reduce(state, HeartbeatHeard(local_heartbeat(peer, now)), now)
    return [
        ViewFetched(_PEER, view_since(peer, effect.known, now))
        for effect in effects
        if isinstance(effect, FetchView)
    ]


def _exchange(state: RoutingState, peer: RoutingState, now: float = 1) -> None:
    """Let a host hear a peer, and fetch its view if it knows more."""
    for fetched in _views(state, peer, now):
        reduce(state, fetched, now)
