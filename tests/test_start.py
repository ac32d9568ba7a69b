"""Test the handling of packets that arrive while a balancer starts or is paused."""

from asyncio import create_subprocess_exec, run
from asyncio.subprocess import PIPE
from pathlib import Path
from socket import socket
from sys import executable
from tomllib import loads as decode_toml
from unittest import TestCase

from bronzekeel.core.routing.effects import DropWaiting
from bronzekeel.core.routing.events import Paused
from bronzekeel.core.routing.follower import Collection
from bronzekeel.core.routing.held_packets import HOLD_S, MAX_HELD_PACKETS, HeldPackets
from bronzekeel.core.routing.reducer import STALE_PAUSE_S, reduce
from bronzekeel.core.routing.state import RoutingState
from bronzekeel.entry.early_port import bind_early
from bronzekeel.entry.loop import Loop
from bronzekeel.entry.packet_port import bind_packet_port
from bronzekeel.entry.packets import PacketSocket
from bronzekeel.platform.packets import PlatformPackets
from tests.routing_cases import (
    PORTAL,
    entry,
    fresh_state,
    page,
    ready_state,
    route,
    steering,
    text,
)
from tests.test_entry_daemon import opening_from


_LOOPBACK = '127.0.0.1'

#: Address and port that `opening_from` writes into its packets.
_SERVICE_KEY = bytes((198, 18, 0, 1, 32, 251))

_PLATFORM_START_CODE = """
import sys
import bronzekeel.platform.start
print('bronzekeel.entry.daemon' in sys.modules)
"""

_EARLY_PORT_CODE = """
import sys
known = frozenset(sys.modules)
import bronzekeel.entry.early_port
print(*(frozenset(sys.modules) - known))
"""


class HeldPacketsTest(TestCase):
    """Packets that arrive before a balancer has a text and upstreams."""

    def test_old_packets_are_dropped(self) -> None:
        """Guards against opening flows that their callers have given up.

        It occurs if packets are held without a time limit while a host waits for the store.
        """
        held = HeldPackets()
        held.hold(b'old', 1)
        held.hold(b'new', 1 + HOLD_S)
        self.assertEqual(2, len(held))
        self.assertEqual([b'new'], held.release(1.1 + HOLD_S))
        self.assertEqual(0, len(held))

    def test_the_number_of_held_packets_is_limited(self) -> None:
        """Guards against a starting host that runs out of memory.

        It occurs if all packets of a flood are held while the store does not respond.
        """
        held = HeldPackets()
        for _ in range(MAX_HELD_PACKETS + 1):
            held.hold(b'x', 1)
        self.assertEqual(MAX_HELD_PACKETS, len(held))

    def test_a_packet_held_during_a_start_is_delivered(self) -> None:
        """Guards against callers that wait for a retransmission after a power failure of all hosts.

        It occurs if a host that has not read the text yet drops packets instead of holding them.
        """
        loop = Loop()
        state = fresh_state()
        with _bound() as upstream, _bound() as caller:
            packets = _packets_of(loop, state)
            caller.sendto(opening_from(caller), (_LOOPBACK, packets.port))
            packets.receive_batch()
            listed = entry(1)
            listed.address = upstream.getsockname()
            reduce(state, page(Collection.TEXT, text(1, route(_SERVICE_KEY, PORTAL))), 0)
            reduce(state, page(Collection.UPSTREAMS, listed), 0)
            reduce(state, page(Collection.EVACUATIONS), 0)
            packets.release_held()
            opened = upstream.recv(4096)
            self.assertEqual(1, int.from_bytes(opened[:8], 'big'))
            packets.close()
        loop.close()

    def test_the_port_is_bound_before_the_rest_is_loaded(self) -> None:
        """Guards against packets lost while a host loads the program.

        If all hosts start, the fabric sends to them regardless, so packets are lost if the port is
        bound only after all modules are imported.
        """
        self.assertEqual('False', run(_output_of(_PLATFORM_START_CODE)))


class EarlyPortTest(TestCase):
    """The port that is bound before other modules are imported."""

    def test_packets_before_the_settings_are_read_are_delivered(self) -> None:
        """Guards against packets lost in the first half of a start."""
        with _bound() as free_socket:
            address = free_socket.getsockname()
        early = bind_early(['start.py', f'{address[0]}:{address[1]}'])
        with _bound() as caller:
            caller.sendto(b'opening', address)
        with bind_packet_port(address, early) as port:
            self.assertEqual(early, port.fileno())
            self.assertEqual(b'opening', port.recv(4096))
            self.assertFalse(port.getblocking())

    def test_the_address_in_the_settings_takes_precedence(self) -> None:
        """Guards against a host that listens on an address other than that in its settings."""
        early = bind_early(['start.py', f'{_LOOPBACK}:0'])
        with _bound() as free_socket:
            address = free_socket.getsockname()
        with bind_packet_port(address, early) as port:
            self.assertEqual(address, port.getsockname())

    def test_a_start_without_an_address_binds_later(self) -> None:
        """Guards against a failed start with an older deploy file or an invalid argument."""
        for arguments in ([], ['start.py'], ['start.py', ''], ['start.py', '127.0.0.1:x']):
            self.assertIsNone(bind_early(arguments))
        self.assertIsNone(bind_early(['start.py', '127.0.0.1:99999']))

    def test_it_imports_few_modules(self) -> None:
        """Guards against a port that is bound only after a quarter of the imports."""
        loaded = run(_output_of(_EARLY_PORT_CODE)).split()
        self.assertNotIn('socket', loaded)
        self.assertNotIn('enum', loaded)
        self.assertNotIn('collections', loaded)

    def test_the_deploy_file_passes_the_address(self) -> None:
        """Guards against a deploy file without the argument for early binding."""
        deploy = Path(__file__).resolve().parent.parent / 'deploy' / 'system.toml'
        role = decode_toml(deploy.read_text(encoding='utf-8'))['roles']['balancer']
        self.assertEqual('{{listenAddrs.datagramAddr}}', role['run'].split()[-1])


class PauseTest(TestCase):
    """Packets that waited while the process or its host was paused."""

    def test_a_long_pause_drops_waiting_packets(self) -> None:
        """Guards against upstreams with flows that nobody uses.

        It occurs if a host that was paused for seconds forwards opening packets whose callers have
        given up.
        """
        kinds = [type(effect) for effect in reduce(ready_state(), Paused(STALE_PAUSE_S), 5)]
        self.assertIn(DropWaiting, kinds)

    def test_a_short_pause_drops_nothing(self) -> None:
        """Guards against a slow host that loses all waiting packets in each short stall.

        It occurs if packets are also dropped after pauses during which their callers still wait.
        """
        kinds = [type(effect) for effect in reduce(ready_state(), Paused(STALE_PAUSE_S / 2), 5)]
        self.assertNotIn(DropWaiting, kinds)

    def test_dropped_packets_are_counted(self) -> None:
        """Both held packets and packets in the kernel are dropped."""
        loop = Loop()
        packets = _packets_of(loop, fresh_state())
        with _bound() as caller:
            for number in range(4):
                caller.sendto(bytes(31 + number), (_LOOPBACK, packets.port))
                if number == 1:
                    packets.receive_batch()
            packets.drop_waiting()
        self.assertEqual(4, packets.count_by_outcome['stale'])
        packets.close()
        loop.close()


def _bound() -> socket:
    return bind_packet_port((_LOOPBACK, 0))


def _packets_of(loop: Loop, state: RoutingState) -> PacketSocket:
    """Return a packet socket with a constant clock."""
    return PacketSocket(
        loop,
        _bound(),
        PlatformPackets(9),
        steering(state),
        lambda kind, raw: None,
        lambda: 1,
    )


async def _output_of(code: str) -> str:
    process = await create_subprocess_exec(executable, '-c', code, stdout=PIPE)
    output, _ = await process.communicate()
    return output.decode().strip()
