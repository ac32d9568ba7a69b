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


@dataclass(slots=True)
class StoreModel:
    """Hold what the store has, and how it got there; stale reads are `stale_by_s` behind."""

    revision: int = 0
    by_collection: dict[Collection, dict[str, StoredObject]] = field(
        default_factory=lambda: {collection: {} for collection in Collection},
    )
    stale_by_s: float = 0
    _told: list[tuple[float, int]] = field(default_factory=list)
    _history: list[_Change] = field(default_factory=list)
    _all_changes: list[_Change] = field(default_factory=list)
    _history_from: int = 0

    def put(self, collection: Collection, name: str, make: _Make) -> int:
        """Write an object; `make` gets the revision.  Return the revision."""
        self.revision += 1
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

    def page(self, collection: Collection, until: int | None = None) -> PageRead:
        """Return all objects of a collection, as they were at a revision if one is given."""
        revision = self.revision if until is None else until
        by_name: dict[str, StoredObject] = {}
        for change in self._all_changes:
            if change.collection is collection and change.stored.revision <= revision:
                by_name[change.stored.name] = change.stored
        objects = [stored for stored in by_name.values() if stored.content is not None]
        return PageRead(collection, objects, revision, more=False)

    def changes(
        self,
        collection: Collection,
        since: int,
        until: int | None = None,
    ) -> ChangesRead | HistoryLost:
        """Return what changed after a revision, up to another if one is given."""
        if since < self._history_from:
            return HistoryLost(collection)
        revision = self.revision if until is None else until
        objects = [
            change.stored
            for change in self._history
            if change.collection is collection and since < change.stored.revision <= revision
        ]
        return ChangesRead(collection, objects, max(since, revision))

    def _note(self, collection: Collection, stored: StoredObject) -> None:
        change = _Change(collection, stored)
        self._history.append(change)
        self._all_changes.append(change)
