"""Test one balancer over real sockets on loopback, with stand-ins around it."""

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

_PATIENCE_S = 20.0


async def until(holds: Callable[[], bool]) -> None:
    """Wait until a condition holds, with much patience."""
    give_up_at = get_running_loop().time() + _PATIENCE_S
    while not holds():
        if get_running_loop().time() > give_up_at:
            raise AssertionError('waited in vain')
        await sleep(0.05)


def ready(site: Site) -> bool:
    """Return whether every balancer is ready."""
    return all(
        balancer.state is not None and balancer.state.ready for balancer in site.balancers.values()
    )


async def with_site(act: Callable[[Site], Awaitable[None]], record: str = '') -> None:
    """Run `act` on a site with two balancers in force of the first text."""
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
    await until(lambda: ready(site))
    await act(site)
    await site.close()


class SiteTest(TestCase):
    """Set up what the daemons are tested with."""

    def test_upstreams_of_two_kinds_share_no_port(self) -> None:
        """A run failed once before any balancer was asked: its text was refused.

        A flow's upstream had a port for datagrams, and the kernel gave the same number to an
        upstream of requests for streams.  The text said: 127.0.0.1:37469 is also at
        $.services.evidence-intake.upstreams.utrecht[0], give each upstream an address of its own.
        """
        run(self._open_two())

    async def _open_two(self) -> None:
        site = Site(Random(1))
        flows = await site.add_upstream(INTAKE)
        port = int(flows.rpartition(':')[2])
        free = RequestUpstream.open
        ports = iter((port, 0))

        async def meet(upstream: RequestUpstream) -> str:  # noqa: WPS430 (stands for the kernel)
            return await free(upstream, next(ports))

        with patch.object(RequestUpstream, 'open', meet):
            requests = await site.add_upstream(CHECKS)
        self.assertNotEqual(flows, requests)
        await site.close()


class DaemonTest(TestCase):
    """Use real sockets."""

    def test_bad_input_on_every_socket_stops_nothing(self) -> None:
        """Symptom: a stray packet ends a balancer.

        Sequence: random bytes reach each of its sockets, then good ones.
        Cause: a decoder that raises into the event loop.
        """
        run(with_site(self._send_rubbish))

    def test_a_call_that_never_ends_keeps_no_balancer_alive(self) -> None:
        """Symptom: a process that was stopped is still there a day later.

        Sequence: a caller holds a call open; the balancer is stopped.
        Cause: waiting for the last calls without an end.
        """
        run(with_site(self._close_beside_a_call))

    def test_flow_and_request_survive_a_planned_stop(self) -> None:
        """Symptom: flows or requests end with the balancer that is replaced.

        Sequence: both balancers carry load; one is stopped in the planned way.
        Cause: leaving before its shards and requests are handed over.
        """
        run(with_site(self._stop_one))

    def test_recorded_trace_is_replayed(self) -> None:
        """A daemon's recording gives the same end state on a fresh reducer."""
        with TemporaryDirectory() as folder:
            path = Path(folder) / 'a1.jsonl'
            run(with_site(self._wait_a_little, str(path)))
            self.assertTrue(is_recorded(path))
            outcomes = replay_recorded(path)
            self.assertEqual(outcomes, replay_recorded(path))
        self.assertEqual(1, outcomes['balancers_ready'])
        self.assertEqual(1, outcomes['generation_least'])

    def test_metrics_and_status_are_served(self) -> None:
        """The HTTP port tells what the balancer counts."""
        run(with_site(self._read_metrics))

    def test_lying_health_service_is_overruled_over_grpc(self) -> None:
        """Symptom: a service stops though its upstreams work.

        Sequence: the health service of one upstream of seven says "down".
        Cause: believing it over the answers that the upstream gives.
        """
        run(with_site(self._lie))

    def test_cut_and_lost_answers_are_told_as_unknown_over_grpc(self) -> None:
        """Symptom: half of an answer is taken for the whole.

        Sequence: an upstream ends its answer in the middle; another loses it.
        Cause: taking the end of the stream for the end of the answer.
        """
        run(with_site(self._cut))

    async def _cut(self, site: Site) -> None:
        upstreams = site.request_upstreams[REPLIES].values()
        for fault in ('cut_next', 'lose_next'):
            for upstream in upstreams:
                setattr(upstream, fault, 1)
            told = await site.caller.request('a1', REPLIES, b'whole or not at all')
            self.assertEqual('unknown', told.outcome)
            self.assertEqual('answer_lost', told.kind)
            for upstream in upstreams:
                setattr(upstream, fault, 0)
        whole = await site.caller.request('a1', REPLIES, b'whole')
        self.assertEqual('answered', whole.outcome)
        self.assertEqual(0, site.caller.cut)
        self.assertEqual(3, sum(upstream.ran.total() for upstream in upstreams))

    async def _lie(self, site: Site) -> None:
        upstreams = site.request_upstreams[REPLIES]
        endpoint, liar = next(iter(upstreams.items()))
        liar.health.set(value=False)
        await site.caller.request('a1', REPLIES, b'first')
        await until(lambda: self._hinted(site, endpoint))
        ran_before = liar.ran.total()
        for number in range(40):
            told = await site.caller.request('a1', REPLIES, f'body {number}'.encode())
            self.assertEqual('answered', told.outcome)
        self.assertGreater(liar.ran.total(), ran_before)

    def _hinted(self, site: Site, endpoint: str) -> bool:
        return any(
            balancer.state is not None and balancer.state.health.of(endpoint).hinted_down
            for balancer in site.balancers.values()
        )

    async def _close_beside_a_call(self, site: Site) -> None:
        balancer = site.balancers.pop('a1')
        ended = balancer.callers.close
        with patch.object(balancer.callers, 'close', Event().wait):
            await wait_for(balancer.close(), _PATIENCE_S)
        await ended()

    async def _send_rubbish(self, site: Site) -> None:
        balancer = site.balancers['a1']
        host = site.hosts['a1']
        random = Random(2)
        transport, _ = await get_running_loop().create_datagram_endpoint(
            DatagramProtocol,
            local_addr=('127.0.0.1', 0),
        )
        for _ in range(200):
            rubbish = random.randbytes(random.randrange(1, 1400))
            transport.sendto(rubbish, (host.address, host.packets))
            transport.sendto(rubbish, (host.address, host.peers))
            await sleep(0)
        for port in (host.peers, host.callers):
            _, writer = await open_connection(host.address, port)
            writer.write(random.randbytes(500))
            await writer.drain()
            writer.close()
        await until(lambda: balancer.peers.counts['bad_datagram'] >= 150)
        await until(lambda: balancer.packet_counts.total() >= 150)
        transport.close()
        told = await site.caller.request('a1', REPLIES, b'after rubbish')
        self.assertEqual('answered', told.outcome)
        self.assertEqual(0, balancer.counts['internal_fault'])

    async def _stop_one(self, site: Site) -> None:
        flows = [site.fabric.add_flow(('198.51.100.10', 443), number) for number in range(60)]
        for flow in flows:
            site.fabric.step(flow)
        await until(lambda: all(flow.established for flow in flows))
        balancer = site.balancers.pop('a1')
        site.remove_balancer('a1')
        await balancer.stop()
        for flow in flows:
            site.fabric.step(flow)
        await until(lambda: all(flow.answered for flow in flows))
        self.assertFalse(any(flow.reset for flow in flows))
        told = await site.caller.request('a2', REPLIES, b'after the stop')
        self.assertEqual('answered', told.outcome)

    async def _wait_a_little(self, site: Site) -> None:
        await site.caller.request('a1', REPLIES, b'recorded')

    async def _read_metrics(self, site: Site) -> None:
        server = StatusServer(site.balancers['a1'])
        port = await server.open('127.0.0.1', 0)
        async with ClientSession() as session:
            metrics = await _page(session, port, 'metrics')
            status = await _page(session, port, 'status')
        await server.close()
        self.assertIn('bronzekeel_control_bytes_total', metrics)
        self.assertIn('bronzekeel_state{name="generation"} 1', metrics)
        self.assertIn('"name":"a1"', status)


async def _page(session: ClientSession, port: int, name: str) -> str:
    async with session.get(f'http://127.0.0.1:{port}/{name}') as reply:
        return await reply.text()


class WiringTest(TestCase):
    """Check what the wiring promises."""

    def test_every_effect_has_a_handler(self) -> None:
        """An effect without a handler would end in an error at the worst time."""
        run(self._check_handlers())

    async def _check_handlers(self) -> None:
        balancer = Balancer(Settings('a1', 'dc-a', '127.0.0.1', 'http://127.0.0.1:1'))
        kinds: Any = Effect
        missing = [kind for kind in kinds.__args__ if kind not in balancer.handled_effects]
        self.assertEqual([], missing)
