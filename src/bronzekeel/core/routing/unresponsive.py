"""Tell neighbours which upstreams leave opening packets unanswered, and take their word.

What goes wrong without it: an upstream crashes, and for the two seconds until its entry lapses
each host has to lose a caller's flow to find that out.  Callers try again at once, through
other hosts that do not know it yet; when all upstreams of a data centre crash together, their
three tries end within milliseconds.  One notices by callers that fail while most upstreams
are well, ever more of them the more hosts there are.

Load pattern: many hosts with a few new flows a second each.  Heartbeats say it, the first
of them as soon as one is due to a small data centre.
"""

from collections.abc import Mapping

from bronzekeel.core.routing.flows import avoid_s
from bronzekeel.core.routing.state import RoutingState


#: Seconds within which this host must have been answered by some upstream to tell of others.  What
#: goes wrong without it: a host whose own link is broken keeps all others from upstreams that are
#: well.  Source: a host of the smallest share has a new flow each 0.3 s.
OWN_LINK_CHECK_S = 1.0

#: Upstreams of which it is told at most, those that were unresponsive last.  Source: at 15 bytes each
#: they are less than half of a heartbeat.
MAX_UNRESPONSIVE = 12

#: Seconds for which an own answer is believed more than a neighbour's word.  Source: a neighbour
#: tells what it found before its last heartbeat, which is a second old in a large data centre.
OWN_ANSWER_TRUSTED_S = 1.0


def unresponsive_upstreams(state: RoutingState, now: float) -> dict[int, int]:
    """Return the upstreams that this host itself found unresponsive, by short number.

    It says how many opening packets in a row nobody answered, its own and those it was told of.
    What it was only told it does not tell on: two hosts would remind each other without end.
    """
    if now >= state.flows.heard_at + OWN_LINK_CHECK_S:
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
    """Give no new flows to the upstreams that a neighbour found unresponsive, for a while.

    Its findings count as own ones, so each further one in the data centre makes the wait longer;
    word that is heard again changes nothing.
    """
    for number, unanswered in unanswered_by_number.items():
        upstream = state.directory.by_number.get(number)
        if upstream is None or now < upstream.answered_at + OWN_ANSWER_TRUSTED_S:
            continue
        if unanswered > upstream.unanswered:
            upstream.unanswered = unanswered
            upstream.avoided_until = max(upstream.avoided_until, now + avoid_s(unanswered))
