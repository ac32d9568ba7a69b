"""Run one soak from its seed: start processes, inject faults, check promises, and report."""

from asyncio import Task, create_task, gather, sleep
from collections import Counter
from collections.abc import Callable
from contextlib import aclosing
from pathlib import Path
from time import monotonic

from msgspec import Struct
from msgspec.json import encode
from msgspec.json import format as pretty

from bronzekeel.soak.checks import Promise
from bronzekeel.soak.faults import FAULTS
from bronzekeel.soak.hosts import START_SCRIPT
from bronzekeel.soak.schedule import PlannedFault, draw_schedule
from bronzekeel.soak.site import Site
from bronzekeel.soak.text_probe import TextProbe
from bronzekeel.soak.traffic import Traffic


_POLL_INTERVAL_S = 0.1

#: Seconds by which the soak's own event loop may lag. Beyond that the machine is busy, and promises
#: with a time bound apply again only after everything has been undisturbed for a while.
MAX_LAG_S = 0.3

#: Window in seconds before the end in which callers must be served, and the minimum share of their
#: requests that must be.
_SERVED_WINDOW_S = (6.0, 2.0)
_MIN_SERVED_SHARE = 0.9


class SoakReport(Struct, frozen=True):
    """What a soak did and found."""

    ok: bool
    seed: int
    seconds: float
    hosts: int
    broken: list[str]
    checks: dict[str, int]
    never_checked: list[str]
    faults: dict[str, int]
    flows: int
    requests: int
    outcomes: dict[str, int]
    served_at_the_end: float
    most_lag_s: float
    schedule: list[PlannedFault]


class Soak:
    """Own one run."""

    def __init__(
        self,
        seed: int,
        seconds: float,
        hosts: int,
        folder: Path,
        script: Path = START_SCRIPT,
    ) -> None:
        """Write logs and settings to `folder`; `script` starts the balancers."""
        self.seed = seed
        self.seconds = seconds
        self.hosts = hosts
        self.folder = folder
        self.schedule = draw_schedule(seed, seconds)
        self._site = Site(hosts, seed, folder, script)
        self._fault_by_kind = {fault.kind: fault for fault in FAULTS}
        self._max_lag_s: float = 0
        self._injected: Counter[str] = Counter()

    async def run(self, advance: Callable[[float], None]) -> SoakReport:
        """Run the schedule; `advance` is called with the seconds that have passed."""
        async with aclosing(self._site) as site:
            return await self._play(site, advance)

    async def _play(self, site: Site, advance: Callable[[float], None]) -> SoakReport:
        await site.open()
        probing = create_task(site.fabric.probe())
        await site.until_ready()
        traffic = Traffic(site)
        traffic.start()
        tasks: list[Task[None]] = [probing, create_task(TextProbe(site).run())]
        faults = create_task(self._inject_faults(site))
        await self._wait_until_end(site, advance)
        await faults
        traffic.stop()
        for task in tasks:
            task.cancel()
        await gather(*tasks, return_exceptions=True)
        return self._report(site)

    async def _inject_faults(self, site: Site) -> None:
        """Begin each fault at its planned time; faults overlap."""
        began_at = monotonic()
        playing = []
        for planned in self.schedule:
            await sleep(max(0, began_at + planned.at_s - monotonic()))
            self._injected[planned.kind] += 1
            fault = self._fault_by_kind[planned.kind](site, planned.for_s)
            playing.append(create_task(fault.run()))
        await gather(*playing)

    async def _wait_until_end(self, site: Site, advance: Callable[[float], None]) -> None:
        """Wait for the end; detect when the machine is too busy to check time bounds."""
        began_at = monotonic()
        polled_at = began_at
        while polled_at < began_at + self.seconds:
            await sleep(_POLL_INTERVAL_S)
            now = monotonic()
            lag_s = now - polled_at - _POLL_INTERVAL_S
            self._max_lag_s = max(self._max_lag_s, lag_s)
            if lag_s > MAX_LAG_S or site.fabric.slow_probes > len(site.hosts) / 2:
                site.mark_all_disturbed()
            polled_at = now
            advance(min(now - began_at, self.seconds))

    def _report(self, site: Site) -> SoakReport:
        checks = site.checks
        served = site.callers.served_share(_SERVED_WINDOW_S)
        if site.store_disturbances.is_stable:
            description = f'share of requests served near the end: {served:.2f}'
            checks.check(Promise.SERVED_AFTER, served >= _MIN_SERVED_SHARE, description)
        for host in site.hosts:
            problems = [*host.failures, *host.logged_faults()]
            description = problems[0] if problems else host.name
            checks.check(Promise.PROCESS_LIVES, not problems, description)
        outcomes = {outcome.value: count for outcome, count in site.callers.outcomes.items()}
        return SoakReport(
            ok=checks.ok,
            seed=self.seed,
            seconds=self.seconds,
            hosts=self.hosts,
            broken=checks.broken,
            checks={promise.name: checks.count_by_promise[promise] for promise in Promise},
            never_checked=checks.unchecked,
            faults=dict(self._injected),
            flows=site.callers.flows,
            requests=sum(site.callers.outcomes.values()),
            outcomes=outcomes,
            served_at_the_end=round(served, 4),
            most_lag_s=round(self._max_lag_s, 3),
            schedule=self.schedule,
        )


def save_failure(report: SoakReport, folder: Path) -> str:
    """Write the report of a failed run next to its logs; return the command that repeats it."""
    (folder / 'report.json').write_bytes(pretty(encode(report)))
    size = f'--seconds {report.seconds} --hosts {report.hosts}'
    command = f'bronzekeel soak --seed {report.seed} {size}'
    (folder / 'again.txt').write_text(f'{command}\n', encoding='utf-8')
    return command
