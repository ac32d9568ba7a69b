"""Model the platform's store for replays: objects, revisions, history."""

from collections.abc import Callable
from dataclasses import dataclass, field

from bronzekeel.core.routing.events import (
    ChangesRead,
    Content,
    HistoryLost,
    PageRead,
    StoredObject,
)
from bronzekeel.core.routing.follower import Collection
from bronzekeel.core.routing.revisions import incarnation_of, number_of, revision_of


_ContentFactory = Callable[[int], Content]


@dataclass(frozen=True, slots=True)
class _Change:
    collection: Collection
    stored: StoredObject
    make: _ContentFactory | None


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """Hold all that a store had at a revision, and how its owners made it."""

    revision: int
    by_collection: dict[Collection, dict[str, StoredObject]]
    make_by_key: dict[tuple[Collection, str], _ContentFactory]
    history: list[_Change]
    all_changes: list[_Change]


@dataclass(slots=True)
class StoreModel:
    """Hold what the store has, and how it got there; stale reads are `staleness_s` behind.

    `writes` counts all that were ever made, also those that a restore lost.
    Watches are answered by the store's own numbers, as a real store does, also if they began in a
    former incarnation.
    """

    revision: int = revision_of(1, 0)
    writes: int = 0
    by_collection: dict[Collection, dict[str, StoredObject]] = field(
        default_factory=lambda: {collection: {} for collection in Collection},
    )
    staleness_s: float = 0
    _make_by_key: dict[tuple[Collection, str], _ContentFactory] = field(default_factory=dict)
    _visible_revisions: list[tuple[float, int]] = field(default_factory=list)
    _history: list[_Change] = field(default_factory=list)
    _all_changes: list[_Change] = field(default_factory=list)
    _history_from: int = 0

    @property
    def incarnation(self) -> int:
        """Which incarnation this is; it rises when the store comes back from a copy."""
        return incarnation_of(self.revision)

    def put(self, collection: Collection, name: str, make: _ContentFactory) -> int:
        """Write an object; `make` gets the revision.  Return the revision."""
        self.revision += 1
        self.writes += 1
        self._make_by_key[collection, name] = make
        stored = StoredObject(name, self.revision, make(self.revision))
        self.by_collection[collection][name] = stored
        self._record_change(collection, stored, make)
        return self.revision

    def remove(self, collection: Collection, name: str) -> None:
        """Remove an object."""
        if self.by_collection[collection].pop(name, None) is None:
            return
        self.revision += 1
        self.writes += 1
        self._record_change(collection, StoredObject(name, self.revision, None), None)

    def mark_visible(self, now: float) -> None:
        """Note that watches see all changes until here."""
        self._visible_revisions.append((now, self.revision))

    def visible_revision(self, now: float, *, stale: bool) -> int | None:
        """Return the revision up to which a read sees; None for all there is."""
        if not stale or not self.staleness_s:
            return None
        visible = [
            revision
            for visible_at, revision in self._visible_revisions
            if visible_at + self.staleness_s <= now
        ]
        return max(visible, default=0)

    def compact(self) -> None:
        """Forget the history."""
        self._history.clear()
        self._history_from = number_of(self.revision)

    def copy(self) -> StoreCopy:
        """Return a copy of all there is, to be restored later."""
        by_collection = {kind: by_name.copy() for kind, by_name in self.by_collection.items()}
        return StoreCopy(
            self.revision,
            by_collection,
            self._make_by_key.copy(),
            self._history.copy(),
            self._all_changes.copy(),
        )

    def restore(self, copy: StoreCopy) -> None:
        """Come back from a copy: what was written since is lost, and revisions count on from there.

        Stale reads see the copy at once.
        """
        self.revision = revision_of(self.incarnation + 1, number_of(copy.revision))
        self._make_by_key = copy.make_by_key.copy()
        for collection, by_name in copy.by_collection.items():
            self.by_collection[collection] = {
                name: self._rebuilt_object(stored, copy.make_by_key[collection, name])
                for name, stored in by_name.items()
            }
        self._history = [self._rebuilt_change(change) for change in copy.history]
        self._all_changes = [self._rebuilt_change(change) for change in copy.all_changes]
        self._history_from = min(self._history_from, number_of(copy.revision))
        self._visible_revisions = [(0, self.revision)]

    def rewrite_lost(self, lost: StoreCopy) -> None:
        """Let owners write what was lost, and remove what they had removed."""
        for collection, by_name in lost.by_collection.items():
            for name in list(self.by_collection[collection]):
                if name not in by_name:
                    self.remove(collection, name)
            for name in by_name:
                make = lost.make_by_key[collection, name]
                if self._make_by_key.get((collection, name)) is not make:
                    self.put(collection, name, make)

    def page(self, collection: Collection, until: int | None = None) -> PageRead:
        """Return all objects of a collection, as they were at a revision if one is given."""
        revision = self.revision if until is None else until
        by_name: dict[str, StoredObject] = {}
        for change in self._all_changes:
            if change.collection is collection and change.stored.revision <= revision:
                by_name[change.stored.name] = change.stored
        objects = [stored for stored in by_name.values() if stored.content is not None]
        return PageRead(
            collection,
            objects,
            revision,
            more=False,
        )

    def changes(
        self,
        collection: Collection,
        since: int,
        until: int | None = None,
    ) -> ChangesRead | HistoryLost:
        """Return what changed after a revision, up to another if one is given."""
        if not self._history_from <= number_of(since) <= number_of(self.revision):
            return HistoryLost(collection, self.incarnation)
        since = self._renumbered(since)
        revision = self.revision if until is None else until
        objects = [
            change.stored
            for change in self._history
            if change.collection is collection and since < change.stored.revision <= revision
        ]
        return ChangesRead(
            collection,
            objects,
            max(since, revision),
        )

    def _record_change(
        self, collection: Collection, stored: StoredObject, make: _ContentFactory | None
    ) -> None:
        change = _Change(collection, stored, make)
        self._history.append(change)
        self._all_changes.append(change)

    def _renumbered(self, revision: int) -> int:
        """Return a revision of any incarnation as this one gives out its number."""
        return revision_of(self.incarnation, number_of(revision))

    def _rebuilt_object(self, stored: StoredObject, make: _ContentFactory | None) -> StoredObject:
        """Return an object of a copy as this incarnation tells it."""
        revision = self._renumbered(stored.revision)
        return StoredObject(stored.name, revision, make(revision) if make else None)

    def _rebuilt_change(self, change: _Change) -> _Change:
        """Return a change of a copy as this incarnation tells it."""
        stored = self._rebuilt_object(change.stored, change.make)
        return _Change(change.collection, stored, change.make)
