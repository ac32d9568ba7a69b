"""Test that hosts are current again soon after the store has lost its answers to their watches."""

from itertools import product
from random import Random
from unittest import TestCase

from bronzekeel.core.routing.events import Evacuation
from bronzekeel.core.routing.follower import BATCH_S, Collection
from bronzekeel.core.routing.model import UpstreamEntry
from bronzekeel.core.routing.state import RoutingState
from bronzekeel.core.routing.watcher_selection import NEWEST_READERS
from bronzekeel.core.store_waits import CONFIRM_INTERVAL_S, WATCH_WAIT_S
from bronzekeel.replay.routing_fleet import RoutingFleet
from tests.routing_cases import fleet_of, put_text, put_upstream


#: Seconds after an outage from which hosts must act by what the store confirmed before it, and
#: within which they must act by a later change (the users' `stableWindowMs` and `configApplyMs`).
_STABLE_S = 4.0
_APPLY_S = 3.0

_MOMENT_S = 0.01
_SETTLED_S = 2 * WATCH_WAIT_S
_OUTAGES_S = (0.05, 0.6, 2.5, 9.0)
_MOMENTS = range(1)

#: Balancers per data centre, and the data centres.
_Size = tuple[int, tuple[str, ...]]

_FLEETS = (
    (1, ('dc-a',)),
    (3, ('dc-a',)),
    (1, ('dc-a', 'dc-b', 'dc-c')),
    (3, ('dc-a', 'dc-b', 'dc-c')),
    (4, ('dc-a', 'dc-b', 'dc-c', 'dc-d', 'dc-e')),
)


class SilentStoreTest(TestCase):
    """The store falls silent for a moment, and its answers in that time are lost."""

    def test_changes_before_a_silence_are_in_force_in_time(self) -> None:
        """Guards against hosts that go by what the store replaced just before it fell silent."""
        for case in _cases():
            with self.subTest(case=case):
                fleet = _fleet_at_any_moment(*case)
                _lose_answers(fleet, case[1], case[2])
                fleet.run(_STABLE_S)
                self.assertEqual([], _outdated(fleet, case[2]))

    def test_changes_at_the_end_of_a_silence_are_in_force(self) -> None:
        """Guards against watches that lose their answer in the last moment of a silence."""
        for case in _cases():
            with self.subTest(case=case):
                fleet = _fleet_at_any_moment(*case)
                _lose_answers(fleet, case[1])
                _lose_answers(fleet, _MOMENT_S, case[2])
                fleet.run(_STABLE_S)
                self.assertEqual([], _outdated(fleet, case[2]))

    def test_changes_after_a_silence_are_in_force_in_time(self) -> None:
        """Guards against watches that begin in a silence and hide the changes that follow."""
        for case in _cases():
            with self.subTest(case=case):
                fleet = _fleet_at_any_moment(*case)
                _change(fleet, case[2], 2)
                fleet.run(BATCH_S - _MOMENT_S)
                _lose_answers(fleet, case[1], case[2], 2)
                fleet.run(_STABLE_S)
                _change(fleet, case[2])
                fleet.run(_APPLY_S)
                self.assertEqual([], _outdated(fleet, case[2]))

    def test_stale_reads_do_not_delay_it(self) -> None:
        """Guards against relying on watches that are alive, but report changes seconds late."""
        for moment in _MOMENTS:
            with self.subTest(moment=moment):
                fleet = _fleet_at_any_moment((3, ('dc-a', 'dc-b', 'dc-c')), 0.5, None, moment)
                fleet.store.staleness_s = 6
                fleet.run(_SETTLED_S)
                _lose_answers(fleet, 0.5, Collection.UPSTREAMS)
                fleet.run(_STABLE_S)
                self.assertEqual([], _outdated(fleet, Collection.UPSTREAMS))

    def test_a_newest_reader_that_dies_is_replaced(self) -> None:
        """Guards against waiting for the watch of a host that was killed in the silence."""
        for moment in _MOMENTS:
            with self.subTest(moment=moment):
                fleet = _fleet_at_any_moment((4, ('dc-a',)), 0.5, None, moment)
                reader = next(
                    node.me.name for node in fleet.running if node.state.reads_newest(fleet.now)
                )
                _lose_answers(fleet, 0.5, Collection.UPSTREAMS)
                fleet.kill(reader)
                fleet.run(_STABLE_S)
                self.assertEqual([], _outdated(fleet, Collection.UPSTREAMS))

    def test_a_slow_store_is_not_called_more_often(self) -> None:
        """Guards against calls for answers that are late, which make a slow store slower."""
        for delay_s in (0.8, 1.5):
            with self.subTest(delay_s=delay_s):
                fleet = fleet_of(9, ('dc-a', 'dc-b', 'dc-c'))
                fleet.run(_SETTLED_S)
                fleet.store_delay_s = delay_s
                fleet.run(2 * WATCH_WAIT_S)
                before = sum(node.calls for node in fleet.running)
                fleet.run(_SETTLED_S)
                calls = sum(node.calls for node in fleet.running) - before
                watchers = sum(node.state.is_direct(fleet.now) for node in fleet.running)
                usual = watchers * len(Collection) * _SETTLED_S / WATCH_WAIT_S
                confirmations = NEWEST_READERS * _SETTLED_S / CONFIRM_INTERVAL_S
                self.assertLessEqual(calls, usual + confirmations)

    def test_a_quiet_store_confirms_all_collections_at_once(self) -> None:
        """Guards against calls for each collection while nothing changes."""
        fleet = fleet_of(4, ('dc-a',))
        fleet.run(_SETTLED_S)
        reader = next(node for node in fleet.running if node.state.reads_newest(fleet.now))
        before = reader.calls
        fleet.run(_SETTLED_S)
        self.assertLessEqual(reader.calls - before, _SETTLED_S / CONFIRM_INTERVAL_S + 1)


def _cases() -> list[tuple[_Size, float, Collection, int]]:
    return list(product(_FLEETS, _OUTAGES_S, Collection, _MOMENTS))


def _random(*case: object) -> Random:
    return Random(repr(case))


def _fleet_at_any_moment(
    size: _Size,
    outage_s: float,
    collection: Collection | None,
    moment: int,
) -> RoutingFleet:
    """Return a settled fleet, some seconds into the wait of its watches."""
    fleet = fleet_of(*size)
    put_upstream(fleet, 2)
    begin_s = _random(size, outage_s, collection, moment, 'begin').uniform(0, WATCH_WAIT_S)
    fleet.run(_SETTLED_S + begin_s)
    return fleet


def _lose_answers(
    fleet: RoutingFleet,
    outage_s: float,
    changed: Collection | None = None,
    number: int = 1,
) -> None:
    """Lose all answers for a while, first those that report a change of a collection."""
    fleet.fail_store(list(fleet.node_by_name), 'loses')
    if changed is not None:
        _change(fleet, changed, number)
    fleet.run(outage_s)
    fleet.fail_store(list(fleet.node_by_name), 'serves')


def _change(fleet: RoutingFleet, collection: Collection, number: int = 1) -> None:
    """Change an object of a collection: the text, or the upstream or data centre of a number."""
    if collection is Collection.TEXT:
        put_text(fleet)
    elif collection is Collection.UPSTREAMS:
        put_upstream(fleet, number, draining=number not in _drained(fleet))
    else:
        fleet.store.put(Collection.EVACUATIONS, f'dc-{number}', lambda revision: Evacuation())
        fleet.notify_watches()


def _drained(fleet: RoutingFleet) -> list[int]:
    """Return the numbers of the upstreams that drain according to the store."""
    entries = [listed.content for listed in fleet.store.page(Collection.UPSTREAMS).objects]
    return [
        found.short_number
        for found in entries
        if isinstance(found, UpstreamEntry) and found.draining
    ]


def _outdated(fleet: RoutingFleet, collection: Collection) -> list[str]:
    """Return the hosts that do not know all objects of a collection as the store has them."""
    stored = fleet.store.page(collection).objects
    return [
        node.me.name
        for node in fleet.running
        if any(_revision_known(node.state, collection, one.name) < one.revision for one in stored)
    ]


def _revision_known(state: RoutingState, collection: Collection, name: str) -> int:
    """Return the revision of an object that a host knows, zero if it does not know it."""
    if collection is Collection.TEXT:
        return state.text_revision
    if collection is Collection.EVACUATIONS:
        return state.evacuated.as_of if name in state.evacuated.centres else 0
    known = state.directory.by_name.get(name)
    return known.entry.revision if known else 0
