"""Build calls to the platform's object store and parse its objects.

The store's field names are translated only here.  Those that are misleading:

- `pathPrefix` of a route is a port between slashes, `host` an IP address;
- `sloMs` of a route is its latency objective;
- `storeRevision` is the store's newest revision, `revision` that of an object;
- the header `Store-Era` holds the store's incarnation, which is zero if the header is absent.
"""

from collections.abc import Mapping
from socket import inet_aton
from types import MappingProxyType
from typing import Any

from bronzekeel.core.routing.connection_ids import route_tag_of
from bronzekeel.core.routing.effects import ReadPage, WatchChanges
from bronzekeel.core.routing.events import (
    CallFailed,
    ChangesRead,
    Evacuation,
    Event,
    HistoryLost,
    PageRead,
    StoredObject,
    Unreadable,
)
from bronzekeel.core.routing.field_checks import (
    MAX_OBJECTIVE_S,
    MAX_RATE,
    bounded_float,
    label,
    whole_number,
)
from bronzekeel.core.routing.follower import Collection
from bronzekeel.core.routing.model import (
    DEFAULT_TIMEOUT_S,
    Route,
    RoutingText,
    ServiceShare,
)
from bronzekeel.core.routing.revisions import number_of, revision_of
from bronzekeel.entry.ports import NO_HEADERS, StoreFormat
from bronzekeel.platform.bodies import DECODE_ERRORS, decode_body
from bronzekeel.platform.calls import (
    EVACUATIONS_KIND,
    TEXT_KIND,
    TEXT_NAME,
    UPSTREAMS_KIND,
    list_target,
    watch_target,
)
from bronzekeel.platform.entries import read_entry
from bronzekeel.platform.incarnations import read_incarnation


_KIND_BY_COLLECTION = MappingProxyType(
    {
        Collection.TEXT.value: TEXT_KIND,
        Collection.UPSTREAMS.value: UPSTREAMS_KIND,
        Collection.EVACUATIONS.value: EVACUATIONS_KIND,
    },
)
_OK = 200
_GONE = 410
_MS = 1000
_DEFAULT_IDLE_MS = 15_000

#: What parsing a field of the wrong type or format raises.
_FORMAT_ERRORS = (
    *DECODE_ERRORS,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
    OSError,
)


class PlatformStore(StoreFormat):
    """Translate calls and responses between the balancer's collections and the store's kinds."""

    def page_target(self, effect: ReadPage) -> str:
        """Return the request target of a page of a collection."""
        kind = _KIND_BY_COLLECTION[effect.collection]
        return list_target(kind, effect.after, stale=effect.stale)

    def watch_target(self, effect: WatchChanges) -> str:
        """Return the request target that waits for changes of a collection."""
        kind = _KIND_BY_COLLECTION[effect.collection]
        number = number_of(effect.revision)
        return watch_target(kind, number, effect.wait_s, stale=effect.stale)

    def read_page(
        self,
        collection: str,
        status: int,
        body: bytes,
        header_by_name: Mapping[str, str] = NO_HEADERS,
    ) -> Event:
        """Return the event for the response to the request of a page.

        It is a CallFailed if the request failed or the response is unreadable.
        """
        if status != _OK:
            return CallFailed(collection, f'the store answered {status}')
        try:
            incarnation = read_incarnation(header_by_name)
            page = decode_body(body)
            return PageRead(
                collection,
                [
                    _stored_object(collection, item, incarnation, removed=False)
                    for item in page['items']
                ],
                _store_revision(incarnation, page),
                more=bool(page.get('hasMore')),
            )
        except _FORMAT_ERRORS as error:
            return CallFailed(collection, f'page unreadable: {error!r}')

    def read_changes(
        self,
        collection: str,
        status: int,
        body: bytes,
        header_by_name: Mapping[str, str] = NO_HEADERS,
    ) -> Event:
        """Return the event for the response to a watch.

        It is a HistoryLost if the store no longer has the changes after the watched revision, a
        CallFailed if the request failed or the response is unreadable.
        """
        try:
            incarnation = read_incarnation(header_by_name)
            if status == _GONE:
                return HistoryLost(collection, incarnation)
            if status != _OK:
                return CallFailed(collection, f'the store answered {status}')
            response = decode_body(body)
            changes = response.get('events') or ()
            return ChangesRead(
                collection,
                [_changed_object(collection, change, incarnation) for change in changes],
                _store_revision(incarnation, response),
            )
        except _FORMAT_ERRORS as error:
            return CallFailed(collection, f'changes unreadable: {error!r}')


def _store_revision(incarnation: int, response: Any) -> int:
    """Return the revision up to which a response is complete.  Raises FieldError."""
    number = int(response['storeRevision'])
    return revision_of(incarnation, whole_number('storeRevision', number))


def _changed_object(collection: str, change: Any, incarnation: int) -> StoredObject:
    """Return the changed object; its content is None if it was removed."""
    if not isinstance(change, dict):
        return StoredObject('', 0, Unreadable('change is not an object'))
    removed = change.get('tombstone') is True
    return _stored_object(collection, change.get('object'), incarnation, removed=removed)


def _stored_object(collection: str, item: Any, incarnation: int, *, removed: bool) -> StoredObject:
    """Return an object of the store; unreadable content is replaced by an ``Unreadable``.

    If its name or its revision is unreadable, it has an empty name and revision zero.
    """
    try:
        name = label('name', item['meta']['name'])
        number = whole_number('revision', item['meta']['revision'])
    except _FORMAT_ERRORS as error:
        return StoredObject('', 0, Unreadable(repr(error)))
    revision = revision_of(incarnation, number)
    if removed:
        return StoredObject(name, revision, None)
    if collection == Collection.EVACUATIONS:
        return StoredObject(name, revision, Evacuation())
    try:
        if collection == Collection.UPSTREAMS:
            return StoredObject(name, revision, read_entry(name, revision, item['spec']))
        if name != TEXT_NAME:
            return StoredObject(name, revision, Unreadable('unexpected name of a text'))
        return StoredObject(name, revision, _routing_text(revision, item['spec']))
    except _FORMAT_ERRORS as error:
        return StoredObject(name, revision, Unreadable(repr(error)))


def _routing_text(revision: int, spec: dict[str, Any]) -> RoutingText:
    route_by_key = {}
    for item in spec['routes']:
        route = _route(item)
        route_by_key[route.key] = route
    limits = spec.get('limits') or {}
    idle_ms = int(limits.get('idleTimeoutMs') or _DEFAULT_IDLE_MS)
    return RoutingText(
        whole_number('version', int(spec['version'])),
        revision,
        route_by_key,
        idle_ms / _MS,
        _cold_rates(spec.get('services') or []),
    )


def _cold_rates(services: list[dict[str, Any]]) -> dict[str, float]:
    """Return the requests per second that a cold upstream can process, by service.

    Services whose `warmupPerS` is absent or zero state no such rate and are left out.
    """
    rates = {
        label('name', item['name']): bounded_float(
            'warmupPerS', item.get('warmupPerS') or 0, MAX_RATE
        )
        for item in services
    }
    return {service: rate for service, rate in rates.items() if rate > 0}


def _route(item: dict[str, Any]) -> Route:
    port = int(item['pathPrefix'].strip('/'))
    key = inet_aton(item['host']) + port.to_bytes(2, 'big')
    shares = tuple(
        ServiceShare(str(part['service']), int(part.get('weight') or 0))
        for part in item.get('backends') or ()
    )
    if not shares:
        shares = (ServiceShare(str(item['service']), 1),)
    timeout_ms = int(item.get('timeoutMs') or 0)
    return Route(
        key,
        shares,
        route_tag_of(key),
        int(item.get('priority') or 0),
        timeout_ms / _MS if timeout_ms > 0 else DEFAULT_TIMEOUT_S,
        frozenset(label('allowedRegions', region) for region in item.get('allowedRegions') or ()),
        _objective_s(item),
    )


def _objective_s(item: dict[str, Any]) -> float:
    """Return the latency objective of a route in seconds, zero if it has none.

    An unreadable objective counts as none, so that it does not keep the text from taking effect.
    """
    found = item.get('sloMs')
    if isinstance(found, bool) or not isinstance(found, int | float):
        return 0
    objective_s = found / _MS
    return objective_s if 0 < objective_s <= MAX_OBJECTIVE_S else 0
