"""Decide when a balancer starts to accept traffic."""

from bronzekeel.core.log_numbers import LogNumber
from bronzekeel.core.routing.effects import Effect, WriteLine
from bronzekeel.core.routing.state import RoutingState


def become_ready(state: RoutingState, now: float) -> list[Effect]:
    """Become ready once text and upstreams are known, from the store or a peer.

    Request limits are computed first, because packets that callers sent while no balancer was
    ready arrive all at once.
    """
    if state.ready or state.text is None:
        return []
    for follower in state.follower_by_collection.values():
        if not follower.listed:
            return []
    state.admission.update_limits(now)
    state.ready = True
    return [
        WriteLine(
            LogNumber.READY,
            generation=state.text.generation,
            upstreams=state.directory.listed_count,
        ),
    ]
