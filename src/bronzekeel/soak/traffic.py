"""Generate the callers' demand: continuous feeds, and single requests at random times."""

from asyncio import Task, create_task, sleep
from random import Random

from bronzekeel.soak.callers import Flow
from bronzekeel.soak.links import Address
from bronzekeel.soak.share_counts import Caller
from bronzekeel.soak.site import CENTRES, Site
from bronzekeel.soak.texts import FEEDS, SHEETS, SINGLES


_FEEDS_PER_CENTRE = 12
_FEED_PAUSE_S = 0.4
_FEED_BYTES = 40

#: Rate of single requests in a data centre, and the upper bound on the bytes of one.
_SINGLES_PER_S = 8.0
_MAX_REQUEST_BYTES = 3000
_SHEET_SHARE = 0.2
_IDEMPOTENT_SHARE = 0.4

#: Maximum of tasks in progress; above it no single requests start, so that the soak keeps up.
_MAX_IN_PROGRESS = 400


class Traffic:
    """Own the tasks of all callers."""

    def __init__(self, site: Site) -> None:
        """Generate demand for a site."""
        self._site = site
        self._random = Random(site.random.random())
        self._tasks: set[Task[object]] = set()

    def start(self) -> None:
        """Start all callers."""
        for centre in CENTRES:
            callers = [caller for caller in self._site.callers.all if caller.data_centre == centre]
            self._spawn(self._send_singles(callers))
            for index in range(_FEEDS_PER_CENTRE):
                self._spawn(self._run_feed(callers[index % len(callers)]))

    def stop(self) -> None:
        """Stop all callers."""
        for task in self._tasks:
            task.cancel()

    def _spawn(self, coroutine) -> None:  # type: ignore[no-untyped-def]
        task = create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_feed(self, caller: Caller) -> None:
        """Send requests one after another on one flow, and on a new flow after a failure."""
        flow: Flow | None = None
        while True:
            await sleep(self._random.expovariate(1 / _FEED_PAUSE_S))
            flow = await self._site.callers.request(
                FEEDS,
                caller,
                _FEED_BYTES,
                flow,
                idempotent=True,
            )

    async def _send_singles(self, callers: list[Caller]) -> None:
        while True:
            await sleep(self._random.expovariate(_SINGLES_PER_S * self._site.demand_factor))
            if len(self._tasks) < _MAX_IN_PROGRESS:
                self._spawn(self._send_single(self._random.choice(callers)))

    async def _send_single(self, caller: Caller) -> None:
        target: Address = SHEETS if self._random.random() < _SHEET_SHARE else SINGLES
        size = self._random.randrange(_FEED_BYTES, _MAX_REQUEST_BYTES)
        idempotent = self._random.random() < _IDEMPOTENT_SHARE
        flow = await self._site.callers.request(target, caller, size, idempotent=idempotent)
        if flow is not None:
            self._site.callers.end(flow)
