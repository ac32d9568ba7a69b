"""Test that the soak detects balancers that break a promise, and reports no others.

The balancers are stand-ins on loopback between the soak's own callers and upstreams; no check
depends on time.
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
_REQUESTS = 20
_CENTRE = 'dc-a'


class _Balancer(DatagramProtocol):
    """Send all flows to one upstream; tests set which packets it `refuses` or `resets`."""

    def __init__(self) -> None:
        self.upstream: Upstream | None = None
        self.packets: Address = (_HOST, 0)
        self.refuses: Callable[[EchoSegment], bool] = _never
        self.resets: Callable[[EchoSegment], bool] = _never
        self._transport: DatagramTransport | None = None

    async def open(self) -> None:
        """Bind a free port."""
        self._transport = await bind_datagrams(self, self.packets)
        self.packets = self._transport.get_extra_info('sockname')[:2]

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        """Refuse or forward a packet; a flow to reset is reset after its packet was forwarded."""
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
        """Return this balancer, the only host."""
        return self

    def passes(self, host: '_Balancer') -> bool:
        """Deliver all packets."""
        return True

    def is_undisturbed(self, packets: Address) -> bool:
        """Report that nothing has disturbed this balancer."""
        return True

    def _reset(self, segment: EchoSegment) -> None:
        reply = EchoSegment(segment.target, segment.source, RST, segment.echo)
        if self._transport is not None:
            callers = (segment.source[0], self.packets[1])
            self._transport.sendto(build_echo(reply), callers)


def _never(segment: EchoSegment) -> bool:
    return False


class MutatedBalancerTest(IsolatedAsyncioTestCase):
    """Test what callers and upstreams detect of balancers that break a promise."""

    async def asyncSetUp(self) -> None:
        """Start one upstream and two callers around a balancer."""
        for name, test_value in (('disturbances.STABLE_S', 0), ('upstreams._WORK_S', (0, 0.002))):
            patched = patch(f'bronzekeel.soak.{name}', test_value)
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
        self.surging = await self.callers.add(_CENTRE)

    async def test_correct_balancer_breaks_no_promise(self) -> None:
        """A correct balancer breaks no promise while an upstream is slow and a caller surges.

        The surging caller sends five times the requests of the other. A check that does not allow
        for what callers must tolerate would fail here.
        """
        self.upstream.harmless_slowdowns.append(3)
        await self._count_shares()
        self.assertEqual([], self.checks.broken)
        self.assertGreater(self.checks.count_by_promise[Promise.SLOW_KEPT], 0)
        self.assertGreater(self.checks.count_by_promise[Promise.SHARED], 0)

    async def test_reset_of_slow_upstreams_flow_is_detected(self) -> None:
        """Resets of the flows of a slow upstream are detected.

        An upstream works slower, and the balancer resets its flows. The check must not assume that
        every slow upstream may lose flows.
        """
        self.upstream.harmless_slowdowns.append(3)
        self.balancer.resets = lambda segment: self.upstream.speed < 1
        await self._send_requests(self.first, 1)
        self.assertIn(Promise.SLOW_KEPT, self._broken())

    async def test_refused_request_that_ran_is_detected(self) -> None:
        """A refused request that ran is detected.

        The balancer forwards a request and also refuses it, so the caller retries and the work is
        done twice. Checking only refused openings, behind which no request was sent, would miss
        this.
        """
        self.balancer.resets = lambda segment: True
        await self._send_requests(self.first, 1)
        self.assertIn(Promise.NOT_RUN, self._broken())

    async def test_starved_caller_is_detected(self) -> None:
        """Starving a caller is detected.

        One caller sends five times the requests of the other, and the balancer refuses the other.
        Counting the requests of all callers together would miss this.
        """
        self.balancer.refuses = lambda segment: segment.source[0] != self.surging.address
        await self._count_shares()
        self.assertIn(Promise.SHARED, self._broken())

    async def test_answer_after_surge_is_not_counted(self) -> None:
        """Answers that arrive after the surge are not counted.

        Other callers are kept waiting until the surge ends, and are served then. Counting these
        answers would hide that one caller was served alone.
        """
        share_counts = ShareCounts({FEEDS})
        self.callers.share_counts = share_counts
        asking = gather(*(self._send_requests(self.first, 1) for _ in range(_REQUESTS)))
        await self._send_requests(self.surging, 1)
        self.callers.share_counts = None
        await asking
        served = share_counts.served(_CENTRE, self.first.address)
        self.assertLess(served, _REQUESTS)

    async def test_surging_caller_may_be_refused(self) -> None:
        """A balancer may refuse the surging caller while it serves the others."""
        self.balancer.refuses = self._is_of_surge
        await self._count_shares()
        self.assertEqual([], self.checks.broken)
        self.assertGreater(self.checks.count_by_promise[Promise.NOT_RUN], 0)

    def _is_of_surge(self, segment: EchoSegment) -> bool:
        """Whether a packet belongs to a flow of the surging caller, except on every fourth port."""
        return segment.source[0] == self.surging.address and bool(segment.source[1] % 4)

    def _broken(self) -> set[Promise]:
        names = {description.split(':')[0] for description in self.checks.broken}
        return {Promise[name] for name in names}

    async def _count_shares(self) -> None:
        share_counts = ShareCounts({FEEDS})
        self.callers.share_counts = share_counts
        await gather(
            self._send_requests(self.first, _REQUESTS),
            self._send_requests(self.surging, 5 * _REQUESTS),
        )
        share_counts.check(self.checks)

    async def _send_requests(self, caller: Caller, times: int) -> None:
        for _ in range(times):
            flow = await self.callers.request(FEEDS, caller, 40, idempotent=True)
            if flow is not None:
                self.callers.end(flow)


class SharesTest(TestCase):
    """Test which callers count as starved."""

    def test_equally_underserved_callers_are_not_starved(self) -> None:
        """No caller counts as starved if all are served equally little.

        On a busy machine every caller is served a tenth of its requests. Comparing this with the
        caller's own demand alone would fail the soak.
        """
        self.assertTrue(_checked({'a': (200, 20), 'b': (200, 24), 'c': (200, 16)}).ok)

    def test_violation_names_starved_caller(self) -> None:
        """The violation names the starved caller and its demand."""
        checks = _checked({'a': (60, 2), 'b': (60, 58), 'surging': (600, 300)})
        self.assertEqual(1, len(checks.broken))
        self.assertIn('a in dc-a sent 60 requests, 2 were served', checks.broken[0])

    def test_data_centres_are_not_compared(self) -> None:
        """Callers of different data centres are not compared, as one may be cut off."""
        share_counts = ShareCounts({FEEDS})
        for number in range(40):
            share_counts.count_request(f'dc-{number % 2}', 'a')
        for _ in range(20):
            share_counts.count_served('dc-0', 'a')
        checks = Checks()
        share_counts.check(checks)
        self.assertTrue(checks.ok)

    def test_few_requests_are_not_checked(self) -> None:
        """Callers with few requests due are not checked: these may go unserved by chance."""
        checks = _checked({'a': (5, 0), 'b': (5, 5)})
        self.assertEqual(0, checks.count_by_promise[Promise.SHARED])

    def test_discarded_counts_are_not_checked(self) -> None:
        """Counts are not checked if callers used hosts of two data centres in turn."""
        self.assertTrue(_checked({'a': (60, 2), 'b': (600, 300)}, discarded=True).ok)


def _checked(requests_by_address: dict[str, tuple[int, int]], *, discarded: bool = False) -> Checks:
    share_counts = ShareCounts({FEEDS})
    for address, (requested, served) in requests_by_address.items():
        for _ in range(requested):
            share_counts.count_request(_CENTRE, address)
        for _ in range(served):
            share_counts.count_served(_CENTRE, address)
    share_counts.discarded = discarded
    checks = Checks()
    share_counts.check(checks)
    return checks
