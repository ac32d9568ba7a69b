"""Test that promises of the soak turn red on balancers that break them, and only on these.

The balancers are stand-ins on loopback between the soak's own callers and upstreams; nothing is
judged by time.
"""

from asyncio import DatagramProtocol, DatagramTransport, gather
from collections.abc import Callable
from random import Random
from typing import Any
from unittest import IsolatedAsyncioTestCase, TestCase
from unittest.mock import patch

from bronzekeel.soak.callers import Callers
from bronzekeel.soak.checks import Checks, Promise
from bronzekeel.soak.links import Address, bind_datagrams
from bronzekeel.soak.share_counts import Caller, ShareCounts
from bronzekeel.soak.texts import FEEDS
from bronzekeel.soak.upstreams import Runs, Upstream
from bronzekeel.standins.echo_packets import RST, SYN, EchoSegment, build_echo, read_echo


_HOST = '127.9.0.1'
_NUMBER_BYTES = 8
_TRIES = 20
_CENTRE = 'dc-a'


class _Balancer(DatagramProtocol):
    """Send all flows to one upstream; what it `refuses` or `resets` is for a test to say."""

    def __init__(self) -> None:
        self.upstream: Upstream | None = None
        self.packets: Address = (_HOST, 0)
        self.refuses: Callable[[EchoSegment], bool] = _never
        self.resets: Callable[[EchoSegment], bool] = _never
        self._transport: DatagramTransport | None = None

    async def open(self) -> None:
        """Bind any port."""
        self._transport = await bind_datagrams(self, self.packets)
        self.packets = self._transport.get_extra_info('sockname')[:2]

    def close(self) -> None:
        """Free the socket."""
        if self._transport is not None:
            self._transport.close()

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        """Pass a packet on or refuse it; reset flows after their packet was passed on."""
        segment = read_echo(data)
        opens = bool(segment.flags & SYN)
        if opens and self.refuses(segment):
            self._reset(segment)
            return
        if self._transport is None or self.upstream is None:
            return
        number = self.upstream.number.to_bytes(_NUMBER_BYTES, 'big')
        self._transport.sendto(number + data, self.upstream.address)
        if segment.payload and self.resets(segment):
            self._reset(segment)

    def choose(self, flow: bytes, data_centre: str) -> '_Balancer':
        """Return itself: it is the only host."""
        return self

    def passes(self, host: '_Balancer') -> bool:
        """Let all packets arrive."""
        return True

    def is_undisturbed(self, packets: Address) -> bool:
        """Tell that nothing has struck it."""
        return True

    def _reset(self, segment: EchoSegment) -> None:
        reply = EchoSegment(segment.target, segment.source, RST, segment.echo)
        if self._transport is not None:
            callers = (segment.source[0], self.packets[1])
            self._transport.sendto(build_echo(reply), callers)


def _never(segment: EchoSegment) -> bool:
    return False


class MutatedBalancerTest(IsolatedAsyncioTestCase):
    """What callers and upstreams see of balancers that break a promise."""

    async def asyncSetUp(self) -> None:
        """Open one upstream and some callers around a balancer."""
        for name, brief in (('disturbances.STABLE_S', 0), ('upstreams._WORK_S', (0, 0.002))):
            patched = patch(f'bronzekeel.soak.{name}', brief)
            patched.start()
            self.addCleanup(patched.stop)
        self.checks = Checks()
        self.runs = Runs()
        self.balancer = _Balancer()
        await self.balancer.open()
        self.addCleanup(self.balancer.close)
        port = self.balancer.packets[1]
        self.upstream = Upstream(1, 'portal', _CENTRE, ('127.0.0.1', port), self.checks, self.runs)
        self.upstream.routes = {FEEDS}
        await self.upstream.open()
        self.addCleanup(self.upstream.close)
        self.balancer.upstream = self.upstream
        by_number = {self.upstream.number: self.upstream}
        self.callers = Callers(self.balancer, by_number, self.checks, self.runs, Random(1))
        await self.callers.open(port)
        self.addCleanup(self.callers.close)
        self.first = await self.callers.add(_CENTRE)
        self.crowd = await self.callers.add(_CENTRE)

    async def test_a_sound_balancer_keeps_all(self) -> None:
        """Symptom: the soak is red on a balancer that does nothing wrong.

        Sequence: an upstream works slower, and a caller asks for five times its share.
        Cause: a check that goes by what callers must bear.
        """
        self.upstream.harmless_slowdowns.append(3)
        await self._count_shares()
        self.assertEqual([], self.checks.broken)
        self.assertGreater(self.checks.count_by_promise[Promise.SLOW_KEPT], 0)
        self.assertGreater(self.checks.count_by_promise[Promise.SHARED], 0)

    async def test_resetting_flows_of_a_slow_upstream_is_seen(self) -> None:
        """Symptom: the soak is green though callers lose their flows.

        Sequence: an upstream works slower; the balancer resets its flows.
        Cause: taking every slow upstream for one that may lose flows.
        """
        self.upstream.harmless_slowdowns.append(3)
        self.balancer.resets = lambda segment: self.upstream.speed < 1
        await self._send_requests(self.first, 1)
        self.assertIn(Promise.SLOW_KEPT, self._broken())

    async def test_running_what_was_refused_is_seen(self) -> None:
        """Symptom: work is done twice, and the soak is green.

        Sequence: the balancer passes a request on and refuses it; the caller asks again.
        Cause: looking only at refused openings, behind which no request was sent.
        """
        self.balancer.resets = lambda segment: True
        await self._send_requests(self.first, 1)
        self.assertIn(Promise.NOT_RUN, self._broken())

    async def test_shutting_a_caller_out_is_seen(self) -> None:
        """Symptom: the soak is green though one caller takes all.

        Sequence: one caller asks for five times its share; the balancer refuses the other.
        Cause: counting requests of all callers together.
        """
        self.balancer.refuses = lambda segment: segment.source[0] != self.crowd.address
        await self._count_shares()
        self.assertIn(Promise.SHARED, self._broken())

    async def test_an_answer_after_the_crowd_counts_for_nothing(self) -> None:
        """Symptom: the soak is green though one caller takes all while it asks.

        Sequence: others are kept waiting until the crowd is over; then they are served.
        Cause: counting what is served afterwards.
        """
        share_counts = ShareCounts({FEEDS})
        self.callers.share_counts = share_counts
        asking = gather(*(self._send_requests(self.first, 1) for _ in range(_TRIES)))
        await self._send_requests(self.crowd, 1)
        self.callers.share_counts = None
        await asking
        served = share_counts.served(_CENTRE, self.first.address)
        self.assertLess(served, _TRIES)

    async def test_who_refuses_the_crowd_is_sound(self) -> None:
        """The one that asks for too much may be refused while others are served."""
        self.balancer.refuses = self._is_of_surge
        await self._count_shares()
        self.assertEqual([], self.checks.broken)
        self.assertGreater(self.checks.count_by_promise[Promise.NOT_RUN], 0)

    def _is_of_surge(self, segment: EchoSegment) -> bool:
        """Whether a packet opens a flow of the crowd, but for every fourth one."""
        return segment.source[0] == self.crowd.address and bool(segment.source[1] % 4)

    def _broken(self) -> set[Promise]:
        names = {description.split(':')[0] for description in self.checks.broken}
        return {Promise[name] for name in names}

    async def _count_shares(self) -> None:
        share_counts = ShareCounts({FEEDS})
        self.callers.share_counts = share_counts
        await gather(
            self._send_requests(self.first, _TRIES), self._send_requests(self.crowd, 5 * _TRIES)
        )
        share_counts.check(self.checks)

    async def _send_requests(self, caller: Caller, times: int) -> None:
        for _ in range(times):
            flow = await self.callers.request(FEEDS, caller, 40, idempotent=True)
            if flow is not None:
                self.callers.end(flow)


class SharesTest(TestCase):
    """What counts as shut out."""

    def test_all_that_are_served_little_are_treated_alike(self) -> None:
        """Symptom: the soak is red on a busy machine.

        Sequence: every caller gets a tenth of what it asks for.
        Cause: going by what a caller asked for alone.
        """
        self.assertTrue(_checked({'a': (200, 20), 'b': (200, 24), 'c': (200, 16)}).ok)

    def test_one_that_is_shut_out_is_told(self) -> None:
        """It is named, and so is what it asked for."""
        checks = _checked({'a': (60, 2), 'b': (60, 58), 'crowd': (600, 300)})
        self.assertEqual(1, len(checks.broken))
        self.assertIn('a in dc-a sent 60 requests, 2 were served', checks.broken[0])

    def test_other_data_centres_do_not_count(self) -> None:
        """A data centre that is cut off serves none of its callers."""
        share_counts = ShareCounts({FEEDS})
        for number in range(40):
            share_counts.count_request(f'dc-{number % 2}', 'a')
        for _ in range(20):
            share_counts.count_served('dc-0', 'a')
        checks = Checks()
        share_counts.check(checks)
        self.assertTrue(checks.ok)

    def test_few_requests_are_chance(self) -> None:
        """Nothing is judged by a handful."""
        checks = _checked({'a': (5, 0), 'b': (5, 5)})
        self.assertEqual(0, checks.count_by_promise[Promise.SHARED])

    def test_nothing_is_judged_while_callers_move(self) -> None:
        """They use hosts of two data centres in turn."""
        self.assertTrue(_checked({'a': (60, 2), 'b': (600, 300)}, discarded=True).ok)


def _checked(figures: dict[str, tuple[int, int]], *, discarded: bool = False) -> Checks:
    share_counts = ShareCounts({FEEDS})
    for address, (asked, served) in figures.items():
        for _ in range(asked):
            share_counts.count_request(_CENTRE, address)
        for _ in range(served):
            share_counts.count_served(_CENTRE, address)
    share_counts.discarded = discarded
    checks = Checks()
    share_counts.check(checks)
    return checks
