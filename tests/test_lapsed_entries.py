"""Test that flows of an upstream that lives unlisted survive hosts that start meanwhile."""

from unittest import TestCase

from bronzekeel.core.routing.follower import Collection
from bronzekeel.replay.routing_fleet import RoutingFleet
from tests.routing_cases import (
    asking,
    delivered_to,
    entry,
    fleet_of,
    id_given,
    opening,
    put_upstream,
)


class LapsedEntryTest(TestCase):
    """An entry lapses while its upstream lives; then a balancer is replaced."""

    def test_a_host_that_starts_hears_of_what_lapsed(self) -> None:
        """Symptom: a feed of a living upstream is reset by a host that has just started.

        Sequence: the entry of an upstream lapses, although it lives; a host is stopped and
        starts again; packets of the upstream's flows reach it, and callers repeat them.
        Cause: the store no longer lists the upstream, so the fresh host does not know where
        it is; it drops the packets and takes the callers' repeats for a sign that the
        upstream is gone.
        """
        fleet, given = _with_lapsed_entry()
        fleet.restart('dc-a-1')
        fleet.run(2)
        self.assertEqual(entry(1).name, _verdict(fleet, 'dc-a-1', given))

    def test_peers_that_are_all_new_cannot_tell(self) -> None:
        """What nobody remembers is gone: callers must not wait for ever."""
        fleet, given = _with_lapsed_entry()
        for name in fleet.node_by_name:
            fleet.restart(name)
        fleet.run(4)
        verdicts = [_verdict(fleet, 'dc-a-1', given) for _ in range(4)]
        self.assertEqual('Reset unknown_connection_id', verdicts[-1])

    def test_a_host_that_could_not_ask_yet_resets_nothing(self) -> None:
        """Neighbours live, but their views do not pass: silence breaks nothing."""
        fleet, given = _with_lapsed_entry()
        fleet.views_available = False
        fleet.restart('dc-a-1')
        fleet.run(4)
        verdicts = {_verdict(fleet, 'dc-a-1', given) for _ in range(4)}
        self.assertEqual({'Discard unknown_connection_id'}, verdicts)

    def test_an_upstream_that_is_gone_is_reset_as_before(self) -> None:
        """A fresh host that heard of it resets its flows when callers repeat themselves."""
        fleet, given = _with_lapsed_entry()
        fleet.restart('dc-a-1')
        fleet.run(2)
        verdicts = [_verdict(fleet, 'dc-a-1', given) for _ in range(4)]
        self.assertEqual('Reset upstream_gone', verdicts[-1])


def _with_lapsed_entry() -> tuple[RoutingFleet, int]:
    """Return a fleet whose first upstream's entry lapsed, and the id of a flow of it."""
    fleet = fleet_of()
    put_upstream(fleet, 3)
    fleet.run(1)
    given = 0
    for number in range(4):
        placed = fleet.decide('dc-a-2', opening(number))
        if delivered_to(placed) == entry(1).name:
            given = id_given(placed)
    fleet.store.remove(Collection.UPSTREAMS, entry(1).name)
    fleet.notify_watches()
    fleet.run(1)
    return fleet, given


def _verdict(fleet: RoutingFleet, host: str, given: int) -> str:
    """Return what a host does with the same packet of the flow."""
    return delivered_to(fleet.decide(host, asking(1, given)))
