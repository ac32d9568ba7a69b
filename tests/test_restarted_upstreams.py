"""Test that an upstream that starts again under its name is taken for a new one."""

from functools import partial
from unittest import TestCase

from bronzekeel.core.log_numbers import LogNumber
from bronzekeel.core.routing.directory import OLDER_START_S
from bronzekeel.core.routing.effects import WriteLine
from bronzekeel.core.routing.events import ChangesRead, StoredObject, Ticked, ViewFetched
from bronzekeel.core.routing.follower import Collection
from bronzekeel.core.routing.messages import Known, View
from bronzekeel.core.routing.model import UpstreamEntry
from bronzekeel.core.routing.reducer import reduce
from bronzekeel.core.routing.sharing import view_since
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
    """What is known of a former start ends with it."""

    def test_nothing_of_the_former_start_counts(self) -> None:
        """Symptom: an upstream that has just started gets no flows though it is idle.

        Sequence: an upstream with requests in progress crashes and leaves opening packets
        unanswered; it starts again under its name, within the time after which its entry lapses.
        Cause: load and evidence of the former process are held against the new one.
        """
        state = ready_state(_started(_FIRST_MS, 1))
        steers = steering(state)
        for number in range(5):
            steers.decide(opening(number), 1)
        former = state.directory.by_name[_NAME]
        former.unanswered = 3
        former.avoided_until = 100
        _tell(state, _started(_SECOND_MS, 50), 1.1)
        fresh = state.directory.by_name[_NAME]
        self.assertIsNot(former, fresh)
        self.assertEqual((0, 0, 0), (fresh.open_flows, fresh.busy_flows, fresh.unanswered))
        self.assertEqual(0, fresh.avoided_until)
        self.assertEqual((0, 0), (fresh.pool.busy, len(state.flows)))

    def test_it_takes_flows_after_a_drain(self) -> None:
        """Symptom: a restarted upstream is left out of use for ever.

        Sequence: it announces its leaving, its entry goes, and it starts again.
        Cause: the mark of the drain outlives the process that drained.
        """
        state = ready_state(_started(_FIRST_MS, 1, draining=True))
        _tell(state, None, 1, revision=40)
        _tell(state, _started(_SECOND_MS, 50), 2)
        verdict = steering(state).decide(opening(1), 2.1)
        self.assertEqual(_NAME, delivered_to(verdict))
        self.assertFalse(state.directory.by_name[_NAME].left)

    def test_a_cold_start_is_cold_again(self) -> None:
        """The warm-up of the former start says nothing of the new one."""
        state = ready_state(_started(_FIRST_MS, 1))
        _tell(state, _started(_SECOND_MS, 50, cold_s=2), 10)
        self.assertEqual(12, state.directory.by_name[_NAME].warm_at)

    def test_it_moves_to_the_pools_of_what_it_says(self) -> None:
        """Symptom: requests of one service are sent to an upstream of another.

        Sequence: an upstream starts again under its name in another service and data centre.
        Cause: it is kept among the upstreams of its former service.
        """
        state = ready_state(_started(_FIRST_MS, 1))
        opened = id_given(steering(state).decide(opening(1), 0))
        _tell(state, _started(_SECOND_MS, 50, service=INTAKE, data_centre='dc-b'), 1)
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
        """The new process answers packets of flows that it does not hold by a reset."""
        state = ready_state(_started(_FIRST_MS, 1))
        steers = steering(state)
        opened = id_given(steers.decide(opening(1), 0))
        _tell(state, _started(_SECOND_MS, 50, port=81), 1)
        self.assertEqual(_NAME, delivered_to(steers.decide(asking(1, opened), 1.1)))
        self.assertEqual(81, state.directory.by_name[_NAME].entry.address[1])

    def test_a_restart_is_logged(self) -> None:
        """One line names both starts."""
        state = ready_state(_started(_FIRST_MS, 1))
        stored = StoredObject(_NAME, 50, _started(_SECOND_MS, 50))
        effects = reduce(state, ChangesRead(Collection.UPSTREAMS, [stored], 50), 1)
        lines = [effect for effect in effects if isinstance(effect, WriteLine)]
        self.assertEqual([LogNumber.UPSTREAM_RESTARTED], [line.number for line in lines])
        self.assertEqual(_FIRST_MS, lines[0].fields['former_start_ms'])

    def test_a_start_that_is_not_told_is_the_same(self) -> None:
        """Upstreams that do not tell when they started change as before."""
        state = ready_state(entry(1))
        known = state.directory.by_name[_NAME]
        _tell(state, _started(_FIRST_MS, 50), 1)
        _tell(state, entry(1, revision=51), 2)
        self.assertIs(known, state.directory.by_name[_NAME])


class OlderNewsTest(TestCase):
    """News of a former start never brings it back."""

    def test_a_late_write_of_the_former_start(self) -> None:
        """Symptom: flows go to the address of a process that has ended.

        Sequence: a process writes its entry, the call is slow, and the process is replaced
        under its name; the store carries the late call out after the new process's.
        Cause: taking the newest write for that of the newest start.
        """
        state = ready_state(_started(_SECOND_MS, 50, port=81))
        known = state.directory.by_name[_NAME]
        _tell(state, _started(_FIRST_MS, 60), 1)
        self.assertIs(known, state.directory.by_name[_NAME])
        _tell(state, _started(_SECOND_MS, 61, port=81), 1.8)
        reduce(state, Ticked(), 1 + OLDER_START_S)
        self.assertEqual(81, state.directory.by_name[_NAME].entry.address[1])
        self.assertEqual([], state.directory.doubted_entries)

    def test_a_start_by_a_clock_that_was_set_back(self) -> None:
        """Symptom: an upstream is sent to its former address for as long as it lives.

        Sequence: a host's clock is set back, and an upstream starts again on it.
        Cause: its start looks older than the former one for ever.
        """
        state = ready_state(_started(_SECOND_MS, 50))
        _tell(state, _started(_FIRST_MS, 60, port=81), 1)
        reduce(state, Ticked(), 1 + OLDER_START_S / 2)
        self.assertEqual(80, state.directory.by_name[_NAME].entry.address[1])
        reduce(state, Ticked(), 1 + OLDER_START_S)
        self.assertEqual(81, state.directory.by_name[_NAME].entry.address[1])

    def test_a_peer_that_still_knows_the_former_start(self) -> None:
        """A view is ordered by the store's revisions, as everything is."""
        old = ready_state(_started(_FIRST_MS, 1))
        view = decode_view(encode_view(view_since(old, Known(0, 0, 0), 1)))
        state = ready_state(_started(_SECOND_MS, 50, port=81))
        reduce(state, ViewFetched(_PEER, view), 1)
        self.assertEqual(81, state.directory.by_name[_NAME].entry.address[1])

    def test_peers_hear_of_both_starts(self) -> None:
        """Symptom: hosts of one data centre send to two addresses of one upstream for ever.

        Sequence: an upstream starts again by a clock that was set back; a watcher waits for the
        other start's word, and tells its peers meanwhile that they know all there is.
        Cause: what is not believed yet is not told on.
        """
        watcher = ready_state(_started(_SECOND_MS, 50))
        _tell(watcher, _started(_FIRST_MS, 60, port=81), 1)
        peer = ready_state(_started(_SECOND_MS, 50))
        view = decode_view(encode_view(view_since(watcher, Known(1, 50, 50), 1)))
        reduce(peer, ViewFetched(_PEER, view), 1.1)
        for state in (watcher, peer):
            reduce(state, Ticked(), 1.1 + OLDER_START_S)
            self.assertEqual(81, state.directory.by_name[_NAME].entry.address[1])

    def test_a_late_removal_of_the_former_start(self) -> None:
        """A listing that is older than the new start removes nothing."""
        state = ready_state(_started(_SECOND_MS, 50))
        view = View(None, 0, [], [], 40)
        reduce(state, ViewFetched(_PEER, view), 1)
        _tell(state, None, 1, revision=40)
        self.assertTrue(state.directory.by_name[_NAME].listed)

    def test_a_balancer_that_restarts_learns_the_newest_start(self) -> None:
        """Store and peers together give a fresh host what all others know."""
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
    """Many restarts, seen by hosts of two data centres."""

    def test_all_hosts_agree_after_restarts(self) -> None:
        """Ten starts, one each half second, while a host restarts now and then."""
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
    """Return an entry of the first upstream that tells when its process started."""
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
    """Let the first upstream write its entry as a process of another start."""
    fleet.store.put(Collection.UPSTREAMS, _NAME, partial(_started, started_ms))
    fleet.notify_watches()


def _tell(
    state: RoutingState,
    told: UpstreamEntry | None,
    now: float,
    revision: int = 0,
) -> None:
    """Let the watch tell of an entry, or of its removal."""
    at_revision = told.revision if told else revision
    stored = StoredObject(_NAME, at_revision, told)
    reduce(state, ChangesRead(Collection.UPSTREAMS, [stored], at_revision), now)
