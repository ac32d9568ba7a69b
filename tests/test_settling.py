"""Test that buckets settle after repeated changes, and the assignment of buckets."""

from collections import Counter
from unittest import TestCase

from msgspec.structs import replace

from bronzekeel.core.catalogue import UpstreamSpec
from bronzekeel.core.steering.assignment import assign
from bronzekeel.core.steering.registers import FlowMap, Stage
from tests.fleets import catalogue, endpoint, portal, started_fleet

_CHANGES = 12
_CHANGE_INTERVAL_S = 8.0


class RepeatedChangeTest(TestCase):
    """Change the text repeatedly while flows stay open."""

    def test_unsettled_buckets_do_not_accumulate(self) -> None:
        """Guards against a fleet that hands ever more packets to keepers.

        Upstreams drain and return many times while long-lived flows stay open.
        After months every bucket would be unsettled if a bucket could not
        settle as long as one of its old flows is open.
        """
        unsettled = []
        spec = portal(7, idle_s=6, buckets=128)
        fleet, traffic = started_fleet(spec=spec)
        traffic.open(300, over_s=5, packets=60, every_s=2.5)
        fleet.run(6)
        for number in range(_CHANGES):
            leaving = (number % 7,) if number % 2 else ()
            fleet.submit(catalogue(2 + number, portal(7, leaving, 6, 128)))
            fleet.run(_CHANGE_INTERVAL_S)
            unsettled.append(sum(len(node.state.steering.unsettled) for node in fleet.running))
        fleet.run(15)
        self.assertEqual(0, traffic.broken)
        self.assertLess(max(unsettled), 2 * unsettled[0] + 20)
        for node in fleet.running:
            self.assertEqual(set(), node.state.steering.unsettled)
        excepted = sum(
            len(register.exceptions or ())
            for table in fleet.running[0].state.steering.tables_by_name.values()
            for register in table.registers
            if register
        )
        self.assertGreater(excepted, 0)

    def test_cut_off_fleet_does_not_settle(self) -> None:
        """Guards against flows that break when a partition heals.

        A bucket's count ends while a listed host is missing.  Settling it would
        change the upstream of flows without a record on one side only.
        """
        fleet, _ = started_fleet(spec=portal(7, idle_s=6, buckets=128))
        fleet.kill('b2')
        fleet.run(6)
        fleet.submit(catalogue(2, portal(8, idle_s=6, buckets=128)))
        fleet.run(30)
        stages = {
            register.stage
            for table in fleet.running[0].state.steering.tables_by_name.values()
            for register in table.registers
            if register
        }
        self.assertIn(Stage.ACTING, stages)
        fleet.unlist('b2')
        fleet.run(10)
        left = sum(len(node.state.steering.unsettled) for node in fleet.running)
        self.assertEqual(0, left)


class FlowMapTest(TestCase):
    """Test the compact map of flows."""

    def test_finds_what_was_put_in(self) -> None:
        """Every flow in the map has its upstream, and any other flow has none."""
        flows = [(number * 7919, f'10.0.0.{number % 5}:1') for number in range(500)]
        flow_map = FlowMap(reversed(flows))
        self.assertEqual(sorted(flows), list(flow_map))
        for fingerprint, upstream in flows:
            self.assertEqual(upstream, flow_map.get(fingerprint))
            self.assertIsNone(flow_map.get(fingerprint + 1))


class ReusedKeyTest(TestCase):
    """Test flows that reuse the addresses and ports of closed ones."""

    def test_key_used_again_after_close_goes_to_current(self) -> None:
        """Guards against a draining upstream that gets new flows.

        A flow on a draining upstream closes while its bucket is unsettled, and a
        client opens a new one with the same addresses and ports.  The new SYN
        must not be mistaken for a retransmission of the old one.
        """
        fleet, traffic = started_fleet(spec=portal(7, idle_s=200))
        traffic.open(400, over_s=2, packets=0, every_s=1)
        fleet.run(4)
        fleet.submit(catalogue(2, portal(7, draining=(3,), idle_s=200)))
        fleet.run(6)
        leaving = [flow for flow in traffic.flows if flow.upstream == endpoint(3)]
        for flow in leaving:
            traffic.send(flow, closes=True)
        fleet.run(40)
        for flow in leaving:
            flow.upstream = ''
            traffic.send(flow, opens=True)
        fleet.run(2)
        self.assertGreater(len(leaving), 20)
        self.assertNotIn(endpoint(3), {flow.upstream for flow in leaving})
        self.assertEqual(0, traffic.broken)


class AssignmentTest(TestCase):
    """Test the assignment of buckets by weight."""

    def test_weights_are_honoured_within_one_bucket(self) -> None:
        """An upstream with twice the weight gets twice the buckets, and a draining one none."""
        plain = portal(4, draining=(3,))
        heavy = UpstreamSpec(endpoint(0), 'dc-a', weight=2)
        spec = replace(plain, upstreams=(heavy, *plain.upstreams[1:]))
        counts = Counter(assign(spec))
        self.assertEqual({endpoint(0), endpoint(1), endpoint(2)}, set(counts))
        self.assertLessEqual(abs(counts[endpoint(0)] - 256), 1)
        self.assertLessEqual(abs(counts[endpoint(1)] - 128), 1)

    def test_a_join_moves_little_more_than_its_share(self) -> None:
        """An eighth upstream moves at least an eighth and less than a sixth of 512 buckets."""
        before = assign(portal(7))
        after = assign(portal(8))
        moved = sum(old != new for old, new in zip(before, after, strict=True))
        self.assertLess(moved, 512 / 6)
        self.assertGreaterEqual(moved, 512 // 8)
