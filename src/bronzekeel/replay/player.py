"""Play a written trace on a fleet and return the outcomes."""

from collections import Counter
from collections.abc import Callable
from functools import partial

from bronzekeel.core.effects import Effect
from bronzekeel.core.events import Packet
from bronzekeel.core.hashing import service_key
from bronzekeel.core.messages import HostEntry
from bronzekeel.replay.fleet import Fleet
from bronzekeel.replay.sinks import Sink
from bronzekeel.replay.trace import (
    Act,
    Bounds,
    Cut,
    Happening,
    Heal,
    Kill,
    Lag,
    OpenFlows,
    Pause,
    Platform,
    Start,
    Stop,
    Submit,
    Unlist,
)
from bronzekeel.replay.traffic import FlowTraffic
from bronzekeel.text.checks import build_catalogue

_SETTLE_S = 30.0


class _ServiceDispatch(Sink):
    """Dispatch the fates of packets to the traffic of their service."""

    def __init__(self) -> None:
        self.by_key: dict[bytes, FlowTraffic] = {}

    def forwarded(self, packet: Packet, upstream: str) -> None:
        """Notify the traffic that a packet was forwarded."""
        self.by_key[packet.service].forwarded(packet, upstream)

    def dropped(self, packet: Packet, reason: str) -> None:
        """Notify the traffic that a packet was dropped."""
        self.by_key[packet.service].dropped(packet, reason)

    def effect_emitted(self, effect: Effect, host: str) -> None:
        """Ignore all other effects."""


class Player:
    """Play the acts of a trace on a fleet."""

    def __init__(self, seed: int) -> None:
        """Create a fleet without balancers."""
        self._sink = _ServiceDispatch()
        self._fleet = Fleet((), seed, self._sink)
        self._traffic_by_service: dict[str, FlowTraffic] = {}
        self._generation = 0
        fleet = self._fleet
        self._handlers: dict[type, Callable[..., None]] = {
            Start: self._start,
            Submit: self._submit,
            OpenFlows: self._open_flows,
            Lag: self._lag,
            Stop: lambda act: fleet.stop(act.host),
            Kill: lambda act: fleet.kill(act.host),
            Unlist: lambda act: fleet.unlist(act.host),
            Pause: lambda act: fleet.pause(act.host, act.for_s),
            Cut: self._cut,
            Heal: lambda act: fleet.heal(),
            Platform: lambda act: self._switch_platform(up=act.up),
        }

    def play(self, happenings: list[Happening]) -> dict[str, float]:
        """Play a trace and return the outcomes.

        The fleet runs on for ``_SETTLE_S`` after the last act, so that it can converge.
        """
        for happening in happenings:
            self._fleet.at(happening.at, partial(self._apply_act, happening.act))
        last_at = max((item.at for item in happenings), default=0)
        self._fleet.run(last_at + _SETTLE_S)
        return self._outcomes()

    def _apply_act(self, act: Act) -> None:
        """Apply one act to the fleet."""
        self._handlers[type(act)](act)

    def _start(self, act: Start) -> None:
        self._fleet.start(HostEntry(act.host, act.data_centre, '127.0.0.1', 1, 2, 3))

    def _open_flows(self, act: OpenFlows) -> None:
        traffic = self._traffic_by_service[act.service]
        traffic.open(act.count, act.over_s, act.packets, act.every_s)

    def _lag(self, act: Lag) -> None:
        for node in self._fleet.running:
            node.view_lag_s = self._fleet.random.random() * act.most_s

    def _submit(self, act: Submit) -> None:
        self._generation += 1
        catalogue = build_catalogue(act.text, self._generation)
        for spec in catalogue.services_by_name.values():
            traffic = self._traffic_by_service.get(spec.name)
            if traffic is None:
                traffic = FlowTraffic(spec, fleet=self._fleet)
                self._traffic_by_service[spec.name] = traffic
                self._sink.by_key[service_key(spec.address, spec.port)] = traffic
            traffic.foreign = {
                upstream.endpoint
                for other in catalogue.services_by_name.values()
                if other.name != spec.name
                for upstream in other.upstreams
            }
        self._fleet.submit(catalogue)

    def _cut(self, act: Cut) -> None:
        inside = [
            host.name for host in self._fleet.hosts.values() if host.data_centre == act.data_centre
        ]
        outside = self._fleet.hosts.keys() - set(inside)
        self._fleet.cut(inside, outside)

    def _switch_platform(self, *, up: bool) -> None:
        if up:
            self._fleet.platform_back()
        else:
            self._fleet.platform_up = False

    def _outcomes(self) -> dict[str, float]:
        """Return the outcomes that callers and operators would observe, by name."""
        traffics = list(self._traffic_by_service.values())
        states = [node.state for node in self._fleet.running]
        verdicts = sum(
            (node.verdicts for node in self._fleet.by_name.values()),
            start=Counter[str](),
        )
        packets = max(1, sum(traffic.packets for traffic in traffics))
        return {
            'flows': sum(traffic.opened for traffic in traffics),
            'broken': sum(traffic.broken for traffic in traffics),
            'misdelivered': sum(traffic.misdelivered for traffic in traffics),
            'stalled_packets': sum(sum(traffic.drops.values()) for traffic in traffics),
            'handed_share': round(verdicts['Hand'] / packets, 4),
            'imbalance': max((traffic.imbalance() for traffic in traffics), default=0),
            'balancers_ready': sum(state.ready for state in states),
            'generation_least': min(
                (state.rollout.generation for state in states),
                default=0,
            ),
            'unsettled': sum(len(state.steering.unsettled) for state in states),
        }


def failed_outcomes(observed: dict[str, float], expected: dict[str, Bounds]) -> list[str]:
    """Return the names of the expected outcomes that are missing or out of bounds."""
    failed = []
    for name, bounds in expected.items():
        value = observed.get(name)
        if value is None or not bounds.least <= value <= bounds.most:
            failed.append(name)
    return failed
