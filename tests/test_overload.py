"""Test what becomes of callers when they ask for more than upstreams can do."""

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
from bronzekeel.bench.placement import load_of_moment, played
from bronzekeel.bench.waiting_policies import OldestFirst, PriorityBlind
from bronzekeel.replay.flow_load import FlowLoad
from bronzekeel.replay.routing_fleet import FleetPolicies


_NO_LIMIT = FleetPolicies(admission_of=AdmitAll)

#: Seconds between two looks at slots, and the look at what comes after a burst.
_LOOK_S = 0.02
_AFTER_S = 2


class OverloadTest(TestCase):
    """Three times the usual for four seconds, feeds and urgent single requests."""

    def test_callers_get_most_of_what_can_be_done(self) -> None:
        """Symptom: in a burst nearly all answers are late, and a third is turned away.

        Sequence: callers ask for a fifth more than all slots can do.
        Cause: upstreams' queues fill, each answer takes as long as a full queue, and
        who was turned away asks again at once.
        """
        without = played(Overload(), _NO_LIMIT)
        self.assertLess(without.earned_over_ceiling, 0.75)
        self.assertGreater(without.turned_away_share, 0.3)
        figures = played(Overload(), FleetPolicies())
        self.assertGreater(figures.earned_over_ceiling, 0.88)
        self.assertLess(figures.turned_away_share, 0.02)

    def test_urgent_requests_go_first(self) -> None:
        """Symptom: in a burst the requests that matter most are refused, feeds are not.

        Sequence: urgent requests open a flow each, feeds have open ones.
        Cause: refusing new flows alone, whatever comes on the open ones.
        """
        blind = played(Overload(), FleetPolicies(order_of=PriorityBlind))
        figures = played(Overload(), FleetPolicies())
        self.assertGreater(figures.urgent_share, blind.urgent_share + 0.03)
        self.assertGreater(figures.urgent_share, figures.earned_share)
        self.assertGreater(figures.urgent_share, 0.93)

    def test_the_newest_goes_first(self) -> None:
        """Symptom: in a burst all answers are late by the same half second.

        Sequence: more comes than can be served, and all of it waits in one queue.
        Cause: serving the oldest first: what is served has waited the longest.
        """
        oldest = played(Overload(), FleetPolicies(order_of=OldestFirst))
        figures = played(Overload(), FleetPolicies())
        self.assertGreater(figures.earned_over_ceiling, oldest.earned_over_ceiling + 0.05)

    def test_no_slot_is_idle_while_requests_wait(self) -> None:
        """Symptom: callers are refused though upstreams have free slots.

        Sequence: an overload; requests wait at some balancers of a data centre.
        Cause: limits that leave no request behind the one that is worked on.
        """
        idle = _IdleSlots(Overload4())
        self.assertGreater(idle.waiting_samples, 100)
        self.assertLess(idle.share, 0.01)

    def test_the_end_of_a_burst_is_the_end_of_it(self) -> None:
        """Symptom: answers stay late for seconds after a burst.

        Sequence: a burst ends; what has waited is worked off.
        Cause: limits or queues that swing.
        """
        load = _played(Overload())
        after = _begun_after(load, Overload.ends_s + _AFTER_S)
        self.assertGreater(len(after), 100)
        self.assertLess(max(after), 0.25)

    def test_other_upstreams_and_other_faults(self) -> None:
        """One slot or two, short and long queues, four times the load, a third lost."""
        least_by_moment: dict[type[Moment], float] = {
            Overload4: 0.82,
            OverloadOneSlot: 0.76,
            OverloadTwoSlots: 0.88,
            OverloadThirdLost: 0.8,
        }
        for moment, least in least_by_moment.items():
            with self.subTest(moment=moment.name):
                figures = played(moment(), FleetPolicies())
                self.assertGreater(figures.earned_over_ceiling, least)


class NoOverloadTest(TestCase):
    """Moments at which all can be served."""

    def test_nothing_is_refused(self) -> None:
        """Symptom: callers are refused on a quiet day.

        Sequence: usual load; upstreams are replaced, one is slow or grey, callers are
        unevenly spread, or four fifths of all slots are taken.
        Cause: limits that count cold, slow or silent upstreams as full ones.
        """
        for moment in (Calm, Uneven, Release, SlowUpstream, GreyUpstream, HighLoad):
            with self.subTest(moment=moment.name):
                load = _played(moment())
                states = [node.state for node in load.fleet.running]
                refused = sum(
                    pool.refused
                    for state in states
                    for pool in state.directory.pools_of(state.peers.me.data_centre)
                )
                self.assertEqual(0, refused)


class _IdleSlots:
    """Play a moment, and look at slots while requests wait in their data centre."""

    def __init__(self, moment: Overload) -> None:
        self._shares: list[float] = []
        self._load = load_of_moment(moment, FleetPolicies())
        at_s = moment.begins_s + 0.5
        while at_s < moment.ends_s:
            self._load.fleet.at(at_s, self._look)
            at_s += _LOOK_S
        self._load.fleet.run(moment.ends_s)

    @property
    def waiting_samples(self) -> int:
        """How often requests waited in a data centre."""
        return len(self._shares)

    @property
    def share(self) -> float:
        """Mean share of slots that were idle then."""
        return fmean(self._shares)

    def _look(self) -> None:
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


def _played(moment: Moment) -> FlowLoad:
    """Return the load of a moment that was played to its end."""
    load = load_of_moment(moment, FleetPolicies())
    load.fleet.run(moment.lasting_s + 6)
    return load


def _begun_after(load: FlowLoad, at_s: float) -> list[float]:
    """Return the latencies of the requests that were begun after a time of the moment."""
    began_at = load.fleet.now - load.elapsed_s
    return [
        latency
        for tally in load.tally_by_kind.values()
        for answered_at, latency in zip(tally.answered_at, tally.latencies, strict=True)
        if answered_at - latency >= began_at + at_s
    ]
