"""Keep the product's own objects in the platform's store.

A key of ours is a kind and a name of the store; the bytes lie in its `spec`.
The version of an object is the store's revision of its last change.
"""

from asyncio import CancelledError, Future, get_running_loop
from base64 import b64decode, b64encode
from time import monotonic
from typing import Any, Self
from urllib.parse import urlsplit

from msgspec import DecodeError, Struct
from msgspec.json import decode, encode

from bronzekeel.adapters.asyncio_loop import AsyncioLoop
from bronzekeel.core.store_waits import ANSWER_S, WATCH_S
from bronzekeel.entry.http_client import Call, HttpConnection
from bronzekeel.platform.calls import list_target, object_target, watch_target
from bronzekeel.text.submission import ObjectStore, Stored, StoreLost, StoreRefused


HOSTS_KEY = 'bronzekeel/hosts'

_OK = 200
_CREATED = 201
_NOT_FOUND = 404
_CONFLICT = 409
_HISTORY_GONE = 410
_HTTP_PORT = 80

_Reply = tuple[int, bytes]


class Key(Struct, frozen=True):
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

    async def __aenter__(self) -> Self:
        """Return the client; it connects with its first call."""
        return self

    async def __aexit__(self, *fault: object) -> None:
        """Close the connections."""
        await self.close()

    async def read(self, key: str) -> Stored:
        """Return an object.  Raises StoreLost or StoreRefused."""
        place = Key.of(key)
        status, answer = await self._call('GET', object_target(place.kind, place.name))
        if status == _NOT_FOUND:
            return Stored(0)
        return _stored(status, answer)

    async def watch(self, key: str, after: int) -> Stored | None:
        """Return an object newer than `after`, None when it did not change in time.

        Raises StoreLost or StoreRefused.
        """
        place = Key.of(key)
        seen = max(after, self._seen_by_key.get(key, 0))
        if not seen:
            return await self._read_first(key, place)
        target = watch_target(place.kind, seen, WATCH_S)
        status, answer = await self._call('GET', target, within_s=WATCH_S + ANSWER_S)
        if status == _HISTORY_GONE:
            self._seen_by_key.pop(key, None)
            stored = await self._read_first(key, place)
            return stored if stored is not None and stored.version > after else None
        if status != _OK:
            raise StoreRefused(_refusal(status))
        self._seen_by_key[key] = int(answer['storeRevision'])
        newest: Stored | None = None
        for event in answer['events']:
            if event['object']['meta']['name'] == place.name and not event['tombstone']:
                newest = _stored(_OK, event['object'])
        return newest

    async def write(self, key: str, body: bytes, version: int) -> Stored | None:
        """Replace the object at `version`; None when it has another."""
        place = Key.of(key)
        meta = {'name': place.name, 'revision': version, 'finalizers': ()}
        content = {'meta': meta, 'spec': spec_of(body)}
        if version:
            target = object_target(place.kind, place.name)
            status, answer = await self._call('PUT', target, content=content)
        else:
            target = list_target(place.kind)
            status, answer = await self._call('POST', target, content=content)
        if status in {_CONFLICT, _NOT_FOUND}:
            return None
        if status not in {_OK, _CREATED}:
            raise StoreRefused(_refusal(status))
        return Stored(int(answer['meta']['revision']), body)

    async def close(self) -> None:
        """Close the connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    async def _read_first(self, key: str, place: Key) -> Stored | None:
        """Read an object and from which revision it is to be watched."""
        status, answer = await self._call('GET', list_target(place.kind))
        if status != _OK:
            raise StoreRefused(_refusal(status))
        self._seen_by_key[key] = int(answer['storeRevision'])
        stored = await self.read(key)
        return stored if stored.version else None

    async def _call(
        self,
        method: str,
        target: str,
        content: dict[str, Any] | None = None,
        within_s: float = ANSWER_S,
    ) -> tuple[int, dict[str, Any]]:
        """Return status and content of an answer.  Raises StoreLost."""
        self.calls += 1
        body = b'' if content is None else encode(content)
        status, answer = await self._reply(method, target, body, monotonic() + within_s)
        if status not in {_OK, _CREATED}:
            return status, {}
        try:
            return status, decode(answer, type=dict[str, Any])
        except DecodeError as fault:
            raise StoreLost(f'answer from the platform unreadable: {fault}') from fault

    async def _reply(self, method: str, target: str, body: bytes, until: float) -> _Reply:
        """Make a call on an idle connection or a new one.  Raises StoreLost."""
        loop = get_running_loop()
        if self._idle:
            connection = self._idle.pop()
        else:
            connection = HttpConnection(AsyncioLoop(loop), self._address)
        replied: Future[_Reply] = loop.create_future()
        call = Call(
            target,
            until,
            lambda reply: _settle(replied, (reply.status, reply.body)),
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


def _settle(replied: Future[_Reply], outcome: _Reply | StoreLost) -> None:
    """Give a call its outcome; one that nobody waits for any more is left."""
    if replied.done():
        return
    if isinstance(outcome, StoreLost):
        replied.set_exception(outcome)
    else:
        replied.set_result(outcome)


def _stored(status: int, answer: dict[str, Any]) -> Stored:
    if status != _OK:
        raise StoreRefused(_refusal(status))
    return Stored(int(answer['meta']['revision']), b64decode(answer['spec']['content']))


def _refusal(status: int) -> str:
    return f'the platform answered {status}; try again when it takes calls'
