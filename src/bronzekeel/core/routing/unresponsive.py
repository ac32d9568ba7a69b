"""Exchange with neighbours which upstreams leave opening packets unanswered.

Without this, when an upstream crashes, each host would have to lose a caller's flow to find that
out in the two seconds until its entry lapses.  Callers try again at once, through other hosts that
do not know it yet; when all upstreams of a data centre crash together, their three tries end within
milliseconds.  The symptom is callers that fail while most upstreams are well, the more of them the
more hosts there are.

It matters with many hosts that have a few new flows per second each.  Heartbeats carry the reports,
the first of them as soon as one is due in a small data centre.
"""

from collections.abc import Mapping

from bronzekeel.core.routing.flows import avoid_s
from bronzekeel.core.routing.state import RoutingState


#: Seconds within which some upstream must have answered this host before it reports others as
#: unresponsive.  Otherwise a host whose own link is broken would keep all others from upstreams
#: that are well.  A host with the smallest share of flows has a new flow every 0.3 s.
OWN_LINK_CHECK_S = 1.0

#: Maximum number of reported upstreams, the most recently unresponsive first.  At 15 bytes each
#: they take less than half of a heartbeat.
MAX_UNRESPONSIVE = 12

#: Seconds for which an own answer overrides a neighbour's report.  A neighbour reports what it
#: observed before its last heartbeat, which is a second old in a large data centre.
OWN_ANSWER_TRUSTED_S = 1.0


def unresponsive_upstreams(state: RoutingState, now: float) -> dict[int, int]:
    """Return the upstreams that this host itself found unresponsive, by short number.

    The values count the consecutive unanswered opening packets, including those reported by others.
    Upstreams that were only reported by others are left out: otherwise two hosts would remind each
    other without end.
    """
    if now >= state.flows.last_answer_at + OWN_LINK_CHECK_S:
        return {}
    unresponsive = [
        (upstream.unresponsive_until, number, upstream.unanswered)
        for number, upstream in state.directory.by_number.items()
        if now < upstream.unresponsive_until
    ]
    unresponsive.sort(reverse=True)
    return {number: unanswered for _, number, unanswered in unresponsive[:MAX_UNRESPONSIVE]}


def apply_unresponsive(
    state: RoutingState, unanswered_by_number: Mapping[int, int], now: float
) -> None:
    """Give no new flows for a while to the upstreams that a neighbour found unresponsive.

    Its observations count as own ones, so each further one in the data centre makes the wait
    longer; a report that is received again changes nothing.
    """
    for number, unanswered in unanswered_by_number.items():
        upstream = state.directory.by_number.get(number)
        if upstream is None or now < upstream.answered_at + OWN_ANSWER_TRUSTED_S:
            continue
        if unanswered > upstream.unanswered:
            upstream.unanswered = unanswered
            upstream.avoided_until = max(upstream.avoided_until, now + avoid_s(unanswered))
