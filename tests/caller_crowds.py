"""Play a crowd of one caller beside forty others, for tests of what these feel."""

from collections.abc import Callable
from dataclasses import replace
from functools import cache, partial

from bronzekeel.replay.flow_load import CENTRES, FEED, SINGLE, Client, FlowLoad
from bronzekeel.replay.load_callers import RequestKind, Tally
from bronzekeel.replay.routing_fleet import FleetPolicies


#: Latency objective and time limit of all requests, seconds.
OBJECTIVE_S = 0.5
TIMEOUT_S = 4.0

_CALLERS = 40

#: From when to when the crowd lasts, and how long callers ask, seconds from the start.
_BEGINS_S = 2
_ENDS_S = 8
_LASTING_S = 10
_SAMPLE_INTERVAL_S = 0.05

#: Parts of what a caller asks for that go on new flows and on open ones.
_PARTS = (0.3, 0.7)


class Crowd:
    """Play a crowd of one caller; count what others feel, and look at what waits."""

    def __init__(
        self,
        policies: FleetPolicies,
        *,
        times: float = 10,
        objective_s: float = OBJECTIVE_S,
        lasting_s: float = _LASTING_S,
        disturb: Callable[[FlowLoad], None] | None = None,
    ) -> None:
        usual = tuple(_patient(kind, objective_s) for kind in (SINGLE, FEED))
        crowding = tuple(replace(kind, name=f'crowd_{kind.name}') for kind in usual)
        self._load = FlowLoad(4, 4, policies, 1, kinds=usual + crowding)
        self._usual = [self._load.tally_by_kind[kind.name] for kind in usual]
        self._crowd = [self._load.tally_by_kind[kind.name] for kind in crowding]
        self.waiting_samples = 0
        self.waited_beside_free_slots = 0
        self._ask(times, lasting_s)
        if disturb is not None:
            disturb(self._load)
        at_s = float(_BEGINS_S)
        while at_s < _ENDS_S:
            self._load.fleet.at(at_s, self._sample)
            at_s += _SAMPLE_INTERVAL_S
        self._load.fleet.run(lasting_s + 6)

    @property
    def latencies(self) -> list[float]:
        """Seconds to each answer that others got."""
        return [latency for tally in self._usual for latency in tally.latencies]

    @property
    def late_share(self) -> float:
        """Share of the others' requests that were not answered in time."""
        return _late_share(*self._usual)

    @property
    def late_share_of_crowd(self) -> float:
        """The same of the crowd's."""
        return _late_share(*self._crowd)

    @property
    def p99_of_open(self) -> float:
        """Seconds to all but a hundredth of the answers on open flows."""
        latencies = sorted(self._usual[-1].latencies)
        return latencies[len(latencies) * 99 // 100]

    def _ask(self, times: float, lasting_s: float) -> None:
        """Let others ask for three quarters of what can be done, a third of it on new flows."""
        load = self._load
        most = load.capacity / SINGLE.work_s
        own = most * 0.75 / _CALLERS
        share = most / (_CALLERS + 1)
        callers = [self._caller() for _ in range(_CALLERS)]
        for tally, part in zip(self._usual, _PARTS, strict=True):
            for clients in callers:
                load.ask_from(clients, _steady(own * part), lasting_s, tally.kind)
        crowd = self._caller()
        for tally, part in zip(self._crowd, _PARTS, strict=True):
            rate = _burst(share * part, share * part * times)
            load.ask_from(crowd, rate, lasting_s, tally.kind)

    def _caller(self) -> list[Client]:
        """Return one more caller as a client in each data centre."""
        first = self._load.caller_list.add(CENTRES[0])
        others = [first.also_in(centre) for centre in CENTRES[1:]]
        return [Client(caller) for caller in (first, *others)]

    def _sample(self) -> None:
        for node in self._load.fleet.running:
            for pool in node.state.directory.pools_of(node.me.data_centre):
                self.waiting_samples += bool(pool.waiting)
                self.waited_beside_free_slots += pool.waiting > 0 and pool.busy < pool.limit


@cache
def played(times: float, objective_s: float) -> Crowd:
    """Return a crowd of so many times its share, played once for all tests."""
    return Crowd(FleetPolicies(), times=times, objective_s=objective_s)


def restart_a_host(load: FlowLoad) -> None:
    """Let a host be down for two seconds while the crowd lasts."""
    name = f'{CENTRES[0]}-0'
    load.fleet.at(4, partial(load.fleet.kill, name))
    load.fleet.at(6, partial(load.fleet.restart, name))


def _steady(rate: float) -> Callable[[float], float]:
    return lambda at_s: rate


def _burst(usual: float, most: float) -> Callable[[float], float]:
    return lambda at_s: most if _BEGINS_S <= at_s < _ENDS_S else usual


def _patient(kind: RequestKind, objective_s: float) -> RequestKind:
    return replace(
        kind,
        aim_s=OBJECTIVE_S,
        objective_s=objective_s,
        timeout_s=TIMEOUT_S,
        priority=0,
    )


def _late_share(*tallies: Tally) -> float:
    asked = sum(len(tally.arrivals) for tally in tallies)
    return 1 - sum(tally.in_time for tally in tallies) / asked
