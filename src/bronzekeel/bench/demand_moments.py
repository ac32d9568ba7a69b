"""Benchmark moments of uneven demand: upstreams of unequal speed, surges, callers that move.

Most of the work is requests on persistent flows, with a latency objective of about half a
second: a request can only be placed when its flow opens, and there is time for it to queue.
"""

from abc import abstractmethod
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from math import cos, tau
from types import MappingProxyType
from typing import ClassVar

from bronzekeel.bench.load_moments import Moment
from bronzekeel.replay.flow_load import CENTRES, FEED, SINGLE, Client, FlowLoad
from bronzekeel.replay.load_callers import RequestKind
from bronzekeel.replay.load_servers import ServerKind


_TARGET_LATENCY_S = 0.55
_TIMEOUT_S = 4.4
_FLOW_REQUESTS = 20

#: Feeds, updates (which have a higher value), and downloads on a flow each.
WATCH = RequestKind(
    'watch',
    FEED.key,
    work_s=0.034,
    target_s=_TARGET_LATENCY_S,
    timeout_s=_TIMEOUT_S,
    late_worth=0.1,
    priority=2,
    keeps_flow=True,
    flow_requests=_FLOW_REQUESTS,
    objective_s=_TARGET_LATENCY_S,
)
AMEND = replace(
    WATCH,
    name='amend',
    key=bytes((198, 18, 0, 1, 32, 252)),
    work_s=0.044,
    worth=2,
    late_worth=0.2,
    priority=1,
)
FETCH = replace(WATCH, name='fetch', key=SINGLE.key, keeps_flow=False, flow_requests=0)

#: Share of the total work by kind of request.
_WORK_SHARE_BY_KIND = MappingProxyType({WATCH.name: 0.65, AMEND.name: 0.25, FETCH.name: 0.1})

_CLIENTS = 60

#: Share of requests in the long tail, and the factor by which they take longer.
_TAIL_SHARE = 0.03
_TAIL_FACTOR = 7


class DemandMoment(Moment):
    """A moment whose demand is `base_load` of the capacity of all slots.

    Some of the `clients` may cause a surge.
    """

    name = 'demand'
    kinds: ClassVar[tuple[RequestKind, ...]] = (WATCH, AMEND, FETCH)
    server_kind = ServerKind(slots=2, queue=8, cold_s=2)
    late_after_s = _TARGET_LATENCY_S
    lasting_s = 16
    base_load: ClassVar[float] = 0.7
    clients: ClassVar[int] = _CLIENTS

    def plan_requests(self, load: FlowLoad) -> None:
        """Schedule requests of all kinds."""
        clients = load.add_clients(self.clients)
        work_s = self.base_load * load.capacity
        for kind in self.kinds:
            base_rate = work_s * _WORK_SHARE_BY_KIND[kind.name] / kind.mean_work_s
            self.plan_kind(load, kind, clients, base_rate)

    def plan_kind(
        self,
        load: FlowLoad,
        kind: RequestKind,
        clients: list[Client],
        base_rate: float,
    ) -> None:
        """Schedule the requests of one kind, `base_rate` per second."""
        rate_of = partial(self.rate_of, base_rate=base_rate)
        if kind.keeps_flow:
            load.send_from_clients(clients, rate_of, self.lasting_s, kind)
            return
        load.arrive(rate_of, self.lasting_s, kind)

    def schedule_faults(self, load: FlowLoad) -> None:
        """Schedule no faults."""


class Unequal(DemandMoment):
    """One of four upstreams works at less than half the speed of the others."""

    name = 'unequal'
    server_kind = ServerKind(slots=2, queue=8, cold_s=2, speeds=(0.55, 1.2, 1.2, 1.2))


class UnequalHigh(Unequal):
    """Upstreams of unequal speed at 0.9 of their capacity."""

    name = 'unequal_0.9'
    base_load = 0.9


class ChangingSpeed(DemandMoment):
    """A third of the upstreams run at a third of their speed for six seconds."""

    name = 'changing_speed'
    base_load = 0.6

    def schedule_faults(self, load: FlowLoad) -> None:
        """Slow down every third upstream, then restore its speed."""
        for server in list(load.server_by_name.values())[::3]:
            load.fleet.at(4, partial(server.set_speed, 1 / 3))
            load.fleet.at(10, partial(server.set_speed, 1))


class LongTail(DemandMoment):
    """Three percent of the requests take seven times as long, at high load."""

    name = 'long_tail'
    base_load = 0.9
    kinds = tuple(
        replace(kind, tail_share=_TAIL_SHARE, tail_factor=_TAIL_FACTOR)
        for kind in (WATCH, AMEND, FETCH)
    )


class SingleCallerSurge(DemandMoment):
    """One of twelve callers sends ten times its share through all hosts for four seconds."""

    name = 'crowd_of_one_caller'
    clients = 12
    _rate_factor: ClassVar[float] = 10
    _surge_begins_s: ClassVar[float] = 4
    _surge_ends_s: ClassVar[float] = 8

    def plan_kind(
        self,
        load: FlowLoad,
        kind: RequestKind,
        clients: list[Client],
        base_rate: float,
    ) -> None:
        """Schedule the regular requests, and the surge of the first client."""
        super().plan_kind(load, kind, clients, base_rate)
        if not kind.keeps_flow:
            return
        surging = clients[0]
        surging.caller.crowd = True
        extra_rate = base_rate * (self._rate_factor - 1) / len(clients)
        load.send_from_clients(
            [surging], lambda at_s: extra_rate, self._surge_ends_s, kind, self._surge_begins_s
        )


class _PerCentreDemand(DemandMoment):
    """A moment with a separate request rate for each data centre."""

    clients = _CLIENTS

    def plan_kind(
        self,
        load: FlowLoad,
        kind: RequestKind,
        clients: list[Client],
        base_rate: float,
    ) -> None:
        """Schedule the requests of each data centre's callers."""
        for index, centre in enumerate(CENTRES):
            rate_of = self.rate_in_centre(index, base_rate / len(CENTRES))
            if kind.keeps_flow:
                local_clients = [client for client in clients if client.caller.centre == centre]
                load.send_from_clients(local_clients, rate_of, self.lasting_s, kind)
                continue
            load.arrive(rate_of, self.lasting_s, kind, centre)

    @abstractmethod
    def rate_in_centre(self, index: int, base_rate: float) -> Callable[[float], float]:
        """Return a function from time to requests per second in one data centre."""


class Waves(_PerCentreDemand):
    """Demand oscillates by 0.55 of its mean, with a phase shift between data centres."""

    name = 'waves'
    lasting_s = 30
    base_load = 0.65
    _phase_step: ClassVar[float] = 0.1
    _swing: ClassVar[float] = 0.55
    _period_s: ClassVar[float] = 15

    def rate_in_centre(self, index: int, base_rate: float) -> Callable[[float], float]:
        """Return a sinusoidal rate, shifted by the index of the data centre."""
        phase = index * self._phase_step
        return lambda at_s: (
            base_rate * (1 + self._swing * cos(tau * (at_s / self._period_s - phase)))
        )


class MovedCallers(_PerCentreDemand):
    """Four fifths of the callers of one data centre use another one for six seconds."""

    name = 'moved_callers'
    base_load = 0.9

    def rate_in_centre(self, index: int, base_rate: float) -> Callable[[float], float]:
        """Return a constant rate."""
        return lambda at_s: base_rate

    def schedule_faults(self, load: FlowLoad) -> None:
        """Move callers to another data centre, and back six seconds later."""
        origin, destination = CENTRES[:2]
        load.fleet.at(4, partial(load.caller_list.move, origin, 0.8, destination))
        load.fleet.at(10, partial(load.caller_list.move, origin, 1, origin))


DEMAND_MOMENTS: tuple[type[Moment], ...] = (
    Unequal,
    UnequalHigh,
    ChangingSpeed,
    LongTail,
    SingleCallerSurge,
    Waves,
    MovedCallers,
)
