"""Hold the text in force and what is known of newer ones."""

from collections import deque
from dataclasses import dataclass, field

from bronzekeel.core.catalogue import Catalogue


#: Changes that are kept to give peers only what is new to them.
_MAX_CHANGES = 64


@dataclass(frozen=True, slots=True)
class Change:
    """Hold which services a generation changed after the one before it here."""

    since: int
    generation: int
    names: frozenset[str]


@dataclass(slots=True)
class Rollout:
    """Hold the accepted text.

    `confirmed` tells that it is known not to be behind: only then does a
    fresh balancer serve.
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
        """Generation in force, zero when none is."""
        return self.catalogue.generation if self.catalogue else 0
