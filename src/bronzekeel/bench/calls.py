"""Compare gRPC calls through one balancer with direct calls to an upstream."""

from argparse import ArgumentParser, Namespace
from asyncio import gather, run, sleep
from random import Random
from time import perf_counter

from grpclib.client import Channel
from msgspec import Struct

from bronzekeel.bench.base import Benchmark
from bronzekeel.bench.peer_bytes import peer_call_bytes
from bronzekeel.bench.quantiles import quantile
from bronzekeel.demo.site import REPLIES, Site
from bronzekeel.proto import requests_pb2 as proto
from bronzekeel.proto.requests_grpc import RequestsStub, UpstreamStub

_P50 = 0.5
_P99 = 0.99
_MILLI = 1000
_CONCURRENCY = 16
_MAX_READY_POLLS = 200


class CallReport(Struct, frozen=True):
    """Latencies in milliseconds, and throughput as a share of that of direct calls."""

    calls: int
    direct_p50_ms: float
    direct_p99_ms: float
    through_p50_ms: float
    through_p99_ms: float
    reserve_p50_ms: float
    added_p50_ms: float
    throughput_share: float
    peer_call_bytes: float
    ok: bool


class CallBenchmark(Benchmark):
    """Interleaves direct calls with calls through a balancer."""

    name = 'calls'
    summary = 'gRPC calls through one balancer compared with direct calls'

    def add_options(self, parser: ArgumentParser) -> None:
        """Add the number of calls."""
        parser.add_argument('--calls', type=int, default=400)

    def run(self, options: Namespace) -> CallReport:
        """Measure calls on a site with one balancer."""
        return run(_measure(options.calls))


async def _measure(calls: int) -> CallReport:
    site = Site(Random(1))
    await site.open()
    await site.start_balancer('a1', 'dc-a')
    await site.submit()
    balancer = site.balancers['a1']
    for _ in range(_MAX_READY_POLLS):
        if balancer.state is not None and balancer.state.ready:
            break
        await sleep(0.05)
    for upstream in site.request_upstreams[REPLIES].values():
        upstream.work_s = 0
        upstream.slots = _CONCURRENCY
    report = await _compare(site, calls)
    await site.close()
    return report


async def _compare(site: Site, calls: int) -> CallReport:
    host = site.hosts['a1']
    endpoint = next(iter(site.request_upstreams[REPLIES]))
    address, _, port = endpoint.rpartition(':')
    samples = _LatencySamples(Channel(address, int(port)), Channel(host.address, host.callers))
    await samples.measure(calls)
    rate_direct = await samples.rate(calls, through=False)
    rate_through = await samples.rate(calls, through=True)
    samples.close()
    return CallReport(
        calls=calls,
        direct_p50_ms=_ms(samples.direct, _P50),
        direct_p99_ms=_ms(samples.direct, _P99),
        through_p50_ms=_ms(samples.through, _P50),
        through_p99_ms=_ms(samples.through, _P99),
        reserve_p50_ms=_ms(samples.reserved, _P50),
        added_p50_ms=round(_ms(samples.through, _P50) - _ms(samples.direct, _P50), 3),
        throughput_share=round(rate_through / rate_direct, 3),
        peer_call_bytes=await peer_call_bytes(),
        ok=len(samples.through) == calls,
    )


class _LatencySamples:
    """Makes calls over two channels and records their latencies in seconds."""

    def __init__(self, direct_channel: Channel, through_channel: Channel) -> None:
        self.direct: list[float] = []
        self.through: list[float] = []
        self.reserved: list[float] = []
        self._direct_channel = direct_channel
        self._through_channel = through_channel

    async def measure(self, calls: int) -> None:
        """Make calls of both kinds alternately, one at a time."""
        for number in range(calls):
            self.direct.append(await _call_upstream(self._direct_channel, f'd{number}'))
            reserve_s, run_s = await _call_through_balancer(self._through_channel)
            self.reserved.append(reserve_s)
            self.through.append(run_s)

    async def rate(self, calls: int, *, through: bool) -> float:
        """Return the throughput in calls per second of concurrent workers."""
        started_at = perf_counter()
        share = calls // _CONCURRENCY
        await gather(*(self._repeat_calls(share, through=through) for _ in range(_CONCURRENCY)))
        return calls / (perf_counter() - started_at)

    def close(self) -> None:
        """Close both channels."""
        self._direct_channel.close()
        self._through_channel.close()

    async def _repeat_calls(self, calls: int, *, through: bool) -> None:
        for number in range(calls):
            if through:
                await _call_through_balancer(self._through_channel)
            else:
                await _call_upstream(self._direct_channel, f'r{number}')


def _ms(seconds: list[float], share: float) -> float:
    return round(quantile(seconds, share) * _MILLI, 3)


async def _call_upstream(channel: Channel, request: str) -> float:
    started_at = perf_counter()
    async with UpstreamStub(channel).Handle.open() as stream:
        work = proto.Work(id=request, service=REPLIES, body=b'x' * 100)
        await stream.send_message(work, end=True)
        async for reply in stream:
            if reply.HasField('end'):
                break
    return perf_counter() - started_at


async def _call_through_balancer(channel: Channel) -> tuple[float, float]:
    """Return the seconds to reserve a request id and the seconds to run the request."""
    stub = RequestsStub(channel)
    started_at = perf_counter()
    reserved = await stub.Reserve(proto.ReserveRequest(service=REPLIES, deadline_ms=5000))
    reserve_s = perf_counter() - started_at
    run_request = proto.RunRequest(
        id=reserved.id,
        service=REPLIES,
        deadline_ms=5000,
        body=b'x' * 100,
    )
    async with stub.Run.open() as stream:
        await stream.send_message(run_request, end=True)
        replies = [reply async for reply in stream]
    if not replies[-1].HasField('end'):
        raise RuntimeError(f'call not answered: {replies[-1]}')
    return reserve_s, perf_counter() - started_at - reserve_s
