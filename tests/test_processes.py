"""Tests of balancers as separate processes, as they run on hosts."""

from asyncio import create_subprocess_exec, run, sleep, wait_for
from asyncio.subprocess import PIPE, Process
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from signal import SIGCONT, SIGKILL, SIGSTOP, SIGTERM
from sys import executable
from tempfile import TemporaryDirectory
from unittest import TestCase

from msgspec.json import decode, encode

from bronzekeel.balancer.settings import Settings
from bronzekeel.core.messages import HostEntry
from bronzekeel.demo.site import REPLIES, Site
from bronzekeel.standins.fabric import ClientFlow
from tests.test_daemon import wait_until


#: Seconds within which a stopped process must exit; generous for slow machines.
_STOP_TIMEOUT_S = 60


@dataclass(slots=True)
class Fleet:
    """Hold balancer processes and the stand-ins of a site."""

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
        """Start one process and read its ports from its first log line."""
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
            raise AssertionError('process has no standard error stream')
        line = decode(await process.stderr.readline())
        host = HostEntry(*decode(line['detail']))
        self.site.hosts[name] = host
        self.site.list_hosts()
        self.site.fabric.balancers[name] = (host.address, host.packets)
        self.site.caller.add(name, host.address, host.callers)

    async def end(self) -> None:
        """Kill the processes that still run and close the site."""
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()
        await self.site.close()


class ProcessTest(TestCase):
    """Tests that stop, kill and suspend processes that carry flows and requests."""

    def test_flows_and_requests_outlive_processes(self) -> None:
        """Guards against flows that end when a balancer process is stopped, killed or suspended.

        It occurs if only that process has their state.  Of five balancers one gets SIGTERM, one
        SIGKILL, and one SIGSTOP and later SIGCONT, during open flows and requests.
        """
        with TemporaryDirectory() as folder:
            run(self._run_fleet(Fleet(Site(Random(1)), Path(folder))))

    async def _run_fleet(self, fleet: Fleet) -> None:
        async with AsyncExitStack() as cleanup:
            cleanup.push_async_callback(fleet.end)
            await self._check_flows_survive(fleet)

    async def _check_flows_survive(self, fleet: Fleet) -> None:
        site = fleet.site
        await fleet.open()
        flows = [site.fabric.add_flow(('198.51.100.10', 443), number) for number in range(100)]
        await self._step_until_answered(fleet, flows)
        site.remove_balancer('a1')
        fleet.processes['a1'].send_signal(SIGTERM)
        self.assertEqual(0, await wait_for(fleet.processes['a1'].wait(), _STOP_TIMEOUT_S))
        await self._step_until_answered(fleet, flows)
        fleet.processes['a2'].send_signal(SIGKILL)
        site.fabric.balancers.pop('a2')
        fleet.processes['b1'].send_signal(SIGSTOP)
        await sleep(6)
        fleet.processes['b1'].send_signal(SIGCONT)
        await self._step_until_answered(fleet, flows)
        reply = await site.caller.request('b2', REPLIES, b'after all')
        self.assertEqual('answered', reply.outcome)
        self.assertEqual(0, sum(flow.reset for flow in flows))

    async def _step_until_answered(self, fleet: Fleet, flows: list[ClientFlow]) -> None:
        """Send packets on all flows until each has received another answer."""
        before = {flow.number: flow.answered for flow in flows}
        await wait_until(lambda: self._all_answered(fleet, flows, before))

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
