"""Tests of the diagnosis of a flow from log lines."""

from io import StringIO
from json import dumps as encode_json
from json import loads as decode_json
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any
from unittest import TestCase
from unittest.mock import patch

from bronzekeel.commands.main import main
from bronzekeel.core.log_numbers import LogNumber
from bronzekeel.explain.diagnosis import explain
from bronzekeel.explain.lines import read_lines


_FLOW = '100.64.0.4:1237>198.18.0.15:443'
_EPOCH = 1_000_000.0


def line(event: LogNumber, at: float, host: str = 'a1', **fields: Any) -> str:
    """Return a log line as a host writes it, with the prefix that a log collector adds."""
    shown = {
        'time': _EPOCH + at,
        'steady': 500 + at,
        'event': int(event),
        'name': event.name.lower(),
        'host': host,
        **fields,
    }
    return f'  {at} {host} {encode_json(shown)}'


def placed(at: float, upstream: str, copy: int = 0, host: str = 'a1') -> str:
    """Return the log line of a placed flow."""
    return line(LogNumber.FLOW_PLACED, at, host, flow=_FLOW, upstream=upstream, copy=copy)


def cause_of(*lines: str) -> str:
    """Return the cause diagnosed for the flow from `lines`."""
    return explain(_FLOW, read_lines(lines)).cause


class CauseTest(TestCase):
    """Causes of three kinds of failed request, and related events."""

    def test_opened_at_an_unresponsive_upstream(self) -> None:
        """If a repeat is placed at another upstream, the one that did not answer is named."""
        cause = cause_of(placed(1, 'i-1'), placed(1.2, 'i-2', 1))
        self.assertEqual(
            'upstream i-1 left the opening packet unanswered for 0.2 s; then placed at i-2',
            cause,
        )

    def test_cut_by_a_crash(self) -> None:
        """A reset after the upstream's entry lapsed is reported as a crash or a network cut."""
        cause = cause_of(
            placed(1, 'i-1'),
            line(LogNumber.UPSTREAM_UNLISTED, 3, upstream='i-1', left=False),
            line(LogNumber.FLOW_RESET, 4, flow=_FLOW, by='upstream_gone', upstream='i-1'),
        )
        self.assertIn('upstream i-1 crashed or was cut off', cause)

    def test_left_as_announced(self) -> None:
        """An upstream that left after announcing it is not reported as crashed."""
        cause = cause_of(
            line(LogNumber.UPSTREAM_UNLISTED, 3, upstream='i-1', left=True),
            line(LogNumber.FLOW_RESET, 4, flow=_FLOW, by='upstream_gone', upstream='i-1'),
        )
        self.assertIn('had left as announced', cause)

    def test_refused_for_a_dropped_route(self) -> None:
        """The cause names the generation without the route, or the lack of upstreams."""
        refused = line(LogNumber.FLOW_REFUSED, 1, flow=_FLOW, by='no_route', generation=15)
        self.assertIn('the text of generation 15 has no such route', cause_of(refused))
        refused = line(LogNumber.FLOW_REFUSED, 1, flow=_FLOW, by='no_upstream', generation=15)
        self.assertIn('no upstream that accepts flows', cause_of(refused))

    def test_refused_in_an_overload(self) -> None:
        """The cause names the service and its load at the refusal."""
        refused = line(
            LogNumber.FLOW_REFUSED,
            1,
            flow=_FLOW,
            by='overloaded',
            service='portal',
            in_progress=7,
            limit=6.5,
            waiting=4,
        )
        cause = cause_of(refused)
        self.assertIn('refused by a1: portal is overloaded', cause)
        self.assertIn('7 requests in progress of at most 6.5', cause)
        self.assertIn('4 others waiting', cause)

    def test_refused_above_the_share(self) -> None:
        """The cause of a refusal above the fair share gives the caller's share and usage."""
        refused = line(
            LogNumber.FLOW_REFUSED,
            1,
            flow=_FLOW,
            by='above_share',
            service='portal',
            given=20.5,
            share=2.1,
        )
        self.assertIn('given 20.5 requests where its share is 2.1', cause_of(refused))

    def test_the_first_packet_went_to_a_host_that_was_down(self) -> None:
        """If a host received only repeats, the first packet was lost or went to another host."""
        self.assertIn(
            'a1 received only repeats of the opening packet', cause_of(placed(1, 'i-1', 2))
        )

    def test_events_of_the_host_state_are_included(self) -> None:
        """The diagnosis includes events about the store, texts and evacuations.

        They show what a host knew when it placed a flow.  Without them, nothing showed that a
        request was handled by an old text because newer ones had been skipped.
        """
        around = (
            LogNumber.STORE_RESTORED,
            LogNumber.TEXT_OLDER,
            LogNumber.EVACUATED,
            LogNumber.TAKEN_BACK,
            LogNumber.UPSTREAM_RESTARTED,
        )
        lines = [line(event, 0.5, upstream='i-1') for event in around]
        lines.append(line(LogNumber.TEXT_OLDER, 0.5, 'another'))
        diagnosis = explain(_FLOW, read_lines((*lines, placed(1, 'i-1'))))
        self.assertEqual(
            [*around, LogNumber.FLOW_PLACED], [entry.event for entry in diagnosis.lines]
        )

    def test_a_flow_that_nobody_logged(self) -> None:
        """The cause gives the number of log lines that were left out."""
        other = line(LogNumber.FLOW_PLACED, 1, flow='1.1.1.1:1>2.2.2.2:2', left_out=7)
        self.assertIn('7 lines on flows were left out', cause_of(other))
        self.assertIn('its packets reached none', cause_of())


class LinesTest(TestCase):
    """Merging of log lines from many hosts."""

    def test_a_wall_clock_jump_does_not_change_the_order(self) -> None:
        """Lines are not ordered by wall-clock time alone.

        When a host's wall clock jumped back by two seconds for a while, that order showed the
        reset before the crash.
        """
        lines = [placed(at, f'i-{at}') for at in range(1, 8)]
        jumped = decode_json(lines[4][lines[4].index('{') :])
        jumped['time'] -= 3
        lines[4] = encode_json(jumped)
        order = [found.text('upstream') for found in read_lines(lines)]
        self.assertEqual([f'i-{at}' for at in range(1, 8)], order)

    def test_lines_that_are_no_events_are_ignored(self) -> None:
        """Log files may contain lines of other programs and truncated ones."""
        other_lines = ('', 'no JSON', '{', '{}', '[1]', '{"event": 77, "host": 1}')
        self.assertEqual([], read_lines(other_lines))


class CommandTest(TestCase):
    """The command as on-call engineers use it."""

    def test_lines_and_cause_are_printed(self) -> None:
        """Text and JSON output have the same lines; a flow without log lines is refused."""
        with TemporaryDirectory() as folder:
            path = Path(folder) / 'a1.log'
            path.write_text('\n'.join((placed(1, 'i-1'), placed(1.2, 'i-2', 1))))
            code, shown = _run('explain', _FLOW, str(path))
            self.assertEqual(0, code)
            self.assertEqual(3, len(shown.splitlines()))
            _, encoded = _run('explain', '--json', _FLOW, str(path))
            self.assertEqual(2, len(decode_json(encoded)['lines']))
            code, _ = _run('explain', '9.9.9.9:9', str(path))
            self.assertEqual(1, code)


def _run(*arguments: str) -> tuple[int, str]:
    shown = StringIO()
    with patch('bronzekeel.commands.output.stdout', shown):
        code = main(arguments)
    return code, shown.getvalue()
