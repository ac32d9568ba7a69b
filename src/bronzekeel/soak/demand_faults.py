"""Let one caller ask for too much, callers move, and upstreams work at changing speed."""

from asyncio import Task, create_task, sleep
from random import Random

from bronzekeel.soak.callers import Flow
from bronzekeel.soak.fault import Fault
from bronzekeel.soak.shares import Caller, Shares
from bronzekeel.soak.site import CENTRES, Site
from bronzekeel.soak.texts import FEEDS, SINGLES
from bronzekeel.soak.upstreams import Upstream


#: Requests of a crowd at once, their mean pause in seconds and the bytes of one: ten times what
#: another caller asks for.  Half of them go on flows that are kept open.
_CROWD_FLOWS = 40
_PAUSE_S = 0.4
_BYTES = 40

#: How many times slower upstreams work, so that a crowd leaves none idle.
_SHORT = 7

#: Seconds after which a crowd is felt, and least seconds from then on in which it asks: others
#: must have asked enough to judge what they got.
_FELT_S = 2.0
_LEAST_S = 6.0

#: Every third upstream works three times slower.
_EVERY = 3
_UNEVEN = 3

#: Share of a data centre's callers that move.
_MOVED_SHARE = 0.8


class OneCallerCrowds(Fault):
    """One caller asks for ten times its share while upstreams can't do what all ask for."""

    kind = 'crowd_of_one_caller'

    def __init__(self, site: Site, for_s: float) -> None:
        """Choose the caller when it begins."""
        super().__init__(site, for_s)
        self._shares = Shares({FEEDS, SINGLES})
        self._random = Random(site.random.random())
        self._tasks: list[Task[None]] = []
        self._upstreams: list[Upstream] = []

    async def begin(self) -> None:
        """Slow upstreams down, and let the caller ask."""
        caller = self.site.random.choice(self.site.callers.all)
        self.site.load_contact.begin()
        self._upstreams = _slowed(self.site.living(), _SHORT)
        for _ in range(_CROWD_FLOWS // 2):
            self._tasks.append(create_task(self._ask(caller, keeps=True)))
            self._tasks.append(create_task(self._ask(caller, keeps=False)))
        await sleep(_FELT_S)
        self.site.callers.shares = self._shares
        await sleep(max(0, _LEAST_S - self.for_s))

    async def end(self) -> None:
        """End, and judge what each caller was served."""
        for task in self._tasks:
            task.cancel()
        self.site.callers.shares = None
        _mend(self._upstreams, _SHORT)
        self.site.load_contact.end()
        self._shares.check(self.site.checks)

    async def _ask(self, caller: Caller, *, keeps: bool) -> None:
        flow: Flow | None = None
        while True:
            await sleep(self._random.expovariate(1 / _PAUSE_S))
            flow = await self.site.callers.request(FEEDS, caller, _BYTES, flow, idempotent=True)
            if flow is not None and not keeps:
                self.site.callers.end(flow)
                flow = None


class CallersMoved(Fault):
    """Most callers of one data centre send their packets to another one for a while."""

    kind = 'callers_moved'

    async def begin(self) -> None:
        """Move them, with their open flows."""
        home, other = self.site.random.sample(CENTRES, 2)
        here = [caller for caller in self.site.callers.all if caller.data_centre == home]
        self._moved = here[: round(len(here) * _MOVED_SHARE)]
        self._home = home
        self._move(other)

    async def end(self) -> None:
        """Let them return."""
        self._move(self._home)

    def _move(self, data_centre: str) -> None:
        self.site.callers.void_shares()
        for caller in self._moved:
            caller.data_centre = data_centre


class UpstreamsUneven(Fault):
    """Some upstreams work three times slower, then others do."""

    kind = 'upstream_speeds'

    async def begin(self) -> None:
        """Slow every third one down, then every third one after these."""
        living = self.site.living()
        first = _slowed(living[::_EVERY], _UNEVEN)
        await sleep(self.for_s / 2)
        _mend(first, _UNEVEN)
        self._slow = _slowed(living[1::_EVERY], _UNEVEN)

    async def end(self) -> None:
        """Let all work alike."""
        _mend(self._slow, _UNEVEN)


def _slowed(upstreams: list[Upstream], times: int) -> list[Upstream]:
    for upstream in upstreams:
        upstream.slowed_by.append(times)
    return upstreams


def _mend(upstreams: list[Upstream], times: int) -> None:
    for upstream in upstreams:
        upstream.slowed_by.remove(times)
