"""Let the stand-in of the platform's store come back from a copy that is some time old."""

from copy import copy as shallow_copy
from dataclasses import dataclass

from bronzekeel.standins.platform import HeldChange, HeldObject, PlatformStandIn


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """Hold all that a store had at a revision."""

    revision: int
    by_place: dict[tuple[str, str], HeldObject]
    history: list[HeldChange]


def copy_of(store: PlatformStandIn) -> StoreCopy:
    """Return a copy of all that a store has, to be restored later."""
    by_place = {place: shallow_copy(held) for place, held in store.by_place.items()}
    return StoreCopy(store.revision, by_place, store.history.copy())


def restore(store: PlatformStandIn, copy: StoreCopy) -> None:
    """Let a store come back from a copy: what was written since is lost.

    Its revisions go back and are given out again.
    """
    store.incarnation += 1
    store.revision = copy.revision
    store.by_place = {place: shallow_copy(held) for place, held in copy.by_place.items()}
    store.history = copy.history.copy()
    store.history_from = min(store.history_from, copy.revision)
