"""Test that logs tell what became of a flow."""

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
from bronzekeel.explain.lines import read_lines
from bronzekeel.explain.diagnosis import explain


_FLOW = '100.64.0.4:1237>198.18.0.15:443'
_EPOCH = 1_000_000.0


def line(event: LogNumber, at: float, host: str = 'a1', **fields: Any) -> str:
    """Return a log line as a host writes it, behind what a collector adds."""
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
    """Return the line of a placed flow."""
    return line(LogNumber.FLOW_PLACED, at, host, flow=_FLOW, upstream=upstream, copy=copy)


def cause_of(*lines: str) -> str:
    """Return the cause that lines tell for the flow."""
    return explain(_FLOW, read_lines(lines)).cause


class CauseTest(TestCase):
    """Three kinds of failed request, and what else may be seen."""

    def test_opened_at_a_silent_upstream(self) -> None:
        """A repeat that goes elsewhere names the upstream that did not answer."""
        cause = cause_of(placed(1, 'i-1'), placed(1.2, 'i-2', 1))
        self.assertEqual(
            'upstream i-1 left the opening packet unanswered for 0.2 s; then placed at i-2',
            cause,
        )

    def test_cut_by_a_crash(self) -> None:
        """A reset of ours with a lapsed entry is a crash or a cut."""
        cause = cause_of(
            placed(1, 'i-1'),
            line(LogNumber.UPSTREAM_UNLISTED, 3, upstream='i-1', left=False),
            line(LogNumber.FLOW_RESET, 4, flow=_FLOW, by='upstream_gone', upstream='i-1'),
        )
        self.assertIn('upstream i-1 crashed or was cut off', cause)

    def test_left_as_announced(self) -> None:
        """An upstream that had announced its leaving is told apart from a crash."""
        cause = cause_of(
            line(LogNumber.UPSTREAM_UNLISTED, 3, upstream='i-1', left=True),
            line(LogNumber.FLOW_RESET, 4, flow=_FLOW, by='upstream_gone', upstream='i-1'),
        )
        self.assertIn('had left as announced', cause)

    def test_refused_for_a_dropped_route(self) -> None:
        """The generation that has no such route is named."""
        refused = line(LogNumber.FLOW_REFUSED, 1, flow=_FLOW, by='no_route', generation=15)
        self.assertIn('the text of generation 15 has no such route', cause_of(refused))
        refused = line(LogNumber.FLOW_REFUSED, 1, flow=_FLOW, by='no_upstream', generation=15)
        self.assertIn('no upstream that accepts flows', cause_of(refused))

    def test_refused_in_an_overload(self) -> None:
        """The service is named, and what was full."""
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
        """Guards against callers who are refused and nobody can say why."""
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
        """A host that sees repeats only is not the one that the first went to."""
        self.assertIn(
            'a1 received only repeats of the opening packet', cause_of(placed(1, 'i-1', 2))
        )

    def test_what_the_host_went_by_is_told(self) -> None:
        """A request was handled by an old text, and nothing said that newer ones were left out.

        Lines on the store, its texts and evacuations tell what a host knew when it placed a flow.
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
        self.assertEqual([*around, LogNumber.FLOW_PLACED], [told.event for told in diagnosis.lines])

    def test_a_flow_that_nobody_logged(self) -> None:
        """What was left out is said."""
        other = line(LogNumber.FLOW_PLACED, 1, flow='1.1.1.1:1>2.2.2.2:2', left_out=7)
        self.assertIn('7 lines on flows were left out', cause_of(other))
        self.assertIn('its packets reached none', cause_of())


class LinesTest(TestCase):
    """Lines of many hosts in one order."""

    def test_a_jump_of_the_time_of_day_does_not_mix_the_order(self) -> None:
        """Symptom: a diagnosis tells the reset before the crash.

        Sequence: a host's time of day jumps back by two seconds for a while.
        Cause: ordering lines by the time of day.
        """
        lines = [placed(at, f'i-{at}') for at in range(1, 8)]
        jumped = decode_json(lines[4][lines[4].index('{') :])
        jumped['time'] -= 3
        lines[4] = encode_json(jumped)
        order = [found.text('upstream') for found in read_lines(lines)]
        self.assertEqual([f'i-{at}' for at in range(1, 8)], order)

    def test_what_is_no_line_of_ours_is_passed_over(self) -> None:
        """Files hold other lines, and broken ones."""
        rubbish = ('', 'no JSON', '{', '{}', '[1]', '{"event": 77, "host": 1}')
        self.assertEqual([], read_lines(rubbish))


class CommandTest(TestCase):
    """The command as on-call engineers use it."""

    def test_story_and_cause_are_printed(self) -> None:
        """Text and JSON have the same lines; a flow that nobody logged is refused."""
        with TemporaryDirectory() as folder:
            path = Path(folder) / 'a1.log'
            path.write_text('\n'.join((placed(1, 'i-1'), placed(1.2, 'i-2', 1))))
            code, shown = _run('explain', _FLOW, str(path))
            self.assertEqual(0, code)
            self.assertEqual(3, len(shown.splitlines()))
            _, told = _run('explain', '--json', _FLOW, str(path))
            self.assertEqual(2, len(decode_json(told)['lines']))
            code, _ = _run('explain', '9.9.9.9:9', str(path))
            self.assertEqual(1, code)


def _run(*arguments: str) -> tuple[int, str]:
    shown = StringIO()
    with patch('bronzekeel.commands.output.stdout', shown):
        code = main(arguments)
    return code, shown.getvalue()
