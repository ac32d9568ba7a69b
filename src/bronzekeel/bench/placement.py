"""Weigh policies of placement on the worst moments of a day, in virtual time."""

from abc import ABC, abstractmethod
from argparse import ArgumentParser, Namespace
from collections.abc import Mapping
from functools import partial
from types import MappingProxyType
from typing import ClassVar

from msgspec import Struct

from bronzekeel.bench.base import Benchmark
from bronzekeel.bench.placement_policies import OwnSight, RandomNear, Summed, TwoChoices
from bronzekeel.bench.quantiles import quantile
from bronzekeel.bench.request_policies import ideal_queue
from bronzekeel.core.routing.placement import EqualWork, LeastBusy, Placement
from bronzekeel.replay.flow_load import COLD_S, SLOTS, WORK_S, FlowLoad


_LASTING_S = 12.0
_SETTLING_S = 6.0
_P50 = 0.5
_P99 = 0.99
_LATE_S = 0.2
_HOP_S = 0.003

#: Share of all slots that single requests and long flows fill on a usual day.
_SINGLE_SHARE = 0.25
_USERS_PER_UPSTREAM = 4

_PRODUCT = 'least_busy'
_EQUAL = 'equal_work'

POLICIES: Mapping[str, type[Placement]] = MappingProxyType(
    {
        'random_near': RandomNear,
        'two_choices': TwoChoices,
        'own_sight': OwnSight,
        'summed': Summed,
        _PRODUCT: LeastBusy,
        _EQUAL: EqualWork,
    },
)


class PlacementFigures(Struct, frozen=True):
    """Hold what callers felt under one policy; times are seconds.

    `heartbeats_s` is how many one balancer sends in a second.
    """

    requests: int
    p50: float
    p99: float
    p99_over_ideal: float
    late_share: float
    copy_share: float
    opened_twice: int
    failed: int
    imbalance: float
    heartbeats_s: float


class PlacementReport(Struct, frozen=True):
    """Hold the figures by moment and policy, and what failed."""

    seed: int
    figures: dict[str, dict[str, PlacementFigures]]
    failed: list[str]
    ok: bool


class Moment(ABC):
    """Hold one worst moment: how load comes, and what goes wrong meanwhile."""

    name: ClassVar[str]
    equal_upstreams: ClassVar[bool] = False
    weights: ClassVar[tuple[int, ...]] = (1, 1, 1)

    def rate_of(self, at_s: float, usual: float) -> float:
        """Return the single requests a second at a time of the moment."""
        return usual

    @abstractmethod
    def disturb(self, load: FlowLoad) -> None:
        """Plan what goes wrong."""


class Calm(Moment):
    """Nothing goes wrong."""

    name = 'calm'
    equal_upstreams = True

    def disturb(self, load: FlowLoad) -> None:
        """Plan nothing."""


class Uneven(Moment):
    """The callers of one data centre ask for half of everything."""

    name = 'uneven'
    equal_upstreams = True
    weights = (2, 1, 1)

    def disturb(self, load: FlowLoad) -> None:
        """Plan nothing."""


class Burst(Moment):
    """Three times the single requests for three seconds."""

    name = 'burst'
    equal_upstreams = True

    def rate_of(self, at_s: float, usual: float) -> float:
        """Return three times the usual rate in the middle."""
        return usual * 3 if 4 <= at_s < 7 else usual

    def disturb(self, load: FlowLoad) -> None:
        """Plan nothing."""


class SlowUpstream(Moment):
    """One upstream works five times slower for six seconds."""

    name = 'slow_upstream'

    def disturb(self, load: FlowLoad) -> None:
        """Slow the first one down."""
        server = next(iter(load.server_by_name.values()))
        load.fleet.at(3, partial(setattr, server, 'slow', 5))
        load.fleet.at(9, partial(setattr, server, 'slow', 1))


class GreyUpstream(Moment):
    """One upstream opens every flow and answers no request for two seconds."""

    name = 'grey_upstream'

    def disturb(self, load: FlowLoad) -> None:
        """Turn the first one grey."""
        server = next(iter(load.server_by_name.values()))
        load.fleet.at(3, partial(setattr, server, 'grey', True))
        load.fleet.at(5, partial(setattr, server, 'grey', False))


class Release(Moment):
    """Each upstream is replaced by a cold one, one a second."""

    name = 'release'

    def disturb(self, load: FlowLoad) -> None:
        """Replace them in turn."""
        for place, server in enumerate(list(load.server_by_name.values())):
            load.fleet.at(1 + place, partial(_replace, load, server.name))


class CentreShort(Moment):
    """All upstreams of one data centre but one leave."""

    name = 'centre_short'

    def disturb(self, load: FlowLoad) -> None:
        """Drain those of the first data centre but the last."""
        near = [
            server
            for server in load.server_by_name.values()
            if server.data_centre == load.centres[0]
        ]
        for server in near[:-1]:
            load.fleet.at(3, partial(load.drain_server, server.name))


class CentreWithoutUpstreams(Moment):
    """All upstreams of one data centre leave."""

    name = 'centre_without_upstreams'

    def disturb(self, load: FlowLoad) -> None:
        """Drain those of the first data centre."""
        for server in list(load.server_by_name.values()):
            if server.data_centre == load.centres[0]:
                load.fleet.at(3, partial(load.drain_server, server.name))


MOMENTS: tuple[type[Moment], ...] = (
    Calm,
    Uneven,
    Burst,
    SlowUpstream,
    GreyUpstream,
    Release,
    CentreShort,
    CentreWithoutUpstreams,
)


class PlacementBenchmark(Benchmark):
    """Play every moment under every policy."""

    name = 'placement'
    summary = 'latency, copies and balance of new flows at the worst moments, by policy'

    def add_options(self, parser: ArgumentParser) -> None:
        """Offer seed, balancers and upstreams of a data centre, and seconds of load."""
        parser.add_argument('--seed', type=int, default=1)
        parser.add_argument('--hosts', type=int, default=3)
        parser.add_argument('--upstreams', type=int, default=3)
        parser.add_argument('--lasting-s', type=float, default=_LASTING_S)

    def run(self, options: Namespace) -> PlacementReport:
        """Play; the product must be nearly as good as the best of the others."""
        figures = {}
        failed = []
        for kind in MOMENTS:
            by_policy = {
                policy: played(kind(), placement_of, options)
                for policy, placement_of in POLICIES.items()
            }
            figures[kind.name] = by_policy
            failed.extend(_failures(kind, by_policy))
        return PlacementReport(options.seed, figures, failed, not failed)


def played(
    moment: Moment,
    placement_of: type[Placement],
    options: Namespace,
) -> PlacementFigures:
    """Play one moment under one policy."""
    load = FlowLoad(
        options.hosts,
        options.upstreams,
        placement_of,
        options.seed,
        moment.weights,
    )
    servers = len(load.server_by_name)
    usual = _SINGLE_SHARE * servers * SLOTS / WORK_S
    moment.disturb(load)
    load.arrive(lambda at_s: moment.rate_of(at_s, usual), options.lasting_s)
    load.hold_flows(_USERS_PER_UPSTREAM * servers, options.lasting_s)
    load.fleet.run(options.lasting_s + _SETTLING_S)
    return _figures_of(load, servers, options.lasting_s + _SETTLING_S)


def _figures_of(load: FlowLoad, servers: int, played_s: float) -> PlacementFigures:
    """Return what was felt, beside one queue for all slots that were there at first."""
    ideal = ideal_queue(sorted(load.arrivals), servers * SLOTS, _HOP_S)
    ran = [server.ran for server in load.server_by_name.values()]
    total = len(load.arrivals)
    unanswered = total - len(load.latencies)
    late = sum(latency > _LATE_S for latency in load.latencies)
    p99 = quantile(load.latencies, _P99)
    heartbeats = sum(node.heartbeats for node in load.fleet.running)
    node_seconds = len(load.fleet.running) * played_s
    return PlacementFigures(
        requests=total,
        p50=round(quantile(load.latencies, _P50), 4),
        p99=round(p99, 4),
        p99_over_ideal=round(p99 / quantile(ideal.latencies, _P99), 3),
        late_share=round((late + unanswered) / total, 4),
        copy_share=round(load.waited_for_copy / max(load.opened, 1), 4),
        opened_twice=load.opened_twice,
        failed=unanswered,
        imbalance=round(max(ran) * len(ran) / sum(ran), 3),
        heartbeats_s=round(heartbeats / node_seconds, 1),
    )


def _replace(load: FlowLoad, name: str) -> None:
    load.add_server(load.server_by_name[name].data_centre, COLD_S)
    load.drain_server(name)


#: How much more late requests than the best policy the product may have in one moment.
#: Source: twice the difference between two seeds.
_LATE_SLACK = 0.01

#: How much more than the least of all policies the product's imbalance may be where
#: upstreams are equal.  Source: the difference between two seeds.
_IMBALANCE_SLACK = 0.1


def _failures(kind: type[Moment], by_policy: dict[str, PlacementFigures]) -> list[str]:
    """Return where the product's policies are worse than they may be."""
    best = min(figures.late_share for figures in by_policy.values())
    failed = []
    for name in (_PRODUCT, _EQUAL):
        if by_policy[name].late_share > best + _LATE_SLACK:
            failed.append(f'{kind.name}.{name}.late_share')
    least = min(figures.imbalance for figures in by_policy.values())
    if kind.equal_upstreams and by_policy[_EQUAL].imbalance > least + _IMBALANCE_SLACK:
        failed.append(f'{kind.name}.imbalance')
    return failed
