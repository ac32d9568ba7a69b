"""Replay every fault alone and every pair of faults, and check the outcome.

While faults last, no host resets an open flow whose upstream is listed.  After
they have passed, all hosts are ready, have the newest text, and list the same
upstreams as the store; and no host has ever returned to an older text.
"""

from collections.abc import Callable
from functools import partial
from itertools import combinations
from unittest import TestCase

from bronzekeel.core.routing.events import Paused
from bronzekeel.core.routing.follower import Collection
from bronzekeel.core.routing.reducer import reduce
from bronzekeel.core.routing.verdicts import Reset
from bronzekeel.core.store_waits import WATCH_WAIT_S
from bronzekeel.replay.routing_fleet import RoutingFleet
from bronzekeel.replay.routing_store import StoreCopy
from tests.routing_cases import asking, entry, fleet_of, id_given, opening, put_text, put_upstream


_FLOWS = 6
_FAULT_DURATION_S = 6
_RECOVERY_S = 3 * WATCH_WAIT_S
_LEAVING = 3


def _restart(fleet: RoutingFleet, name: str, after_s: float) -> None:
    fleet.kill(name)
    fleet.at(after_s, partial(fleet.restart, name))


def _kill_one(fleet: RoutingFleet) -> None:
    _restart(fleet, 'dc-a-1', 2)


def _kill_centre(fleet: RoutingFleet) -> None:
    for name in ('dc-a-1', 'dc-a-2', 'dc-a-3'):
        _restart(fleet, name, 1)


def _kill_all(fleet: RoutingFleet) -> None:
    for name in fleet.node_by_name:
        _restart(fleet, name, 1.5)


def _cut_centre(fleet: RoutingFleet) -> None:
    fleet.isolated_centres.add('dc-a')
    fleet.at(4, fleet.isolated_centres.clear)


def _refuse_all(fleet: RoutingFleet) -> None:
    names = list(fleet.node_by_name)
    fleet.fail_store(names, 'refuses')
    fleet.at(4, lambda: fleet.fail_store(names, 'serves'))


def _refuse_some(fleet: RoutingFleet) -> None:
    fleet.fail_store(['dc-a-1', 'dc-b-2'], 'refuses')
    fleet.at(5, lambda: fleet.fail_store(['dc-a-1', 'dc-b-2'], 'serves'))


def _silence_some(fleet: RoutingFleet) -> None:
    fleet.fail_store(['dc-a-2', 'dc-b-1'], 'silent')
    fleet.at(5, lambda: fleet.fail_store(['dc-a-2', 'dc-b-1'], 'serves'))


def _compact(fleet: RoutingFleet) -> None:
    put_text(fleet)
    fleet.store.compact()


def _restore_store(fleet: RoutingFleet) -> None:
    """Restore an older copy of the store; the lost writes are then repeated by their writers."""
    names = list(fleet.node_by_name)
    copy = fleet.store.copy()
    put_text(fleet)
    put_upstream(fleet, 1)
    fleet.at(1, lambda: fleet.fail_store(names, 'refuses'))
    fleet.at(2, lambda: _restore_copy(fleet, copy))


def _restore_copy(fleet: RoutingFleet, copy: StoreCopy) -> None:
    lost = fleet.store.copy()
    fleet.store.restore(copy)
    fleet.fail_store(list(fleet.node_by_name), 'serves')
    fleet.at(0.8, lambda: _write_again(fleet, lost))


def _write_again(fleet: RoutingFleet, lost: StoreCopy) -> None:
    fleet.store.rewrite_lost(lost)
    fleet.notify_watches()


def _change_texts(fleet: RoutingFleet) -> None:
    for step in range(8):
        fleet.at(step * 0.4, partial(put_text, fleet))


def _drain_one(fleet: RoutingFleet) -> None:
    put_upstream(fleet, _LEAVING, draining=True)
    fleet.at(3, lambda: fleet.store.remove(Collection.UPSTREAMS, entry(_LEAVING).name))


def _lapse_and_return(fleet: RoutingFleet) -> None:
    fleet.store.remove(Collection.UPSTREAMS, entry(1).name)
    fleet.notify_watches()
    fleet.at(2, lambda: put_upstream(fleet, 1))


def _pause_some(fleet: RoutingFleet) -> None:
    for name in ('dc-a-1', 'dc-b-1'):
        reduce(fleet.node_by_name[name].state, Paused(4), fleet.now)


_Fault = Callable[[RoutingFleet], None]
_FAULTS: tuple[_Fault, ...] = (
    _kill_one,
    _kill_centre,
    _kill_all,
    _cut_centre,
    _refuse_all,
    _refuse_some,
    _silence_some,
    _compact,
    _restore_store,
    _change_texts,
    _drain_one,
    _lapse_and_return,
    _pause_some,
)


class FaultPairTest(TestCase):
    """Inject faults and check the outcomes stated in the module's doc string."""

    def test_each_fault_alone(self) -> None:
        """Inject one fault at a time."""
        for fault in _FAULTS:
            with self.subTest(fault=fault.__name__):
                self._replay((fault,))

    def test_every_two_faults_together(self) -> None:
        """Inject two faults at the same time, in either order."""
        for first, second in combinations(_FAULTS, 2):
            for pair in ((first, second), (second, first)):
                with self.subTest(faults=[fault.__name__ for fault in pair]):
                    self._replay(pair)

    def test_the_same_fault_twice(self) -> None:
        """Inject a fault again while it lasts."""
        for fault in _FAULTS:
            with self.subTest(fault=fault.__name__):
                self._replay((fault,), again_after_s=1)

    def _replay(self, faults: tuple[_Fault, ...], again_after_s: float = 0) -> None:
        fleet = fleet_of(3)
        put_upstream(fleet, _LEAVING)
        fleet.run(2 * WATCH_WAIT_S)
        given = [id_given(fleet.decide('dc-a-1', opening(number))) for number in range(_FLOWS)]
        for fault in faults:
            fault(fleet)
            if again_after_s:
                fleet.run(again_after_s)
                fault(fleet)
        for step in range(_FAULT_DURATION_S * 2):
            fleet.run(0.5)
            self._assert_no_reset(fleet, given, step)
        newest = put_text(fleet)
        fleet.run(_RECOVERY_S)
        self._assert_agreement(fleet, newest)

    def _assert_no_reset(self, fleet: RoutingFleet, given: list[int], step: int) -> None:
        """Check that no host resets a new packet of any flow."""
        for node in fleet.running:
            for number, connection_id in enumerate(given):
                packet = asking(number, connection_id, sequence=1000 + step)
                self.assertNotIsInstance(node.steering.decide(packet, fleet.now), Reset)

    def _assert_agreement(self, fleet: RoutingFleet, newest: int) -> None:
        listed = set(fleet.store.by_collection[Collection.UPSTREAMS])
        self.assertEqual(len(fleet.node_by_name), len(fleet.running))
        for node in fleet.running:
            self.assertTrue(node.state.ready, node.me.name)
            self.assertTrue(node.state.is_current(fleet.now), node.me.name)
            self.assertEqual(newest, node.state.text_revision, node.me.name)
            self.assertEqual(sorted(node.text_orders), node.text_orders, node.me.name)
            known = node.state.directory.by_name.items()
            self.assertEqual(listed, {name for name, upstream in known if upstream.listed})
