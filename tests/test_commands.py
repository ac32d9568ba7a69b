"""Tests of the command line, settings, log catalogue and platform client."""

from asyncio import run
from collections.abc import Iterator
from contextlib import contextmanager, redirect_stderr, redirect_stdout
from io import StringIO
from pathlib import Path
from re import findall
from tempfile import TemporaryDirectory
from unittest import TestCase
from unittest.mock import patch

from msgspec.json import decode, encode

from bronzekeel.balancer.settings import SettingsError, read_settings
from bronzekeel.commands import output
from bronzekeel.commands.main import main
from bronzekeel.core.log_numbers import LogNumber
from bronzekeel.platform.client import PlatformClient
from bronzekeel.report.outcomes import OutcomeLine
from bronzekeel.standins.platform import PlatformStandIn
from bronzekeel.standins.store_copy import copy_of, restore
from bronzekeel.text.submission import HEAD_KEY, Accepted, StoreRefused, submit

_ROOT = Path(__file__).parent.parent
_EXAMPLE = str(_ROOT / 'examples' / 'stichting.json')


@contextmanager
def captured_output() -> Iterator[StringIO]:
    """Capture the standard output and standard error of commands."""
    buffer = StringIO()
    with patch.object(output, 'stdout', buffer), patch.object(output, 'stderr', buffer):
        with redirect_stdout(buffer), redirect_stderr(buffer):
            yield buffer


def run_command(*arguments: str) -> tuple[int, str]:
    """Run a command; return its exit code and output."""
    with captured_output() as buffer:
        try:
            code = main(arguments)
        except SystemExit as ended:
            code = int(ended.code or 0)
    return code, buffer.getvalue()


class CommandTest(TestCase):
    """Exit codes and output of commands."""

    def test_help_has_an_example_for_each(self) -> None:
        """The help text of every subcommand has a usage example."""
        for name in (
            'balancer',
            'check',
            'submit',
            'diff',
            'status',
            'events',
            'report',
            'replay',
            'bench',
            'demo',
        ):
            code, output_text = run_command(name, '--help')
            self.assertEqual(0, code)
            self.assertIn(f'bronzekeel {name}', output_text.split('example:')[1])

    def test_check_distinguishes_valid_from_invalid(self) -> None:
        """A valid text gives DONE, an invalid or missing one REFUSED, no argument USAGE."""
        self.assertEqual(0, run_command('check', _EXAMPLE)[0])
        code, output_text = run_command('check', str(_ROOT / 'pyproject.toml'))
        self.assertEqual(1, code)
        self.assertIn('remedy:', output_text)
        self.assertEqual(1, run_command('check', 'no-such-file')[0])
        self.assertEqual(2, run_command('check')[0])

    def test_submit_without_a_platform_is_refused(self) -> None:
        """Nothing was submitted, and the output states it."""
        code, output_text = run_command('submit', _EXAMPLE, '--platform', 'http://127.0.0.1:1')
        self.assertEqual(1, code)
        self.assertIn('not submitted', output_text)

    def test_status_without_a_balancer_is_unknown(self) -> None:
        """The status of a balancer that does not answer is unknown."""
        self.assertEqual(3, run_command('status', 'http://127.0.0.1:1')[0])

    def test_replay_gives_the_same_bytes_for_the_same_seed(self) -> None:
        """Two runs give identical output and meet the stated outcomes."""
        trace = str(_ROOT / 'traces' / 'drain.jsonl')
        outcomes = str(_ROOT / 'traces' / 'drain.json')
        first = run_command('replay', trace, '--outcomes', outcomes)
        self.assertEqual(first, run_command('replay', trace, '--outcomes', outcomes))
        self.assertEqual(0, first[0])

    def test_replay_names_each_outcome_that_fails(self) -> None:
        """If a stated outcome is not met, the command names it and returns REFUSED."""
        with TemporaryDirectory() as folder:
            path = Path(folder) / 'outcomes.json'
            path.write_bytes(encode({'flows': {'least': 10_000}, 'broken': {'most': 0}}))
            trace = str(_ROOT / 'traces' / 'drain.jsonl')
            code, output_text = run_command('replay', trace, '--outcomes', str(path))
        self.assertEqual(1, code)
        self.assertIn('flows: stated', output_text)
        self.assertEqual(['flows'], decode(output_text.splitlines()[-1])['failed'])

    def test_all_traces_meet_their_outcomes(self) -> None:
        """Each trace in traces/ meets the outcomes in the JSON file of the same name."""
        for trace in sorted((_ROOT / 'traces').glob('*.jsonl')):
            outcomes = trace.with_suffix('.json')
            code, output_text = run_command('replay', str(trace), '--outcomes', str(outcomes))
            self.assertEqual(0, code, output_text)

    def test_report_shows_burn_and_draws_it(self) -> None:
        """One bad request in a hundred is ten times what the objective of 0.999 allows."""
        lines = [
            OutcomeLine(1000 + number, 'replies', 'firm', _outcome(number), 'overloaded', 0.1)
            for number in range(1000)
        ]
        with TemporaryDirectory() as folder:
            path = Path(folder) / 'outcomes.jsonl'
            path.write_bytes(b'\n'.join(encode(line) for line in lines))
            picture = Path(folder) / 'burn.png'
            code, output_text = run_command('report', str(path), '--png', str(picture), '--json')
            table = run_command('report', str(path))[1]
            self.assertGreater(picture.stat().st_size, 1000)
        self.assertEqual(0, code)
        burn = decode(output_text)[0]
        self.assertEqual(10, burn['fast'])
        self.assertEqual(-9, burn['budget_left'])
        self.assertIn('not_run.overloaded: 10', table)


def _outcome(number: int) -> str:
    return 'not_run' if number % 100 == 0 else 'answered'


class SettingsTest(TestCase):
    """Errors in settings."""

    def test_errors_give_path_and_remedy_on_one_line(self) -> None:
        """Unknown key, wrong type, null, invalid or missing address, invalid data centre."""
        sound = decode((_ROOT / 'examples' / 'settings.json').read_bytes())
        for changed, place in (
            ({'colour': 1}, 'colour'),
            ({'ports': {'packets': 'x'}}, '$.ports.packets'),
            ({'address': None}, '$.address'),
            ({'address': 'nowhere'}, 'nowhere'),
            ({'data_centre': 'Den Haag'}, '$.data_centre'),
        ):
            fault = self._fault({**sound, **changed})
            self.assertIn(place, fault)
            self.assertIn('correct', fault)
            self.assertEqual(1, len(fault.splitlines()))
        without = {key: value for key, value in sound.items() if key != 'address'}
        self.assertIn('address', self._fault(without))

    def _fault(self, settings: dict[str, object]) -> str:
        with TemporaryDirectory() as folder:
            path = Path(folder) / 'settings.json'
            path.write_bytes(encode(settings))
            with self.assertRaises(SettingsError) as caught:
                read_settings(path)
        return str(caught.exception)


class CatalogueTest(TestCase):
    """Consistency of the event catalogue with the code."""

    def test_every_logged_event_is_in_the_catalogue(self) -> None:
        """docs/EVENTS.md and the code have the same numbers and names."""
        page = (_ROOT / 'docs' / 'EVENTS.md').read_text(encoding='utf-8')
        listed = {(int(number), name) for number, name in findall(r'\| (\d{4}) \| `(\w+)`', page)}
        known = {(int(number), number.name.lower()) for number in LogNumber}
        self.assertEqual(known, listed)

    def test_every_number_is_used(self) -> None:
        """An event that is never logged would mislead readers of the catalogue."""
        sources = [
            path.read_text(encoding='utf-8')
            for path in (_ROOT / 'src').rglob('*.py')
            if path.name != 'log_numbers.py'
        ]
        code = ''.join(sources)
        unused = [number.name for number in LogNumber if f'LogNumber.{number.name}' not in code]
        self.assertEqual([], unused)


class PlatformClientTest(TestCase):
    """Submissions and watches over HTTP against the platform stand-in."""

    def test_submit_settles_a_lost_confirmation_over_http(self) -> None:
        """A lost answer is not treated as a refusal.

        Otherwise an accepted text is reported as failed if the platform accepts the update and
        then drops the connection.
        """
        run(self._submit())

    def test_a_watch_continues_in_a_restored_store(self) -> None:
        """After a restore from a backup, a watch continues from the store's new revisions.

        A watch from the last known revision gets 410 immediately.  When the state read afterwards
        was considered older, the next watch started from the same revision: the balancer called
        the store continuously without pauses and, once the store's revisions exceeded the known
        one, missed the changes in between.
        """
        run(self._watch_a_restored_store())

    def test_a_store_without_history_is_called_with_pauses(self) -> None:
        """Each watch is refused immediately; every second refusal makes the caller pause."""
        run(self._watch_without_history())

    async def _submit(self) -> None:
        platform = PlatformStandIn()
        await platform.open()
        body = Path(_EXAMPLE).read_bytes()
        async with PlatformClient(platform.url) as client:
            self.assertEqual(Accepted(1), await submit(client, body, 'one'))
            platform.confirmations_to_lose = 2
            self.assertEqual(Accepted(2), await submit(client, body, 'two'))
            platform.calls_left = 0
            with self.assertRaises(StoreRefused):
                await submit(client, body, 'three')
        await platform.close()

    async def _watch_a_restored_store(self) -> None:
        platform = PlatformStandIn()
        await platform.open()
        platform.put(HEAD_KEY, b'1')
        async with PlatformClient(platform.url) as client:
            copy = copy_of(platform)
            for body in (b'2', b'3', b'4'):
                platform.put(HEAD_KEY, body)
            seen = await client.watch(HEAD_KEY, 0)
            restore(platform, copy)
            platform.put(HEAD_KEY, b'5')
            latest = await client.watch(HEAD_KEY, seen.version if seen else 0)
            self.assertEqual(b'5', latest.body if latest else b'')
            for body in (b'6', b'7', b'8'):
                platform.put(HEAD_KEY, body)
                latest = await client.watch(HEAD_KEY, latest.version if latest else 0)
                self.assertEqual(body, latest.body if latest else b'')
            self.assertLess(client.calls, 12)
        await platform.close()

    async def _watch_without_history(self) -> None:
        platform = PlatformStandIn()
        await platform.open()
        platform.put(HEAD_KEY, b'1')
        async with PlatformClient(platform.url) as client:
            seen = await client.watch(HEAD_KEY, 0)
            platform.history_from = platform.revision + 1
            after = seen.version if seen else 0
            self.assertIsNone(await client.watch(HEAD_KEY, after))
            with self.assertRaises(StoreRefused):
                await client.watch(HEAD_KEY, after)
        await platform.close()
