"""Parser that merges the log lines of many hosts into chronological order."""

from collections.abc import Iterable
from contextlib import suppress
from json import loads as decode_json
from statistics import median
from typing import Any

from bronzekeel.core.log_numbers import LogNumber

#: Exceptions that a line raises which is no event of this program; log files contain other lines.
_NOT_AN_EVENT = (KeyError, TypeError, ValueError)


class LogLine:
    """One event: the host that logged it, the event, its time and its fields.

    `at` is wall-clock time derived from the host's monotonic clock, because the wall clock of
    the host may have jumped.
    """

    __slots__ = ('at', 'event', 'fields', 'host', 'steady')

    def __init__(self, fields: dict[str, Any]) -> None:
        """Store a decoded line.  Raises KeyError, TypeError or ValueError if it is no event."""
        self.host = str(fields['host'])
        self.event = LogNumber(fields['event'])
        self.steady = float(fields['steady'])
        self.at = float(fields['time'])
        self.fields = fields

    def text(self, name: str) -> str:
        """Return a field as a string, or an empty string if it is missing."""
        return str(self.fields.get(name, ''))


def read_lines(raw_lines: Iterable[str]) -> list[LogLine]:
    """Return the events among arbitrary lines, in chronological order.

    A prefix before the JSON object, as log collectors add it, is ignored.
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
    """Apply one offset between wall clock and monotonic clock to each process run.

    The offset is the median over the run, since a jump of the wall clock affects the median least.
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
