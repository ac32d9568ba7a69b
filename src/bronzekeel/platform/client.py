"""Keep the product's own objects in the platform's store.

A key of ours is a kind and a name of the store; the bytes lie in its `spec`.
The version of an object is the store's revision of its last change.
"""

from base64 import b64decode, b64encode
from typing import Any, Self

from aiohttp import ClientError, ClientResponse, ClientSession, ClientTimeout
from msgspec import Struct

from bronzekeel.platform.calls import list_target, object_target, watch_target
from bronzekeel.text.submission import ObjectStore, Stored, StoreLost, StoreRefused


HOSTS_KEY = 'bronzekeel/hosts'

_OK = 200
_CREATED = 201
_NOT_FOUND = 404
_CONFLICT = 409
_HISTORY_GONE = 410
_CALL_S = 5.0
_WATCH_S = 20.0
_CALL_FAULTS = (ClientError, TimeoutError, ConnectionResetError)


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

    def __init__(self, url: str, call_s: float = _CALL_S) -> None:
        """Use the store at `url`."""
        self.calls = 0
        self._url = url.rstrip('/')
        self._timeout = ClientTimeout(total=call_s)
        self._session: ClientSession | None = None
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
        target = watch_target(place.kind, seen, _WATCH_S)
        status, answer = await self._call('GET', target, ClientTimeout(total=_WATCH_S + _CALL_S))
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
        if self._session is not None:
            await self._session.close()

    async def _read_first(self, key: str, place: Key) -> Stored | None:
        """Read an object and from which revision it is to be watched."""
        status, answer = await self._call('GET', list_target(place.kind))
        if status != _OK:
            raise StoreRefused(_refusal(status))
        self._seen_by_key[key] = int(answer['storeRevision'])
        stored = await self.read(key)
        return stored if stored.version else None

    def _open(self) -> ClientSession:
        if self._session is None:
            self._session = ClientSession()
        return self._session

    async def _call(
        self,
        method: str,
        target: str,
        timeout: ClientTimeout | None = None,
        content: dict[str, Any] | None = None,
    ) -> tuple[int, dict[str, Any]]:
        """Return status and content of an answer.  Raises StoreLost."""
        self.calls += 1
        try:
            async with self._open().request(
                method,
                f'{self._url}{target}',
                json=content,
                timeout=timeout or self._timeout,
            ) as reply:
                return reply.status, await _content(reply)
        except _CALL_FAULTS as fault:
            raise StoreLost(f'no answer from the platform: {fault!r}') from fault


async def _content(reply: ClientResponse) -> dict[str, Any]:
    if reply.status not in {_OK, _CREATED}:
        return {}
    answer: dict[str, Any] = await reply.json(content_type=None)
    return answer


def _stored(status: int, answer: dict[str, Any]) -> Stored:
    if status != _OK:
        raise StoreRefused(_refusal(status))
    return Stored(int(answer['meta']['revision']), b64decode(answer['spec']['content']))


def _refusal(status: int) -> str:
    return f'the platform answered {status}; try again when it takes calls'
