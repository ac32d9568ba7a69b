"""Tests of balancers over loopback sockets, with stand-ins for the platform and upstreams."""

from asyncio import (
    DatagramProtocol,
    Event,
    get_running_loop,
    open_connection,
    run,
    sleep,
    wait_for,
)
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from typing import Any
from unittest import TestCase
from unittest.mock import patch

from aiohttp import ClientSession

from bronzekeel.balancer.daemon import Balancer
from bronzekeel.balancer.settings import Settings
from bronzekeel.balancer.web import StatusServer
from bronzekeel.core.effects import Effect
from bronzekeel.demo.site import CHECKS, INTAKE, REPLIES, Site
from bronzekeel.replay.recorded import is_recorded, replay_recorded
from bronzekeel.standins.upstream import RequestUpstream
from bronzekeel.text.submission import Accepted

_TIMEOUT_S = 20.0


async def wait_until(condition: Callable[[], bool]) -> None:
    """Poll until `condition` holds; raise AssertionError after a generous timeout."""
    deadline = get_running_loop().time() + _TIMEOUT_S
    while not condition():
        if get_running_loop().time() > deadline:
            raise AssertionError('condition did not hold in time')
        await sleep(0.05)


def all_ready(site: Site) -> bool:
    """Return whether every balancer of the site is ready."""
    return all(
        balancer.state is not None and balancer.state.ready for balancer in site.balancers.values()
    )


async def with_site(check: Callable[[Site], Awaitable[None]], record: str = '') -> None:
    """Run `check` on a site whose two balancers have the first text in force."""
    site = Site(Random(1))
    await site.open()
    for name in ('a1', 'a2'):
        settings = Settings(
            name,
            'dc-a',
            '127.0.0.1',
            site.platform.url,
            record=record if name == 'a1' else '',
        )
        await site.add_balancer(settings)
    accepted = await site.submit()
    if not isinstance(accepted, Accepted):
        raise AssertionError(accepted)
    await wait_until(lambda: all_ready(site))
    await check(site)
    await site.close()


class SiteTest(TestCase):
    """Tests of the site that the daemons are tested on."""

    def test_upstreams_of_two_kinds_have_different_ports(self) -> None:
        """Guards against a text that is refused because two upstreams have the same address.

        It occurs if the kernel assigns the UDP port of a flow upstream as TCP port of a request
        upstream.
        """
        run(self._open_upstreams_of_two_kinds())

    async def _open_upstreams_of_two_kinds(self) -> None:
        site = Site(Random(1))
        flows = await site.add_upstream(INTAKE)
        original_open = RequestUpstream.open
        taken = [flows]
        opened: list[str] = []

        async def open_on_taken(upstream: RequestUpstream) -> str:  # noqa: WPS430 (kernel stand-in)
            opened.append(await original_open(upstream))
            return taken.pop() if taken else opened[-1]

        with patch.object(RequestUpstream, 'open', open_on_taken):
            requests = await site.add_upstream(CHECKS)
        self.assertNotEqual(flows, requests)
        self.assertEqual(opened[-1], requests)
        self.assertGreaterEqual(len(opened), 2)
        await site.close()


class DaemonTest(TestCase):
    """Tests of running balancers over real sockets."""

    def test_bad_input_on_every_socket_stops_nothing(self) -> None:
        """Guards against a stray packet that stops a balancer.

        It occurs if a decoder raises into the event loop on random bytes.  Valid requests must
        still be answered afterwards.
        """
        run(with_site(self._send_garbage))

    def test_open_call_does_not_block_close(self) -> None:
        """Guards against a stopped process that never exits.

        It occurs if closing waits without a timeout for a call that a caller holds open.
        """
        run(with_site(self._close_with_open_call))

    def test_flow_and_request_survive_a_planned_stop(self) -> None:
        """Guards against flows or requests that end when their balancer is replaced.

        It occurs if a balancer that is stopped gracefully under load leaves before it has handed
        off its shards and requests.
        """
        run(with_site(self._stop_one))

    def test_recorded_trace_is_replayed(self) -> None:
        """Replaying a recorded trace twice gives the same final state."""
        with TemporaryDirectory() as folder:
            path = Path(folder) / 'a1.jsonl'
            run(with_site(self._send_one_request, str(path)))
            self.assertTrue(is_recorded(path))
            outcomes = replay_recorded(path)
            self.assertEqual(outcomes, replay_recorded(path))
        self.assertEqual(1, outcomes['balancers_ready'])
        self.assertEqual(1, outcomes['generation_least'])

    def test_metrics_and_status_are_served(self) -> None:
        """The HTTP port serves the counters and the status of the balancer."""
        run(with_site(self._read_metrics))

    def test_wrong_health_status_is_overruled_over_grpc(self) -> None:
        """Guards against working upstreams that get no requests.

        It occurs if the health service of an upstream reports "down" and the balancer trusts it
        more than the answers of the upstream.
        """
        run(with_site(self._report_wrong_health))

    def test_cut_and_lost_answers_are_unknown_over_grpc(self) -> None:
        """Guards against a truncated answer that is treated as complete.

        It occurs if the end of the stream is treated as the end of the answer, when an upstream
        cuts its answer short or loses it.
        """
        run(with_site(self._cut_and_lose_answers))

    async def _cut_and_lose_answers(self, site: Site) -> None:
        upstreams = site.request_upstreams[REPLIES].values()
        for fault in ('cut_next', 'lose_next'):
            for upstream in upstreams:
                setattr(upstream, fault, 1)
            reply = await site.caller.request('a1', REPLIES, b'whole or not at all')
            self.assertEqual('unknown', reply.outcome)
            self.assertEqual('answer_lost', reply.kind)
            for upstream in upstreams:
                setattr(upstream, fault, 0)
        complete = await site.caller.request('a1', REPLIES, b'whole')
        self.assertEqual('answered', complete.outcome)
        self.assertEqual(0, site.caller.cut)
        self.assertEqual(3, sum(upstream.ran.total() for upstream in upstreams))

    async def _report_wrong_health(self, site: Site) -> None:
        upstreams = site.request_upstreams[REPLIES]
        endpoint, unhealthy = next(iter(upstreams.items()))
        unhealthy.health.set(value=False)
        await site.caller.request('a1', REPLIES, b'first')
        await wait_until(lambda: self._hinted_down(site, endpoint))
        ran_before = unhealthy.ran.total()
        for number in range(40):
            reply = await site.caller.request('a1', REPLIES, f'body {number}'.encode())
            self.assertEqual('answered', reply.outcome)
        self.assertGreater(unhealthy.ran.total(), ran_before)

    def _hinted_down(self, site: Site, endpoint: str) -> bool:
        return any(
            balancer.state is not None and balancer.state.health.of(endpoint).hinted_down
            for balancer in site.balancers.values()
        )

    async def _close_with_open_call(self, site: Site) -> None:
        balancer = site.balancers.pop('a1')
        original_close = balancer.callers.close
        with patch.object(balancer.callers, 'close', Event().wait):
            await wait_for(balancer.close(), _TIMEOUT_S)
        await original_close()

    async def _send_garbage(self, site: Site) -> None:
        balancer = site.balancers['a1']
        host = site.hosts['a1']
        random = Random(2)
        transport, _ = await get_running_loop().create_datagram_endpoint(
            DatagramProtocol,
            local_addr=('127.0.0.1', 0),
        )
        for _ in range(200):
            garbage = random.randbytes(random.randrange(1, 1400))
            transport.sendto(garbage, (host.address, host.packets))
            transport.sendto(garbage, (host.address, host.peers))
            await sleep(0)
        for port in (host.peers, host.callers):
            _, writer = await open_connection(host.address, port)
            writer.write(random.randbytes(500))
            await writer.drain()
            writer.close()
        await wait_until(lambda: balancer.peers.counts['bad_datagram'] >= 150)
        await wait_until(lambda: balancer.packet_counts.total() >= 150)
        transport.close()
        reply = await site.caller.request('a1', REPLIES, b'after rubbish')
        self.assertEqual('answered', reply.outcome)
        self.assertEqual(0, balancer.counts['internal_fault'])

    async def _stop_one(self, site: Site) -> None:
        flows = [site.fabric.add_flow(('198.51.100.10', 443), number) for number in range(60)]
        for flow in flows:
            site.fabric.step(flow)
        await wait_until(lambda: all(flow.established for flow in flows))
        balancer = site.balancers.pop('a1')
        site.remove_balancer('a1')
        await balancer.stop()
        for flow in flows:
            site.fabric.step(flow)
        await wait_until(lambda: all(flow.answered for flow in flows))
        self.assertFalse(any(flow.reset for flow in flows))
        reply = await site.caller.request('a2', REPLIES, b'after the stop')
        self.assertEqual('answered', reply.outcome)

    async def _send_one_request(self, site: Site) -> None:
        await site.caller.request('a1', REPLIES, b'recorded')

    async def _read_metrics(self, site: Site) -> None:
        server = StatusServer(site.balancers['a1'])
        port = await server.open('127.0.0.1', 0)
        async with ClientSession() as session:
            metrics = await _get_page(session, port, 'metrics')
            status = await _get_page(session, port, 'status')
        await server.close()
        self.assertIn('bronzekeel_control_bytes_total', metrics)
        self.assertIn('bronzekeel_state{name="generation"} 1', metrics)
        self.assertIn('"name":"a1"', status)


async def _get_page(session: ClientSession, port: int, name: str) -> str:
    async with session.get(f'http://127.0.0.1:{port}/{name}') as reply:
        return await reply.text()


class WiringTest(TestCase):
    """Tests of the connections between reducer and adapters."""

    def test_every_effect_has_a_handler(self) -> None:
        """Guards against an effect that fails at run time because it has no handler."""
        run(self._check_handlers())

    async def _check_handlers(self) -> None:
        balancer = Balancer(Settings('a1', 'dc-a', '127.0.0.1', 'http://127.0.0.1:1'))
        kinds: Any = Effect
        missing = [kind for kind in kinds.__args__ if kind not in balancer.handled_effects]
        self.assertEqual([], missing)
