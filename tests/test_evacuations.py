"""Test that an evacuated data centre gets no new flows on any host, in the store's order."""

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
from bronzekeel.core.routing.heartbeats import MAX_EVACUATED, local_heartbeat
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


_REMOTE = 'dc-b'
_CENTRES = (LOCAL_CENTRE, _REMOTE, 'dc-c')

#: Seconds within which every host that reaches the store or a neighbour applies an evacuation.
_IN_FORCE_S = 1.0

#: Seconds within which a data centre learns what only another one's watches report.
_REPORTED_S = 2.0

_HOSTS = 3
_HOST = st.integers(0, _HOSTS - 1)
_CHANGES = st.lists(st.tuples(st.sampled_from(_CENTRES), st.booleans()), max_size=12)


class PlacementTest(TestCase):
    """Placement of flows while a data centre is evacuated."""

    def setUp(self) -> None:
        """Start with one local and one remote upstream."""
        self.state = ready_state(entry(1), entry(2, data_centre=_REMOTE))
        self.steering = steering(self.state)

    def test_new_flows_go_elsewhere_at_once(self) -> None:
        """New flows of an evacuated data centre go to another one at once, and come back.

        Placement prefers local upstreams.  If it regarded upstreams alone, new flows would go to a
        data centre under maintenance.
        """
        _change(self.state, 50, LOCAL_CENTRE)
        self.assertEqual('i-00000002', delivered_to(self.steering.decide(opening(1), 1)))
        _change(self.state, 51, LOCAL_CENTRE, stands=False)
        self.assertEqual('i-00000001', delivered_to(self.steering.decide(opening(2), 2)))

    def test_an_open_flow_stays(self) -> None:
        """An evacuation does not reset or move open flows.

        Another upstream does not know the flow, and a reset would break it.
        """
        given_id = id_given(self.steering.decide(opening(1), 0))
        self.steering.decide(asking(1, given_id), 0.1)
        _change(self.state, 50, LOCAL_CENTRE)
        for packet in (asking(1, given_id, 141), acknowledging(1, given_id, 90)):
            self.assertEqual('i-00000001', delivered_to(self.steering.decide(packet, 10)))

    def test_a_flow_is_refused_where_all_is_evacuated(self) -> None:
        """A flow is refused if all data centres with its upstreams are evacuated.

        Serving callers must not override an evacuation: people work on those data centres.
        """
        _change(self.state, 50, LOCAL_CENTRE)
        _change(self.state, 51, _REMOTE)
        verdict = delivered_to(self.steering.decide(opening(1), 1))
        self.assertEqual('Reset no_upstream', verdict)

    def test_an_upstream_that_is_listed_later_gets_nothing(self) -> None:
        """An upstream that is listed after the evacuation gets no new flows either.

        A data centre without upstreams is evacuated, and then one starts there.  If the evacuation
        were stored only at the upstreams known at that time, a release would bring flows back.
        """
        _change(self.state, 50, 'dc-c')
        listed = StoredObject('i-00000009', 60, entry(9, revision=60, data_centre='dc-c'))
        reduce(self.state, ChangesRead(Collection.UPSTREAMS, [listed], 60), 1)
        upstream = self.state.directory.by_name['i-00000009']
        self.assertFalse(upstream.accepts_flows(1))

    def test_a_repeat_is_not_sent_to_an_evacuated_data_centre(self) -> None:
        """A repeated opening packet does not follow the first one into an evacuated data centre.

        The data centre is evacuated between the packet and its repeat.
        """
        self.steering.decide(opening(1), 0)
        _change(self.state, 50, LOCAL_CENTRE)
        repeat = self.steering.decide(opening(1, copy=1), 0.2)
        self.assertEqual('i-00000002', delivered_to(repeat))

    def test_a_pool_is_limited_when_its_evacuation_ends(self) -> None:
        """Pools of an evacuated data centre have a limit before the evacuation ends.

        When it ends, all balancers send there at once, and limits are computed only a second later.
        Without a limit until then, the upstreams would be overloaded and turn callers away.
        """
        state = ready_state(entry(1), entry(2, data_centre=_REMOTE), admission_of=_LIMITED)
        _change(state, 50, LOCAL_CENTRE)
        for tick in range(12):
            reduce(state, Ticked(), 1 + tick / 10)
        pool = state.directory.by_name['i-00000001'].pool
        self.assertLess(pool.limit, NO_LIMIT)

    def test_its_callers_share_remote_free_capacity(self) -> None:
        """Remote pools are limited when the local data centre is evacuated.

        Callers of an evacuated data centre must count as callers without local upstreams.
        Otherwise all of them would go to one other data centre at once.
        """
        state = ready_state(entry(1), entry(2, data_centre=_REMOTE))
        remote = PeerAddress('b1', _REMOTE, ('b1', 9))
        for evacuated in (False, True):
            if evacuated:
                _change(state, 50, LOCAL_CENTRE)
            busy = Heartbeat(remote, 1, 1, {}, (), {PORTAL: 40}, load_by_service={PORTAL: 1})
            reduce(state, HeartbeatHeard(busy), 1 + evacuated)
            reduce(state, Ticked(), 1 + evacuated)
            limited = state.directory.by_name['i-00000002'].pool.limit < NO_LIMIT
            self.assertEqual(evacuated, limited)


class OrderTest(TestCase):
    """Order of reports about evacuations."""

    def test_an_older_report_changes_nothing(self) -> None:
        """A report that is older than the known state changes nothing.

        An evacuation is set and revoked, and a peer that was cut off reports what it knew.  If the
        last report counted, the evacuation would be in force again.
        """
        state = ready_state(entry(1))
        _change(state, 50, LOCAL_CENTRE)
        _change(state, 60, LOCAL_CENTRE, stands=False)
        _report(state, Evacuated(55, frozenset((LOCAL_CENTRE,))))
        self.assertFalse(state.evacuated.centres)
        _report(state, Evacuated(70, frozenset((LOCAL_CENTRE,))))
        self.assertEqual({LOCAL_CENTRE}, state.evacuated.centres)

    def test_restarted_hosts_ignore_an_outdated_report(self) -> None:
        """Old reports of a host that was cut off don't affect hosts that restarted since.

        A data centre is evacuated, another one is cut off, and the evacuation is revoked.  All
        hosts outside the cut restart, so that none remembers it, and the cut ends.  Without the
        revision of each report, a host from the cut would evacuate the data centre for everybody.
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
        """Changes that are reported twice, or in overlapping parts, end in the store's state."""
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
        """A listing ends evacuations that it does not contain.

        The store loses its history while an evacuation is revoked.  If only a change could end it,
        the data centre would stay evacuated forever.
        """
        state = ready_state(entry(1))
        _change(state, 50, LOCAL_CENTRE)
        reduce(state, HistoryLost(Collection.EVACUATIONS), 2)
        reduce(state, PageRead(Collection.EVACUATIONS, [], 90, more=False), 2)
        self.assertFalse(state.evacuated.centres)

    def test_a_listing_with_a_gap_ends_nothing(self) -> None:
        """A listing with an unreadable name ends no evacuation.

        If what the listing does not name counted as removed, an object of another writer with an
        unreadable name would end an evacuation that stands.
        """
        state = ready_state(entry(1))
        _change(state, 50, LOCAL_CENTRE)
        gap = StoredObject('', 0, Unreadable('no name'))
        other = _stored(80, _REMOTE)
        reduce(state, HistoryLost(Collection.EVACUATIONS), 2)
        reduce(state, PageRead(Collection.EVACUATIONS, [gap, other], 90, more=False), 2)
        self.assertEqual({LOCAL_CENTRE, _REMOTE}, state.evacuated.centres)


class EvacuationsModel(RuleBasedStateMachine):
    """Let three hosts read a store, each other and outdated reports, and restart.

    After every step the evacuations of each host are those that the store had at the revision that
    the host names, and that revision never goes back.
    """

    @initialize()
    def begin(self) -> None:
        """Start with a store without evacuations."""
        self.store = StoreModel()
        self.truth_by_revision: dict[int, frozenset[str]] = {0: frozenset()}
        self.truth_by_revision[self.store.revision] = frozenset()
        self.backups = [self.store.copy()]
        self.states = [fresh_state(f'h{number}') for number in range(_HOSTS)]
        self.seen = [0 for _ in self.states]
        self.sent_heartbeats: list[Heartbeat] = []

    @rule(centre=st.sampled_from(_CENTRES), stands=st.booleans())
    def change(self, centre: str, stands: bool) -> None:  # noqa: FBT001 (drawn by the search)
        """Evacuate a data centre, or revoke its evacuation."""
        if stands:
            self.store.put(Collection.EVACUATIONS, centre, lambda revision: Evacuation())
        else:
            self.store.remove(Collection.EVACUATIONS, centre)
        standing = frozenset(self.store.by_collection[Collection.EVACUATIONS])
        self.truth_by_revision[self.store.revision] = standing

    @rule()
    def change_text(self) -> None:
        """Increase the revision by another change."""
        self.store.put(Collection.TEXT, 'main', text)
        standing = frozenset(self.store.by_collection[Collection.EVACUATIONS])
        self.truth_by_revision[self.store.revision] = standing

    @rule()
    def keep_copy(self) -> None:
        """Make a backup of the store."""
        self.backups.append(self.store.copy())

    @rule(index=st.integers(0, 10))
    def restore(self, index: int) -> None:
        """Restore the store from a backup."""
        self.store.restore(self.backups[index % len(self.backups)])
        standing = frozenset(self.store.by_collection[Collection.EVACUATIONS])
        self.truth_by_revision[self.store.revision] = standing

    @rule(host=_HOST)
    def read_page(self, host: int) -> None:
        """Make a host list the evacuations."""
        state = self.states[host]
        state.follower_by_collection[Collection.EVACUATIONS].begin_listing(0)
        self._answer(host, self.store.page(Collection.EVACUATIONS))

    @rule(host=_HOST)
    def read_changes(self, host: int) -> None:
        """Make a host's watch return an answer."""
        follower = self.states[host].follower_by_collection[Collection.EVACUATIONS]
        if follower.listed:
            follower.resume(0)
            self._answer(host, self.store.changes(Collection.EVACUATIONS, follower.revision))

    @rule(teller=_HOST, host=_HOST)
    def tell(self, teller: int, host: int) -> None:
        """Send a heartbeat from one host to another, and retain it for later."""
        heartbeat = local_heartbeat(self.states[teller], 1)
        self.sent_heartbeats.append(heartbeat)
        reduce(self.states[host], HeartbeatHeard(heartbeat), 1)

    @rule(host=_HOST, index=st.integers(0, 40))
    def tell_late(self, host: int, index: int) -> None:
        """Deliver an old heartbeat."""
        if self.sent_heartbeats:
            heartbeat = self.sent_heartbeats[index % len(self.sent_heartbeats)]
            reduce(self.states[host], HeartbeatHeard(heartbeat), 1)

    @rule(host=_HOST)
    def restart(self, host: int) -> None:
        """Restart a host without any knowledge."""
        self.states[host] = fresh_state(f'h{host}')
        self.seen[host] = 0

    @invariant()
    def each_goes_by_what_the_store_had(self) -> None:
        """The evacuations known to a host are those of the store at the revision it names."""
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
    """Time until all hosts know of an evacuation."""

    def test_all_know_within_a_second(self) -> None:
        """An evacuation and its end are in force on every host within a second."""
        fleet = fleet_of(8, _CENTRES)
        fleet.run(12)
        _evacuate(fleet, LOCAL_CENTRE)
        fleet.run(_IN_FORCE_S)
        self.assertEqual({frozenset((LOCAL_CENTRE,))}, _known(fleet))
        _take_back(fleet, LOCAL_CENTRE)
        fleet.run(_IN_FORCE_S)
        self.assertEqual({frozenset()}, _known(fleet))

    def test_a_data_centre_with_stalled_watchers_learns_of_it(self) -> None:
        """A data centre whose watchers are all stalled learns of an evacuation from others.

        The store stops answering all its hosts without closing connections, so their watches wait
        for a change that is never reported to them.  Without reports of other data centres they
        would send flows to an evacuated one.
        """
        for stalled in _CENTRES:
            with self.subTest(stalled=stalled):
                fleet = fleet_of(4, _CENTRES)
                fleet.run(12)
                names = [name for name in fleet.node_by_name if name.startswith(stalled)]
                fleet.fail_store(names, 'silent')
                _evacuate(fleet, LOCAL_CENTRE)
                fleet.run(_REPORTED_S)
                self.assertEqual({frozenset((LOCAL_CENTRE,))}, _known(fleet))

    def test_stale_watchers_learn_of_it_from_others(self) -> None:
        """All hosts know within two seconds, although stale reads are six seconds behind."""
        fleet = fleet_of(4, _CENTRES)
        fleet.store.staleness_s = 6
        fleet.run(20)
        _evacuate(fleet, LOCAL_CENTRE)
        fleet.run(_REPORTED_S)
        self.assertEqual({frozenset((LOCAL_CENTRE,))}, _known(fleet))

    def test_a_host_that_starts_in_a_cut_knows_before_it_serves(self) -> None:
        """A host that starts while cut off from the store knows of evacuations before it is ready.

        If text and upstreams alone made it ready, it would send flows to an evacuated data centre.
        """
        fleet = fleet_of(3, _CENTRES)
        fleet.run(5)
        _evacuate(fleet, _REMOTE)
        fleet.run(2)
        fleet.isolated_centres.add(LOCAL_CENTRE)
        fleet.restart('dc-a-1')
        state = fleet.node_by_name['dc-a-1'].state
        for _ in range(40):
            fleet.run(0.05)
            state = fleet.node_by_name['dc-a-1'].state
            if state.ready:
                self.assertEqual({_REMOTE}, state.evacuated.centres)
        self.assertTrue(state.ready)

    def test_restarts_in_an_outage_forget_nothing(self) -> None:
        """A rolling restart during an outage of the store loses no evacuation."""
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
        """Text and upstreams without evacuations don't make a host ready."""
        state = fresh_state()
        reduce(state, page(Collection.TEXT, text(1)), 0)
        reduce(state, page(Collection.UPSTREAMS, entry(1)), 0)
        self.assertFalse(state.ready)
        reduce(state, page(Collection.EVACUATIONS), 0)
        self.assertTrue(state.ready)


class HeartbeatAndLogTest(TestCase):
    """Evacuations in heartbeats and in the log."""

    def test_a_heartbeat_reports_it(self) -> None:
        """A heartbeat reports the known evacuations."""
        state = ready_state(entry(1))
        _change(state, 50, LOCAL_CENTRE)
        back = decode_heartbeat(encode_heartbeat(local_heartbeat(state, 1)))
        self.assertEqual((50, {LOCAL_CENTRE}), (back.evacuated.as_of, back.evacuated.centres))

    def test_thousands_of_names_stay_out_of_heartbeats(self) -> None:
        """A heartbeat leaves out evacuated data centres without upstreams if there are too many.

        Another writer adds thousands of objects to the evacuations.  A heartbeat with all their
        names would fit in no datagram, and balancers would no longer receive each other's
        heartbeats.
        """
        state = ready_state(entry(1))
        _change(state, 50, LOCAL_CENTRE)
        for number in range(MAX_EVACUATED * 2):
            _change(state, 51 + number, f'nowhere-{number}')
        reported = local_heartbeat(state, 1).evacuated
        self.assertEqual({LOCAL_CENTRE}, reported.centres)

    def test_a_heartbeat_with_a_wrong_revision_is_unreadable(self) -> None:
        """A heartbeat with an invalid revision is unreadable.

        A revision that is no number, from a peer of another version, would count as newer than all
        others, and the evacuation could not be revoked.
        """
        raw = encode_heartbeat(local_heartbeat(ready_state(entry(1)), 1))
        broken = raw.replace(b'"evacuated":[[0,0],', b'"evacuated":[[0,1e400],')
        self.assertNotEqual(raw, broken)
        with self.assertRaises(MessageError):
            decode_heartbeat(broken)

    def test_each_change_has_its_line(self) -> None:
        """The source and the revision of a change are logged once."""
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
    """Make the own watch report that an evacuation was set or revoked."""
    stored = _stored(revision, centre, stands=stands)
    reduce(state, ChangesRead(Collection.EVACUATIONS, [stored], revision), 1)


def _report(state: RoutingState, evacuated: Evacuated) -> None:
    """Deliver a neighbour's heartbeat with evacuations."""
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
    """Return the sets of evacuations known to the balancers; a single one if they agree."""
    return {node.state.evacuated.centres for node in fleet.running}
