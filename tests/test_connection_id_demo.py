"""Test the demo of connection ids: the whole way, with everything changing."""

from asyncio import run
from unittest import TestCase

from bronzekeel.demo.connection_ids import play_connection_ids


class ConnectionIdDemoTest(TestCase):
    """Play the demo as the command does."""

    def test_flows_outlive_all_changes(self) -> None:
        """Symptom: a feed breaks when balancers, upstreams or the store change.

        Sequence: an upstream drains, one joins, a balancer is stopped, one is
        killed and another started while the store is away.
        Cause: state of a flow that one process has, or one that knows nothing.
        """
        reports: list[str] = []
        outcome = run(play_connection_ids(reports.append, 3))
        self.assertEqual((0, 0, 0), (outcome.broken, outcome.misdelivered, outcome.flows - 300))
        self.assertTrue(outcome.ok, outcome)
        self.assertEqual(4, len(reports))
