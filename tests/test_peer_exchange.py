"""Test how balancers share their state, and that no host returns to an older state."""

from unittest import TestCase

from bronzekeel.core.routing.directory import RETENTION_S
from bronzekeel.core.routing.events import ViewFetched
from bronzekeel.core.routing.follower import MAX_WATCH_LAG_S, Collection, Follower
from bronzekeel.core.routing.messages import Heartbeat, KnownVersions, PeerAddress
from bronzekeel.core.routing.peer_exchange import MAX_BEHIND_S, view_since
from bronzekeel.core.routing.peers import (
    FORGET_S,
    MAX_NAMED_AGE_S,
    MAX_NEIGHBOURS,
    SEED_INTERVAL_S,
    PeerTable,
)
from bronzekeel.core.routing.reducer import reduce
from bronzekeel.core.routing.relays import RELAY_S, RELAYS
from bronzekeel.core.routing.watcher_selection import (
    MAX_WATCHERS_PER_CENTRE,
    MIN_WATCHERS_SINGLE_CENTRE,
)
from bronzekeel.core.store_waits import ANSWER_TIMEOUT_S, PROBE_WATCH_S, WATCH_WAIT_S
from bronzekeel.replay.routing_fleet import RoutingFleet
from tests.routing_cases import (
    asking,
    delivered_to,
    entry,
    fleet_of,
    id_given,
    opening,
    put_text,
    put_upstream,
    ready_state,
)


_SETTLED_S = 2 * WATCH_WAIT_S + 1

#: Bound on a change in seconds, also for a data centre whose watchers are stalled.
_CHANGE_BOUND_S = 3


def _watching(fleet: RoutingFleet) -> list[str]:
    """Return the names of the hosts that consider their watches to work."""
    return [node.me.name for node in fleet.running if node.state.is_direct(fleet.now)]


def _restart_without_store(fleet: RoutingFleet, names: list[str]) -> None:
    """Let hosts lose power for a second, and start while the store refuses their calls."""
    fleet.fail_store(names, 'refuses')
    for name in names:
        fleet.kill(name)
    fleet.run(1)
    for name in names:
        fleet.restart(name)


class ReportingTest(TestCase):
    """A few hosts watch the store and report to the others."""

    def test_few_watch_and_all_are_updated(self) -> None:
        """Guards against a watch at every host, each of which costs the store a call per change."""
        fleet = fleet_of(9, ('dc-a',))
        fleet.run(_SETTLED_S)
        before = sum(node.calls for node in fleet.running)
        newest = put_text(fleet)
        fleet.run(0.5)
        self.assertEqual({newest}, {node.state.text_revision for node in fleet.running})
        calls = sum(node.calls for node in fleet.running) - before
        self.assertLessEqual(calls, 2 * MIN_WATCHERS_SINGLE_CENTRE)

    def test_all_are_current_though_few_watch(self) -> None:
        """A host without a watch may refuse what is not in force, like a watcher."""
        fleet = fleet_of(5, ('dc-a',))
        fleet.run(_SETTLED_S)
        self.assertEqual(5, len(fleet.running))
        self.assertTrue(all(node.state.is_current(fleet.now) for node in fleet.running))

    def test_a_change_that_peers_cannot_pass_on_is_read(self) -> None:
        """Guards against waiting for peers without a bound.

        A text grows by two thousand routes, and all hosts fetch it from the two watchers, over
        links that one copy fills for a tenth of a second. The data centre would have an old text
        for ten seconds and more.
        """
        fleet = fleet_of(9, ('dc-a',))
        fleet.run(_SETTLED_S)
        fleet.views_available = False
        before = sum(node.calls for node in fleet.running)
        newest = put_text(fleet)
        fleet.run(MAX_BEHIND_S + 1)
        self.assertEqual({newest}, {node.state.text_revision for node in fleet.running})
        fleet.run(_SETTLED_S)
        calls = sum(node.calls for node in fleet.running) - before
        self.assertLess(calls, 9 * 5)

    def test_watchers_that_die_are_replaced(self) -> None:
        """Guards against a data centre that stays at an old text after both watchers die."""
        fleet = fleet_of(6, ('dc-a',))
        fleet.run(_SETTLED_S)
        watching = [node.me.name for node in fleet.running if node.state.is_direct(fleet.now)]
        self.assertEqual(MIN_WATCHERS_SINGLE_CENTRE, len(watching))
        for name in watching:
            fleet.kill(name)
        newest = put_text(fleet)
        fleet.run(2)
        self.assertEqual({newest}, {node.state.text_revision for node in fleet.running})

    def test_watchers_of_a_large_data_centre_are_replaced_soon(self) -> None:
        """Guards against detecting dead watchers as late as other dead peers.

        All watchers and every second other host are killed as the text changes; the others receive
        heartbeats a second and more apart. The data centre would use an old text for five seconds.
        """
        fleet = fleet_of(29, ('dc-a', 'dc-b'))
        fleet.run(_SETTLED_S)
        watching = set(_watching(fleet))
        for place, name in enumerate(sorted(fleet.node_by_name)):
            if name in watching or place % 2:
                fleet.kill(name)
        newest = put_text(fleet)
        fleet.run(_CHANGE_BOUND_S)
        self.assertEqual({newest}, {node.state.text_revision for node in fleet.running})

    def test_watchers_that_the_store_refuses_are_replaced(self) -> None:
        """Guards against choosing watchers only by whether they are live.

        The store refuses both watchers; hosts that reach it would miss a change.
        """
        fleet = fleet_of(6, ('dc-a',))
        fleet.run(_SETTLED_S)
        watching = [node.me.name for node in fleet.running if node.state.is_direct(fleet.now)]
        fleet.fail_store(watching, 'refuses')
        newest = put_text(fleet)
        fleet.run(2.5)
        self.assertEqual({newest}, {node.state.text_revision for node in fleet.running})

    def test_a_store_that_ignores_a_third_hides_nothing(self) -> None:
        """Guards against so few watchers that all may be stalled at once without knowing it.

        The store stops answering a third of the hosts, watchers among them, without a reset. The
        data centre would learn of a text and of a removed upstream ten seconds late.
        """
        fleet = fleet_of(9, ('dc-a',))
        fleet.run(_SETTLED_S)
        watching = [node.me.name for node in fleet.running if node.state.is_direct(fleet.now)]
        fleet.fail_store(watching[:3], 'silent')
        newest = put_text(fleet)
        fleet.run(0.5)
        self.assertEqual({newest}, {node.state.text_revision for node in fleet.running})

    def test_stalled_watchers_learn_from_another_data_centre(self) -> None:
        """Guards against stalled watches of a whole data centre that nobody contradicts.

        The store stops answering all watchers of one of three data centres, without a reset. It
        would learn of a text and of a removed upstream ten seconds late. It is not the data centre
        of the seeds, which receive heartbeats of everybody.
        """
        fleet = fleet_of(8, ('dc-a', 'dc-b', 'dc-c'))
        put_upstream(fleet, 2)
        fleet.run(_SETTLED_S)
        stalled = [name for name in _watching(fleet) if name.startswith('dc-c')]
        self.assertEqual(MAX_WATCHERS_PER_CENTRE, len(stalled))
        fleet.fail_store(stalled, 'silent')
        newest = put_text(fleet)
        fleet.store.remove(Collection.UPSTREAMS, entry(2).name)
        fleet.notify_watches()
        fleet.run(_CHANGE_BOUND_S)
        self.assertEqual({newest}, {node.state.text_revision for node in fleet.running})
        for node in fleet.running:
            self.assertFalse(node.state.directory.by_name[entry(2).name].listed)

    def test_stalled_watchers_are_replaced_soon(self) -> None:
        """Guards against trusting a watch that did not report what a peer reported.

        The store stops answering two of three watchers; the third reports a change. The two would
        count as watchers until their watches end.
        """
        fleet = fleet_of(8, ('dc-a', 'dc-b'))
        fleet.run(_SETTLED_S)
        stalled = [name for name in _watching(fleet) if name.startswith('dc-a')][:2]
        fleet.fail_store(stalled, 'silent')
        put_text(fleet)
        fleet.run(MAX_WATCH_LAG_S + PROBE_WATCH_S + ANSWER_TIMEOUT_S + 1)
        working = [name for name in _watching(fleet) if name.startswith('dc-a')]
        self.assertEqual(MAX_WATCHERS_PER_CENTRE, len(working))
        self.assertFalse(set(working) & set(stalled))

    def test_few_hosts_report_to_other_data_centres(self) -> None:
        """Guards against traffic between data centres that grows with the square of the hosts."""
        fleet = fleet_of(12, ('dc-a', 'dc-b', 'dc-c'))
        fleet.run(_SETTLED_S)
        before = fleet.remote_heartbeats
        fleet.run(2 * SEED_INTERVAL_S)
        heartbeats_s = (fleet.remote_heartbeats - before) / (2 * SEED_INTERVAL_S)
        seeds = 2 * len(fleet.running) / SEED_INTERVAL_S
        self.assertLessEqual(heartbeats_s, 6 * RELAYS * RELAYS / RELAY_S + seeds)

    def test_a_watch_that_is_a_little_late_is_not_stalled(self) -> None:
        """Guards against a watch that counts as stalled once a peer reports a change before it.

        Each change would cost two more calls for each watcher.
        """
        follower = Follower(Collection.TEXT, 'dc-a-1')
        follower.adopt(1)
        follower.watch(1)
        follower.expect_change(2)
        self.assertFalse(follower.is_stalled(2 + MAX_WATCH_LAG_S / 2))
        follower.watch(2 + MAX_WATCH_LAG_S / 2)
        self.assertFalse(follower.is_stalled(2 + 2 * MAX_WATCH_LAG_S))
        follower.expect_change(5)
        self.assertTrue(follower.is_stalled(5 + MAX_WATCH_LAG_S))

    def test_an_unresponsive_store_is_detected(self) -> None:
        """Guards against watches without an end.

        If the store stops answering a watcher without a reset, the host would believe forever that
        nothing changes.
        """
        fleet = fleet_of(1, ('dc-a',))
        fleet.run(1)
        fleet.fail_store(['dc-a-1'], 'silent')
        fleet.run(2 * WATCH_WAIT_S)
        self.assertFalse(fleet.running[0].state.is_current(fleet.now))
        newest = put_text(fleet)
        fleet.fail_store(['dc-a-1'], 'serves')
        fleet.run(WATCH_WAIT_S)
        self.assertEqual(newest, fleet.running[0].state.text_revision)


class PartitionTest(TestCase):
    """Data centres that are cut off from the store and from each other."""

    def test_a_restarted_host_learns_from_its_neighbours(self) -> None:
        """Guards against hosts that can learn only from the store.

        Two of three hosts restart in a data centre that is cut off. Every request that the fabric
        sends to them would fail.
        """
        fleet = fleet_of(3)
        fleet.run(5)
        for name in ('dc-a-1', 'dc-a-2'):
            fleet.kill(name)
        fleet.isolated_centres.add('dc-a')
        fleet.run(2)
        for name in ('dc-a-1', 'dc-a-2'):
            fleet.restart(name)
        fleet.run(1)
        for name in ('dc-a-1', 'dc-a-2'):
            self.assertTrue(fleet.node_by_name[name].state.ready)
            verdict = fleet.decide(name, opening(1))
            self.assertEqual(entry(1).name, delivered_to(verdict))

    def test_a_cut_off_host_catches_up_after_the_cut(self) -> None:
        """All hosts agree soon after a cut has healed, and none returned to an older text."""
        fleet = fleet_of(3)
        fleet.run(5)
        fleet.isolated_centres.add('dc-a')
        fleet.run(1)
        newest = put_text(fleet)
        fleet.run(6)
        cut_off = fleet.node_by_name['dc-a-1']
        self.assertLess(cut_off.state.text_revision, newest)
        fleet.isolated_centres.clear()
        fleet.run(2 * WATCH_WAIT_S)
        for node in fleet.running:
            self.assertEqual(newest, node.state.text_revision)
            self.assertEqual(sorted(node.text_orders), node.text_orders)

    def test_all_hosts_start_while_the_store_is_down(self) -> None:
        """When no host knows anything, all wait, and serve once the store is back."""
        fleet = fleet_of(3, ('dc-a',))
        names = list(fleet.node_by_name)
        _restart_without_store(fleet, names)
        fleet.run(3)
        self.assertFalse(any(node.state.ready for node in fleet.running))
        fleet.fail_store(names, 'serves')
        fleet.run(1)
        self.assertEqual(3, sum(node.state.ready for node in fleet.running))

    def test_a_restarted_data_centre_learns_from_another(self) -> None:
        """Guards against asking only peers of the local data centre.

        All hosts of a data centre lose power while the store refuses their calls. They would serve
        nothing although hosts of the other data centre know everything.
        """
        fleet = fleet_of(2)
        fleet.run(5)
        restarted = ['dc-b-1', 'dc-b-2']
        _restart_without_store(fleet, restarted)
        fleet.run(1)
        for name in restarted:
            self.assertTrue(fleet.node_by_name[name].state.ready)

    def test_hosts_without_state_do_not_answer_endlessly(self) -> None:
        """Guards against two hosts without state that fill their link with heartbeats.

        It happens if a host answers everyone that knows nothing.
        """
        fleet = fleet_of(2, ('dc-a',))
        names = list(fleet.node_by_name)
        _restart_without_store(fleet, names)
        before = sum(node.heartbeats for node in fleet.running)
        fleet.run(5)
        sent = sum(node.heartbeats for node in fleet.running) - before
        self.assertLess(sent, 200)

    def test_removals_are_reported_with_their_time_to_return(self) -> None:
        """A host that receives a removal considers the upstream gone when the sender does."""
        fleet = fleet_of(8, ('dc-a',))
        put_upstream(fleet, 2)
        fleet.run(_SETTLED_S)
        fleet.store.remove(Collection.UPSTREAMS, entry(2).name)
        fleet.notify_watches()
        fleet.run(0.5)
        for node in fleet.running:
            known = node.state.directory.by_name[entry(2).name]
            self.assertTrue(known.is_gone(fleet.now))
            verdict = node.steering.decide(opening(5), fleet.now)
            self.assertEqual(entry(1).name, delivered_to(verdict))


class OrderTest(TestCase):
    """An older view changes nothing."""

    def test_the_view_of_a_paused_peer_is_ignored(self) -> None:
        """Guards against applying a view because it arrived last.

        A host is paused, resumes and sends what it knew. An upstream that left would get flows
        again, and a dropped route would return.
        """
        paused = ready_state(entry(1), entry(2))
        view = view_since(paused, KnownVersions(0, 0, 0), 1)
        state = ready_state(entry(1, revision=30, draining=True))
        state.directory.apply(entry(2), 1)
        state.directory.note_removed(entry(2).name, 40, 1)
        reduce(state, ViewFetched(('p', 9), view), 2)
        self.assertTrue(state.directory.by_name[entry(1).name].entry.draining)
        self.assertFalse(state.directory.by_name[entry(2).name].listed)

    def test_a_view_is_not_fetched_repeatedly(self) -> None:
        """Guards against deriving what is known from the entries of a view alone.

        An upstream leaves, and a minute later no host remembers it. A restarted host gets a view
        whose newest entry is older than the newest change that its sender knows. It would fetch a
        view four times a second, forever.
        """
        fleet = fleet_of(3, ('dc-a',))
        put_upstream(fleet, 2)
        fleet.run(1)
        fleet.store.remove(Collection.UPSTREAMS, entry(2).name)
        fleet.notify_watches()
        fleet.run(RETENTION_S + 10)
        fleet.fail_store(['dc-a-3'], 'refuses')
        fleet.kill('dc-a-3')
        fleet.run(1)
        fleet.restart('dc-a-3')
        fleet.run(10)
        restarted = fleet.node_by_name['dc-a-3']
        self.assertTrue(restarted.state.is_current(fleet.now))
        self.assertLessEqual(restarted.fetches, 3)

    def test_a_view_contains_only_what_is_new(self) -> None:
        """A view holds what changed after the requested revisions."""
        state = ready_state(entry(1), entry(2), entry(3))
        view = view_since(state, KnownVersions(state.text_order, 2, 2), 1)
        self.assertIsNone(view.text)
        self.assertEqual([entry(3).name], [reported.name for reported in view.entries])


class PeerTableTest(TestCase):
    """Which peers are known, and which get heartbeats."""

    def test_hosts_that_are_gone_are_forgotten(self) -> None:
        """Guards against heartbeats to a replaced host that two others keep naming."""
        fleet = fleet_of(3, ('dc-a',))
        fleet.kill('dc-a-3')
        fleet.run(FORGET_S + 10)
        for name in ('dc-a-1', 'dc-a-2'):
            self.assertNotIn('dc-a-3', fleet.node_by_name[name].state.peers.by_name)

    def test_peers_that_stopped_are_not_named(self) -> None:
        """Guards against a replaced host that is remembered forever.

        Two hosts that learned of it at different times would name it to each other in turn, as if
        it were new.
        """
        table = PeerTable(PeerAddress('me', 'dc', ('me', 9)), ())
        table.note_heartbeat(Heartbeat(PeerAddress('old', 'dc', ('old', 9)), 1, 1, {}), 0)
        named = [peer.name for peer in table.peers_to_name('dc', 1)]
        self.assertEqual(['old'], named)
        self.assertEqual((), table.peers_to_name('dc', MAX_NAMED_AGE_S + 1))

    def test_heartbeats_are_bounded_in_a_large_data_centre(self) -> None:
        """Guards against heartbeats that grow with the square of the hosts.

        It happens with a fixed interval between all pairs; here there are two hundred hosts.
        """
        table = PeerTable(PeerAddress('me', 'dc', ('me', 9)), ())
        for number in range(200):
            sender = PeerAddress(f'h{number}', 'dc', (f'h{number}', 9))
            table.note_heartbeat(Heartbeat(sender, 1, 1, {}), 0)
        self.assertEqual(MAX_NEIGHBOURS, len(table.neighbours()))
        sent = sum(len(table.due_neighbours(step / 10)) for step in range(100))
        self.assertLessEqual(sent / 10, 30)

    def test_loads_that_peers_see_count(self) -> None:
        """Guards against balancing by a host's own requests only.

        Long requests reach an upstream through one host, and new flows arrive at another, which
        would send them to the same upstream.
        """
        fleet = fleet_of(2, ('dc-a',))
        for number in range(4):
            placed = fleet.decide('dc-a-1', opening(number))
            fleet.decide('dc-a-1', asking(number, id_given(placed)))
        put_upstream(fleet, 2)
        fleet.run(0.4)
        names = {delivered_to(fleet.decide('dc-a-2', opening(20 + number))) for number in range(3)}
        self.assertEqual({entry(2).name}, names)
