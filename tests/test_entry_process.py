"""Test the balancer as a process that is controlled by signals and its settings file."""

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
    """A balancer process and its settings file."""

    def __init__(self, folder: str) -> None:
        self.path = Path(folder) / 'settings.json'
        self.process: Process | None = None

    def write_settings(self, **changed: Any) -> None:
        """Replace the settings file atomically."""
        new_file = self.path.with_suffix('.new')
        new_file.write_text(encode_json(settings_for(**changed)))
        new_file.rename(self.path)

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

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None:
            self.process.send_signal(number)

    async def next_line_of(self, number: LogNumber) -> dict[str, Any]:
        """Return the next log line of an event; fail if the log ends before it."""
        if self.process is None or self.process.stdout is None:
            raise AssertionError('not started')
        while True:
            raw = await self.process.stdout.readline()
            if not raw:
                raise AssertionError(f'the log ended before {number.name}')
            line: dict[str, Any] = decode_json(raw)
            if line['event'] == number:
                return line

    async def wait_for_exit(self) -> tuple[int, str]:
        """Wait for the process to exit; return its exit code and standard error."""
        if self.process is None:
            raise AssertionError('not started')
        _, error_output = await self.process.communicate()
        return self.process.returncode or 0, error_output.decode()


class EntryProcessTest(TestCase):
    """Signals and settings files as the platform uses them."""

    def test_changed_settings_apply_with_and_without_a_signal(self) -> None:
        """Guards against settings that need a restart, or an invalid one that ends the process.

        Settings are changed with SIGHUP, then without a signal, then to an invalid value, which
        must be rejected; SIGTERM ends the process.
        """
        run(self._change_settings())

    def test_an_invalid_setting_ends_the_start_with_one_line(self) -> None:
        """The message names the field and the remedy, and the exit code is 1."""
        run(self._start_with_invalid_setting())

    async def _change_settings(self) -> None:
        store = PlatformStandIn()
        await store.open()
        store.put_text(1, {})
        with TemporaryDirectory() as folder:
            balancer = _Balancer(folder)
            balancer.write_settings(store_port=store.port)
            await balancer.start()
            await balancer.next_line_of(LogNumber.READY)
            balancer.write_settings(store_port=store.port, stop_within_s=3)
            balancer.send_signal(SIGHUP)
            applied = await balancer.next_line_of(LogNumber.SETTINGS_TAKEN)
            self.assertEqual(3, applied['stop_within_s'])
            balancer.write_settings(store_port=store.port, stop_within_s=1)
            applied = await balancer.next_line_of(LogNumber.SETTINGS_TAKEN)
            self.assertEqual(1, applied['stop_within_s'])
            balancer.write_settings(store_port=store.port, stop_within_s='soon')
            rejected = await balancer.next_line_of(LogNumber.SETTINGS_REFUSED)
            self.assertIn('$.stop_within_s', rejected['problem'])
            balancer.send_signal(SIGTERM)
            await balancer.next_line_of(LogNumber.STOPPED)
            self.assertEqual((0, ''), await balancer.wait_for_exit())
        await store.close()

    async def _start_with_invalid_setting(self) -> None:
        with TemporaryDirectory() as folder:
            balancer = _Balancer(folder)
            balancer.write_settings(store_port=1, packets='nowhere')
            await balancer.start()
            code, error_output = await balancer.wait_for_exit()
        self.assertEqual(1, code)
        self.assertEqual(1, len(error_output.splitlines()))
        self.assertIn('$.packets', error_output)
        self.assertIn('docs/OPERATIONS.md', error_output)
