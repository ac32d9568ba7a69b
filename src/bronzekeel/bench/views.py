"""Measure memory and processor time of texts, entries, flows and heartbeats."""

from argparse import Namespace
from collections.abc import Callable
from time import process_time
from tracemalloc import get_traced_memory, start, stop

from msgspec import Struct

from bronzekeel.bench.base import Benchmark
from bronzekeel.core.routing.connection_ids import route_tag_of
from bronzekeel.core.routing.directory import Directory
from bronzekeel.core.routing.flows import FlowTable
from bronzekeel.core.routing.heartbeats import MAX_RATES
from bronzekeel.core.routing.messages import FlowShare, Heartbeat, PeerAddress, View
from bronzekeel.core.routing.model import Route, RoutingText, ServiceShare, Upstream, UpstreamEntry
from bronzekeel.entry.peer_messages import (
    decode_heartbeat,
    decode_view,
    encode_heartbeat,
    encode_view,
)


_SIZES = (1000, 4600, 9200)
_PEERS = 6
_LOADS = 24
_REPEATS = 2000
_RUNS = 5
_MICRO = 1_000_000
_MILLI = 1000


class ViewReport(Struct, frozen=True):
    """Costs by size, and those of a heartbeat of maximum size."""

    sizes: tuple[int, ...]
    bytes_a_flow: list[float]
    bytes_a_route: list[float]
    bytes_an_entry: list[float]
    text_bytes: list[int]
    text_read_ms: list[float]
    heartbeat_bytes: int
    heartbeat_both_ways_us: float
    ok: bool


class ViewBenchmark(Benchmark):
    """Builds large states and decodes them from the wire format."""

    name = 'views'
    summary = 'memory and processor time of text, entries, flows and heartbeats'

    def run(self, options: Namespace) -> ViewReport:
        """Measure every size."""
        texts = [encode_view(_view(size)) for size in _SIZES]
        raw = encode_heartbeat(_heartbeat())
        return ViewReport(
            sizes=_SIZES,
            bytes_a_flow=[_bytes_per_item(_flows, size) for size in _SIZES],
            bytes_a_route=[
                round(_allocated_bytes(decode_view, body) / size, 1)
                for size, body in zip(_SIZES, texts, strict=True)
            ],
            bytes_an_entry=[_bytes_per_item(_directory, size) for size in _SIZES],
            text_bytes=[len(body) for body in texts],
            text_read_ms=[round(_min_processor_s(decode_view, body) * _MILLI, 1) for body in texts],
            heartbeat_bytes=len(raw),
            heartbeat_both_ways_us=round(_heartbeat_s() * _MICRO, 1),
            ok=True,
        )


def _bytes_per_item(build: Callable[[int], object], size: int) -> float:
    return round(_allocated_bytes(build, size) / size, 1)


def _allocated_bytes(build: Callable[..., object], argument: object) -> int:
    """Return the bytes allocated for the object that `build` returns."""
    start()
    before, _ = get_traced_memory()
    built = build(argument)
    after, _ = get_traced_memory()
    stop()
    return 0 if built is None else after - before


def _min_processor_s(call: Callable[..., object], argument: object) -> float:
    """Return the lowest processor time of several calls, in seconds."""
    times = []
    for _ in range(_RUNS):
        started_at = process_time()
        call(argument)
        times.append(process_time() - started_at)
    return min(times)


def _heartbeat_s() -> float:
    heartbeat = _heartbeat()
    started_at = process_time()
    for _ in range(_REPEATS):
        decode_heartbeat(encode_heartbeat(heartbeat))
    return (process_time() - started_at) / _REPEATS


def _heartbeat() -> Heartbeat:
    peers = [PeerAddress(f'edge-{index}', 'dc-a', ('10.0.0.1', 8166)) for index in range(_PEERS)]
    loads = {number << 20: 3 for number in range(1, _LOADS + 1)}
    rates = {f'service-{index}': float(_MICRO) for index in range(MAX_RATES)}
    shares = tuple(FlowShare(service, 'dc-b', 0.125) for service in rates)
    return Heartbeat(peers[0], _MICRO, _MICRO, loads, tuple(peers), rates, shares)


def _view(size: int) -> View:
    routes = {}
    for number in range(size):
        key = number.to_bytes(6, 'big')
        shares = (ServiceShare(f'service-{number // 3}', 1),)
        routes[key] = Route(key, shares, route_tag_of(key))
    return View(RoutingText(1, 1, routes, 15), 1, [], [], 0)


def _flows(size: int) -> FlowTable:
    table = FlowTable()
    upstream = Upstream(_entry(1), 0)
    for number in range(size):
        table.place(number.to_bytes(12, 'big'), upstream, 0)
    return table


def _directory(size: int) -> Directory:
    directory = Directory()
    for number in range(size):
        directory.apply(_entry(number), 0)
    return directory


def _entry(number: int) -> UpstreamEntry:
    return UpstreamEntry(
        name=f'i-{number}',
        number=number,
        service=f'service-{number // 3}',
        address=(f'10.0.{number >> 8}.{number & 255}', 80),
        data_centre='dc-a',
        slots=3,
        draining=False,
        cold_s=0,
        revision=number + 1,
    )
