"""Replay a surge of one caller among forty others and measure how the others fare."""

from collections.abc import Callable
from dataclasses import replace
from functools import cache, partial

from bronzekeel.replay.flow_load import CENTRES, FEED, SINGLE, Client, FlowLoad
from bronzekeel.replay.load_callers import RequestKind, Tally
from bronzekeel.replay.routing_fleet import FleetPolicies


#: Latency objective and timeout of all requests, in seconds.
OBJECTIVE_S = 0.5
TIMEOUT_S = 4.0

_CALLERS = 40

#: Begin and end of the surge, and how long callers send requests, in seconds from the start.
_BEGINS_S = 2
_ENDS_S = 8
_DURATION_S = 10
_POLL_S = 0.05

#: Shares of a caller's requests that open a flow each and that use open flows.
_FLOW_SHARES = (0.3, 0.7)


class CallerSurge:
    """Replay a surge of one caller; measure the others' answers and sample the queues."""

    def __init__(
        self,
        policies: FleetPolicies,
        *,
        times: float = 10,
        objective_s: float = OBJECTIVE_S,
        lasting_s: float = _DURATION_S,
        disturb: Callable[[FlowLoad], None] | None = None,
    ) -> None:
        others = tuple(_with_long_timeout(kind, objective_s) for kind in (SINGLE, FEED))
        surging = tuple(replace(kind, name=f'crowd_{kind.name}') for kind in others)
        self._load = FlowLoad(4, 4, policies, 1, kinds=others + surging)
        self._others = [self._load.tally_by_kind[kind.name] for kind in others]
        self._surge = [self._load.tally_by_kind[kind.name] for kind in surging]
        self.polls = 0
        self.waited_with_free_capacity = 0
        self._plan_requests(times, lasting_s)
        if disturb is not None:
            disturb(self._load)
        at_s = float(_BEGINS_S)
        while at_s < _ENDS_S:
            self._load.fleet.at(at_s, self._poll)
            at_s += _POLL_S
        self._load.fleet.run(lasting_s + 6)

    @property
    def latencies(self) -> list[float]:
        """Latencies of the requests of the other callers that were answered, in seconds."""
        return [latency for tally in self._others for latency in tally.latencies]

    @property
    def late_share(self) -> float:
        """Share of the other callers' requests that were not answered in time."""
        return _late_share(*self._others)

    @property
    def surge_late_share(self) -> float:
        """Share of the surging caller's requests that were not answered in time."""
        return _late_share(*self._surge)

    @property
    def open_flow_p99_s(self) -> float:
        """99th percentile latency of the other callers' requests on open flows, in seconds."""
        latencies = sorted(self._others[-1].latencies)
        return latencies[len(latencies) * 99 // 100]

    def _plan_requests(self, times: float, lasting_s: float) -> None:
        """Plan all requests; the other callers use three quarters of the capacity.

        Of their requests, three in ten open a flow.  The surging caller sends its fair share
        outside the surge and `times` as much within.
        """
        load = self._load
        capacity_rate = load.capacity / SINGLE.work_s
        caller_rate = capacity_rate * 0.75 / _CALLERS
        fair_rate = capacity_rate / (_CALLERS + 1)
        callers = [self._new_caller() for _ in range(_CALLERS)]
        for tally, flow_share in zip(self._others, _FLOW_SHARES, strict=True):
            for clients in callers:
                load.send_from_clients(
                    clients,
                    _steady(caller_rate * flow_share),
                    lasting_s,
                    tally.kind,
                )
        surging_caller = self._new_caller()
        for tally, flow_share in zip(self._surge, _FLOW_SHARES, strict=True):
            rate = _burst(fair_rate * flow_share, fair_rate * flow_share * times)
            load.send_from_clients(surging_caller, rate, lasting_s, tally.kind)

    def _new_caller(self) -> list[Client]:
        """Return one more caller as a client in each data centre."""
        first = self._load.caller_list.add(CENTRES[0])
        others = [first.also_in(centre) for centre in CENTRES[1:]]
        return [Client(caller) for caller in (first, *others)]

    def _poll(self) -> None:
        """Count pools with waiting requests, and those of them that have free capacity."""
        for node in self._load.fleet.running:
            for pool in node.state.directory.pools_of(node.me.data_centre):
                self.polls += bool(pool.waiting)
                self.waited_with_free_capacity += pool.waiting > 0 and pool.busy < pool.limit


@cache
def played_surge(times: float, objective_s: float) -> CallerSurge:
    """Return the replay of a surge to `times` the fair share, run once for all tests."""
    return CallerSurge(FleetPolicies(), times=times, objective_s=objective_s)


def restart_host(load: FlowLoad) -> None:
    """Take a host down for two seconds during the surge."""
    name = f'{CENTRES[0]}-0'
    load.fleet.at(4, partial(load.fleet.kill, name))
    load.fleet.at(6, partial(load.fleet.restart, name))


def _steady(rate: float) -> Callable[[float], float]:
    return lambda at_s: rate


def _burst(base_rate: float, burst_rate: float) -> Callable[[float], float]:
    return lambda at_s: burst_rate if _BEGINS_S <= at_s < _ENDS_S else base_rate


def _with_long_timeout(kind: RequestKind, objective_s: float) -> RequestKind:
    return replace(
        kind,
        target_s=OBJECTIVE_S,
        objective_s=objective_s,
        timeout_s=TIMEOUT_S,
        priority=0,
    )


def _late_share(*tallies: Tally) -> float:
    sent = sum(len(tally.arrivals) for tally in tallies)
    return 1 - sum(tally.in_time for tally in tallies) / sent
