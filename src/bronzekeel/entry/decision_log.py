"""Log lines for placed, refused and reset flows."""

from types import MappingProxyType

from bronzekeel.core.log_numbers import LogNumber
from bronzekeel.core.routing.caller_shares import NO_LEVEL
from bronzekeel.core.routing.decisions import Decision, DecisionLog
from bronzekeel.core.routing.model import format_flow
from bronzekeel.core.routing.pools import Pool
from bronzekeel.core.routing.revisions import format_revision
from bronzekeel.core.routing.state import RoutingState
from bronzekeel.entry.lines import LineLog


_NUMBER_BY_OUTCOME = MappingProxyType(
    {
        'placed': LogNumber.FLOW_PLACED,
        'refused': LogNumber.FLOW_REFUSED,
        'reset': LogNumber.FLOW_RESET,
    },
)


class LineDecisionLog(DecisionLog):
    """Writes a log line for each decision, within the rate limit of the log."""

    def __init__(self, lines: LineLog, state: RoutingState) -> None:
        """Write to `lines`; `state` gives the generation of the text in force."""
        self._lines = lines
        self._state = state

    def note(self, decision: Decision, now: float) -> None:
        """Write a decision with the load of the upstream and pool that it was based on."""
        number = _NUMBER_BY_OUTCOME[decision.outcome]
        if not self._lines.admits(number, now):
            return
        packet = decision.packet
        fields: dict[str, object] = {
            'flow': format_flow(packet.flow),
            'by': decision.inputs,
            'copy': packet.copy,
            'generation': self._state.text.generation if self._state.text else 0,
        }
        upstream = decision.upstream
        if upstream is not None:
            fields['upstream'] = upstream.entry.name
            fields['revision'] = format_revision(upstream.entry.revision)
            fields['busy'] = upstream.busy_flows
            fields['open'] = upstream.open_flows
            fields['unanswered'] = upstream.unanswered
            if upstream.spare is not None:
                fields['speed'] = round(upstream.speed, 2)
                fields['spare'] = round(upstream.spare, 2)
        pool = decision.pool
        if pool is not None:
            fields['service'] = pool.service
            fields['in_progress'] = pool.busy
            fields['limit'] = round(pool.limit, 1)
            fields['waiting'] = pool.waiting
            fields.update(_caller_fields(pool, packet.flow, now))
        self._lines.write(number, fields, now)


def _caller_fields(pool: Pool, flow: bytes, now: float) -> dict[str, object]:
    """Return the requests served to the caller of a flow and its share, if shares are known."""
    shares = pool.callers
    if shares is None or shares.level == NO_LEVEL:
        return {}
    caller = shares.caller_of(flow)
    return {
        'given': round(shares.admitted_for(caller, now), 1),
        'share': round(shares.level, 1),
    }
