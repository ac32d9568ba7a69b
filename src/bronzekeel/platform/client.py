"""Store the product's own objects in the platform's store.

A key maps to a kind and a name in the store; the bytes are stored in the object's `spec`.
The version of an object is the store's revision of its last change, combined with the store's
incarnation (`core.routing.revisions`), since a restored store issues revision numbers again.
"""

from asyncio import CancelledError, Future, get_running_loop
from base64 import b64decode, b64encode
from time import monotonic
from typing import Any, Self
from urllib.parse import urlsplit

from msgspec import DecodeError, Struct
from msgspec.json import decode, encode

from bronzekeel.adapters.asyncio_loop import AsyncioLoop
from bronzekeel.core.routing.field_checks import FieldError
from bronzekeel.core.routing.revisions import incarnation_of, number_of, revision_of
from bronzekeel.core.store_waits import ANSWER_TIMEOUT_S, WATCH_WAIT_S
from bronzekeel.entry.http_client import Call, HttpConnection, Reply
from bronzekeel.platform.calls import list_target, object_target, watch_target
from bronzekeel.platform.incarnations import read_incarnation
from bronzekeel.text.submission import ObjectStore, Stored, StoreLost, StoreRefused


HOSTS_KEY = 'bronzekeel/hosts'

_OK = 200
_CREATED = 201
_NOT_FOUND = 404
_CONFLICT = 409
_HISTORY_GONE = 410
_HTTP_PORT = 80


class _Response:
    """A decoded response of the store."""

    __slots__ = ('content', 'incarnation', 'status')

    def __init__(self, status: int, content: dict[str, Any], incarnation: int) -> None:
        self.status = status
        self.content = content
        self.incarnation = incarnation

    @property
    def revision(self) -> int:
        """The revision up to which a list or a watch is complete."""
        return revision_of(self.incarnation, int(self.content['storeRevision']))

    def stored(self, item: dict[str, Any]) -> Stored:
        """Return an object of the response."""
        version = revision_of(self.incarnation, int(item['meta']['revision']))
        return Stored(version, b64decode(item['spec']['content']), self.incarnation)


class ObjectId(Struct, frozen=True):
    """The store's kind and name of the object under one of the product's keys."""

    kind: str
    name: str

    @classmethod
    def of(cls, key: str) -> 'ObjectId':
        """Return the id of a key: the kind before the first slash, then the name.

        Slashes in the name become hyphens.
        """
        kind, _, name = key.partition('/')
        return cls(kind, name.replace('/', '-'))


def spec_of(body: bytes) -> dict[str, str]:
    """Return the `spec` of an object that holds `body`."""
    return {'content': b64encode(body).decode()}


class PlatformClient(ObjectStore):
    """Read, watch and write objects of the store; `calls` counts the calls made to it."""

    def __init__(self, url: str) -> None:
        """Use the store at `url`, without connecting yet."""
        self.calls = 0
        parts = urlsplit(url)
        self._address = (parts.hostname or '', parts.port or _HTTP_PORT)
        self._idle: list[HttpConnection] = []
        self._watched_revision_by_key: dict[str, int] = {}
        self._relisted: set[str] = set()

    async def __aenter__(self) -> Self:
        """Return the client; it connects on its first call."""
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Close the connections."""
        await self.close()

    async def read(self, key: str) -> Stored:
        """Return an object, with version zero if it does not exist.

        Raises StoreLost or StoreRefused.
        """
        object_id = ObjectId.of(key)
        response = await self._call('GET', object_target(object_id.kind, object_id.name))
        if response.status == _NOT_FOUND:
            return Stored(0, incarnation=response.incarnation)
        _require_status(response, _OK)
        return response.stored(response.content)

    async def watch(self, key: str, after: int) -> Stored | None:
        """Wait for a version of an object newer than `after`; None if there was none in time.

        Raises StoreLost or StoreRefused.
        """
        object_id = ObjectId.of(key)
        revision = max(after, self._watched_revision_by_key.get(key, 0))
        if not revision:
            return await self._read_first(key, object_id)
        target = watch_target(object_id.kind, number_of(revision), WATCH_WAIT_S)
        response = await self._call('GET', target, timeout_s=WATCH_WAIT_S + ANSWER_TIMEOUT_S)
        if response.status == _HISTORY_GONE or response.incarnation != incarnation_of(revision):
            return await self._relist(key, object_id, after)
        _require_status(response, _OK)
        self._relisted.discard(key)
        self._watched_revision_by_key[key] = response.revision
        newest: Stored | None = None
        for event in response.content['events']:
            if event['object']['meta']['name'] == object_id.name and not event['tombstone']:
                newest = response.stored(event['object'])
        return newest

    async def write(self, key: str, body: bytes, version: int) -> Stored | None:
        """Replace an object if its version is `version`, zero to create it; return the new one.

        None if the object has another version or does not exist.  Raises StoreLost or StoreRefused.
        """
        object_id = ObjectId.of(key)
        meta = {'name': object_id.name, 'revision': number_of(version), 'finalizers': ()}
        content = {'meta': meta, 'spec': spec_of(body)}
        if version:
            target = object_target(object_id.kind, object_id.name)
            response = await self._call('PUT', target, content=content)
        else:
            target = list_target(object_id.kind)
            response = await self._call('POST', target, content=content)
        if response.status in {_CONFLICT, _NOT_FOUND}:
            return None
        _require_status(response, _OK, _CREATED)
        return response.stored(response.content)

    async def close(self) -> None:
        """Close the connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    async def _relist(self, key: str, object_id: ObjectId, after: int) -> Stored | None:
        """Read the object again after a watch could not be continued; None if it is not newer.

        Refuses when this happens twice in a row: a store that can continue no watch responds to
        each at once, and the caller would retry without a pause.  Raises StoreLost or StoreRefused.
        """
        self._watched_revision_by_key.pop(key, None)
        if key in self._relisted:
            self._relisted.discard(key)
            raise StoreRefused('the platform cannot continue any watch; try again later')
        self._relisted.add(key)
        stored = await self._read_first(key, object_id)
        return stored if stored is not None and stored.version > after else None

    async def _read_first(self, key: str, object_id: ObjectId) -> Stored | None:
        """Read an object and note the revision from which to watch it.

        Return None if it does not exist.  Raises StoreLost or StoreRefused.
        """
        response = await self._call('GET', list_target(object_id.kind))
        _require_status(response, _OK)
        self._watched_revision_by_key[key] = response.revision
        stored = await self.read(key)
        return stored if stored.version else None

    async def _call(
        self,
        method: str,
        target: str,
        content: dict[str, Any] | None = None,
        timeout_s: float = ANSWER_TIMEOUT_S,
    ) -> _Response:
        """Make a call and decode its response.  Raises StoreLost."""
        self.calls += 1
        body = b'' if content is None else encode(content)
        reply = await self._reply(method, target, body, monotonic() + timeout_s)
        try:
            incarnation = read_incarnation(reply.header_by_name)
            if reply.status not in {_OK, _CREATED}:
                return _Response(reply.status, {}, incarnation)
            return _Response(reply.status, decode(reply.body, type=dict[str, Any]), incarnation)
        except (DecodeError, FieldError) as error:
            raise StoreLost(f'unreadable response from the platform: {error}') from error

    async def _reply(self, method: str, target: str, body: bytes, deadline: float) -> Reply:
        """Make a call on an idle connection or a new one.  Raises StoreLost."""
        loop = get_running_loop()
        if self._idle:
            connection = self._idle.pop()
        else:
            connection = HttpConnection(AsyncioLoop(loop), self._address)
        reply_future: Future[Reply] = loop.create_future()
        call = Call(
            target,
            deadline,
            lambda reply: _resolve(reply_future, reply),
            lambda problem: _resolve(
                reply_future, StoreLost(f'no response from the platform: {problem}')
            ),
            method=method,
            body=body,
        )
        connection.start_call(call)
        try:
            reply = await reply_future
        except CancelledError:
            connection.close()
            raise
        self._idle.append(connection)
        return reply


def _resolve(reply_future: Future[Reply], outcome: Reply | StoreLost) -> None:
    """Set the outcome of a call, unless its future is done, for example cancelled."""
    if reply_future.done():
        return
    if isinstance(outcome, StoreLost):
        reply_future.set_exception(outcome)
    else:
        reply_future.set_result(outcome)


def _require_status(response: _Response, *statuses: int) -> None:
    """Raise StoreRefused unless a response has one of these statuses."""
    if response.status not in statuses:
        raise StoreRefused(
            f'the platform answered {response.status}; try again when it accepts calls'
        )
