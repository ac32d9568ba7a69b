"""Keep the product's own objects in the platform's store.

A key of ours is a kind and a name of the store; the bytes lie in its `spec`.
The version of an object is the store's revision of its last change, with the
store's incarnation (`core.routing.revisions`): numbers are given out again by a restored store.
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
from bronzekeel.core.store_waits import ANSWER_S, WATCH_S
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


class _Answer:
    """Hold an answer of the store, decoded."""

    __slots__ = ('content', 'incarnation', 'status')

    def __init__(self, status: int, content: dict[str, Any], incarnation: int) -> None:
        self.status = status
        self.content = content
        self.incarnation = incarnation

    @property
    def revision(self) -> int:
        """The revision up to which a list or a watch tells."""
        return revision_of(self.incarnation, int(self.content['storeRevision']))

    def stored(self, item: dict[str, Any]) -> Stored:
        """Return an object of the answer."""
        version = revision_of(self.incarnation, int(item['meta']['revision']))
        return Stored(version, b64decode(item['spec']['content']), self.incarnation)


class ObjectId(Struct, frozen=True):
    """Hold the store's kind and name of one of our keys."""

    kind: str
    name: str

    @classmethod
    def of(cls, key: str) -> 'Key':
        """Return the place of a key; its first word is the kind."""
        kind, _, name = key.partition('/')
        return cls(kind, name.replace('/', '-'))


def spec_of(body: bytes) -> dict[str, str]:
    """Return the `spec` that holds `body`."""
    return {'content': b64encode(body).decode()}


class PlatformClient(ObjectStore):
    """Call the store; counts its calls in `calls`."""

    def __init__(self, url: str) -> None:
        """Use the store at `url`."""
        self.calls = 0
        parts = urlsplit(url)
        self._address = (parts.hostname or '', parts.port or _HTTP_PORT)
        self._idle: list[HttpConnection] = []
        self._seen_by_key: dict[str, int] = {}
        self._relisted: set[str] = set()

    async def __aenter__(self) -> Self:
        """Return the client; it connects with its first call."""
        return self

    async def __aexit__(self, *fault: object) -> None:
        """Close the connections."""
        await self.close()

    async def read(self, key: str) -> Stored:
        """Return an object.  Raises StoreLost or StoreRefused."""
        place = ObjectId.of(key)
        answer = await self._call('GET', object_target(place.kind, place.name))
        if answer.status == _NOT_FOUND:
            return Stored(0, incarnation=answer.incarnation)
        _expect(answer, _OK)
        return answer.stored(answer.content)

    async def watch(self, key: str, after: int) -> Stored | None:
        """Return an object newer than `after`, None when it did not change in time.

        Raises StoreLost or StoreRefused.
        """
        place = ObjectId.of(key)
        seen = max(after, self._seen_by_key.get(key, 0))
        if not seen:
            return await self._read_first(key, place)
        target = watch_target(place.kind, number_of(seen), WATCH_S)
        answer = await self._call('GET', target, within_s=WATCH_S + ANSWER_S)
        if answer.status == _HISTORY_GONE or answer.incarnation != incarnation_of(seen):
            return await self._relist(key, place, after)
        _expect(answer, _OK)
        self._relisted.discard(key)
        self._seen_by_key[key] = answer.revision
        newest: Stored | None = None
        for event in answer.content['events']:
            if event['object']['meta']['name'] == place.name and not event['tombstone']:
                newest = answer.stored(event['object'])
        return newest

    async def write(self, key: str, body: bytes, version: int) -> Stored | None:
        """Replace the object at `version`; None when it has another."""
        place = ObjectId.of(key)
        meta = {'name': place.name, 'revision': number_of(version), 'finalizers': ()}
        content = {'meta': meta, 'spec': spec_of(body)}
        if version:
            target = object_target(place.kind, place.name)
            answer = await self._call('PUT', target, content=content)
        else:
            target = list_target(place.kind)
            answer = await self._call('POST', target, content=content)
        if answer.status in {_CONFLICT, _NOT_FOUND}:
            return None
        _expect(answer, _OK, _CREATED)
        return answer.stored(answer.content)

    async def close(self) -> None:
        """Close the connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    async def _relist(self, key: str, place: ObjectId, after: int) -> Stored | None:
        """Read anew what a watch could not go on with.

        What goes wrong without the refusal: a store that can go on with no watch answers each at
        once, and its caller comes again without a pause.  Raises StoreLost or StoreRefused.
        """
        self._seen_by_key.pop(key, None)
        if key in self._relisted:
            self._relisted.discard(key)
            raise StoreRefused('the platform can go on with no watch; try again later')
        self._relisted.add(key)
        stored = await self._read_first(key, place)
        return stored if stored is not None and stored.version > after else None

    async def _read_first(self, key: str, place: ObjectId) -> Stored | None:
        """Read an object and from which revision it is to be watched."""
        answer = await self._call('GET', list_target(place.kind))
        _expect(answer, _OK)
        self._seen_by_key[key] = answer.revision
        stored = await self.read(key)
        return stored if stored.version else None

    async def _call(
        self,
        method: str,
        target: str,
        content: dict[str, Any] | None = None,
        within_s: float = ANSWER_S,
    ) -> _Answer:
        """Return an answer.  Raises StoreLost."""
        self.calls += 1
        body = b'' if content is None else encode(content)
        reply = await self._reply(method, target, body, monotonic() + within_s)
        try:
            incarnation = read_incarnation(reply.header_by_name)
            if reply.status not in {_OK, _CREATED}:
                return _Answer(reply.status, {}, incarnation)
            return _Answer(reply.status, decode(reply.body, type=dict[str, Any]), incarnation)
        except (DecodeError, FieldError) as fault:
            raise StoreLost(f'answer from the platform unreadable: {fault}') from fault

    async def _reply(self, method: str, target: str, body: bytes, until: float) -> Reply:
        """Make a call on an idle connection or a new one.  Raises StoreLost."""
        loop = get_running_loop()
        if self._idle:
            connection = self._idle.pop()
        else:
            connection = HttpConnection(AsyncioLoop(loop), self._address)
        replied: Future[Reply] = loop.create_future()
        call = Call(
            target,
            until,
            lambda reply: _settle(replied, reply),
            lambda problem: _settle(replied, StoreLost(f'no answer from the platform: {problem}')),
            method=method,
            body=body,
        )
        connection.ask(call)
        try:
            reply = await replied
        except CancelledError:
            connection.close()
            raise
        self._idle.append(connection)
        return reply


def _settle(replied: Future[Reply], outcome: Reply | StoreLost) -> None:
    """Give a call its outcome; one that nobody waits for any more is left."""
    if replied.done():
        return
    if isinstance(outcome, StoreLost):
        replied.set_exception(outcome)
    else:
        replied.set_result(outcome)


def _expect(answer: _Answer, *statuses: int) -> None:
    """Raise StoreRefused unless an answer has one of these statuses."""
    if answer.status not in statuses:
        raise StoreRefused(f'the platform answered {answer.status}; try again when it takes calls')
