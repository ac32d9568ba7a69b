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
    """Hold what the store has, and how it got there."""

    revision: int = 0
    by_collection: dict[Collection, dict[str, StoredObject]] = field(
        default_factory=lambda: {collection: {} for collection in Collection},
    )
    _history: list[_Change] = field(default_factory=list)
    _history_from: int = 0

    def put(self, collection: Collection, name: str, make: _Make) -> int:
        """Write an object; `make` gets the revision.  Return the revision."""
        self.revision += 1
        stored = StoredObject(name, self.revision, make(self.revision))
        self.by_collection[collection][name] = stored
        self._history.append(_Change(collection, stored))
        return self.revision

    def remove(self, collection: Collection, name: str) -> None:
        """Remove an object."""
        if self.by_collection[collection].pop(name, None) is None:
            return
        self.revision += 1
        stored = StoredObject(name, self.revision, None)
        self._history.append(_Change(collection, stored))

    def compact(self) -> None:
        """Forget the history."""
        self._history.clear()
        self._history_from = self.revision

    def page(self, collection: Collection) -> PageRead:
        """Return all objects of a collection."""
        objects = list(self.by_collection[collection].values())
        return PageRead(collection, objects, self.revision, more=False)

    def changes(self, collection: Collection, since: int) -> ChangesRead | HistoryLost:
        """Return what changed after a revision."""
        if since < self._history_from:
            return HistoryLost(collection)
        objects = [
            change.stored
            for change in self._history
            if change.collection is collection and change.stored.revision > since
        ]
        return ChangesRead(collection, objects, self.revision)
