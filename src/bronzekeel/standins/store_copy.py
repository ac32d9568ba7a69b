"""Let the stand-in of the platform's store come back from a copy that is some time old."""

from copy import copy as shallow_copy
from dataclasses import dataclass

from bronzekeel.standins.platform import ChangeRecord, ObjectRecord, PlatformStandIn


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """Hold all that a store had at a revision."""

    revision: int
    object_by_key: dict[tuple[str, str], ObjectRecord]
    history: list[ChangeRecord]


def copy_of(store: PlatformStandIn) -> StoreCopy:
    """Return a copy of all that a store has, to be restored later."""
    object_by_key = {
        object_key: shallow_copy(record) for object_key, record in store.object_by_key.items()
    }
    return StoreCopy(store.revision, object_by_key, store.history.copy())


def restore(store: PlatformStandIn, copy: StoreCopy) -> None:
    """Let a store come back from a copy: what was written since is lost.

    Its revisions go back and are given out again.
    """
    store.incarnation += 1
    store.revision = copy.revision
    store.object_by_key = {
        object_key: shallow_copy(record) for object_key, record in copy.object_by_key.items()
    }
    store.history = copy.history.copy()
    store.history_from = min(store.history_from, copy.revision)
