"""Test that one text is accepted, takes effect everywhere, and is never reverted."""

from asyncio import run
from random import Random
from unittest import TestCase

from msgspec.json import encode
from msgspec.structs import replace

from bronzekeel.core.events import TextAccepted
from bronzekeel.core.messages import TextBody, TextPull
from bronzekeel.core.rollout.reducer import on_text, on_text_pull, rebuild, request_full_text
from bronzekeel.core.rollout.state import Rollout
from bronzekeel.core.routing.revisions import number_of, revision_of
from bronzekeel.core.state import BalancerState
from bronzekeel.replay.fleet import Fleet
from bronzekeel.text.model import Document, ServiceText, UpstreamText
from bronzekeel.text.submission import (
    MAX_LOST_GENERATIONS,
    Accepted,
    Conflict,
    ObjectStore,
    Stored,
    StoreLost,
    StoreRefused,
    Undecided,
    load_text,
    read_head,
    settle,
    submit,
)
from tests.fleets import catalogue, hosts, lag_views, portal, started_fleet


class FakeStore(ObjectStore):
    """Store objects in memory; each of `faults` applies to one of the next writes of the head.

    'lost' loses the answer after the write took effect, 'lost_before' before it.  'lost_then_other'
    loses it after a third operator's submission.  At 'restored' the store is restored from its copy
    and another operator submits first.  Conditional writes compare the store's own numbers, which
    are assigned again after a restore.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.objects: dict[str, Stored] = {}
        self.faults: list[str] = []
        self.down = False
        self.incarnation = 1
        self.copy: dict[str, Stored] = {}

    async def read(self, key: str) -> Stored:
        """Return an object."""
        if self.down:
            raise StoreRefused('down')
        stored = self.objects.get(key, Stored(0))
        version = revision_of(self.incarnation, number_of(stored.version)) if stored.version else 0
        return Stored(version, stored.body, self.incarnation)

    def restore(self) -> None:
        """Restore the objects from the copy, under a new incarnation."""
        self.incarnation += 1
        self.objects = self.copy.copy()

    async def write(self, key: str, body: bytes, version: int) -> Stored | None:
        """Replace an object if its version matches; return None if it does not."""
        if self.down:
            raise StoreRefused('down')
        fault = ''
        if key.endswith('head') and self.faults:
            fault = self.faults.pop(0)
        if fault == 'lost_before':
            raise StoreLost('lost')
        if fault == 'restored':
            self.restore()
            await submit(self, text(6), 'another operator')
        stored = self.objects.get(key, Stored(0))
        if number_of(stored.version) != number_of(version):
            return None
        new_version = revision_of(self.incarnation, number_of(version) + 1)
        written = Stored(new_version, body, self.incarnation)
        self.objects[key] = written
        if fault == 'lost':
            raise StoreLost('lost')
        if fault == 'lost_then_other':
            other = text(5)
            await submit(self, other, 'third-operator')
            raise StoreLost('lost')
        return written


def text(upstreams: int, remark: str = '') -> bytes:
    """Return a text with one service."""
    listed = tuple(UpstreamText(f'192.0.2.{number}:1') for number in range(1, upstreams + 1))
    service = ServiceText('flow', '198.51.100.1', 443, {'dc-a': listed})
    return encode(Document({'portal': service}, remark))


class SubmissionTest(TestCase):
    """Test submissions to a platform that fails."""

    def test_one_of_two_operators_wins(self) -> None:
        """Guards against silently overwriting another operator's change.

        Two operators edit the same generation and submit; an unconditional update
        would discard the first change.
        """
        store = FakeStore()
        run(submit(store, text(2), 'one'))
        self.assertEqual(Accepted(2), run(submit(store, text(3), 'two', based_on=1)))
        outcome = run(submit(store, text(4), 'three', based_on=1))
        if not isinstance(outcome, Conflict):
            self.fail(f'expected a conflict, got {outcome}')
        self.assertEqual(2, outcome.generation)
        self.assertIn('- portal upstream 192.0.2.4:1', outcome.differences)
        self.assertIn('merge', outcome.remedy)

    def test_lost_confirmation_is_settled(self) -> None:
        """Guards against asking an operator to submit an accepted text again.

        The answer to the update is lost, after or before it takes effect, and in
        one case a third operator submits afterwards.  A lost answer is not a refusal.
        """
        for fault, generation in (('lost', 2), ('lost_before', 2), ('lost_then_other', 2)):
            store = FakeStore()
            run(submit(store, text(2), 'one'))
            store.faults = [fault]
            self.assertEqual(Accepted(generation), run(submit(store, text(3), 'two')))
            self.assertEqual(Accepted(2), run(settle(store, 'two')))

    def test_unsettled_outcome_says_how_to_find_out(self) -> None:
        """Guards against leaving an operator without a way to find out what is in force.

        The platform fails during the submission: the answer to the update and all
        later answers are lost.
        """
        store = FakeStore()
        run(submit(store, text(2), 'one'))
        store.faults = ['lost_before', 'lost_before', 'lost_before', 'lost_before']
        outcome = run(submit(store, text(3), 'two'))
        self.assertEqual(Undecided('two'), outcome)
        self.assertIn('--settle two', outcome.remedy)

    def test_a_text_submitted_to_a_restored_store_is_newer(self) -> None:
        """Guards against an accepted text that never takes effect.

        The store was restored from a copy, and the text got the number after that of the copy,
        which is less than the number of the text in force.  Hosts rejected it as older.
        """
        store = FakeStore()
        run(submit(store, text(2), 'one'))
        store.copy = store.objects.copy()
        for number in range(3, 7):
            run(submit(store, text(number), f'submission {number}'))
        for _ in range(2):
            store.restore()
            again = run(submit(store, text(7), 'again'))
            if not isinstance(again, Accepted):
                self.fail(f'not accepted: {again}')
            self.assertGreater(again.generation, 5)
        after = run(submit(store, text(8), 'after'))
        self.assertEqual(Accepted(again.generation + 1), after)

    def test_an_empty_copy_gives_no_number_out_again(self) -> None:
        """Covers a store restored from a copy that was made before the first text."""
        store = FakeStore()
        for number in range(2, 6):
            run(submit(store, text(number), f'submission {number}'))
        store.restore()
        again = run(submit(store, text(7), 'again'))
        self.assertGreater(again.generation if isinstance(again, Accepted) else 0, 4)

    def test_an_update_that_met_a_restored_store_is_made_anew(self) -> None:
        """Guards against reporting a number under which no host would accept the text.

        Between the read of the head and its update, the store was restored from a copy, and another
        operator's text got the number that the update's condition names.
        """
        store = FakeStore()
        run(submit(store, text(2), 'one'))
        store.copy = store.objects.copy()
        run(submit(store, text(3), 'two'))
        store.faults = ['restored']
        accepted = run(submit(store, text(4), 'three'))
        _, head = run(read_head(store))
        if head is None or not isinstance(accepted, Accepted):
            self.fail(f'not accepted: {accepted}')
        self.assertEqual((accepted.generation, 'three'), (head.generation, head.submission))
        self.assertGreater(accepted.generation, 2 + MAX_LOST_GENERATIONS)

    def test_large_text_is_never_half_seen(self) -> None:
        """Guards against reading a mixture of two texts.

        A text larger than one object is read in parts while another is submitted,
        and later one part is damaged.  Parts must not change under one head.
        """
        store = FakeStore()
        large = text(3, remark='x' * 1_500_000)
        run(submit(store, large, 'one'))
        _, head = run(read_head(store))
        run(submit(store, text(4, remark='y' * 1_500_000), 'two'))
        self.assertEqual(large, run(load_text(store, head)))
        part = next(key for key in store.objects if 'part' in key)
        store.objects[part] = Stored(2, b'damaged')
        with self.assertRaises(StoreRefused):
            run(load_text(store, head))

    def test_outage_is_refused_clearly(self) -> None:
        """Checks that a submission during an outage raises StoreRefused."""
        store = FakeStore()
        store.down = True
        with self.assertRaises(StoreRefused):
            run(submit(store, text(2), 'one'))


class ForceTest(TestCase):
    """Test how texts come into force on a fleet."""

    def test_in_force_everywhere_within_seconds(self) -> None:
        """Checks that a text reaches all nine hosts, including those that are not watchers."""
        fleet, _ = started_fleet()
        lag_views(fleet)
        watching = sum(node.state.rollout.watching for node in fleet.running)
        self.assertEqual(6, watching)
        submitted_at = fleet.now
        fleet.submit(catalogue(2, portal(8)))
        fleet.run(9)
        for node in fleet.running:
            self.assertLess(node.in_force_at[2] - submitted_at, 9)

    def test_older_text_never_comes_back(self) -> None:
        """Guards against reverting to an older text, such as one without a drain.

        After generation 3 the platform answers with generation 2, as a peer that
        was disconnected might.  The last answer is not necessarily the newest.
        """
        reverted = {}
        for monotonic in (True, False):
            fleet, _ = started_fleet()
            for generation in (2, 3):
                fleet.submit(catalogue(generation, portal(5 + generation)))
                fleet.run(4)
            node = fleet.by_name['a1']
            node.state.rollout.monotonic = monotonic
            stale = catalogue(2, portal(7))
            fleet.deliver(node, TextAccepted(stale, from_platform=True))
            reverted[monotonic] = node.state.rollout.generation == 2
        self.assertEqual({True: False, False: True}, reverted)

    def test_fresh_host_waits_until_it_is_not_behind(self) -> None:
        """Guards against a restarted host that forwards by an outdated text.

        During an outage of the platform a fresh host receives the text of one peer
        only.  It must not serve by the first text that it receives.
        """
        fleet = Fleet(hosts(), 1)
        fleet.platform_up = False
        node = fleet.by_name['a1']
        names = list(fleet.by_name)
        fleet.cut(['a1'], names[1:])
        fleet.run(4)
        fleet.deliver(node, TextAccepted(catalogue(2, portal(7))))
        fleet.run(4)
        self.assertFalse(node.state.ready)
        self.assertFalse(node.state.rollout.confirmed)

    def test_newcomer_is_brought_up_by_peers_during_an_outage(self) -> None:
        """Guards against replaced hosts that cannot serve until the platform is back.

        The platform goes down and a host is replaced.  The new host must get the
        text from its peers.
        """
        fleet, _ = started_fleet()
        fleet.platform_up = False
        fleet.stop('b2')
        fleet.run(8)
        fleet.start(hosts()[4])
        fleet.run(12)
        fresh = fleet.by_name['b2'].state
        self.assertTrue(fresh.ready)
        self.assertEqual(1, fresh.rollout.generation)

    def test_newest_wins_when_a_data_centre_heals(self) -> None:
        """Guards against a data centre that stays on an old text or spreads it.

        A data centre is cut off, misses two generations and is reconnected.  Its
        hosts receive no other report of the newer text than from their peers.
        """
        fleet, _ = started_fleet()
        names = list(fleet.by_name)
        fleet.cut(names[:3], names[3:])
        fleet.run(6)
        for node in fleet.running[:3]:
            node.state.rollout.watching = True
        fleet.platform_up = False
        fleet.newest = None
        remote = fleet.by_name['b1']
        event = TextAccepted(catalogue(3, portal(8)), from_platform=True)
        fleet.deliver(remote, event)
        fleet.run(6)
        self.assertEqual(1, fleet.by_name['a1'].state.rollout.generation)
        fleet.heal()
        fleet.run(9)
        generations = {node.state.rollout.generation for node in fleet.running}
        self.assertEqual({3}, generations)


class ChangesTest(TestCase):
    """Test that peers are sent only what changed."""

    def test_peer_gets_only_the_services_that_changed(self) -> None:
        """Checks that a change of one service is sent without the unchanged ones."""
        services = [replace(portal(3), name=f'service-{number}') for number in range(50)]
        rollout = Rollout()
        on_text(rollout, TextAccepted(catalogue(1, *services)))
        services[7] = replace(services[7], idle_s=33.0)
        on_text(rollout, TextAccepted(catalogue(2, *services[:-1])))
        body = self._body(rollout, 1)
        self.assertEqual(['service-7'], [spec.name for spec in body.services])
        self.assertEqual(('service-49',), body.removed)
        self.assertEqual(50, len(self._body(rollout, 0).services) + 1)

    def test_changes_that_do_not_fit_are_not_taken(self) -> None:
        """Guards against balancers of one generation having different texts.

        A peer sends changes since a generation whose text differs on the receiver,
        where it was damaged.  Changes must not be applied to a different base.
        """
        services = [replace(portal(3), name=f'service-{number}') for number in range(5)]
        ahead = Rollout()
        behind = Rollout()
        on_text(ahead, TextAccepted(catalogue(1, *services)))
        on_text(behind, TextAccepted(catalogue(1, *services[1:])))
        services[3] = replace(services[3], idle_s=33.0)
        on_text(ahead, TextAccepted(catalogue(2, *services)))
        body = self._body(ahead, 1)
        self.assertIsNone(rebuild(behind, body))
        pull = request_full_text(behind, 'a1', body)[0]
        whole = self._body(ahead, pull.message.generation)
        self.assertEqual(ahead.catalogue, rebuild(behind, whole))

    def _body(self, rollout: Rollout, generation: int) -> TextBody:
        return on_text_pull(rollout, 'b1', TextPull('a1', generation))[0].message


class StateTest(TestCase):
    """Test the initial state of a balancer."""

    def test_fresh_state_serves_nothing(self) -> None:
        """Checks that a balancer without a text is not ready and has generation 0."""
        state = BalancerState.fresh(hosts()[0], 1, Random(1).random())
        self.assertFalse(state.ready)
        self.assertEqual(0, state.rollout.generation)
