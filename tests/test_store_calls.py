"""Test how many calls balancers make to the store, and which changes they still notice."""

from unittest import TestCase

from bronzekeel.core.routing.effects import WatchChanges
from bronzekeel.core.routing.events import ChangesRead, Paused, Started, StoredObject, Ticked
from bronzekeel.core.routing.follower import BATCH_S, LISTEN_S, Collection
from bronzekeel.core.routing.peer_exchange import STORE_GRACE_S
from bronzekeel.core.routing.reducer import reduce
from bronzekeel.core.routing.watcher_selection import (
    MAX_LOST_WATCHERS,
    MAX_WATCHERS_PER_CENTRE,
    MIN_WATCHERS_PER_CENTRE,
    NEWEST_READERS,
    TOTAL_WATCHERS,
)
from bronzekeel.core.store_waits import PROBE_WATCH_S
from bronzekeel.replay.routing_fleet import RoutingFleet
from tests.routing_cases import (
    delivered_to,
    entry,
    fleet_of,
    fresh_state,
    opening,
    page,
    put_text,
    put_upstream,
    ready_state,
    steering,
    text,
)


_FIVE = ('dc-a', 'dc-b', 'dc-c', 'dc-d', 'dc-e')
_SETTLED_S = 20
_CHANGES = 40
_CHANGE_S = 0.1
_COLLECTIONS = len(Collection)

#: Seconds within which a data centre whose own watches are stalled or stale learns what another one
#: knows: the interval of heartbeats between data centres, the wait before another data centre is
#: asked, and a fetch.
_REPORTED_S = 2.0


class FewCallsTest(TestCase):
    """Number of calls to the store by a fleet of five data centres."""

    def test_upstreams_replaced_one_after_the_other(self) -> None:
        """Watchers batch the changes of a release instead of making one call per change.

        A release replaces upstreams one after the other, and each writes its entry several times.
        If every watch ended at each of these writes, calls to the store would be the largest cost
        of a large deployment.
        """
        fleet = _settled(6)
        before = _newest_reads(fleet), _calls(fleet)
        for change in range(_CHANGES):
            put_upstream(fleet, 1, draining=change % 2 == 0)
            fleet.run(_CHANGE_S)
        fleet.run(1)
        gathered = _CHANGES * _CHANGE_S / BATCH_S + _COLLECTIONS
        watchers = len(_FIVE) * MIN_WATCHERS_PER_CENTRE
        texts = watchers * _COLLECTIONS
        self.assertLessEqual(_newest_reads(fleet) - before[0], NEWEST_READERS * gathered + texts)
        self.assertLessEqual(_calls(fleet) - before[1], watchers * gathered + texts)

    def test_a_change_after_a_quiet_period_is_reported_at_once(self) -> None:
        """The first change after a quiet period is not delayed by batching."""
        fleet = _settled(6)
        put_upstream(fleet, 1, draining=True)
        fleet.run(_CHANGE_S)
        upstreams = [node.state.directory.by_name[entry(1).name] for node in fleet.running]
        self.assertTrue(all(upstream.entry.draining for upstream in upstreams))

    def test_watchers_are_few_in_all(self) -> None:
        """There are about nine watchers over all data centres, and at least two in each."""
        for centres, each in (
            (_FIVE[:3], MAX_WATCHERS_PER_CENTRE),
            (_FIVE, MIN_WATCHERS_PER_CENTRE),
        ):
            with self.subTest(centres=len(centres)):
                fleet = fleet_of(6, centres)
                fleet.run(_SETTLED_S)
                watching = [node for node in fleet.running if node.state.is_direct(fleet.now)]
                self.assertEqual(each * len(centres), len(watching))
                self.assertGreaterEqual(len(watching), TOTAL_WATCHERS)

    def test_restarted_hosts_cost_few_newest_reads(self) -> None:
        """A rolling restart costs few calls to the store.

        Hosts stop and start again one after the other.  If each made a full listing without
        staleness, a watch, and a proof that nobody needs, the restart would cost more than all
        changes of a day.
        """
        fleet = _settled(6)
        before = _newest_reads(fleet)
        restarted = ('dc-a-5', 'dc-b-5', 'dc-c-5', 'dc-d-5')
        for name in restarted:
            fleet.restart(name)
            fleet.run(1)
        usual = len(_FIVE) * MIN_WATCHERS_PER_CENTRE * _COLLECTIONS
        self.assertLessEqual(_newest_reads(fleet) - before, usual + len(restarted))

    def test_few_hosts_call_a_store_that_is_down(self) -> None:
        """Only a few hosts call a store that is down.

        The store refuses all hosts of a large data centre for ten seconds.  If each host took over
        from those that tried before it, and kept trying, the store would get hundreds of calls per
        second.
        """
        fleet = fleet_of(24, ('dc-a', 'dc-b'))
        fleet.run(_SETTLED_S)
        fleet.fail_store(list(fleet.node_by_name), 'refuses')
        fleet.run(10)
        for centre in ('dc-a', 'dc-b'):
            lost = [
                node
                for node in fleet.running
                if node.state.is_lost and node.me.data_centre == centre
            ]
            self.assertLessEqual(len(lost), MAX_LOST_WATCHERS + MAX_WATCHERS_PER_CENTRE)
        for node in fleet.running:
            node.store = 'serves'
        newest = put_text(fleet)
        fleet.run(3)
        self.assertEqual({newest}, {node.state.text_revision for node in fleet.running})


class StartTest(TestCase):
    """Traffic to peers when hosts start."""

    def test_no_remote_view_is_fetched_while_the_store_answers(self) -> None:
        """Hosts that start fetch no view from another data centre while the store answers.

        All hosts of a data centre start, and remote seeds announce that they know more.  Asking
        them for thousands of upstreams that the store is about to list would make traffic between
        data centres the largest cost of three hundred hosts.
        """
        fleet = _settled(4)
        for name in _of(fleet, 'dc-d'):
            fleet.restart(name)
        fleet.run(1)
        views = [node.remote_fetches for node in fleet.running]
        self.assertEqual(0, sum(views))
        self.assertTrue(all(node.state.ready for node in fleet.running))

    def test_a_remote_view_is_fetched_without_the_store(self) -> None:
        """Hosts that start in a data centre without answers of the store become ready."""
        fleet = _settled(4)
        started = _of(fleet, 'dc-d')
        fleet.fail_store(started, 'silent')
        for name in started:
            fleet.restart(name)
        fleet.run(STORE_GRACE_S + 0.5)
        self.assertTrue(all(fleet.node_by_name[name].state.ready for name in started))


class ProofTest(TestCase):
    """A host refuses no flow by a view that is not proved to be current."""

    def test_a_first_listing_refuses_nobody(self) -> None:
        """A host that has just started does not refuse callers of a new route.

        A route is added and a host starts while the store's stale reads are behind.  A stale
        listing must not count as proof that nothing is newer.
        """
        state = fresh_state()
        reduce(state, Started(), 0)
        reduce(state, page(Collection.TEXT, text(1)), 0)
        reduce(state, page(Collection.UPSTREAMS, entry(1)), 0)
        reduce(state, page(Collection.EVACUATIONS), 0)
        self.assertTrue(state.ready)
        self.assertFalse(state.is_current(0.1))
        unknown = opening(1, key=bytes((198, 18, 0, 9, 1, 187)))
        verdict = steering(state).decide(unknown, 0.1)
        self.assertEqual('Discard no_route', delivered_to(verdict))

    def test_a_short_watch_proves_the_view(self) -> None:
        """A watcher that starts first makes a short watch, which is answered at once."""
        state = fresh_state()
        reduce(state, Started(), 0)
        reduce(state, page(Collection.TEXT, text(1)), 0)
        reduce(state, page(Collection.UPSTREAMS, entry(1)), 0)
        reduce(state, page(Collection.EVACUATIONS), 0)
        effects = reduce(state, Ticked(), LISTEN_S)
        waits = [effect.wait_s for effect in effects if isinstance(effect, WatchChanges)]
        self.assertEqual([PROBE_WATCH_S for _ in Collection], waits)
        self.assertFalse(state.is_current(LISTEN_S))
        for collection in Collection:
            reduce(state, ChangesRead(collection, [], 1), LISTEN_S)
        self.assertTrue(state.is_current(LISTEN_S))

    def test_a_pause_while_changes_are_batched(self) -> None:
        """A host that was paused between two watches does not refuse by its old view.

        Upstreams change, and the host is frozen before the next watch begins.  The delay between
        two watches must not count as a watch.
        """
        state = ready_state(entry(1))
        for collection in Collection:
            reduce(state, ChangesRead(collection, [], 1), 1)
        changed = StoredObject(entry(2).name, 5, entry(2, revision=5))
        reduce(state, ChangesRead(Collection.UPSTREAMS, [changed], 5), 1)
        self.assertTrue(state.is_current(1.1))
        reduce(state, Paused(9), 10)
        effects = reduce(state, Ticked(), 10)
        waits = [effect.wait_s for effect in effects if isinstance(effect, WatchChanges)]
        self.assertEqual([PROBE_WATCH_S], waits)
        self.assertFalse(state.is_current(10))


class NoticedChangesTest(TestCase):
    """Changes that are noticed in spite of few and stale calls."""

    def test_stale_reads_that_are_far_behind(self) -> None:
        """A drain is known everywhere although stale reads are six seconds behind.

        Most watchers read stale.  If nobody read without staleness, or the others did not learn of
        it, new flows would go to an upstream that left six seconds ago.
        """
        fleet = _settled(6)
        fleet.store.staleness_s = 6
        put_upstream(fleet, 1, draining=True)
        fleet.run(_REPORTED_S)
        for node in fleet.running:
            self.assertTrue(node.state.directory.by_name[entry(1).name].entry.draining)

    def test_stale_reads_behind_while_hosts_start(self) -> None:
        """A host whose first listing is six seconds old catches up through its peers.

        It is itself one of those that read without staleness, so its data centre learns of
        upstreams from another one.
        """
        fleet = _settled(4)
        fleet.store.staleness_s = 6
        newest = put_text(fleet)
        put_upstream(fleet, 1, draining=True)
        fleet.restart('dc-c-2')
        fleet.run(LISTEN_S + 1)
        state = fleet.node_by_name['dc-c-2'].state
        self.assertEqual(newest, state.text_revision)
        fleet.run(_REPORTED_S - LISTEN_S - 1)
        self.assertTrue(state.directory.by_name[entry(1).name].entry.draining)

    def test_all_start_while_stale_reads_are_behind(self) -> None:
        """After a power loss of all hosts, none uses a text that is six seconds old.

        A text is accepted, all hosts lose power at once, and stale reads are behind.  A stale first
        listing must be followed by a watch without staleness.
        """
        fleet = _settled(4)
        fleet.store.staleness_s = 6
        newest = put_text(fleet)
        put_upstream(fleet, 1, draining=True)
        for name in fleet.node_by_name:
            fleet.restart(name)
        fleet.run(LISTEN_S + _REPORTED_S)
        for node in fleet.running:
            self.assertEqual(newest, node.state.text_revision)
            self.assertTrue(node.state.directory.by_name[entry(1).name].entry.draining)

    def test_a_store_unresponsive_to_all_newest_readers(self) -> None:
        """If all watchers without staleness are stalled, others report changes to them."""
        fleet = _settled(6)
        newest_readers = [
            node.me.name
            for node in fleet.running
            if node.state.is_direct(fleet.now)
            and not node.state.reads_stale(Collection.UPSTREAMS, fleet.now)
        ]
        self.assertEqual(NEWEST_READERS, len(newest_readers))
        fleet.fail_store(newest_readers, 'silent')
        fleet.store.staleness_s = 1
        newest = put_text(fleet)
        put_upstream(fleet, 1, draining=True)
        fleet.run(fleet.store.staleness_s + _REPORTED_S)
        for node in fleet.running:
            self.assertEqual(newest, node.state.text_revision)
            self.assertTrue(node.state.directory.by_name[entry(1).name].entry.draining)

    def test_the_store_is_unresponsive_to_a_third_of_the_hosts(self) -> None:
        """Any third is affected, even one that has both watchers of a data centre."""
        for offset in range(3):
            with self.subTest(offset=offset):
                fleet = _settled(6)
                watching = sorted(
                    node.me.name for node in fleet.running if node.state.is_direct(fleet.now)
                )
                others = sorted(set(fleet.node_by_name).difference(watching))
                stalled = watching[offset * 2 : offset * 2 + 4]
                fleet.fail_store([*stalled, *others[offset : offset + 6]], 'silent')
                newest = put_text(fleet)
                put_upstream(fleet, 1, draining=True)
                fleet.run(_REPORTED_S)
                for node in fleet.running:
                    self.assertEqual(newest, node.state.text_revision)
                    upstream = node.state.directory.by_name[entry(1).name]
                    self.assertTrue(upstream.entry.draining)


def _of(fleet: RoutingFleet, centre: str) -> list[str]:
    """Return the names of a data centre's hosts."""
    return [node.me.name for node in fleet.running if node.me.data_centre == centre]


def _settled(per_centre: int) -> RoutingFleet:
    """Return a fleet of five data centres in which few hosts watch."""
    fleet = fleet_of(per_centre, _FIVE)
    fleet.run(_SETTLED_S)
    return fleet


def _newest_reads(fleet: RoutingFleet) -> int:
    return sum(node.consistent_reads for node in fleet.node_by_name.values())


def _calls(fleet: RoutingFleet) -> int:
    return sum(node.calls for node in fleet.node_by_name.values())
