"""Test how many calls balancers make to the store, and what few and cheap ones still notice."""

from unittest import TestCase

from bronzekeel.core.routing.effects import WatchChanges
from bronzekeel.core.routing.events import ChangesRead, Paused, Started, StoredObject, Ticked
from bronzekeel.core.routing.follower import GATHER_S, LISTEN_S, Collection
from bronzekeel.core.routing.sharing import STORE_FIRST_S
from bronzekeel.core.routing.watch_duty import (
    ALL_WATCHERS,
    FEWEST_WATCHERS,
    MOST_LOST,
    NEWEST_READERS,
    WATCHERS,
)
from bronzekeel.core.routing.reducer import reduce
from bronzekeel.core.store_waits import PROVING_WATCH_S
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

#: Seconds within which a data centre whose own watches are deaf or stale has what another knows:
#: the interval of word between data centres, the wait before another is asked, and a fetch.
_TOLD_S = 2.0


class FewCallsTest(TestCase):
    """What a fleet of five data centres costs the store."""

    def test_upstreams_replaced_one_after_the_other(self) -> None:
        """Symptom: calls to the store are the largest price of a large deployment.

        Sequence: a release replaces upstreams one after the other; each writes its entry several
        times; every watcher's watch ends at each of these writes.
        Cause: a call a change and watcher, whatever that tells.
        """
        fleet = _settled(6)
        before = _newest_reads(fleet), _calls(fleet)
        for change in range(_CHANGES):
            put_upstream(fleet, 1, draining=change % 2 == 0)
            fleet.run(_CHANGE_S)
        fleet.run(1)
        gathered = _CHANGES * _CHANGE_S / GATHER_S + _COLLECTIONS
        watchers = len(_FIVE) * FEWEST_WATCHERS
        texts = watchers * _COLLECTIONS
        self.assertLessEqual(_newest_reads(fleet) - before[0], NEWEST_READERS * gathered + texts)
        self.assertLessEqual(_calls(fleet) - before[1], watchers * gathered + texts)

    def test_a_change_after_a_quiet_time_is_told_at_once(self) -> None:
        """What is gathered is only what follows at once."""
        fleet = _settled(6)
        put_upstream(fleet, 1, draining=True)
        fleet.run(_CHANGE_S)
        told = [node.state.directory.by_name[entry(1).name] for node in fleet.running]
        self.assertTrue(all(upstream.entry.draining for upstream in told))

    def test_watchers_are_few_in_all(self) -> None:
        """Nine or so, whatever the number of data centres, and two at least in each."""
        for centres, each in ((_FIVE[:3], WATCHERS), (_FIVE, FEWEST_WATCHERS)):
            with self.subTest(centres=len(centres)):
                fleet = fleet_of(6, centres)
                fleet.run(_SETTLED_S)
                watching = [node for node in fleet.running if node.state.is_direct(fleet.now)]
                self.assertEqual(each * len(centres), len(watching))
                self.assertGreaterEqual(len(watching), ALL_WATCHERS)

    def test_hosts_that_start_list_at_a_tenth(self) -> None:
        """Symptom: a rolling restart costs more than all changes of a day.

        Sequence: hosts stop and start again, one after the other.
        Cause: a full list of all upstreams, a watch each, and the proof that nobody needs.
        """
        fleet = _settled(6)
        before = _newest_reads(fleet)
        restarted = ('dc-a-5', 'dc-b-5', 'dc-c-5', 'dc-d-5')
        for name in restarted:
            fleet.restart(name)
            fleet.run(1)
        usual = len(_FIVE) * FEWEST_WATCHERS * _COLLECTIONS
        self.assertLessEqual(_newest_reads(fleet) - before, usual + len(restarted))

    def test_an_outage_is_not_called_by_everybody(self) -> None:
        """Symptom: a store that is down gets hundreds of calls a second.

        Sequence: the store refuses all hosts of a large data centre for ten seconds.
        Cause: each host takes the place of those that tried before it, and goes on trying.
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
            self.assertLessEqual(len(lost), MOST_LOST + WATCHERS)
        for node in fleet.running:
            node.store = 'serves'
        newest = put_text(fleet)
        fleet.run(3)
        self.assertEqual({newest}, {node.state.text_revision for node in fleet.running})


class StartTest(TestCase):
    """What the start of hosts costs their peers."""

    def test_a_view_does_not_cross_while_the_store_answers(self) -> None:
        """Symptom: bytes between data centres are the largest price of three hundred hosts.

        Sequence: all hosts of a data centre start; seeds elsewhere tell that they know more.
        Cause: asking for a view of thousands of upstreams that the store is about to list.
        """
        fleet = _settled(4)
        for name in _of(fleet, 'dc-d'):
            fleet.restart(name)
        fleet.run(1)
        views = [node.remote_fetches for node in fleet.running]
        self.assertEqual(0, sum(views))
        self.assertTrue(all(node.state.ready for node in fleet.running))

    def test_another_centre_is_asked_if_the_store_is_silent(self) -> None:
        """Hosts that start in a data centre that knows nothing serve all the same."""
        fleet = _settled(4)
        started = _of(fleet, 'dc-d')
        fleet.fail_store(started, 'silent')
        for name in started:
            fleet.restart(name)
        fleet.run(STORE_FIRST_S + 0.5)
        self.assertTrue(all(fleet.node_by_name[name].state.ready for name in started))


class ProofTest(TestCase):
    """What is not proved to be new refuses nobody."""

    def test_a_first_listing_refuses_nobody(self) -> None:
        """Symptom: a host that has just started refuses callers whose route is new.

        Sequence: a route is added; a host starts, and the store's stale reads are behind.
        Cause: taking a stale listing for a proof that nothing is newer.
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

    def test_it_is_proved_by_a_short_watch(self) -> None:
        """Whoever then watches asks first for an answer at once."""
        state = fresh_state()
        reduce(state, Started(), 0)
        reduce(state, page(Collection.TEXT, text(1)), 0)
        reduce(state, page(Collection.UPSTREAMS, entry(1)), 0)
        reduce(state, page(Collection.EVACUATIONS), 0)
        effects = reduce(state, Ticked(), LISTEN_S)
        waits = [effect.wait_s for effect in effects if isinstance(effect, WatchChanges)]
        self.assertEqual([PROVING_WATCH_S for _ in Collection], waits)
        self.assertFalse(state.is_current(LISTEN_S))
        for collection in Collection:
            reduce(state, ChangesRead(collection, [], 1), LISTEN_S)
        self.assertTrue(state.is_current(LISTEN_S))

    def test_a_pause_while_changes_are_gathered(self) -> None:
        """Symptom: a host that stood still refuses by what it knew before.

        Sequence: upstreams change; before the next watch begins the host is frozen.
        Cause: taking the rest between two watches for the second one.
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
        self.assertEqual([PROVING_WATCH_S], waits)
        self.assertFalse(state.is_current(10))


class NoticedTest(TestCase):
    """What must be noticed all the same."""

    def test_stale_reads_that_are_far_behind(self) -> None:
        """Symptom: new flows go to an upstream that left six seconds ago.

        Sequence: an upstream announces that it leaves while the store's stale reads are six
        seconds behind; most watchers read stale.
        Cause: nobody who reads the newest, or nobody who hears of it.
        """
        fleet = _settled(6)
        fleet.store.staleness_s = 6
        put_upstream(fleet, 1, draining=True)
        fleet.run(_TOLD_S)
        for node in fleet.running:
            self.assertTrue(node.state.directory.by_name[entry(1).name].entry.draining)

    def test_stale_reads_behind_while_hosts_start(self) -> None:
        """A host that lists what is six seconds old catches up by its peers.

        It is itself one of those that read the newest, so its data centre hears of upstreams
        from another.
        """
        fleet = _settled(4)
        fleet.store.staleness_s = 6
        newest = put_text(fleet)
        put_upstream(fleet, 1, draining=True)
        fleet.restart('dc-c-2')
        fleet.run(LISTEN_S + 1)
        state = fleet.node_by_name['dc-c-2'].state
        self.assertEqual(newest, state.text_revision)
        fleet.run(_TOLD_S - LISTEN_S - 1)
        self.assertTrue(state.directory.by_name[entry(1).name].entry.draining)

    def test_all_start_while_stale_reads_are_behind(self) -> None:
        """Symptom: after a loss of power everybody goes by a text of six seconds ago.

        Sequence: a text is accepted; all hosts lose power at once; stale reads are behind.
        Cause: a first listing that is stale, and no watch that is not.
        """
        fleet = _settled(4)
        fleet.store.staleness_s = 6
        newest = put_text(fleet)
        put_upstream(fleet, 1, draining=True)
        for name in fleet.node_by_name:
            fleet.restart(name)
        fleet.run(LISTEN_S + _TOLD_S)
        for node in fleet.running:
            self.assertEqual(newest, node.state.text_revision)
            self.assertTrue(node.state.directory.by_name[entry(1).name].entry.draining)

    def test_a_store_silent_towards_all_newest_readers(self) -> None:
        """The others are told late at worst, and tell those that are deaf."""
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
        fleet.run(fleet.store.staleness_s + _TOLD_S)
        for node in fleet.running:
            self.assertEqual(newest, node.state.text_revision)
            self.assertTrue(node.state.directory.by_name[entry(1).name].entry.draining)

    def test_the_store_is_silent_towards_a_third(self) -> None:
        """Whichever third it is, also with both watchers of a data centre among them."""
        for offset in range(3):
            with self.subTest(offset=offset):
                fleet = _settled(6)
                watching = sorted(
                    node.me.name for node in fleet.running if node.state.is_direct(fleet.now)
                )
                others = sorted(set(fleet.node_by_name).difference(watching))
                deaf = watching[offset * 2 : offset * 2 + 4]
                fleet.fail_store([*deaf, *others[offset : offset + 6]], 'silent')
                newest = put_text(fleet)
                put_upstream(fleet, 1, draining=True)
                fleet.run(_TOLD_S)
                for node in fleet.running:
                    self.assertEqual(newest, node.state.text_revision)
                    known = node.state.directory.by_name[entry(1).name]
                    self.assertTrue(known.entry.draining)


def _of(fleet: RoutingFleet, centre: str) -> list[str]:
    """Return the names of a data centre's hosts."""
    return [node.me.name for node in fleet.running if node.me.data_centre == centre]


def _settled(per_centre: int) -> RoutingFleet:
    """Return a fleet of five data centres in which few watch."""
    fleet = fleet_of(per_centre, _FIVE)
    fleet.run(_SETTLED_S)
    return fleet


def _newest_reads(fleet: RoutingFleet) -> int:
    return sum(node.consistent_reads for node in fleet.node_by_name.values())


def _calls(fleet: RoutingFleet) -> int:
    return sum(node.calls for node in fleet.node_by_name.values())
