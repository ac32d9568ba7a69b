"""Model the platform's store for replays: objects, revisions and change history."""

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
    """Hold a snapshot of a store at a revision, and the functions that create its contents."""

    revision: int
    by_collection: dict[Collection, dict[str, StoredObject]]
    make_by_key: dict[tuple[Collection, str], _ContentFactory]
    history: list[_Change]
    all_changes: list[_Change]


@dataclass(slots=True)
class StoreModel:
    """Hold the objects of the store and their change history.

    Stale reads lag by `staleness_s`.  `writes` counts all writes ever made, including those that
    a restore lost.  As in a real store, watches are answered by revision number only, even if
    they began in an earlier incarnation.
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
        """Incarnation of the store, incremented by each restore from a copy."""
        return incarnation_of(self.revision)

    def put(self, collection: Collection, name: str, make: _ContentFactory) -> int:
        """Write an object and return its revision; `make` creates its content from that."""
        self.revision += 1
        self.writes += 1
        self._make_by_key[collection, name] = make
        stored = StoredObject(name, self.revision, make(self.revision))
        self.by_collection[collection][name] = stored
        self._record_change(collection, stored, make)
        return self.revision

    def remove(self, collection: Collection, name: str) -> None:
        """Remove an object if it exists."""
        if self.by_collection[collection].pop(name, None) is None:
            return
        self.revision += 1
        self.writes += 1
        self._record_change(collection, StoredObject(name, self.revision, None), None)

    def mark_visible(self, now: float) -> None:
        """Record that all changes up to the current revision are visible to watches."""
        self._visible_revisions.append((now, self.revision))

    def visible_revision(self, now: float, *, stale: bool) -> int | None:
        """Return the newest revision that a read returns; None for no limit."""
        if not stale or not self.staleness_s:
            return None
        visible = [
            revision
            for visible_at, revision in self._visible_revisions
            if visible_at + self.staleness_s <= now
        ]
        return max(visible, default=0)

    def compact(self) -> None:
        """Discard the change history."""
        self._history.clear()
        self._history_from = number_of(self.revision)

    def copy(self) -> StoreCopy:
        """Return a snapshot of the store for a later restore."""
        by_collection = {kind: by_name.copy() for kind, by_name in self.by_collection.items()}
        return StoreCopy(
            self.revision,
            by_collection,
            self._make_by_key.copy(),
            self._history.copy(),
            self._all_changes.copy(),
        )

    def restore(self, copy: StoreCopy) -> None:
        """Restore a copy; later writes are lost, and revisions continue from those of the copy.

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
        """Write what the restore lost, and remove what had been removed, as the owners would."""
        for collection, by_name in lost.by_collection.items():
            for name in list(self.by_collection[collection]):
                if name not in by_name:
                    self.remove(collection, name)
            for name in by_name:
                make = lost.make_by_key[collection, name]
                if self._make_by_key.get((collection, name)) is not make:
                    self.put(collection, name, make)

    def page(self, collection: Collection, until: int | None = None) -> PageRead:
        """Return all objects of a collection, as of the revision `until` if it is given."""
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
        """Return the changes after the revision `since`, up to `until` if it is given.

        If the history does not reach back to `since`, return HistoryLost.
        """
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
        """Return the revision of this incarnation that has the number of `revision`."""
        return revision_of(self.incarnation, number_of(revision))

    def _rebuilt_object(self, stored: StoredObject, make: _ContentFactory | None) -> StoredObject:
        """Return an object of a copy with a revision of this incarnation."""
        revision = self._renumbered(stored.revision)
        return StoredObject(stored.name, revision, make(revision) if make else None)

    def _rebuilt_change(self, change: _Change) -> _Change:
        """Return a change of a copy with a revision of this incarnation."""
        stored = self._rebuilt_object(change.stored, change.make)
        return _Change(change.collection, stored, change.make)
