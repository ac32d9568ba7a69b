"""Test what becomes of packets that come while a balancer starts, or stands still."""

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
from bronzekeel.core.routing.holding import HOLD_S, MAX_HELD_PACKETS, HeldPackets
from bronzekeel.core.routing.reducer import STALE_PAUSE_S, reduce
from bronzekeel.core.routing.state import RoutingState
from bronzekeel.entry.early_port import bound_early
from bronzekeel.entry.packet_port import bound_packet_port
from bronzekeel.entry.packets import PacketSocket
from bronzekeel.entry.loop import Loop
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

_LOADED_CODE = """
import sys
import bronzekeel.platform.start
print('bronzekeel.entry.daemon' in sys.modules)
"""

_EARLY_CODE = """
import sys
known = frozenset(sys.modules)
import bronzekeel.entry.early_port
print(*(frozenset(sys.modules) - known))
"""


class HeldPacketsTest(TestCase):
    """Packets that come before a balancer knows where they go."""

    def test_old_packets_are_let_go(self) -> None:
        """Symptom: flows are opened that their callers gave up long ago.

        Sequence: a host waits for the store for seconds; then it knows.
        Cause: holding packets without an end.
        """
        held = HeldPackets()
        held.hold(b'old', 1)
        held.hold(b'new', 1 + HOLD_S)
        self.assertEqual(2, len(held))
        self.assertEqual([b'new'], held.release(1.1 + HOLD_S))
        self.assertEqual(0, len(held))

    def test_a_flood_is_bounded(self) -> None:
        """Symptom: a host that has just started is killed for its memory.

        Sequence: a flood of packets while the store does not answer.
        Cause: holding all of them.
        """
        held = HeldPackets()
        for _ in range(MAX_HELD_PACKETS + 1):
            held.hold(b'x', 1)
        self.assertEqual(MAX_HELD_PACKETS, len(held))

    def test_a_packet_that_came_early_is_delivered(self) -> None:
        """Symptom: after all hosts lost power callers wait for their next repeat.

        Sequence: a caller's packet meets a host that has not read the text yet.
        Cause: dropping what cannot be decided on at once.
        """
        loop = Loop()
        state = fresh_state()
        with _bound() as upstream, _bound() as caller:
            packets = _packets_of(loop, state)
            caller.sendto(opening_from(caller), (_LOOPBACK, packets.port))
            packets.take_batch()
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
        """Symptom: packets are lost for as long as a host loads its program.

        Sequence: all hosts start; the fabric sends to them all the same.
        Cause: binding the port after all modules are imported.
        """
        self.assertEqual('False', run(_output_of(_LOADED_CODE)))


class EarlyPortTest(TestCase):
    """The port that is bound before anything is loaded."""

    def test_packets_before_the_settings_are_read_are_kept(self) -> None:
        """Guards against packets that are lost for the first half of a start."""
        with _bound() as free:
            address = free.getsockname()
        early = bound_early(['start.py', f'{address[0]}:{address[1]}'])
        with _bound() as caller:
            caller.sendto(b'opening', address)
        with bound_packet_port(address, early) as port:
            self.assertEqual(early, port.fileno())
            self.assertEqual(b'opening', port.recv(4096))
            self.assertFalse(port.getblocking())

    def test_the_settings_decide_where_packets_are_taken(self) -> None:
        """Guards against a host that listens where its settings do not say."""
        early = bound_early(['start.py', f'{_LOOPBACK}:0'])
        with _bound() as free:
            address = free.getsockname()
        with bound_packet_port(address, early) as port:
            self.assertEqual(address, port.getsockname())

    def test_a_start_without_an_address_binds_later(self) -> None:
        """Guards against hosts that do not start from an older deploy file or a wrong word."""
        for words in ([], ['start.py'], ['start.py', ''], ['start.py', '127.0.0.1:x']):
            self.assertIsNone(bound_early(words))
        self.assertIsNone(bound_early(['start.py', '127.0.0.1:99999']))

    def test_it_loads_next_to_nothing(self) -> None:
        """Guards against a port that is bound after a quarter of the imports."""
        loaded = run(_output_of(_EARLY_CODE)).split()
        self.assertNotIn('socket', loaded)
        self.assertNotIn('enum', loaded)
        self.assertNotIn('collections', loaded)

    def test_the_deploy_file_names_the_address(self) -> None:
        """Guards against a deploy file by which the port is bound late."""
        deploy = Path(__file__).resolve().parent.parent / 'deploy' / 'system.toml'
        role = decode_toml(deploy.read_text(encoding='utf-8'))['roles']['balancer']
        self.assertEqual('{{listenAddrs.datagramAddr}}', role['run'].split()[-1])


class PauseTest(TestCase):
    """Packets that waited while the process or its host stood still."""

    def test_a_long_pause_drops_what_waited(self) -> None:
        """Symptom: upstreams hold flows that nobody uses.

        Sequence: a host is frozen for seconds and wakes.
        Cause: passing on opening packets whose callers have given up.
        """
        kinds = [type(effect) for effect in reduce(ready_state(), Paused(STALE_PAUSE_S), 5)]
        self.assertIn(DropWaiting, kinds)

    def test_a_short_pause_drops_nothing(self) -> None:
        """Symptom: a slow host loses all packets each time that it stalls.

        Sequence: a host stands still for less than callers keep trying.
        Cause: dropping after every pause.
        """
        kinds = [type(effect) for effect in reduce(ready_state(), Paused(STALE_PAUSE_S / 2), 5)]
        self.assertNotIn(DropWaiting, kinds)

    def test_what_waits_is_dropped_and_counted(self) -> None:
        """Packets in the kernel and packets that are held both go."""
        loop = Loop()
        packets = _packets_of(loop, fresh_state())
        with _bound() as caller:
            for number in range(4):
                caller.sendto(bytes(31 + number), (_LOOPBACK, packets.port))
                if number == 1:
                    packets.take_batch()
            packets.drop_waiting()
        self.assertEqual(4, packets.count_by_fate['stale'])
        packets.close()
        loop.close()


def _bound() -> socket:
    return bound_packet_port((_LOOPBACK, 0))


def _packets_of(loop: Loop, state: RoutingState) -> PacketSocket:
    """Return a socket whose clock stands still."""
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
    written, _ = await process.communicate()
    return written.decode().strip()
