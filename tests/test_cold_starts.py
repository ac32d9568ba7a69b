"""Test that all hosts together keep the configured rate of cold upstreams."""

from collections.abc import Callable
from itertools import product
from unittest import TestCase

from bronzekeel.core.routing.cold_starts import SETTLING_S, ColdStarts
from bronzekeel.core.routing.eligibility import Eligibility
from bronzekeel.core.routing.events import ChangesRead, StoredObject
from bronzekeel.core.routing.follower import Collection
from bronzekeel.core.routing.messages import Heartbeat, KnownVersions, PeerAddress
from bronzekeel.core.routing.model import RoutingText, Upstream
from bronzekeel.core.routing.peer_exchange import view_since
from bronzekeel.core.routing.peers import PeerTable
from bronzekeel.core.routing.reducer import reduce
from bronzekeel.core.routing.state import RoutingState
from bronzekeel.entry.peer_messages import decode_view, encode_view
from tests.routing_cases import (
    INTAKE,
    INTAKE_KEY,
    LOCAL_CENTRE,
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
_REMOTE = 'dc-b'

#: Flows to one cold upstream that the rate allows in any second.
_ALLOWED = _RATE * _OVERAGE + _SLACK

_IsConnected = Callable[[int, int], bool]


class RateTest(TestCase):
    """Each host sends as much as it may to each of ten upstreams that start simultaneously."""

    def test_connected_hosts_keep_the_rate(self) -> None:
        """Guards against an upstream that rejects its first callers after a start.

        A new upstream appears idle to 25 hosts with flows to place.  The rate is exceeded if each
        host limits only its own flows.
        """
        self._assert_within_rate(lambda host, other: True)

    def test_partitioned_hosts_keep_the_rate(self) -> None:
        """Guards against exceeding the rate while hosts are partitioned.

        The halves of a data centre lose each other, in one case right after all were connected.
        The rate is exceeded if each half selects a sender among the hosts it can currently reach.
        """
        for connected_before in (True, False):
            with self.subTest(connected_before=connected_before):
                self._assert_within_rate(_in_same_half, connected_before=connected_before)

    def test_isolated_hosts_send_nothing(self) -> None:
        """Guards against hosts that each send at the full rate when they start in a partition.

        25 hosts with configured seeds start and receive nothing from each other.  The rate is
        exceeded if a host that receives no heartbeats considers itself the only one.
        """
        self.assertEqual(0, self._assert_within_rate(lambda host, other: False))

    def test_connected_hosts_use_most_of_the_rate(self) -> None:
        """If all hosts are connected, each upstream gets nearly its full rate."""
        sent = self._assert_within_rate(lambda host, other: True)
        self.assertGreater(sent, _UPSTREAMS * _RATE * (_COLD_S - SETTLING_S))

    def test_a_host_without_seeds_sends_by_itself(self) -> None:
        """A single balancer without seeds is the sender."""
        alone = ColdStarts(PeerTable(_peer(0), ()), alone=True)
        alone.begin(0)
        self.assertTrue(alone.may_place(_cold(1), _RATE, SETTLING_S))

    def test_a_rate_below_one(self) -> None:
        """A rate of less than one flow per second is kept over several seconds."""
        alone = ColdStarts(PeerTable(_peer(0), ()), 1, 0, alone=True)
        alone.begin(0)
        upstream = _cold(1, cold_s=60)
        sent = 0
        for step in range(2000):
            now = SETTLING_S + step * _STEP_S
            if alone.may_place(upstream, 0.5, now):
                alone.note_placed(upstream, now)
                sent += 1
        self.assertLessEqual(sent, 6)
        self.assertGreaterEqual(sent, 4)

    def test_many_upstreams_do_not_discard_cold_records(self) -> None:
        """Guards against twice the rate for a cold upstream if there are thousands of others.

        The flows sent to each upstream are recorded for about a second.  If all records are
        discarded when there are too many, the window of each cold upstream starts again.
        """
        alone = ColdStarts(PeerTable(_peer(0), ()), 1, 0, alone=True)
        alone.begin(0)
        upstream = _cold(1, cold_s=60)
        sent = 0
        for step in range(100):
            now = SETTLING_S + step * _STEP_S
            for number in range(2, 100):
                alone.may_place(_cold(step * 100 + number, cold_s=60), _RATE, now)
            if alone.may_place(upstream, _RATE, now):
                alone.note_placed(upstream, now)
                sent += 1
        self.assertLessEqual(sent, _RATE)

    def test_remote_host_sends_nothing(self) -> None:
        """Only hosts of the same data centre send to a cold upstream."""
        alone = ColdStarts(PeerTable(_peer(0), ()), alone=True)
        alone.begin(0)
        self.assertFalse(alone.may_place(_cold(1, data_centre=_REMOTE), _RATE, SETTLING_S))

    def _assert_within_rate(
        self, is_connected: _IsConnected, *, connected_before: bool = False
    ) -> int:
        """Let 25 hosts send as many flows as they may; return the number of flows."""
        hosts = [
            _host(number, is_connected, connected_before=connected_before)
            for number in range(_HOSTS)
        ]
        upstreams = [_cold(number) for number in range(1, _UPSTREAMS + 1)]
        at_by_name: dict[str, list[float]] = {upstream.entry.name: [] for upstream in upstreams}
        for step in range(int((_COLD_S - 1) / _STEP_S)):
            now = 1 + step * _STEP_S
            for host, upstream in product(hosts, upstreams):
                if not host.may_place(upstream, _RATE, now):
                    continue
                host.note_placed(upstream, now)
                at_by_name[upstream.entry.name].append(now)
        for sent_at in at_by_name.values():
            for start in sent_at:
                within = sum(start <= at < start + 1 for at in sent_at)
                self.assertLessEqual(within, _ALLOWED)
        return sum(map(len, at_by_name.values()))


class ConfigurationTest(TestCase):
    """The rates of services and the homes of routes in the text."""

    def test_a_cold_upstream_with_a_rate_has_one_sender(self) -> None:
        """Other hosts place flows at a warm upstream; services without a rate are not limited."""
        state = ready_state(entry(1, cold_s=60), entry(2, data_centre=_REMOTE))
        self.assertEqual('i-00000001', delivered_to(steering(state).decide(opening(1), 10)))
        _put(state, RoutingText(9, 9, text(9).route_by_key, 15, {PORTAL: 5.0}))
        self.assertEqual('i-00000002', delivered_to(steering(state).decide(opening(2), 10)))

    def test_homes_apply_regardless_of_failures(self) -> None:
        """Guards against sending a request outside its allowed regions.

        The upstreams of its region are gone while others have free capacity.  The flow must be
        refused rather than placed at any upstream that is left.
        """
        state = ready_state(entry(1, INTAKE), entry(2, INTAKE, data_centre=_REMOTE), entry(3))
        regions = {LOCAL_CENTRE: 'south', _REMOTE: 'north'}
        state.eligibility = Eligibility(state.directory, ColdStarts(state.peers), regions)
        restricted = route(INTAKE_KEY, INTAKE)
        restricted.homes = frozenset(('north',))
        _put(state, text(9, restricted, route(PORTAL_KEY, PORTAL)))
        decide = steering(state).decide
        self.assertEqual('i-00000002', delivered_to(decide(opening(1, key=INTAKE_KEY), 1)))
        self.assertEqual('i-00000003', delivered_to(decide(opening(2), 1)))
        removed = StoredObject('i-00000002', 90, None)
        reduce(state, ChangesRead(Collection.UPSTREAMS, [removed], 90), 2)
        refused = delivered_to(decide(opening(3, key=INTAKE_KEY), 9))
        self.assertEqual('Reset no_upstream', refused)

    def test_unknown_region_is_not_allowed(self) -> None:
        """A data centre that is missing in the settings is in no region."""
        state = ready_state(entry(1))
        restricted = route(PORTAL_KEY, PORTAL)
        restricted.homes = frozenset(('north',))
        _put(state, text(9, restricted))
        self.assertEqual('Reset no_upstream', delivered_to(steering(state).decide(opening(1), 1)))

    def test_peers_send_rates_and_homes(self) -> None:
        """A host that receives the text from a peer has the same rates and homes."""
        state = ready_state(entry(1))
        restricted = route(PORTAL_KEY, PORTAL)
        restricted.homes = frozenset(('north', 'south'))
        _put(state, RoutingText(9, 9, {restricted.key: restricted}, 15, {PORTAL: 2.5}))
        view_text = decode_view(encode_view(view_since(state, KnownVersions(0, 0, 0), 1))).text
        self.assertIsNotNone(view_text)
        if view_text is not None:
            self.assertEqual({PORTAL: 2.5}, view_text.cold_rate_by_service)
            self.assertEqual(restricted.homes, view_text.route_by_key[restricted.key].homes)


def _in_same_half(host: int, other: int) -> bool:
    half = _HOSTS // 2
    return (host < half) == (other < half)


def _put(state: RoutingState, content: RoutingText) -> None:
    stored = StoredObject('main', content.revision, content)
    reduce(state, ChangesRead(Collection.TEXT, [stored], content.revision), 1)


def _peer(number: int) -> PeerAddress:
    return PeerAddress(f'a{number}', LOCAL_CENTRE, (f'a{number}', 9))


def _cold(number: int, data_centre: str = LOCAL_CENTRE, cold_s: float = _COLD_S) -> Upstream:
    return Upstream(entry(number, cold_s=cold_s, data_centre=data_centre), 0)


def _host(number: int, is_connected: _IsConnected, *, connected_before: bool) -> ColdStarts:
    """Return a host that has heartbeats of its connections, or of all if `connected_before`."""
    peers = PeerTable(_peer(number), (('seed', 9),))
    for other in range(_HOSTS):
        if other == number:
            continue
        if connected_before or is_connected(number, other):
            peers.note_heartbeat(Heartbeat(_peer(other), 1, 1, {}), 0)
    starts = ColdStarts(peers, _OVERAGE, _SLACK)
    starts.begin(-SETTLING_S)
    return starts
