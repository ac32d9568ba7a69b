"""Test that unreadable objects of other writers affect nothing else."""

from collections.abc import Mapping
from json import dumps as encode_json
from types import MappingProxyType
from typing import Any
from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from bronzekeel.core.log_numbers import LogNumber
from bronzekeel.core.routing.effects import WriteLine
from bronzekeel.core.routing.events import (
    ChangesRead,
    Event,
    PageRead,
    StoredObject,
    Unreadable,
    ViewFetched,
)
from bronzekeel.core.routing.follower import Collection
from bronzekeel.core.routing.messages import KnownVersions
from bronzekeel.core.routing.model import UpstreamEntry
from bronzekeel.core.routing.peer_exchange import view_since
from bronzekeel.core.routing.reducer import reduce
from bronzekeel.entry.peer_messages import MessageError, decode_view, encode_view
from bronzekeel.platform.answers import object_content, upstream_spec
from bronzekeel.platform.objects import PlatformStore
from tests.routing_cases import (
    asking,
    delivered_to,
    entry,
    fresh_state,
    id_given,
    opening,
    page,
    ready_state,
    steering,
    text,
)


_STORE = PlatformStore()
_DERANDOMIZED = settings(derandomize=True, deadline=None, max_examples=150)
_GOOD = upstream_spec('portal', ('10.0.0.1', 80), 'dc-a')
_ANYTHING = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=9),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=9), inner),
    max_leaves=12,
)
_BAD_BY_FIELD: Mapping[str, tuple[Any, ...]] = MappingProxyType(
    {
        'service': (None, 5, '', 'a' * 300, 'a\nb', ['portal']),
        'address': (None, 7, '', 'nowhere', '1:80', '10.0.0.1', '10.0.0.1:0', '10.0.0.1:99999')
        + ('10.0.0.256:80', '10.0.0.1:-1', '10.0.0.1:\u0663', '010.0.0.1:80', '10.0.0.0001:80'),
        'zone': (None, 1, '', {}),
        'version': (None, 3, ['v1']),
        'capacity': (None, 0, -3, True, 2.5, '3', 10**9),
        'state': (None, 1, '', 'gone', 'READY', ['ready']),
        'warmupLeftMs': (None, -1, True, 'soon', 10**12),
        'sequence': (None, -1, True, '4', 1.5),
        'born': (None, -1, True, '1700000000000', 1.5),
    }
)


class ReaderTest(TestCase):
    """Each field has its type and bounds."""

    def test_a_good_entry_is_read(self) -> None:
        """An entry is read with and without a start time."""
        for started_ms in (None, 1_700_000_000_123):
            spec = upstream_spec('portal', ('10.0.0.1', 80), 'dc-a', started_ms=started_ms)
            found = _read(spec)
            if not isinstance(found, UpstreamEntry):
                self.fail(found)
            self.assertEqual(started_ms or 0, found.started_ms)

    def test_fields_of_another_type_or_out_of_bounds(self) -> None:
        """An entry with a field out of bounds is unreadable.

        If fields were used as they stand, an upstream with a negative number of slots would look
        like the least busy one, and every new flow would go to its address.
        """
        for field, values in _BAD_BY_FIELD.items():
            for value in values:
                with self.subTest(field=field, value=value):
                    self.assertIsInstance(_read({**_GOOD, field: value}), Unreadable)

    def test_missing_fields(self) -> None:
        """An entry without any one of the required fields is unreadable."""
        for field in _GOOD:
            with self.subTest(field=field):
                spec = {name: value for name, value in _GOOD.items() if name != field}
                self.assertIsInstance(_read(spec), Unreadable)

    def test_further_fields_are_left_alone(self) -> None:
        """Fields added by a later version are ignored."""
        self.assertIsInstance(_read({**_GOOD, 'later': [1]}), UpstreamEntry)

    def test_names_that_hold_no_number(self) -> None:
        """The number of an upstream is parsed from the name of its entry."""
        for name in ('i-', 'i-xyz', 'i-1_0', 'i-+1', 'i-11111111111111111', 'nobody'):
            with self.subTest(name=name):
                self.assertIsInstance(_read(_GOOD, name), Unreadable)


class PageTest(TestCase):
    """A page or a watch with an unreadable object is read as far as possible."""

    def test_an_unreadable_object_does_not_fail_the_page(self) -> None:
        """One object that cannot be decoded does not fail a whole page.

        Another writer stores invalid UTF-8, brackets nested deeper than the interpreter's stack, or
        a number of ten thousand digits.  If the whole answer failed, all upstreams would be
        missing, and the page would be requested again without end.
        """
        for label, raw in _UNREADABLE.items():
            with self.subTest(label):
                found = _STORE.read_page('upstreams', 200, _page_of(raw))
                if not isinstance(found, PageRead):
                    self.fail(found)
                self._assert_neighbours_hold(found.objects)
                self.assertEqual((80, True), (found.revision, found.more))

    def test_a_watch_with_such_an_object(self) -> None:
        """The same holds for the changes in the answer to a watch."""
        for label, raw in _UNREADABLE.items():
            with self.subTest(label):
                found = _STORE.read_changes('upstreams', 200, _changes_of(raw))
                if not isinstance(found, ChangesRead):
                    self.fail(found)
                self._assert_neighbours_hold(found.objects)

    def test_an_object_without_a_name(self) -> None:
        """An object without a name is reported as unreadable."""
        for item in ('null', '7', '{}', '{"meta":{}}', '{"meta":{"name":5,"revision":1}}'):
            with self.subTest(item):
                found = _STORE.read_page('upstreams', 200, _page_of(item.encode()))
                if not isinstance(found, PageRead):
                    self.fail(found)
                self.assertEqual(['i-1', '', 'i-3'], [stored.name for stored in found.objects])

    @_DERANDOMIZED
    @given(_ANYTHING)
    def test_good_neighbours_hold_whatever_stands_between(self, item: Any) -> None:
        """Valid objects are read beside any other object."""
        raw = encode_json(item).encode()
        found = _STORE.read_page('upstreams', 200, _page_of(raw))
        if not isinstance(found, PageRead):
            self.fail(found)
        self._assert_neighbours_hold(found.objects)

    @_DERANDOMIZED
    @given(st.binary(max_size=400))
    def test_any_bytes_are_an_event(self, body: bytes) -> None:
        """No answer of the store makes the reader raise an exception."""
        self.assertIsInstance(_STORE.read_page('upstreams', 200, body), Event)
        self.assertIsInstance(_STORE.read_changes('upstreams', 200, body), Event)

    def _assert_neighbours_hold(self, objects: list[StoredObject]) -> None:
        self.assertEqual(3, len(objects))
        for place in (0, -1):
            self.assertIsInstance(objects[place].content, UpstreamEntry)
        self.assertIsInstance(objects[1].content, Unreadable)


class ViewTest(TestCase):
    """Views of peers are checked by the same bounds."""

    @_DERANDOMIZED
    @given(_ANYTHING)
    def test_a_view_is_read_or_refused(self, told: Any) -> None:
        """Only MessageError is raised."""
        fields = {'text': None, 'text_followed': 1, 'entries': [told], 'missing': []}
        fields.update({'upstreams_followed': 1, 'newest': 1, 'all_missing': True})
        with self.assertRaises(MessageError):
            decode_view(encode_json(fields).encode())

    def test_nested_deeply(self) -> None:
        """A deeply nested message does not overflow the interpreter's stack."""
        with self.assertRaises(MessageError):
            decode_view(b'[' * 200_000)


class TurnedBadTest(TestCase):
    """A valid entry is overwritten by an unreadable one."""

    def test_no_new_flows_and_no_reset(self) -> None:
        """An upstream whose entry became unreadable gets no new flows and keeps its open ones.

        The entry must neither count as removed, which would reset open flows of a live upstream,
        nor be ignored, since new flows would still go there.
        """
        state = ready_state(entry(1), entry(2))
        steers = steering(state)
        opened = {}
        for number in range(4):
            verdict = steers.decide(opening(number), 0)
            opened[delivered_to(verdict)] = (number, id_given(verdict))
        _turn_bad(state, 60)
        placed = {delivered_to(steers.decide(opening(9 + more), 1)) for more in range(8)}
        self.assertEqual({entry(2).name}, placed)
        number, given = opened[entry(1).name]
        for _ in range(6):
            verdict = steers.decide(asking(number, given), 2)
            self.assertEqual(entry(1).name, delivered_to(verdict))

    def test_it_is_used_again_when_it_can_be_read(self) -> None:
        """The upstream's next write makes its entry usable again."""
        state = ready_state(entry(1))
        _turn_bad(state, 60)
        self.assertEqual('Reset no_upstream', delivered_to(steering(state).decide(opening(1), 1)))
        good = StoredObject(entry(1).name, 61, entry(1, revision=61))
        reduce(state, ChangesRead(Collection.UPSTREAMS, [good], 61), 2)
        self.assertEqual(entry(1).name, delivered_to(steering(state).decide(opening(2), 2)))

    def test_a_host_that_starts_meanwhile_keeps_its_flows(self) -> None:
        """A host that starts while an entry is unreadable keeps the upstream's flows.

        The listing does not say which upstream it is.  The host has to learn it from a peer, or it
        would reset the flows of a live upstream.
        """
        known = ready_state(entry(1))
        given = id_given(steering(known).decide(opening(1), 0))
        _turn_bad(known, 60)
        fresh = fresh_state('a2')
        reduce(fresh, page(Collection.TEXT, text(1)), 1)
        reduce(fresh, page(Collection.EVACUATIONS), 1)
        bad = StoredObject(entry(1).name, 60, Unreadable('bytes'))
        reduce(fresh, PageRead(Collection.UPSTREAMS, [bad], 60, more=False), 1)
        view = decode_view(encode_view(view_since(known, KnownVersions(1, 60, 0), 1)))
        reduce(fresh, ViewFetched(('p', 9), view), 1)
        steers = steering(fresh)
        self.assertEqual(entry(1).name, delivered_to(steers.decide(asking(1, given), 1)))
        self.assertEqual('Reset no_upstream', delivered_to(steers.decide(opening(2), 1)))

    def test_a_listing_with_a_gap_removes_nothing(self) -> None:
        """A listing with an unreadable name removes no upstream.

        The unreadable object may be the entry of any upstream, so what the listing does not name
        must not count as removed.
        """
        state = ready_state(entry(1), entry(2))
        good = StoredObject(entry(2).name, 70, entry(2, revision=70))
        gap = StoredObject('', 0, Unreadable('no name'))
        reduce(state, PageRead(Collection.UPSTREAMS, [good, gap], 70, more=False), 1)
        self.assertTrue(state.directory.by_name[entry(1).name].listed)

    def test_each_is_logged_and_counted(self) -> None:
        """A log line names the object and whether it was in use, and the object is counted."""
        state = ready_state(entry(1))
        effects = _turn_bad(state, 60)
        lines = [effect for effect in effects if isinstance(effect, WriteLine)]
        bad = [line for line in lines if line.number == LogNumber.OBJECT_BAD]
        self.assertEqual([True], [line.fields['withheld'] for line in bad])
        self.assertEqual(1, state.store_record.unreadable_objects)


def _turn_bad(state: Any, revision: int) -> list[Any]:
    bad = StoredObject(entry(1).name, revision, Unreadable('bytes'))
    return reduce(state, ChangesRead(Collection.UPSTREAMS, [bad], revision), 1)


def _read(spec: Any, name: str = 'i-1') -> Any:
    """Return the content that is read of one object."""
    content = object_content(name, 9, 1, [], spec, None, deleting=False)
    body = encode_json({'items': [content], 'hasMore': False, 'storeRevision': 9})
    found = _STORE.read_page('upstreams', 200, body.encode())
    if not isinstance(found, PageRead):
        raise AssertionError(found)
    return found.objects[0].content


def _good(name: str) -> bytes:
    return encode_json(object_content(name, 9, 1, [], _GOOD, None, deleting=False)).encode()


def _page_of(raw: bytes) -> bytes:
    """Return a page with an item between two valid objects."""
    items = b','.join((_good('i-1'), raw, _good('i-3')))
    return b'{"items":[%s],"hasMore":true,"storeRevision":80}' % items


def _changes_of(raw: bytes) -> bytes:
    events = b','.join(
        b'{"tombstone":false,"object":%s}' % item for item in (_good('i-1'), raw, _good('i-3'))
    )
    return b'{"events":[%s],"storeRevision":80}' % events


_META = b'"meta":{"name":"i-2","revision":9,"createRevision":1,"finalizers":[],"deleting":false}'
_UNREADABLE = MappingProxyType(
    {
        'no text': b'{%s,"spec":{"service":"\xff\xfe\x80"},"status":null}' % _META,
        'deep': b'{%s,"spec":%s%s}' % (_META, b'[' * 50_000, b']' * 50_000),
        'digits': b'{%s,"spec":{"capacity":%s}}' % (_META, b'9' * 10_000),
        'escape': rb'{%s,"spec":"\x"}' % _META,
        'control': b'{%s,"spec":"\x00\x01"}' % _META,
        'word': b'{%s,"spec":nothing}' % _META,
    }
)
