"""Back up the stand-in for the platform's store, and restore it from an older backup."""

from copy import copy as shallow_copy
from dataclasses import dataclass

from bronzekeel.standins.platform import ChangeRecord, ObjectRecord, PlatformStandIn


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """Hold a snapshot of a store at a revision."""

    revision: int
    object_by_key: dict[tuple[str, str], ObjectRecord]
    history: list[ChangeRecord]


def copy_of(store: PlatformStandIn) -> StoreCopy:
    """Return a snapshot of a store for a later restore."""
    object_by_key = {
        object_key: shallow_copy(record) for object_key, record in store.object_by_key.items()
    }
    return StoreCopy(store.revision, object_by_key, store.history.copy())


def restore(store: PlatformStandIn, copy: StoreCopy) -> None:
    """Restore a store from a copy; later writes are lost.

    Revisions go back to that of the copy, so later ones are assigned a second time.
    """
    store.incarnation += 1
    store.revision = copy.revision
    store.object_by_key = {
        object_key: shallow_copy(record) for object_key, record in copy.object_by_key.items()
    }
    store.history = copy.history.copy()
    store.history_from = min(store.history_from, copy.revision)
