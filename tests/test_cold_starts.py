"""Test that cold upstreams with a stated rate get no more than that from all hosts together."""

from collections.abc import Callable
from itertools import product
from unittest import TestCase

from bronzekeel.core.routing.cold_starts import SETTLING_S, ColdStarts
from bronzekeel.core.routing.eligibility import Eligibility
from bronzekeel.core.routing.events import ChangesRead, StoredObject
from bronzekeel.core.routing.follower import Collection
from bronzekeel.core.routing.messages import Heartbeat, Known, PeerAddress
from bronzekeel.core.routing.model import RoutingText, Upstream
from bronzekeel.core.routing.peer_exchange import view_since
from bronzekeel.core.routing.peers import PeerTable
from bronzekeel.core.routing.reducer import reduce
from bronzekeel.core.routing.state import RoutingState
from bronzekeel.entry.peer_messages import decode_view, encode_view
from tests.routing_cases import (
    HOME,
    INTAKE,
    INTAKE_KEY,
    PORTAL,
    PORTAL_KEY,
    delivered_to,
    entry,
    opening,
    ready_state,
    route,
    steering,
    text,
)


_RATE = 10.0
_OVERAGE = 1.5
_SLACK = 5.0
_HOSTS = 25
_UPSTREAMS = 10
_COLD_S = 5.0
_STEP_S = 0.01
_AWAY = 'dc-b'

#: Flows to one cold upstream that the rate allows in any second.
_ALLOWED = _RATE * _OVERAGE + _SLACK

_Hears = Callable[[int, int], bool]


class RateTest(TestCase):
    """Every host sends as much as it may, to each of ten upstreams that start together."""

    def test_hosts_that_hear_each_other(self) -> None:
        """Symptom: an upstream that has just started turns its first callers away.

        Sequence: ten start; each looks idle to 25 hosts, which all have flows to place.
        Cause: each host keeps to the rate by itself.
        """
        self._assert_within(lambda host, other: True)

    def test_hosts_of_a_data_centre_that_is_cut_in_two(self) -> None:
        """Symptom: the rate is passed while hosts do not hear each other.

        Sequence: the halves of a data centre lose each other right after all were heard.
        Cause: each half chooses a sender among those that it hears now.
        """
        for heard_before in (True, False):
            with self.subTest(heard_before=heard_before):
                self._assert_within(_in_one_half, heard_before=heard_before)

    def test_hosts_that_hear_nobody_send_nothing(self) -> None:
        """Symptom: hosts that start in a cut each send at the whole rate.

        Sequence: 25 hosts start and hear nobody, but know of seeds.
        Cause: whoever hears nobody takes itself for the only one.
        """
        self.assertEqual(0, self._assert_within(lambda host, other: False))

    def test_most_is_made_of_it(self) -> None:
        """Where all hear each other, each upstream gets nearly its whole rate."""
        sent = self._assert_within(lambda host, other: True)
        self.assertGreater(sent, _UPSTREAMS * _RATE * (_COLD_S - SETTLING_S))

    def test_a_host_without_seeds_sends_by_itself(self) -> None:
        """A balancer that is alone is the one that sends."""
        alone = ColdStarts(PeerTable(_peer(0), ()), alone=True)
        alone.begin(0)
        self.assertTrue(alone.may_take(_cold(1), _RATE, SETTLING_S))

    def test_a_rate_below_one(self) -> None:
        """One flow each four seconds is one flow each four seconds."""
        alone = ColdStarts(PeerTable(_peer(0), ()), 1, 0, alone=True)
        alone.begin(0)
        upstream = _cold(1, cold_s=60)
        sent = 0
        for step in range(2000):
            now = SETTLING_S + step * _STEP_S
            if alone.may_take(upstream, 0.5, now):
                alone.note_placed(upstream, now)
                sent += 1
        self.assertLessEqual(sent, 6)
        self.assertGreaterEqual(sent, 4)

    def test_many_upstreams_take_no_memory_of_what_was_sent(self) -> None:
        """A cold upstream could get twice its rate where a host sends to thousands of others.

        What was sent to each is remembered for a second; beyond some thousands of upstreams all of
        it was forgotten at once, and the window of each began anew.
        """
        alone = ColdStarts(PeerTable(_peer(0), ()), 1, 0, alone=True)
        alone.begin(0)
        upstream = _cold(1, cold_s=60)
        sent = 0
        for step in range(100):
            now = SETTLING_S + step * _STEP_S
            for number in range(2, 100):
                alone.may_take(_cold(step * 100 + number, cold_s=60), _RATE, now)
            if alone.may_take(upstream, _RATE, now):
                alone.note_placed(upstream, now)
                sent += 1
        self.assertLessEqual(sent, _RATE)

    def test_a_host_elsewhere_sends_nothing(self) -> None:
        """Another data centre's cold upstreams are left to its own hosts."""
        alone = ColdStarts(PeerTable(_peer(0), ()), alone=True)
        alone.begin(0)
        self.assertFalse(alone.may_take(_cold(1, data_centre=_AWAY), _RATE, SETTLING_S))

    def _assert_within(self, hears: _Hears, *, heard_before: bool = False) -> int:
        """Play 25 hosts that send what they may; return how much that was."""
        hosts = [_host(number, hears, heard_before=heard_before) for number in range(_HOSTS)]
        upstreams = [_cold(number) for number in range(1, _UPSTREAMS + 1)]
        at_by_name: dict[str, list[float]] = {upstream.entry.name: [] for upstream in upstreams}
        for step in range(int((_COLD_S - 1) / _STEP_S)):
            now = 1 + step * _STEP_S
            for host, upstream in product(hosts, upstreams):
                if not host.may_take(upstream, _RATE, now):
                    continue
                host.note_placed(upstream, now)
                at_by_name[upstream.entry.name].append(now)
        for sent_at in at_by_name.values():
            for start in sent_at:
                within = sum(start <= at < start + 1 for at in sent_at)
                self.assertLessEqual(within, _ALLOWED)
        return sum(map(len, at_by_name.values()))


class StatedTest(TestCase):
    """What the text states of services and routes."""

    def test_a_cold_upstream_with_a_rate_has_one_sender(self) -> None:
        """Flows go to a warm one instead; of a service without a rate nothing changes."""
        state = ready_state(entry(1, cold_s=60), entry(2, data_centre=_AWAY))
        self.assertEqual('i-00000001', delivered_to(steering(state).decide(opening(1), 10)))
        _put(state, RoutingText(9, 9, text(9).route_by_key, 15, {PORTAL: 5.0}))
        self.assertEqual('i-00000002', delivered_to(steering(state).decide(opening(2), 10)))

    def test_homes_hold_whatever_is_down(self) -> None:
        """Symptom: a request leaves the region that it must not leave.

        Sequence: the upstreams of its region are gone, others have room.
        Cause: any upstream is better than none.
        """
        state = ready_state(entry(1, INTAKE), entry(2, INTAKE, data_centre=_AWAY), entry(3))
        regions = {HOME: 'south', _AWAY: 'north'}
        state.eligibility = Eligibility(state.directory, ColdStarts(state.peers), regions)
        bound = route(INTAKE_KEY, INTAKE)
        bound.homes = frozenset(('north',))
        _put(state, text(9, bound, route(PORTAL_KEY, PORTAL)))
        decide = steering(state).decide
        self.assertEqual('i-00000002', delivered_to(decide(opening(1, key=INTAKE_KEY), 1)))
        self.assertEqual('i-00000003', delivered_to(decide(opening(2), 1)))
        removed = StoredObject('i-00000002', 90, None)
        reduce(state, ChangesRead(Collection.UPSTREAMS, [removed], 90), 2)
        refused = delivered_to(decide(opening(3, key=INTAKE_KEY), 9))
        self.assertEqual('Reset no_upstream', refused)

    def test_an_unknown_region_is_no_home(self) -> None:
        """A data centre that the settings do not have is in no region."""
        state = ready_state(entry(1))
        bound = route(PORTAL_KEY, PORTAL)
        bound.homes = frozenset(('north',))
        _put(state, text(9, bound))
        self.assertEqual('Reset no_upstream', delivered_to(steering(state).decide(opening(1), 1)))

    def test_peers_tell_both(self) -> None:
        """A host that learns the text from a peer holds it the same."""
        state = ready_state(entry(1))
        bound = route(PORTAL_KEY, PORTAL)
        bound.homes = frozenset(('north', 'south'))
        _put(state, RoutingText(9, 9, {bound.key: bound}, 15, {PORTAL: 2.5}))
        told = decode_view(encode_view(view_since(state, Known(0, 0, 0), 1))).text
        self.assertIsNotNone(told)
        if told is not None:
            self.assertEqual({PORTAL: 2.5}, told.cold_rate_by_service)
            self.assertEqual(bound.homes, told.route_by_key[bound.key].homes)


def _in_one_half(host: int, other: int) -> bool:
    half = _HOSTS // 2
    return (host < half) == (other < half)


def _put(state: RoutingState, content: RoutingText) -> None:
    stored = StoredObject('main', content.revision, content)
    reduce(state, ChangesRead(Collection.TEXT, [stored], content.revision), 1)


def _peer(number: int) -> PeerAddress:
    return PeerAddress(f'a{number}', HOME, (f'a{number}', 9))


def _cold(number: int, data_centre: str = HOME, cold_s: float = _COLD_S) -> Upstream:
    return Upstream(entry(number, cold_s=cold_s, data_centre=data_centre), 0)


def _host(number: int, hears: _Hears, *, heard_before: bool) -> ColdStarts:
    """Return a host that hears some others; `heard_before` that all were heard."""
    peers = PeerTable(_peer(number), (('seed', 9),))
    for other in range(_HOSTS):
        if other == number:
            continue
        if heard_before or hears(number, other):
            peers.note_heartbeat(Heartbeat(_peer(other), 1, 1, {}), 0)
    starts = ColdStarts(peers, _OVERAGE, _SLACK)
    starts.begin(-SETTLING_S)
    return starts
