"""Test that an upstream that restarts under its name is treated as a new one."""

from functools import partial
from unittest import TestCase

from bronzekeel.core.log_numbers import LogNumber
from bronzekeel.core.routing.directory import OLDER_START_CONFIRM_S
from bronzekeel.core.routing.effects import WriteLine
from bronzekeel.core.routing.events import ChangesRead, StoredObject, Ticked, ViewFetched
from bronzekeel.core.routing.follower import Collection
from bronzekeel.core.routing.messages import KnownVersions, View
from bronzekeel.core.routing.model import UpstreamEntry
from bronzekeel.core.routing.peer_exchange import view_since
from bronzekeel.core.routing.reducer import reduce
from bronzekeel.core.routing.state import RoutingState
from bronzekeel.entry.peer_messages import decode_view, encode_view
from bronzekeel.replay.routing_fleet import RoutingFleet
from tests.routing_cases import (
    INTAKE,
    PORTAL,
    asking,
    delivered_to,
    entry,
    fleet_of,
    id_given,
    opening,
    put_upstream,
    ready_state,
    steering,
)


_FIRST_MS = 1_700_000_000_000
_SECOND_MS = _FIRST_MS + 9_000
_NAME = entry(1).name
_PEER = ('p', 9)


class RestartTest(TestCase):
    """State of a former process is dropped."""

    def test_state_of_the_former_process_is_dropped(self) -> None:
        """Load and unanswered packets of a former process don't count for the new one.

        An upstream with requests in progress crashes, leaves opening packets unanswered and
        restarts under its name before its entry lapses.  It must get flows although its former
        process was busy and avoided.
        """
        state = ready_state(_started(_FIRST_MS, 1))
        steers = steering(state)
        for number in range(5):
            steers.decide(opening(number), 1)
        former = state.directory.by_name[_NAME]
        former.unanswered = 3
        former.avoided_until = 100
        _report(state, _started(_SECOND_MS, 50), 1.1)
        fresh = state.directory.by_name[_NAME]
        self.assertIsNot(former, fresh)
        self.assertEqual((0, 0, 0), (fresh.open_flows, fresh.busy_flows, fresh.unanswered))
        self.assertEqual(0, fresh.avoided_until)
        self.assertEqual((0, 0), (fresh.pool.busy, len(state.flows)))

    def test_it_takes_flows_after_a_drain(self) -> None:
        """An upstream that restarts after a drain gets flows.

        It announces its drain, its entry is removed, and it restarts.  The mark of the drain must
        not outlive the process.
        """
        state = ready_state(_started(_FIRST_MS, 1, draining=True))
        _report(state, None, 1, revision=40)
        _report(state, _started(_SECOND_MS, 50), 2)
        verdict = steering(state).decide(opening(1), 2.1)
        self.assertEqual(_NAME, delivered_to(verdict))
        self.assertFalse(state.directory.by_name[_NAME].left)

    def test_a_cold_start_is_cold_again(self) -> None:
        """A restarted upstream has a cold start of its own."""
        state = ready_state(_started(_FIRST_MS, 1))
        _report(state, _started(_SECOND_MS, 50, cold_s=2), 10)
        self.assertEqual(12, state.directory.by_name[_NAME].warm_at)

    def test_it_moves_to_the_pool_of_its_new_entry(self) -> None:
        """An upstream that restarts in another service joins the pool of that service.

        If it stayed among the upstreams of its former service, requests of one service would be
        sent to an upstream of another.
        """
        state = ready_state(_started(_FIRST_MS, 1))
        opened = id_given(steering(state).decide(opening(1), 0))
        _report(state, _started(_SECOND_MS, 50, service=INTAKE, data_centre='dc-b'), 1)
        steers = steering(state)
        self.assertEqual('Reset no_upstream', delivered_to(steers.decide(opening(2), 1.1)))
        moved = state.directory.by_name[_NAME]
        self.assertEqual((INTAKE, 'dc-b'), (moved.pool.service, moved.pool.data_centre))
        self.assertEqual([], state.directory.of_service(PORTAL))
        self.assertEqual(
            'Discard unknown_connection_id',
            delivered_to(steers.decide(asking(1, opened), 1.1)),
        )

    def test_flows_go_to_the_new_address(self) -> None:
        """Packets of old flows go to the new process, which answers them by a reset."""
        state = ready_state(_started(_FIRST_MS, 1))
        steers = steering(state)
        opened = id_given(steers.decide(opening(1), 0))
        _report(state, _started(_SECOND_MS, 50, port=81), 1)
        self.assertEqual(_NAME, delivered_to(steers.decide(asking(1, opened), 1.1)))
        self.assertEqual(81, state.directory.by_name[_NAME].entry.address[1])

    def test_a_restart_is_logged(self) -> None:
        """One log line names both start times."""
        state = ready_state(_started(_FIRST_MS, 1))
        stored = StoredObject(_NAME, 50, _started(_SECOND_MS, 50))
        effects = reduce(state, ChangesRead(Collection.UPSTREAMS, [stored], 50), 1)
        lines = [effect for effect in effects if isinstance(effect, WriteLine)]
        self.assertEqual([LogNumber.UPSTREAM_RESTARTED], [line.number for line in lines])
        self.assertEqual(_FIRST_MS, lines[0].fields['former_start_ms'])

    def test_an_unknown_start_time_is_the_same_process(self) -> None:
        """An entry without a start time counts as the same process."""
        state = ready_state(entry(1))
        known = state.directory.by_name[_NAME]
        _report(state, _started(_FIRST_MS, 50), 1)
        _report(state, entry(1, revision=51), 2)
        self.assertIs(known, state.directory.by_name[_NAME])


class OutdatedReportsTest(TestCase):
    """Late reports of a former process never bring it back."""

    def test_a_late_write_of_the_former_start(self) -> None:
        """A delayed write of the former process does not replace the new one.

        A process writes its entry, the call is slow, and the process is replaced under its name;
        the store executes the late call after that of the new process.  If the newest write counted
        as the newest process, flows would go to the address of a process that has ended.
        """
        state = ready_state(_started(_SECOND_MS, 50, port=81))
        known = state.directory.by_name[_NAME]
        _report(state, _started(_FIRST_MS, 60), 1)
        self.assertIs(known, state.directory.by_name[_NAME])
        _report(state, _started(_SECOND_MS, 61, port=81), 1.8)
        reduce(state, Ticked(), 1 + OLDER_START_CONFIRM_S)
        self.assertEqual(81, state.directory.by_name[_NAME].entry.address[1])
        self.assertEqual([], state.directory.unconfirmed_entries)

    def test_a_start_by_a_clock_that_was_set_back(self) -> None:
        """An older start time that persists is applied after a wait.

        A host's clock is set back, and an upstream restarts on it.  If its older start time were
        rejected forever, flows would go to its former address for as long as it lives.
        """
        state = ready_state(_started(_SECOND_MS, 50))
        _report(state, _started(_FIRST_MS, 60, port=81), 1)
        reduce(state, Ticked(), 1 + OLDER_START_CONFIRM_S / 2)
        self.assertEqual(80, state.directory.by_name[_NAME].entry.address[1])
        reduce(state, Ticked(), 1 + OLDER_START_CONFIRM_S)
        self.assertEqual(81, state.directory.by_name[_NAME].entry.address[1])

    def test_a_peer_that_still_knows_the_former_start(self) -> None:
        """A view of a peer is ordered by the store's revisions as well."""
        old = ready_state(_started(_FIRST_MS, 1))
        view = decode_view(encode_view(view_since(old, KnownVersions(0, 0, 0), 1)))
        state = ready_state(_started(_SECOND_MS, 50, port=81))
        reduce(state, ViewFetched(_PEER, view), 1)
        self.assertEqual(81, state.directory.by_name[_NAME].entry.address[1])

    def test_peers_learn_of_both_processes(self) -> None:
        """Peers learn of both processes of an upstream.

        An upstream restarts by a clock that was set back.  If a watcher did not send entries that
        are still unconfirmed, but announced that its peers know everything, hosts of one data
        centre would use two addresses of one upstream forever.
        """
        watcher = ready_state(_started(_SECOND_MS, 50))
        _report(watcher, _started(_FIRST_MS, 60, port=81), 1)
        peer = ready_state(_started(_SECOND_MS, 50))
        view = decode_view(encode_view(view_since(watcher, KnownVersions(1, 50, 50), 1)))
        reduce(peer, ViewFetched(_PEER, view), 1.1)
        for state in (watcher, peer):
            reduce(state, Ticked(), 1.1 + OLDER_START_CONFIRM_S)
            self.assertEqual(81, state.directory.by_name[_NAME].entry.address[1])

    def test_a_late_removal_of_the_former_start(self) -> None:
        """A removal that is older than the new entry removes nothing."""
        state = ready_state(_started(_SECOND_MS, 50))
        view = View(None, 0, [], [], 40)
        reduce(state, ViewFetched(_PEER, view), 1)
        _report(state, None, 1, revision=40)
        self.assertTrue(state.directory.by_name[_NAME].listed)

    def test_a_balancer_that_restarts_learns_the_newest_start(self) -> None:
        """A restarted host learns the newest start time from the store and its peers."""
        fleet = fleet_of()
        _restart(fleet, _SECOND_MS)
        fleet.run(1)
        fleet.restart('dc-a-1')
        fleet.run(2)
        starts = {
            node.state.directory.by_name[_NAME].entry.started_ms
            for node in fleet.node_by_name.values()
        }
        self.assertEqual({_SECOND_MS}, starts)


class StartsInAFleetTest(TestCase):
    """Many restarts, observed by hosts of two data centres."""

    def test_all_hosts_agree_after_restarts(self) -> None:
        """All hosts agree after ten restarts, one each half second, while hosts restart."""
        fleet = fleet_of()
        put_upstream(fleet, 3)
        for start in range(10):
            _restart(fleet, _FIRST_MS + start)
            if start % 4 == 0:
                fleet.restart('dc-a-2')
            fleet.run(0.5)
        fleet.run(1)
        starts = {
            node.state.directory.by_name[_NAME].entry.started_ms
            for node in fleet.node_by_name.values()
        }
        self.assertEqual({_FIRST_MS + 9}, starts)


def _started(
    started_ms: int,
    revision: int,
    *,
    service: str = PORTAL,
    data_centre: str = 'dc-a',
    draining: bool = False,
    cold_s: float = 0,
    port: int = 80,
) -> UpstreamEntry:
    """Return an entry of the first upstream with its start time."""
    made = entry(
        1,
        service,
        revision,
        draining=draining,
        cold_s=cold_s,
        data_centre=data_centre,
    )
    made.started_ms = started_ms
    made.address = (made.address[0], port)
    return made


def _restart(fleet: RoutingFleet, started_ms: int) -> None:
    """Make the first upstream write its entry as a process with another start time."""
    fleet.store.put(Collection.UPSTREAMS, _NAME, partial(_started, started_ms))
    fleet.notify_watches()


def _report(
    state: RoutingState,
    reported: UpstreamEntry | None,
    now: float,
    revision: int = 0,
) -> None:
    """Make the watch report an entry, or its removal if `told` is None."""
    at_revision = reported.revision if reported else revision
    stored = StoredObject(_NAME, at_revision, reported)
    reduce(state, ChangesRead(Collection.UPSTREAMS, [stored], at_revision), now)
