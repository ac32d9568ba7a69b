"""Follow one collection of the store: list it, then watch it.

The store may be down, slow or unresponsive, refuse calls, lose its history or cut a watch off; each
of these shows as a refusal or a missing answer.  After a failure the call is repeated with a
backoff (`core.store_waits`).  After the history was lost the collection is listed again, and what
is missing from the listing was removed in the meantime.  It is also listed again if the store was
restored from a backup, because the store would continue a watch by a number that now stands for
another change.
"""

from enum import StrEnum

from bronzekeel.core.routing.effects import Effect, ReadPage, WatchChanges
from bronzekeel.core.routing.listing import Listing
from bronzekeel.core.routing.revisions import incarnation_of
from bronzekeel.core.store_waits import (
    ANSWER_TIMEOUT_S,
    CONFIRM_INTERVAL_S,
    PROBE_WATCH_S,
    WATCH_WAIT_S,
    retry_wait_s,
)


#: Seconds within which this balancer's own watch must report a change that a peer reported.  A
#: store sixty times slower than its usual 4 ms answers in half of this time.
MAX_WATCH_LAG_S = 0.5

#: The same for a stale watch, since stale reads may be seconds behind in the users' store.
MAX_STALE_WATCH_LAG_S = 3.0

#: Seconds between an answer with changed upstreams and the next watch.  Without this delay, when
#: upstreams are replaced one after the other, each change of an entry would cost the store a call
#: from every watcher.  It is a sixth of the shortest bound on an upstream that leaves (3 s), and a
#: change after a quiet period is still reported at once.
BATCH_S = 0.5

#: Seconds after the first listing for which a host waits for heartbeats of watchers before it
#: watches itself.  A neighbour sends a heartbeat every 0.25 s.
LISTEN_S = 0.3


class Collection(StrEnum):
    """Collections of the store that a balancer follows."""

    TEXT = 'text'
    UPSTREAMS = 'upstreams'
    EVACUATIONS = 'evacuations'


class Follower:
    """Hold the progress of following one collection.

    `revision` is the store's revision that is known here, `watched_from` the one from which the
    last watch began; a page was read at `answered_at`.  At `current_until` the last answer no
    longer proves that the view is current.  At `stalled_at` the watch must have ended, or have
    reported what a peer reported.  At `confirmed_at` the view was last known to be as new as the
    store; `store_changes` is set if the last watch ended without changes although the store had
    changed otherwise.  The call in progress is due to be answered at `due_at`; it is a `probing`
    watch if it follows a failure or a doubt.  `listing` has the pages of the listing in progress.
    No call is made before `delayed_until`; `stale` is set if the last call allowed stale reads.
    `relistings` counts the listings since a watch was last answered; the next call `must_list` if
    the watch cannot be continued.
    """

    __slots__ = (
        'answered_at',
        'collection',
        'confirmed_at',
        'current_until',
        'delayed_until',
        'due_at',
        'failures',
        'host',
        'listed',
        'listing',
        'lost',
        'must_list',
        'paused',
        'probing',
        'relistings',
        'retry_at',
        'revision',
        'stale',
        'stalled_at',
        'store_changes',
        'watched_from',
    )

    def __init__(self, collection: Collection, host: str) -> None:
        """Start with nothing read."""
        self.host = host
        self.collection = collection
        self.answered_at: float = 0
        self.confirmed_at: float = 0
        self.current_until: float = 0
        self.due_at: float = 0
        self.stalled_at: float | None = None
        self.failures = 0
        self.listed = False
        self.listing = Listing()
        self.lost = False
        self.must_list = False
        self.paused = False
        self.probing = False
        self.relistings = 0
        self.delayed_until: float | None = None
        self.retry_at: float | None = None
        self.revision = 0
        self.stale = False
        self.store_changes = False
        self.watched_from = 0

    def is_current(self, now: float) -> bool:
        """Whether the view is known to be as new as the store."""
        if self.paused or self.lost or not self.listed:
            return False
        return now < self.current_until

    def pause(self) -> None:
        """Stop calling the store and leave it to other balancers."""
        self.paused = True
        self.current_until = 0
        self.stalled_at = None
        self.delayed_until = None
        self.retry_at = None
        self.lost = False
        self.failures = 0

    def is_due(self, now: float) -> bool:
        """Whether no call is in progress and the next one may be made."""
        if self.paused:
            return True
        return self.retry_at is not None and now >= self.retry_at

    def is_delay_over(self, now: float) -> bool:
        """Whether a delay has ended and the next watch may begin."""
        return self.delayed_until is not None and now >= self.delayed_until

    def adopt(self, revision: int) -> None:
        """Record that a peer sent everything up to `revision`."""
        self.listed = True
        self.revision = max(self.revision, revision)

    def expect_change(self, now: float) -> None:
        """Expect the own watch to report a change that a peer reported.

        A watch that has yet to begin starts after that change and need not report it.
        """
        if self.delayed_until is not None:
            return
        if self.stalled_at is not None and self.is_current(now):
            wait_s = MAX_STALE_WATCH_LAG_S if self.stale else MAX_WATCH_LAG_S
            self.stalled_at = min(self.stalled_at, now + wait_s)

    def expect_incarnation(self, incarnation: int, now: float) -> None:
        """Record the store's current incarnation and restart a watch of an earlier one.

        Such a watch would wait for changes beyond a number that the store has yet to give out
        again, and would miss all changes before.
        """
        waits = self.listed and not self.paused and self.retry_at is None
        if waits and incarnation_of(self.watched_from) < incarnation:
            self.stalled_at = now

    def is_stalled(self, now: float) -> bool:
        """Whether the own watch did not end in time, or not report what a peer reported.

        Without this check, if the store stops answering a host without closing the connection, the
        host would claim until the end of the watch that its view is current, and no other host
        would replace it as a watcher.
        """
        return self.stalled_at is not None and now >= self.stalled_at

    def confirms_at_end(self, now: float) -> bool:
        """Whether a watch without staleness is in progress whose end is still to come."""
        if self.stale or self.probing or self.delayed_until is not None:
            return False
        return self.is_current(now) and self.due_at > now

    def is_unconfirmed(self, now: float, grace_s: float) -> bool:
        """Whether a watch is in progress, and nothing has confirmed the view for too long.

        When the store loses an answer, it does not close the connection, and all watches that wait
        for the same change lose theirs together.  A watch that waits for the next change cannot be
        told from one that waits in vain.
        """
        if self.probing or self.delayed_until is not None or not self.is_current(now):
            return False
        return now >= self.confirmed_at + CONFIRM_INTERVAL_S + grace_s

    def begin_listing(self, now: float) -> Effect:
        """Return the request for the first page.

        The very first listing is stale: a host that starts catches up by its watch or through its
        peers.  A listing after lost history must be newer than what is known.
        """
        self.listing = Listing()
        self.retry_at = None
        self.delayed_until = None
        self.stalled_at = None
        self.must_list = False
        self.probing = False
        self.stale = not self.listed and not self.failures
        self.due_at = now
        return ReadPage(self.collection, '', stale=self.stale)

    def relist(self, now: float) -> list[Effect]:
        """List again because the watch cannot be continued: at once, or after a wait if repeated.

        Without the wait, if the store cannot continue any watch and answers each one at once, each
        host would call it a hundred times a second.  Until the listing is complete, nothing proves
        that the view is current.
        """
        self.invalidate(now)
        self.stalled_at = None
        self.relistings += 1
        if self.relistings == 1:
            return [self.begin_listing(now)]
        self.must_list = True
        self.retry_at = now + _retry_wait_s(self, self.relistings - 1)
        return []

    def next_page(self, after: str, now: float) -> Effect:
        """Return the request for the page after a name."""
        self.due_at = now
        return ReadPage(self.collection, after, stale=self.stale)

    def end_listing(self) -> None:
        """Record that the listing is complete.

        The watch begins at the revision of the oldest page, which repeats some changes instead of
        missing others.
        """
        self.revision = max(self.revision, self.listing.revision or 0)
        self.listed = True
        self.listing = Listing()

    def delay_next_call(self, until: float) -> None:
        """Make no call before `until`; the view counts as current in the meantime."""
        self._note_answer(until)
        self.delayed_until = until

    def listen(self, until: float) -> None:
        """Make no call before `until`; the view does not count as current."""
        self.delay_next_call(until)
        self.current_until = 0

    def invalidate(self, now: float) -> None:
        """Treat the view as not current until the next answer, which may have arrived unread."""
        self.current_until = 0
        if self.stalled_at is not None:
            self.stalled_at = max(self.stalled_at, now + MAX_WATCH_LAG_S)
        if self.delayed_until is not None:
            self.delayed_until = None
            self.retry_at = now

    def watch(
        self,
        now: float,
        *,
        wait_s: float = WATCH_WAIT_S,
        grace_s: float = ANSWER_TIMEOUT_S,
        stale: bool = False,
    ) -> Effect:
        """Return a watch for changes after `revision`, which must end `grace_s` after its wait."""
        self._note_answer(now)
        self.probing = False
        self.confirmed_at = now
        self.stalled_at = now + wait_s + grace_s
        return self._watch(now, wait_s, stale=stale)

    def fail(self, now: float) -> None:
        """Record a failed call and schedule the next attempt.

        The backoff counts from when the answer was due: a call that timed out has waited already.
        """
        self.failures += 1
        self.lost = True
        self.stalled_at = None
        self.delayed_until = None
        self.retry_at = min(now, self.due_at) + _retry_wait_s(self, self.failures)

    def resume(self, now: float, *, stale: bool = False) -> Effect:
        """Continue after a failure or a pause, from what peers reported in the meantime.

        A call in progress is abandoned.
        """
        self.paused = False
        self.current_until = 0
        self.stalled_at = None
        self.delayed_until = None
        self.retry_at = None
        if self.listed and not self.must_list:
            self.probing = True
            return self._watch(now, PROBE_WATCH_S, stale=stale)
        return self.begin_listing(now)

    def probe(self, now: float, grace_s: float) -> Effect:
        """Restart an unconfirmed watch; the view stays current while a prompt answer may arrive."""
        effect = self.resume(now)
        self.current_until = now + grace_s
        return effect

    def _watch(self, now: float, wait_s: float, *, stale: bool) -> Effect:
        self.due_at = now + wait_s
        self.stale = stale
        self.watched_from = self.revision
        return WatchChanges(self.collection, self.revision, wait_s, stale=stale)

    def _note_answer(self, next_call_at: float) -> None:
        """Record that the store answered, and when the next call begins."""
        self.failures = 0
        self.lost = False
        self.retry_at = None
        self.delayed_until = None
        self.stalled_at = None
        self.current_until = next_call_at + WATCH_WAIT_S + ANSWER_TIMEOUT_S


def _retry_wait_s(follower: Follower, failures: int) -> float:
    caller = f'{follower.host}/{follower.collection}'
    return retry_wait_s(failures, caller, known=follower.listed)
