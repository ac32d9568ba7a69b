"""Connect the adapters and the reducer to form a running balancer."""

from asyncio import Event as AsyncEvent, get_running_loop, gather, wait_for
from collections import Counter
from collections.abc import Callable
from logging import getLogger
from time import monotonic, time, time_ns

from msgspec.json import encode
from reactivex import interval
from reactivex import operators as ops
from reactivex.scheduler.eventloop import AsyncIOScheduler
from reactivex.subject import Subject

from bronzekeel.adapters.callers import CallEnd, Callers
from bronzekeel.adapters.health import HealthProber
from bronzekeel.adapters.packets import PacketSocket
from bronzekeel.adapters.peers import Peers
from bronzekeel.adapters.rollout import TextSource
from bronzekeel.adapters.upstreams import Upstreams
from bronzekeel.balancer.logs import log_event
from bronzekeel.balancer.recorder import Recorder
from bronzekeel.balancer.settings import Settings
from bronzekeel.core.constants import TICK_S
from bronzekeel.core.effects import (
    Attempt,
    Cancel,
    Drop,
    Effect,
    Forward,
    Hand,
    InForce,
    Log,
    Relay,
    Reserved,
    Say,
    Settle,
    Stopped,
    Watch,
)
from bronzekeel.core.events import (
    Event,
    HostsListed,
    PeerSaid,
    StopAsked,
    Ticked,
)
from bronzekeel.core.log_numbers import LogNumber
from bronzekeel.core.messages import HostEntry, Message
from bronzekeel.core.reducer import reduce
from bronzekeel.core.requests.keepers import upstreams_of_kept_services
from bronzekeel.core.state import BalancerState
from bronzekeel.core.steering.by_keepers import KeeperSteering
from bronzekeel.platform.client import PlatformClient
from bronzekeel.report.outcomes import OutcomeLine, OutcomeRecorder


_logger = getLogger(__name__)

#: Seconds between the end of all duties and closing, for packets still in flight in the fabric.
_LINGER_S = 0.5

#: Timeout in seconds for closing the servers.  Without it, a caller that holds a call open
#: indefinitely keeps a stopped process alive.  Calls between balancers end or fail within 2 s.
CLOSE_TIMEOUT_S = 2.0
_NANOSECONDS_IN_MS = 1_000_000


class Balancer:
    """Own the state of one balancer and the adapters around it.

    Events reach the reducer through one ``reactivex`` subject, and its effects leave through
    another, all in one thread.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Callable[[], float] = monotonic,
    ) -> None:
        """Create a balancer and bind its packet port; ``start`` opens the rest."""
        self.settings = settings
        self.counts: Counter[str] = Counter()
        self.in_force_at: dict[int, float] = {}
        self.events: Subject[Event] = Subject()
        self.effects: Subject[Effect] = Subject()
        self.peers = Peers(self._handle_message)
        self.callers = Callers(self.events.on_next, clock, self._record_end)
        self.platform = PlatformClient(settings.platform)
        self.state: BalancerState | None = None
        self.me: HostEntry | None = None
        self._clock = clock
        self._text_source = TextSource(settings.name, self.platform, self.events.on_next)
        self._upstreams = Upstreams(self.events.on_next)
        self._packets = PacketSocket(
            settings.address,
            settings.ports.packets,
            self._packet_address,
            clock,
        )
        self._prober = HealthProber(
            self.events.on_next,
            self._kept_upstreams,
            self._upstreams.channel_to,
        )
        self._stopped = AsyncEvent()
        self._recorder = Recorder(settings.record)
        self._outcomes = OutcomeRecorder(settings.outcomes)
        self._handlers: dict[type, Callable[..., None]] = {
            Say: self._send_message,
            Forward: self._packets.carry_out,
            Hand: self._packets.carry_out,
            Drop: self._packets.carry_out,
            Log: lambda effect: log_event(
                _logger,
                effect.number,
                effect.detail,
                settings.name,
            ),
            Watch: lambda effect: self._text_source.watch(active=effect.active),
            InForce: self._record_in_force,
            Stopped: lambda effect: self._stopped.set(),
            Reserved: lambda effect: self.callers.reserved(effect.request),
            Settle: self._settle,
            Relay: self._relay,
            Attempt: self._attempt,
            Cancel: lambda effect: self._upstreams.cancel(effect.request),
        }

    @property
    def packet_counts(self) -> Counter[str]:
        """Return packet counts by outcome."""
        return self._packets.counts

    @property
    def handled_effects(self) -> frozenset[type]:
        """Return the kinds of effects that have a handler."""
        return frozenset(self._handlers)

    async def start(self) -> HostEntry:
        """Open the remaining sockets, start the tasks, and return the host entry with its ports."""
        loop = get_running_loop()
        address = self.settings.address
        ports = self.settings.ports
        peers = await self.peers.open(address, ports.peers)
        callers = await self.callers.open(address, ports.callers)
        self.me = HostEntry(
            self.settings.name,
            self.settings.data_centre,
            address,
            self._packets.port,
            peers,
            callers,
        )
        incarnation = time_ns() // _NANOSECONDS_IN_MS
        now = self._clock()
        self.state = BalancerState.fresh(self.me, incarnation, now)
        self._packets.steer_by(KeeperSteering(self.state, self.effects.on_next).decide)
        self._recorder.begin(now, self.me, incarnation)
        self.events.subscribe(self._reduce)
        self.effects.subscribe(self._carry_out)
        if self.settings.seeds:
            seeds = tuple(seed.entry() for seed in self.settings.seeds)
            self.events.on_next(HostsListed(seeds))
        scheduler = AsyncIOScheduler(loop)
        self._ticks = (
            interval(TICK_S, scheduler=scheduler)
            .pipe(
                ops.map(lambda _: Ticked()),
            )
            .subscribe(self.events.on_next)
        )
        self._packets.open(loop)
        self._text_source.open()
        self._prober.open()
        self._log(LogNumber.STARTED, encode(self.me).decode())
        return self.me

    async def stop(self) -> None:
        """Stop gracefully: hand off the shards, wait for requests to end, then close."""
        self.events.on_next(StopAsked())
        try:
            await wait_for(self._stopped.wait(), self.settings.stop_within_s)
        except TimeoutError:
            _logger.warning(
                'still busy %s s after the stop request; closing', self.settings.stop_within_s
            )
        linger = AsyncEvent()
        get_running_loop().call_later(_LINGER_S, linger.set)
        await linger.wait()
        await self.close()
        self._log(LogNumber.STOPPED, '')

    async def close(self) -> None:
        """Close everything as a crash would, without handing anything off."""
        self._ticks.dispose()
        self._packets.close()
        self._prober.close()
        self._upstreams.close()
        await self._text_source.close()
        try:
            await wait_for(gather(self.callers.close(), self.peers.close()), CLOSE_TIMEOUT_S)
        except TimeoutError:
            _logger.warning('calls still open %s s after the stop; abandoned', CLOSE_TIMEOUT_S)
        await self.platform.close()
        self._recorder.close()
        self._outcomes.close()

    def _handle_message(self, message: Message) -> None:
        self.events.on_next(PeerSaid(message))

    def _reduce(self, event: Event) -> None:
        """Pass an event to the reducer; an exception there must not stop the balancer."""
        if self.state is None:
            return
        now = self._clock()
        self._recorder.record(now, event)
        try:
            effects = reduce(self.state, event, now)
        except Exception:
            self.counts['internal_fault'] += 1
            _logger.exception(
                'exception while reducing event %s',
                type(event).__name__,
                extra={'event': LogNumber.INTERNAL_FAULT},
            )
            return
        for effect in effects:
            self.effects.on_next(effect)

    def _carry_out(self, effect: Effect) -> None:
        self._handlers[type(effect)](effect)

    def _kept_upstreams(self) -> list[tuple[str, str]]:
        return upstreams_of_kept_services(self.state, self._clock()) if self.state else []

    def _packet_address(self, name: str) -> tuple[str, int] | None:
        member = self.state.members.by_name.get(name) if self.state else None
        return (member.host.address, member.host.packets) if member else None

    def _send_message(self, effect: Say) -> None:
        member = self.state.members.by_name.get(effect.host) if self.state else None
        if member is not None:
            self.peers.send(member.host, effect.message)

    def _record_in_force(self, effect: InForce) -> None:
        self.in_force_at[effect.generation] = self._clock()

    def _record_end(self, end: CallEnd) -> None:
        self.counts[f'{end.service}.{end.outcome}'] += 1
        self._outcomes.record(
            OutcomeLine(time(), end.service, end.group, end.outcome, end.kind, end.took_s),
        )

    def _settle(self, effect: Settle) -> None:
        kind = type(effect.outcome).__name__
        self.counts['.'.join((kind, effect.outcome.kind))] += 1
        self.callers.settle(effect.request, effect.outcome)

    def _relay(self, effect: Relay) -> None:
        member = self.state.members.by_name.get(effect.host) if self.state else None
        if member is not None:
            self.callers.relays[effect.request] = member.host

    def _attempt(self, effect: Attempt) -> None:
        answer = self.callers.answers.get(effect.request)
        if answer is not None:
            self.counts['attempts'] += 1
            self._upstreams.attempt(effect, answer, effect.deadline - self._clock())

    def _log(self, number: LogNumber, detail: str) -> None:
        log_event(_logger, number, detail, self.settings.name)
