"""Play flows over connection ids while balancers, upstreams and the store come and go."""

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
_STEP_S = 0.05
_ROUNDS = 6
_PATIENCE_S = 10.0


class ConnectionIdOutcome(Struct, frozen=True):
    """Hold what callers and upstreams have seen; `ok` that all promises were kept."""

    flows: int
    opened: int
    broken: int
    misdelivered: int
    not_answered_at_the_end: int
    learnt_from_peers: bool
    ok: bool


class _Running:
    """Hold one balancer and the thread that it runs in."""

    def __init__(self, balancer: EntryBalancer) -> None:
        self.balancer = balancer
        self.thread = Thread(target=balancer.loop.run)
        self.thread.start()

    async def end(self) -> None:
        """End it at once, as a crash would."""
        self.balancer.loop.stop()
        await in_thread(self.thread.join)
        self.balancer.close()


class _Site:
    """Hold store, callers, upstreams and balancers."""

    def __init__(self, seed: int) -> None:
        self.store = PlatformStandIn()
        self.callers = EchoCallers(_SERVICE, Random(seed))
        self.caller_port = 0
        self.upstreams: list[EchoUpstream] = []
        self.running: dict[str, _Running] = {}
        self._sink = open_file(devnull, O_WRONLY)

    async def open(self) -> None:
        """Start everything, and open all flows."""
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
        """Start one more upstream and list it."""
        upstream = EchoUpstream(len(self.upstreams) + 1, (_LOOPBACK, self.caller_port))
        await upstream.open()
        self.upstreams.append(upstream)
        await self.list_upstream(upstream)
        return upstream

    async def list_upstream(self, upstream: EchoUpstream, *, draining: bool = False) -> None:
        """Write an upstream's entry."""
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
        """Start a balancer; return whether it was ready in time."""
        seeds = [f'{_LOOPBACK}:{other.balancer.peers.port}' for other in self.running.values()]
        settings = EntrySettings(loopback_settings(name, self.store.port, seeds=seeds))
        packet_format = PlatformPackets(self.caller_port)
        balancer = EntryBalancer(settings, packet_format, PlatformStore(), self._sink)
        balancer.start()
        self.running[name] = _Running(balancer)
        give_up_at = monotonic() + _PATIENCE_S
        while not balancer.state.ready and monotonic() < give_up_at:
            await sleep(_STEP_S)
        self.callers.balancers[name] = (_LOOPBACK, balancer.packets.port)
        return balancer.state.ready

    async def stop(self, name: str) -> None:
        """Stop a balancer in the planned way: the fabric leaves it first."""
        running = self.running.pop(name)
        self.callers.balancers.pop(name)
        running.balancer.loop.call_at(0, lambda: running.balancer.handle(StopAsked()))
        await in_thread(running.thread.join)
        running.balancer.close()

    async def kill(self, name: str) -> None:
        """End a balancer at once."""
        self.callers.balancers.pop(name)
        await self.running.pop(name).end()

    async def step_all(self, rounds: int) -> None:
        """Send packets of all flows."""
        for _ in range(rounds):
            for flow in self.callers.flow_by_port.values():
                self.callers.step(flow)
            await sleep(_STEP_S)

    async def close(self) -> None:
        """End everything that still runs."""
        for running in self.running.values():
            await running.end()
        for upstream in self.upstreams:
            upstream.close()
        self.callers.close()
        await self.store.close()


async def play_connection_ids(say: Callable[[str], None], seed: int) -> ConnectionIdOutcome:
    """Play all changes and count what came of them."""
    site = _Site(seed)
    await site.open()
    await site.step_all(_ROUNDS)
    say('connection ids: three balancers, every packet sprayed, flows open')
    await _change_upstreams(site)
    say('connection ids: one upstream drains, one joins')
    await _change_balancers(site)
    say('connection ids: one balancer stopped, another started')
    learnt = await _lose_store(site)
    say('connection ids: the store away and back, one balancer killed, one learnt from peers')
    outcome = await _count(site, learnt_from_peers=learnt)
    await site.close()
    return outcome


async def _change_upstreams(site: _Site) -> None:
    await site.list_upstream(site.upstreams[0], draining=True)
    await site.add_upstream()
    await site.step_all(_ROUNDS)


async def _change_balancers(site: _Site) -> None:
    await site.stop('a1')
    await site.start('a4')
    await site.step_all(_ROUNDS)


async def _lose_store(site: _Site) -> bool:
    """Take the store away; return whether a balancer that started then was ready."""
    await site.store.switch(down=True)
    await site.kill('a2')
    learnt = await site.start('a5')
    await site.step_all(_ROUNDS)
    site.store.put_text(2, {_SERVICE: _NAME})
    await site.store.switch(down=False)
    return learnt


async def _count(site: _Site, *, learnt_from_peers: bool) -> ConnectionIdOutcome:
    """Let every flow be answered once more, and count."""
    flows = list(site.callers.flow_by_port.values())
    before = {flow.port: flow.answered for flow in flows}
    give_up_at = monotonic() + _PATIENCE_S
    waiting = flows
    while waiting and monotonic() < give_up_at:
        await site.step_all(1)
        waiting = [flow for flow in flows if flow.answered <= before[flow.port]]
    broken = sum(flow.reset for flow in flows)
    misdelivered = sum(upstream.misdelivered for upstream in site.upstreams)
    kept = not any((broken, misdelivered, waiting))
    return ConnectionIdOutcome(
        flows=len(flows),
        opened=sum(flow.opened for flow in flows),
        broken=broken,
        misdelivered=misdelivered,
        not_answered_at_the_end=len(waiting),
        learnt_from_peers=learnt_from_peers,
        ok=kept and learnt_from_peers,
    )
