"""Test the translation of the platform's formats, and that malformed input does no harm."""

from json import dumps as encode_json
from pathlib import Path
from types import MappingProxyType
from typing import Any
from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from bronzekeel.core.routing.effects import ReadPage, WatchChanges
from bronzekeel.core.routing.events import (
    CallFailed,
    ChangesRead,
    Evacuation,
    Event,
    HistoryLost,
    PageRead,
    Unreadable,
)
from bronzekeel.core.routing.messages import (
    Allowance,
    Evacuated,
    FlowShare,
    Heartbeat,
    KnownVersions,
    MissingEntry,
    PeerAddress,
    View,
)
from bronzekeel.core.routing.model import FlowPacket, RoutingText, Upstream, UpstreamEntry
from bronzekeel.core.routing.peer_exchange import view_since
from bronzekeel.core.routing.revisions import incarnation_of, revision_of, text_order_of
from bronzekeel.entry.peer_messages import (
    MessageError,
    decode_heartbeat,
    decode_view,
    encode_heartbeat,
    encode_view,
    compress_body,
    decompress_body,
)
from bronzekeel.platform.objects import PlatformStore
from bronzekeel.platform.packets import PlatformPackets
from tests.routing_cases import INTAKE_KEY, PORTAL_KEY, entry, ready_state, route, text


_DERANDOMIZED = settings(derandomize=True, database=None, deadline=None, max_examples=300)
_OPENING = bytes.fromhex(
    '0000 a1b2c3d5 c6120001 9c41 01bb 64400007 00000000 01 11223344 00000000',
)
_RESET = bytes.fromhex(
    '0000 00000000 64400007 01bb 9c41 c6120001 00000000 40 00000000 00000000',
)
_SOURCES = Path(__file__).parent.parent / 'src' / 'bronzekeel'
_CALLER_PORT = 8172
_FORMAT = PlatformPackets(_CALLER_PORT)
_STORE = PlatformStore()
_SERVER = MappingProxyType(
    {
        'service': 'huvo',
        'address': '10.128.0.9:8080',
        'zone': 'rs-hal-a',
        'version': 'v1',
        'capacity': 3,
        'state': 'ready',
        'warmupLeftMs': 1500,
        'sequence': 4,
    }
)
_ROUTE = MappingProxyType(
    {
        'name': 'r-1',
        'host': '198.18.0.1',
        'pathPrefix': '/8443/',
        'type': 'idempotent',
        'timeoutMs': 2000,
        'sloMs': 200,
        'priority': 2,
        'service': 'huvo',
        'maxAttempts': 2,
    }
)
_ANYTHING = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=8,
)


def opened() -> FlowPacket:
    """Return the opening packet of the specification's example, decoded."""
    packet = _FORMAT.read(_OPENING)
    if isinstance(packet, str):
        raise AssertionError(packet)
    return packet


def stored(name: str, spec: Any, revision: int = 9) -> dict[str, Any]:
    """Return an object as the store sends it."""
    meta = {'name': name, 'revision': revision, 'createRevision': 1, 'finalizers': []}
    plain = dict(spec) if isinstance(spec, MappingProxyType) else spec
    return {'meta': meta, 'spec': plain, 'status': None}


def incarnation_of_event(event: Event) -> int | None:
    """Return the incarnation of the store that an event states, None if it states none."""
    if isinstance(event, HistoryLost):
        return event.incarnation
    if isinstance(event, PageRead | ChangesRead):
        return incarnation_of(event.revision)
    return None


def read_page(collection: str, *items: dict[str, Any], more: bool = False) -> Event:
    """Return the event for a page with these items."""
    body = {'items': items, 'hasMore': more, 'storeRevision': 530}
    return _STORE.read_page(collection, 200, encode_json(body).encode())


class PacketTest(TestCase):
    """Packets match the example of the platform's specification."""

    def test_the_example_is_read(self) -> None:
        """Each field of the example is at the specified offset."""
        packet = opened()
        self.assertTrue(packet.opens)
        self.assertEqual(0, packet.copy)
        self.assertEqual(0x11223344, packet.sequence)
        self.assertEqual(bytes.fromhex('c612000101bb'), packet.route)
        self.assertEqual(bytes.fromhex('644000079c41c612000101bb'), packet.flow)

    def test_the_example_is_reset(self) -> None:
        """A reset equals the example byte for byte and goes to the callers' port."""
        raw, address = _FORMAT.reset(opened())
        self.assertEqual(_RESET, raw)
        self.assertEqual(('100.64.0.7', _CALLER_PORT), address)

    def test_a_reset_is_within_the_caller_s_window(self) -> None:
        """A caller accepts a reset only near the sequence that it has acknowledged."""
        confirmed = (5000).to_bytes(4, 'big')
        packet = _FORMAT.read(b''.join((_OPENING[:22], b'\x80', _OPENING[23:27], confirmed)))
        if isinstance(packet, str):
            self.fail(packet)
        raw, _ = _FORMAT.reset(packet)
        self.assertEqual(confirmed, raw[23:27])

    def test_a_delivery_names_its_upstream(self) -> None:
        """Guards against an upstream that accepts packets meant for another.

        An address may be reused while packets are in flight, so each datagram to an upstream
        starts with the upstream's number.
        """
        upstream = Upstream(entry(0x7F3A91C2), 0)
        raw, address = _FORMAT.delivery(opened(), upstream, 0x11020304)
        self.assertEqual(upstream.entry.address, address)
        self.assertEqual(bytes.fromhex('000000007f3a91c2'), raw[:8])
        self.assertEqual(bytes.fromhex('11020304'), raw[8 + 18 : 8 + 22])
        self.assertEqual(_OPENING[:18], raw[8:26])
        self.assertEqual(_OPENING[22:], raw[30:])

    def test_packets_of_open_flows_are_not_changed(self) -> None:
        """Without a new connection id, the packet is forwarded unchanged."""
        raw, _ = _FORMAT.delivery(opened(), Upstream(entry(1), 0), 0)
        self.assertEqual(_OPENING, raw[8:])

    @_DERANDOMIZED
    @given(st.binary(max_size=1300))
    def test_random_bytes_have_a_fault_or_a_flow(self, raw: bytes) -> None:
        """Random bytes yield a packet or the name of a fault; nothing raises."""
        self.assertIsInstance(_FORMAT.read(raw), (FlowPacket, str))

    @_DERANDOMIZED
    @given(st.integers(0, len(_OPENING) - 1))
    def test_truncated_packets_are_faults(self, length: int) -> None:
        """A packet shorter than its header is reported as truncated."""
        self.assertEqual('truncated', _FORMAT.read(_OPENING[:length]))

    def test_oversized_and_forged_packets_are_faults(self) -> None:
        """Wrong lengths are refused, and so are flags that only an upstream sends."""
        self.assertEqual('wrong_length', _FORMAT.read(b''.join((_OPENING, b'x'))))
        large = b''.join(((1201).to_bytes(2, 'big'), _OPENING[2:], bytes(1201)))
        self.assertEqual('wrong_length', _FORMAT.read(large))
        answer = bytearray(_OPENING)
        answer[22] = 129
        self.assertEqual('not_from_caller', _FORMAT.read(bytes(answer)))


class StoreTest(TestCase):
    """Responses and objects of the store are parsed."""

    def test_a_server_is_an_upstream(self) -> None:
        """A server's fields are translated to those of an upstream entry."""
        event = read_page('upstreams', stored('i-7f3a91c2', _SERVER))
        if not isinstance(event, PageRead):
            self.fail(event)
        found = event.objects[0].content
        if not isinstance(found, UpstreamEntry):
            self.fail(found)
        self.assertEqual(0x7F3A91C2, found.number)
        self.assertEqual(('10.128.0.9', 8080), found.address)
        self.assertEqual(1.5, found.cold_s)
        self.assertEqual((3, 'rs-hal-a', 9), (found.slots, found.data_centre, found.revision))
        self.assertFalse(found.draining)

    def test_routes_are_addresses_and_ports(self) -> None:
        """The key of a route is its IP address and the port between slashes."""
        split = {**_ROUTE, 'host': '198.18.0.2'}
        split.pop('service')
        split['backends'] = [{'service': 'a', 'weight': 9}, {'service': 'b', 'weight': 1}]
        spec = {'version': 7, 'routes': [dict(_ROUTE), split], 'limits': {'idleTimeoutMs': 12000}}
        event = read_page('text', stored('main', spec))
        if not isinstance(event, PageRead):
            self.fail(event)
        found = event.objects[0].content
        if not isinstance(found, RoutingText):
            self.fail(found)
        self.assertEqual((7, 9, 12), (found.generation, found.revision, found.idle_s))
        first = found.route_by_key[bytes.fromhex('c612000120fb')]
        self.assertEqual((2, 2), (first.priority, first.timeout_s))
        self.assertEqual(['huvo'], [share.service for share in first.shares])
        second = found.route_by_key[bytes.fromhex('c612000220fb')]
        self.assertEqual([9, 1], [share.weight for share in second.shares])

    def test_cold_rates_and_allowed_regions_are_read(self) -> None:
        """A rate of zero counts as none; a route without regions is allowed in all of them."""
        homes = {**_ROUTE, 'host': '198.18.0.2', 'allowedRegions': ['north', 'south']}
        services = [
            {'name': 'huvo', 'warmupS': 2.0, 'warmupPerS': 7.5},
            {'name': 'wuno', 'warmupS': 2.0, 'warmupPerS': 0},
        ]
        spec = {'version': 7, 'routes': [dict(_ROUTE), homes], 'services': services}
        event = read_page('text', stored('main', spec))
        found = event.objects[0].content if isinstance(event, PageRead) else None
        if not isinstance(found, RoutingText):
            self.fail(found)
        self.assertEqual({'huvo': 7.5}, found.cold_rate_by_service)
        by_key = found.route_by_key
        self.assertEqual({'north', 'south'}, by_key[bytes.fromhex('c612000220fb')].homes)
        self.assertFalse(by_key[bytes.fromhex('c612000120fb')].homes)

    def test_an_evacuation_is_named_by_its_object(self) -> None:
        """Its spec is ignored; an evacuation that was removed has no content."""
        for spec in ({}, None, [], 'by whom'):
            event = read_page('evacuations', stored('rs-hal-a', spec))
            if not isinstance(event, PageRead):
                self.fail(event)
            self.assertEqual('rs-hal-a', event.objects[0].name)
            self.assertIsInstance(event.objects[0].content, Evacuation)
        body = {
            'events': [{'object': stored('rs-hal-a', {}, 10), 'tombstone': True}],
            'storeRevision': 10,
        }
        changes = _STORE.read_changes('evacuations', 200, encode_json(body).encode())
        if not isinstance(changes, ChangesRead):
            self.fail(changes)
        self.assertIsNone(changes.objects[0].content)

    def test_malformed_objects_are_marked_one_by_one(self) -> None:
        """A malformed object does not hide a valid one on the same page."""
        bad = stored('i-1', {**_SERVER, 'address': 'nowhere'})
        event = read_page('upstreams', bad, stored('i-2', _SERVER))
        if not isinstance(event, PageRead):
            self.fail(event)
        kinds = [type(item.content) for item in event.objects]
        self.assertEqual([Unreadable, UpstreamEntry], kinds)

    def test_error_responses_are_failures(self) -> None:
        """Error statuses and malformed bodies are failed calls; 410 is a lost history."""
        for status, body in ((503, b''), (429, b''), (200, b'{'), (200, b'[]'), (200, b'{}')):
            self.assertIsInstance(_STORE.read_page('text', status, body), CallFailed)
            self.assertIsInstance(_STORE.read_changes('text', status, body), CallFailed)
        self.assertIsInstance(_STORE.read_changes('text', 410, b''), HistoryLost)

    def test_the_incarnation_of_the_store_is_read(self) -> None:
        """The header states the store's incarnation; without it the incarnation is zero."""
        marked = {'content-type': 'application/json', 'store-era': '7'}
        page_body = b'{"items": [], "hasMore": false, "storeRevision": 530}'
        changes_body = b'{"events": [], "storeRevision": 530}'
        for headers, incarnation in ((marked, 7), ({}, 0)):
            events = (
                _STORE.read_page('text', 200, page_body, headers),
                _STORE.read_changes('text', 200, changes_body, headers),
                _STORE.read_changes('text', 410, b'', headers),
            )
            for event in events:
                self.assertEqual(incarnation, incarnation_of_event(event), event)

    def test_an_unreadable_incarnation_fails_the_call(self) -> None:
        """A response with an invalid incarnation header is not used."""
        page_body = b'{"items": [], "hasMore": false, "storeRevision": 530}'
        changes_body = b'{"events": [], "storeRevision": 530}'
        for header in ('', '-1', '1.5', 'seven', '\u0663', '9' * 5000):
            headers = {'store-era': header}
            self.assertIsInstance(_STORE.read_page('text', 200, page_body, headers), CallFailed)
            changes = _STORE.read_changes('text', 200, changes_body, headers)
            self.assertIsInstance(changes, CallFailed)
            self.assertIsInstance(_STORE.read_changes('text', 410, b'', headers), CallFailed)

    def test_changes_and_removals(self) -> None:
        """A removal is an object without content."""
        body = {
            'events': [
                {'object': stored('i-2', _SERVER), 'tombstone': False},
                {'object': stored('i-2', _SERVER, 10), 'tombstone': True},
            ],
            'storeRevision': 10,
        }
        event = _STORE.read_changes('upstreams', 200, encode_json(body).encode())
        if not isinstance(event, ChangesRead):
            self.fail(event)
        self.assertIsNone(event.objects[1].content)
        self.assertEqual(10, event.revision)

    @_DERANDOMIZED
    @given(_ANYTHING)
    def test_any_spec_is_read_or_marked(self, spec: Any) -> None:
        """Reading an object with an arbitrary spec raises nothing."""
        for collection, name in (('text', 'main'), ('upstreams', 'i-3'), ('evacuations', 'x')):
            self.assertIsInstance(read_page(collection, stored(name, spec)), PageRead)

    @_DERANDOMIZED
    @given(_ANYTHING)
    def test_any_answer_is_read_or_failed(self, answer: Any) -> None:
        """Reading an arbitrary response body raises nothing."""
        body = encode_json(answer).encode()
        self.assertIsInstance(_STORE.read_page('text', 200, body), Event)
        self.assertIsInstance(_STORE.read_changes('upstreams', 200, body), Event)

    def test_targets(self) -> None:
        """Targets match the platform's specification; names are percent-encoded."""
        self.assertEqual(
            '/v1/objects/servers?watch=530&waitMs=20000',
            _STORE.watch_target(WatchChanges('upstreams', 530, 20)),
        )
        self.assertEqual('/v1/objects/config', _STORE.page_target(ReadPage('text', '')))
        self.assertEqual(
            '/v1/objects/servers?after=%69%2d%31',
            _STORE.page_target(ReadPage('upstreams', 'i-1')),
        )
        self.assertEqual(
            '/v1/objects/servers?watch=530&waitMs=20000&serializable=1',
            _STORE.watch_target(WatchChanges('upstreams', 530, 20, stale=True)),
        )
        self.assertEqual(
            '/v1/objects/servers?serializable=1',
            _STORE.page_target(ReadPage('upstreams', '', stale=True)),
        )


class PeerMessageTest(TestCase):
    """Messages between peers are encoded and decoded."""

    def test_messages_round_trip(self) -> None:
        """A heartbeat and a view are unchanged by encoding and decoding."""
        me = PeerAddress('a1', 'dc-a', ('10.1.0.1', 9))
        heartbeat = Heartbeat(me, 7, 8, {3: 2}, (me,), direct=True, stopping=True)
        back = decode_heartbeat(encode_heartbeat(heartbeat))
        self.assertEqual(
            (7, 8, {3: 2}), (back.text_order, back.upstreams_revision, back.busy_by_number)
        )
        self.assertEqual((True, False, True), (back.direct, back.lost, back.stopping))
        self.assertIsNone(back.shares)
        state = ready_state(entry(1), entry(2))
        state.directory.note_removed(entry(2).name, 40, 0)
        view = decode_view(encode_view(view_since(state, KnownVersions(0, 0, 0), 0)))
        self.assertEqual([entry(1).address], [listed.address for listed in view.entries])
        self.assertEqual(
            [(entry(2).name, 40)], [(gone.entry.name, gone.revision) for gone in view.missing]
        )
        if view.text is None:
            self.fail('no text')
        self.assertEqual(state.text_revision, view.text.revision)

    def test_revisions_round_trip_with_their_incarnation(self) -> None:
        """Texts, entries and evacuations keep their order when they are sent between hosts."""
        me = PeerAddress('a1', 'dc-a', ('10.1.0.1', 9))
        sent_heartbeat = Heartbeat(
            me,
            text_order_of(17, revision_of(2, 14)),
            revision_of(2, 15),
            {},
            evacuated=Evacuated(revision_of(2, 16), frozenset(('dc-b',))),
        )
        back = decode_heartbeat(encode_heartbeat(sent_heartbeat))
        self.assertEqual(sent_heartbeat.text_order, back.text_order)
        self.assertEqual(sent_heartbeat.upstreams_revision, back.upstreams_revision)
        self.assertEqual(sent_heartbeat.evacuated.as_of, back.evacuated.as_of)
        entries = [entry(1, revision=revision_of(3, 1))]
        missing = [MissingEntry(entry(2), revision_of(3, 2), 1, left=False)]
        sent = View(text(revision_of(3, 4)), revision_of(3, 5), entries, missing, revision_of(3, 6))
        view = decode_view(encode_view(sent))
        self.assertEqual(text(revision_of(3, 4)).order, view.text.order if view.text else 0)
        self.assertEqual(sent.text_followed, view.text_followed)
        self.assertEqual(sent.upstreams_followed, view.upstreams_followed)
        self.assertEqual(entries[0].revision, view.entries[0].revision)
        self.assertEqual(missing[0].revision, view.missing[0].revision)

    def test_rates_and_shares_round_trip(self) -> None:
        """Request rates by service, and shares of flows by data centre, are unchanged."""
        me = PeerAddress('a1', 'dc-a', ('10.1.0.1', 9))
        shares = (FlowShare('portal', 'dc-b', 0.25),)
        back = decode_heartbeat(
            encode_heartbeat(Heartbeat(me, 7, 8, {}, (), {'portal': 12}, shares))
        )
        self.assertEqual({'portal': 12}, back.rate_by_service)
        received = [(share.service, share.data_centre, share.share) for share in back.shares or ()]
        self.assertEqual([('portal', 'dc-b', 0.25)], received)

    def test_loads_and_allowances_round_trip(self) -> None:
        """Loads by service, and allowances by data centre, are unchanged."""
        me = PeerAddress('a1', 'dc-a', ('10.1.0.1', 9))
        allowances = (Allowance('portal', 'dc-b', 2.5),)
        sent = Heartbeat(me, 7, 8, {}, load_by_service={'portal': 1.25}, allowances=allowances)
        back = decode_heartbeat(encode_heartbeat(sent))
        self.assertEqual({'portal': 1.25}, back.load_by_service)
        received = [
            (item.service, item.data_centre, item.requests) for item in back.allowances or ()
        ]
        self.assertEqual([('portal', 'dc-b', 2.5)], received)
        self.assertIsNone(decode_heartbeat(encode_heartbeat(Heartbeat(me, 7, 8, {}))).allowances)

    def test_route_priority_round_trips(self) -> None:
        """Guards against a restarted balancer that serves low-priority feeds first.

        It gets the text from a peer instead of the store, so a view has to include the priority
        and the timeout of each route as well as its services.
        """
        routes = (route(PORTAL_KEY, 'portal', 1, 0.8), route(INTAKE_KEY, 'portal', 2, 3))
        back = decode_view(encode_view(View(text(1, *routes), 1, [], [], 1))).text
        if back is None:
            self.fail('no text')
        for sent in routes:
            received = back.route_by_key[sent.key]
            self.assertEqual(
                (sent.priority, sent.timeout_s), (received.priority, received.timeout_s)
            )

    def test_invalid_numbers_are_refused(self) -> None:
        """Guards against a balancer that logs an error at each tick and computes no shares.

        This happens when a rate or a share from a peer is NaN, infinite, negative or no number,
        and whatever parses as a float is accepted.
        """
        me = PeerAddress('a1', 'dc-a', ('10.1.0.1', 9))
        for figure in ('NaN', 'Infinity', '-1', '"x"'):
            for sent in (
                Heartbeat(me, 7, 8, {}, (), {'portal': 77}),
                Heartbeat(me, 7, 8, {}, (), {}, (FlowShare('portal', 'dc-b', 77),)),
                Heartbeat(me, 7, 8, {}, load_by_service={'portal': 77}),
                Heartbeat(me, 7, 8, {}, allowances=(Allowance('portal', 'dc-b', 77),)),
            ):
                raw = encode_heartbeat(sent).replace(b'77', figure.encode())
                with self.subTest(figure=figure), self.assertRaises(MessageError):
                    decode_heartbeat(raw)

    def test_large_text_is_encoded_compactly(self) -> None:
        """Guards against a data centre of thirty hosts that takes seconds to spread a text.

        With one object per route, a text of two thousand routes to two services is too large for
        links of 10 Mbit/s.
        """
        routes = [
            route(number.to_bytes(6, 'big'), f'service-{number % 2}') for number in range(2000)
        ]
        body = encode_view(View(text(1, *routes), 1, [], [], 1))
        self.assertLess(len(body), 2000 * 13)
        back = decode_view(body).text
        if back is None:
            self.fail('no text')
        self.assertEqual({item.key for item in routes}, set(back.route_by_key))

    def test_many_upstreams_are_encoded_compactly(self) -> None:
        """Guards against hosts that start together and get no view from their neighbours.

        Forty hosts request three thousand upstreams from two others over links of 20 Mbit/s.  With
        a name for each field of each entry, two views take longer than the requester waits.
        """
        entries = [entry(number, revision=number + 1) for number in range(1, 3001)]
        for number, listed in enumerate(entries):
            listed.address = (f'10.0.{number >> 8}.{number & 255}', 80)
        body = encode_view(View(None, 1, entries, [], 1))
        sent = compress_body(body)
        self.assertLess(len(sent), 3000 * 25)
        self.assertEqual(body, decompress_body(sent))
        back = decode_view(body).entries
        self.assertEqual([item.address for item in entries], [item.address for item in back])

    @_DERANDOMIZED
    @given(st.binary(max_size=200))
    def test_what_was_not_packed_is_a_fault(self, raw: bytes) -> None:
        """Bytes that are not compressed, and a truncated body, raise MessageError."""
        with self.assertRaises(MessageError):
            decompress_body(raw)
        with self.assertRaises(MessageError):
            decompress_body(compress_body(raw)[:-1])

    def test_decompression_bomb_is_refused(self) -> None:
        """A few compressed bytes may expand to gigabytes."""
        with self.assertRaises(MessageError):
            decompress_body(compress_body(bytes(20_000_000)))

    @_DERANDOMIZED
    @given(st.binary(max_size=100) | _ANYTHING.map(lambda made: encode_json(made).encode()))
    def test_anything_else_is_one_kind_of_fault(self, raw: bytes) -> None:
        """Bytes that are not a message raise MessageError, which is counted."""
        for decode in (decode_heartbeat, decode_view):
            with self.assertRaises(MessageError):
                decode(raw)


class PlatformNamesTest(TestCase):
    """Only the adapter uses the platform's names."""

    def test_no_name_of_the_platform_outside_its_folder(self) -> None:
        """Names from the platform's specification appear only in the adapter's folder."""
        names = (
            'warmupLeftMs',
            'storeRevision',
            'pathPrefix',
            'datagramAddr',
            'portRange',
            'hasMore',
            'tombstone',
            'idleTimeoutMs',
            'BRONZEKEEL_NODE_FILE',
        )
        leaks = [
            (path.name, name)
            for path in _SOURCES.rglob('*.py')
            if path.parent.name != 'platform'
            for name in names
            if name in path.read_text(encoding='utf-8')
        ]
        self.assertEqual([], leaks)
