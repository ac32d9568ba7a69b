"""Count the answers of upstreams that this host observes, in units that hosts can add up.

The time of an answer is divided by the mean time of its kind of request, so that an upstream with
more expensive requests does not appear slow.  With absolute times, flows would be moved away from
an upstream because it serves other kinds of requests than an equally fast one.  Times are limited
to a few means, since a single request of a minute is as likely at any upstream.
"""

from collections.abc import Callable, Iterable

from bronzekeel.core.routing.model import Upstream, UpstreamEntry


#: Upper limit of the time of an answer, in means of its kind.  0.7% of exponentially distributed
#: times are longer, and 0.8 of the difference of an upstream that is five times slower is retained.
MAX_MEANS = 5.0

#: Time in means above which the time of an answer is soft-clipped towards `MAX_MEANS`.
_CLIP_START_MEANS = 4.0
_CLIP_RANGE_MEANS = MAX_MEANS - _CLIP_START_MEANS

#: Minimum distance from `MAX_MEANS` when soft clipping is inverted: the resolution of means in
#: messages.
_MIN_CLIP_MARGIN = 0.015625

#: Time in means below which an answer is ignored, because an upstream without a free slot rejects
#: requests immediately.  5% of exponentially distributed times are shorter.
MIN_MEANS = 0.05

#: Minimum number of answers of a kind for a usable mean.  The standard error is then a quarter of
#: the mean, and the errors of different hosts average out in the sum.
_SETTLED_ANSWERS = 16

#: Effective number of newest answers that determine a mean.
_MAX_ANSWERS = 256

#: Maximum number of kinds with a mean.  This is twice the number of routes in docs/CAPACITY.md and
#: takes half a megabyte.  A host without a mean for a kind ignores the first answers of that kind.
_MAX_KINDS = 4000

#: Maximum number of answer counts in one message, those with the most answers first.  A host with
#: ten requests per second that reports every second does not have more.
MAX_REPORTED_COUNTS = 16

#: Maximum number of upstreams with pending requests in one message.
MAX_PENDING_REPORTED = 8

#: Age in means from which a request in progress counts as pending.  One in seven exponentially
#: distributed times is longer; younger requests are weak evidence.
MIN_PENDING_MEANS = 2.0

#: Maximum number of answers and sum of means per count in a message: they are encoded in one byte
#: and in two bytes.
MAX_ANSWERS_REPORTED = 255
MAX_MEANS_REPORTED = 1023


class AnswerCount:
    """Hold the number of answers of one upstream and the sum of their times in means.

    `number` is the short number of the upstream; `start` distinguishes its restarts.
    """

    __slots__ = ('answers', 'means', 'number', 'start')

    def __init__(self, number: int, start: int, answers: int = 0, means: float = 0) -> None:
        """Start a count for the upstream with this short number."""
        self.number = number
        self.start = start
        self.answers = answers
        self.means = means


class PendingRequest:
    """Hold a request in progress at an upstream."""

    __slots__ = ('kind', 'sent_at', 'upstream')

    def __init__(self, upstream: Upstream, kind: bytes, sent_at: float) -> None:
        """Store the upstream, the kind of the request and when it was sent."""
        self.upstream = upstream
        self.kind = kind
        self.sent_at = sent_at


class ReportedCounts:
    """Hold what a host has counted since its previous report.

    `reported_ms` is the monotonic clock of the host in milliseconds, which orders its reports.
    `pending` counts the requests in progress for at least `MIN_PENDING_MEANS`, with the sums of
    their ages in means.
    """

    __slots__ = ('counts', 'pending', 'reported_ms')

    def __init__(
        self,
        reported_ms: int,
        counts: tuple[AnswerCount, ...],
        pending: tuple[AnswerCount, ...] = (),
    ) -> None:
        """Store the counts of one report."""
        self.reported_ms = reported_ms
        self.counts = counts
        self.pending = pending


class KindMean:
    """Track the mean answer time of one kind of request."""

    __slots__ = ('_answers', '_ignored', '_mean_s')

    def __init__(self) -> None:
        """Start without answers."""
        self._answers = 0
        self._ignored = 0
        self._mean_s: float = 0

    @property
    def settled_mean_s(self) -> float:
        """Mean answer time in seconds, zero while there are too few answers."""
        return self._mean_s if self._answers >= _SETTLED_ANSWERS else 0

    def add(self, work_s: float) -> float | None:
        """Add one answer and return its time in means, or None if the answer is ignored.

        The mean starts again after a series of ignored answers.  Otherwise a kind whose first
        answers were delayed would keep a mean so high that all later answers are ignored.
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
    """Hold one answer: its upstream and its time in seconds and in means of its kind."""

    __slots__ = ('means', 'upstream', 'work_s')

    def __init__(self, upstream: Upstream, work_s: float, means: float) -> None:
        """Store the measured times."""
        self.upstream = upstream
        self.work_s = work_s
        self.means = means


class AnswerCounts:
    """Count the answers of upstreams, including those not yet reported to neighbours.

    Answers to requests that were sent before `valid_from` are ignored.  Answers faster and slower
    than the mean are counted separately, since neighbours evaluate each answer at the mean of its
    count.  `pending_by_upstream` counts the requests in progress for at least
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
        """Start without answers or pending requests."""
        self.valid_from: float = 0
        self._new_answers: list[Answer] = []
        self._mean_by_kind: dict[bytes, KindMean] = {}
        self._unreported_by_upstream_and_speed: dict[tuple[Upstream, bool], AnswerCount] = {}
        self.pending_by_upstream: dict[Upstream, AnswerCount] = {}

    def note(self, upstream: Upstream, kind: bytes, sent_at: float, now: float) -> None:
        """Add the answer of an upstream to a request of this kind.

        Answers of a cold upstream are ignored, since they do not show its later speed.
        """
        if now < upstream.warm_at or sent_at < self.valid_from:
            return
        work_s = max(0, now - sent_at - upstream.pool.rtt_s)
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
        """Return the answers since the previous call."""
        new_answers = self._new_answers
        self._new_answers = []
        return new_answers

    def pop_report(self, now: float) -> ReportedCounts | None:
        """Return and clear the counts for the next message, None if there are none."""
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
        """Discard unreported counts of upstreams that are no longer known."""
        for upstream, is_slow in list(self._unreported_by_upstream_and_speed):
            if not is_known(upstream):
                self._unreported_by_upstream_and_speed.pop((upstream, is_slow))

    def _age_in_means(self, request: PendingRequest, now: float) -> float:
        """Return the age of a request in means of its kind, zero without a usable mean."""
        mean = self._mean_by_kind.get(request.kind)
        if mean is None or not mean.settled_mean_s:
            return 0
        return (now - request.sent_at - request.upstream.pool.rtt_s) / mean.settled_mean_s

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
    """Return a byte that usually differs between two starts of an upstream."""
    return entry.started_ms % _BYTE


def ms_of(now: float) -> int:
    """Return a time in milliseconds as encoded in messages; it wraps after seven weeks."""
    return int(now * _MS) % CLOCK_RANGE


def _empty_count(upstream: Upstream) -> AnswerCount:
    return AnswerCount(upstream.entry.short_number, start_of(upstream.entry))


def _means_of(count: AnswerCount) -> float:
    return count.means


def _bounded(count: AnswerCount) -> AnswerCount:
    """Return a count scaled down to the encodable limits, with the same mean."""
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
