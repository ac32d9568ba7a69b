"""Test that requests have one outcome, run at most once, and share capacity fairly."""

from unittest import TestCase

from msgspec.structs import replace

from bronzekeel.bench.request_trials import (
    SERVICE,
    RequestTrial,
    arrivals_at,
    replies,
)
from bronzekeel.core.catalogue import Catalogue, ServiceKind, ServiceSpec, UpstreamSpec
from bronzekeel.core.outcomes import RefusalKind
from bronzekeel.replay.request_traffic import RequestTraffic


class AtMostOnceTest(TestCase):
    """Test at-most-once execution when requests are repeated, lost or delayed."""

    def test_repeated_id_runs_once(self) -> None:
        """Guards against running a request twice.

        A caller sends the same id again through another balancer, while the first
        copy runs or after its answer was lost.  If an id could start again, the
        request would take effect twice.
        """
        ran_twice = {}
        for at_most_once in (True, False):
            trial = RequestTrial(seed=1)
            for node in trial.fleet.running:
                node.state.requests.at_most_once = at_most_once
            trial.traffic.repeat_share = 0.5
            for upstream in trial.traffic.upstream_by_endpoint.values():
                upstream.lost_share = 0.1
            trial.load(0.4, 5)
            trial.run(15)
            ran_twice[at_most_once] = trial.traffic.ran_twice
            if at_most_once:
                self.assertEqual(0, trial.traffic.not_run_but_ran)
                self.assertEqual(0, trial.traffic.outcomes()['none'])
        self.assertEqual(0, ran_twice[True])
        self.assertGreater(ran_twice[False], 0)

    def test_keeper_killed_and_cut_run_nothing_twice(self) -> None:
        """Guards against running a request twice after a failover.

        The slot keeper dies, then a data centre is cut off.  Callers repeat their
        ids through balancers on both sides, whose clocks differ, so two keepers
        might each treat an id as new.
        """
        trial = RequestTrial(seed=2)
        for number, node in enumerate(trial.fleet.running):
            node.clock_skew = 0.25 if number % 2 else -0.25
        trial.traffic.repeat_share = 0.5
        trial.load(0.4, 20)
        trial.run(4)
        trial.fleet.kill(trial.keeper())
        trial.run(5)
        names = list(trial.fleet.by_name)
        trial.fleet.cut(names[:3], names[3:])
        trial.run(8)
        trial.fleet.heal()
        trial.run(15)
        outcomes = trial.traffic.outcomes()
        self.assertEqual(0, trial.traffic.ran_twice)
        self.assertEqual(0, trial.traffic.not_run_but_ran)
        self.assertEqual(0, outcomes['none'])
        self.assertGreater(outcomes['answered'], outcomes.total() * 0.8)

    def test_two_keepers_at_once_are_harmless(self) -> None:
        """Guards against running ids twice while views of the fleet differ.

        A balancer considers itself the slot keeper of a service that another one
        keeps, and each of the two is used by about half of the fleet.  Upstreams
        shed the requests that exceed their slots.
        """
        trial = RequestTrial(seed=3)
        true_keeper = trial.keeper()
        names = [node.name for node in trial.fleet.running if node.name != true_keeper]
        for name in names[:4]:
            owners = trial.fleet.by_name[name].state.steering.owners
            for ownership in owners:
                if ownership.owner == true_keeper:
                    ownership.owner = names[0]
        trial.traffic.repeat_share = 0.3
        trial.load(0.5, 6)
        trial.run(16)
        self.assertEqual(0, trial.traffic.ran_twice)
        self.assertEqual(0, trial.traffic.not_run_but_ran)
        self.assertLess(trial.traffic.attempts / len(trial.traffic.calls), 1.2)

    def test_only_what_both_call_idempotent_runs_again(self) -> None:
        """Guards against repeating a request that has side effects.

        Answers are lost.  The caller declares its requests idempotent, while the
        text does not in one case and does in the other; the caller's declaration
        alone must not suffice for a retry.
        """
        ran_twice = {}
        for idempotent in (False, True):
            trial = RequestTrial(seed=15)
            spec = replace(trial.spec, idempotent=idempotent)
            trial.fleet.submit(Catalogue(2, {SERVICE: spec}))
            trial.run(2)
            trial.traffic.idempotent = True
            for upstream in trial.traffic.upstream_by_endpoint.values():
                upstream.lost_share = 0.1
            trial.load(0.3, 5)
            trial.run(15)
            ran_twice[idempotent] = trial.traffic.ran_twice
        self.assertEqual(0, ran_twice[False])
        self.assertGreater(ran_twice[True], 0)

    def test_cancelled_call_frees_its_slot(self) -> None:
        """Guards against leaking slots until an upstream appears full.

        Callers leave while their requests wait or run, and nobody returns the
        slots of those requests.
        """
        trial = RequestTrial(seed=4)
        trial.load(0.8, 5)
        trial.run(1)
        for call in trial.traffic.calls:
            trial.traffic.cancel(call)
        trial.run(15)
        slots = trial.fleet.by_name[trial.keeper()].state.requests.slots_by_service[SERVICE]
        self.assertEqual({}, slots.expiry_by_holder)
        self.assertEqual(0, slots.queued)


class LoadTest(TestCase):
    """Test overload, false health reports and outages of upstreams."""

    def test_lying_endpoint_does_not_empty_good_upstreams(self) -> None:
        """Guards against callers waiting for seconds while upstreams are idle.

        The health endpoints of three of seven upstreams are stuck on "down" at
        load 0.7.  The results of attempts must prevail over the endpoints.
        """
        waits = {}
        for trusts_hints in (True, False):
            trial = RequestTrial(seed=5)
            for node in trial.fleet.running:
                node.state.health.trusts_hints = trusts_hints
            for endpoint in trial.endpoints[:3]:
                trial.traffic.hint(endpoint, serving=False)
            trial.load(0.7, 10)
            trial.run(20)
            waits[trusts_hints] = max(call.waited_s for call in trial.traffic.calls)
        self.assertLess(waits[False], 1)
        self.assertGreater(waits[True], 2 * waits[False])

    def test_outage_of_most_does_not_multiply_attempts(self) -> None:
        """Guards against overloading the remaining upstreams with retries.

        Five of seven upstreams die, and without a retry budget every request is
        tried on each.
        """
        trial = RequestTrial(seed=6)
        trial.load(0.6, 12)
        trial.run(3)
        for endpoint in trial.endpoints[:5]:
            trial.traffic.upstream_by_endpoint[endpoint].dead = True
        trial.run(20)
        self.assertLess(trial.traffic.attempts / len(trial.traffic.calls), 1.2)
        self.assertEqual(0, trial.traffic.not_run_but_ran)

    def test_goodput_holds_at_three_times_the_capacity(self) -> None:
        """Guards against a loss of goodput under overload.

        Demand is three times the capacity.  If queues were too long, upstreams
        would work for callers that have already left.
        """
        done = {}
        for load in (1, 3):
            trial = RequestTrial(seed=7)
            trial.load(load, 10)
            trial.run(18)
            done[load] = sum(
                call.work_s for call in trial.traffic.calls if call.outcome == 'answered'
            )
            refused = [call for call in trial.traffic.calls if call.outcome == 'not_run']
        self.assertGreater(done[3], 0.9 * done[1])
        early = [call for call in refused if call.ended_at - call.begun_at < 1]
        self.assertGreater(len(early), 0.9 * len(refused))

    def test_flooding_group_takes_nothing_from_others(self) -> None:
        """Guards against one group's batch job delaying all other groups.

        The demand of one group is four times the capacity, that of another a tenth
        of it.  A single queue in order of arrival would make both wait.
        """
        trial = RequestTrial(seed=8)
        trial.traffic.plan(arrivals_at(4, 7, 8, seed=1), group='flood')
        trial.traffic.plan(arrivals_at(0.1, 7, 8, seed=2), group='quiet')
        trial.run(20)
        quiet = [call for call in trial.traffic.calls if call.group == 'quiet']
        self.assertTrue(all(call.outcome == 'answered' for call in quiet))
        self.assertLess(max(call.waited_s for call in quiet), 0.5)

    def test_joining_upstream_ramps_up(self) -> None:
        """Guards against a joining upstream getting a third of all work in its first second.

        An upstream joins a busy service.  If its count of grants started at zero, it
        would be preferred during its cold start.
        """
        trial = RequestTrial(seed=9)
        trial.load(0.6, 12)
        trial.run(4)
        joined = replies(8)
        fresh = RequestTraffic(joined).upstream_by_endpoint[joined.upstreams[7].endpoint]
        trial.traffic.upstream_by_endpoint[fresh.endpoint] = fresh
        trial.fleet.submit(Catalogue(2, {SERVICE: joined}))
        trial.run(1)
        first = sum(fresh.ran.values())
        trial.run(15)
        self.assertLess(first, 0.25 * 7 * 3 / 0.1)
        self.assertGreater(sum(fresh.ran.values()), first)
        self.assertEqual(0, fresh.shed)


class LeavingTest(TestCase):
    """Test planned stops of balancers and draining of upstreams."""

    def test_planned_stop_cuts_no_request(self) -> None:
        """Guards against losing answers when a balancer is stopped.

        A balancer is stopped with requests in progress, and must not exit
        before their last answer.
        """
        trial = RequestTrial(seed=10)
        trial.load(0.6, 10)
        trial.run(4)
        for name in ('a1', trial.keeper()):
            trial.fleet.stop(name)
        trial.run(16)
        outcomes = trial.traffic.outcomes()
        self.assertEqual(0, outcomes['unknown'])
        self.assertEqual(0, outcomes['none'])
        self.assertTrue(trial.fleet.by_name['a1'].dead)

    def test_draining_upstream_gets_nothing_after_five_seconds(self) -> None:
        """Guards against sending requests to an upstream that is about to be switched off.

        A text drains the upstream under load, while a slot keeper may still
        have the previous text.
        """
        trial = RequestTrial(seed=11)
        trial.load(0.6, 15)
        trial.run(3)
        drained_at = trial.fleet.now
        trial.fleet.submit(Catalogue(2, {SERVICE: replies(7, draining=(2,))}))
        trial.run(20)
        leaving = trial.traffic.upstream_by_endpoint[trial.endpoints[2]]
        self.assertLess(leaving.last_ran_at - drained_at, 5)


class LostReturnTest(TestCase):
    """Test slots whose return was lost."""

    def test_lost_returns_do_not_starve_an_upstream(self) -> None:
        """Guards against some upstreams getting no work for a minute after a partition.

        A data centre is cut off and reconnected; the returns of slots granted
        across the cut are lost.  A slot must not be held for longer than its
        request can run.
        """
        trial = RequestTrial(seed=14)
        trial.load(0.5, 26)
        trial.run(5)
        names = list(trial.fleet.by_name)
        trial.fleet.cut(names[:3], names[3:])
        trial.run(8)
        trial.fleet.heal()
        trial.run(8)
        before = [item.ran.total() for item in trial.traffic.upstream_by_endpoint.values()]
        trial.run(5)
        after = [item.ran.total() for item in trial.traffic.upstream_by_endpoint.values()]
        done = [late - early for early, late in zip(before, after, strict=True)]
        self.assertGreater(min(done), 0.5 * max(done))


class DependencyTest(TestCase):
    """Test early refusal of requests whose dependencies are down."""

    def test_dependency_that_is_down_refuses_and_comes_back(self) -> None:
        """Guards against accepting requests that a failed dependency cannot serve.

        All upstreams of a required service fail and later return.  The text's
        dependencies must be checked before a request is started.
        """
        needed = ServiceSpec(
            'checks',
            ServiceKind.REQUEST,
            '198.51.100.21',
            1,
            (UpstreamSpec('10.2.0.1:1', 'dc-a'),),
        )
        trial = RequestTrial(seed=12)
        spec = replies(7)
        dependent = ServiceSpec(
            SERVICE,
            spec.kind,
            spec.address,
            spec.port,
            spec.upstreams,
            depends_on=('checks',),
        )
        trial.fleet.submit(Catalogue(2, {SERVICE: dependent, 'checks': needed}))
        trial.run(2)
        for node in trial.fleet.running:
            node.state.health.of('10.2.0.1:1').ejected_until = trial.fleet.now + 4
        trial.run(1)
        trial.load(0.3, 1)
        trial.run(2)
        kinds = {call.kind for call in trial.traffic.calls}
        self.assertEqual({RefusalKind.DEPENDENCY}, kinds)
        trial.run(12)
        before = len(trial.traffic.calls)
        trial.load(0.3, 1)
        trial.run(4)
        later = trial.traffic.calls[before:]
        self.assertTrue(all(call.outcome == 'answered' for call in later))


class BoundTest(TestCase):
    """Test that memory stays bounded."""

    def test_ids_are_forgotten_after_their_deadline(self) -> None:
        """Guards against memory that grows with every request.

        Many requests end and their deadlines pass; their ids must not be
        remembered for ever.
        """
        trial = RequestTrial(seed=13)
        trial.load(0.5, 5)
        trial.run(5)
        remembered = sum(len(node.state.requests.by_id) for node in trial.fleet.running)
        self.assertGreater(remembered, 0)
        trial.run(10)
        left = sum(len(node.state.requests.by_id) for node in trial.fleet.running)
        self.assertEqual(0, left)
