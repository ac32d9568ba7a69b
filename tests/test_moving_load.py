"""Test that load moves between data centres while the local one lacks capacity, and no longer."""

from collections.abc import Callable
from functools import partial
from itertools import pairwise
from math import pi, sin
from unittest import TestCase

from bronzekeel.core.routing.demand_control import DemandControlMode
from bronzekeel.core.routing.events import Evacuation
from bronzekeel.core.routing.follower import Collection
from bronzekeel.core.routing.load_reports import centre_demand
from bronzekeel.core.routing.moving_load import (
    REPORT_VALID_S,
)
from bronzekeel.core.routing.relays import RELAY_S, RELAYS
from bronzekeel.core.routing.remote_flows import RemoteFlowReason
from bronzekeel.replay.flow_load import CENTRES, SINGLE, FlowLoad
from bronzekeel.replay.load_callers import RequestKind
from bronzekeel.replay.routing_fleet import FleetPolicies, RoutingNode


_MOVING = FleetPolicies(demand_control=DemandControlMode.ALWAYS)
_PATIENT = RequestKind('patient', SINGLE.key, target_s=0.5, timeout_s=4)
_HOSTS = 3
_SERVERS = 3

#: Requests a second that the nine slots of a data centre can do.
_CAPACITY = _SERVERS * 3 / _PATIENT.work_s
_USUAL = 0.4

#: Seconds within which load has to move.
_REACTION_S = 1.0

#: Seconds that an old report stays valid: at its receiver, at a neighbour, and a heartbeat between.
_REPORT_ENDS_S = 5.5

#: Seconds in which large data centres that start together discover each other.
_DISCOVERY_S = 30

_Rate = Callable[[float], float]


def _usual(at_s: float) -> float:
    return _USUAL


def _load(
    rates: tuple[_Rate, _Rate, _Rate],
    lasting_s: float,
    policies: FleetPolicies = _MOVING,
    hosts: int = _HOSTS,
) -> FlowLoad:
    """Return a load with planned arrivals; `rates` are shares of each data centre's capacity."""
    load = FlowLoad(hosts, _SERVERS, policies, 1, kinds=(_PATIENT,))
    for centre, rate in zip(CENTRES, rates, strict=True):
        load.arrive(partial(_requests_s, rate), lasting_s, _PATIENT, centre)
    return load


def _requests_s(rate: _Rate, at_s: float) -> float:
    return max(rate(at_s), 0.01) * _CAPACITY


def _remote_flow_times(load: FlowLoad, home: str | None = None) -> list[float]:
    """Return when flows were opened remotely, in seconds from the start of the load."""
    began_at = load.fleet.now - load.elapsed_s
    return [at - began_at for at, source, _ in load.callers.remote_opens if home in {None, source}]


def _allowances(load: FlowLoad, home: str, centre: str) -> list[float]:
    """Return how many requests each host in `home` may have in progress in `centre`."""
    return [
        node.state.directory.pools_by_service['portal'][centre].allowance
        for node in _nodes(load, home)
    ]


def _nodes(load: FlowLoad, centre: str) -> list[RoutingNode]:
    return [node for node in load.fleet.running if node.me.data_centre == centre]


class SurgeTest(TestCase):
    """Four times the callers of one data centre for five seconds."""

    begins_s = 6.0
    ends_s = 11.0

    def test_flows_move_only_during_the_surge(self) -> None:
        """Guards against moving flows for seconds after a surge has ended."""
        load = _load((self._surge, _usual, _usual), 16)
        load.fleet.run(18)
        moved = _remote_flow_times(load, 'dc-a')
        self.assertLess(min(moved), self.begins_s + _REACTION_S)
        self.assertGreater(min(moved), self.begins_s)
        self.assertLess(max(moved), self.ends_s + _REACTION_S)

    def test_nothing_is_refused_that_others_can_serve(self) -> None:
        """Guards against refusals beside idle remote upstreams."""
        load = _load((self._surge, _usual, _usual), 16)
        load.fleet.run(20)
        tally = load.tally_by_kind[_PATIENT.name]
        self.assertGreater(tally.earned / tally.full_worth, 0.98)

    def test_others_send_no_flows_back(self) -> None:
        """Guards against data centres that send each other flows at the same time."""
        load = _load((self._surge, _usual, _usual), 16)
        load.fleet.run(18)
        self.assertEqual([], _remote_flow_times(load, 'dc-b') + _remote_flow_times(load, 'dc-c'))

    def _surge(self, at_s: float) -> float:
        return _USUAL * 4 if self.begins_s <= at_s < self.ends_s else _USUAL


class LargeDataCentreTest(TestCase):
    """Twenty hosts, whose regular heartbeats go every 0.8 seconds."""

    def test_all_hosts_learn_in_time_that_capacity_ended(self) -> None:
        """Guards against reports that take two seconds when a surge lasts three."""
        load = _load((_usual, _usual, _usual), 1, hosts=20)
        load.fleet.run(_DISCOVERY_S)
        for _ in range(5):
            before = sum(_allowances(load, 'dc-b', 'dc-a'))
            _add_busy_requests(load, 'dc-a', 1)
            load.fleet.run(_REACTION_S)
            self.assertLess(sum(_allowances(load, 'dc-b', 'dc-a')), before / 3)
            _add_busy_requests(load, 'dc-a', -1)
            load.fleet.run(3.3)


def _add_busy_requests(load: FlowLoad, centre: str, requests: int) -> None:
    """Add requests in progress to the view of hosts, and waiting ones except at relays."""
    for node in _nodes(load, centre):
        upstreams = node.state.directory.of_service('portal')
        upstream = next(one for one in upstreams if one.entry.data_centre == centre)
        upstream.busy_flows += requests
        if _working_relays_before(node, load.fleet.now) >= RELAYS:
            upstream.pool.waiting += requests


class WavesTest(TestCase):
    """Waves of fifteen seconds, out of phase between data centres."""

    def test_nothing_moves_in_waves_that_can_be_served_locally(self) -> None:
        """Guards against traffic between data centres for differences that harm nobody."""
        load = _load(_waves(_USUAL), 30)
        load.fleet.run(31)
        self.assertEqual([], _remote_flow_times(load))

    def test_shares_do_not_oscillate(self) -> None:
        """Guards against flows that change direction faster than the waves do."""
        load = _load(_waves(0.7), 30)
        load.fleet.run(31)
        self.assertNotEqual([], _remote_flow_times(load))
        for centre in CENTRES:
            senders = _net_by_second(load, centre, 30)
            changes = sum(before != after for before, after in pairwise(senders))
            self.assertLessEqual(changes, 2 * 30 / 15, centre)


def _waves(mean: float) -> tuple[_Rate, _Rate, _Rate]:
    """Return rates that vary by 0.55 with a period of 15 s, each a third of it later."""

    def wave(phase: float, at_s: float) -> float:  # noqa: WPS430 (closes over the mean)
        return mean * (1 + 0.55 * sin(2 * pi * (at_s / 15 + phase)))

    return partial(wave, 0), partial(wave, 1 / 3), partial(wave, 2 / 3)


def _net_by_second(load: FlowLoad, centre: str, lasting_s: int) -> list[bool]:
    """Return whether a data centre sent more flows than it got, by second; ties are left out."""
    began_at = load.fleet.now - load.elapsed_s
    net = [0 for _ in range(lasting_s + 2)]
    for at, source, target in load.callers.remote_opens:
        net[int(at - began_at)] += (source == centre) - (target == centre)
    return [flows > 0 for flows in net if flows]


class MovedCallersTest(TestCase):
    """Most callers of one data centre arrive through another for six seconds."""

    def test_flows_move_back_at_once(self) -> None:
        """Guards against refusals where callers arrive, beside idle upstreams that they left."""
        load = _load((self._receiving, self._leaving, partial(_constant, 0.6)), 18)
        load.fleet.run(20)
        moved = _remote_flow_times(load, 'dc-a')
        self.assertLess(min(moved), 6 + _REACTION_S)
        self.assertLess(max(moved), 12 + _REACTION_S)
        tally = load.tally_by_kind[_PATIENT.name]
        self.assertGreater(tally.earned / tally.full_worth, 0.98)

    def _receiving(self, at_s: float) -> float:
        return 0.6 + 0.6 * 0.8 if 6 <= at_s < 12 else 0.6

    def _leaving(self, at_s: float) -> float:
        return 0.6 * 0.2 if 6 <= at_s < 12 else 0.6


def _constant(share: float, at_s: float) -> float:
    return share


class SlowUpstreamsTest(TestCase):
    """All upstreams of one data centre work three times slower for five seconds."""

    def test_a_slow_data_centre_moves_what_it_cannot_serve(self) -> None:
        """Guards against counting slots of upstreams that have become slow as free capacity."""
        load = _load((partial(_constant, 0.6), _usual, _usual), 16)
        servers = [one for one in load.server_by_name.values() if one.data_centre == 'dc-a']
        for server in servers:
            load.fleet.at(6, partial(setattr, server, 'slow', 3))
            load.fleet.at(11, partial(setattr, server, 'slow', 1))
        load.fleet.run(18)
        moved = _remote_flow_times(load, 'dc-a')
        self.assertLess(min(moved), 6 + _REACTION_S)
        self.assertGreater(min(moved), 6)
        self.assertLess(max(moved), 11 + _REACTION_S)


class FailureTest(TestCase):
    """Data centres that are cut off, evacuated, cut off one way or restarted."""

    def test_a_cut_off_data_centre_has_no_allowance(self) -> None:
        """Guards against sending flows by an old report to a data centre that is cut off."""
        load = _load((_usual, _usual, _usual), 12)
        load.fleet.run(5)
        self.assertGreater(min(_allowances(load, 'dc-a', 'dc-b')), 0)
        load.fleet.isolated_centres.add('dc-b')
        load.fleet.run(_REPORT_ENDS_S)
        self.assertEqual(0, max(_allowances(load, 'dc-a', 'dc-b')))
        self.assertGreater(min(_allowances(load, 'dc-a', 'dc-c')), 0)

    def test_a_data_centre_cut_off_one_way_has_no_allowance(self) -> None:
        """Guards against sending flows over a lossy link while reports still come back."""
        load = _load((_usual, _usual, _usual), 14)
        load.fleet.run(5)
        load.fleet.lost_directions.add(('dc-a', 'dc-b'))
        load.fleet.run(_REPORT_ENDS_S + RELAY_S)
        self.assertEqual(0, max(_allowances(load, 'dc-a', 'dc-b')))
        self.assertGreater(min(_allowances(load, 'dc-b', 'dc-c')), 0)

    def test_an_evacuation_moves_all_flows_away(self) -> None:
        """Guards against a surge that moves flows into an evacuated data centre."""
        load = _load((partial(_constant, 0.9), _usual, _usual), 14)
        load.fleet.run(5)
        load.fleet.store.put(Collection.EVACUATIONS, 'dc-b', lambda revision: Evacuation())
        load.fleet.notify_watches()
        evacuated_at = load.elapsed_s + _REACTION_S
        load.fleet.run(12)
        began_at = load.fleet.now - load.elapsed_s
        moved_at = [
            at - began_at for at, _, centre in load.callers.remote_opens if centre == 'dc-b'
        ]
        self.assertLess(max(moved_at, default=0), evacuated_at)
        tally = load.tally_by_kind[_PATIENT.name]
        self.assertGreater(tally.earned / tally.full_worth, 0.95)
        reasons = _reasons(load, 'dc-b')
        self.assertGreater(reasons[RemoteFlowReason.NO_UPSTREAM], 0)

    def test_a_restarted_data_centre_reports_no_early_demand(self) -> None:
        """Guards against restarted hosts that forgot their requests and report no demand."""
        load = _load((_usual, _usual, _usual), 14)
        load.fleet.run(5)
        names = [node.me.name for node in _nodes(load, 'dc-b')]
        for name in names:
            load.fleet.kill(name)
        load.fleet.run(REPORT_VALID_S)
        for name in names:
            load.fleet.restart(name)
        load.fleet.run(0.5)
        for node in _nodes(load, 'dc-b'):
            self.assertFalse(centre_demand(node.state, load.fleet.now))
        load.fleet.run(4)
        self.assertGreater(min(_allowances(load, 'dc-a', 'dc-b')), 0)

    def test_a_relay_that_dies_is_replaced(self) -> None:
        """Guards against allowances that end with the one host that reported free capacity."""
        load = _load((_usual, _usual, _usual), 14, hosts=4)
        load.fleet.run(5)
        relays = [
            node
            for node in _nodes(load, 'dc-b')
            if not _working_relays_before(node, load.fleet.now)
        ]
        load.fleet.kill(relays[0].me.name)
        for _ in range(40):
            load.fleet.run(0.1)
            self.assertGreater(max(_allowances(load, 'dc-a', 'dc-b')), 0)


def _working_relays_before(node: RoutingNode, now: float) -> int:
    return node.state.relays.working_before(now)


def _reasons(load: FlowLoad, centre: str) -> dict[str, int]:
    """Return the flows that the hosts of a data centre sent to others, by reason."""
    reasons = dict.fromkeys(RemoteFlowReason, 0)
    for node in _nodes(load, centre):
        for reason, flows in node.state.demand.moving.remote_flows.flows_by_reason.items():
            reasons[RemoteFlowReason(reason)] += flows
    return {**reasons}
