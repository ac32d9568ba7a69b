"""Follow one collection of the store: list it, then watch it.

What goes wrong: the store is down, slow, silent, refuses calls, loses its
history or cuts a watch off.  One notices by an answer that is a refusal or does
not come.  After each failure it is called again later (`core.store_waits`); after a
lost history the collection is listed anew, and what is missing then was removed
meanwhile.  A store that came back from a copy is listed anew too: it answers a watch by
the number, which means something else there.
"""

from enum import StrEnum

from bronzekeel.core.routing.effects import Effect, ReadPage, WatchChanges
from bronzekeel.core.routing.events import StoredObject
from bronzekeel.core.routing.revisions import incarnation_of, is_same_incarnation
from bronzekeel.core.store_waits import ANSWER_TIMEOUT_S, PROBE_WATCH_S, WATCH_WAIT_S, retry_wait_s


#: Seconds within which the own watch must tell what a peer has told.  Source: a
#: store sixty times slower than its usual 4 ms answers in half of it.
NEWS_S = 0.5

#: The same for a stale watch.  Source: the users' store may be "seconds" behind there.
STALE_NEWS_S = 3.0

#: Seconds between an answer that tells of changed upstreams and the next watch.  What goes wrong
#: without it: upstreams are replaced one after the other, and each of their entries' changes costs
#: the store a call from every watcher.  Source: a sixth of the shortest bound on an upstream that
#: leaves (3 s); a change after a quiet time is still told at once.
GATHER_S = 0.5

#: Seconds after its first listing for which a host listens whether others watch, before it does.
#: Source: a neighbour is heard within one of its heartbeats (0.25 s).
LISTEN_S = 0.3


class Collection(StrEnum):
    """Name the collections that a balancer follows."""

    TEXT = 'text'
    UPSTREAMS = 'upstreams'
    EVACUATIONS = 'evacuations'


class Follower:
    """Hold how far one collection was read.

    `revision` is the store's revision that is known here, `watched_from` the one from which the
    last watch began; a page was read at `answered_at`.
    At `current_until` the last answer no longer proves that the view is current; at
    `doubtful_at` the watch must have told what a peer has told.  The listing in progress has
    the `objects` of its pages so far, read from `listing_revision` on; it `has_gaps` when some have
    no name that can be read.  Until `rests_until` no call is made; `stale` tells that the last one
    was.  `relistings` counts the lists that were needed since a watch was last answered; the next
    call `must_list` when no watch can go on.
    """

    __slots__ = (
        '_host',
        'answered_at',
        'collection',
        'current_until',
        'doubtful_at',
        'failures',
        'has_gaps',
        'listed',
        'listing_revision',
        'lost',
        'must_list',
        'objects',
        'paused',
        'relistings',
        'rests_until',
        'retry_at',
        'revision',
        'stale',
        'watched_from',
    )

    def __init__(self, collection: Collection, host: str) -> None:
        """Start with nothing read."""
        self._host = host
        self.collection = collection
        self.answered_at: float = 0
        self.current_until: float = 0
        self.doubtful_at: float | None = None
        self.failures = 0
        self.has_gaps = False
        self.listed = False
        self.listing_revision: int | None = None
        self.lost = False
        self.must_list = False
        self.objects: list[StoredObject] = []
        self.paused = False
        self.relistings = 0
        self.rests_until: float | None = None
        self.retry_at: float | None = None
        self.revision = 0
        self.stale = False
        self.watched_from = 0

    def is_current(self, now: float) -> bool:
        """Whether the view is known to be as new as the store."""
        if self.paused or self.lost or not self.listed:
            return False
        return now < self.current_until

    def pause(self) -> None:
        """Leave the store to other balancers."""
        self.paused = True
        self.current_until = 0
        self.doubtful_at = None
        self.rests_until = None
        self.retry_at = None
        self.lost = False
        self.failures = 0

    def is_due(self, now: float) -> bool:
        """Whether no call is in progress and the next may be made."""
        if self.paused:
            return True
        return self.retry_at is not None and now >= self.retry_at

    def has_rested(self, now: float) -> bool:
        """Whether a rest has ended and the next watch may begin."""
        return self.rests_until is not None and now >= self.rests_until

    def adopt(self, revision: int) -> None:
        """Note that a peer told everything up to `revision`."""
        self.listed = True
        self.revision = max(self.revision, revision)

    def expect_news(self, now: float) -> None:
        """Note that a peer told what the own watch has to tell too.

        One that is yet to begin goes on from there, and has nothing of it to tell.
        """
        if self.rests_until is not None:
            return
        if self.doubtful_at is None and self.is_current(now):
            wait_s = STALE_NEWS_S if self.stale else NEWS_S
            self.doubtful_at = now + wait_s

    def expect_incarnation(self, incarnation: int, now: float) -> None:
        """Note that the store has this incarnation now.

        What goes wrong without it: a watch that began in a former one waits for changes beyond
        a number that the store has yet to give out again, and hears of none before.
        """
        waits = self.listed and not self.paused and self.retry_at is None
        if waits and incarnation_of(self.watched_from) < incarnation:
            self.doubtful_at = now

    def is_doubtful(self, now: float) -> bool:
        """Whether the own watch did not tell what a peer told.

        What goes wrong without it: the store falls silent towards a host and closes
        nothing.  Until the watch ends the host claims that its view is current, and
        no other takes its place as a watcher.
        """
        return self.doubtful_at is not None and now >= self.doubtful_at

    def begin_listing(self) -> Effect:
        """Ask for the first page.

        The first listing of all is stale: a host that starts catches up by its watch, or by what
        its peers tell.  One after lost history must be newer than what is known.
        """
        self.objects = []
        self.has_gaps = False
        self.listing_revision = None
        self.retry_at = None
        self.rests_until = None
        self.doubtful_at = None
        self.must_list = False
        self.stale = not self.listed and not self.failures
        return ReadPage(self.collection, '', stale=self.stale)

    def relist(self, now: float) -> list[Effect]:
        """List anew, since the watch cannot go on: at once, or later if the last list was in vain.

        What goes wrong without the pause: a store that can go on with no watch answers each at
        once, and each host calls it a hundred times a second.  Until the list is read nothing
        proves that the view is current.
        """
        self.doubt(now)
        self.relistings += 1
        if self.relistings == 1:
            return [self.begin_listing()]
        self.must_list = True
        self.retry_at = now + self._wait_s(self.relistings - 1)
        return []

    def is_page_of_listing(self, revision: int) -> bool:
        """Whether a page read at `revision` fits those that were read before it."""
        if self.listing_revision is None:
            return True
        return is_same_incarnation(revision, self.listing_revision)

    def add_page(self, objects: list[StoredObject], revision: int) -> str:
        """Add a page to the listing; return the last name on it, if it has any."""
        if self.listing_revision is None:
            self.listing_revision = revision
        self.objects.extend(objects)
        names = [listed.name for listed in objects if listed.name]
        self.has_gaps |= len(names) < len(objects)
        return names[-1] if names else ''

    def next_page(self, after: str) -> Effect:
        """Ask for the page after a name."""
        return ReadPage(self.collection, after, stale=self.stale)

    def end_listing(self, revision: int) -> None:
        """Note that the listing is whole.

        Watching from the first page's revision repeats changes made while
        pages were read instead of missing them.
        """
        self.revision = max(self.revision, self.listing_revision or revision)
        self.listed = True

    def rest(self, until: float) -> None:
        """Make no call before `until`; what was read last counts as current meanwhile."""
        self._note_answer(until)
        self.rests_until = until

    def listen(self, until: float) -> None:
        """Make no call before `until`; what was read may be behind."""
        self.rest(until)
        self.current_until = 0

    def doubt(self, now: float) -> None:
        """Take nothing for current before the next answer."""
        self.current_until = 0
        if self.rests_until is not None:
            self.rests_until = None
            self.retry_at = now

    def watch(self, now: float, *, stale: bool = False) -> Effect:
        """Wait for changes after `revision`."""
        self._note_answer(now)
        return self._watch(WATCH_WAIT_S, stale=stale)

    def fail(self, now: float) -> None:
        """Plan the next try."""
        self.failures += 1
        self.lost = True
        self.doubtful_at = None
        self.rests_until = None
        self.retry_at = now + self._wait_s(self.failures)

    def resume(self, *, stale: bool = False) -> Effect:
        """Go on where a failure or a pause was, from what peers told meanwhile.

        A call in progress is given up.
        """
        self.paused = False
        self.current_until = 0
        self.doubtful_at = None
        self.rests_until = None
        self.retry_at = None
        if self.listed and not self.must_list:
            return self._watch(PROBE_WATCH_S, stale=stale)
        return self.begin_listing()

    def _wait_s(self, failures: int) -> float:
        return retry_wait_s(failures, f'{self._host}/{self.collection}', known=self.listed)

    def _watch(self, wait_s: float, *, stale: bool) -> Effect:
        self.stale = stale
        self.watched_from = self.revision
        return WatchChanges(self.collection, self.revision, wait_s, stale=stale)

    def _note_answer(self, next_call_at: float) -> None:
        """Note that the store answered, and when the next call begins."""
        self.failures = 0
        self.lost = False
        self.retry_at = None
        self.rests_until = None
        self.doubtful_at = None
        self.current_until = next_call_at + WATCH_WAIT_S + ANSWER_TIMEOUT_S
