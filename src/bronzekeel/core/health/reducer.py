"""Adjust the limits of upstreams by the outcomes of attempts.

Health endpoints alone are unreliable: one that always reports healthy keeps a
dead upstream in use, one that always reports unhealthy takes a working upstream
out of use, and a broken check that reports every upstream as down stops the
service.  Therefore observed outcomes take precedence over the endpoint, and
reports that most upstreams are down are ignored.
"""

from bronzekeel.core.effects import Effect, Log
from bronzekeel.core.health.state import Health, UpstreamHealth
from bronzekeel.core.log_numbers import LogNumber
from bronzekeel.core.outcomes import AttemptEnd


_FAILURES_TO_EJECT = 3
_EJECT_S = 2.0
_MAX_EJECT_S = 30.0
_SUCCESS_VALID_S = 10.0
_SHED_FACTOR = 0.5


def observe(
    health: Health,
    endpoint: str,
    ended: str,
    slots: int,
    now: float,
) -> list[Effect]:
    """Update the upstream's limit and ejection by the outcome of an attempt.

    Returns a log effect if the upstream was ejected or became usable again.
    """
    upstream = health.of(endpoint)
    was_ejected = upstream.ejections > 0
    _apply_outcome(upstream, ended, slots, now)
    if was_ejected == (upstream.ejections > 0):
        return []
    number = LogNumber.UPSTREAM_UP if was_ejected else LogNumber.UPSTREAM_DOWN
    return [Log(number, endpoint)]


def _apply_outcome(upstream: UpstreamHealth, ended: str, slots: int, now: float) -> None:
    if ended == AttemptEnd.ANSWERED:
        upstream.failures = 0
        upstream.ejections = 0
        upstream.ejected_until = 0
        upstream.succeeded_until = now + _SUCCESS_VALID_S
        upstream.limit = min(slots, upstream.limit + 1 / upstream.limit)
        return
    if ended == AttemptEnd.SHED:
        upstream.limit = max(1, upstream.limit * _SHED_FACTOR)
        return
    if ended in {AttemptEnd.UNREACHED, AttemptEnd.LOST, AttemptEnd.CUT}:
        _record_failure(upstream, now)


def _record_failure(upstream: UpstreamHealth, now: float) -> None:
    upstream.failures += 1
    upstream.succeeded_until = 0
    if upstream.failures < _FAILURES_TO_EJECT:
        return
    wait_s = min(_MAX_EJECT_S, _EJECT_S * 2**upstream.ejections)
    upstream.ejections += 1
    upstream.ejected_until = now + wait_s
    upstream.limit = 1
    upstream.failures = _FAILURES_TO_EJECT - 1


def on_hint(health: Health, endpoint: str, *, serving: bool) -> None:
    """Record the state that the health endpoint reports, for use by ``allowances``."""
    health.of(endpoint).hinted_down = not serving


def usable(health: Health, endpoints: list[str], now: float) -> list[str]:
    """Return the upstreams that are not ejected at present."""
    return [endpoint for endpoint in endpoints if now >= health.of(endpoint).ejected_until]


def allowances(
    health: Health,
    endpoints: list[str],
    slots: int,
    now: float,
) -> dict[str, int]:
    """Return how many slots of each usable upstream may be in use.

    An upstream whose health endpoint reports "down" keeps one slot, whose
    outcome shows whether the report is right.  If more than half of the
    upstreams are reported as down, the reports are ignored.
    """
    candidates = usable(health, endpoints, now)
    suspects = {endpoint for endpoint in candidates if _is_suspect(health, endpoint, now)}
    if len(suspects) * 2 > len(candidates) and not health.trusts_hints:
        suspects = set()
    result = {}
    for endpoint in candidates:
        limit = int(min(health.of(endpoint).limit, slots))
        if endpoint in suspects:
            limit = 0 if health.trusts_hints else 1
        result[endpoint] = limit
    return result


def _is_suspect(health: Health, endpoint: str, now: float) -> bool:
    upstream = health.of(endpoint)
    if health.trusts_hints:
        return upstream.hinted_down
    return upstream.hinted_down and now >= upstream.succeeded_until
