"""Test one lean balancer over real sockets on loopback, with stand-ins around it."""

from asyncio import run, sleep
from asyncio import to_thread as in_thread
from collections.abc import Awaitable, Callable
from contextlib import suppress
from json import loads as decode_json
from os import pipe, set_blocking
from os import read as read_bytes
from socket import AF_INET, SOCK_DGRAM, socket
from tempfile import TemporaryDirectory
from threading import Thread
from time import monotonic
from typing import Any, Self
from unittest import TestCase

from aiohttp import ClientSession

from bronzekeel.core.log_numbers import LogNumber
from bronzekeel.core.routing.admission import Admission
from bronzekeel.core.routing.effects import Effect
from bronzekeel.core.routing.events import StopAsked
from bronzekeel.entry.daemon import EntryBalancer
from bronzekeel.entry.http_client import Call, HttpConnection
from bronzekeel.entry.http_server import OK, Answer, HttpServer, bound_stream
from bronzekeel.entry.lines import LINES_PER_KIND, MAX_WAITING_BYTES, LineLog
from bronzekeel.entry.loop import Loop
from bronzekeel.entry.settings import EntrySettings, SettingsError, read_entry_settings
from bronzekeel.platform.calls import EVACUATIONS_KIND
from bronzekeel.platform.objects import PlatformStore
from bronzekeel.platform.packets import PlatformPackets
from bronzekeel.standins.entry_settings import loopback_settings
from bronzekeel.standins.platform import PlatformStandIn
from bronzekeel.standins.store_copy import copy_of, restore


_LOOPBACK = '127.0.0.1'
_PATIENCE_S = 20.0
_SERVICE = ('198.18.0.1', 8443)
_RESET = 64


def settings_for(store_port: int, **changed: Any) -> dict[str, Any]:
    """Return the settings of a balancer on loopback."""
    fields = {'stop_within_s': 2, 'a_field_of_a_later_version': True, **changed}
    name = fields.pop('name', 'edge-1')
    return loopback_settings(name, store_port, **fields)


def opening_from(caller: socket) -> bytes:
    """Return an opening packet of the flow of a caller's socket."""
    host, port = caller.getsockname()
    return b''.join(
        (
            bytes(6),
            _octets(_SERVICE[0]),
            port.to_bytes(2, 'big'),
            _SERVICE[1].to_bytes(2, 'big'),
            _octets(host),
            bytes(4),
            b'\x01',
            bytes(8),
        ),
    )


def _octets(address: str) -> bytes:
    return bytes(map(int, address.split('.')))


class Around:
    """Hold a balancer in a thread of its own, its store, an upstream and a caller."""

    def __init__(self) -> None:
        """Prepare all sockets."""
        self.store = PlatformStandIn()
        self.upstream = _udp()
        self.caller = _udp()
        self.balancers: list[EntryBalancer] = []
        reading, writing = pipe()
        self.reading = reading
        self._writing = writing
        self._threads: list[Thread] = []

    def start_balancer(self, **changed: Any) -> EntryBalancer:
        """Start a balancer; it ends with ``close``."""
        settings = EntrySettings(settings_for(self.store.port, **changed))
        packet_format = PlatformPackets(self.caller.getsockname()[1])
        balancer = EntryBalancer(settings, packet_format, PlatformStore(), self._writing)
        balancer.start()
        thread = Thread(target=balancer.loop.run)
        thread.start()
        self.balancers.append(balancer)
        self._threads.append(thread)
        return balancer

    def put_upstream(self) -> None:
        """Write the upstream's entry."""
        self.store.put_upstream(42, 'portal', self.upstream.getsockname(), 'dc-a')

    def put_text(self, version: int = 1) -> None:
        """Write the operators' text with the portal's route."""
        self.store.put_text(version, {_SERVICE: 'portal'})

    async def send(self, raw: bytes, balancer: EntryBalancer) -> None:
        """Send a datagram to a balancer as the fabric would."""
        self.caller.sendto(raw, (_LOOPBACK, balancer.packets.port))
        await sleep(0)

    async def taken(self, sock: socket) -> bytes:
        """Return the next datagram that arrives at a socket."""
        return await in_thread(sock.recv, 4096)

    async def wait_for_events(self, expected: set[int]) -> None:
        """Wait until the log has a line of each of these events.

        What a balancer believes shows a tick before the lines about it are written.
        """
        set_blocking(self.reading, False)
        written = bytearray()

        def is_written() -> bool:  # noqa: WPS430 (gathers what was read)
            with suppress(BlockingIOError):
                written.extend(read_bytes(self.reading, MAX_WAITING_BYTES))
            whole = written[: written.rfind(b'\n') + 1]
            events = {decode_json(line)['event'] for line in whole.splitlines()}
            return expected <= events

        await until(is_written)

    async def __aenter__(self) -> Self:
        """Start the store."""
        await self.store.open()
        return self

    async def __aexit__(self, *fault: object) -> None:
        """End everything."""
        for balancer, thread in zip(self.balancers, self._threads, strict=True):
            balancer.loop.stop()
            await in_thread(thread.join)
            balancer.close()
        self.upstream.close()
        self.caller.close()
        await self.store.close()


def _udp() -> socket:
    made = socket(AF_INET, SOCK_DGRAM)
    made.bind((_LOOPBACK, 0))
    made.settimeout(_PATIENCE_S)
    return made


async def until(holds: Callable[[], bool]) -> None:
    """Wait until a condition holds, with much patience."""
    give_up_at = monotonic() + _PATIENCE_S
    while not holds():
        if monotonic() > give_up_at:
            raise AssertionError('waited in vain')
        await sleep(0.02)


def _generation_of(balancer: EntryBalancer) -> int:
    """Return the generation in force, zero when none is."""
    in_force = balancer.state.text
    return in_force.generation if in_force else 0


async def status_of(balancer: EntryBalancer, path: str = '/ready') -> int:
    """Probe a balancer as the fabric would."""
    async with ClientSession() as session:
        url = f'http://{_LOOPBACK}:{balancer.readiness.port}{path}'
        async with session.get(url) as reply:
            return reply.status


async def metrics_of(balancer: EntryBalancer) -> list[str]:
    """Return the lines of a balancer's metrics."""
    async with ClientSession() as session:
        url = f'http://{_LOOPBACK}:{balancer.peers.port}/metrics'
        async with session.get(url) as reply:
            return (await reply.text()).splitlines()


class _Full(Admission):
    """Leave no room for anything."""

    def __init__(self, balancer: EntryBalancer) -> None:
        state = balancer.state
        super().__init__('dc-a', state.directory, state.peers, state.balance.meter)

    def update_limits(self, now: float) -> None:
        for pool in self._directory.pools_of('dc-a'):
            pool.limit = 0


class EntryDaemonTest(TestCase):
    """Run a balancer against stand-ins."""

    def test_a_flow_is_opened_while_the_store_goes_and_comes(self) -> None:
        """The path from a caller to an upstream, with an outage of the store in between."""
        self._with(self._open_flows)

    def test_a_fresh_host_takes_no_traffic_before_it_knows(self) -> None:
        """Symptom: callers are refused by a host that has just started.

        Sequence: a host starts while the store is down.
        Cause: being ready as soon as the sockets are bound.
        """
        self._with(self._start_in_the_dark)

    def test_bad_input_on_every_socket_stops_nothing(self) -> None:
        """Random bytes to the packet, peer and probe ports are counted and logged."""
        self._with(self._send_rubbish)

    def test_a_stop_refuses_probes_and_forwards_on(self) -> None:
        """Symptom: a planned stop drops packets that are under way.

        Sequence: SIGTERM; the fabric probes twice and sends on meanwhile.
        Cause: ending at once.
        """
        self._with(self._stop)

    def test_a_peer_tells_one_that_the_store_refuses(self) -> None:
        """Symptom: a restarted host is of no use while the store turns it away.

        Sequence: one host knows everything; another starts and can't read.
        Cause: a host that can learn only from the store.
        """
        self._with(self._learn_from_a_peer)

    def test_a_flow_that_finds_no_room_is_refused(self) -> None:
        """Symptom: callers wait for ever while upstreams are full.

        Sequence: there is no room; no packet comes that would let the balancer look again.
        Cause: ending waits only when something else happens.
        """
        self._with(self._refuse_for_want_of_room)

    def test_an_evacuation_is_followed_and_taken_back(self) -> None:
        """Symptom: an evacuated data centre gets new flows.

        Sequence: operators write an entry for the only data centre, and remove it.
        Cause: the entry is not read, or not by the process that runs.
        """
        self._with(self._evacuate)

    def test_another_incarnation_of_the_store_is_told(self) -> None:
        """The store came back from a copy: log and metrics say so."""
        self._with(self._hear_another_incarnation)

    def test_a_text_of_a_restored_store_is_taken(self) -> None:
        """A host left out what operators wrote after their store had come back from a copy.

        Its line said: text_older, generation 20, revision 16, in_force 18.
        """
        self._with(self._follow_a_restored_store)

    def test_metrics_are_served_beside_the_peers_questions(self) -> None:
        """Counters, gauges and the histogram of answers, in the usual text format."""
        self._with(self._read_metrics)

    def test_every_effect_has_a_handler(self) -> None:
        """Whatever the decisions ask for is carried out."""
        self._with(self._compare_effects)

    def _with(self, act: Callable[[Around], Awaitable[None]]) -> None:
        run(self._play(act))

    async def _play(self, act: Callable[[Around], Awaitable[None]]) -> None:
        async with Around() as around:
            await act(around)

    async def _open_flows(self, around: Around) -> None:
        around.put_upstream()
        around.put_text()
        balancer = around.start_balancer()
        await until(lambda: balancer.state.ready)
        self.assertEqual(200, await status_of(balancer))
        self.assertEqual(404, await status_of(balancer, '/elsewhere'))
        await around.send(opening_from(around.caller), balancer)
        opened = await around.taken(around.upstream)
        self.assertEqual(bytes.fromhex('000000000000002a'), opened[:8])
        self.assertNotEqual(bytes(4), opened[26:30])
        await around.store.switch(down=True)
        await until(lambda: balancer.state.is_lost)
        data = b''.join((opened[8:30], b'\x80', opened[31:]))
        await around.send(data, balancer)
        self.assertEqual(data, (await around.taken(around.upstream))[8:])
        around.put_text(2)
        await around.store.switch(down=False)
        await until(lambda: balancer.state.text is not None and balancer.state.text.generation == 2)
        await around.wait_for_events(
            {
                LogNumber.STARTED,
                LogNumber.READY,
                LogNumber.FLOW_PLACED,
                LogNumber.PLATFORM_LOST,
                LogNumber.PLATFORM_BACK,
            },
        )

    async def _start_in_the_dark(self, around: Around) -> None:
        around.put_upstream()
        around.put_text()
        await around.store.switch(down=True)
        balancer = around.start_balancer()
        await until(lambda: balancer.state.is_lost)
        self.assertEqual(503, await status_of(balancer))
        await around.store.switch(down=False)
        await until(lambda: balancer.state.ready)
        self.assertEqual(200, await status_of(balancer))

    async def _send_rubbish(self, around: Around) -> None:
        around.put_upstream()
        around.put_text()
        balancer = around.start_balancer()
        await until(lambda: balancer.state.ready)
        for port in (balancer.packets.port, balancer.peers.port):
            for raw in (b'', b'x', bytes(31), bytes(2000)):
                around.caller.sendto(raw, (_LOOPBACK, port))
        for port in (balancer.readiness.port, balancer.peers.port):
            await in_thread(_send_stream, port)
        await around.send(opening_from(around.caller), balancer)
        opened = await around.taken(around.upstream)
        self.assertEqual(bytes.fromhex('000000000000002a'), opened[:8])
        counts = balancer.packets.count_by_fate
        self.assertEqual(2, counts['truncated'])
        self.assertEqual(1, counts['wrong_length'])
        self.assertEqual(200, await status_of(balancer))

    async def _stop(self, around: Around) -> None:
        around.put_upstream()
        around.put_text()
        balancer = around.start_balancer()
        await until(lambda: balancer.state.ready)
        balancer.loop.call_at(0, lambda: balancer.take(StopAsked()))
        await until(lambda: balancer.state.stopping.asked)
        self.assertEqual(503, await status_of(balancer))
        await around.send(opening_from(around.caller), balancer)
        self.assertTrue(await around.taken(around.upstream))
        self.assertEqual(503, await status_of(balancer))
        await until(lambda: not balancer.loop.running)

    async def _learn_from_a_peer(self, around: Around) -> None:
        around.put_upstream()
        around.put_text()
        first = around.start_balancer()
        await until(lambda: first.state.ready)
        await around.store.switch(down=True)
        seed = f'{_LOOPBACK}:{first.peers.port}'
        second = around.start_balancer(name='edge-2', seeds=[seed])
        await until(lambda: second.state.ready)
        await around.send(opening_from(around.caller), second)
        self.assertTrue(await around.taken(around.upstream))

    async def _refuse_for_want_of_room(self, around: Around) -> None:
        around.put_upstream()
        around.put_text()
        balancer = around.start_balancer()
        await until(lambda: balancer.state.ready)
        balancer.loop.call_at(0, lambda: setattr(balancer.state, 'admission', _Full(balancer)))
        await until(lambda: isinstance(balancer.state.admission, _Full))
        await until(lambda: not balancer.state.directory.pools_of('dc-a')[0].has_room)
        await around.send(opening_from(around.caller), balancer)
        refusal = await around.taken(around.caller)
        self.assertEqual(_RESET, refusal[22])
        await around.wait_for_events({LogNumber.FLOW_REFUSED})
        metrics = await metrics_of(balancer)
        self.assertIn('bronzekeel_flows_refused_total{kind="portal"} 1', metrics)
        self.assertIn('bronzekeel_packets_total{kind="overloaded"} 1', metrics)
        self.assertIn('bronzekeel_requests_waiting{kind="portal"} 0', metrics)

    async def _evacuate(self, around: Around) -> None:
        around.put_text()
        around.put_upstream()
        balancer = around.start_balancer(link_mbps=100)
        await until(lambda: balancer.state.is_current(monotonic()))
        around.store.put_object(EVACUATIONS_KIND, 'dc-a', {})
        await around.store.tell()
        await around.wait_for_events({LogNumber.EVACUATED})
        await around.send(opening_from(around.caller), balancer)
        refused = await around.taken(around.caller)
        self.assertEqual(_RESET, refused[22])
        around.store.remove_object(EVACUATIONS_KIND, 'dc-a')
        await around.store.tell()
        await around.wait_for_events({LogNumber.TAKEN_BACK})
        await around.send(opening_from(around.caller), balancer)
        delivered = await around.taken(around.upstream)
        self.assertEqual(42, int.from_bytes(delivered[:8], 'big'))

    async def _hear_another_incarnation(self, around: Around) -> None:
        around.put_upstream()
        around.put_text()
        balancer = around.start_balancer()
        await until(lambda: balancer.state.is_current(monotonic()))
        self.assertIn('bronzekeel_state{kind="store_incarnation"} 1', await metrics_of(balancer))
        around.store.incarnation = 2
        around.put_text(2)
        await around.store.tell()
        await around.wait_for_events({LogNumber.STORE_RESTORED, LogNumber.TEXT_IN_FORCE})
        self.assertIn('bronzekeel_state{kind="store_incarnation"} 2', await metrics_of(balancer))

    async def _follow_a_restored_store(self, around: Around) -> None:
        around.put_upstream()
        around.put_text()
        balancer = around.start_balancer()
        await until(lambda: balancer.state.is_current(monotonic()))
        copy = copy_of(around.store)
        for version in (2, 3, 4):
            around.put_text(version)
        await around.store.tell()
        await until(lambda: _generation_of(balancer) == 4)
        await around.store.switch(down=True)
        restore(around.store, copy)
        await around.store.switch(down=False)
        for version in (4, 5):
            around.put_text(version)
        await around.store.tell()
        await until(lambda: _generation_of(balancer) == 5)
        await until(lambda: balancer.state.is_direct(monotonic()))

    async def _read_metrics(self, around: Around) -> None:
        around.put_upstream()
        around.put_text()
        balancer = around.start_balancer()
        await until(lambda: balancer.state.ready)
        await around.send(opening_from(around.caller), balancer)
        await around.taken(around.upstream)
        lines = await metrics_of(balancer)
        self.assertIn('bronzekeel_packets_total{kind="delivered"} 1', lines)
        self.assertIn('bronzekeel_state{kind="ready"} 1', lines)
        self.assertIn('bronzekeel_answer_seconds_bucket{le="+Inf"} 0', lines)

    async def _compare_effects(self, around: Around) -> None:
        balancer = around.start_balancer()
        self.assertEqual(set(Effect.__subclasses__()), balancer.handled_effects)


class HttpServerTest(TestCase):
    """Requests as they come over a network."""

    def test_a_target_that_comes_in_pieces_is_one(self) -> None:
        """Symptom: a peer is told "not found" for the path that it always asks for.

        Sequence: a request's first line is split over two segments.
        Cause: taking the last piece of the target for the whole.
        """
        loop = Loop()
        asked: list[str] = []
        server = HttpServer(
            loop, bound_stream((_LOOPBACK, 0)), lambda target: _noted(asked, target)
        )
        with socket() as stream:
            stream.connect((_LOOPBACK, server.port))
            loop.call_at(monotonic() + 0.05, lambda: stream.sendall(b'GET /vi'))
            loop.call_at(monotonic() + 0.15, lambda: stream.sendall(b'ew/1/2 HTTP/1.1\r\n\r\n'))
            loop.call_at(monotonic() + 0.3, loop.stop)
            loop.run()
        server.close()
        loop.close()
        self.assertEqual(['/view/1/2'], asked)


class HttpConnectionTest(TestCase):
    """Calls over one kept connection."""

    def test_a_newer_call_gives_up_the_one_before(self) -> None:
        """Symptom: a watch that was given up answers late, and is taken for the newer one.

        Sequence: the store says nothing to a watch; it is made anew.
        Cause: telling the outcome of a call that nobody waits for.
        """
        loop = Loop()
        told: list[str] = []
        with socket() as silent:
            silent.bind((_LOOPBACK, 0))
            silent.listen()
            connection = HttpConnection(loop, silent.getsockname())
            until_s = monotonic() + _PATIENCE_S
            for name in ('first', 'second'):
                connection.ask(_call_noted(name, until_s, told))
            self._answer_second(loop, silent, told)
        connection.close()
        loop.close()
        self.assertEqual(['second 200'], told)

    def _answer_second(self, loop: Loop, silent: socket, told: list[str]) -> None:
        """Answer each connection on which the second call comes."""

        def serve() -> None:  # noqa: WPS430 (runs in a thread of its own)
            while not told:
                accepted, _ = silent.accept()
                accepted.settimeout(_PATIENCE_S)
                if b'/second' in accepted.recv(4096):
                    accepted.sendall(b'HTTP/1.1 200 -\r\nContent-Length: 0\r\n\r\n')
                    return

        thread = Thread(target=serve)
        thread.start()
        give_up = loop.call_at(monotonic() + _PATIENCE_S, loop.stop)
        self._stop_when_told(loop, told)
        loop.run()
        give_up.cancel()
        thread.join()

    def _stop_when_told(self, loop: Loop, told: list[str]) -> None:
        if told:
            loop.stop()
            return
        loop.call_at(monotonic() + 0.01, lambda: self._stop_when_told(loop, told))


def _call_noted(name: str, until_s: float, told: list[str]) -> Call:
    """Return a call whose outcome goes to `told`."""
    return Call(
        f'/{name}',
        until_s,
        lambda reply: told.append(f'{name} {reply.status}'),
        lambda problem: told.append(f'{name} failed'),
    )


def _noted(asked: list[str], target: str) -> Answer:
    asked.append(target)
    return Answer(OK)


def _send_stream(port: int) -> None:
    """Send what is no HTTP to a port; the balancer closes the connection."""
    with socket() as stream:
        stream.settimeout(_PATIENCE_S)
        stream.connect((_LOOPBACK, port))
        stream.sendall(b'\x00\x01 no HTTP at all\r\n\r\n')
        stream.recv(64)


class LinesTest(TestCase):
    """Logs are bounded and never wait."""

    def test_lines_of_a_kind_are_bounded_and_counted(self) -> None:
        """Symptom: a burst of one event takes the processor from the packets.

        Sequence: a hundred refusals in one second.
        Cause: a line for each without a bound.
        """
        reading, writing = pipe()
        lines = LineLog('a1', writing)
        for _ in range(100):
            lines.write(LogNumber.FLOW_REFUSED, {}, 1)
        lines.write(LogNumber.READY, {}, 1)
        lines.write(LogNumber.FLOW_REFUSED, {}, 2.5)
        lines.flush()
        written = [
            decode_json(line) for line in read_bytes(reading, MAX_WAITING_BYTES).splitlines()
        ]
        self.assertEqual(LINES_PER_KIND + 2, len(written))
        self.assertEqual(100 - LINES_PER_KIND, written[-1]['left_out'])

    def test_a_reader_that_sleeps_does_not_block(self) -> None:
        """Symptom: a balancer stands still since nobody reads its logs.

        Sequence: the pipe is full.
        Cause: writing until all is written.
        """
        _, writing = pipe()
        lines = LineLog('a1', writing)
        for second in range(400):
            for _ in range(LINES_PER_KIND):
                lines.write(LogNumber.FLOW_PLACED, {'flow': 'x' * 100}, second * 2)
            lines.flush()
        self.assertLessEqual(lines.waiting_bytes, 2 * MAX_WAITING_BYTES)


class EntrySettingsTest(TestCase):
    """Settings are checked; a wrong one ends the start with its remedy."""

    def test_unknown_fields_are_left_alone(self) -> None:
        """A newer platform may add fields."""
        self.assertEqual('edge-1', EntrySettings(settings_for(1)).name)

    def test_wrong_fields_are_refused_with_their_place(self) -> None:
        """Each wrong field is named."""
        wrong = (
            ('packets', 'here:80'),
            ('packets', '10.0.0.1:99999'),
            ('store', 7),
            ('seeds', '10.0.0.1:80'),
            ('seeds', ['10.0.0:80']),
            ('stop_within_s', 0),
            ('stop_within_s', True),
            ('name', ''),
            ('steering', 'keepers'),
            ('weighs', 'speed'),
            ('weighs', None),
            ('readiness_path', None),
            ('region_by_data_centre', ['north']),
            ('cold_overage', 0.5),
            ('cold_slack', '5'),
            ('link_mbps', -1),
            ('link_mbps', True),
        )
        for name, found in wrong:
            with self.subTest(name=name, found=found), self.assertRaises(SettingsError) as caught:
                EntrySettings(settings_for(1, **{name: found}))
            self.assertIn(f'$.{name}', str(caught.exception))

    def test_files_that_cannot_be_read(self) -> None:
        """A missing file, no JSON and no object each have their remedy."""
        with TemporaryDirectory() as folder:
            path = f'{folder}/settings.json'
            for content, remedy in (
                ('{', 'as JSON'),
                ('[]', 'as one object'),
                ('{}', 'correct it'),
            ):
                with open(path, 'w', encoding='utf-8') as written:
                    written.write(content)
                with self.assertRaises(SettingsError) as caught:
                    read_entry_settings(path)
                self.assertIn(remedy, str(caught.exception))
            with self.assertRaises(SettingsError) as caught:
                read_entry_settings(f'{folder}/elsewhere.json')
            self.assertIn('name a readable file', str(caught.exception))
