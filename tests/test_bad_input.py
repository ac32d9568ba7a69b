"""Test that malformed input is dropped with a reason and raises no unexpected error."""

from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from bronzekeel.adapters.codec import hand_off_header, read_packet
from bronzekeel.core.constants import HOP_LIMIT
from bronzekeel.core.effects import Drop
from bronzekeel.core.events import Packet
from bronzekeel.core.hashing import service_key
from bronzekeel.core.messages import Heartbeat, HostEntry
from bronzekeel.core.reducer import packet_verdict
from bronzekeel.core.state import BalancerState
from bronzekeel.core.steering.packets import DropReason, steer
from bronzekeel.standins.packets import ACK, SYN, Segment, build
from bronzekeel.wire import WireError, decode, encode
from tests.fleets import hosts, portal, started_fleet

_DERANDOMIZED = settings(derandomize=True, database=None, deadline=None, max_examples=300)
_GOOD = build(Segment('127.1.0.1', 4000, '198.51.100.10', 443, SYN, b''))


class PacketBytesTest(TestCase):
    """Test decoding of packets."""

    @_DERANDOMIZED
    @given(st.binary(max_size=200))
    def test_random_bytes_give_a_reason(self, raw: bytes) -> None:
        """Checks that random bytes give a packet or a drop reason and never raise."""
        self.assertIsInstance(read_packet(raw), (Packet, DropReason))

    @_DERANDOMIZED
    @given(st.integers(0, len(_GOOD) - 1), st.integers(0, 255))
    def test_flipped_bytes_give_a_reason(self, place: int, octet: int) -> None:
        """Checks that a packet with one changed byte never raises."""
        raw = _GOOD[:place] + bytes((octet,)) + _GOOD[place + 1 :]
        self.assertIsInstance(read_packet(raw), (Packet, DropReason))

    @_DERANDOMIZED
    @given(st.integers(0, len(_GOOD) - 1))
    def test_truncated_packet_is_malformed(self, length: int) -> None:
        """Checks that a truncated packet is dropped as malformed."""
        self.assertEqual(DropReason.MALFORMED, read_packet(_GOOD[:length]))

    def test_good_packet_is_read(self) -> None:
        """Checks that SYN and data are distinguished and a hand-off header is removed."""
        packet = read_packet(hand_off_header(2) + _GOOD)
        if isinstance(packet, DropReason):
            self.fail(packet)
        self.assertEqual(service_key('198.51.100.10', 443), packet.service)
        self.assertTrue(packet.opens)
        self.assertEqual(2, packet.hops)
        data = read_packet(build(Segment('127.1.0.1', 4000, '198.51.100.10', 443, ACK, b'x')))
        if isinstance(data, DropReason):
            self.fail(data)
        self.assertFalse(data.opens)
        self.assertEqual(packet.hashed, data.hashed)

    def test_fragments_and_other_protocols_have_their_reason(self) -> None:
        """Checks the drop reasons of fragments, UDP, IPv6 and oversized packets."""
        fragment = bytearray(_GOOD)
        fragment[6] = 0x20
        udp = bytearray(_GOOD)
        udp[9] = 17
        version = bytearray(_GOOD)
        version[0] = 0x65
        self.assertEqual(DropReason.FRAGMENT, read_packet(bytes(fragment)))
        self.assertEqual(DropReason.PROTOCOL, read_packet(bytes(udp)))
        self.assertEqual(DropReason.PROTOCOL, read_packet(bytes(version)))
        self.assertEqual(DropReason.TOO_BIG, read_packet(_GOOD + bytes(65001)))


class PeerBytesTest(TestCase):
    """Test decoding of peer messages."""

    @_DERANDOMIZED
    @given(st.binary(max_size=200))
    def test_random_bytes_are_no_message(self, raw: bytes) -> None:
        """Checks that decoding random bytes raises nothing but WireError."""
        try:
            decode(raw)
        except WireError as fault:
            self.assertIn('drop it', str(fault))

    def test_message_survives_the_wire(self) -> None:
        """Checks that a message is the same after encoding and decoding."""
        beat = Heartbeat(
            'a1',
            7,
            1,
            2,
            3,
            4,
            5,
            ready=True,
            leaving=False,
            unheard=('b1',),
            host=HostEntry('a1', 'dc-a', '127.0.0.1', 1, 2, 3),
        )
        self.assertEqual(beat, decode(encode(beat)))


class VerdictTest(TestCase):
    """Test verdicts on packets that cannot be forwarded."""

    def test_unknown_service_and_hop_limit_are_dropped(self) -> None:
        """Checks the drop of packets for an unknown service or past the hop limit."""
        fleet, _ = started_fleet()
        state = fleet.by_name['a1'].state
        unknown = Packet(service_key('192.0.2.1', 80), 1, opens=True, closes=False)
        verdict = packet_verdict(state, unknown, fleet.now)
        self.assertEqual(Drop(DropReason.UNKNOWN_SERVICE), verdict)
        table = next(iter(state.steering.tables_by_name.values()))
        other = next(
            bucket for bucket in range(512) if not state.steering.owns(table.shard_of(bucket))
        )
        state.steering.links_by_host.clear()
        spec = portal()
        exhausted = Packet(
            service_key(spec.address, spec.port),
            other,
            opens=False,
            closes=False,
            hops=HOP_LIMIT,
        )
        verdict = steer(state.steering, state.members, exhausted, fleet.now)
        self.assertEqual(Drop(DropReason.HOP_LIMIT), verdict)

    def test_fresh_balancer_without_peers_drops(self) -> None:
        """Checks that a fresh balancer without peers, whose state may be stale, drops packets."""
        state = BalancerState.fresh(hosts()[0], 1, 0)
        packet = Packet(service_key('198.51.100.10', 443), 1, opens=True, closes=False)
        self.assertEqual(Drop(DropReason.NOT_READY), packet_verdict(state, packet, 1))
