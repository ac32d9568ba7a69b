"""Send requests through a fleet and record what callers and upstreams observe."""

from collections import Counter
from dataclasses import dataclass, field
from functools import partial

from bronzekeel.core.catalogue import ServiceSpec
from bronzekeel.core.effects import Attempt, Cancel, Effect, Relay, Reserved, Settle
from bronzekeel.core.events import (
    AttemptEnded,
    CallerGone,
    Event,
    HealthHint,
    ReserveAsked,
    RunAsked,
)
from bronzekeel.core.outcomes import AttemptEnd, NotRun, Unknown
from bronzekeel.replay.fleet import Fleet
from bronzekeel.replay.sinks import Sink


#: Time that a caller waits past its deadline before it counts the outcome as unknown, in seconds.
_GRACE_S = 0.5


@dataclass(slots=True)
class VirtualUpstream:
    """Model an upstream that runs requests in slots, in virtual time.

    A share `lost_share` of the answers is lost after the work is done.  Before `cold_until`,
    work takes `cold_factor` times as long.
    """

    endpoint: str
    slots: int = 3
    dead: bool = False
    draining: bool = False
    lost_share: float = 0
    cold_until: float = 0
    cold_factor: float = 3
    busy: int = 0
    shed: int = 0
    ran: Counter[str] = field(default_factory=Counter)
    last_ran_at: float = 0


@dataclass(slots=True)
class Call:
    """Hold one request as its caller sees it; `work_s` is its work in seconds."""

    number: int
    work_s: float
    begun_at: float
    group: str = ''
    request: str = ''
    outcome: str = ''
    kind: str = ''
    ended_at: float = 0
    host: str = ''
    repeated: bool = False

    @property
    def waited_s(self) -> float:
        """Latency beyond the work itself, in seconds."""
        return self.ended_at - self.begun_at - self.work_s


@dataclass(slots=True)
class RequestTraffic(Sink):
    """Model the callers and upstreams of one service.

    A share `repeat_share` of the callers sends the same id a second time through a random
    balancer.  `deadline_s` is the deadline of each request, relative to its start.
    """

    spec: ServiceSpec
    deadline_s: float = 5.0
    repeat_share: float = 0
    idempotent: bool = False
    hop_s: float = 0.001
    calls: list[Call] = field(default_factory=list)
    call_by_id: dict[str, Call] = field(default_factory=dict)
    upstream_by_endpoint: dict[str, VirtualUpstream] = field(default_factory=dict)
    attempts: int = 0
    reserved: str = ''
    refused: NotRun | None = None
    cancelled: set[str] = field(default_factory=set)
    conflicting: int = 0
    fleet: Fleet | None = None

    def __post_init__(self) -> None:
        """Create the upstreams of the service."""
        for upstream in self.spec.upstreams:
            virtual = VirtualUpstream(upstream.endpoint, self.spec.slots)
            self.upstream_by_endpoint[upstream.endpoint] = virtual

    def plan(self, arrivals: list[tuple[float, float]], group: str = '') -> None:
        """Schedule calls, given as pairs of the delay from now and the work, in seconds."""
        fleet = self._fleet()
        for delay_s, work_s in arrivals:
            call = Call(len(self.calls), work_s, fleet.now + delay_s, group)
            self.calls.append(call)
            fleet.at(delay_s, partial(self._begin, call))

    def hint(self, endpoint: str, *, serving: bool) -> None:
        """Deliver the status of an upstream's health endpoint to every balancer."""
        fleet = self._fleet()
        for node in fleet.running:
            fleet.deliver(node, HealthHint(self.spec.name, endpoint, serving))

    def effect_emitted(self, effect: Effect, host: str) -> None:
        """Apply an effect that a balancer emitted."""
        match effect:
            case Reserved():
                self.reserved = effect.request
            case Settle():
                self._settle(effect)
            case Attempt():
                self.attempts += 1
                self._fleet().at(self.hop_s, partial(self._arrive, effect, host))
            case Cancel():
                self.cancelled.add(effect.request)
            case Relay():
                self._relay(effect)

    def cancel(self, call: Call) -> None:
        """Cancel a call on behalf of its caller, unless it has ended."""
        if not call.outcome and call.request:
            self._deliver(call.host, CallerGone(call.request))
            self._end(call, 'cancelled', '')

    @property
    def ran_twice(self) -> int:
        """Number of ids that ran more than once, on any upstreams."""
        runs: Counter[str] = Counter()
        for upstream in self.upstream_by_endpoint.values():
            runs.update(upstream.ran)
        return sum(count > 1 for count in runs.values())

    @property
    def not_run_but_ran(self) -> int:
        """Number of calls that were reported as not run but did run."""
        return sum(call.outcome == 'not_run' and self._ran(call.request) for call in self.calls)

    def imbalance(self) -> float:
        """Return the ratio of the highest to the mean request count of upstreams that ran any."""
        counts = [
            sum(upstream.ran.values())
            for upstream in self.upstream_by_endpoint.values()
            if upstream.ran
        ]
        return max(counts) * len(counts) / sum(counts) if counts else 0

    def outcomes(self) -> Counter[str]:
        """Count the calls by outcome; those without one are counted as `none`."""
        return Counter(call.outcome or 'none' for call in self.calls)

    def _relay(self, effect: Relay) -> None:
        call = self.call_by_id.get(effect.request)
        if call is not None:
            self._fleet().at(self.hop_s, partial(self._run, call, effect.host))

    def _begin(self, call: Call) -> None:
        """Reserve an id at a random balancer, then run the request there."""
        fleet = self._fleet()
        call.host = fleet.random.choice(fleet.sprayed_names)
        self.reserved = ''
        self.refused = None
        deadline = call.begun_at + self.deadline_s
        self._deliver(call.host, ReserveAsked(self.spec.name, deadline))
        if not self.reserved:
            kind = self.refused.kind if self.refused else 'connection_lost'
            self._end(call, 'not_run', kind)
            return
        call.request = self.reserved
        self.call_by_id[call.request] = call
        fleet.at(self.hop_s, partial(self._run, call, call.host))
        fleet.at(self.deadline_s + _GRACE_S, partial(self._give_up, call))
        if fleet.random.random() < self.repeat_share:
            call.repeated = True
            delay_s = fleet.random.random() * self.deadline_s
            fleet.at(delay_s, partial(self._send_duplicate, call))

    def _send_duplicate(self, call: Call) -> None:
        """Send the same id again through a random balancer."""
        fleet = self._fleet()
        self._run(call, fleet.random.choice(fleet.sprayed_names))

    def _run(self, call: Call, host: str) -> None:
        deadline = call.begun_at + self.deadline_s
        event = RunAsked(call.request, self.spec.name, call.group, self.idempotent, deadline)
        self._deliver(host, event)

    def _deliver(self, host: str, event: Event) -> None:
        fleet = self._fleet()
        fleet.deliver(fleet.by_name[host], event)

    def _give_up(self, call: Call) -> None:
        """End a call that got no outcome, since its balancer is gone."""
        if not call.outcome:
            self._end(call, 'unknown', 'connection_lost')

    def _settle(self, effect: Settle) -> None:
        if not effect.request:
            if isinstance(effect.outcome, NotRun):
                self.refused = effect.outcome
            return
        call = self.call_by_id.get(effect.request)
        if call is None:
            return
        outcome = 'unknown' if isinstance(effect.outcome, Unknown) else 'not_run'
        if call.repeated and effect.outcome.kind == 'already_started':
            return
        self._end(call, outcome, effect.outcome.kind)

    def _end(self, call: Call, outcome: str, kind: str) -> None:
        if call.outcome:
            if call.outcome != outcome and not call.repeated:
                self.conflicting += 1
            return
        call.outcome = outcome
        call.kind = kind
        call.ended_at = self._fleet().now

    def _arrive(self, effect: Attempt, host: str) -> None:
        """Process an attempt that arrives at its upstream."""
        upstream = self.upstream_by_endpoint[effect.upstream]
        if upstream.dead:
            self._report(effect, host, AttemptEnd.UNREACHED)
            return
        if upstream.draining or upstream.busy >= upstream.slots:
            upstream.shed += 1
            self._report(effect, host, AttemptEnd.SHED)
            return
        fleet = self._fleet()
        upstream.busy += 1
        upstream.ran[effect.request] += 1
        upstream.last_ran_at = fleet.now
        call = self.call_by_id[effect.request]
        cold = upstream.cold_factor if fleet.now < upstream.cold_until else 1
        fleet.at(call.work_s * cold, partial(self._finish, effect, host, upstream))

    def _finish(self, effect: Attempt, host: str, upstream: VirtualUpstream) -> None:
        upstream.busy -= 1
        lost = self._fleet().random.random() < upstream.lost_share
        if upstream.dead or lost:
            self._report(effect, host, AttemptEnd.LOST)
        elif effect.request in self.cancelled:
            self._report(effect, host, AttemptEnd.CANCELLED)
        else:
            self._report(effect, host, AttemptEnd.ANSWERED)

    def _report(self, effect: Attempt, host: str, ended: AttemptEnd) -> None:
        event = AttemptEnded(effect.request, effect.upstream, ended)
        self._fleet().at(self.hop_s, partial(self._deliver_end, event, host))

    def _deliver_end(self, event: AttemptEnded, host: str) -> None:
        """Report the end of an attempt to the balancer, and an answer to the caller."""
        if self._fleet().by_name[host].dead:
            return
        if event.ended == AttemptEnd.ANSWERED:
            self._end(self.call_by_id[event.request], 'answered', '')
        self._deliver(host, event)

    def _fleet(self) -> Fleet:
        if self.fleet is None:
            raise RuntimeError('set `fleet` before calls are scheduled')
        return self.fleet

    def _ran(self, request: str) -> bool:
        return any(request in upstream.ran for upstream in self.upstream_by_endpoint.values())
