"""Draw which faults come when: from a seed, overlapping, any kind more than once."""

from random import Random

from msgspec import Struct

from bronzekeel.soak.faults import FAULTS


#: Seconds before the first fault, and of quiet after the last, in which callers must be
#: served again.  Source: the users' bound on recovery is 12 s.
FIRST_S = 5.0
QUIET_S = 14.0

_LASTING_S = (0.5, 6.0)
_GAP_S = 1.6


class Planned(Struct, frozen=True):
    """Plan one fault, in seconds from the start."""

    at_s: float
    kind: str
    for_s: float


def drawn(seed: int, seconds: float) -> list[Planned]:
    """Return the faults of a run; all kinds come before one comes twice."""
    random = Random(f'schedule {seed}')
    kinds = [fault.kind for fault in FAULTS]
    random.shuffle(kinds)
    planned: list[Planned] = []
    at_s = FIRST_S
    while at_s < seconds - QUIET_S:
        for_s = min(random.uniform(*_LASTING_S), seconds - QUIET_S - at_s)
        kind = kinds[len(planned) % len(kinds)]
        planned.append(Planned(round(at_s, 2), kind, round(for_s, 2)))
        at_s += random.expovariate(1 / _GAP_S)
    return planned
