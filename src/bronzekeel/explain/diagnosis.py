"""Diagnosis of one flow's outcome and its cause from log lines."""

from collections.abc import Callable

from bronzekeel.core.log_numbers import LogNumber
from bronzekeel.explain.lines import LogLine

_FLOW_EVENTS = frozenset((LogNumber.FLOW_PLACED, LogNumber.FLOW_REFUSED, LogNumber.FLOW_RESET))
_UPSTREAM_EVENTS = frozenset(
    (
        LogNumber.UPSTREAM_LISTED,
        LogNumber.UPSTREAM_UNLISTED,
        LogNumber.UPSTREAM_RESTARTED,
    ),
)
_HOST_EVENTS = frozenset(
    (
        LogNumber.STARTED,
        LogNumber.READY,
        LogNumber.STOPPING,
        LogNumber.STOPPED,
        LogNumber.TEXT_IN_FORCE,
        LogNumber.TEXT_OLDER,
        LogNumber.PLATFORM_LOST,
        LogNumber.PLATFORM_BACK,
        LogNumber.STORE_RESTORED,
        LogNumber.EVACUATED,
        LogNumber.TAKEN_BACK,
        LogNumber.OVERLOADED,
        LogNumber.OVERLOAD_ENDED,
    ),
)

#: Seconds before and after a flow's lines in which other events may be related to it.  An entry
#: lapses up to three heartbeats after a crash, 2.3 s on the users' sites, and a caller retries for
#: some seconds.
CONTEXT_WINDOW_S = 4.0


class Diagnosis:
    """The log lines that concern a flow, in chronological order, and the cause of its outcome."""

    __slots__ = ('cause', 'flow', 'lines')

    def __init__(self, flow: str, lines: list[LogLine], cause: str) -> None:
        """Store the lines and the cause."""
        self.flow = flow
        self.lines = lines
        self.cause = cause


def explain(flow: str, lines: list[LogLine]) -> Diagnosis:
    """Return the diagnosis of `flow`, or of all flows whose name contains it.

    It includes what the flow's hosts logged about themselves and about its upstreams from
    ``CONTEXT_WINDOW_S`` seconds before the flow's first line until as long after its last.
    """
    own = [line for line in lines if line.event in _FLOW_EVENTS and flow in line.text('flow')]
    if not own:
        return Diagnosis(flow, [], _cause_without_lines(lines))
    hosts = {line.host for line in own}
    upstreams = {line.text('upstream') for line in own}
    started_at = own[0].at - CONTEXT_WINDOW_S
    ended_at = own[-1].at + CONTEXT_WINDOW_S
    related = []
    for line in lines:
        if not started_at <= line.at <= ended_at:
            continue
        of_flow = line in own
        of_upstream = line.event in _UPSTREAM_EVENTS and line.text('upstream') in upstreams
        of_host = line.event in _HOST_EVENTS and line.host in hosts
        if of_flow or (of_upstream and line.host in hosts) or of_host:
            related.append(line)
    return Diagnosis(flow, related, _cause(own, related))


def _cause_without_lines(lines: list[LogLine]) -> str:
    left_out = sum(
        int(line.fields.get('left_out', 0)) for line in lines if line.event in _FLOW_EVENTS
    )
    if left_out:
        return f'no host logged this flow; {left_out} lines on flows were left out of these logs'
    return 'no host logged this flow: its packets reached none of them, or other files have it'


def _cause(own: list[LogLine], related: list[LogLine]) -> str:
    for event, describe in _DESCRIBE_BY_EVENT:
        for line in own:
            if line.event is event:
                return describe(line, own, related)
    return 'placed; not ended by a balancer'


def _describe_refusal(line: LogLine, own: list[LogLine], related: list[LogLine]) -> str:
    if line.text('by') == 'overloaded':
        return (
            f'refused by {line.host}: {line.text("service")} is overloaded, with '
            f'{line.text("in_progress")} requests in progress of at most {line.text("limit")} '
            f'and {line.text("waiting")} others waiting'
        )
    if line.text('by') == 'above_share':
        return (
            f'refused by {line.host}: {line.text("service")} is overloaded, and the caller was '
            f'given {line.text("given")} requests where its share is {line.text("share")}'
        )
    generation = line.text('generation')
    if line.text('by') != 'no_route':
        return f'refused by {line.host}: the service has no upstream that accepts flows'
    return f'refused by {line.host}: the text of generation {generation} has no such route'


def _describe_reset(line: LogLine, own: list[LogLine], related: list[LogLine]) -> str:
    upstream = line.text('upstream') or 'an upstream that is not listed'
    fate = 'is gone'
    for other in related:
        if other.event is LogNumber.UPSTREAM_UNLISTED and other.text('upstream') == upstream:
            fate = 'had left as announced' if other.fields.get('left') else 'crashed or was cut off'
    return f'reset by {line.host}: upstream {upstream} {fate}, and the caller retransmitted'


def _describe_placement(line: LogLine, own: list[LogLine], related: list[LogLine]) -> str:
    repeats = [other for other in own if int(other.fields.get('copy', 0)) > 0]
    if not repeats:
        return f'placed at {line.text("upstream")}; not ended by a balancer'
    first = repeats[0]
    if first is own[0]:
        return (
            f'{first.host} received only repeats of the opening packet: the first was lost, '
            'or the host that received it was down'
        )
    unresponsive = own[0].text('upstream')
    waited_s = round(first.at - own[0].at, 2)
    placed_at = first.text('upstream')
    return (
        f'upstream {unresponsive} left the opening packet unanswered for {waited_s} s; '
        f'then placed at {placed_at}'
    )


_Describe = Callable[[LogLine, list[LogLine], list[LogLine]], str]
_DESCRIBE_BY_EVENT: tuple[tuple[LogNumber, _Describe], ...] = (
    (LogNumber.FLOW_REFUSED, _describe_refusal),
    (LogNumber.FLOW_RESET, _describe_reset),
    (LogNumber.FLOW_PLACED, _describe_placement),
)
