"""Test that the fleet finds its members and loses only the dead."""

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
    """Let hosts die, join, pause and lose packets."""

    def test_dead_host_is_found_though_the_list_still_has_it(self) -> None:
        """Symptom: packets go to a dead keeper for half a minute.

        Sequence: a host dies; the platform's list lags.
        Cause: believing the list.
        """
        fleet, _ = started_fleet()
        fleet.kill('c3')
        fleet.run(_DETECT_S)
        for node in fleet.running:
            self.assertTrue(node.state.members.by_name['c3'].dead)

    def test_list_alone_removes_nobody(self) -> None:
        """Symptom: a wrong list empties a healthy fleet.

        Sequence: the platform lists two hosts of nine for a minute.
        Cause: taking absence from the list for death.
        """
        fleet, _ = started_fleet()
        for name in [host.name for host in hosts()][2:]:
            fleet.hosts.pop(name)
        fleet.list_hosts()
        fleet.run(70)
        for node in fleet.running:
            self.assertEqual(8, len(node.state.members.alive))

    def test_watchers_pass_the_list_of_hosts_on(self) -> None:
        """Symptom: balancers that do not watch never hear of a new list.

        Sequence: only watchers read the platform's newest list.
        Cause: each balancer reading for itself would eat the platform's calls.
        """
        fleet, _ = started_fleet()
        listed = (*hosts(), HostEntry('d1', 'dc-a', '127.0.0.1', 1, 2, 3))
        event = HostsListed(listed, fleet.hosts_version + 1)
        watcher = next(node for node in fleet.running if node.state.rollout.watching)
        fleet.deliver(watcher, event)
        fleet.run(2)
        for node in fleet.running:
            self.assertIn('d1', node.state.members.by_name)

    def test_lost_packets_flap_nobody(self) -> None:
        """Symptom: members come and go under packet loss.

        Sequence: a tenth of all messages between balancers is lost.
        Cause: judging by one lost heartbeat.
        """
        fleet, _ = started_fleet()
        fleet.lost_share = 0.1
        fleet.run(60)
        self.assertEqual(0, sum(node.state.members.deaths for node in fleet.running))

    def test_slow_host_does_not_take_others_down(self) -> None:
        """Symptom: one overloaded host removes its healthy peers.

        Sequence: a host is paused for six seconds and wakes.
        Cause: counting its own silence as that of others.
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
        """Symptom: after a cut two fleets live side by side.

        Sequence: two data centres lose each other for a minute.
        Cause: forgetting members that are listed.
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
        """A balancer of nine sends less than 3 KB/s when nothing changes."""
        fleet, _ = started_fleet()
        before = sum(fleet.by_name['a1'].bytes_by_kind.values())
        fleet.run(60)
        spent = sum(fleet.by_name['a1'].bytes_by_kind.values()) - before
        self.assertLess(spent / 60, 3000)


class ListOfHostsTest(TestCase):
    """Tell the list of hosts on."""

    def test_a_list_of_a_restored_store_can_be_told(self) -> None:
        """Watchers told nobody the list of hosts, and each message about it ended in an exception.

        A version has the store's incarnation in its high bits and did not fit into a whole number
        of the codec.  The log said: OverflowError, can't serialize ints < -2**63 or > 2**64 - 1.
        """
        fleet, _ = started_fleet()
        version = revision_of(3, 9)
        listed = HostsListed(tuple(hosts()), version)
        said = []
        for node in fleet.running:
            for effect in reduce(node.state, listed, fleet.now):
                if isinstance(effect, Say) and isinstance(effect.message, HostList):
                    said.append(decode(encode(effect.message)))
        self.assertTrue(said)
        follower = fleet.running[-1].state
        reduce(follower, PeerSaid(said[0]), fleet.now)
        self.assertEqual(version, follower.members.hosts_version)
