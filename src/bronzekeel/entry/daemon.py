"""Balancer daemon: connects sockets, timers and signals to the reducer."""

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
from bronzekeel.core.routing.link_queue import link_queue_for
from bronzekeel.core.routing.messages import KnownVersions, PeerAddress, View
from bronzekeel.core.routing.peer_exchange import view_since
from bronzekeel.core.routing.placement import EqualWork, LeastBusy, Placement
from bronzekeel.core.routing.reducer import TICK_S, reduce
from bronzekeel.core.routing.steering import ConnectionIdSteering
from bronzekeel.core.store_waits import ANSWER_TIMEOUT_S
from bronzekeel.entry.decision_log import LineDecisionLog
from bronzekeel.entry.http_client import Call, HttpConnection
from bronzekeel.entry.http_server import (
    NOT_FOUND,
    OK,
    UNAVAILABLE,
    Answer,
    HttpServer,
    bind_stream,
)
from bronzekeel.entry.initial_state import initial_state
from bronzekeel.entry.lines import LineLog
from bronzekeel.entry.loop import Loop
from bronzekeel.entry.metrics import metrics_of
from bronzekeel.entry.packet_port import bind_packet_port
from bronzekeel.entry.packets import PacketSocket
from bronzekeel.entry.peers import PeerSockets
from bronzekeel.entry.ports import PacketFormat, StoreFormat
from bronzekeel.entry.settings import (
    BROKEN_FLOWS,
    IMBALANCE,
    EntrySettings,
    SettingsError,
    read_entry_settings,
)


_STDOUT = 1
_METRICS_PATH = '/metrics'

_PLACEMENT_BY_WEIGHS: Mapping[str, type[Placement]] = MappingProxyType(
    {BROKEN_FLOWS: LeastBusy, IMBALANCE: EqualWork},
)

#: Ticks between two checks of the settings file for changes.
_SETTINGS_CHECK_TICKS = 10


class EntryBalancer:
    """One balancer: its state, its sockets, and the loop that runs them."""

    def __init__(
        self,
        settings: EntrySettings,
        packet_format: PacketFormat,
        store_format: StoreFormat,
        stream: int = _STDOUT,
        packet_port: socket | None = None,
    ) -> None:
        """Bind all sockets.  Calls to the store begin with ``start``.

        Log lines go to the file descriptor `stream`.  A `packet_port` that is already bound is
        used in place of a new socket.  Raises OSError if a port is taken.
        """
        self.loop = Loop()
        me = PeerAddress(settings.name, settings.data_centre, settings.peers)
        self.state = initial_state(me, settings)
        self._readiness_path = settings.readiness_path
        self._store_format = store_format
        self._lines = LineLog(settings.name, stream)
        steering = ConnectionIdSteering(
            self.state,
            _PLACEMENT_BY_WEIGHS[settings.weighs](settings.data_centre, self.state.balance),
            LineDecisionLog(self._lines, self.state),
        )
        self.packets = PacketSocket(
            self.loop,
            packet_port or bind_packet_port(settings.packets),
            packet_format,
            steering,
            self._log_bad_packet,
            link=link_queue_for(settings.link_mbps),
        )
        self.readiness = HttpServer(
            self.loop,
            bind_stream(settings.readiness),
            self._handle_probe,
        )
        self.peers = PeerSockets(
            self.loop,
            settings.peers,
            self.handle,
            self._view_since,
            self._log_bad_packet,
            {_METRICS_PATH: self._render_metrics},
        )
        me.address = settings.peers_advertised or (settings.peers[0], self.peers.port)
        self._connection_by_collection = {
            collection.value: HttpConnection(self.loop, settings.store)
            for collection in self.state.follower_by_collection
        }
        self._next_tick_at = monotonic()
        self.loop.on_pause = self._handle_pause
        self._handlers: dict[type[Effect], Callable[..., None]] = {
            WriteLine: self._log_line,
            ReadPage: self._read_page,
            WatchChanges: self._watch,
            SendHeartbeat: lambda effect, now: self.peers.send(effect),
            FetchView: lambda effect, now: self.peers.fetch(effect),
            DropWaiting: lambda effect, now: self.packets.drop_waiting(),
            End: lambda effect, now: self.loop.stop(),
        }

    @property
    def handled_effects(self) -> frozenset[type[Effect]]:
        """Classes of the effects that have a handler."""
        return frozenset(self._handlers)

    @property
    def store_calls(self) -> int:
        """Number of calls made to the store since the start."""
        connections = self._connection_by_collection.values()
        return sum(connection.calls for connection in connections)

    def start(self) -> None:
        """Start reading the store, and start the periodic tick."""
        self._log(
            LogNumber.STARTED,
            {'packets': self.packets.port, 'processor_s': round(process_time(), 4)},
        )
        self.handle(Started())
        self._tick()

    def handle(self, event: Event) -> None:
        """Apply an event to the state and carry out the effects.

        An exception in the reducer is logged and must not stop the balancer.
        """
        now = monotonic()
        try:
            effects = reduce(self.state, event, now)
        except Exception as error:
            self._log(
                LogNumber.INTERNAL_FAULT,
                {'taken': type(event).__name__, 'problem': repr(error)},
            )
            return
        for effect in effects:
            self._handlers[type(effect)](effect, now)
        self.packets.release_held()
        self.packets.resume()

    def close(self) -> None:
        """Flush the log and close all sockets."""
        self._lines.flush()
        self.packets.close()
        self.readiness.close()
        self.peers.close()
        for connection in self._connection_by_collection.values():
            connection.close()
        self.loop.close()

    def _log_line(self, effect: WriteLine, now: float) -> None:
        self._lines.write(effect.number, effect.fields, now)

    def _read_page(self, effect: ReadPage, now: float) -> None:
        target = self._store_format.page_target(effect)
        self._call_store(
            effect.collection, target, now + ANSWER_TIMEOUT_S, self._store_format.read_page
        )

    def _watch(self, effect: WatchChanges, now: float) -> None:
        target = self._store_format.watch_target(effect)
        deadline_at = now + effect.wait_s + ANSWER_TIMEOUT_S
        self._call_store(effect.collection, target, deadline_at, self._store_format.read_changes)

    def _call_store(
        self,
        collection: str,
        target: str,
        deadline_at: float,
        read: Callable[[str, int, bytes, Mapping[str, str]], Event],
    ) -> None:
        """Call the store; `read` turns the answer into the event to handle."""
        self._connection_by_collection[collection].start_call(
            Call(
                target,
                deadline_at,
                lambda reply: self.handle(
                    read(collection, reply.status, reply.body, reply.header_by_name),
                ),
                lambda problem: self.handle(CallFailed(collection, problem)),
            ),
        )

    def _handle_pause(self, paused_s: float) -> None:
        self.handle(Paused(paused_s))

    def _tick(self) -> None:
        self.state.stopping.last_packet_at = self.packets.last_packet_at
        self.handle(Ticked())
        self._lines.flush()
        self._next_tick_at = max(self._next_tick_at + TICK_S, monotonic())
        self.loop.call_at(self._next_tick_at, self._tick)

    def _handle_probe(self, target: str) -> Answer:
        if target != self._readiness_path:
            return Answer(NOT_FOUND)
        ready = self.state.ready and not self.state.stopping.is_requested
        self.handle(ProbeAnswered(ready=ready))
        return Answer(OK if ready else UNAVAILABLE)

    def _render_metrics(self) -> bytes:
        return metrics_of(
            self.state,
            monotonic(),
            self.packets.count_by_outcome,
            self.store_calls,
            self._lines.left_out,
        )

    def _view_since(self, known: KnownVersions) -> View:
        return view_since(self.state, known, monotonic())

    def _log_bad_packet(self, kind: str, raw: bytes) -> None:
        self._log(LogNumber.PACKET_BAD, {'kind': kind, 'bytes': len(raw)})

    def _log(self, number: LogNumber, fields: dict[str, object]) -> None:
        self._lines.write(number, fields, monotonic())


class _Signals:
    """Turns signals and changes of the settings file into events.

    Signal handlers only set flags; ``poll`` handles them on the loop.
    """

    def __init__(self, balancer: EntryBalancer, path: str) -> None:
        self._balancer = balancer
        self._path = path
        self._stop_requested = False
        self._reload_requested = False
        self._ticks = 0
        self._last_stamp = _file_stamp(path)
        for number in (SIGTERM, SIGINT):
            signal(number, self._on_stop)
        signal(SIGHUP, self._on_reload)

    def poll(self) -> None:
        """Handle what has occurred since the last poll, and schedule the next one."""
        self._balancer.loop.call_at(monotonic() + TICK_S, self.poll)
        if self._stop_requested:
            self._stop_requested = False
            self._balancer.handle(StopAsked())
        self._ticks += 1
        if self._ticks % _SETTINGS_CHECK_TICKS == 0 and _file_stamp(self._path) != self._last_stamp:
            self._reload_requested = True
        if self._reload_requested:
            self._reload_requested = False
            self._reload()

    def _reload(self) -> None:
        self._last_stamp = _file_stamp(self._path)
        current_stop_s = self._balancer.state.stopping.within_s
        try:
            settings = read_entry_settings(self._path)
        except SettingsError as error:
            self._balancer.handle(SettingsChanged(current_stop_s, str(error)))
            return
        self._balancer.handle(SettingsChanged(settings.stop_within_s))

    def _on_stop(self, number: int, frame: FrameType | None) -> None:
        self._stop_requested = True

    def _on_reload(self, number: int, frame: FrameType | None) -> None:
        self._reload_requested = True


def _file_stamp(path: str) -> tuple[int, int]:
    """Return the modification time and size of a file, zeros if it cannot be read."""
    try:
        status = stat(path)
    except OSError:
        return 0, 0
    return status.st_mtime_ns, status.st_size


def serve(
    path: str,
    settings: EntrySettings,
    packet_port: socket,
    packet_format: PacketFormat,
    store_format: StoreFormat,
) -> None:
    """Run one balancer with the settings read from `path` until it is requested to stop.

    Objects that exist after the start live as long as the process, so they are excluded from
    garbage collection.  Raises OSError if a port is taken.
    """
    balancer = EntryBalancer(settings, packet_format, store_format, packet_port=packet_port)
    signals = _Signals(balancer, path)
    balancer.start()
    signals.poll()
    freeze()
    enable()
    balancer.loop.run()
    balancer.close()
