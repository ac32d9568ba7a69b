"""Test that flows of an unlisted but live upstream survive restarts of balancers."""

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
    """An entry lapses while its upstream is alive; then a balancer is replaced."""

    def test_a_restarted_host_learns_of_lapsed_entries(self) -> None:
        """A restarted host learns from its peers of an upstream whose entry lapsed.

        The store no longer lists the upstream, although it is alive.  Without the peers, the
        restarted host would drop packets of its flows and reset them when callers repeat their
        packets, as if the upstream were gone.
        """
        fleet, given = _with_lapsed_entry()
        fleet.restart('dc-a-1')
        fleet.run(2)
        self.assertEqual(entry(1).name, _verdict(fleet, 'dc-a-1', given))

    def test_an_upstream_that_no_peer_remembers_is_gone(self) -> None:
        """An upstream that nobody remembers is gone, since callers must not wait forever."""
        fleet, given = _with_lapsed_entry()
        for name in fleet.node_by_name:
            fleet.restart(name)
        fleet.run(4)
        verdicts = [_verdict(fleet, 'dc-a-1', given) for _ in range(4)]
        self.assertEqual('Reset unknown_connection_id', verdicts[-1])

    def test_a_host_without_a_peers_view_resets_nothing(self) -> None:
        """A host whose fetches of views fail although neighbours are live resets no flow."""
        fleet, given = _with_lapsed_entry()
        fleet.views_available = False
        fleet.restart('dc-a-1')
        fleet.run(4)
        verdicts = {_verdict(fleet, 'dc-a-1', given) for _ in range(4)}
        self.assertEqual({'Discard unknown_connection_id'}, verdicts)

    def test_an_upstream_that_is_gone_is_reset_as_before(self) -> None:
        """A restarted host that learned of a gone upstream resets its flows on repeated packets."""
        fleet, given = _with_lapsed_entry()
        fleet.restart('dc-a-1')
        fleet.run(2)
        verdicts = [_verdict(fleet, 'dc-a-1', given) for _ in range(4)]
        self.assertEqual('Reset upstream_gone', verdicts[-1])


def _with_lapsed_entry() -> tuple[RoutingFleet, int]:
    """Return a fleet with a lapsed entry, and the connection id of a flow of its upstream."""
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
    """Return the verdict of a host on the same packet of the flow."""
    return delivered_to(fleet.decide(host, asking(1, given)))
