"""Read the text and the list of hosts from the platform."""

from asyncio import Task, create_task, sleep
from collections.abc import Callable
from logging import getLogger
from random import random

from msgspec import DecodeError, ValidationError
from msgspec.json import decode

from bronzekeel.core.events import Event, HostsListed, TextAccepted
from bronzekeel.core.log_numbers import LogNumber
from bronzekeel.core.messages import HostEntry
from bronzekeel.core.store_waits import retry_wait_s
from bronzekeel.platform.client import HOSTS_KEY, PlatformClient
from bronzekeel.text.checks import build_catalogue, parse_text
from bronzekeel.text.faults import TextError
from bronzekeel.text.submission import (
    HEAD_KEY,
    Head,
    StoreLost,
    StoreRefused,
    load_text,
)


_logger = getLogger(__name__)


#: Interval in seconds at which a watcher reads the list of hosts; the platform's
#: own list lags by about as much.
_HOSTS_INTERVAL_S = 10.0

#: Interval in seconds until the list is read for the first time: peers are found only by it.
_HOSTS_UNREAD_INTERVAL_S = 1.0
_READ_ERRORS = (StoreLost, StoreRefused, DecodeError, ValidationError)


class TextSource:
    """Watch the platform's head object while this balancer is a watcher.

    Failed calls are retried with the backoff that all callers of the store use
    (`core.store_waits`).
    """

    def __init__(
        self,
        host: str,
        platform: PlatformClient,
        emit: Callable[[Event], None],
    ) -> None:
        """Read from `platform` for `host` and pass events to the reducer by `emit`."""
        self._host = host
        self._platform = platform
        self._emit = emit
        self._version = 0
        self._tasks: dict[str, Task[None]] = {}
        self._platform_lost = False

    def open(self) -> None:
        """Start reading the list of hosts."""
        self._tasks['hosts'] = create_task(self._follow_hosts())

    async def close(self) -> None:
        """Cancel all reads and watches."""
        for task in self._tasks.values():
            task.cancel()

    def watch(self, *, active: bool) -> None:
        """Start or stop watching the head object."""
        task = self._tasks.pop('watch', None)
        if task is not None:
            task.cancel()
        if active:
            self._tasks['watch'] = create_task(self._watch())

    async def _watch(self) -> None:
        failures = 0
        while True:
            try:
                stored = await self._platform.watch(HEAD_KEY, self._version)
                if stored is not None:
                    await self._read_text(stored.version, stored.body)
                failures = 0
                self._set_platform_lost(lost=False)
            except (StoreLost, StoreRefused):
                failures += 1
                self._set_platform_lost(lost=True)
                known = bool(self._version)
                await sleep(retry_wait_s(failures, f'{self._host}/{HEAD_KEY}', known=known))

    async def _read_text(self, version: int, body: bytes) -> None:
        try:
            head = decode(body, type=Head)
        except (DecodeError, ValidationError):
            _logger.error('head object unreadable', extra={'event': LogNumber.TEXT_BAD})
            self._version = version
            return
        text = await load_text(self._platform, head)
        self._version = version
        self._accept(head.generation, text)

    def _accept(self, generation: int, body: bytes) -> None:
        try:
            catalogue = build_catalogue(parse_text(body), generation)
        except TextError as error:
            _logger.error('text refused: %s', error, extra={'event': LogNumber.TEXT_BAD})
            return
        self._emit(TextAccepted(catalogue, from_platform=True))

    async def _follow_hosts(self) -> None:
        """Read the list of hosts until it is known, and afterwards only as a watcher.

        The other balancers get it from the watchers of their data centre: reads by
        thousands of balancers would use up the platform's call rate.
        """
        version = 0
        while True:
            if not version or 'watch' in self._tasks:
                version = max(version, await self._read_hosts(version))
            wait_s = _HOSTS_INTERVAL_S if version else _HOSTS_UNREAD_INTERVAL_S
            await sleep(wait_s * (0.5 + random()))

    async def _read_hosts(self, version: int) -> int:
        """Read the list of hosts; return its version, 0 if it could not be read."""
        try:
            stored = await self._platform.read(HOSTS_KEY)
            if stored.version > version:
                hosts = decode(stored.body, type=tuple[HostEntry, ...])
                self._emit(HostsListed(hosts, stored.version))
        except _READ_ERRORS:
            _logger.debug('cannot read the list of hosts')
            return 0
        return stored.version

    def _set_platform_lost(self, *, lost: bool) -> None:
        if lost == self._platform_lost:
            return
        self._platform_lost = lost
        number = LogNumber.PLATFORM_LOST if lost else LogNumber.PLATFORM_BACK
        _logger.info('platform %s', 'lost' if lost else 'back', extra={'event': number})
