"""Test the lean balancer as a process, driven by signals and its settings file."""

from asyncio import create_subprocess_exec, run
from asyncio.subprocess import PIPE, Process
from json import dumps as encode_json
from json import loads as decode_json
from pathlib import Path
from signal import SIGHUP, SIGTERM
from sys import executable
from tempfile import TemporaryDirectory
from typing import Any
from unittest import TestCase

from bronzekeel.core.log_numbers import LogNumber
from bronzekeel.standins.platform import PlatformStandIn
from tests.test_entry_daemon import settings_for


class _Balancer:
    """Hold a balancer's process and its settings file."""

    def __init__(self, folder: str) -> None:
        self.path = Path(folder) / 'settings.json'
        self.process: Process | None = None

    def write_settings(self, **changed: Any) -> None:
        """Write the settings file in one piece."""
        fresh = self.path.with_suffix('.new')
        fresh.write_text(encode_json(settings_for(**changed)))
        fresh.rename(self.path)

    async def start(self) -> None:
        """Start the process."""
        self.process = await create_subprocess_exec(
            executable,
            '-m',
            'bronzekeel.commands.main',
            'balancer',
            '--settings',
            str(self.path),
            stdout=PIPE,
            stderr=PIPE,
        )

    def send(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None:
            self.process.send_signal(number)

    async def line_of(self, number: LogNumber) -> dict[str, Any]:
        """Return the next log line of an event; fail at the end of the log."""
        if self.process is None or self.process.stdout is None:
            raise AssertionError('not started')
        while True:
            raw = await self.process.stdout.readline()
            if not raw:
                raise AssertionError(f'the log ended before {number.name}')
            line: dict[str, Any] = decode_json(raw)
            if line['event'] == number:
                return line

    async def ended(self) -> tuple[int, str]:
        """Return the exit code and what was written to standard error."""
        if self.process is None:
            raise AssertionError('not started')
        _, complaint = await self.process.communicate()
        return self.process.returncode or 0, complaint.decode()


class EntryProcessTest(TestCase):
    """Signals and files, as the platform uses them."""

    def test_settings_are_taken_with_and_without_a_signal(self) -> None:
        """Symptom: a changed setting is in force only after a restart, or ends the process.

        Sequence: SIGHUP; a change without a signal; a wrong change; SIGTERM.
        Cause: reading settings at the start only, or trusting them.
        """
        run(self._play())

    def test_a_wrong_setting_ends_the_start_with_one_line(self) -> None:
        """The operator gets the place and the remedy, and exit code 1."""
        run(self._start_wrongly())

    async def _play(self) -> None:
        store = PlatformStandIn()
        await store.open()
        store.put_text(1, {})
        with TemporaryDirectory() as folder:
            balancer = _Balancer(folder)
            balancer.write_settings(store_port=store.port)
            await balancer.start()
            await balancer.line_of(LogNumber.READY)
            balancer.write_settings(store_port=store.port, stop_within_s=3)
            balancer.send(SIGHUP)
            taken = await balancer.line_of(LogNumber.SETTINGS_TAKEN)
            self.assertEqual(3, taken['stop_within_s'])
            balancer.write_settings(store_port=store.port, stop_within_s=1)
            taken = await balancer.line_of(LogNumber.SETTINGS_TAKEN)
            self.assertEqual(1, taken['stop_within_s'])
            balancer.write_settings(store_port=store.port, stop_within_s='soon')
            refused = await balancer.line_of(LogNumber.SETTINGS_REFUSED)
            self.assertIn('$.stop_within_s', refused['problem'])
            balancer.send(SIGTERM)
            await balancer.line_of(LogNumber.STOPPED)
            self.assertEqual((0, ''), await balancer.ended())
        await store.close()

    async def _start_wrongly(self) -> None:
        with TemporaryDirectory() as folder:
            balancer = _Balancer(folder)
            balancer.write_settings(store_port=1, packets='nowhere')
            await balancer.start()
            code, complaint = await balancer.ended()
        self.assertEqual(1, code)
        self.assertEqual(1, len(complaint.splitlines()))
        self.assertIn('$.packets', complaint)
        self.assertIn('docs/OPERATIONS.md', complaint)
