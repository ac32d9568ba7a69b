"""Demo scenario: flows and requests while balancers, upstreams and the platform change."""

from asyncio import CancelledError, Task, create_task, gather, sleep
from collections.abc import Callable
from random import Random
from time import monotonic

from bronzekeel.demo.counts import Outcome, count
from bronzekeel.demo.site import CENTRES, CHECKS, INTAKE, PORTAL, REPLIES, Site
from bronzekeel.text.submission import Accepted, StoreLost, StoreRefused


_FLOWS = 1500
_FLOW_INTERVAL_S = 1.0
_REQUEST_INTERVAL_S = 0.02
_BALANCERS_PER_CENTRE = 3
_READY_TIMEOUT_S = 15.0
_IN_FORCE_TIMEOUT_S = 9.0
_DRAIN_WAIT_S = 5.0


class _Scenario:
    """State of a running demo."""

    def __init__(self, site: Site, print_line: Callable[[str], None]) -> None:
        self.site = site
        self.started_at = monotonic()
        self.in_force_s: list[float] = []
        self.broken_planned = 0
        self.late = 0
        self.refused = False
        self._print_line = print_line
        self._tasks: list[Task[None]] = []
        self._requests: set[Task[object]] = set()

    def log_progress(self, message: str) -> None:
        """Print a line with the elapsed time, the counts so far and `message`."""
        elapsed_s = monotonic() - self.started_at
        broken = sum(flow.reset for flow in self.site.fabric.flow_by_key.values())
        answered = self.site.caller.outcomes['answered']
        self._print_line(f'{elapsed_s:5.1f} s  broken {broken}  answered {answered:4d}  {message}')

    async def run(self) -> None:
        """Run all steps in order."""
        await self.set_up()
        await sleep(2)
        await self.replace_upstream()
        await self.stop_balancer_gracefully()
        await self.kill_balancer()
        await self.simulate_platform_outage()
        await sleep(1)

    async def set_up(self) -> None:
        """Start nine balancers, submit the first text, and start the load."""
        await self.site.open()
        for index in range(_BALANCERS_PER_CENTRE):
            for centre in CENTRES:
                await self.site.start_balancer(f'{centre}-{index + 1}', centre)
        await self.submit()
        deadline = monotonic() + _READY_TIMEOUT_S
        while monotonic() < deadline and not self._all_ready():
            await sleep(0.1)
        self.log_progress('nine balancers ready' if self._all_ready() else 'not all ready')
        self._tasks.append(create_task(self._run_flows()))
        self._tasks.append(create_task(self._run_requests()))

    async def submit(self) -> None:
        """Submit the site's text and measure the time until it is in force everywhere."""
        begun_at = monotonic()
        outcome = await self.site.submit()
        if not isinstance(outcome, Accepted):
            self.log_progress(f'submission not accepted: {outcome}')
            return
        generation = outcome.generation
        deadline = begun_at + _IN_FORCE_TIMEOUT_S
        running = list(self.site.balancers.values())
        while monotonic() < deadline:
            if all(generation in balancer.in_force_at for balancer in running):
                break
            await sleep(0.02)
        newest = max(balancer.in_force_at.get(generation, deadline) for balancer in running)
        self.in_force_s.append(newest - begun_at)
        self.log_progress(f'text {generation} in force everywhere after {newest - begun_at:.2f} s')

    async def replace_upstream(self) -> None:
        """Drain one upstream and add another in the same text."""
        leaving = next(iter(self.site.flow_upstreams[PORTAL]))
        self.site.draining.add(leaving)
        self.site.joined.add(await self.site.add_upstream(PORTAL))
        self.log_progress(f'upstream {leaving} drains, one joins')
        await self.submit()
        await sleep(_DRAIN_WAIT_S)
        opened = self.site.flow_upstreams[PORTAL][leaving].opened
        self._open_new_flows()
        await sleep(2)
        self.late = self.site.flow_upstreams[PORTAL][leaving].opened - opened
        self.log_progress(
            f'{self.late} new flows on the leaving upstream after {_DRAIN_WAIT_S:.0f} s'
        )

    async def stop_balancer_gracefully(self) -> None:
        """Stop a balancer gracefully."""
        name = f'{CENTRES[0]}-1'
        self.log_progress(f'balancer {name} is stopped gracefully')
        balancer = self.site.balancers[name]
        stopping = create_task(balancer.stop())
        await sleep(0.3)
        self.site.remove_balancer(name)
        await stopping
        self.site.balancers.pop(name)
        await sleep(2)
        self.broken_planned = sum(flow.reset for flow in self.site.fabric.flow_by_key.values())

    async def kill_balancer(self) -> None:
        """Stop a balancer abruptly; the fabric detects it after a delay."""
        name = f'{CENTRES[1]}-1'
        self.log_progress(f'balancer {name} is killed')
        balancer = self.site.balancers.pop(name)
        await balancer.close()
        await sleep(3)
        self.site.remove_balancer(name)
        await sleep(3)

    async def simulate_platform_outage(self) -> None:
        """Make the platform unavailable for some seconds, then restore it."""
        self.log_progress('the platform is unavailable')
        await self.site.platform.switch(down=True)
        try:
            await self.site.submit()
        except (StoreLost, StoreRefused) as fault:
            self.refused = True
            self.log_progress(f'submission refused: {fault}')
        await sleep(4)
        await self.site.platform.switch(down=False)
        self.log_progress('the platform is available again')
        self.site.joined.add(await self.site.add_upstream(INTAKE))
        await self.submit()

    async def end(self) -> Outcome:
        """Stop the load, close the site and return the counts."""
        for task in self._tasks:
            task.cancel()
        await gather(*self._tasks, return_exceptions=True)
        await gather(*self._requests, return_exceptions=True)
        outcome = count(
            self.site,
            self.broken_planned,
            self.in_force_s,
            self.late,
            refused=self.refused,
        )
        await self.site.close()
        return outcome

    def _all_ready(self) -> bool:
        return all(
            balancer.state is not None and balancer.state.ready
            for balancer in self.site.balancers.values()
        )

    async def _run_flows(self) -> None:
        fabric = self.site.fabric
        services = (('198.51.100.10', 443), ('198.51.100.11', 443))
        flows = [fabric.add_flow(services[number % 3 == 2], number) for number in range(_FLOWS)]
        batch = 25
        while True:
            for start in range(0, len(flows), batch):
                for flow in flows[start : start + batch]:
                    fabric.step(flow)
                await sleep(_FLOW_INTERVAL_S * batch / len(flows))

    async def _run_requests(self) -> None:
        number = 0
        while True:
            number += 1
            name = self.site.random.choice(list(self.site.caller.channels))
            service = CHECKS if number % 3 == 0 else REPLIES
            task = create_task(
                self.site.caller.request(
                    name,
                    service,
                    f'body {number}'.encode(),
                    idempotent=service == CHECKS,
                )
            )
            self._requests.add(task)
            task.add_done_callback(self._requests.discard)
            await sleep(_REQUEST_INTERVAL_S)

    def _open_new_flows(self) -> None:
        """Open additional flows, to check which upstreams receive new flows."""
        fabric = self.site.fabric
        for number in range(_FLOWS, _FLOWS + 200):
            fabric.step(fabric.add_flow(('198.51.100.10', 443), number))


async def run_demo(print_line: Callable[[str], None], seed: int = 1) -> Outcome:
    """Run the whole demo and return the counts."""
    scenario = _Scenario(Site(Random(seed)), print_line)
    try:
        await scenario.run()
    except CancelledError:
        scenario.log_progress('stopped')
    return await scenario.end()
