"""Test that load moves between data centres while home lacks room, and no longer."""

from collections.abc import Callable
from functools import partial
from itertools import pairwise
from math import pi, sin
from unittest import TestCase

from bronzekeel.core.routing.demand_control import DemandControlMode
from bronzekeel.core.routing.departures import Departure
from bronzekeel.core.routing.events import Evacuation
from bronzekeel.core.routing.follower import Collection
from bronzekeel.core.routing.load_words import asked_of_centre
from bronzekeel.core.routing.moving_load import (
    ROOM_WORD_S,
)
from bronzekeel.core.routing.relays import RELAY_S, RELAYS
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

#: Seconds within which load follows, as asked for.
_FOLLOWS_S = 1.0

#: The longest that an old word counts: at who heard it, at a neighbour, and a heartbeat between.
_WORD_ENDS_S = 5.5

#: Seconds in which large data centres that start together have found each other.
_FOUND_S = 30

_Rate = Callable[[float], float]


def _usual(at_s: float) -> float:
    return _USUAL


def _load(
    rates: tuple[_Rate, _Rate, _Rate],
    lasting_s: float,
    policies: FleetPolicies = _MOVING,
    hosts: int = _HOSTS,
) -> FlowLoad:
    """Return a planned load; the rates of each data centre's callers are shares of its slots."""
    load = FlowLoad(hosts, _SERVERS, policies, 1, kinds=(_PATIENT,))
    for centre, rate in zip(CENTRES, rates, strict=True):
        load.arrive(partial(_requests_s, rate), lasting_s, _PATIENT, centre)
    return load


def _requests_s(rate: _Rate, at_s: float) -> float:
    return max(rate(at_s), 0.01) * _CAPACITY


def _crossings(load: FlowLoad, home: str | None = None) -> list[float]:
    """Return when flows were opened elsewhere, seconds from the start of the load."""
    began_at = load.fleet.now - load.elapsed_s
    return [at - began_at for at, left, _ in load.callers.remote_opens if home in {None, left}]


def _room(load: FlowLoad, home: str, centre: str) -> list[float]:
    """Return what each host in `home` may have in progress in `centre`."""
    return [
        node.state.directory.pools_by_service['portal'][centre].allowance
        for node in _nodes(load, home)
    ]


def _nodes(load: FlowLoad, centre: str) -> list[RoutingNode]:
    return [node for node in load.fleet.running if node.me.data_centre == centre]


class CrowdTest(TestCase):
    """Four times the callers of one data centre for five seconds."""

    begins_s = 6.0
    ends_s = 11.0

    def test_flows_leave_soon_and_no_longer_than_the_crowd(self) -> None:
        """Guards against flows that are sent away for seconds after a crowd is over."""
        load = _load((self._crowd, _usual, _usual), 16)
        load.fleet.run(18)
        crossed = _crossings(load, 'dc-a')
        self.assertLess(min(crossed), self.begins_s + _FOLLOWS_S)
        self.assertGreater(min(crossed), self.begins_s)
        self.assertLess(max(crossed), self.ends_s + _FOLLOWS_S)

    def test_nothing_is_refused_that_others_have_room_for(self) -> None:
        """Guards against callers refused beside idle upstreams elsewhere."""
        load = _load((self._crowd, _usual, _usual), 16)
        load.fleet.run(20)
        tally = load.tally_by_kind[_PATIENT.name]
        self.assertGreater(tally.earned / tally.full_worth, 0.98)

    def test_others_send_nothing_back(self) -> None:
        """Guards against data centres that send each other flows at the same time."""
        load = _load((self._crowd, _usual, _usual), 16)
        load.fleet.run(18)
        self.assertEqual([], _crossings(load, 'dc-b') + _crossings(load, 'dc-c'))

    def _crowd(self, at_s: float) -> float:
        return _USUAL * 4 if self.begins_s <= at_s < self.ends_s else _USUAL


class LargeDataCentreTest(TestCase):
    """Twenty hosts, whose ordinary heartbeats go every 0.8 seconds."""

    def test_all_hosts_hear_within_a_second_that_room_ended(self) -> None:
        """Guards against word that takes two seconds, where a crowd lasts three."""
        load = _load((_usual, _usual, _usual), 1, hosts=20)
        load.fleet.run(_FOUND_S)
        for _ in range(5):
            before = sum(_room(load, 'dc-b', 'dc-a'))
            _make_busy(load, 'dc-a', 1)
            load.fleet.run(_FOLLOWS_S)
            self.assertLess(sum(_room(load, 'dc-b', 'dc-a')), before / 3)
            _make_busy(load, 'dc-a', -1)
            load.fleet.run(3.3)


def _make_busy(load: FlowLoad, centre: str, requests: int) -> None:
    """Let hosts see more requests in progress in their data centre, and some wait but at relays."""
    for node in _nodes(load, centre):
        upstreams = node.state.directory.of_service('portal')
        upstream = next(one for one in upstreams if one.entry.data_centre == centre)
        upstream.busy_flows += requests
        if _before(node, load.fleet.now) >= RELAYS:
            upstream.pool.waiting += requests


class WavesTest(TestCase):
    """Waves of fifteen seconds in counter-phase."""

    def test_nothing_crosses_in_waves_that_home_can_serve(self) -> None:
        """Guards against bytes between data centres for differences that cost nobody anything."""
        load = _load(_waves(_USUAL), 30)
        load.fleet.run(31)
        self.assertEqual([], _crossings(load))

    def test_shares_do_not_swing(self) -> None:
        """Guards against flows that go to and fro faster than the waves do."""
        load = _load(_waves(0.7), 30)
        load.fleet.run(31)
        self.assertNotEqual([], _crossings(load))
        for centre in CENTRES:
            senders = _net_by_second(load, centre, 30)
            changes = sum(before != after for before, after in pairwise(senders))
            self.assertLessEqual(changes, 2 * 30 / 15, centre)


def _waves(mean: float) -> tuple[_Rate, _Rate, _Rate]:
    """Return rates that swing by 0.55 with a period of 15 s, each a third of it later."""

    def wave(phase: float, at_s: float) -> float:  # noqa: WPS430 (holds the mean)
        return mean * (1 + 0.55 * sin(2 * pi * (at_s / 15 + phase)))

    return partial(wave, 0), partial(wave, 1 / 3), partial(wave, 2 / 3)


def _net_by_second(load: FlowLoad, centre: str, lasting_s: int) -> list[bool]:
    """Return whether a data centre sent more flows than it got, for seconds in which it did any."""
    began_at = load.fleet.now - load.elapsed_s
    net = [0 for _ in range(lasting_s + 2)]
    for at, home, there in load.callers.remote_opens:
        net[int(at - began_at)] += (home == centre) - (there == centre)
    return [flows > 0 for flows in net if flows]


class MovedCallersTest(TestCase):
    """Most callers of one data centre come through another for six seconds."""

    def test_what_home_cannot_serve_goes_back_at_once(self) -> None:
        """Guards against callers refused where they are moved to, beside upstreams left idle."""
        load = _load((self._receiving, self._leaving, partial(_always, 0.6)), 18)
        load.fleet.run(20)
        crossed = _crossings(load, 'dc-a')
        self.assertLess(min(crossed), 6 + _FOLLOWS_S)
        self.assertLess(max(crossed), 12 + _FOLLOWS_S)
        tally = load.tally_by_kind[_PATIENT.name]
        self.assertGreater(tally.earned / tally.full_worth, 0.98)

    def _receiving(self, at_s: float) -> float:
        return 0.6 + 0.6 * 0.8 if 6 <= at_s < 12 else 0.6

    def _leaving(self, at_s: float) -> float:
        return 0.6 * 0.2 if 6 <= at_s < 12 else 0.6


def _always(share: float, at_s: float) -> float:
    return share


class SlowUpstreamsTest(TestCase):
    """All upstreams of one data centre work three times slower for five seconds."""

    def test_a_slow_data_centre_sends_what_it_cannot_serve(self) -> None:
        """Guards against counting slots of upstreams that have become slow as room."""
        load = _load((partial(_always, 0.6), _usual, _usual), 16)
        slow = [one for one in load.server_by_name.values() if one.data_centre == 'dc-a']
        for server in slow:
            load.fleet.at(6, partial(setattr, server, 'slow', 3))
            load.fleet.at(11, partial(setattr, server, 'slow', 1))
        load.fleet.run(18)
        crossed = _crossings(load, 'dc-a')
        self.assertLess(min(crossed), 6 + _FOLLOWS_S)
        self.assertGreater(min(crossed), 6)
        self.assertLess(max(crossed), 11 + _FOLLOWS_S)


class FailureTest(TestCase):
    """Data centres that are cut off, evacuated, half heard or dark."""

    def test_a_cut_off_data_centre_has_no_room(self) -> None:
        """Guards against flows sent by a word that is old into a data centre that is cut off."""
        load = _load((_usual, _usual, _usual), 12)
        load.fleet.run(5)
        self.assertGreater(min(_room(load, 'dc-a', 'dc-b')), 0)
        load.fleet.isolated_centres.add('dc-b')
        load.fleet.run(_WORD_ENDS_S)
        self.assertEqual(0, max(_room(load, 'dc-a', 'dc-b')))
        self.assertGreater(min(_room(load, 'dc-a', 'dc-c')), 0)

    def test_a_half_heard_data_centre_has_no_room(self) -> None:
        """Guards against flows on a way on which nothing arrives, though word comes back."""
        load = _load((_usual, _usual, _usual), 14)
        load.fleet.run(5)
        load.fleet.lost_directions.add(('dc-a', 'dc-b'))
        load.fleet.run(_WORD_ENDS_S + RELAY_S)
        self.assertEqual(0, max(_room(load, 'dc-a', 'dc-b')))
        self.assertGreater(min(_room(load, 'dc-b', 'dc-c')), 0)

    def test_an_evacuated_data_centre_sends_all(self) -> None:
        """Guards against flows that a crowd brings into a data centre that people work on."""
        load = _load((partial(_always, 0.9), _usual, _usual), 14)
        load.fleet.run(5)
        load.fleet.store.put(Collection.EVACUATIONS, 'dc-b', lambda revision: Evacuation())
        load.fleet.notify_watches()
        evacuated_at = load.elapsed_s + _FOLLOWS_S
        load.fleet.run(12)
        began_at = load.fleet.now - load.elapsed_s
        there = [at - began_at for at, _, centre in load.callers.remote_opens if centre == 'dc-b']
        self.assertLess(max(there, default=0), evacuated_at)
        tally = load.tally_by_kind[_PATIENT.name]
        self.assertGreater(tally.earned / tally.full_worth, 0.95)
        reasons = _reasons(load, 'dc-b')
        self.assertGreater(reasons[Departure.NO_UPSTREAM], 0)

    def test_a_dark_data_centre_tells_no_room_before_it_knows(self) -> None:
        """Guards against hosts that have forgotten their requests and tell that nobody asks."""
        load = _load((_usual, _usual, _usual), 14)
        load.fleet.run(5)
        names = [node.me.name for node in _nodes(load, 'dc-b')]
        for name in names:
            load.fleet.kill(name)
        load.fleet.run(ROOM_WORD_S)
        for name in names:
            load.fleet.restart(name)
        load.fleet.run(0.5)
        for node in _nodes(load, 'dc-b'):
            self.assertFalse(asked_of_centre(node.state, load.fleet.now))
        load.fleet.run(4)
        self.assertGreater(min(_room(load, 'dc-a', 'dc-b')), 0)

    def test_a_relay_that_dies_is_replaced(self) -> None:
        """Guards against room that is lost with the one host that told it."""
        load = _load((_usual, _usual, _usual), 14, hosts=4)
        load.fleet.run(5)
        relays = [node for node in _nodes(load, 'dc-b') if not _before(node, load.fleet.now)]
        load.fleet.kill(relays[0].me.name)
        for _ in range(40):
            load.fleet.run(0.1)
            self.assertGreater(max(_room(load, 'dc-a', 'dc-b')), 0)


def _before(node: RoutingNode, now: float) -> int:
    return node.state.relays.working_before(now)


def _reasons(load: FlowLoad, centre: str) -> dict[str, int]:
    """Return the flows that the hosts of a data centre sent elsewhere, by reason."""
    reasons = dict.fromkeys(Departure, 0)
    for node in _nodes(load, centre):
        for reason, flows in node.state.demand.moving.departures.flows_by_reason.items():
            reasons[Departure(reason)] += flows
    return {**reasons}
