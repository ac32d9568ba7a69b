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


_Make = Callable[[int], Content]


@dataclass(frozen=True, slots=True)
class _Change:
    collection: Collection
    stored: StoredObject


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """Hold all that a store had at a revision, and how its owners made it."""

    revision: int
    by_collection: dict[Collection, dict[str, StoredObject]]
    make_by_place: dict[tuple[Collection, str], _Make]


@dataclass(slots=True)
class StoreModel:
    """Hold what the store has, and how it got there; stale reads are `stale_by_s` behind.

    Its `incarnation` rises when it comes back from a copy.
    """

    revision: int = 0
    incarnation: int = 1
    by_collection: dict[Collection, dict[str, StoredObject]] = field(
        default_factory=lambda: {collection: {} for collection in Collection},
    )
    stale_by_s: float = 0
    _make_by_place: dict[tuple[Collection, str], _Make] = field(default_factory=dict)
    _told: list[tuple[float, int]] = field(default_factory=list)
    _history: list[_Change] = field(default_factory=list)
    _all_changes: list[_Change] = field(default_factory=list)
    _history_from: int = 0

    def put(self, collection: Collection, name: str, make: _Make) -> int:
        """Write an object; `make` gets the revision.  Return the revision."""
        self.revision += 1
        self._make_by_place[collection, name] = make
        stored = StoredObject(name, self.revision, make(self.revision))
        self.by_collection[collection][name] = stored
        self._note(collection, stored)
        return self.revision

    def remove(self, collection: Collection, name: str) -> None:
        """Remove an object."""
        if self.by_collection[collection].pop(name, None) is None:
            return
        self.revision += 1
        self._note(collection, StoredObject(name, self.revision, None))

    def note_told(self, now: float) -> None:
        """Note that watches see all changes until here."""
        self._told.append((now, self.revision))

    def seen(self, now: float, *, stale: bool) -> int | None:
        """Return the revision up to which a read sees; None for all there is."""
        if not stale or not self.stale_by_s:
            return None
        told = [revision for told_at, revision in self._told if told_at + self.stale_by_s <= now]
        return max(told, default=0)

    def compact(self) -> None:
        """Forget the history."""
        self._history.clear()
        self._history_from = self.revision

    def copy(self) -> StoreCopy:
        """Return a copy of all there is, to be restored later."""
        by_collection = {kind: by_name.copy() for kind, by_name in self.by_collection.items()}
        return StoreCopy(self.revision, by_collection, self._make_by_place.copy())

    def restore(self, copy: StoreCopy) -> None:
        """Come back from a copy: what was written since is lost, and revisions count on from there.

        Stale reads see the copy at once.
        """
        self.incarnation += 1
        self.revision = copy.revision
        self.by_collection = {kind: by_name.copy() for kind, by_name in copy.by_collection.items()}
        self._make_by_place = copy.make_by_place.copy()
        self._history = _until(self._history, copy.revision)
        self._all_changes = _until(self._all_changes, copy.revision)
        self._history_from = min(self._history_from, copy.revision)
        self._told = [(0, copy.revision)]

    def write_again(self, lost: StoreCopy) -> None:
        """Let owners write what was lost, and remove what they had removed."""
        for collection, by_name in lost.by_collection.items():
            for name in list(self.by_collection[collection]):
                if name not in by_name:
                    self.remove(collection, name)
            for name in by_name:
                make = lost.make_by_place[collection, name]
                if self._make_by_place.get((collection, name)) is not make:
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
            incarnation=self.incarnation,
        )

    def changes(
        self,
        collection: Collection,
        since: int,
        until: int | None = None,
    ) -> ChangesRead | HistoryLost:
        """Return what changed after a revision, up to another if one is given."""
        if not self._history_from <= since <= self.revision:
            return HistoryLost(collection, self.incarnation)
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
            incarnation=self.incarnation,
        )

    def _note(self, collection: Collection, stored: StoredObject) -> None:
        change = _Change(collection, stored)
        self._history.append(change)
        self._all_changes.append(change)


def _until(changes: list[_Change], revision: int) -> list[_Change]:
    """Return the changes up to a revision."""
    return [change for change in changes if change.stored.revision <= revision]
