"""Benchmark moments: patterns of load, and the faults that occur in the meantime."""

from abc import ABC, abstractmethod
from functools import partial
from typing import ClassVar

from bronzekeel.replay.flow_load import CENTRES, FEED, SINGLE, FlowLoad
from bronzekeel.replay.load_callers import RequestKind
from bronzekeel.replay.load_servers import Server, ServerKind


#: Base load: the share of all slots that single requests occupy, and long flows per upstream.
_SINGLE_SHARE = 0.25
_USERS_PER_UPSTREAM = 4

#: Seconds after which the entry of an unresponsive upstream lapses.
_ENTRY_LAPSE_S = 2.4

#: Single requests that have a higher value and are more urgent than feeds.
URGENT = RequestKind(
    'urgent',
    SINGLE.key,
    work_s=0.052,
    target_s=0.25,
    worth=2,
    late_worth=0.6,
)

#: Clients per upstream that request feeds.
_CLIENTS_PER_UPSTREAM = 7


class Moment(ABC):
    """A load pattern of `lasting_s` seconds, with faults.

    All balancers are down during `outage_interval`, if it isn't empty.  Answers that take
    longer than `late_after_s` count as late.
    """

    name: ClassVar[str]
    equal_upstreams: ClassVar[bool] = False
    weights: ClassVar[tuple[int, ...]] = (1, 1, 1)
    server_kind: ClassVar[ServerKind] = ServerKind()
    kinds: ClassVar[tuple[RequestKind, ...]] = (SINGLE, FEED)
    outage_interval: ClassVar[tuple[float, float]] = (0, 0)
    late_after_s: ClassVar[float] = SINGLE.target_s
    lasting_s: float = 12

    def plan_requests(self, load: FlowLoad) -> None:
        """Schedule the requests of callers: the base load, unless overridden."""
        servers = len(load.server_by_name)
        base_rate = _SINGLE_SHARE * servers * load.server_kind.slots / SINGLE.work_s
        load.arrive(lambda at_s: self.rate_of(at_s, base_rate), self.lasting_s)
        load.run_users(_USERS_PER_UPSTREAM * servers, self.lasting_s)

    def rate_of(self, at_s: float, base_rate: float) -> float:
        """Return the requests per second at `at_s` seconds into the moment."""
        return base_rate

    @abstractmethod
    def schedule_faults(self, load: FlowLoad) -> None:
        """Schedule the faults of the moment."""


class Calm(Moment):
    """Base load without faults."""

    name = 'calm'
    equal_upstreams = True

    def schedule_faults(self, load: FlowLoad) -> None:
        """Schedule no faults."""


class Uneven(Calm):
    """The callers of one data centre send half of all requests."""

    name = 'uneven'
    weights = (2, 1, 1)


class Burst(Calm):
    """The rate of single requests triples for three seconds."""

    name = 'burst'

    def rate_of(self, at_s: float, base_rate: float) -> float:
        """Return the base rate, tripled between 4 s and 7 s."""
        return base_rate * 3 if 4 <= at_s < 7 else base_rate


class SlowUpstream(Moment):
    """One upstream is five times slower for six seconds."""

    name = 'slow_upstream'

    def schedule_faults(self, load: FlowLoad) -> None:
        """Slow down the first upstream, then restore its speed."""
        server = next(iter(load.server_by_name.values()))
        load.fleet.at(3, partial(setattr, server, 'slow', 5))
        load.fleet.at(9, partial(setattr, server, 'slow', 1))


class GreyUpstream(Moment):
    """One upstream accepts flows but answers no requests for two seconds."""

    name = 'grey_upstream'

    def schedule_faults(self, load: FlowLoad) -> None:
        """Make the first upstream stop answering requests for two seconds."""
        server = next(iter(load.server_by_name.values()))
        load.fleet.at(3, partial(setattr, server, 'grey', True))
        load.fleet.at(5, partial(setattr, server, 'grey', False))


class UnresponsiveUpstream(Moment):
    """One upstream becomes unresponsive, and its entry lapses later."""

    name = 'silent_upstream'

    def schedule_faults(self, load: FlowLoad) -> None:
        """Make the first upstream unresponsive."""
        first = next(iter(load.server_by_name))
        load.fleet.at(3, partial(load.fail_server, first, _ENTRY_LAPSE_S))


class Release(Moment):
    """Each upstream is replaced by a cold one, one per second."""

    name = 'release'

    def schedule_faults(self, load: FlowLoad) -> None:
        """Replace the upstreams in turn."""
        for index, server in enumerate(list(load.server_by_name.values())):
            load.fleet.at(1 + index, partial(_replace_server, load, server.name))


class CentreShort(Moment):
    """All but one of the upstreams of one data centre drain."""

    name = 'centre_short'

    def schedule_faults(self, load: FlowLoad) -> None:
        """Drain all upstreams of the first data centre except the last."""
        for server in _servers_in(load, CENTRES[0])[:-1]:
            load.fleet.at(3, partial(load.drain_server, server.name))


class CentreWithoutUpstreams(Moment):
    """All upstreams of one data centre drain."""

    name = 'centre_without_upstreams'

    def schedule_faults(self, load: FlowLoad) -> None:
        """Drain all upstreams of the first data centre."""
        for server in _servers_in(load, CENTRES[0]):
            load.fleet.at(3, partial(load.drain_server, server.name))


class Overload(Calm):
    """Demand rises by `rate_factor` for four seconds, for feeds and urgent requests alike.

    The base demand is `base_load` of the capacity of all slots.
    """

    name = 'overload'
    kinds = (URGENT, FEED)
    equal_upstreams = False
    begins_s: ClassVar[float] = 4
    ends_s: ClassVar[float] = 8
    base_load: ClassVar[float] = 0.4
    feed_share: ClassVar[float] = 0.75
    rate_factor: float = 3

    def plan_requests(self, load: FlowLoad) -> None:
        """Schedule requests of both kinds."""
        servers = len(load.server_by_name)
        work_s = self.base_load * servers * load.server_kind.slots
        feed_rate = work_s * self.feed_share / FEED.work_s
        urgent_rate = work_s * (1 - self.feed_share) / URGENT.work_s
        load.arrive(lambda at_s: self.rate_of(at_s, urgent_rate), self.lasting_s, URGENT)
        load.send_from_new_clients(
            lambda at_s: self.rate_of(at_s, feed_rate),
            self.lasting_s,
            _CLIENTS_PER_UPSTREAM * servers,
        )

    def rate_of(self, at_s: float, base_rate: float) -> float:
        """Return the base rate, multiplied by `rate_factor` during the burst."""
        return base_rate * self.rate_factor if self.begins_s <= at_s < self.ends_s else base_rate


class Overload15(Overload):
    """1.5 times the base demand: high, but within capacity."""

    name = 'overload_1.5'
    rate_factor = 1.5


class Overload2(Overload):
    """Twice the base demand, which is 0.8 of the capacity."""

    name = 'overload_2'
    rate_factor = 2


class Overload4(Overload):
    """Four times the base demand."""

    name = 'overload_4'
    rate_factor = 4


class OverloadTwoSlots(Overload):
    """Upstreams have two slots and a queue of two requests, and reject any more."""

    name = 'overload_short_queue'
    server_kind = ServerKind(slots=2, queue=2)


class OverloadOneSlot(Overload):
    """Upstreams have one slot and a long queue."""

    name = 'overload_one_slot'
    server_kind = ServerKind(slots=1, queue=16)


class OverloadThirdLost(Overload):
    """A third of the upstreams become unresponsive two seconds before the burst."""

    name = 'overload_third_lost'
    rate_factor = 2.5

    def schedule_faults(self, load: FlowLoad) -> None:
        """Make every third upstream unresponsive."""
        for name in list(load.server_by_name)[::3]:
            load.fleet.at(2, partial(load.fail_server, name, _ENTRY_LAPSE_S))


class OverloadRestart(Overload):
    """All balancers are down for one second during the burst."""

    name = 'overload_restart'
    rate_factor = 2.5
    outage_interval = (5, 6)

    def schedule_faults(self, load: FlowLoad) -> None:
        """Kill all balancers, and restart them at the end of the outage."""
        for name in load.fleet.node_by_name:
            load.fleet.at(self.outage_interval[0], partial(load.fleet.kill, name))
            load.fleet.at(self.outage_interval[1], partial(load.fleet.restart, name))


class HighLoad(Overload):
    """Constant demand of 0.8 of the capacity."""

    name = 'high_load'
    base_load = 0.8
    rate_factor = 1


def _servers_in(load: FlowLoad, centre: str) -> list[Server]:
    return [server for server in load.server_by_name.values() if server.data_centre == centre]


def _replace_server(load: FlowLoad, name: str) -> None:
    load.add_server(load.server_by_name[name].data_centre, cold=True)
    load.drain_server(name)


MOMENTS: tuple[type[Moment], ...] = (
    Calm,
    Uneven,
    Burst,
    SlowUpstream,
    GreyUpstream,
    UnresponsiveUpstream,
    Release,
    CentreShort,
    CentreWithoutUpstreams,
    HighLoad,
    Overload15,
    Overload2,
    Overload,
    Overload4,
    OverloadTwoSlots,
    OverloadOneSlot,
    OverloadThirdLost,
    OverloadRestart,
)
