"""Probe that each host applies the newest text in time, and never an older one afterwards."""

from asyncio import create_task, gather, sleep
from time import monotonic

from bronzekeel.soak.callers import Outcome
from bronzekeel.soak.checks import Promise
from bronzekeel.soak.hosts import Host
from bronzekeel.soak.links import Address
from bronzekeel.soak.site import Site
from bronzekeel.soak.texts import Change


_INTERVAL_S = 0.3

#: Seconds within which an accepted text must be in force, the users' `configApplyMs`, and slack for
#: a busy machine.
_APPLY_BOUND_S = 3.0
_SLACK_S = 0.5

#: Seconds after which a host that has applied a text must not apply an older one, the users'
#: `rollbackSlackMs`.
_ROLLBACK_SLACK_S = 0.25


class TextProbe:
    """Send opening packets for the newest and the last dropped route to each host."""

    def __init__(self, site: Site) -> None:
        """Probe the hosts of a site."""
        self._site = site
        self._caller = site.callers.probe_caller
        self._newest_by_start: dict[tuple[str, int], tuple[int, float]] = {}

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            change = self._site.texts.changes[-1]
            hosts = [host for host in self._site.hosts if self._site.fabric.in_rotation(host)]
            await gather(sleep(_INTERVAL_S), *(self._probe(host, change) for host in hosts))

    async def _probe(self, host: Host, change: Change) -> None:
        tasks = [create_task(self._probe_added(host, change))]
        if change.dropped is not None:
            tasks.append(create_task(self._probe_dropped(host, change, change.dropped)))
        await gather(*tasks)

    async def _probe_added(self, host: Host, change: Change) -> None:
        sent_at, start_number, outcome = await self._open(host, change.added)
        if self._site.overloaded or not self._is_newest(change):
            return
        refused = outcome is Outcome.REFUSED
        self._check_probe(host, change, start_number, sent_at, refused, 'refused the added route')
        if outcome is Outcome.ANSWERED:
            self._newest_by_start.setdefault((host.name, start_number), (0, 0))
            if self._newest_by_start[host.name, start_number][0] < change.version:
                self._newest_by_start[host.name, start_number] = (change.version, monotonic())

    async def _probe_dropped(self, host: Host, change: Change, route: Address) -> None:
        sent_at, start_number, outcome = await self._open(host, route)
        if self._is_newest(change):
            answered = outcome is Outcome.ANSWERED
            self._check_probe(
                host, change, start_number, sent_at, answered, 'served the dropped route'
            )

    async def _open(self, host: Host, route: Address) -> tuple[float, int, Outcome]:
        sent_at = monotonic()
        start_number = host.starts
        flow = self._site.callers.new_flow(route, self._caller)
        outcome = await self._site.callers.try_open(flow, host.packets)
        self._site.callers.end(flow)
        return sent_at, start_number, outcome

    def _is_newest(self, change: Change) -> bool:
        """Whether no other text has been accepted in the meantime."""
        return change is self._site.texts.changes[-1]

    def _check_probe(
        self,
        host: Host,
        change: Change,
        start_number: int,
        sent_at: float,
        older: bool,  # noqa: FBT001 (what the probe found)
        description: str,
    ) -> None:
        """Check the result of a probe; `older` is set if only an older text explains it."""
        checks = self._site.checks
        description = f'{host.name} {description} of version {change.version}'
        stable = host.disturbances.is_stable and self._site.store_disturbances.is_stable
        due = sent_at > change.accepted_at + _APPLY_BOUND_S + _SLACK_S
        if due and stable and host.starts == start_number:
            checks.check(Promise.TEXT_IN_FORCE, not older, description)
        version, seen_at = self._newest_by_start.get((host.name, start_number), (0, 0))
        if version >= change.version and sent_at > seen_at + _ROLLBACK_SLACK_S:
            checks.check(Promise.TEXT_KEPT, not older, description)
