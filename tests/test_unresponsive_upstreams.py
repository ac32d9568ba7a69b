"""Test that hosts share which upstreams are unresponsive."""

from unittest import TestCase

from bronzekeel.core.routing.events import HeartbeatHeard, Ticked
from bronzekeel.core.routing.flows import AVOID_S
from bronzekeel.core.routing.heartbeats import local_heartbeat
from bronzekeel.core.routing.messages import Heartbeat, PeerAddress
from bronzekeel.core.routing.pools import MIN_ANSWER_TIMEOUT_S
from bronzekeel.core.routing.reducer import TICK_S, reduce
from bronzekeel.core.routing.state import RoutingState
from bronzekeel.core.routing.unresponsive import (
    MAX_UNRESPONSIVE,
    OWN_ANSWER_TRUSTED_S,
    OWN_LINK_CHECK_S,
)
from bronzekeel.core.routing.verdicts import Deliver
from bronzekeel.entry.peer_messages import MessageError, decode_heartbeat, encode_heartbeat
from bronzekeel.replay.routing_fleet import RoutingFleet
from tests.routing_cases import (
    LOCAL_CENTRE,
    acknowledging,
    delivered_to,
    entry,
    fleet_of,
    id_given,
    opening,
    put_upstream,
    ready_state,
    steering,
)


_UPSTREAMS = 20
_DEAD = 10
_HOSTS = 12

#: Flows lost per dead upstream: it is detected once and tried once more.  In addition, flows are
#: lost that are placed before the first report arrives.
_TRIES = 2

#: Seconds between two new flows of one host, and seconds that are simulated.
_FLOW_INTERVAL_S = 0.3
_DURATION_S = 2


class CrashTest(TestCase):
    """The two seconds between a crash and the expiry of the entries."""

    def test_a_crash_of_half_the_upstreams(self) -> None:
        """Guards against losses after a crash that grow with the number of hosts.

        Ten of twenty upstreams become unresponsive while twelve hosts each place a flow every
        0.3 s.  Without reports, each host loses a flow of a caller to detect each dead upstream.
        """
        without_reports = _flows_lost_in_crash(share_reports=False)
        with_reports = _flows_lost_in_crash(share_reports=True)
        in_flight = (MIN_ANSWER_TIMEOUT_S + 2 * TICK_S) * _HOSTS / _FLOW_INTERVAL_S / 2
        self.assertGreater(without_reports, _TRIES * _DEAD + in_flight)
        self.assertLessEqual(with_reports, _TRIES * _DEAD + in_flight)


class UnresponsiveReportTest(TestCase):
    """Reports of unresponsive upstreams, and when they are applied."""

    def setUp(self) -> None:
        """Start with two upstreams, of which the first has answered and the second has not."""
        self.state = ready_state(entry(1), entry(2))
        self.steering = steering(self.state)
        first, second = (self.state.directory.by_name[entry(number).name] for number in (1, 2))
        _open(self.state, 1, 'i-00000001', answered=True, now=0)
        second.recent_requests = 0
        first.recent_requests = 9
        self.steering.decide(opening(2), 0.1)
        reduce(self.state, Ticked(), 0.3)

    def test_unresponsive_upstream_is_reported(self) -> None:
        """The report survives encoding, and is no longer sent after a while."""
        reported = decode_heartbeat(
            encode_heartbeat(local_heartbeat(self.state, 0.3))
        ).unanswered_by_number
        self.assertEqual({entry(2).short_number: 1}, reported)
        _open(self.state, 3, 'i-00000001', answered=True, now=1)
        self.assertEqual({}, local_heartbeat(self.state, 1.2).unanswered_by_number)

    def test_host_without_answers_reports_nothing(self) -> None:
        """Guards against a host with a broken link that stops all flows in its data centre.

        No answer reaches the host through its link.  It must not report all upstreams as
        unresponsive, since the others can still reach them.
        """
        self.assertEqual({}, local_heartbeat(self.state, OWN_LINK_CHECK_S).unanswered_by_number)

    def test_report_is_applied(self) -> None:
        """A neighbour avoids the upstream for as long as after its own detection."""
        other = ready_state(entry(1), entry(2), now=9)
        _apply_report(other, {entry(2).short_number: 1}, 10)
        other.directory.by_name['i-00000001'].recent_requests = 9
        deciding = steering(other)
        self.assertEqual('i-00000001', delivered_to(deciding.decide(opening(1), 10.1)))
        later = 10 + AVOID_S
        other.directory.by_name['i-00000002'].recent_requests = 0
        other.flows.drop(opening(1).flow)
        other.directory.by_name['i-00000001'].recent_requests = 9
        self.assertEqual('i-00000002', delivered_to(deciding.decide(opening(2), later)))

    def test_own_observation_takes_precedence(self) -> None:
        """An upstream that has just answered this host is not avoided."""
        other = ready_state(entry(1), now=9)
        _open(other, 1, 'i-00000001', answered=True, now=10)
        _apply_report(other, {entry(1).short_number: 1}, 10 + OWN_ANSWER_TRUSTED_S / 2)
        self.assertEqual(0, other.directory.by_name['i-00000001'].avoided_until)

    def test_unresponsive_upstream_is_the_last_resort(self) -> None:
        """If all upstreams are reported as unresponsive, flows are still placed."""
        other = ready_state(entry(1), now=9)
        _apply_report(other, {entry(1).short_number: 1, 7: 1}, 10)
        self.assertIsInstance(steering(other).decide(opening(1), 10), Deliver)

    def test_number_of_reported_upstreams_is_limited(self) -> None:
        """A heartbeat remains small when hundreds of upstreams crash."""
        state = ready_state(*(entry(number) for number in range(1, 60)))
        for number, upstream in enumerate(state.directory.by_name.values()):
            upstream.unanswered = 1
            upstream.unresponsive_until = 2 + number / 1000
        state.flows.last_answer_at = 1
        reported = local_heartbeat(state, 1.5).unanswered_by_number
        self.assertEqual(MAX_UNRESPONSIVE, len(reported))
        self.assertIn(entry(59).short_number, reported)

    def test_invalid_number_is_rejected(self) -> None:
        """A message of an unknown version is rejected as a whole."""
        raw = encode_heartbeat(local_heartbeat(self.state, 0.3))
        with self.assertRaises(MessageError):
            decode_heartbeat(raw.replace(b'"unanswered":[', b'"unanswered":["x",'))


def _open(state: RoutingState, number: int, upstream: str, *, answered: bool, now: float) -> None:
    """Open a flow at an upstream, which answers if `answered`."""
    others = [other for name, other in state.directory.by_name.items() if name != upstream]
    for other in others:
        other.recent_requests = 99
    deciding = steering(state)
    connection_id = id_given(deciding.decide(opening(number), now))
    if answered:
        deciding.decide(acknowledging(number, connection_id, 9), now)


def _apply_report(state: RoutingState, unanswered: dict[int, int], now: float) -> None:
    sender = PeerAddress('a2', LOCAL_CENTRE, ('a2', 9))
    heartbeat = Heartbeat(sender, 1, 1, {}, unanswered_by_number=unanswered)
    reduce(state, HeartbeatHeard(heartbeat), now)


def _flows_lost_in_crash(*, share_reports: bool) -> int:
    """Return the number of flows lost to dead upstreams in the seconds after a crash."""
    fleet = fleet_of(_HOSTS, (LOCAL_CENTRE,))
    for number in range(1, _UPSTREAMS + 1):
        put_upstream(fleet, number)
    fleet.run(3)
    dead = {entry(number).name for number in range(1, _UPSTREAMS, 2)}
    _place_flows(fleet, set(), 5, share_reports=share_reports)
    return _place_flows(fleet, dead, _DURATION_S, share_reports=share_reports)


def _place_flows(
    fleet: RoutingFleet, dead: set[str], seconds: float, *, share_reports: bool
) -> int:
    lost = 0
    rounds = int(seconds / _FLOW_INTERVAL_S)
    for turn in range(rounds):
        for place, node in enumerate(fleet.running):
            number = len(dead) * 1000 + turn * _HOSTS + place
            verdict = fleet.decide(node.me.name, opening(number))
            if not isinstance(verdict, Deliver):
                continue
            if verdict.upstream.entry.name in dead:
                lost += 1
            else:
                answer = acknowledging(number, verdict.connection_id, 9)
                fleet.decide(node.me.name, answer)
            fleet.run(_FLOW_INTERVAL_S / _HOSTS)
            if not share_reports:
                _discard_reports(fleet)
    return lost


def _discard_reports(fleet: RoutingFleet) -> None:
    """Make each host use only its own observations."""
    for node in fleet.running:
        for upstream in node.state.directory.by_name.values():
            upstream.avoided_until = upstream.unresponsive_until
