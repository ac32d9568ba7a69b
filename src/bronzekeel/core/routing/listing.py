"""Collect the pages of a listing of one collection of the store.

Each page shows the objects in its range of names as they were at the revision of that page.  A
later page may be older, as stale reads may come from different replicas, or newer, as objects
change meanwhile.  So the pages together account for every change up to the oldest of their
revisions, and for some of the changes after it.
"""

from bronzekeel.core.routing.events import StoredObject
from bronzekeel.core.routing.revisions import is_same_incarnation


class Listing:
    """Hold the `objects` of the pages read so far.

    `revision` is that of the oldest page, None before the first; the listing `has_gaps` if some
    objects have no readable name.
    """

    __slots__ = ('has_gaps', 'objects', 'revision')

    def __init__(self) -> None:
        """Start without pages."""
        self.objects: list[StoredObject] = []
        self.revision: int | None = None
        self.has_gaps = False

    def continues_at(self, revision: int) -> bool:
        """Whether a page read at `revision` belongs to this listing."""
        if self.revision is None:
            return True
        return is_same_incarnation(revision, self.revision)

    def add_page(self, objects: list[StoredObject], revision: int) -> str:
        """Add a page; return the last name on it, or an empty string."""
        self.revision = revision if self.revision is None else min(self.revision, revision)
        self.objects.extend(objects)
        names = [listed.name for listed in objects if listed.name]
        self.has_gaps |= len(names) < len(objects)
        return names[-1] if names else ''
