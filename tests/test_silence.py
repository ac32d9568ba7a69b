"""Test that one host's finding that an upstream is silent spares the others theirs."""

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

#: Each dead upstream is found once and tried once more; beside it flows are lost that were placed
#: before the first word of it was heard.
_TRIES = 2

#: Seconds between two new flows of one host, and seconds that are played.
_FLOW_S = 0.3
_PLAYED_S = 2


class CrashTest(TestCase):
    """Replay the two seconds between a crash and the lapse of the entries."""

    def test_a_crash_of_half_the_upstreams(self) -> None:
        """Symptom: more callers fail than upstreams crashed, the more the more hosts there are.

        Sequence: ten of twenty upstreams fall silent; twelve hosts place a flow each 0.3 s.
        Cause: each host finds each dead upstream by itself, by a caller's flow.
        """
        alone = _lost_in_a_crash(tell=False)
        together = _lost_in_a_crash(tell=True)
        on_their_way = (MIN_ANSWER_TIMEOUT_S + 2 * TICK_S) * _HOSTS / _FLOW_S / 2
        self.assertGreater(alone, _TRIES * _DEAD + on_their_way)
        self.assertLessEqual(together, _TRIES * _DEAD + on_their_way)


class WordTest(TestCase):
    """What is told, and what is believed."""

    def setUp(self) -> None:
        """Know two upstreams; the first has answered, and the second not."""
        self.state = ready_state(entry(1), entry(2))
        self.steering = steering(self.state)
        first, second = (self.state.directory.by_name[entry(number).name] for number in (1, 2))
        _open(self.state, 1, 'i-00000001', answered=True, now=0)
        second.asked = 0
        first.asked = 9
        self.steering.decide(opening(2), 0.1)
        reduce(self.state, Ticked(), 0.3)

    def test_a_silent_upstream_is_told(self) -> None:
        """Also over the wire; and no longer after a while."""
        told = decode_heartbeat(
            encode_heartbeat(local_heartbeat(self.state, 0.3))
        ).unanswered_by_number
        self.assertEqual({entry(2).short_number: 1}, told)
        _open(self.state, 3, 'i-00000001', answered=True, now=1)
        self.assertEqual({}, local_heartbeat(self.state, 1.2).unanswered_by_number)

    def test_a_host_that_hears_nobody_says_nothing(self) -> None:
        """Symptom: one host with a broken link empties its data centre.

        Sequence: no upstream's answer passes its link; it tells that all are silent.
        Cause: what one host does not hear is taken for what nobody hears.
        """
        self.assertEqual({}, local_heartbeat(self.state, OWN_LINK_CHECK_S).unanswered_by_number)

    def test_the_word_is_taken(self) -> None:
        """A neighbour places its next flow elsewhere, for as long as after its own finding."""
        other = ready_state(entry(1), entry(2), now=9)
        _tell(other, {entry(2).short_number: 1}, 10)
        other.directory.by_name['i-00000001'].asked = 9
        chosen = steering(other)
        self.assertEqual('i-00000001', delivered_to(chosen.decide(opening(1), 10.1)))
        later = 10 + AVOID_S
        other.directory.by_name['i-00000002'].asked = 0
        other.flows.drop(opening(1).flow)
        other.directory.by_name['i-00000001'].asked = 9
        self.assertEqual('i-00000002', delivered_to(chosen.decide(opening(2), later)))

    def test_own_sight_is_believed_more(self) -> None:
        """An upstream that has just answered here is not avoided."""
        other = ready_state(entry(1), now=9)
        _open(other, 1, 'i-00000001', answered=True, now=10)
        _tell(other, {entry(1).short_number: 1}, 10 + OWN_ANSWER_TRUSTED_S / 2)
        self.assertEqual(0, other.directory.by_name['i-00000001'].avoided_until)

    def test_nobody_is_better_than_a_silent_one(self) -> None:
        """Where all are called silent, flows are placed all the same."""
        other = ready_state(entry(1), now=9)
        _tell(other, {entry(1).short_number: 1, 7: 1}, 10)
        self.assertIsInstance(steering(other).decide(opening(1), 10), Deliver)

    def test_few_are_told(self) -> None:
        """A heartbeat stays small when hundreds crash."""
        state = ready_state(*(entry(number) for number in range(1, 60)))
        for number, upstream in enumerate(state.directory.by_name.values()):
            upstream.unanswered = 1
            upstream.unresponsive_until = 2 + number / 1000
        state.flows.last_answer_at = 1
        told = local_heartbeat(state, 1.5).unanswered_by_number
        self.assertEqual(MAX_UNRESPONSIVE, len(told))
        self.assertIn(entry(59).short_number, told)

    def test_a_number_that_is_none_is_unreadable(self) -> None:
        """A peer of another version is not half understood."""
        raw = encode_heartbeat(local_heartbeat(self.state, 0.3))
        with self.assertRaises(MessageError):
            decode_heartbeat(raw.replace(b'"unanswered":[', b'"unanswered":["x",'))


def _open(state: RoutingState, number: int, upstream: str, *, answered: bool, now: float) -> None:
    """Open a flow at an upstream, which answers or does not."""
    others = [other for name, other in state.directory.by_name.items() if name != upstream]
    for other in others:
        other.asked = 99
    chosen = steering(state)
    given_id = id_given(chosen.decide(opening(number), now))
    if answered:
        chosen.decide(acknowledging(number, given_id, 9), now)


def _tell(state: RoutingState, unanswered: dict[int, int], now: float) -> None:
    sender = PeerAddress('a2', LOCAL_CENTRE, ('a2', 9))
    heartbeat = Heartbeat(sender, 1, 1, {}, unanswered_by_number=unanswered)
    reduce(state, HeartbeatHeard(heartbeat), now)


def _lost_in_a_crash(*, tell: bool) -> int:
    """Return the flows that went to dead upstreams in the seconds after a crash."""
    fleet = fleet_of(_HOSTS, (LOCAL_CENTRE,))
    for number in range(1, _UPSTREAMS + 1):
        put_upstream(fleet, number)
    fleet.run(3)
    dead = {entry(number).name for number in range(1, _UPSTREAMS, 2)}
    _play(fleet, set(), 5, tell=tell)
    return _play(fleet, dead, _PLAYED_S, tell=tell)


def _play(fleet: RoutingFleet, dead: set[str], seconds: float, *, tell: bool) -> int:
    lost = 0
    rounds = int(seconds / _FLOW_S)
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
            fleet.run(_FLOW_S / _HOSTS)
            if not tell:
                _forget_word(fleet)
    return lost


def _forget_word(fleet: RoutingFleet) -> None:
    """Let every host go by what it found itself."""
    for node in fleet.running:
        for upstream in node.state.directory.by_name.values():
            upstream.avoided_until = upstream.unresponsive_until
