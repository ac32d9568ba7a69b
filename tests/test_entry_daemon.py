"""Test one balancer over real sockets on loopback, with a stand-in for the store."""

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
from bronzekeel.entry.http_server import OK, Answer, HttpServer, bind_stream
from bronzekeel.entry.lines import MAX_LINES_PER_KIND, MAX_BUFFERED_BYTES, LineLog
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
    """Return the settings of a balancer on loopback, with one unknown field."""
    fields = {'stop_within_s': 2, 'a_field_of_a_later_version': True, **changed}
    name = fields.pop('name', 'edge-1')
    return loopback_settings(name, store_port, **fields)


def opening_from(caller: socket) -> bytes:
    """Return the opening packet of a flow from the socket `caller`."""
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


class BalancerFixture:
    """Balancers, each in a thread of its own, with a store, an upstream and a caller."""

    def __init__(self) -> None:
        """Open the sockets of upstream and caller, and a pipe for log lines."""
        self.store = PlatformStandIn()
        self.upstream = _udp()
        self.caller = _udp()
        self.balancers: list[EntryBalancer] = []
        read_end, write_end = pipe()
        self.read_end = read_end
        self._write_end = write_end
        self._threads: list[Thread] = []

    def start_balancer(self, **changed: Any) -> EntryBalancer:
        """Start a balancer in a thread; leaving the fixture stops it."""
        settings = EntrySettings(settings_for(self.store.port, **changed))
        packet_format = PlatformPackets(self.caller.getsockname()[1])
        balancer = EntryBalancer(settings, packet_format, PlatformStore(), self._write_end)
        balancer.start()
        thread = Thread(target=balancer.loop.run)
        thread.start()
        self.balancers.append(balancer)
        self._threads.append(thread)
        return balancer

    def put_upstream(self) -> None:
        """Write the entry of the upstream to the store."""
        self.store.put_upstream(42, 'portal', self.upstream.getsockname(), 'dc-a')

    def put_text(self, version: int = 1) -> None:
        """Write a text with a route to the service `portal` to the store."""
        self.store.put_text(version, {_SERVICE: 'portal'})

    async def send(self, raw: bytes, balancer: EntryBalancer) -> None:
        """Send a datagram to a balancer in place of the fabric."""
        self.caller.sendto(raw, (_LOOPBACK, balancer.packets.port))
        await sleep(0)

    async def receive(self, sock: socket) -> bytes:
        """Return the next datagram received on a socket."""
        return await in_thread(sock.recv, 4096)

    async def wait_for_events(self, expected: set[int]) -> None:
        """Wait until the log contains a line for each of these events.

        The balancer's state changes up to a tick before the log lines about it are written.
        """
        set_blocking(self.read_end, False)
        output = bytearray()

        def has_events() -> bool:  # noqa: WPS430 (collects the output)
            with suppress(BlockingIOError):
                output.extend(read_bytes(self.read_end, MAX_BUFFERED_BYTES))
            whole = output[: output.rfind(b'\n') + 1]
            events = {decode_json(line)['event'] for line in whole.splitlines()}
            return expected <= events

        await wait_until(has_events)

    async def __aenter__(self) -> Self:
        """Start the store."""
        await self.store.open()
        return self

    async def __aexit__(self, *exception: object) -> None:
        """Stop the balancers and close all sockets."""
        for balancer, thread in zip(self.balancers, self._threads, strict=True):
            balancer.loop.stop()
            await in_thread(thread.join)
            balancer.close()
        self.upstream.close()
        self.caller.close()
        await self.store.close()


def _udp() -> socket:
    sock = socket(AF_INET, SOCK_DGRAM)
    sock.bind((_LOOPBACK, 0))
    sock.settimeout(_PATIENCE_S)
    return sock


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until `condition` returns True; fail after `_PATIENCE_S`."""
    deadline_at = monotonic() + _PATIENCE_S
    while not condition():
        if monotonic() > deadline_at:
            raise AssertionError('the condition was not met in time')
        await sleep(0.02)


def _generation_of(balancer: EntryBalancer) -> int:
    """Return the generation of the text in force, zero if there is none."""
    in_force = balancer.state.text
    return in_force.generation if in_force else 0


async def status_of(balancer: EntryBalancer, path: str = '/ready') -> int:
    """Return the status of a readiness probe."""
    async with ClientSession() as session:
        url = f'http://{_LOOPBACK}:{balancer.readiness.port}{path}'
        async with session.get(url) as reply:
            return reply.status


async def metrics_of(balancer: EntryBalancer) -> list[str]:
    """Return the lines of the metrics page of a balancer."""
    async with ClientSession() as session:
        url = f'http://{_LOOPBACK}:{balancer.peers.port}/metrics'
        async with session.get(url) as reply:
            return (await reply.text()).splitlines()


class _NoCapacity(Admission):
    """Admission that sets the limit of each pool to zero."""

    def __init__(self, balancer: EntryBalancer) -> None:
        state = balancer.state
        super().__init__('dc-a', state.directory, state.peers, state.balance.meter)

    def update_limits(self, now: float) -> None:
        for pool in self._directory.pools_of('dc-a'):
            pool.limit = 0


class EntryDaemonTest(TestCase):
    """Run balancers against a stand-in for the store."""

    def test_flows_survive_a_store_outage(self) -> None:
        """A flow is opened, and continues during and after an outage of the store."""
        self._run_scenario(self._forward_through_store_outage)

    def test_a_host_without_a_view_is_not_ready(self) -> None:
        """Guards against refused callers on a host that starts while the store is down.

        It occurs if a balancer reports ready as soon as its sockets are bound.
        """
        self._run_scenario(self._start_without_store)

    def test_malformed_input_on_every_socket_is_survived(self) -> None:
        """Malformed input to the packet, peer and probe ports is counted; forwarding goes on."""
        self._run_scenario(self._send_malformed_input)

    def test_a_stopping_balancer_fails_probes_but_forwards(self) -> None:
        """Guards against packets lost in a planned stop.

        The fabric keeps sending until its probes have failed twice, so packets are lost if the
        process exits immediately after SIGTERM.
        """
        self._run_scenario(self._stop_gracefully)

    def test_a_host_without_store_learns_from_a_peer(self) -> None:
        """Guards against a restarted host that is not ready while the store is unavailable.

        It occurs if a host can get its view only from the store and not from a peer.
        """
        self._run_scenario(self._learn_from_peer)

    def test_a_flow_without_free_capacity_is_refused(self) -> None:
        """Guards against callers that wait forever while all upstreams are full.

        It occurs if waits are only ended when another packet arrives, and none does.
        """
        self._run_scenario(self._refuse_without_capacity)

    def test_an_evacuation_is_applied_and_ended(self) -> None:
        """Guards against new flows in an evacuated data centre.

        It occurs if the running process does not read the evacuation entry that operators write.
        Removing the entry ends the evacuation.
        """
        self._run_scenario(self._evacuate_and_restore)

    def test_another_incarnation_of_the_store_is_reported(self) -> None:
        """A store that was restored from a copy is reported in the log and in metrics."""
        self._run_scenario(self._change_incarnation)

    def test_a_text_of_a_restored_store_is_applied(self) -> None:
        """Guards against ignoring texts written after the store was restored from a copy.

        Such a text can have a lower revision than the one in force.  A host rejected one with the
        log line `text_older`, generation 20, revision 16, in_force 18.
        """
        self._run_scenario(self._follow_restored_store)

    def test_metrics_are_served_on_the_peer_port(self) -> None:
        """The page has counters, gauges and the histogram of answers in the Prometheus format."""
        self._run_scenario(self._read_metrics)

    def test_every_effect_has_a_handler(self) -> None:
        """The daemon handles each class of effect that the reducer can return."""
        self._run_scenario(self._compare_effects)

    def _run_scenario(self, scenario: Callable[[BalancerFixture], Awaitable[None]]) -> None:
        run(self._run_in_fixture(scenario))

    async def _run_in_fixture(self, scenario: Callable[[BalancerFixture], Awaitable[None]]) -> None:
        async with BalancerFixture() as fixture:
            await scenario(fixture)

    async def _forward_through_store_outage(self, fixture: BalancerFixture) -> None:
        fixture.put_upstream()
        fixture.put_text()
        balancer = fixture.start_balancer()
        await wait_until(lambda: balancer.state.ready)
        self.assertEqual(200, await status_of(balancer))
        self.assertEqual(404, await status_of(balancer, '/elsewhere'))
        await fixture.send(opening_from(fixture.caller), balancer)
        opened = await fixture.receive(fixture.upstream)
        self.assertEqual(bytes.fromhex('000000000000002a'), opened[:8])
        self.assertNotEqual(bytes(4), opened[26:30])
        await fixture.store.switch(down=True)
        await wait_until(lambda: balancer.state.is_lost)
        data = b''.join((opened[8:30], b'\x80', opened[31:]))
        await fixture.send(data, balancer)
        self.assertEqual(data, (await fixture.receive(fixture.upstream))[8:])
        fixture.put_text(2)
        await fixture.store.switch(down=False)
        await wait_until(
            lambda: balancer.state.text is not None and balancer.state.text.generation == 2
        )
        await fixture.wait_for_events(
            {
                LogNumber.STARTED,
                LogNumber.READY,
                LogNumber.FLOW_PLACED,
                LogNumber.PLATFORM_LOST,
                LogNumber.PLATFORM_BACK,
            },
        )

    async def _start_without_store(self, fixture: BalancerFixture) -> None:
        fixture.put_upstream()
        fixture.put_text()
        await fixture.store.switch(down=True)
        balancer = fixture.start_balancer()
        await wait_until(lambda: balancer.state.is_lost)
        self.assertEqual(503, await status_of(balancer))
        await fixture.store.switch(down=False)
        await wait_until(lambda: balancer.state.ready)
        self.assertEqual(200, await status_of(balancer))

    async def _send_malformed_input(self, fixture: BalancerFixture) -> None:
        fixture.put_upstream()
        fixture.put_text()
        balancer = fixture.start_balancer()
        await wait_until(lambda: balancer.state.ready)
        for port in (balancer.packets.port, balancer.peers.port):
            for raw in (b'', b'x', bytes(31), bytes(2000)):
                fixture.caller.sendto(raw, (_LOOPBACK, port))
        for port in (balancer.readiness.port, balancer.peers.port):
            await in_thread(_send_stream, port)
        await fixture.send(opening_from(fixture.caller), balancer)
        opened = await fixture.receive(fixture.upstream)
        self.assertEqual(bytes.fromhex('000000000000002a'), opened[:8])
        counts = balancer.packets.count_by_outcome
        self.assertEqual(2, counts['truncated'])
        self.assertEqual(1, counts['wrong_length'])
        self.assertEqual(200, await status_of(balancer))

    async def _stop_gracefully(self, fixture: BalancerFixture) -> None:
        fixture.put_upstream()
        fixture.put_text()
        balancer = fixture.start_balancer()
        await wait_until(lambda: balancer.state.ready)
        balancer.loop.call_at(0, lambda: balancer.handle(StopAsked()))
        await wait_until(lambda: balancer.state.stopping.is_requested)
        self.assertEqual(503, await status_of(balancer))
        await fixture.send(opening_from(fixture.caller), balancer)
        self.assertTrue(await fixture.receive(fixture.upstream))
        self.assertEqual(503, await status_of(balancer))
        await wait_until(lambda: not balancer.loop.running)

    async def _learn_from_peer(self, fixture: BalancerFixture) -> None:
        fixture.put_upstream()
        fixture.put_text()
        first = fixture.start_balancer()
        await wait_until(lambda: first.state.ready)
        await fixture.store.switch(down=True)
        seed = f'{_LOOPBACK}:{first.peers.port}'
        second = fixture.start_balancer(name='edge-2', seeds=[seed])
        await wait_until(lambda: second.state.ready)
        await fixture.send(opening_from(fixture.caller), second)
        self.assertTrue(await fixture.receive(fixture.upstream))

    async def _refuse_without_capacity(self, fixture: BalancerFixture) -> None:
        fixture.put_upstream()
        fixture.put_text()
        balancer = fixture.start_balancer()
        await wait_until(lambda: balancer.state.ready)
        balancer.loop.call_at(
            0, lambda: setattr(balancer.state, 'admission', _NoCapacity(balancer))
        )
        await wait_until(lambda: isinstance(balancer.state.admission, _NoCapacity))
        await wait_until(lambda: not balancer.state.directory.pools_of('dc-a')[0].has_free_capacity)
        await fixture.send(opening_from(fixture.caller), balancer)
        refusal = await fixture.receive(fixture.caller)
        self.assertEqual(_RESET, refusal[22])
        await fixture.wait_for_events({LogNumber.FLOW_REFUSED})
        metrics = await metrics_of(balancer)
        self.assertIn('bronzekeel_flows_refused_total{kind="portal"} 1', metrics)
        self.assertIn('bronzekeel_packets_total{kind="overloaded"} 1', metrics)
        self.assertIn('bronzekeel_requests_waiting{kind="portal"} 0', metrics)

    async def _evacuate_and_restore(self, fixture: BalancerFixture) -> None:
        fixture.put_text()
        fixture.put_upstream()
        balancer = fixture.start_balancer(link_mbps=100)
        await wait_until(lambda: balancer.state.is_current(monotonic()))
        fixture.store.put_object(EVACUATIONS_KIND, 'dc-a', {})
        await fixture.store.notify_watches()
        await fixture.wait_for_events({LogNumber.EVACUATED})
        await fixture.send(opening_from(fixture.caller), balancer)
        refused = await fixture.receive(fixture.caller)
        self.assertEqual(_RESET, refused[22])
        fixture.store.remove_object(EVACUATIONS_KIND, 'dc-a')
        await fixture.store.notify_watches()
        await fixture.wait_for_events({LogNumber.TAKEN_BACK})
        await fixture.send(opening_from(fixture.caller), balancer)
        delivered = await fixture.receive(fixture.upstream)
        self.assertEqual(42, int.from_bytes(delivered[:8], 'big'))

    async def _change_incarnation(self, fixture: BalancerFixture) -> None:
        fixture.put_upstream()
        fixture.put_text()
        balancer = fixture.start_balancer()
        await wait_until(lambda: balancer.state.is_current(monotonic()))
        self.assertIn('bronzekeel_state{kind="store_incarnation"} 1', await metrics_of(balancer))
        fixture.store.incarnation = 2
        fixture.put_text(2)
        await fixture.store.notify_watches()
        await fixture.wait_for_events({LogNumber.STORE_RESTORED, LogNumber.TEXT_IN_FORCE})
        self.assertIn('bronzekeel_state{kind="store_incarnation"} 2', await metrics_of(balancer))

    async def _follow_restored_store(self, fixture: BalancerFixture) -> None:
        fixture.put_upstream()
        fixture.put_text()
        balancer = fixture.start_balancer()
        await wait_until(lambda: balancer.state.is_current(monotonic()))
        copy = copy_of(fixture.store)
        for version in (2, 3, 4):
            fixture.put_text(version)
        await fixture.store.notify_watches()
        await wait_until(lambda: _generation_of(balancer) == 4)
        await fixture.store.switch(down=True)
        restore(fixture.store, copy)
        await fixture.store.switch(down=False)
        for version in (4, 5):
            fixture.put_text(version)
        await fixture.store.notify_watches()
        await wait_until(lambda: _generation_of(balancer) == 5)
        await wait_until(lambda: balancer.state.is_direct(monotonic()))

    async def _read_metrics(self, fixture: BalancerFixture) -> None:
        fixture.put_upstream()
        fixture.put_text()
        balancer = fixture.start_balancer()
        await wait_until(lambda: balancer.state.ready)
        await fixture.send(opening_from(fixture.caller), balancer)
        await fixture.receive(fixture.upstream)
        lines = await metrics_of(balancer)
        self.assertIn('bronzekeel_packets_total{kind="delivered"} 1', lines)
        self.assertIn('bronzekeel_state{kind="ready"} 1', lines)
        self.assertIn('bronzekeel_answer_seconds_bucket{le="+Inf"} 0', lines)

    async def _compare_effects(self, fixture: BalancerFixture) -> None:
        balancer = fixture.start_balancer()
        self.assertEqual(set(Effect.__subclasses__()), balancer.handled_effects)


class HttpServerTest(TestCase):
    """Requests that arrive in several segments."""

    def test_a_target_in_several_segments_is_joined(self) -> None:
        """Guards against "not found" responses to valid targets.

        It occurs if a request line is split over two segments and only the last part of the target
        is used.
        """
        loop = Loop()
        targets: list[str] = []
        server = HttpServer(
            loop, bind_stream((_LOOPBACK, 0)), lambda target: _record_target(targets, target)
        )
        with socket() as stream:
            stream.connect((_LOOPBACK, server.port))
            loop.call_at(monotonic() + 0.05, lambda: stream.sendall(b'GET /vi'))
            loop.call_at(monotonic() + 0.15, lambda: stream.sendall(b'ew/1/2 HTTP/1.1\r\n\r\n'))
            loop.call_at(monotonic() + 0.3, loop.stop)
            loop.run()
        server.close()
        loop.close()
        self.assertEqual(['/view/1/2'], targets)


class HttpConnectionTest(TestCase):
    """Calls over a persistent connection."""

    def test_a_new_call_cancels_the_previous_one(self) -> None:
        """Guards against taking the late response to a cancelled watch for that of a newer one.

        It occurs if a watch that got no response is replaced by a new one and the outcome of the
        cancelled call is still reported.
        """
        loop = Loop()
        outcomes: list[str] = []
        with socket() as listener:
            listener.bind((_LOOPBACK, 0))
            listener.listen()
            connection = HttpConnection(loop, listener.getsockname())
            deadline_at = monotonic() + _PATIENCE_S
            for name in ('first', 'second'):
                connection.start_call(_recording_call(name, deadline_at, outcomes))
            self._answer_second(loop, listener, outcomes)
        connection.close()
        loop.close()
        self.assertEqual(['second 200'], outcomes)

    def _answer_second(self, loop: Loop, listener: socket, outcomes: list[str]) -> None:
        """Accept connections and answer the second call; the first one gets no response."""

        def serve() -> None:  # noqa: WPS430 (runs in its own thread)
            while not outcomes:
                accepted, _ = listener.accept()
                accepted.settimeout(_PATIENCE_S)
                if b'/second' in accepted.recv(4096):
                    accepted.sendall(b'HTTP/1.1 200 -\r\nContent-Length: 0\r\n\r\n')
                    return

        thread = Thread(target=serve)
        thread.start()
        timeout = loop.call_at(monotonic() + _PATIENCE_S, loop.stop)
        self._stop_on_outcome(loop, outcomes)
        loop.run()
        timeout.cancel()
        thread.join()

    def _stop_on_outcome(self, loop: Loop, outcomes: list[str]) -> None:
        if outcomes:
            loop.stop()
            return
        loop.call_at(monotonic() + 0.01, lambda: self._stop_on_outcome(loop, outcomes))


def _recording_call(name: str, deadline_at: float, outcomes: list[str]) -> Call:
    """Return a call that appends its outcome to `outcomes`."""
    return Call(
        f'/{name}',
        deadline_at,
        lambda reply: outcomes.append(f'{name} {reply.status}'),
        lambda problem: outcomes.append(f'{name} failed'),
    )


def _record_target(targets: list[str], target: str) -> Answer:
    targets.append(target)
    return Answer(OK)


def _send_stream(port: int) -> None:
    """Send bytes that are not HTTP to a port, and wait until the connection is closed."""
    with socket() as stream:
        stream.settimeout(_PATIENCE_S)
        stream.connect((_LOOPBACK, port))
        stream.sendall(b'\x00\x01 no HTTP at all\r\n\r\n')
        stream.recv(64)


class LinesTest(TestCase):
    """The log is rate-limited and does not block."""

    def test_lines_of_a_kind_are_rate_limited_and_counted(self) -> None:
        """Guards against a burst of one event taking processor time from packets.

        It occurs if each of 100 refusals in one second is logged without a limit.
        """
        read_end, write_end = pipe()
        lines = LineLog('a1', write_end)
        for _ in range(100):
            lines.write(LogNumber.FLOW_REFUSED, {}, 1)
        lines.write(LogNumber.READY, {}, 1)
        lines.write(LogNumber.FLOW_REFUSED, {}, 2.5)
        lines.flush()
        output = [
            decode_json(line) for line in read_bytes(read_end, MAX_BUFFERED_BYTES).splitlines()
        ]
        self.assertEqual(MAX_LINES_PER_KIND + 2, len(output))
        self.assertEqual(100 - MAX_LINES_PER_KIND, output[-1]['left_out'])

    def test_a_full_pipe_does_not_block(self) -> None:
        """Guards against a balancer that blocks because nobody reads its log.

        It occurs if a write to a full pipe waits until all bytes are written.
        """
        _, write_end = pipe()
        lines = LineLog('a1', write_end)
        for second in range(400):
            for _ in range(MAX_LINES_PER_KIND):
                lines.write(LogNumber.FLOW_PLACED, {'flow': 'x' * 100}, second * 2)
            lines.flush()
        self.assertLessEqual(lines.buffered_bytes, 2 * MAX_BUFFERED_BYTES)


class EntrySettingsTest(TestCase):
    """Settings are validated; an error names the field or the remedy."""

    def test_unknown_fields_are_ignored(self) -> None:
        """A newer platform may add fields, which must not prevent a start."""
        self.assertEqual('edge-1', EntrySettings(settings_for(1)).name)

    def test_invalid_fields_are_named(self) -> None:
        """The error message contains the path of the invalid field."""
        invalid = (
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
        for name, bad in invalid:
            with self.subTest(name=name, bad=bad), self.assertRaises(SettingsError) as caught:
                EntrySettings(settings_for(1, **{name: bad}))
            self.assertIn(f'$.{name}', str(caught.exception))

    def test_unreadable_files_are_reported(self) -> None:
        """A missing file, invalid JSON and a non-object each have a remedy in the message."""
        with TemporaryDirectory() as folder:
            path = f'{folder}/settings.json'
            for content, remedy in (
                ('{', 'as JSON'),
                ('[]', 'as one object'),
                ('{}', 'correct it'),
            ):
                with open(path, 'w', encoding='utf-8') as output:
                    output.write(content)
                with self.assertRaises(SettingsError) as caught:
                    read_entry_settings(path)
                self.assertIn(remedy, str(caught.exception))
            with self.assertRaises(SettingsError) as caught:
                read_entry_settings(f'{folder}/elsewhere.json')
            self.assertIn('name a readable file', str(caught.exception))
