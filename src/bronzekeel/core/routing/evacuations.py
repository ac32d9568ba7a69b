"""Apply evacuations reported by the store or a peer, in the order of the store's revisions.

Operators evacuate a data centre before they work on it: from then on no new flow goes to its
upstreams, until they revoke the evacuation.  Open flows stay where they are, since none can be
moved without a reset (docs/design/shifted-work.md, "Evacuations").

Without the order, a host that was cut off, or a stale read, would restore an evacuation that was
revoked or end one that stands.  The symptom is a data centre that gets no flows for no reason, or
that gets flows during maintenance.
"""

from bronzekeel.core.log_numbers import LogNumber
from bronzekeel.core.routing.effects import Effect, WriteLine
from bronzekeel.core.routing.events import StoredObject
from bronzekeel.core.routing.follower import Collection
from bronzekeel.core.routing.messages import Evacuated
from bronzekeel.core.routing.revisions import format_revision
from bronzekeel.core.routing.state import RoutingState


#: Source of a report in the log if it is not a peer.
STORE = 'store'


def evacuated_with(
    evacuated: Evacuated,
    changes: list[StoredObject],
    revision: int,
) -> Evacuated:
    """Return the evacuations after applying `changes`, which are complete up to `revision`.

    Changes that were already applied do no harm: the last one of a data centre decides.
    """
    centres = set(evacuated.centres)
    for stored in changes:
        if not stored.name:
            continue
        if stored.content is None:
            centres.discard(stored.name)
        else:
            centres.add(stored.name)
    return Evacuated(revision, frozenset(centres))


def apply_evacuated(
    state: RoutingState,
    reported: Evacuated,
    source: str,
    now: float,
) -> list[Effect]:
    """Put the evacuations reported by `source` in force if they are newer.

    A report replaces all earlier ones.  Evacuations that a restored store has lost are retained for
    a while.
    """
    if reported.as_of <= state.evacuated.as_of:
        return []
    evacuated = state.directory.evacuated_centres
    former = evacuated.names
    evacuated.apply(reported, now)
    state.directory.update_evacuated_pools()
    state.follower_by_collection[Collection.EVACUATIONS].adopt(reported.as_of)
    return [
        *_lines(LogNumber.EVACUATED, evacuated.names - former, reported.as_of, source),
        *_lines(LogNumber.TAKEN_BACK, former - evacuated.names, reported.as_of, source),
    ]


def expire_evacuations(state: RoutingState, now: float) -> list[Effect]:
    """End the evacuations that a restored store lost and operators did not write again."""
    ended = state.directory.evacuated_centres.expire_retained(now)
    if ended:
        state.directory.update_evacuated_pools()
    return _lines(LogNumber.TAKEN_BACK, ended, state.evacuated.as_of, STORE)


def _lines(
    number: LogNumber,
    centres: frozenset[str],
    as_of: int,
    source: str,
) -> list[Effect]:
    return [
        WriteLine(number, data_centre=centre, revision=format_revision(as_of), told_by=source)
        for centre in sorted(centres)
    ]
