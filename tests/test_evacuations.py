"""Test that an evacuated data centre gets no new flows, everywhere and in the store's order."""

from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from bronzekeel.core.log_numbers import LogNumber
from bronzekeel.core.routing.effects import WriteLine
from bronzekeel.core.routing.events import (
    ChangesRead,
    Evacuation,
    HeartbeatHeard,
    HistoryLost,
    PageRead,
    StoredObject,
    Ticked,
    Unreadable,
)
from bronzekeel.core.routing.follower import Collection
from bronzekeel.core.routing.heartbeats import MOST_EVACUATED, near_heartbeat
from bronzekeel.core.routing.messages import Evacuated, Heartbeat, PeerAddress
from bronzekeel.core.routing.pools import NO_LIMIT
from bronzekeel.core.routing.reducer import reduce
from bronzekeel.core.routing.state import RoutingState
from bronzekeel.entry.peer_messages import MessageError, decode_heartbeat, encode_heartbeat
from bronzekeel.replay.routing_fleet import RoutingFleet
from bronzekeel.replay.routing_store import StoreModel
from tests.routing_cases import (
    LOCAL_CENTRE,
    PORTAL,
    acknowledging,
    asking,
    delivered_to,
    entry,
    fleet_of,
    fresh_state,
    id_given,
    opening,
    page,
    ready_state,
    steering,
    text,
)


_AWAY = 'dc-b'
_CENTRES = (LOCAL_CENTRE, _AWAY, 'dc-c')

#: Seconds within which every host that reaches the store or a neighbour acts on an evacuation.
_IN_FORCE_S = 1.0

#: Seconds within which a data centre hears what only another one's watches tell.
_TOLD_S = 2.0

_HOSTS = 3
_HOST = st.integers(0, _HOSTS - 1)
_CHANGES = st.lists(st.tuples(st.sampled_from(_CENTRES), st.booleans()), max_size=12)


class PlacementTest(TestCase):
    """Where flows go while a data centre is evacuated."""

    def setUp(self) -> None:
        """Know one upstream at home and one away."""
        self.state = ready_state(entry(1), entry(2, data_centre=_AWAY))
        self.steering = steering(self.state)

    def test_new_flows_go_elsewhere_at_once(self) -> None:
        """Symptom: people work on a data centre, and callers' new flows end there.

        Sequence: operators evacuate the data centre; callers near to it open flows.
        Cause: placement prefers what is near and knows of upstreams alone.
        """
        _change(self.state, 50, LOCAL_CENTRE)
        self.assertEqual('i-00000002', delivered_to(self.steering.decide(opening(1), 1)))
        _change(self.state, 51, LOCAL_CENTRE, stands=False)
        self.assertEqual('i-00000001', delivered_to(self.steering.decide(opening(2), 2)))

    def test_an_open_flow_stays(self) -> None:
        """Symptom: an evacuation cuts feeds that were open for hours.

        Sequence: a flow opens, its data centre is evacuated, the caller asks again.
        Cause: a flow cannot be moved: another upstream does not hold it, and a reset breaks it.
        """
        given_id = id_given(self.steering.decide(opening(1), 0))
        self.steering.decide(asking(1, given_id), 0.1)
        _change(self.state, 50, LOCAL_CENTRE)
        for packet in (asking(1, given_id, 141), acknowledging(1, given_id, 90)):
            self.assertEqual('i-00000001', delivered_to(self.steering.decide(packet, 10)))

    def test_a_flow_is_refused_where_all_is_evacuated(self) -> None:
        """Symptom: work goes on in a data centre whose upstreams get requests.

        Sequence: all upstreams of a service are in evacuated data centres.
        Cause: serving callers is put before the operators' word, which must always hold.
        """
        _change(self.state, 50, LOCAL_CENTRE)
        _change(self.state, 51, _AWAY)
        verdict = delivered_to(self.steering.decide(opening(1), 1))
        self.assertEqual('Reset no_upstream', verdict)

    def test_an_upstream_that_is_listed_later_gets_nothing(self) -> None:
        """Symptom: a release during an evacuation brings flows back.

        Sequence: a data centre without upstreams is evacuated; one starts there.
        Cause: the evacuation was noted at the upstreams that were known then.
        """
        _change(self.state, 50, 'dc-c')
        listed = StoredObject('i-00000009', 60, entry(9, revision=60, data_centre='dc-c'))
        reduce(self.state, ChangesRead(Collection.UPSTREAMS, [listed], 60), 1)
        upstream = self.state.directory.by_name['i-00000009']
        self.assertFalse(upstream.takes_flows(1))

    def test_a_repeat_is_not_sent_to_an_evacuated_data_centre(self) -> None:
        """Symptom: opening packets reach a data centre long after its evacuation.

        Sequence: an opening packet was placed; before its repeat the data centre is evacuated.
        Cause: the repeat follows the first packet.
        """
        self.steering.decide(opening(1), 0)
        _change(self.state, 50, LOCAL_CENTRE)
        repeat = self.steering.decide(opening(1, copy=1), 0.2)
        self.assertEqual('i-00000002', delivered_to(repeat))

    def test_what_returns_is_limited_from_the_first_moment(self) -> None:
        """Symptom: the upstreams of a data centre turn callers away when it is taken back.

        Sequence: all balancers send there at once; the limits are reckoned a second later.
        Cause: a pool without slots for new flows had no limit.
        """
        state = ready_state(entry(1), entry(2, data_centre=_AWAY), admission_of=_LIMITED)
        _change(state, 50, LOCAL_CENTRE)
        for tick in range(12):
            reduce(state, Ticked(), 1 + tick / 10)
        pool = state.directory.by_name['i-00000001'].pool
        self.assertLess(pool.limit, NO_LIMIT)

    def test_its_callers_share_the_room_elsewhere(self) -> None:
        """Symptom: all callers of an evacuated data centre go to one other at once.

        Sequence: a data centre is evacuated whose upstreams could take all that comes.
        Cause: its callers are not counted as ones without upstreams at home.
        """
        state = ready_state(entry(1), entry(2, data_centre=_AWAY))
        away = PeerAddress('b1', _AWAY, ('b1', 9))
        for evacuated in (False, True):
            if evacuated:
                _change(state, 50, LOCAL_CENTRE)
            busy = Heartbeat(away, 1, 1, {}, (), {PORTAL: 40}, load_by_service={PORTAL: 1})
            reduce(state, HeartbeatHeard(busy), 1 + evacuated)
            reduce(state, Ticked(), 1 + evacuated)
            limited = state.directory.by_name['i-00000002'].pool.limit < NO_LIMIT
            self.assertEqual(evacuated, limited)


class OrderTest(TestCase):
    """Which word holds."""

    def test_an_older_word_changes_nothing(self) -> None:
        """Symptom: an evacuation that was taken back is in force again.

        Sequence: it stands and is taken back; a peer that was cut off tells what it knew.
        Cause: a host believes whoever spoke last.
        """
        state = ready_state(entry(1))
        _change(state, 50, LOCAL_CENTRE)
        _change(state, 60, LOCAL_CENTRE, stands=False)
        _tell(state, Evacuated(55, frozenset((LOCAL_CENTRE,))))
        self.assertFalse(state.evacuated.centres)
        _tell(state, Evacuated(70, frozenset((LOCAL_CENTRE,))))
        self.assertEqual({LOCAL_CENTRE}, state.evacuated.centres)

    def test_hosts_that_started_since_are_not_taken_back(self) -> None:
        """Symptom: a host that comes back from a cut evacuates a data centre for everybody.

        Sequence: a data centre is evacuated, another is cut off; the evacuation is taken back;
        all hosts but those in the cut restart, so nobody remembers it; the cut ends.
        Cause: hosts tell what stands, and not as of when.
        """
        fleet = fleet_of(4, _CENTRES)
        fleet.run(5)
        _evacuate(fleet, LOCAL_CENTRE)
        fleet.run(3)
        fleet.isolated_centres.add('dc-c')
        fleet.run(3)
        _take_back(fleet, LOCAL_CENTRE)
        for name, node in fleet.node_by_name.items():
            if node.me.data_centre != 'dc-c':
                fleet.restart(name)
        fleet.run(5)
        fleet.isolated_centres.clear()
        fleet.run(12)
        self.assertEqual({frozenset()}, _known(fleet))

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(changes=_CHANGES, splits=st.lists(st.integers(0, 12), max_size=4))
    def test_answers_in_any_pieces_tell_the_same(
        self,
        changes: list[tuple[str, bool]],
        splits: list[int],
    ) -> None:
        """Changes that are told twice, or in pieces that overlap, end in what the store has."""
        state = ready_state(entry(1))
        truth: set[str] = set()
        stored = []
        for revision, (centre, stands) in enumerate(changes, start=51):
            (truth.add if stands else truth.discard)(centre)
            stored.append(_stored(revision, centre, stands=stands))
        for split in (*sorted(splits), len(stored)):
            read = ChangesRead(Collection.EVACUATIONS, stored[:split], 50 + split)
            reduce(state, read, 1)
        self.assertEqual(truth, state.evacuated.centres)

    def test_a_listing_ends_what_it_does_not_have(self) -> None:
        """Symptom: a data centre stays evacuated for ever.

        Sequence: the store loses its history while an evacuation is taken back.
        Cause: only an event ends it.
        """
        state = ready_state(entry(1))
        _change(state, 50, LOCAL_CENTRE)
        reduce(state, HistoryLost(Collection.EVACUATIONS), 2)
        reduce(state, PageRead(Collection.EVACUATIONS, [], 90, more=False), 2)
        self.assertFalse(state.evacuated.centres)

    def test_a_listing_with_a_gap_ends_nothing(self) -> None:
        """Symptom: an evacuation ends although it stands.

        Sequence: another writer's object has no name that can be read.
        Cause: what the listing does not name is taken for removed.
        """
        state = ready_state(entry(1))
        _change(state, 50, LOCAL_CENTRE)
        gap = StoredObject('', 0, Unreadable('no name'))
        other = _stored(80, _AWAY)
        reduce(state, HistoryLost(Collection.EVACUATIONS), 2)
        reduce(state, PageRead(Collection.EVACUATIONS, [gap, other], 90, more=False), 2)
        self.assertEqual({LOCAL_CENTRE, _AWAY}, state.evacuated.centres)


class EvacuationsModel(RuleBasedStateMachine):
    """Let three hosts read a store, each other, old answers and old word, and restart.

    After every step each host goes by what the store had at the revision that it names, and
    that revision never goes back.
    """

    @initialize()
    def begin(self) -> None:
        """Start with a store that has nothing evacuated."""
        self.store = StoreModel()
        self.truth_by_revision: dict[int, frozenset[str]] = {0: frozenset()}
        self.truth_by_revision[self.store.revision] = frozenset()
        self.copies = [self.store.copy()]
        self.states = [fresh_state(f'h{number}') for number in range(_HOSTS)]
        self.seen = [0 for _ in self.states]
        self.kept_heartbeats: list[Heartbeat] = []

    @rule(centre=st.sampled_from(_CENTRES), stands=st.booleans())
    def change(self, centre: str, stands: bool) -> None:  # noqa: FBT001 (drawn by the search)
        """Evacuate a data centre, or take it back."""
        if stands:
            self.store.put(Collection.EVACUATIONS, centre, lambda revision: Evacuation())
        else:
            self.store.remove(Collection.EVACUATIONS, centre)
        standing = frozenset(self.store.by_collection[Collection.EVACUATIONS])
        self.truth_by_revision[self.store.revision] = standing

    @rule()
    def change_text(self) -> None:
        """Let the revision rise by something else."""
        self.store.put(Collection.TEXT, 'main', text)
        standing = frozenset(self.store.by_collection[Collection.EVACUATIONS])
        self.truth_by_revision[self.store.revision] = standing

    @rule()
    def keep_copy(self) -> None:
        """Make a copy of the store."""
        self.copies.append(self.store.copy())

    @rule(index=st.integers(0, 10))
    def restore(self, index: int) -> None:
        """Let the store come back from a copy."""
        self.store.restore(self.copies[index % len(self.copies)])
        standing = frozenset(self.store.by_collection[Collection.EVACUATIONS])
        self.truth_by_revision[self.store.revision] = standing

    @rule(host=_HOST)
    def read_page(self, host: int) -> None:
        """Let a host list what stands."""
        state = self.states[host]
        state.follower_by_collection[Collection.EVACUATIONS].begin_listing()
        self._answer(host, self.store.page(Collection.EVACUATIONS))

    @rule(host=_HOST)
    def read_changes(self, host: int) -> None:
        """Let a host's watch answer."""
        follower = self.states[host].follower_by_collection[Collection.EVACUATIONS]
        if follower.listed:
            follower.resume()
            self._answer(host, self.store.changes(Collection.EVACUATIONS, follower.revision))

    @rule(teller=_HOST, host=_HOST)
    def tell(self, teller: int, host: int) -> None:
        """Let a host hear another, and keep the word for later."""
        heartbeat = near_heartbeat(self.states[teller], 1)
        self.kept_heartbeats.append(heartbeat)
        reduce(self.states[host], HeartbeatHeard(heartbeat), 1)

    @rule(host=_HOST, index=st.integers(0, 40))
    def tell_late(self, host: int, index: int) -> None:
        """Let word from long ago arrive."""
        if self.kept_heartbeats:
            heartbeat = self.kept_heartbeats[index % len(self.kept_heartbeats)]
            reduce(self.states[host], HeartbeatHeard(heartbeat), 1)

    @rule(host=_HOST)
    def restart(self, host: int) -> None:
        """Let a host start anew, knowing nothing."""
        self.states[host] = fresh_state(f'h{host}')
        self.seen[host] = 0

    @invariant()
    def each_goes_by_what_the_store_had(self) -> None:
        """What a host knows is true as of the revision that it names."""
        for host, state in enumerate(self.states):
            evacuated = state.evacuated
            assert evacuated.centres == self.truth_by_revision[evacuated.as_of], host
            assert evacuated.as_of >= self.seen[host], host
            self.seen[host] = evacuated.as_of

    def _answer(self, host: int, answer: PageRead | ChangesRead | HistoryLost) -> None:
        reduce(self.states[host], answer, 1)


EvacuationsModel.TestCase.settings = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=80,
    stateful_step_count=30,
)
EvacuationsModelTest = EvacuationsModel.TestCase


class FleetTest(TestCase):
    """How soon all hosts know."""

    def test_all_know_within_a_second(self) -> None:
        """One write is in force at every host, and taken back the same way."""
        fleet = fleet_of(8, _CENTRES)
        fleet.run(12)
        _evacuate(fleet, LOCAL_CENTRE)
        fleet.run(_IN_FORCE_S)
        self.assertEqual({frozenset((LOCAL_CENTRE,))}, _known(fleet))
        _take_back(fleet, LOCAL_CENTRE)
        fleet.run(_IN_FORCE_S)
        self.assertEqual({frozenset()}, _known(fleet))

    def test_a_data_centre_whose_watchers_are_deaf_is_told(self) -> None:
        """Symptom: one data centre sends flows to another that is evacuated.

        Sequence: the store falls silent towards all hosts of it; nothing is closed.
        Cause: its watches wait for a change that is not told to them.
        """
        for deaf in _CENTRES:
            with self.subTest(deaf=deaf):
                fleet = fleet_of(4, _CENTRES)
                fleet.run(12)
                names = [name for name in fleet.node_by_name if name.startswith(deaf)]
                fleet.fail_store(names, 'silent')
                _evacuate(fleet, LOCAL_CENTRE)
                fleet.run(_TOLD_S)
                self.assertEqual({frozenset((LOCAL_CENTRE,))}, _known(fleet))

    def test_stale_watches_are_told_by_others(self) -> None:
        """Stale reads are six seconds behind; all hosts know within two."""
        fleet = fleet_of(4, _CENTRES)
        fleet.store.staleness_s = 6
        fleet.run(20)
        _evacuate(fleet, LOCAL_CENTRE)
        fleet.run(_TOLD_S)
        self.assertEqual({frozenset((LOCAL_CENTRE,))}, _known(fleet))

    def test_a_host_that_starts_in_a_cut_knows_before_it_serves(self) -> None:
        """Symptom: a host sends flows to an evacuated data centre.

        Sequence: it restarts while its data centre is cut off from the store.
        Cause: it serves by text and upstreams alone.
        """
        fleet = fleet_of(3, _CENTRES)
        fleet.run(5)
        _evacuate(fleet, _AWAY)
        fleet.run(2)
        fleet.isolated_centres.add(LOCAL_CENTRE)
        fleet.restart('dc-a-1')
        state = fleet.node_by_name['dc-a-1'].state
        for _ in range(40):
            fleet.run(0.05)
            state = fleet.node_by_name['dc-a-1'].state
            if state.ready:
                self.assertEqual({_AWAY}, state.evacuated.centres)
        self.assertTrue(state.ready)

    def test_restarts_in_an_outage_forget_nothing(self) -> None:
        """A rolling restart in an outage forgets no evacuation."""
        fleet = fleet_of(3, _CENTRES)
        fleet.run(5)
        _evacuate(fleet, LOCAL_CENTRE)
        fleet.run(2)
        fleet.fail_store(list(fleet.node_by_name), 'refuses')
        for name in list(fleet.node_by_name):
            fleet.restart(name)
            fleet.run(1)
        self.assertEqual({frozenset((LOCAL_CENTRE,))}, _known(fleet))

    def test_nobody_serves_before_it_knows(self) -> None:
        """Text and upstreams alone make no host ready."""
        state = fresh_state()
        reduce(state, page(Collection.TEXT, text(1)), 0)
        reduce(state, page(Collection.UPSTREAMS, entry(1)), 0)
        self.assertFalse(state.ready)
        reduce(state, page(Collection.EVACUATIONS), 0)
        self.assertTrue(state.ready)


class TellingTest(TestCase):
    """What goes over the wire, and into the log."""

    def test_a_heartbeat_tells_it(self) -> None:
        """What is told is what is known."""
        state = ready_state(entry(1))
        _change(state, 50, LOCAL_CENTRE)
        back = decode_heartbeat(encode_heartbeat(near_heartbeat(state, 1)))
        self.assertEqual((50, {LOCAL_CENTRE}), (back.evacuated.as_of, back.evacuated.centres))

    def test_thousands_of_names_stay_out_of_heartbeats(self) -> None:
        """Symptom: no balancer hears another any more.

        Sequence: another writer puts thousands of objects among the evacuations.
        Cause: a heartbeat that names them all fits in no datagram.
        """
        state = ready_state(entry(1))
        _change(state, 50, LOCAL_CENTRE)
        for number in range(MOST_EVACUATED * 2):
            _change(state, 51 + number, f'nowhere-{number}')
        told = near_heartbeat(state, 1).evacuated
        self.assertEqual({LOCAL_CENTRE}, told.centres)

    def test_a_heartbeat_with_a_wrong_revision_is_unreadable(self) -> None:
        """Symptom: an evacuation can't be taken back.

        Sequence: a peer of another version tells a revision that is no number.
        Cause: it is newer than every other.
        """
        raw = encode_heartbeat(near_heartbeat(ready_state(entry(1)), 1))
        broken = raw.replace(b'"evacuated":[[0,0],', b'"evacuated":[[0,1e400],')
        self.assertNotEqual(raw, broken)
        with self.assertRaises(MessageError):
            decode_heartbeat(broken)

    def test_each_change_has_its_line(self) -> None:
        """Who told it, and as of when, is logged once."""
        state = ready_state(entry(1))
        effects = reduce(
            state, ChangesRead(Collection.EVACUATIONS, [_stored(50, LOCAL_CENTRE)], 50), 1
        )
        lines = [effect for effect in effects if isinstance(effect, WriteLine)]
        self.assertEqual([LogNumber.EVACUATED], [line.number for line in lines])
        self.assertEqual('store', lines[0].fields['told_by'])
        effects = reduce(
            state, ChangesRead(Collection.EVACUATIONS, [_stored(50, LOCAL_CENTRE)], 55), 2
        )
        self.assertFalse([effect for effect in effects if isinstance(effect, WriteLine)])


_LIMITED = type(fresh_state().admission)


def _stored(revision: int, centre: str, *, stands: bool = True) -> StoredObject:
    return StoredObject(centre, revision, Evacuation() if stands else None)


def _change(state: RoutingState, revision: int, centre: str, *, stands: bool = True) -> None:
    """Let the own watch tell that an evacuation stands or was taken back."""
    stored = _stored(revision, centre, stands=stands)
    reduce(state, ChangesRead(Collection.EVACUATIONS, [stored], revision), 1)


def _tell(state: RoutingState, evacuated: Evacuated) -> None:
    """Let a neighbour tell what it knows."""
    sender = PeerAddress('a2', LOCAL_CENTRE, ('a2', 9))
    heartbeat = Heartbeat(sender, 1, 1, {}, evacuated=evacuated)
    reduce(state, HeartbeatHeard(heartbeat), 1)


def _evacuate(fleet: RoutingFleet, centre: str) -> None:
    fleet.store.put(Collection.EVACUATIONS, centre, lambda revision: Evacuation())
    fleet.notify_watches()


def _take_back(fleet: RoutingFleet, centre: str) -> None:
    fleet.store.remove(Collection.EVACUATIONS, centre)
    fleet.notify_watches()


def _known(fleet: RoutingFleet) -> set[frozenset[str]]:
    """Return what the balancers take for evacuated; one member if they agree."""
    return {node.state.evacuated.centres for node in fleet.running}
