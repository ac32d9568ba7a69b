"""Test the demo of connection ids end to end, with changes of all components."""

from asyncio import run
from unittest import TestCase

from bronzekeel.demo.connection_ids import run_connection_id_demo


class ConnectionIdDemoTest(TestCase):
    """Run the demo as its command does."""

    def test_flows_outlive_all_changes(self) -> None:
        """Guards against flows that break when balancers, upstreams or the store change.

        An upstream drains, another joins, a balancer is stopped, one is killed and another one
        started during a store outage.  Flows would break if their state were held by a single
        process, or if a process without that state could not forward them.
        """
        reports: list[str] = []
        outcome = run(run_connection_id_demo(reports.append, 3))
        self.assertEqual((0, 0, 0), (outcome.broken, outcome.misdelivered, outcome.flows - 300))
        self.assertTrue(outcome.ok, outcome)
        self.assertEqual(4, len(reports))
