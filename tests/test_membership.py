"""Test that balancers discover members and remove only dead ones."""

from unittest import TestCase

from bronzekeel.core.effects import Say
from bronzekeel.core.events import HostsListed, PeerSaid
from bronzekeel.core.messages import HostEntry, HostList
from bronzekeel.core.reducer import reduce
from bronzekeel.core.routing.revisions import revision_of
from bronzekeel.wire import decode, encode
from tests.fleets import hosts, started_fleet

_DETECT_S = 6.0


class MembershipTest(TestCase):
    """Test membership while hosts die, join, pause and lose packets."""

    def test_dead_host_is_found_though_the_list_still_has_it(self) -> None:
        """Guards against packets that go to a dead keeper for half a minute.

        This happens if balancers trust the platform's list of hosts, which
        still contains a dead host for that long.
        """
        fleet, _ = started_fleet()
        fleet.kill('c3')
        fleet.run(_DETECT_S)
        for node in fleet.running:
            self.assertTrue(node.state.members.by_name['c3'].dead)

    def test_list_alone_removes_nobody(self) -> None:
        """Guards against a wrong list that removes the members of a healthy fleet.

        This happens if a host that is missing from the platform's list is
        considered dead.  The list has two of nine hosts for over a minute.
        """
        fleet, _ = started_fleet()
        for name in [host.name for host in hosts()][2:]:
            fleet.hosts.pop(name)
        fleet.list_hosts()
        fleet.run(70)
        for node in fleet.running:
            self.assertEqual(8, len(node.state.members.alive))

    def test_watchers_pass_the_list_of_hosts_on(self) -> None:
        """Guards against balancers that never receive a new list of hosts.

        Only watchers read the list from the platform, since reads by every
        balancer would exhaust its budget of calls.  Watchers must send it on.
        """
        fleet, _ = started_fleet()
        listed = (*hosts(), HostEntry('d1', 'dc-a', '127.0.0.1', 1, 2, 3))
        event = HostsListed(listed, fleet.hosts_version + 1)
        watcher = next(node for node in fleet.running if node.state.rollout.watching)
        fleet.deliver(watcher, event)
        fleet.run(2)
        for node in fleet.running:
            self.assertIn('d1', node.state.members.by_name)

    def test_lost_packets_cause_no_flapping(self) -> None:
        """Guards against members that flap under packet loss.

        This happens if a single lost heartbeat makes a member dead.  A tenth of
        all messages between balancers is lost.
        """
        fleet, _ = started_fleet()
        fleet.lost_share = 0.1
        fleet.run(60)
        self.assertEqual(0, sum(node.state.members.deaths for node in fleet.running))

    def test_slow_host_does_not_take_others_down(self) -> None:
        """Guards against an overloaded host that declares its healthy peers dead.

        A host resumes after a pause of six seconds, during which it received
        nothing, and mistakes its own pause for silence of the others.
        """
        fleet, _ = started_fleet()
        fleet.pause('b1', 6)
        fleet.run(20)
        paused = fleet.by_name['b1'].state
        self.assertEqual(0, paused.members.deaths)
        self.assertEqual(1, paused.members.pauses)
        for node in fleet.running:
            self.assertEqual(8, len(node.state.members.alive))

    def test_returning_host_with_the_same_address_is_a_new_one(self) -> None:
        """A restarted host has a higher incarnation and joins again."""
        fleet, _ = started_fleet()
        before = fleet.by_name['a1'].state.members.by_name['b1'].incarnation
        fleet.kill('b1')
        fleet.run(2)
        fleet.start(HostEntry('b1', 'dc-b', '127.0.0.1', 1, 2, 3))
        fleet.run(10)
        member = fleet.by_name['a1'].state.members.by_name['b1']
        self.assertGreater(member.incarnation, before)
        self.assertTrue(member.ready)

    def test_cut_off_data_centres_find_each_other_again(self) -> None:
        """Guards against a fleet that stays split after a partition.

        Two data centres are partitioned for a minute.  If they remove dead
        members that are still listed, they never contact each other again.
        """
        fleet, _ = started_fleet()
        names = list(fleet.by_name)
        fleet.cut(names[:3], names[3:6])
        fleet.run(60)
        fleet.heal()
        fleet.run(10)
        for node in fleet.running:
            self.assertEqual(8, len(node.state.members.alive))
            self.assertLess(node.state.steering.self_valid_until, float('inf'))

    def test_control_stays_under_its_byte_budget(self) -> None:
        """A balancer in a fleet of nine sends less than 3 KB/s while nothing changes."""
        fleet, _ = started_fleet()
        before = sum(fleet.by_name['a1'].bytes_by_kind.values())
        fleet.run(60)
        spent = sum(fleet.by_name['a1'].bytes_by_kind.values()) - before
        self.assertLess(spent / 60, 3000)


class HostListTest(TestCase):
    """Test that watchers send the list of hosts to other balancers."""

    def test_a_list_of_a_restored_store_can_be_sent(self) -> None:
        """Guards against lists of hosts that the codec cannot encode.

        A version has the store's incarnation in its high bits and exceeded the codec's integers,
        so that no list was sent and each message about it raised an exception: OverflowError,
        can't serialize ints < -2**63 or > 2**64 - 1.
        """
        fleet, _ = started_fleet()
        version = revision_of(3, 9)
        listed = HostsListed(tuple(hosts()), version)
        sent = []
        for node in fleet.running:
            for effect in reduce(node.state, listed, fleet.now):
                if isinstance(effect, Say) and isinstance(effect.message, HostList):
                    sent.append(decode(encode(effect.message)))
        self.assertTrue(sent)
        follower = fleet.running[-1].state
        reduce(follower, PeerSaid(sent[0]), fleet.now)
        self.assertEqual(version, follower.members.hosts_version)
