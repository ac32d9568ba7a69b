"""Vary the demand: one caller surges, callers move, and upstreams work at different speeds."""

from asyncio import Task, create_task, sleep
from random import Random

from bronzekeel.soak.callers import Flow
from bronzekeel.soak.fault import Fault
from bronzekeel.soak.share_counts import Caller, ShareCounts
from bronzekeel.soak.site import CENTRES, Site
from bronzekeel.soak.texts import FEEDS, SINGLES
from bronzekeel.soak.upstreams import Upstream


#: Concurrent requests of a surge, their mean pause in seconds and the size of one: ten times the
#: demand of another caller. Half of them use flows that stay open.
_SURGE_CONCURRENCY = 40
_MEAN_PAUSE_S = 0.4
_REQUEST_BYTES = 40

#: Factor by which upstreams slow down, so that a surge leaves none of them idle.
_SURGE_SLOWDOWN = 7

#: Seconds until a surge takes effect, and minimum seconds that are counted from then on: other
#: callers must have sent enough requests to compare what they were served.
_ONSET_S = 2.0
_MIN_COUNTED_S = 6.0

#: Every third upstream works three times slower.
_SLOWED_EVERY = 3
_UNEVEN_SLOWDOWN = 3

#: Share of a data centre's callers that move.
_MOVED_SHARE = 0.8


class SingleCallerSurge(Fault):
    """One caller demands ten times its share while upstreams cannot serve the total demand."""

    kind = 'crowd_of_one_caller'

    def __init__(self, site: Site, for_s: float) -> None:
        """Prepare the surge; the caller is chosen when the fault begins."""
        super().__init__(site, for_s)
        self._shares = ShareCounts({FEEDS, SINGLES})
        self._random = Random(site.random.random())
        self._tasks: list[Task[None]] = []
        self._upstreams: list[Upstream] = []

    async def begin(self) -> None:
        """Slow down the upstreams and start the surge."""
        caller = self.site.random.choice(self.site.callers.all)
        self.site.load_disturbances.begin()
        self._upstreams = _slow_down(self.site.available(), _SURGE_SLOWDOWN)
        for _ in range(_SURGE_CONCURRENCY // 2):
            self._tasks.append(create_task(self._send_requests(caller, reuse_flow=True)))
            self._tasks.append(create_task(self._send_requests(caller, reuse_flow=False)))
        await sleep(_ONSET_S)
        self.site.callers.share_counts = self._shares
        await sleep(max(0, _MIN_COUNTED_S - self.for_s))

    async def end(self) -> None:
        """Stop the surge and check what each caller was served."""
        for task in self._tasks:
            task.cancel()
        self.site.callers.share_counts = None
        _restore_speed(self._upstreams, _SURGE_SLOWDOWN)
        self.site.load_disturbances.end()
        self._shares.check(self.site.checks)

    async def _send_requests(self, caller: Caller, *, reuse_flow: bool) -> None:
        flow: Flow | None = None
        while True:
            await sleep(self._random.expovariate(1 / _MEAN_PAUSE_S))
            flow = await self.site.callers.request(
                FEEDS, caller, _REQUEST_BYTES, flow, idempotent=True
            )
            if flow is not None and not reuse_flow:
                self.site.callers.end(flow)
                flow = None


class CallersMoved(Fault):
    """Most callers of one data centre send their packets to another one for a while."""

    kind = 'callers_moved'

    async def begin(self) -> None:
        """Move them together with their open flows."""
        origin, destination = self.site.random.sample(CENTRES, 2)
        local = [caller for caller in self.site.callers.all if caller.data_centre == origin]
        self._moved = local[: round(len(local) * _MOVED_SHARE)]
        self._origin = origin
        self._move(destination)

    async def end(self) -> None:
        """Move them back."""
        self._move(self._origin)

    def _move(self, data_centre: str) -> None:
        self.site.callers.discard_shares()
        for caller in self._moved:
            caller.data_centre = data_centre


class UpstreamsUneven(Fault):
    """A third of the upstreams works three times slower, then another third."""

    kind = 'upstream_speeds'

    async def begin(self) -> None:
        """Slow down every third upstream, and halfway through the next one after each of these."""
        available = self.site.available()
        first = _slow_down(available[::_SLOWED_EVERY], _UNEVEN_SLOWDOWN)
        await sleep(self.for_s / 2)
        _restore_speed(first, _UNEVEN_SLOWDOWN)
        self._slow = _slow_down(available[1::_SLOWED_EVERY], _UNEVEN_SLOWDOWN)

    async def end(self) -> None:
        """Restore the normal speed."""
        _restore_speed(self._slow, _UNEVEN_SLOWDOWN)


def _slow_down(upstreams: list[Upstream], factor: int) -> list[Upstream]:
    for upstream in upstreams:
        upstream.harmless_slowdowns.append(factor)
    return upstreams


def _restore_speed(upstreams: list[Upstream], factor: int) -> None:
    for upstream in upstreams:
        upstream.harmless_slowdowns.remove(factor)
