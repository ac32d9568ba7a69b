"""Tell from log lines what became of one flow, and why."""

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

#: Seconds around a flow's lines in which other events may have to do with it.
#: Source: an entry lapses up to three heartbeats after a crash, 2.3 s on the
#: users' sites, and a caller asks for some seconds.
AROUND_S = 4.0


class Story:
    """Hold the lines that tell of a flow, in the order of time, and the cause."""

    __slots__ = ('cause', 'flow', 'lines')

    def __init__(self, flow: str, lines: list[LogLine], cause: str) -> None:
        """Keep the story."""
        self.flow = flow
        self.lines = lines
        self.cause = cause


def explain(flow: str, lines: list[LogLine]) -> Story:
    """Return the story of `flow`, or of the flows whose name it is part of."""
    own = [line for line in lines if line.event in _FLOW_EVENTS and flow in line.text('flow')]
    if not own:
        return Story(flow, [], _without_lines(lines))
    hosts = {line.host for line in own}
    upstreams = {line.text('upstream') for line in own}
    begun_at = own[0].at - AROUND_S
    ended_at = own[-1].at + AROUND_S
    told = []
    for line in lines:
        if not begun_at <= line.at <= ended_at:
            continue
        of_flow = line in own
        of_upstream = line.event in _UPSTREAM_EVENTS and line.text('upstream') in upstreams
        of_host = line.event in _HOST_EVENTS and line.host in hosts
        if of_flow or (of_upstream and line.host in hosts) or of_host:
            told.append(line)
    return Story(flow, told, _cause(own, told))


def _without_lines(lines: list[LogLine]) -> str:
    left_out = sum(
        int(line.fields.get('left_out', 0)) for line in lines if line.event in _FLOW_EVENTS
    )
    if left_out:
        return f'no host logged this flow; {left_out} lines on flows were left out of these logs'
    return 'no host logged this flow: its packets reached none of them, or other files have it'


def _cause(own: list[LogLine], told: list[LogLine]) -> str:
    for event, tell in _CAUSES:
        for line in own:
            if line.event is event:
                return tell(line, own, told)
    return 'placed; nothing of ours ended it'


def _tell_refusal(line: LogLine, own: list[LogLine], told: list[LogLine]) -> str:
    if line.text('by') == 'overloaded':
        return (
            f'refused by {line.host}: {line.text("service")} is overloaded, with '
            f'{line.text("in_progress")} requests in progress of {line.text("limit")} that may '
            f'be, while {line.text("waiting")} others waited'
        )
    if line.text('by') == 'above_share':
        return (
            f'refused by {line.host}: {line.text("service")} is overloaded, and the caller was '
            f'given {line.text("given")} requests where its share is {line.text("share")}'
        )
    generation = line.text('generation')
    if line.text('by') != 'no_route':
        return f'refused by {line.host}: the service has no upstream that takes flows'
    return f'refused by {line.host}: the text of generation {generation} has no such route'


def _tell_reset(line: LogLine, own: list[LogLine], told: list[LogLine]) -> str:
    upstream = line.text('upstream') or 'an upstream that nobody lists'
    how = 'is gone'
    for other in told:
        if other.event is LogNumber.UPSTREAM_UNLISTED and other.text('upstream') == upstream:
            how = 'had left as announced' if other.fields.get('left') else 'crashed or was cut off'
    return f'reset by {line.host}: upstream {upstream} {how}, and the caller repeated itself'


def _tell_placing(line: LogLine, own: list[LogLine], told: list[LogLine]) -> str:
    repeats = [other for other in own if int(other.fields.get('copy', 0)) > 0]
    if not repeats:
        return f'placed at {line.text("upstream")}; nothing of ours ended it'
    first = repeats[0]
    if first is own[0]:
        return (
            f'{first.host} saw repeats of the opening packet only: the first was lost, '
            'or the host that got it was down'
        )
    silent = own[0].text('upstream')
    waited_s = round(first.at - own[0].at, 2)
    latter = first.text('upstream')
    return (
        f'upstream {silent} left the opening packet unanswered for {waited_s} s; '
        f'then placed at {latter}'
    )


_Tell = Callable[[LogLine, list[LogLine], list[LogLine]], str]
_CAUSES: tuple[tuple[LogNumber, _Tell], ...] = (
    (LogNumber.FLOW_REFUSED, _tell_refusal),
    (LogNumber.FLOW_RESET, _tell_reset),
    (LogNumber.FLOW_PLACED, _tell_placing),
)
