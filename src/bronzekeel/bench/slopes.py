"""Measure how costs grow with size, with linear fits for docs/CAPACITY.md."""

from argparse import ArgumentParser, Namespace
from collections.abc import Callable, Sequence
from gc import collect
from pathlib import Path
from time import process_time
from tracemalloc import get_traced_memory, start, stop

from matplotlib.backends.backend_agg import FigureCanvasAgg
from matplotlib.figure import Figure
from msgspec import Struct
from msgspec.structs import replace

from bronzekeel.bench.base import Benchmark
from bronzekeel.bench.flow_trials import portal
from bronzekeel.bench.membership import bytes_per_second, fleet_of
from bronzekeel.core.catalogue import Catalogue, ServiceKind, ServiceSpec, UpstreamSpec
from bronzekeel.core.events import TextAccepted, Ticked
from bronzekeel.core.messages import HostEntry, JournalPart, Replicate
from bronzekeel.core.reducer import reduce
from bronzekeel.core.state import BalancerState
from bronzekeel.core.steering.keeper import adopt_targets
from bronzekeel.core.steering.owners import claim_orphans
from bronzekeel.core.steering.packs import pack_part, unpack_part
from bronzekeel.core.steering.records import RecordEntry, pack
from bronzekeel.core.steering.registers import FlowMap, FlowRecord
from bronzekeel.replay.traffic import FlowTraffic
from bronzekeel.wire import decode, encode

_MICRO = 1e6
_TARGETS_PER_SERVICE = 3
_BUCKETS_PER_SERVICE = 16


class Slope(Struct, frozen=True):
    """Measured points and their least-squares line.

    `residual` is the largest vertical distance of a point from the line, as a
    share of the largest measured value.
    """

    unit: str
    per: str
    sizes: list[float]
    measured: list[float]
    slope: float
    intercept: float
    residual: float


class SlopeReport(Struct, frozen=True):
    """All slopes by name."""

    slopes: dict[str, Slope]
    ok: bool


class SlopeBenchmark(Benchmark):
    """Measures every slope at three or more sizes."""

    name = 'slopes'
    summary = 'growth of state, messages and processor time with size, for docs/CAPACITY.md'

    def add_options(self, parser: ArgumentParser) -> None:
        """Add the file of a plot."""
        parser.add_argument('--png', type=Path, metavar='FILE')

    def run(self, options: Namespace) -> SlopeReport:
        """Measure and fit all slopes, and plot them on request."""
        slopes = {}
        for name, unit, per, sizes, measure in _MEASURES:
            measured = [measure(size) for size in sizes]
            slopes[name] = fit(unit, per, sizes, measured)
        if options.png is not None:
            _plot(slopes, options.png)
        return SlopeReport(slopes, all(item.residual * 4 < 1 for item in slopes.values()))


def fit(unit: str, per: str, sizes: Sequence[float], measured: list[float]) -> Slope:
    """Return the least-squares line through the measured points."""
    mean_size = sum(sizes) / len(sizes)
    mean = sum(measured) / len(measured)
    size_variance = sum((size - mean_size) ** 2 for size in sizes)
    pairs = list(zip(sizes, measured, strict=True))
    slope = sum((size - mean_size) * (figure - mean) for size, figure in pairs) / size_variance
    intercept = mean - slope * mean_size
    max_error = max(abs(figure - slope * size - intercept) for size, figure in pairs)
    return Slope(
        unit,
        per,
        list(sizes),
        [round(figure, 3) for figure in measured],
        round(slope, 5),
        round(intercept, 3),
        round(max_error / max(measured), 4),
    )


def heartbeat_bytes(members: int) -> float:
    """Return the bytes per second that an idle balancer sends in a fleet of `members`."""
    return bytes_per_second(fleet_of(members, 1), 5)


def heartbeat_core(members: int) -> float:
    """Return the processor microseconds per second of an idle balancer among `members`."""
    fleet = fleet_of(members, 1)
    started_s = process_time()
    fleet.run(5)
    return (process_time() - started_s) / 5 / members * _MICRO


def _traced(build: Callable[[], object]) -> float:
    """Return the bytes allocated for the object that `build` returns."""
    allocated: list[object] = []
    collect()
    start()
    allocated.append(build())
    collect()
    size = get_traced_memory()[0]
    stop()
    allocated.clear()
    return size


def _catalogue(services: int) -> Catalogue:
    specs = {}
    for number in range(services):
        upstreams = tuple(
            UpstreamSpec(f'10.{number // 250}.{number % 250}.{target}:5555', 'dc-a')
            for target in range(_TARGETS_PER_SERVICE)
        )
        name = f'service-{number}'
        specs[name] = ServiceSpec(
            name,
            ServiceKind.FLOW,
            f'198.18.{number // 250}.{number % 250}',
            443,
            upstreams,
            buckets=_BUCKETS_PER_SERVICE,
        )
    return Catalogue(1, specs)


def _keeper_state(services: int) -> BalancerState:
    """Return the state of a single balancer that keeps all buckets of `services`."""
    state = BalancerState.fresh(HostEntry('a1', 'dc-a', '127.0.0.1', 1, 2), 1, 0)
    reduce(state, TextAccepted(_catalogue(services), from_platform=True), 1)
    claim_orphans(state.steering, state.members, ['a1'], 10)
    adopt_targets(state.steering, 10)
    return state


def state_bytes(services: int) -> float:
    """Return the bytes of the registers and the text of `services`."""
    return _traced(lambda: _keeper_state(services))


def tick_core(services: int) -> float:
    """Return the processor microseconds of one tick with `services`."""
    state = _keeper_state(services)
    reduce(state, Ticked(), 20)
    started_s = process_time()
    for number in range(10):
        reduce(state, Ticked(), 20 + number / 4)
    return (process_time() - started_s) / 10 * _MICRO


def text_core(services: int) -> float:
    """Return the processor microseconds to adopt a text of `services` that changes one."""
    state = _keeper_state(services)
    changed = _catalogue(services).services_by_name
    first = changed['service-0']
    changed['service-0'] = replace(first, upstreams=first.upstreams[1:])
    next_catalogue = Catalogue(2, changed)
    started_s = process_time()
    reduce(state, TextAccepted(next_catalogue, from_platform=True), 30)
    return (process_time() - started_s) * _MICRO


def exception_bytes(flows: int) -> float:
    """Return the bytes of a set of `flows` published exceptions."""
    return _traced(
        lambda: FlowMap((number * 7919, f'10.0.0.{number % 7}:5555') for number in range(flows)),
    )


def record_bytes(flows: int) -> float:
    """Return the bytes of `flows` flow records at a keeper."""
    upstream = '10.0.0.1:5555'
    return _traced(
        lambda: {number * 7919: FlowRecord(upstream, 1.5, 2.5) for number in range(flows)},
    )


def flow_state_bytes(flows: int) -> float:
    """Return the bytes of the steering state for `flows` in 512 buckets.

    This is the worst case: one bucket in eight is unsettled, and every flow of
    the other buckets is an exception.
    """
    return _traced(lambda: [_bucket_state(flows // 512, bucket) for bucket in range(512)])


def _bucket_state(flows: int, bucket: int) -> FlowMap | dict[int, FlowRecord]:
    fingerprints = range(bucket << 30, (bucket << 30) + flows * 7919, 7919)
    if bucket % 8:
        return FlowMap((fingerprint, '10.0.0.1:5555') for fingerprint in fingerprints)
    return {fingerprint: FlowRecord('10.0.0.1:5555', 1.5, 2.5) for fingerprint in fingerprints}


def replica_wire_bytes(flows: int) -> float:
    """Return the bytes on the wire to replicate `flows` new records to a standby."""
    entries = tuple(
        RecordEntry('summons-portal', number % 512, number * 7919, '10.0.0.1:5555')
        for number in range(flows)
    )
    return len(encode(Replicate('a1', pack(entries))))


def copy_bytes(rate: int) -> float:
    """Return the bytes of control messages per second that a balancer sends.

    Each balancer receives `rate` new flows per second, and about one bucket in
    seven is unsettled, as after an upstream has joined.
    """
    traffic = FlowTraffic(portal(range(8)))
    fleet = fleet_of(9, 1)
    fleet.sink = traffic
    traffic.fleet = fleet
    spec = portal(range(8))
    fleet.submit(Catalogue(2, {spec.name: spec}))
    fleet.run(4)
    traffic.open(rate * 9 * 4, 4, 0, 1)
    return bytes_per_second(fleet, 4)


def journal_core(buckets: int) -> float:
    """Return the processor microseconds to decode and apply `buckets` register entries."""
    fleet = fleet_of(9, 1)
    steering = fleet.running[0].state.steering
    table = steering.tables_by_name['summons-portal']
    known = [register for register in table.registers if register is not None]
    listed = tuple(known[number % len(known)].entry() for number in range(buckets))
    raw = encode(pack_part('b1', 1, 0, 1, (), listed))
    started_s = process_time()
    for _ in range(5):
        part = decode(raw)
        if isinstance(part, JournalPart):
            for entry in unpack_part(part):
                register = table.registers[entry.bucket]
                if register is not None:
                    register.apply(entry)
    return (process_time() - started_s) / 5 * _MICRO


_Measure = tuple[str, str, str, tuple[int, ...], Callable[[int], float]]

_MEASURES: tuple[_Measure, ...] = (
    ('heartbeat_bytes', 'bytes/s', 'member', (9, 18, 30, 45), heartbeat_bytes),
    ('heartbeat_core', 'us/s', 'member', (9, 18, 30, 45), heartbeat_core),
    ('state_bytes', 'bytes', 'service', (50, 200, 600), state_bytes),
    ('tick_core', 'us', 'service', (50, 200, 600), tick_core),
    ('text_core', 'us', 'service', (50, 200, 600), text_core),
    ('exception_bytes', 'bytes', 'flow', (2000, 20000, 80000), exception_bytes),
    ('record_bytes', 'bytes', 'flow', (2000, 20000, 80000), record_bytes),
    ('flow_state_bytes', 'bytes', 'flow', (50000, 100000, 200000), flow_state_bytes),
    ('replica_wire_bytes', 'bytes', 'flow', (50, 500, 2000), replica_wire_bytes),
    ('copy_bytes', 'bytes/s', 'new flow/s', (250, 500, 1000, 2000), copy_bytes),
    ('journal_core', 'us', 'register', (200, 1000, 4000), journal_core),
)


def _plot(slopes: dict[str, Slope], path: Path) -> None:
    """Plot the measured points and fitted lines, one panel per slope."""
    figure = Figure(figsize=(12, 12), layout='constrained')
    FigureCanvasAgg(figure)
    panels = figure.subplots(4, 3).flatten()
    for panel, (name, item) in zip(panels, slopes.items(), strict=False):
        panel.plot(item.sizes, item.measured, 'o')
        panel.plot(
            item.sizes,
            [item.slope * size + item.intercept for size in item.sizes],
            '-',
        )
        panel.set_title(f'{name}: {item.slope:.4g} {item.unit} a {item.per}')
        panel.set_xlabel(item.per)
        panel.set_ylabel(item.unit)
    for panel in panels[len(slopes) :]:
        panel.set_axis_off()
    figure.savefig(path, dpi=100)
