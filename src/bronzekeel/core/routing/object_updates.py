"""Apply texts and entries from the store and from peers, in revision order.

Without the order, a balancer could return to a text that is no longer in force, because of an
answer that was in flight while the watch moved on, a peer that was paused, a stale read, or a store
that was restored from a backup.
"""

from bronzekeel.core.log_numbers import LogNumber
from bronzekeel.core.routing.effects import Effect, WriteLine
from bronzekeel.core.routing.model import RoutingText, UpstreamEntry
from bronzekeel.core.routing.revisions import format_revision, incarnation_of
from bronzekeel.core.routing.state import RoutingState


def apply_text(state: RoutingState, text: RoutingText) -> list[Effect]:
    """Put a text in force unless the current one is newer."""
    known = state.text
    if known is not None and text.order == known.order:
        return []
    if known is not None and state.directory.ordered and text.order < known.order:
        return _refused(state, text, known)
    state.text = text
    return [
        WriteLine(
            LogNumber.TEXT_IN_FORCE,
            generation=text.generation,
            revision=format_revision(text.revision),
            routes=len(text.route_by_key),
            demand_controlled=state.demand.control.covers(text),
        ),
    ]


def _refused(state: RoutingState, text: RoutingText, known: RoutingText) -> list[Effect]:
    """Log a text that is not put in force because `known` is newer."""
    state.store_record.texts_refused += 1
    return [
        WriteLine(
            LogNumber.TEXT_OLDER,
            generation=text.generation,
            revision=format_revision(text.revision),
            in_force_generation=known.generation,
            in_force=format_revision(known.revision),
        ),
    ]


def apply_entry(state: RoutingState, entry: UpstreamEntry, now: float) -> list[Effect]:
    """Apply an upstream's entry.

    An entry that is not listed here although every change up to its revision is known was removed
    since.  It comes from a peer that is behind, or from a stale read.
    """
    former = state.directory.by_name.get(entry.name)
    unreadable_revision = state.directory.unreadable_by_name.get(entry.name, 0)
    if entry.revision < unreadable_revision:
        entry = entry.unusable(unreadable_revision)
    if entry.usable and _is_removed(state, entry):
        return []
    if not state.directory.apply(entry, now):
        return []
    if former is not None and state.directory.by_name[entry.name] is not former:
        state.flows.drop_upstream(former)
        return [
            WriteLine(
                LogNumber.UPSTREAM_RESTARTED,
                upstream=entry.name,
                service=entry.service,
                address=':'.join(map(str, entry.address)),
                former_start_ms=former.entry.started_ms,
                start_ms=entry.started_ms,
                revision=format_revision(entry.revision),
            ),
        ]
    return [
        WriteLine(
            LogNumber.UPSTREAM_LISTED,
            upstream=entry.name,
            service=entry.service,
            draining=entry.draining,
            cold_s=entry.cold_s,
            revision=format_revision(entry.revision),
        ),
    ]


def _is_removed(state: RoutingState, entry: UpstreamEntry) -> bool:
    """Whether an entry is known to be removed, as it is older than what is known completely."""
    known = state.directory.by_name.get(entry.name)
    if state.directory.has_gaps or (known is not None and known.listed):
        return False
    return entry.revision <= state.upstreams_complete


def handle_unreadable(state: RoutingState, name: str, revision: int, problem: str) -> list[Effect]:
    """Ignore an unreadable object; an upstream with an unreadable entry gets no new flows."""
    state.store_record.unreadable_objects += 1
    withheld = state.directory.withhold(name, revision)
    return [
        WriteLine(
            LogNumber.OBJECT_BAD,
            object=name,
            revision=format_revision(revision),
            problem=problem,
            withheld=withheld,
        ),
    ]


def note_restore(state: RoutingState, revision: int, now: float) -> bool:
    """Return whether the store was restored before `revision`, and start the grace period if so.

    Upstreams that are missing in the restored store write their entries again.  Without the grace
    period, all upstreams that joined after the backup was made would count as gone at once.
    """
    known = state.directory.newest_revision
    if not known or incarnation_of(revision) <= incarnation_of(known):
        return False
    state.directory.note_recovered(now)
    return True


def apply_confirmed(state: RoutingState, now: float) -> list[Effect]:
    """Apply the unconfirmed entries that have stood long enough."""
    effects: list[Effect] = []
    for entry in state.directory.due_unconfirmed(now):
        effects.extend(apply_entry(state, entry, now))
    return effects


def apply_removal(state: RoutingState, name: str, revision: int, now: float) -> list[Effect]:
    """Record that the store no longer has an entry."""
    missed = state.directory.note_removed(name, revision, now)
    if missed is None:
        return []
    return [
        WriteLine(
            LogNumber.UPSTREAM_UNLISTED,
            upstream=name,
            left=missed.left,
            gone_in_s=round(missed.gone_at - now, 3),
            revision=format_revision(revision),
        ),
    ]
