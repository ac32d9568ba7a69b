"""Wire sockets and decisions into one running balancer."""

from collections.abc import Callable, Mapping
from gc import enable, freeze
from os import stat
from signal import SIGHUP, SIGINT, SIGTERM, signal
from socket import socket
from time import monotonic, process_time
from types import FrameType, MappingProxyType

from bronzekeel.core.log_numbers import LogNumber
from bronzekeel.core.routing.effects import (
    DropWaiting,
    Effect,
    End,
    FetchView,
    ReadPage,
    SendHeartbeat,
    WatchChanges,
    WriteLine,
)
from bronzekeel.core.routing.events import (
    CallFailed,
    Event,
    Paused,
    ProbeAnswered,
    SettingsChanged,
    Started,
    StopAsked,
    Ticked,
)
from bronzekeel.core.routing.link_queue import queue_before
from bronzekeel.core.routing.messages import Known, PeerAddress, View
from bronzekeel.core.routing.placement import EqualWork, LeastBusy, Placement
from bronzekeel.core.routing.reducer import TICK_S, reduce
from bronzekeel.core.routing.sharing import view_since
from bronzekeel.core.routing.steering import ConnectionIdSteering
from bronzekeel.core.store_waits import ANSWER_TIMEOUT_S
from bronzekeel.entry.http_client import Call, HttpConnection
from bronzekeel.entry.http_server import (
    NOT_FOUND,
    OK,
    UNAVAILABLE,
    Answer,
    HttpServer,
    bound_stream,
)
from bronzekeel.entry.decision_log import LineDecisionLog
from bronzekeel.entry.lines import LineLog
from bronzekeel.entry.loop import Loop
from bronzekeel.entry.metrics import metrics_of
from bronzekeel.entry.packet_port import bound_packet_port
from bronzekeel.entry.packets import PacketSocket
from bronzekeel.entry.peers import PeerSockets
from bronzekeel.entry.ports import PacketFormat, StoreCalls
from bronzekeel.entry.settings import (
    BROKEN_FLOWS,
    IMBALANCE,
    EntrySettings,
    SettingsError,
    read_entry_settings,
)
from bronzekeel.entry.starting_state import starting_state


_STDOUT = 1
_METRICS_PATH = '/metrics'

_PLACEMENT_BY_WEIGHS: Mapping[str, type[Placement]] = MappingProxyType(
    {BROKEN_FLOWS: LeastBusy, IMBALANCE: EqualWork},
)

#: Ticks between two looks at whether the settings file has changed.
_SETTINGS_TICKS = 10


class EntryBalancer:
    """Own the state of one balancer and everything that touches it."""

    def __init__(
        self,
        settings: EntrySettings,
        packet_format: PacketFormat,
        store_calls: StoreCalls,
        stream: int = _STDOUT,
        packet_port: socket | None = None,
    ) -> None:
        """Bind all sockets; nothing is asked of the store before ``start``.

        A `packet_port` that was bound before is used.
        """
        self.loop = Loop()
        me = PeerAddress(settings.name, settings.data_centre, settings.peers)
        self.state = starting_state(me, settings)
        self._readiness_path = settings.readiness_path
        self._calls = store_calls
        self._lines = LineLog(settings.name, stream)
        steering = ConnectionIdSteering(
            self.state,
            _PLACEMENT_BY_WEIGHS[settings.weighs](settings.data_centre, self.state.balance),
            LineDecisionLog(self._lines, self.state),
        )
        self.packets = PacketSocket(
            self.loop,
            packet_port or bound_packet_port(settings.packets),
            packet_format,
            steering,
            self._note_bad_packet,
            link=queue_before(settings.link_mbps),
        )
        self.readiness = HttpServer(
            self.loop,
            bound_stream(settings.readiness),
            self._answer_probe,
        )
        self.peers = PeerSockets(
            self.loop,
            settings.peers,
            self.take,
            self._view_since,
            self._note_bad_packet,
            {_METRICS_PATH: self._metrics},
        )
        me.address = settings.peers_advertised or (settings.peers[0], self.peers.port)
        self._connection_by_collection = {
            collection.value: HttpConnection(self.loop, settings.store)
            for collection in self.state.follower_by_collection
        }
        self._next_tick_at = monotonic()
        self.loop.on_pause = self._note_pause
        self._handlers: dict[type[Effect], Callable[..., None]] = {
            WriteLine: self._write_line,
            ReadPage: self._read_page,
            WatchChanges: self._watch,
            SendHeartbeat: lambda effect, now: self.peers.send(effect),
            FetchView: lambda effect, now: self.peers.fetch(effect),
            DropWaiting: lambda effect, now: self.packets.drop_waiting(),
            End: lambda effect, now: self.loop.stop(),
        }

    @property
    def handled_effects(self) -> frozenset[type[Effect]]:
        """Kinds of effects that are carried out."""
        return frozenset(self._handlers)

    @property
    def store_calls(self) -> int:
        """Number of calls made to the store."""
        connections = self._connection_by_collection.values()
        return sum(connection.calls for connection in connections)

    def start(self) -> None:
        """Ask the store for everything and begin to tick."""
        self._write(
            LogNumber.STARTED,
            {'packets': self.packets.port, 'processor_s': round(process_time(), 4)},
        )
        self.take(Started())
        self._tick()

    def take(self, event: Event) -> None:
        """Reduce one event; a fault in one must not end the balancer."""
        now = monotonic()
        try:
            effects = reduce(self.state, event, now)
        except Exception as fault:
            self._write(
                LogNumber.INTERNAL_FAULT,
                {'taken': type(event).__name__, 'problem': repr(fault)},
            )
            return
        for effect in effects:
            self._handlers[type(effect)](effect, now)
        self.packets.release_held()
        self.packets.resume()

    def close(self) -> None:
        """Free all sockets."""
        self._lines.flush()
        self.packets.close()
        self.readiness.close()
        self.peers.close()
        for connection in self._connection_by_collection.values():
            connection.close()
        self.loop.close()

    def _write_line(self, effect: WriteLine, now: float) -> None:
        self._lines.write(effect.number, effect.fields, now)

    def _read_page(self, effect: ReadPage, now: float) -> None:
        target = self._calls.page_target(effect)
        self._call_store(effect.collection, target, now + ANSWER_TIMEOUT_S, self._calls.read_page)

    def _watch(self, effect: WatchChanges, now: float) -> None:
        target = self._calls.watch_target(effect)
        until = now + effect.wait_s + ANSWER_TIMEOUT_S
        self._call_store(effect.collection, target, until, self._calls.read_changes)

    def _call_store(
        self,
        collection: str,
        target: str,
        until: float,
        read: Callable[[str, int, bytes, Mapping[str, str]], Event],
    ) -> None:
        """Make a call whose answer is taken as the event that `read` makes of it."""
        self._connection_by_collection[collection].ask(
            Call(
                target,
                until,
                lambda reply: self.take(
                    read(collection, reply.status, reply.body, reply.header_by_name),
                ),
                lambda problem: self.take(CallFailed(collection, problem)),
            ),
        )

    def _note_pause(self, paused_s: float) -> None:
        self.take(Paused(paused_s))

    def _tick(self) -> None:
        self.state.stopping.last_packet_at = self.packets.last_packet_at
        self.take(Ticked())
        self._lines.flush()
        self._next_tick_at = max(self._next_tick_at + TICK_S, monotonic())
        self.loop.call_at(self._next_tick_at, self._tick)

    def _answer_probe(self, target: str) -> Answer:
        if target != self._readiness_path:
            return Answer(NOT_FOUND)
        ready = self.state.ready and not self.state.stopping.asked
        self.take(ProbeAnswered(ready=ready))
        return Answer(OK if ready else UNAVAILABLE)

    def _metrics(self) -> bytes:
        return metrics_of(
            self.state,
            monotonic(),
            self.packets.count_by_fate,
            self.store_calls,
            self._lines.left_out,
        )

    def _view_since(self, known: Known) -> View:
        return view_since(self.state, known, monotonic())

    def _note_bad_packet(self, kind: str, raw: bytes) -> None:
        self._write(LogNumber.PACKET_BAD, {'kind': kind, 'bytes': len(raw)})

    def _write(self, number: LogNumber, fields: dict[str, object]) -> None:
        self._lines.write(number, fields, monotonic())


class _Signals:
    """Turn signals and a changed settings file into events."""

    def __init__(self, balancer: EntryBalancer, path: str) -> None:
        self._balancer = balancer
        self._path = path
        self._stop_asked = False
        self._reload_asked = False
        self._ticks = 0
        self._seen = _stamp(path)
        for number in (SIGTERM, SIGINT):
            signal(number, self._on_stop)
        signal(SIGHUP, self._on_reload)

    def look(self) -> None:
        """Take what has come since the last look; look again a tick later."""
        self._balancer.loop.call_at(monotonic() + TICK_S, self.look)
        if self._stop_asked:
            self._stop_asked = False
            self._balancer.take(StopAsked())
        self._ticks += 1
        if self._ticks % _SETTINGS_TICKS == 0 and _stamp(self._path) != self._seen:
            self._reload_asked = True
        if self._reload_asked:
            self._reload_asked = False
            self._reload()

    def _reload(self) -> None:
        self._seen = _stamp(self._path)
        bound_s = self._balancer.state.stopping.within_s
        try:
            settings = read_entry_settings(self._path)
        except SettingsError as fault:
            self._balancer.take(SettingsChanged(bound_s, str(fault)))
            return
        self._balancer.take(SettingsChanged(settings.stop_within_s))

    def _on_stop(self, number: int, frame: FrameType | None) -> None:
        self._stop_asked = True

    def _on_reload(self, number: int, frame: FrameType | None) -> None:
        self._reload_asked = True


def _stamp(path: str) -> tuple[int, int]:
    """Return what changes when a file is written; zeroes while it cannot be read."""
    try:
        found = stat(path)
    except OSError:
        return 0, 0
    return found.st_mtime_ns, found.st_size


def serve(
    path: str,
    settings: EntrySettings,
    packet_port: socket,
    packet_format: PacketFormat,
    store_calls: StoreCalls,
) -> None:
    """Run one balancer with the settings read from `path` until it is told to stop.

    What exists after the start stays: it is left out of garbage collections.
    Raises OSError when a port is taken.
    """
    balancer = EntryBalancer(settings, packet_format, store_calls, packet_port=packet_port)
    signals = _Signals(balancer, path)
    balancer.start()
    signals.look()
    freeze()
    enable()
    balancer.loop.run()
    balancer.close()
