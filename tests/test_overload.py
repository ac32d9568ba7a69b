"""Test what callers experience when their demand exceeds the capacity of the upstreams."""

from statistics import fmean
from unittest import TestCase

from bronzekeel.bench.admission_policies import AdmitAll
from bronzekeel.bench.load_moments import (
    Calm,
    GreyUpstream,
    HighLoad,
    Moment,
    Overload,
    Overload4,
    OverloadOneSlot,
    OverloadThirdLost,
    OverloadTwoSlots,
    Release,
    SlowUpstream,
    Uneven,
)
from bronzekeel.bench.placement import build_moment_load, run_moment
from bronzekeel.bench.waiting_policies import OldestFirst, PriorityBlind
from bronzekeel.replay.flow_load import FlowLoad
from bronzekeel.replay.routing_fleet import FleetPolicies


_NO_LIMIT = FleetPolicies(admission_of=AdmitAll)

#: Seconds between two samples of idle slots, and from the end of a burst to the check of latencies.
_SAMPLE_INTERVAL_S = 0.02
_AFTER_S = 2


class OverloadTest(TestCase):
    """Three times the base demand for four seconds, of feeds and urgent single requests."""

    def test_most_of_the_capacity_earns_value(self) -> None:
        """Guards against bursts in which nearly all answers are late and a third is rejected.

        Demand exceeds the capacity by a fifth.  Without limits the queues of upstreams fill,
        every answer takes as long as a full queue, and rejected callers retry at once.
        """
        unlimited = run_moment(Overload(), _NO_LIMIT)
        self.assertLess(unlimited.earned_over_ceiling, 0.75)
        self.assertGreater(unlimited.turned_away_share, 0.3)
        figures = run_moment(Overload(), FleetPolicies())
        self.assertGreater(figures.earned_over_ceiling, 0.88)
        self.assertLess(figures.turned_away_share, 0.02)

    def test_urgent_requests_go_first(self) -> None:
        """Guards against bursts in which urgent requests are refused and feeds are not.

        Urgent requests open a flow each, feeds use open flows.  Refusing only new flows would
        hit the urgent requests alone.
        """
        without_priority = run_moment(Overload(), FleetPolicies(order_of=PriorityBlind))
        figures = run_moment(Overload(), FleetPolicies())
        self.assertGreater(figures.urgent_share, without_priority.urgent_share + 0.03)
        self.assertGreater(figures.urgent_share, figures.earned_share)
        self.assertGreater(figures.urgent_share, 0.93)

    def test_the_newest_goes_first(self) -> None:
        """Guards against bursts in which all answers are late by the same half second.

        When more requests arrive than can be served, serving the oldest first means that each
        request served has waited the longest.
        """
        oldest = run_moment(Overload(), FleetPolicies(order_of=OldestFirst))
        figures = run_moment(Overload(), FleetPolicies())
        self.assertGreater(figures.earned_over_ceiling, oldest.earned_over_ceiling + 0.05)

    def test_no_slot_is_idle_while_requests_wait(self) -> None:
        """Guards against refusals while upstreams have free slots.

        It happens in an overload if the limits allow no request to queue behind the one that
        is running, while requests wait at some balancers of the data centre.
        """
        idle = _IdleSlots(Overload4())
        self.assertGreater(idle.sample_count, 100)
        self.assertLess(idle.share, 0.01)

    def test_latency_recovers_after_a_burst(self) -> None:
        """Guards against answers that stay late for seconds after a burst.

        It happens if limits or queues oscillate while the backlog is processed.
        """
        load = _run_to_end(Overload())
        after = _latencies_after(load, Overload.ends_s + _AFTER_S)
        self.assertGreater(len(after), 100)
        self.assertLess(max(after), 0.25)

    def test_other_upstreams_and_other_faults(self) -> None:
        """Covers one or two slots, short and long queues, four times the load, and a third lost."""
        min_share_by_moment: dict[type[Moment], float] = {
            Overload4: 0.82,
            OverloadOneSlot: 0.76,
            OverloadTwoSlots: 0.88,
            OverloadThirdLost: 0.8,
        }
        for moment, min_share in min_share_by_moment.items():
            with self.subTest(moment=moment.name):
                figures = run_moment(moment(), FleetPolicies())
                self.assertGreater(figures.earned_over_ceiling, min_share)


class NoOverloadTest(TestCase):
    """Moments in which the capacity suffices."""

    def test_nothing_is_refused(self) -> None:
        """Guards against refusals at loads within capacity.

        Upstreams are replaced, one is slow or stops answering, callers are unevenly distributed,
        or four fifths of all slots are busy.  Limits must not count cold, slow or unresponsive
        upstreams as full.
        """
        for moment in (Calm, Uneven, Release, SlowUpstream, GreyUpstream, HighLoad):
            with self.subTest(moment=moment.name):
                load = _run_to_end(moment())
                states = [node.state for node in load.fleet.running]
                refused = sum(
                    pool.refused
                    for state in states
                    for pool in state.directory.pools_of(state.peers.me.data_centre)
                )
                self.assertEqual(0, refused)


class _IdleSlots:
    """Runs a moment and samples the idle slots of data centres in which requests wait."""

    def __init__(self, moment: Overload) -> None:
        self._shares: list[float] = []
        self._load = build_moment_load(moment, FleetPolicies())
        at_s = moment.begins_s + 0.5
        while at_s < moment.ends_s:
            self._load.fleet.at(at_s, self._sample)
            at_s += _SAMPLE_INTERVAL_S
        self._load.fleet.run(moment.ends_s)

    @property
    def sample_count(self) -> int:
        """Number of samples: times at which requests waited in a data centre."""
        return len(self._shares)

    @property
    def share(self) -> float:
        """Mean share of idle slots in the samples."""
        return fmean(self._shares)

    def _sample(self) -> None:
        waiting = {
            node.me.data_centre for node in self._load.fleet.running if len(node.state.waiting)
        }
        for centre in waiting:
            servers = [
                server
                for server in self._load.server_by_name.values()
                if server.data_centre == centre
            ]
            idle = sum(server.idle_slots for server in servers)
            self._shares.append(idle / sum(server.kind.slots for server in servers))


def _run_to_end(moment: Moment) -> FlowLoad:
    """Return the load of a moment that was run to its end."""
    load = build_moment_load(moment, FleetPolicies())
    load.fleet.run(moment.lasting_s + 6)
    return load


def _latencies_after(load: FlowLoad, at_s: float) -> list[float]:
    """Return the latencies of requests that began after `at_s` seconds of the moment."""
    began_at = load.fleet.now - load.elapsed_s
    return [
        latency
        for tally in load.tally_by_kind.values()
        for answered_at, latency in zip(tally.answered_at, tally.latencies, strict=True)
        if answered_at - latency >= began_at + at_s
    ]
