"""Read log lines of many hosts and put them in the order of time."""

from collections.abc import Iterable
from contextlib import suppress
from json import loads as decode_json
from statistics import median
from typing import Any

from bronzekeel.core.log_numbers import LogNumber

#: What a line raises that is no event of ours; files hold others beside them.
_NOT_AN_EVENT = (KeyError, TypeError, ValueError)


class LogLine:
    """Hold one line: which host wrote it, which event, when, with which fields.

    `at` is the time of day that the host's steady clock shows: its own time of
    day may have jumped.
    """

    __slots__ = ('at', 'event', 'fields', 'host', 'steady')

    def __init__(self, fields: dict[str, Any]) -> None:
        """Keep a decoded line.  Raises KeyError or ValueError if it is no event."""
        self.host = str(fields['host'])
        self.event = LogNumber(fields['event'])
        self.steady = float(fields['steady'])
        self.at = float(fields['time'])
        self.fields = fields

    def text(self, name: str) -> str:
        """Return a field as text, empty if it is not there."""
        return str(self.fields.get(name, ''))


def read_lines(raw_lines: Iterable[str]) -> list[LogLine]:
    """Return the events among lines of any kind, in the order of time.

    What stands before the JSON object, as collectors put it there, is left out.
    """
    lines = []
    for raw in raw_lines:
        _, brace, rest = raw.partition('{')
        with suppress(*_NOT_AN_EVENT):
            lines.append(LogLine(decode_json(f'{brace}{rest}')))
    _align_clocks(lines)
    lines.sort(key=lambda line: (line.at, line.host, line.steady))
    return lines


def _align_clocks(lines: list[LogLine]) -> None:
    """Give each run of a process one offset between its two clocks.

    Its median is what a jump of the time of day moves least.
    """
    run_by_host: dict[str, list[LogLine]] = {}
    for line in lines:
        run = run_by_host.get(line.host)
        if run is None or line.event is LogNumber.STARTED:
            _set_times(run or [])
            run = []
            run_by_host[line.host] = run
        run.append(line)
    for last in run_by_host.values():
        _set_times(last)


def _set_times(run: list[LogLine]) -> None:
    if not run:
        return
    offset = median(line.at - line.steady for line in run)
    for line in run:
        line.at = line.steady + offset
