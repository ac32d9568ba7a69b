"""Demo of flows with connection ids while balancers, upstreams and the store come and go."""

from asyncio import sleep
from asyncio import to_thread as in_thread
from collections.abc import Callable
from os import open as open_file
from os import O_WRONLY, devnull
from random import Random
from threading import Thread
from time import monotonic

from msgspec import Struct

from bronzekeel.core.routing.events import StopAsked
from bronzekeel.entry.daemon import EntryBalancer
from bronzekeel.entry.settings import EntrySettings
from bronzekeel.platform.objects import PlatformStore
from bronzekeel.platform.packets import PlatformPackets
from bronzekeel.standins.echo_flows import EchoCallers, EchoUpstream
from bronzekeel.standins.entry_settings import loopback_settings
from bronzekeel.standins.platform import PlatformStandIn


_LOOPBACK = '127.0.0.1'
_SERVICE = ('198.51.100.10', 443)
_NAME = 'portal'
_CENTRE = 'dc-a'
_SLOTS = 100
_FLOWS = 300
_UPSTREAMS = 4
_INTERVAL_S = 0.05
_ROUNDS = 6
_TIMEOUT_S = 10.0


class ConnectionIdOutcome(Struct, frozen=True):
    """Counts taken at callers and upstreams; `ok` is true if all guarantees held."""

    flows: int
    opened: int
    broken: int
    misdelivered: int
    not_answered_at_the_end: int
    learnt_from_peers: bool
    ok: bool


class _BalancerThread:
    """One balancer and the thread that it runs in."""

    def __init__(self, balancer: EntryBalancer) -> None:
        self.balancer = balancer
        self.thread = Thread(target=balancer.loop.run)
        self.thread.start()

    async def end(self) -> None:
        """Stop the balancer immediately, as a crash would."""
        self.balancer.loop.stop()
        await in_thread(self.thread.join)
        self.balancer.close()


class _Site:
    """The store, callers, upstreams and balancers of the demo."""

    def __init__(self, seed: int) -> None:
        self.store = PlatformStandIn()
        self.callers = EchoCallers(_SERVICE, Random(seed))
        self.caller_port = 0
        self.upstreams: list[EchoUpstream] = []
        self.running: dict[str, _BalancerThread] = {}
        self._sink = open_file(devnull, O_WRONLY)

    async def open(self) -> None:
        """Start everything and add all flows."""
        await self.store.open()
        self.caller_port = await self.callers.open()
        for _ in range(_UPSTREAMS):
            await self.add_upstream()
        self.store.put_text(1, {_SERVICE: _NAME})
        for name in ('a1', 'a2', 'a3'):
            await self.start(name)
        for _ in range(_FLOWS):
            self.callers.add_flow()

    async def add_upstream(self) -> EchoUpstream:
        """Start another upstream and list it in the store."""
        upstream = EchoUpstream(len(self.upstreams) + 1, (_LOOPBACK, self.caller_port))
        await upstream.open()
        self.upstreams.append(upstream)
        await self.list_upstream(upstream)
        return upstream

    async def list_upstream(self, upstream: EchoUpstream, *, draining: bool = False) -> None:
        """Write an upstream's entry to the store."""
        self.store.put_upstream(
            upstream.number,
            _NAME,
            upstream.address,
            _CENTRE,
            draining=draining,
            slots=_SLOTS,
        )
        await self.store.notify_watches()

    async def start(self, name: str) -> bool:
        """Start a balancer; return whether it became ready within ``_TIMEOUT_S``."""
        seeds = [f'{_LOOPBACK}:{other.balancer.peers.port}' for other in self.running.values()]
        settings = EntrySettings(loopback_settings(name, self.store.port, seeds=seeds))
        packet_format = PlatformPackets(self.caller_port)
        balancer = EntryBalancer(settings, packet_format, PlatformStore(), self._sink)
        balancer.start()
        self.running[name] = _BalancerThread(balancer)
        deadline = monotonic() + _TIMEOUT_S
        while not balancer.state.ready and monotonic() < deadline:
            await sleep(_INTERVAL_S)
        self.callers.balancers[name] = (_LOOPBACK, balancer.packets.port)
        return balancer.state.ready

    async def stop(self, name: str) -> None:
        """Stop a balancer gracefully, after the fabric has stopped sending to it."""
        running = self.running.pop(name)
        self.callers.balancers.pop(name)
        running.balancer.loop.call_at(0, lambda: running.balancer.handle(StopAsked()))
        await in_thread(running.thread.join)
        running.balancer.close()

    async def kill(self, name: str) -> None:
        """Stop a balancer abruptly."""
        self.callers.balancers.pop(name)
        await self.running.pop(name).end()

    async def send_on_all_flows(self, rounds: int) -> None:
        """Send a packet on every flow in each of `rounds` rounds."""
        for _ in range(rounds):
            for flow in self.callers.flow_by_port.values():
                self.callers.step(flow)
            await sleep(_INTERVAL_S)

    async def close(self) -> None:
        """Stop everything that is still running."""
        for running in self.running.values():
            await running.end()
        for upstream in self.upstreams:
            upstream.close()
        self.callers.close()
        await self.store.close()


async def run_connection_id_demo(
    print_line: Callable[[str], None], seed: int
) -> ConnectionIdOutcome:
    """Run all changes and return the counts."""
    site = _Site(seed)
    await site.open()
    await site.send_on_all_flows(_ROUNDS)
    print_line('connection ids: three balancers, every packet sprayed, flows open')
    await _replace_upstream(site)
    print_line('connection ids: one upstream drains, one joins')
    await _replace_balancer(site)
    print_line('connection ids: one balancer stopped, another started')
    learnt = await _simulate_store_outage(site)
    print_line('connection ids: store outage ended, one balancer killed, one learnt from peers')
    outcome = await _count(site, learnt_from_peers=learnt)
    await site.close()
    return outcome


async def _replace_upstream(site: _Site) -> None:
    await site.list_upstream(site.upstreams[0], draining=True)
    await site.add_upstream()
    await site.send_on_all_flows(_ROUNDS)


async def _replace_balancer(site: _Site) -> None:
    await site.stop('a1')
    await site.start('a4')
    await site.send_on_all_flows(_ROUNDS)


async def _simulate_store_outage(site: _Site) -> bool:
    """Run a store outage; return whether a balancer started during it became ready."""
    await site.store.switch(down=True)
    await site.kill('a2')
    learnt = await site.start('a5')
    await site.send_on_all_flows(_ROUNDS)
    site.store.put_text(2, {_SERVICE: _NAME})
    await site.store.switch(down=False)
    return learnt


async def _count(site: _Site, *, learnt_from_peers: bool) -> ConnectionIdOutcome:
    """Wait until every flow was answered once more, or the timeout, and count."""
    flows = list(site.callers.flow_by_port.values())
    before = {flow.port: flow.answered for flow in flows}
    deadline = monotonic() + _TIMEOUT_S
    waiting = flows
    while waiting and monotonic() < deadline:
        await site.send_on_all_flows(1)
        waiting = [flow for flow in flows if flow.answered <= before[flow.port]]
    broken = sum(flow.reset for flow in flows)
    misdelivered = sum(upstream.misdelivered for upstream in site.upstreams)
    guarantees_held = not any((broken, misdelivered, waiting))
    return ConnectionIdOutcome(
        flows=len(flows),
        opened=sum(flow.opened for flow in flows),
        broken=broken,
        misdelivered=misdelivered,
        not_answered_at_the_end=len(waiting),
        learnt_from_peers=learnt_from_peers,
        ok=guarantees_held and learnt_from_peers,
    )
