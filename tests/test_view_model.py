"""Search for a course of events that takes a balancer's view back."""

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
from bronzekeel.core.routing.messages import Known, View
from bronzekeel.core.routing.peer_exchange import view_since
from bronzekeel.core.routing.reducer import reduce
from bronzekeel.core.routing.state import RoutingState
from bronzekeel.replay.routing_store import StoreModel
from tests.routing_cases import entry, fresh_state, text


_HOSTS = st.integers(0, 2)
_UPSTREAMS = st.integers(1, 4)
_PEER = ('p', 9)

#: What views tell; evacuations have a search of their own (`tests/test_evacuations.py`).
_VIEWED = (Collection.TEXT, Collection.UPSTREAMS)


class Views(RuleBasedStateMachine):
    """Let three balancers read a store, each other, stale answers, and restart.

    After every step no balancer has an older text or entry than it had, and an
    entry that it knows to be removed is back only by a newer one.
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
        """Accept a new text; the store is copied just before."""
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
        """Forget the store's history."""
        self.store.compact()

    @rule(host=_HOSTS, age=st.integers(1, 4))
    def restore(self, host: int, age: int) -> None:
        """Let the store come back from a copy that is some texts old, and a host hear of it."""
        self.store.restore(self.copies[-min(age, len(self.copies))])
        self.read_page(host, Collection.TEXT)

    @rule(host=_HOSTS, collection=st.sampled_from(_VIEWED))
    def read_page(self, host: int, collection: Collection) -> None:
        """Let a host list a collection, and keep the answer for later."""
        self.states[host].follower_by_collection[collection].begin_listing()
        answer = self.store.page(collection)
        self.kept_answers.append(answer)
        self._take(host, answer)

    @rule(host=_HOSTS, collection=st.sampled_from(_VIEWED))
    def read_changes(self, host: int, collection: Collection) -> None:
        """Let a host's watch answer."""
        follower = self.states[host].follower_by_collection[collection]
        if follower.listed:
            follower.resume()
            self._take(host, self.store.changes(collection, follower.revision))

    @rule(host=_HOSTS, index=st.integers(0, 40))
    def read_late(self, host: int, index: int) -> None:
        """Let an answer from long ago arrive."""
        listed = self.states[host].follower_by_collection
        answer = self.kept_answers[index % len(self.kept_answers)]
        if listed[Collection(answer.collection)].listed:
            changes = [stored for stored in answer.objects if stored.content is not None]
            for stored in changes:
                self._take_old(host, stored.name, answer)

    @rule(teller=_HOSTS, host=_HOSTS)
    def tell(self, teller: int, host: int) -> None:
        """Let a host take another's whole view, and keep the view for later."""
        view = view_since(self.states[teller], Known(0, 0, 0), self.now)
        self.kept_views.append(view)
        self._take(host, ViewFetched(_PEER, view))

    @rule(host=_HOSTS, index=st.integers(0, 40))
    def tell_late(self, host: int, index: int) -> None:
        """Let a view from long ago arrive, as of a peer that was paused."""
        if self.kept_views:
            view = self.kept_views[index % len(self.kept_views)]
            self._take(host, ViewFetched(_PEER, view))

    @rule(host=_HOSTS)
    def restart(self, host: int) -> None:
        """Let a host start anew, knowing nothing."""
        self.states[host] = self.fresh(host)
        self.seen[host] = {}

    @invariant()
    def nothing_goes_back(self) -> None:
        """No generation or revision that a host knows is less than it was."""
        for state, seen in zip(self.states, self.seen, strict=True):
            for name, revision in _known(state).items():
                assert revision >= seen.get(name, 0), (name, revision, seen[name])
                seen[name] = revision

    def _take(self, host: int, event: object) -> None:
        self.now += 0.1
        reduce(self.states[host], event, self.now)  # type: ignore[arg-type]

    def _take_old(self, host: int, name: str, answer: PageRead) -> None:
        """Take one object of an old answer as a peer's view would bring it."""
        content = next(item.content for item in answer.objects if item.name == name)
        if name == 'main':
            self._take(host, ViewFetched(_PEER, View(content, 0, [], [], 0)))
            return
        self._take(host, ViewFetched(_PEER, View(None, 0, [content], [], 0)))


def _known(state: RoutingState) -> dict[str, int]:
    """Return the generation of the text that a host goes by, and the revision of each entry."""
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
    """Take what comes last for the newest."""

    ordered = False


class OrderTest(TestCase):
    """Show what the order by revision is for."""

    def test_without_the_order_views_go_back(self) -> None:
        """Symptom: a host goes back to a text or entry that was replaced.

        Sequence: found by the search among reads, late answers and old views.
        Cause: taking what comes last for the newest.
        """
        with self.assertRaises(AssertionError):
            run_state_machine_as_test(_UnorderedViews, settings=_SEARCH)

    def test_by_revisions_alone_a_restore_takes_texts_back(self) -> None:
        """Texts that are ordered by the store alone go back with it.

        The search lets a host read a text, restores a copy of the store from before it, and lets
        the host list anew.
        """
        by_revision = patch(
            'bronzekeel.core.routing.model.text_order_of',
            lambda generation, revision: revision,
        )
        with by_revision, self.assertRaises(AssertionError):
            run_state_machine_as_test(Views, settings=_SEARCH)
