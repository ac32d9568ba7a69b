"""Stand-in of the platform's object store: lists, watches and revisions over HTTP/1.1.

Writers are called in process; the balancers call it over HTTP, and only read.  Names and specs are
bytes, since a foreign writer may store what cannot be read.
"""

from asyncio import CancelledError, Event, IncompleteReadError, create_task, sleep, start_server, wait
from asyncio import FIRST_COMPLETED
from time import monotonic
from urllib.parse import parse_qs, unquote_to_bytes, urlsplit


#: Items and bytes of one page at most, as the pages say; a page has one item at least.
PAGE_ITEMS = 500
PAGE_BYTES = 1_048_576

_HISTORY_S = 20.0


class Change:
    """One change: the object as it is from then on, None if it was removed."""

    __slots__ = ('at', 'content', 'kind', 'name', 'removed', 'revision')

    def __init__(self, at, revision, kind, name, content, removed):
        self.at = at
        self.revision = revision
        self.kind = kind
        self.name = name
        self.content = content
        self.removed = removed


class Store:
    """Hold objects by kind and name, with all their changes.

    `replica_lags_s` are the lags of the replicas that answer stale lists: the lists of a kind go to
    them in turn.  While `loses_answers` is set, no answer arrives, and a connection on which
    one was lost returns nothing further.
    """

    def __init__(self, latency_s=0.004):
        self.latency_s = latency_s
        self.replica_lags_s = (0.0,)
        self._stale_lists_by_kind = {}
        self.holds_watches = False
        self.loses_answers = False
        self.lost_answers = 0
        self.calls = 0
        self.lists = 0
        self.revision = 1
        self.history_from = 1
        self.changes = []
        self._created = {}
        self._changed = Event()
        self._server = None
        self._tasks = set()

    async def open(self, address):
        """Listen on `address`."""
        self._server = await start_server(self._serve, *address)

    async def close(self):
        """Stop listening and end all calls."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()

    def put(self, kind, name, spec):
        """Write an object and return its revision; a write that changes nothing is none."""
        self.revision += 1
        created = self._created.setdefault((kind, name), self.revision)
        content = (
            b'{"meta":{"name":"%s","revision":%d,"createRevision":%d,"finalizers":[],"deleting":false},'
            b'"spec":%s,"status":null}' % (name, self.revision, created, spec)
        )
        self._note(Change(monotonic(), self.revision, kind, name, content, removed=False))
        return self.revision

    def remove(self, kind, name):
        """Remove an object and return the revision of the removal."""
        last = [change for change in self.changes if (change.kind, change.name) == (kind, name)][-1]
        self.revision += 1
        self._created.pop((kind, name), None)
        self._note(Change(monotonic(), self.revision, kind, name, last.content, removed=True))
        return self.revision

    def forget_history(self):
        """Discard the history, and answer the watches that would need it."""
        self.history_from = self.revision
        self.holds_watches = False
        self._wake()

    def answer_watches(self):
        """Let watches report again, and those that wait report what they missed."""
        self.holds_watches = False
        self._wake()

    def _wake(self):
        self._changed.set()
        self._changed = Event()

    def _note(self, change):
        self.changes.append(change)
        self._wake()

    def _objects_at(self, kind, at):
        """Return the objects of a kind by name, and the store's revision, at a time."""
        revision = 1
        by_name = {}
        for change in self.changes:
            if change.at > at:
                break
            revision = change.revision
            if change.kind != kind:
                continue
            if change.removed:
                by_name.pop(change.name, None)
            else:
                by_name[change.name] = change.content
        return by_name, revision

    async def _serve(self, reader, writer):
        task = create_task(self._serve_calls(reader, writer))
        self._tasks.add(task)
        try:
            await task
        except (CancelledError, ConnectionError, IncompleteReadError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    def use_replicas(self, lags_s):
        """Answer stale lists by replicas with these lags from now on, beginning with the first."""
        self.replica_lags_s = lags_s
        self._stale_lists_by_kind.clear()

    def _next_lag_s(self, kind):
        """Return the lag of the replica that answers the next stale list of a kind."""
        number = self._stale_lists_by_kind.get(kind, 0)
        self._stale_lists_by_kind[kind] = number + 1
        return self.replica_lags_s[number % len(self.replica_lags_s)]

    async def _serve_calls(self, reader, writer):
        while True:
            head = await reader.readuntil(b'\r\n\r\n')
            self.calls += 1
            method, target, _ = head.split(b'\r\n', 1)[0].decode('latin-1').split(' ')
            parts = urlsplit(target)
            query = {key: values[0] for key, values in parse_qs(parts.query, encoding='latin-1').items()}
            kind = parts.path.rsplit('/', 1)[1]
            await sleep(self.latency_s)
            if method != 'GET' or not parts.path.startswith('/v1/objects/'):
                status, body = 404, b''
            elif 'watch' in query:
                status, body = await self._watch(kind, int(query['watch']), int(query['waitMs']) / 1000)
            else:
                lag_s = self._next_lag_s(kind) if query.get('serializable') == '1' else 0.0
                self.lists += 1
                after = unquote_to_bytes(query.get('after', '').encode('latin-1'))
                status, body = 200, self._page(kind, after, monotonic() - lag_s)
            if self.loses_answers:
                self.lost_answers += 1
                await reader.read()
                return
            writer.write(
                b'HTTP/1.1 %d -\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n'
                % (status, len(body)) + body,
            )
            await writer.drain()

    def _page(self, kind, after, at):
        by_name, revision = self._objects_at(kind, at)
        items = []
        size = 0
        names = sorted(name for name in by_name if name > after)
        for name in names:
            size += len(by_name[name])
            if items and (len(items) >= PAGE_ITEMS or size > PAGE_BYTES):
                break
            items.append(by_name[name])
        more = b'true' if len(items) < len(names) else b'false'
        return b'{"items":[%s],"hasMore":%s,"storeRevision":%d}' % (b','.join(items), more, revision)

    async def _watch(self, kind, since, wait_s):
        end_at = monotonic() + wait_s
        while self.holds_watches or not self._newer(kind, since):
            if since < self.history_from:
                return 410, b''
            left_s = end_at - monotonic()
            if left_s <= 0:
                break
            changed = create_task(self._changed.wait())
            await wait((changed,), timeout=left_s, return_when=FIRST_COMPLETED)
            changed.cancel()
        if since < self.history_from or self._is_forgotten(kind, since):
            return 410, b''
        events = b','.join(
            b'{"tombstone":%s,"object":%s}' % (b'true' if change.removed else b'false', change.content)
            for change in self._newer(kind, since)
        )
        return 200, b'{"events":[%s],"storeRevision":%d}' % (events, self.revision)

    def _is_forgotten(self, kind, since):
        """Return whether the first change after `since` is older than the history that is kept."""
        newer = self._newer(kind, since)
        return bool(newer) and newer[0].at < monotonic() - _HISTORY_S

    def _newer(self, kind, since):
        return [change for change in self.changes if change.revision > since and change.kind == kind]
