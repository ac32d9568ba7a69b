"""Stand-in for the platform's object store, with fault injection."""

from asyncio import Condition, Event, sleep, wait_for
from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from aiohttp import web

from bronzekeel.platform.answers import (
    changes_content,
    object_content,
    page_content,
    text_spec,
    upstream_name,
    upstream_spec,
)
from bronzekeel.platform.calls import (
    AFTER,
    INCARNATION_HEADER,
    LIST_PATH,
    OBJECT_PATH,
    TEXT_KIND,
    TEXT_NAME,
    UPSTREAMS_KIND,
    WAIT_MS,
    WATCH,
)
from bronzekeel.platform.client import ObjectId, spec_of


_MAX_BODY_BYTES = 2 * 1024 * 1024
_CONFLICT = 409
_GONE = 410
_TOO_MANY_REQUESTS = 429
_UNAVAILABLE = 503
_NOT_FOUND = 404
_MS = 1000


@dataclass(slots=True)
class ObjectRecord:
    """Hold one object of the store."""

    kind: str
    name: str
    created: int
    revision: int = 0
    spec: Any = None
    status: Any = None
    finalizers: list[str] = field(default_factory=list)
    deleting: bool = False

    def answer(self) -> dict[str, Any]:
        """Return the object in its wire format."""
        return object_content(
            self.name,
            self.revision,
            self.created,
            self.finalizers,
            self.spec,
            self.status,
            deleting=self.deleting,
        )


@dataclass(frozen=True, slots=True)
class ChangeRecord:
    """Hold one entry of the change history."""

    revision: int
    kind: str
    content: dict[str, Any]
    removed: bool


@dataclass(slots=True)
class PlatformStandIn:
    """Serve objects by kind and name with revisions, conditional writes and watches.

    Faults: `down` answers 503; `silent` never answers; `latency_s` delays every answer;
    `confirmations_to_lose` is the number of writes that take effect but whose connection is
    closed without an answer; at zero `calls_left`, calls are answered with 429.  `page_size`
    limits the objects per page of a list.  `incarnation` is sent in a header of every answer.
    `stale` has no effect: all reads return the current objects.
    """

    down: bool = False
    silent: bool = False
    latency_s: float = 0.002
    confirmations_to_lose: int = 0
    calls_left: int | None = None
    stale: bool = False
    page_size: int = 500
    calls: int = 0
    incarnation: int = 1
    revision: int = 0
    port: int = 0
    object_by_key: dict[tuple[str, str], ObjectRecord] = field(default_factory=dict)
    history: list[ChangeRecord] = field(default_factory=list)
    history_from: int = 0
    _runner: web.AppRunner | None = None
    _changed: Condition = field(default_factory=Condition)

    @property
    def url(self) -> str:
        """Base URL of the store."""
        return f'http://127.0.0.1:{self.port}'

    async def open(self, port: int = 0) -> None:
        """Listen on a loopback port; 0 selects a free one."""
        app = web.Application(client_max_size=_MAX_BODY_BYTES)
        app.on_response_prepare.append(partial(_add_incarnation_header, self))
        app.router.add_get(LIST_PATH, self._list)
        app.router.add_post(LIST_PATH, self._create)
        app.router.add_get(OBJECT_PATH, self._get)
        app.router.add_put(OBJECT_PATH, self._replace)
        app.router.add_delete(OBJECT_PATH, self._delete)
        app.router.add_put(f'{OBJECT_PATH}/status', self._replace_status)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, '127.0.0.1', port).start()
        self.port = self._runner.addresses[0][1]

    async def close(self) -> None:
        """End open watches and release the port."""
        self.silent = False
        await self.switch(down=True)
        if self._runner is not None:
            await self._runner.cleanup()

    def put(self, key: str, body: bytes) -> None:
        """Write an object under a balancer's key, as another balancer would."""
        object_key = ObjectId.of(key)
        self.put_object(object_key.kind, object_key.name, spec_of(body))

    def put_text(
        self,
        version: int,
        service_by_address: dict[tuple[str, int], str],
        objective_ms_by_service: Mapping[str, int] | None = None,
    ) -> int:
        """Write a text that routes addresses to services, with latency objectives."""
        spec = text_spec(version, service_by_address, objective_ms_by_service)
        return self.put_object(TEXT_KIND, TEXT_NAME, spec)

    def put_upstream(
        self,
        number: int,
        service: str,
        address: tuple[str, int],
        data_centre: str,
        *,
        draining: bool = False,
        slots: int = 3,
    ) -> int:
        """Write the entry of the upstream with the given number."""
        spec = upstream_spec(service, address, data_centre, draining=draining, slots=slots)
        return self.put_object(UPSTREAMS_KIND, upstream_name(number), spec)

    def put_object(self, kind: str, name: str, spec: Any) -> int:
        """Write an object as its owner would, and return its revision.

        An unchanged spec is not written again.
        """
        record = self.object_by_key.get((kind, name))
        if record is None:
            record = ObjectRecord(kind, name, self.revision + 1)
            self.object_by_key[kind, name] = record
        elif record.spec == spec:
            return record.revision
        record.spec = spec
        return self._record_change(record)

    def remove_object(self, kind: str, name: str) -> None:
        """Remove an object as its owner or the expiry of its lease would."""
        record = self.object_by_key.pop((kind, name), None)
        if record is not None:
            self._record_change(record, removed=True)

    def compact(self) -> None:
        """Discard the change history."""
        self.history.clear()
        self.history_from = self.revision

    async def notify_watches(self) -> None:
        """Wake open watches, after changes made by ``put_object``."""
        async with self._changed:
            self._changed.notify_all()

    async def switch(self, *, down: bool) -> None:
        """Begin or end an outage; its begin ends open watches."""
        self.down = down
        await self.notify_watches()

    def _record_change(self, record: ObjectRecord, *, removed: bool = False) -> int:
        self.revision += 1
        record.revision = self.revision
        change = ChangeRecord(self.revision, record.kind, record.answer(), removed)
        self.history.append(change)
        return self.revision

    async def _refusal(self) -> web.Response | None:
        self.calls += 1
        await sleep(self.latency_s)
        if self.silent:
            await Event().wait()
        if self.down:
            return web.Response(status=_UNAVAILABLE)
        if self.calls_left is not None:
            if self.calls_left <= 0:
                return web.Response(status=_TOO_MANY_REQUESTS)
            self.calls_left -= 1
        return None

    async def _find(self, request: web.Request) -> ObjectRecord | web.Response:
        """Return the object that a request addresses, or an error response."""
        refusal = await self._refusal()
        if refusal is not None:
            return refusal
        object_key = (request.match_info['kind'], request.match_info['name'])
        return self.object_by_key.get(object_key) or web.Response(status=_NOT_FOUND)

    async def _get(self, request: web.Request) -> web.Response:
        record = await self._find(request)
        if isinstance(record, web.Response):
            return record
        return web.json_response(record.answer())

    async def _list(self, request: web.Request) -> web.Response:
        refusal = await self._refusal()
        if refusal is not None:
            return refusal
        if WATCH in request.query:
            return await self._watch(request)
        kind = request.match_info['kind']
        after = request.query.get(AFTER, '')
        names = sorted(name for owner, name in self.object_by_key if owner == kind and name > after)
        page = names[: self.page_size]
        items = [self.object_by_key[kind, name].answer() for name in page]
        more = len(names) > len(page)
        return web.json_response(page_content(items, self.revision, more=more))

    async def _watch(self, request: web.Request) -> web.Response:
        kind = request.match_info['kind']
        since = int(request.query[WATCH])
        if not self.history_from <= since <= self.revision:
            return web.Response(status=_GONE)
        wait_s = int(request.query.get(WAIT_MS, '0')) / _MS
        newer = partial(self._has_newer, kind, since)
        try:
            async with self._changed:
                await wait_for(self._changed.wait_for(newer), wait_s)
        except TimeoutError:
            return self._changes(kind, since)
        return web.Response(status=_UNAVAILABLE) if self.down else self._changes(kind, since)

    def _has_newer(self, kind: str, since: int) -> bool:
        if self.down:
            return True
        return any(change.revision > since and change.kind == kind for change in self.history)

    def _changes(self, kind: str, since: int) -> web.Response:
        changes = [
            (change.content, change.removed)
            for change in self.history
            if change.revision > since and change.kind == kind
        ]
        return web.json_response(changes_content(changes, self.revision))

    async def _create(self, request: web.Request) -> web.Response:
        refusal = await self._refusal()
        if refusal is not None:
            return refusal
        content = await request.json()
        object_key = (request.match_info['kind'], content['meta']['name'])
        record = self.object_by_key.get(object_key)
        if record is not None:
            return web.json_response(record.answer(), status=_CONFLICT)
        self.put_object(*object_key, content['spec'])
        return await self._confirm(request, self.object_by_key[object_key])

    async def _replace(self, request: web.Request) -> web.Response:
        record = await self._find(request)
        if isinstance(record, web.Response):
            return record
        content = await request.json()
        expected_revision = content['meta'].get('revision')
        if expected_revision and expected_revision != record.revision:
            return web.json_response(record.answer(), status=_CONFLICT)
        finalizers = list(content['meta'].get('finalizers') or ())
        if (content['spec'], finalizers) != (record.spec, record.finalizers):
            record.spec = content['spec']
            record.finalizers = finalizers
            self._record_change(record)
        return await self._confirm(request, record)

    async def _replace_status(self, request: web.Request) -> web.Response:
        record = await self._find(request)
        if isinstance(record, web.Response):
            return record
        record.status = (await request.json())['status']
        self._record_change(record)
        return await self._confirm(request, record)

    async def _delete(self, request: web.Request) -> web.Response:
        record = await self._find(request)
        if isinstance(record, web.Response):
            return record
        if record.finalizers:
            record.deleting = True
            self._record_change(record)
        else:
            self.remove_object(record.kind, record.name)
        return await self._confirm(request, record)

    async def _confirm(self, request: web.Request, record: ObjectRecord) -> web.Response:
        await self.notify_watches()
        if self.confirmations_to_lose:
            self.confirmations_to_lose -= 1
            if request.transport is not None:
                request.transport.abort()
        return web.json_response(record.answer())


async def _add_incarnation_header(
    store: PlatformStandIn,
    request: web.Request,
    response: web.StreamResponse,
) -> None:
    """Add the incarnation of the store to the headers of a response."""
    response.headers[INCARNATION_HEADER] = str(store.incarnation)
