"""Search for sequences of events that make a balancer's view go back to older data."""

from unittest import TestCase
from unittest.mock import patch

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from bronzekeel.core.routing.events import PageRead, ViewFetched
from bronzekeel.core.routing.follower import Collection
from bronzekeel.core.routing.messages import KnownVersions, View
from bronzekeel.core.routing.peer_exchange import view_since
from bronzekeel.core.routing.reducer import reduce
from bronzekeel.core.routing.state import RoutingState
from bronzekeel.replay.routing_store import StoreModel
from tests.routing_cases import entry, fresh_state, text


_HOSTS = st.integers(0, 2)
_UPSTREAMS = st.integers(1, 4)
_PEER = ('p', 9)

#: Collections that are searched here; `tests/test_evacuations.py` searches the evacuations.
_VIEWED = (Collection.TEXT, Collection.UPSTREAMS)


class Views(RuleBasedStateMachine):
    """Let three balancers read a store, each other and stale answers, and restart.

    After every step, no balancer has an older text or entry than before, and an
    entry that it knows to be removed returns only with a newer revision.
    """

    ordered = True

    @initialize()
    def begin(self) -> None:
        """Start with a store that has a text."""
        self.now: float = 0
        self.store = StoreModel()
        self.store.put(Collection.TEXT, 'main', text)
        self.states = [self.fresh(number) for number in range(3)]
        self.seen: list[dict[str, int]] = [{} for _ in self.states]
        self.kept_answers = [self.store.page(collection) for collection in _VIEWED]
        self.kept_views: list[View] = []
        self.copies = [self.store.copy()]

    def fresh(self, host: int) -> RoutingState:
        """Return the state of a host that has just started."""
        state = fresh_state(f'h{host}')
        state.directory.ordered = self.ordered
        return state

    @rule()
    def change_text(self) -> None:
        """Store a new text; the store is copied just before."""
        self.copies.append(self.store.copy())
        generation = self.store.writes + 1
        self.store.put(
            Collection.TEXT,
            'main',
            lambda revision: text(revision, generation=generation),
        )

    @rule(number=_UPSTREAMS, draining=st.booleans())
    def change_entry(self, number: int, draining: bool) -> None:  # noqa: FBT001
        """Let an upstream write its entry."""
        self.store.put(
            Collection.UPSTREAMS,
            entry(number).name,
            lambda revision: entry(number, revision=revision, draining=draining),
        )

    @rule(number=_UPSTREAMS)
    def remove_entry(self, number: int) -> None:
        """Let an entry lapse."""
        self.store.remove(Collection.UPSTREAMS, entry(number).name)

    @rule()
    def compact(self) -> None:
        """Compact the store's history."""
        self.store.compact()

    @rule(host=_HOSTS, age=st.integers(1, 4))
    def restore(self, host: int, age: int) -> None:
        """Restore the store from a copy that is some texts old, and let a host list the texts."""
        self.store.restore(self.copies[-min(age, len(self.copies))])
        self.read_page(host, Collection.TEXT)

    @rule(host=_HOSTS, collection=st.sampled_from(_VIEWED))
    def read_page(self, host: int, collection: Collection) -> None:
        """Let a host list a collection, and keep the answer for a late delivery."""
        self.states[host].follower_by_collection[collection].begin_listing(0)
        answer = self.store.page(collection)
        self.kept_answers.append(answer)
        self._apply(host, answer)

    @rule(host=_HOSTS, collection=st.sampled_from(_VIEWED))
    def read_changes(self, host: int, collection: Collection) -> None:
        """Let a host receive an answer to its watch."""
        follower = self.states[host].follower_by_collection[collection]
        if follower.listed:
            follower.resume(0)
            self._apply(host, self.store.changes(collection, follower.revision))

    @rule(host=_HOSTS, index=st.integers(0, 40))
    def read_late(self, host: int, index: int) -> None:
        """Let a host receive the entries of an old answer."""
        listed = self.states[host].follower_by_collection
        answer = self.kept_answers[index % len(self.kept_answers)]
        if listed[Collection(answer.collection)].listed:
            changes = [stored for stored in answer.objects if stored.content is not None]
            for stored in changes:
                self._apply_old(host, stored.name, answer)

    @rule(teller=_HOSTS, host=_HOSTS)
    def tell(self, teller: int, host: int) -> None:
        """Let a host apply another's complete view, and keep the view for a late delivery."""
        view = view_since(self.states[teller], KnownVersions(0, 0, 0), self.now)
        self.kept_views.append(view)
        self._apply(host, ViewFetched(_PEER, view))

    @rule(host=_HOSTS, index=st.integers(0, 40))
    def tell_late(self, host: int, index: int) -> None:
        """Let a host receive an old view, as from a peer that was paused."""
        if self.kept_views:
            view = self.kept_views[index % len(self.kept_views)]
            self._apply(host, ViewFetched(_PEER, view))

    @rule(host=_HOSTS)
    def restart(self, host: int) -> None:
        """Restart a host with an empty state."""
        self.states[host] = self.fresh(host)
        self.seen[host] = {}

    @invariant()
    def nothing_goes_back(self) -> None:
        """Check that no generation or revision that a host knows has decreased."""
        for state, seen in zip(self.states, self.seen, strict=True):
            for name, revision in _known(state).items():
                assert revision >= seen.get(name, 0), (name, revision, seen[name])
                seen[name] = revision

    def _apply(self, host: int, event: object) -> None:
        self.now += 0.1
        reduce(self.states[host], event, self.now)  # type: ignore[arg-type]

    def _apply_old(self, host: int, name: str, answer: PageRead) -> None:
        """Apply one object of an old answer as if it came in a peer's view."""
        content = next(item.content for item in answer.objects if item.name == name)
        if name == 'main':
            self._apply(host, ViewFetched(_PEER, View(content, 0, [], [], 0)))
            return
        self._apply(host, ViewFetched(_PEER, View(None, 0, [content], [], 0)))


def _known(state: RoutingState) -> dict[str, int]:
    """Return the generation of a host's text, and the revision of each entry that it knows."""
    known = {'main': state.text.generation if state.text else 0}
    for name, upstream in state.directory.by_name.items():
        known[name] = upstream.entry.revision
        if not upstream.listed:
            known[name] = max(upstream.entry.revision, upstream.removed_revision)
    return known


_SEARCH = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=300,
    stateful_step_count=30,
)
Views.TestCase.settings = _SEARCH
ViewModelTest = Views.TestCase


class _UnorderedViews(Views):
    """Treat the data that arrives last as the newest."""

    ordered = False


class OrderTest(TestCase):
    """Show that views go back without the order by revision and generation."""

    def test_without_the_order_views_go_back(self) -> None:
        """Show that a host returns to replaced data if the last arrival counts as the newest.

        The search finds a sequence of reads, late answers and old views that leads there.
        """
        with self.assertRaises(AssertionError):
            run_state_machine_as_test(_UnorderedViews, settings=_SEARCH)

    def test_by_revisions_alone_a_restore_takes_texts_back(self) -> None:
        """Show that texts go back with a restored store if its revisions alone order them.

        The search finds a host that reads a text, and lists the texts again after the store was
        restored from an older copy.
        """
        by_revision = patch(
            'bronzekeel.core.routing.model.text_order_of',
            lambda generation, revision: revision,
        )
        with by_revision, self.assertRaises(AssertionError):
            run_state_machine_as_test(Views, settings=_SEARCH)
