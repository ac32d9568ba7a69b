"""Count the answers of upstreams by own sight, as figures that add up among hosts.

An answer counts with its time beside the mean of its kind, so that an upstream that is asked for
more work than others does not look slow.  A time counts for a few means at most: the long tail of
the work is as likely at any upstream.

What goes wrong with plain times: two upstreams of the same speed serve different kinds of
requests, or one of them a request of a minute, and flows leave it.
"""

from collections.abc import Callable, Iterable

from bronzekeel.core.routing.model import Upstream, UpstreamEntry


#: Times the mean of its kind that an answer counts for at most.  Source: an upstream that works
#: five times slower is told apart by 0.8 of that, and of exponential work 0.7% is longer.
MAX_MEANS = 5.0

#: Times the mean above which the time of an answer is soft-clipped towards `MAX_MEANS`.
_CLIP_START_MEANS = 4.0
_CLIP_RANGE_MEANS = MAX_MEANS - _CLIP_START_MEANS

#: Least distance from `MAX_MEANS` when soft clipping is inverted: the resolution of means in
#: messages.
_MIN_CLIP_MARGIN = 0.015625

#: Share of the mean of its kind below which an answer is no work: an upstream without a free place
#: turns requests away at once.  Source: of exponential work 5% is shorter.
MIN_MEANS = 0.05

#: Answers of a kind that make its mean.  Source: its standard error is then a quarter of it, and
#: the errors of hosts cancel in the sum.
_SETTLED_ANSWERS = 16

#: Answers that a mean is made of at most, the newest ones.
_MAX_ANSWERS = 256

#: Kinds of which means are kept at most.  Source: twice the routes of docs/CAPACITY.md would take
#: half a megabyte; a host without a mean of a kind leaves out its first answers.
_MAX_KINDS = 4000

#: Upstreams whose answer counts one message carries at most, those with the most answers first.  A
#: host with ten requests a second that reports every second has no more to report.
MAX_REPORTED_COUNTS = 16

#: Upstreams with pending requests that one message tells of at most.
MAX_PENDING_REPORTED = 8

#: Means of its kind from which a request in progress counts as pending.  One in seven requests of
#: exponential work takes as long; shorter ones are weak evidence.
MIN_PENDING_MEANS = 2.0

#: Answers, and means, that one message tells of one upstream at most: a byte, and two bytes.
MAX_ANSWERS_REPORTED = 255
MAX_MEANS_REPORTED = 1023


class AnswerCount:
    """Hold the answers of one upstream: how many, and their sum in means of their kinds.

    `start` tells starts of the upstream apart.
    """

    __slots__ = ('answers', 'means', 'number', 'start')

    def __init__(self, number: int, start: int, answers: int = 0, means: float = 0) -> None:
        """Count for the upstream with a short number."""
        self.number = number
        self.start = start
        self.answers = answers
        self.means = means


class PendingRequest:
    """Hold a request in progress at an upstream."""

    __slots__ = ('kind', 'sent_at', 'upstream')

    def __init__(self, upstream: Upstream, kind: bytes, sent_at: float) -> None:
        """Keep the upstream, the kind of the request and when it was sent."""
        self.upstream = upstream
        self.kind = kind
        self.sent_at = sent_at


class ReportedCounts:
    """Hold what a host counted since it last told.

    `reported_ms` is its steady clock in milliseconds, which orders its messages.  `pending` counts the
    requests in progress for at least `MIN_PENDING_MEANS`, with the sums of their ages in means.
    """

    __slots__ = ('counts', 'pending', 'reported_ms')

    def __init__(
        self,
        reported_ms: int,
        counts: tuple[AnswerCount, ...],
        pending: tuple[AnswerCount, ...] = (),
    ) -> None:
        """Keep the counts as they are sent."""
        self.reported_ms = reported_ms
        self.counts = counts
        self.pending = pending


class KindMean:
    """Hold the mean seconds of the answers of one kind of requests."""

    __slots__ = ('_answers', '_ignored', '_mean_s')

    def __init__(self) -> None:
        """Start without an answer."""
        self._answers = 0
        self._ignored = 0
        self._mean_s: float = 0

    @property
    def settled_mean_s(self) -> float:
        """Mean seconds, zero while there are too few answers."""
        return self._mean_s if self._answers >= _SETTLED_ANSWERS else 0

    def add(self, work_s: float) -> float | None:
        """Take one answer; return its time in means, None if it counts for nothing.

        What goes wrong when those that are no work are left out for ever: the first answers of a
        kind came late, its mean is many times its work, and nothing is learned from it any more.
        """
        settled = self._answers >= _SETTLED_ANSWERS and self._mean_s > 0
        means = work_s / self._mean_s if settled else 0
        if settled and work_s < MIN_MEANS * self._mean_s:
            self._ignored += 1
            if self._ignored >= _SETTLED_ANSWERS:
                self._answers = 0
                self._ignored = 0
            return None
        self._ignored = 0
        if settled:
            work_s = min(work_s, MAX_MEANS * self._mean_s)
        self._answers = min(self._answers + 1, _MAX_ANSWERS)
        self._mean_s += (work_s - self._mean_s) / self._answers
        return soft_clip(means) if settled else None


class Answer:
    """Hold one answer: its upstream, its work in seconds and in means of its kind."""

    __slots__ = ('means', 'upstream', 'work_s')

    def __init__(self, upstream: Upstream, work_s: float, means: float) -> None:
        """Keep what was measured."""
        self.upstream = upstream
        self.work_s = work_s
        self.means = means


class AnswerCounts:
    """Count the answers of upstreams, and what of it neighbours are still to be told.

    Answers to requests that began before `valid_from` count for nothing.  Answers faster and
    slower than the mean are counted separately, since neighbours weigh each answer by the mean of
    its count.  `pending_by_upstream` counts the requests in progress for at least
    `MIN_PENDING_MEANS`.
    """

    __slots__ = (
        '_mean_by_kind',
        '_new_answers',
        '_unreported_by_upstream_and_speed',
        'pending_by_upstream',
        'valid_from',
    )

    def __init__(self) -> None:
        """Start with none."""
        self.valid_from: float = 0
        self._new_answers: list[Answer] = []
        self._mean_by_kind: dict[bytes, KindMean] = {}
        self._unreported_by_upstream_and_speed: dict[tuple[Upstream, bool], AnswerCount] = {}
        self.pending_by_upstream: dict[Upstream, AnswerCount] = {}

    def note(self, upstream: Upstream, kind: bytes, sent_at: float, now: float) -> None:
        """Take the answer of an upstream to a request of some kind.

        While an upstream is cold its answers tell nothing of what it can do later.
        """
        if now < upstream.warm_at or sent_at < self.valid_from:
            return
        work_s = max(0, now - sent_at - upstream.pool.way_s)
        if kind not in self._mean_by_kind and len(self._mean_by_kind) >= _MAX_KINDS:
            self._mean_by_kind.pop(next(iter(self._mean_by_kind)))
        means = self._mean_by_kind.setdefault(kind, KindMean()).add(work_s)
        if means is None:
            return
        self._new_answers.append(Answer(upstream, work_s, means))
        key = (upstream, means > 1)
        unreported = self._unreported_by_upstream_and_speed.get(key)
        if unreported is None:
            unreported = _empty_count(upstream)
            self._unreported_by_upstream_and_speed[key] = unreported
        unreported.answers += 1
        unreported.means += means

    def note_pending(self, requests: Iterable[PendingRequest], now: float) -> None:
        """Replace the pending requests, given all requests in progress."""
        self.pending_by_upstream = {}
        for request in requests:
            upstream = request.upstream
            if now < upstream.warm_at or request.sent_at < self.valid_from:
                continue
            means = self._age_in_means(request, now)
            if means < MIN_PENDING_MEANS:
                continue
            pending = self.pending_by_upstream.setdefault(upstream, _empty_count(upstream))
            pending.answers += 1
            pending.means += soft_clip(means)

    def pop_answers(self) -> list[Answer]:
        """Return the answers since the last call."""
        new_answers = self._new_answers
        self._new_answers = []
        return new_answers

    def pop_report(self, now: float) -> ReportedCounts | None:
        """Return what the next message tells, None if there is nothing; it is told once."""
        if not self._unreported_by_upstream_and_speed and not self.pending_by_upstream:
            return None
        changed = sorted(
            self._unreported_by_upstream_and_speed, key=self._unreported_answers, reverse=True
        )
        reported = [
            self._unreported_by_upstream_and_speed.pop(key) for key in changed[:MAX_REPORTED_COUNTS]
        ]
        pending = sorted(self.pending_by_upstream.values(), key=_means_of, reverse=True)
        return ReportedCounts(
            ms_of(now),
            tuple(map(_bounded, reported)),
            tuple(map(_bounded, pending[:MAX_PENDING_REPORTED])),
        )

    def discard_unknown(self, is_known: Callable[[Upstream], bool]) -> None:
        """Forget what is untold of upstreams that are not known any more."""
        for upstream, is_slow in list(self._unreported_by_upstream_and_speed):
            if not is_known(upstream):
                self._unreported_by_upstream_and_speed.pop((upstream, is_slow))

    def _age_in_means(self, request: PendingRequest, now: float) -> float:
        """Return the age of a request in means of its kind, zero while the mean is not settled."""
        mean = self._mean_by_kind.get(request.kind)
        if mean is None or not mean.settled_mean_s:
            return 0
        return (now - request.sent_at - request.upstream.pool.way_s) / mean.settled_mean_s

    def _unreported_answers(self, key: tuple[Upstream, bool]) -> int:
        return self._unreported_by_upstream_and_speed[key].answers


def soft_clip(means: float) -> float:
    """Return a time in means, compressed above `_CLIP_START_MEANS` to stay below ``MAX_MEANS``."""
    if means <= _CLIP_START_MEANS:
        return means
    return MAX_MEANS - _CLIP_RANGE_MEANS**2 / (means - _CLIP_START_MEANS + _CLIP_RANGE_MEANS)


def invert_soft_clip(clipped: float) -> float:
    """Return the time in means that was soft-clipped to `clipped`."""
    if clipped <= _CLIP_START_MEANS:
        return clipped
    margin = max(MAX_MEANS - clipped, _MIN_CLIP_MARGIN)
    return _CLIP_START_MEANS - _CLIP_RANGE_MEANS + _CLIP_RANGE_MEANS**2 / margin


def start_of(entry: UpstreamEntry) -> int:
    """Return a byte that mostly differs between two starts of an upstream."""
    return entry.started_ms % _BYTE


def ms_of(now: float) -> int:
    """Return a moment in milliseconds as a message holds it; it wraps after seven weeks."""
    return int(now * _MS) % CLOCK_RANGE


def _empty_count(upstream: Upstream) -> AnswerCount:
    return AnswerCount(upstream.entry.short_number, start_of(upstream.entry))


def _means_of(count: AnswerCount) -> float:
    return count.means


def _bounded(count: AnswerCount) -> AnswerCount:
    """Return a count that fits into its place; its mean stays."""
    if count.answers <= MAX_ANSWERS_REPORTED and count.means <= MAX_MEANS_REPORTED:
        return count
    share = min(MAX_ANSWERS_REPORTED / count.answers, MAX_MEANS_REPORTED / max(count.means, 1))
    answers = max(1, int(count.answers * share))
    means = count.means * answers / count.answers
    return AnswerCount(count.number, count.start, answers, means)


_BYTE = 256
_MS = 1000
_CLOCK_BITS = 32
CLOCK_RANGE = 1 << _CLOCK_BITS
