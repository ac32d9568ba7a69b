"""Draw the schedule of faults from a seed; faults overlap, and kinds repeat."""

from random import Random

from msgspec import Struct

from bronzekeel.soak.faults import FAULTS


#: Seconds before the first fault, and without faults after the last, in which callers must be
#: served again: the users' bound on recovery is 12 s.
FIRST_FAULT_S = 5.0
QUIET_S = 14.0

_DURATION_S = (0.5, 6.0)
_MEAN_GAP_S = 1.6


class PlannedFault(Struct, frozen=True):
    """One fault of the schedule; times are seconds from the start."""

    at_s: float
    kind: str
    for_s: float


def draw_schedule(seed: int, seconds: float) -> list[PlannedFault]:
    """Return the faults of a run; each kind occurs once before any kind repeats."""
    random = Random(f'schedule {seed}')
    kinds = [fault.kind for fault in FAULTS]
    random.shuffle(kinds)
    schedule: list[PlannedFault] = []
    at_s = FIRST_FAULT_S
    while at_s < seconds - QUIET_S:
        for_s = min(random.uniform(*_DURATION_S), seconds - QUIET_S - at_s)
        kind = kinds[len(schedule) % len(kinds)]
        schedule.append(PlannedFault(round(at_s, 2), kind, round(for_s, 2)))
        at_s += random.expovariate(1 / _MEAN_GAP_S)
    return schedule
