"""Test balancers as separate processes, as they run on hosts."""

from asyncio import create_subprocess_exec, run, sleep, wait_for
from asyncio.subprocess import PIPE, Process
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from signal import SIGKILL, SIGSTOP, SIGCONT, SIGTERM
from sys import executable
from tempfile import TemporaryDirectory
from unittest import TestCase

from msgspec.json import decode, encode

from bronzekeel.balancer.settings import Settings
from bronzekeel.core.messages import HostEntry
from bronzekeel.demo.site import REPLIES, Site
from bronzekeel.standins.fabric import ClientFlow
from tests.test_daemon import until


#: Seconds in which a stopped process must end, with much patience.
_STOP_S = 60


@dataclass(slots=True)
class Fleet:
    """Hold balancer processes beside a site's stand-ins."""

    site: Site
    folder: Path
    processes: dict[str, Process] = field(default_factory=dict)

    async def open(self) -> None:
        """Start the stand-ins and five processes, and submit the first text."""
        await self.site.open()
        for name in ('a1', 'a2', 'a3', 'b1', 'b2'):
            await self.start(name)
        await self.site.submit()

    async def start(self, name: str) -> None:
        """Start one process and learn its ports from its first log line."""
        path = self.folder / f'{name}.json'
        settings = Settings(name, f'dc-{name[0]}', '127.0.0.1', self.site.platform.url)
        path.write_bytes(encode(settings))
        process = await create_subprocess_exec(
            executable,
            '-m',
            'bronzekeel.commands.main',
            'balancer',
            '--settings',
            str(path),
            stderr=PIPE,
        )
        self.processes[name] = process
        if process.stderr is None:
            raise AssertionError('no log')
        line = decode(await process.stderr.readline())
        host = HostEntry(*decode(line['detail']))
        self.site.hosts[name] = host
        self.site.list_hosts()
        self.site.fabric.balancers[name] = (host.address, host.packets)
        self.site.caller.add(name, host.address, host.callers)

    async def end(self) -> None:
        """End what still runs, by its id."""
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()
        await self.site.close()


class ProcessTest(TestCase):
    """Kill, freeze and stop processes under flows and requests."""

    def test_flows_and_requests_outlive_processes(self) -> None:
        """Symptom: flows end with the process that is killed, frozen or stopped.

        Sequence: of five balancers one gets SIGTERM, one SIGKILL, one SIGSTOP
        and later SIGCONT, while feeds go on and requests are sent.
        Cause: state that only one process has.
        """
        with TemporaryDirectory() as folder:
            run(self._play(Fleet(Site(Random(1)), Path(folder))))

    async def _play(self, fleet: Fleet) -> None:
        async with AsyncExitStack() as ending:
            ending.push_async_callback(fleet.end)
            await self._outlive(fleet)

    async def _outlive(self, fleet: Fleet) -> None:
        site = fleet.site
        await fleet.open()
        flows = [site.fabric.add_flow(('198.51.100.10', 443), number) for number in range(100)]
        await self._step_until_answered(fleet, flows)
        site.remove_balancer('a1')
        fleet.processes['a1'].send_signal(SIGTERM)
        self.assertEqual(0, await wait_for(fleet.processes['a1'].wait(), _STOP_S))
        await self._step_until_answered(fleet, flows)
        fleet.processes['a2'].send_signal(SIGKILL)
        site.fabric.balancers.pop('a2')
        fleet.processes['b1'].send_signal(SIGSTOP)
        await sleep(6)
        fleet.processes['b1'].send_signal(SIGCONT)
        await self._step_until_answered(fleet, flows)
        told = await site.caller.request('b2', REPLIES, b'after all')
        self.assertEqual('answered', told.outcome)
        self.assertEqual(0, sum(flow.reset for flow in flows))

    async def _step_until_answered(self, fleet: Fleet, flows: list[ClientFlow]) -> None:
        """Send packets of all flows until each has been answered once more."""
        before = {flow.number: flow.answered for flow in flows}
        await until(lambda: self._all_answered(fleet, flows, before))

    def _all_answered(
        self,
        fleet: Fleet,
        flows: list[ClientFlow],
        before: dict[int, int],
    ) -> bool:
        waiting = [flow for flow in flows if flow.answered <= before[flow.number]]
        for flow in waiting:
            fleet.site.fabric.step(flow)
        return not waiting
