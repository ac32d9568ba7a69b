"""Compare the packet paths with a minimal loop of receive, hash and send."""

from argparse import ArgumentParser, Namespace
from collections.abc import Callable
from socket import AF_INET, SO_RCVBUF, SOCK_DGRAM, SOL_SOCKET, socket
from statistics import median
from time import perf_counter

from msgspec import Struct
from reactivex.subject import Subject
from xxhash import xxh3_64_intdigest

from bronzekeel.adapters.codec import read_packet
from bronzekeel.adapters.packets import PacketSocket
from bronzekeel.bench.base import Benchmark
from bronzekeel.bench.connection_id_path import ConnectionIdPath
from bronzekeel.bench.flow_trials import bench_hosts, portal
from bronzekeel.core.catalogue import Catalogue
from bronzekeel.core.effects import Effect
from bronzekeel.core.events import Packet
from bronzekeel.core.hashing import service_key
from bronzekeel.core.reducer import packet_verdict
from bronzekeel.core.state import BalancerState
from bronzekeel.core.steering.by_keepers import KeeperSteering
from bronzekeel.core.steering.keeper import announce
from bronzekeel.core.steering.registers import Stage
from bronzekeel.replay.fleet import Fleet
from bronzekeel.standins.packets import ACK, Segment, build

_BATCH = 64
_RECEIVE_BUFFER_BYTES = 4 * 1024 * 1024
_LOOPBACK = '127.0.0.1'
_MIN_SETTLED_SHARE = 0.6
_MIN_UNSETTLED_SHARE = 0.35
_MIN_CONNECTION_ID_SHARE = 0.7
_SERVICE = ('198.51.100.10', 443)


class ForwardReport(Struct, frozen=True):
    """Time per packet in microseconds, and the floor's time as a share of each path's."""

    rounds: int
    floor_us: float
    settled_us: float
    unsettled_us: float
    handed_us: float
    connection_id_us: float
    parse_us: float
    verdict_us: float
    observable_us: float
    floor_share: dict[str, float]
    ok: bool


class ForwardBenchmark(Benchmark):
    """Times batches of packets through each path, interleaved."""

    name = 'forward'
    summary = 'the packet path on loopback compared with a bare receive-hash-send loop'

    def add_options(self, parser: ArgumentParser) -> None:
        """Add the number of rounds."""
        parser.add_argument('--rounds', type=int, default=600)

    def run(self, options: Namespace) -> ForwardReport:
        """Time all paths."""
        packet_paths = _PacketPaths()
        try:
            return packet_paths.measure(options.rounds)
        except OSError:
            packet_paths.close()
            raise


class _PacketPaths:
    """Sockets and balancer state for each measured packet path."""

    def __init__(self) -> None:
        self._sink = _udp()
        self._source = _udp()
        self._floor_in = _udp()
        self._state = _ready_state(self._sink.getsockname())
        self._steering = KeeperSteering(self._state, _discard_effect)
        self._path = PacketSocket(_LOOPBACK, 0, self._handed_address)
        self._path.steer_by(self._steering.decide)
        self._connection_id_path = ConnectionIdPath(self._sink.getsockname())
        self._settled = self._packets(Stage.SETTLED)
        self._acting = self._packets(Stage.ACTING)
        self._handed = self._packets(Stage.ANNOUNCED)

    def measure(self, rounds: int) -> ForwardReport:
        """Time `rounds` batches of each path, alternating between the paths."""
        times: dict[str, list[float]] = {
            'floor': [],
            'settled': [],
            'unsettled': [],
            'handed': [],
            'connection_id': [],
        }
        paths = (('settled', self._settled), ('unsettled', self._acting), ('handed', self._handed))
        for _ in range(rounds):
            times['floor'].append(
                self._time(self._floor_batch, self._floor_in.getsockname()[1], self._settled)
            )
            for path, packets in paths:
                times[path].append(self._time(self._path.receive_batch, self._path.port, packets))
            times['connection_id'].append(
                self._time(
                    self._connection_id_path.receive_batch,
                    self._connection_id_path.port,
                    self._connection_id_path.packets,
                ),
            )
        self.close()
        us_by_path = {
            name: median(batch_times) / _BATCH * 1e6 for name, batch_times in times.items()
        }
        shares = {
            name: round(us_by_path['floor'] / us_by_path[name], 3)
            for name in ('settled', 'unsettled', 'handed', 'connection_id')
        }
        return ForwardReport(
            rounds=rounds,
            floor_us=round(us_by_path['floor'], 3),
            settled_us=round(us_by_path['settled'], 3),
            unsettled_us=round(us_by_path['unsettled'], 3),
            handed_us=round(us_by_path['handed'], 3),
            connection_id_us=round(us_by_path['connection_id'], 3),
            parse_us=round(self._time_parse(), 3),
            verdict_us=round(self._time_verdict(), 3),
            observable_us=round(_time_observable(), 3),
            floor_share=shares,
            ok=_meets_targets(shares),
        )

    def close(self) -> None:
        """Close the sockets."""
        for open_socket in (self._sink, self._source, self._floor_in):
            open_socket.close()
        self._path.close()
        self._connection_id_path.close()

    def _time(
        self,
        receive: Callable[[], None],
        port: int,
        packets: list[bytes],
    ) -> float:
        """Send a batch to `port`, time `receive` in seconds, and empty the sink."""
        for raw in packets:
            self._source.sendto(raw, (_LOOPBACK, port))
        started_at = perf_counter()
        receive()
        elapsed_s = perf_counter() - started_at
        for _ in packets:
            self._sink.recv(2048)
        return elapsed_s

    def _floor_batch(self) -> None:
        target = self._sink.getsockname()
        for _ in range(_BATCH):
            raw = self._floor_in.recv(65535)
            xxh3_64_intdigest(raw[12:20] + raw[20:24])
            self._floor_in.sendto(raw, target)

    def _handed_address(self, name: str) -> tuple[str, int]:
        return self._sink.getsockname()

    def _packets(self, stage: Stage) -> list[bytes]:
        """Return a batch of packets whose buckets are at `stage`.

        ANNOUNCED selects unsettled buckets of other keepers, whose packets are handed over.
        """
        steering = self._state.steering
        table = steering.tables_by_key[service_key(*_SERVICE)]
        found: list[bytes] = []
        number = 0
        while len(found) < _BATCH:
            number += 1
            source = f'127.2.{number // 250 % 250}.{number % 250}'
            raw = build(Segment(source, 1024 + number % 60000, *_SERVICE, ACK, b'x' * 64))
            packet = read_packet(raw)
            if not isinstance(packet, Packet):
                continue
            register = table.registers[packet.hashed & table.mask]
            if register is not None and register.stage is stage:
                found.append(raw)
        return found

    def _time_parse(self) -> float:
        started_at = perf_counter()
        for _ in range(200):
            for raw in self._settled:
                read_packet(raw)
        return (perf_counter() - started_at) / 200 / _BATCH * 1e6

    def _time_verdict(self) -> float:
        packets = list(map(read_packet, self._settled))
        started_at = perf_counter()
        for _ in range(200):
            for packet in packets:
                if isinstance(packet, Packet):
                    packet_verdict(self._state, packet, 0)
        return (perf_counter() - started_at) / 200 / _BATCH * 1e6


def _time_observable() -> float:
    """Return the microseconds that one element takes through a plain ``Subject``."""
    subject: Subject[int] = Subject()
    subject.subscribe(lambda element: None)
    started_at = perf_counter()
    for element in range(50_000):
        subject.on_next(element)
    return (perf_counter() - started_at) / 50_000 * 1e6


def _meets_targets(shares: dict[str, float]) -> bool:
    if shares['settled'] < _MIN_SETTLED_SHARE or shares['unsettled'] < _MIN_UNSETTLED_SHARE:
        return False
    return shares['connection_id'] >= _MIN_CONNECTION_ID_SHARE


def _discard_effect(effect: Effect) -> None:
    """Discard effects other than verdicts, which are not part of the measurement."""


def _udp() -> socket:
    udp_socket = socket(AF_INET, SOCK_DGRAM)
    udp_socket.setsockopt(SOL_SOCKET, SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
    udp_socket.bind((_LOOPBACK, 0))
    return udp_socket


def _ready_state(sink: tuple[str, int]) -> BalancerState:
    """Return the state of a ready balancer in a fleet of nine, with the sink as every upstream.

    Of the odd buckets, its own are at stage ACTING and those of other keepers at
    ANNOUNCED; the even buckets are settled.
    """
    fleet = Fleet(bench_hosts(), 1)
    spec = portal(range(7))
    fleet.submit(Catalogue(1, {spec.name: spec}))
    fleet.run(8)
    state = fleet.running[0].state
    steering = state.steering
    table = steering.tables_by_key[service_key(*_SERVICE)]
    endpoint = f'{sink[0]}:{sink[1]}'
    for register in table.registers:
        if register is None:
            continue
        register.base = endpoint
        register.current = endpoint
        if register.bucket % 2 == 0:
            continue
        if steering.owns(register.shard):
            announce(steering, table, register, fleet.now)
            register.stage = Stage.ACTING
        else:
            register.stage = Stage.ANNOUNCED
    steering.self_valid_until = float('inf')
    for link in steering.links_by_host.values():
        link.lease_until = float('inf')
    for member in state.members.by_name.values():
        member.contact_until = float('inf')
    return state
