"""State of the text in force and of the search for newer ones."""

from collections import deque
from dataclasses import dataclass, field

from bronzekeel.core.catalogue import Catalogue


#: Number of changes retained, so that peers can be sent only the services new to them.
_MAX_CHANGES = 64


@dataclass(frozen=True, slots=True)
class Change:
    """Services that changed between two successive generations in force on this host."""

    since: int
    generation: int
    names: frozenset[str]


@dataclass(slots=True)
class Rollout:
    """State of the accepted text.

    `confirmed` means that the text is known to be current; a fresh balancer serves
    only then.
    """

    catalogue: Catalogue | None = None
    digest: int = 0
    history: deque[Change] = field(default_factory=lambda: deque(maxlen=_MAX_CHANGES))
    confirmed: bool = False
    pull_at: float = 0
    watching: bool = False
    older_rejected: int = 0
    monotonic: bool = True

    @property
    def generation(self) -> int:
        """Generation in force, or zero if there is none."""
        return self.catalogue.generation if self.catalogue else 0
