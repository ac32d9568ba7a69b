"""Take word of evacuations, from the store or a peer, in the order of the store's revisions.

Operators evacuate a data centre before they work on it: from then on no new flow goes to its
upstreams, until they take that back.  Flows that are open stay where they are, since none
can be moved without a reset (docs/design/shifted-work.md, "Evacuations").

What goes wrong without the order: a host that was cut off, or a read that is seconds old, brings
back an evacuation that was taken back, or ends one that stands.  One notices by a data
centre that gets nothing for no reason, or gets flows while people work on it.
"""

from bronzekeel.core.log_numbers import LogNumber
from bronzekeel.core.routing.effects import Effect, WriteLine
from bronzekeel.core.routing.events import StoredObject
from bronzekeel.core.routing.follower import Collection
from bronzekeel.core.routing.messages import Evacuated
from bronzekeel.core.routing.revisions import format_revision
from bronzekeel.core.routing.state import RoutingState


#: Who reported, in the log, where it was no peer.
STORE = 'store'


def evacuated_with(
    evacuated: Evacuated,
    changes: list[StoredObject],
    revision: int,
) -> Evacuated:
    """Return what is evacuated after `changes`, which are all up to `revision`.

    Changes that are known already do no harm: the last one of a data centre decides.
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
    """Put what `source` says in force if it is newer; the newest word holds as a whole.

    What a restored store does not have is kept for a while.
    """
    if reported.as_of <= state.evacuated.as_of:
        return []
    closed = state.directory.evacuated_centres
    former = closed.names
    closed.apply(reported, now)
    state.directory.update_evacuated_pools()
    state.follower_by_collection[Collection.EVACUATIONS].adopt(reported.as_of)
    return [
        *_lines(LogNumber.EVACUATED, closed.names - former, reported.as_of, source),
        *_lines(LogNumber.TAKEN_BACK, former - closed.names, reported.as_of, source),
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
