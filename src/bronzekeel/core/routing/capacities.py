"""Learn the speeds of upstreams from the answers that all hosts of a data centre observe.

Hosts report their counts to each other and every host adds them up, so that all compute nearly the
same speeds.  The work per request of an upstream, without the time in its queue, is compared with
the mean of its service in the data centre.  A long window shows steady differences that are
statistically significant.  A short window replaces the long one when an upstream no longer differs.
Slowdowns are detected from single answers and requests in progress (`core.routing.slowdowns`).

Load pattern: the upstreams of one service have different speeds, or one becomes slow for seconds.
"""

from collections.abc import Iterable
from math import log, sqrt

from bronzekeel.core.log_numbers import LogNumber
from bronzekeel.core.routing.answer_counts import (
    CLOCK_RANGE,
    MAX_MEANS,
    Answer,
    AnswerCount,
    AnswerCounts,
    ReportedCounts,
    invert_soft_clip,
    start_of,
)
from bronzekeel.core.routing.answer_times import AnswerTimes
from bronzekeel.core.routing.answer_windows import AnswerWindow
from bronzekeel.core.routing.directory import Directory
from bronzekeel.core.routing.effects import Effect, WriteLine
from bronzekeel.core.routing.model import Upstream
from bronzekeel.core.routing.pools import Pool
from bronzekeel.core.routing.slowdowns import (
    SLOWDOWN_START_NATS,
    SlowdownDetector,
    median_evidence,
)


#: Interval in seconds at which speeds are computed: a quarter of the heartbeat interval in a data
#: centre of 25 hosts.
UPDATE_INTERVAL_S = 0.25

#: Minimum interval in seconds per upstream.  The update of one upstream takes a fiftieth of it, so
#: that all updates together take at most two hundredths of a core.
INTERVAL_PER_UPSTREAM_S = 0.001

#: Minimum interval in seconds when an upstream may have become slower: the interval of ticks.
MIN_UPDATE_INTERVAL_S = 0.1

#: Half-lives in seconds of the two windows.  The speed must follow a slowdown within 2 s, of which
#: a heartbeat may take 1 s.  A steady difference of a third takes a hundred answers to detect.
SHORT_S = 0.75
LONG_S = 8.0

#: Standard errors above which a difference becomes significant, and below which it no longer is.
#: They are high since sixty upstreams are tested four times a second for days, and since the sums
#: of few answers are skewed.
DIFFERENCE_START_ERRORS = 5.0
DIFFERENCE_END_ERRORS = 2.5

#: Standard errors by which the short window must be nearer to the mean than the long one to replace
#: it.  Most upstreams are equal, so the end of a difference needs less evidence than its start.
RECOVERY_ERRORS = 2.5

#: Standard errors by which the answers since the start or the end of a slowdown must differ from
#: the earlier ones for the earlier ones to be discarded.
CHANGE_ERRORS = 3.0

#: Lower bound and initial value of the noise, the ratio of the variance of windows to that expected
#: of independent answers.  Without this factor, a few long requests that occupy all slots of an
#: upstream would be enough to consider it slow, since all requests queued behind them are late
#: together.
_MIN_NOISE = 1.0
_INITIAL_NOISE = 6.0

#: Upper limit on the squared standard errors that one block contributes to the noise, so that a
#: change in the speed of one upstream raises it little.
_MAX_BLOCK_NOISE = 100.0

#: Minimum length in seconds of a block of answers whose mean is compared with the long window.
#: Shorter blocks split the correlated answers of one queue and underestimate the noise.
_BLOCK_S = 2.0

#: Number of blocks below which `_INITIAL_NOISE` is used instead of the measured noise.
_MIN_BLOCKS = 40

#: Minimum weight of the newest block in the moving average of the noise.
_MIN_BLOCK_WEIGHT = 0.005

#: Minimum relative difference of the work.  Random variations of the load within a second amount to
#: a fifth of the capacity, so smaller differences do not matter.
MIN_DIFFERENCE = 0.2

#: Seconds for which a neighbour's report of its pending requests is valid: one and a half heartbeat
#: intervals, so that a late heartbeat leaves no gap.
PENDING_VALID_S = 1.5

#: Bounds of a learned speed.  An upstream that is more than ten times slower is of no use, but must
#: still receive requests to show when it has recovered.
MIN_SPEED = 0.1
MAX_SPEED = 3.0

#: Minimum spare capacity as a share of the capacity.  An upstream with a full queue must still
#: receive an occasional request.
MIN_SPARE = 0.05

#: Minimum variance of answer times in means: a standard deviation of half the mean.  Even if the
#: work hardly differs, the time on the network varies.
_MIN_VARIANCE = 0.25

#: Minimum weight of the newest answer in the mean answer time of a pool.
_NEWEST_WEIGHT = 0.004

#: Milliseconds by which a report may be late.  A host whose clock is further back has restarted.
_LATE_MS = 5000
_HALF_RANGE = CLOCK_RANGE // 2


class ServiceWork:
    """Track the mean answer time of one pool, and the distribution of answer times around it."""

    __slots__ = ('_answers', '_blocks', '_noise', 'mean_s', 'times')

    def __init__(self) -> None:
        """Start without answers."""
        self._answers = 0
        self._blocks = 0
        self._noise: float = 1
        self.mean_s: float = 0
        self.times = AnswerTimes()

    @property
    def noise(self) -> float:
        """Ratio of the variance of block means to that expected of independent answers."""
        if self._blocks < _MIN_BLOCKS:
            return _INITIAL_NOISE
        return max(self._noise, _MIN_NOISE)

    @property
    def variance(self) -> float:
        """Variance of answer times in means."""
        return max(self.times.variance, _MIN_VARIANCE)

    @property
    def has_answers(self) -> bool:
        """Whether this host has measured an answer."""
        return self._answers > 0

    def error(self, *windows: AnswerWindow) -> float:
        """Return the standard error of a mean, or of the difference of the means of windows."""
        inverse = sum(1 / window.evidence for window in windows)
        return sqrt(self.variance * self.noise * inverse)

    def update_noise(self, block: 'AnswerBlock') -> None:
        """Update the noise with the squared difference of a block from its baseline.

        The difference is in standard errors, as if the answers were independent.
        """
        difference = block.means / block.answers - block.baseline_mean
        inverse = 1 / block.answers + 1 / block.baseline_evidence
        squared_errors = difference * difference / self.variance / inverse
        self._blocks += 1
        weight = max(1 / self._blocks, _MIN_BLOCK_WEIGHT)
        self._noise += (min(squared_errors, _MAX_BLOCK_NOISE) - self._noise) * weight

    def add(self, answer: Answer) -> None:
        """Add one answer that this host measured."""
        self._answers += 1
        weight = max(1 / self._answers, _NEWEST_WEIGHT)
        self.mean_s += (answer.work_s - self.mean_s) * weight


class AnswerBlock:
    """Accumulate consecutive answers of one upstream, with a baseline from before the first."""

    __slots__ = ('answers', 'baseline_evidence', 'baseline_mean', 'means', 'seconds')

    def __init__(self, window: AnswerWindow) -> None:
        """Start an empty block whose baseline is the current mean of `window`."""
        self.answers = 0
        self.means: float = 0
        self.seconds: float = 0
        self.baseline_evidence = window.evidence if window.has_enough_answers else 0
        self.baseline_mean = window.means / window.answers if window.has_enough_answers else 0

    @property
    def is_full(self) -> bool:
        """Whether the block has reached its minimum length."""
        return self.seconds >= _BLOCK_S

    @property
    def is_comparable(self) -> bool:
        """Whether both the block and its baseline have answers."""
        return self.answers > 0 and self.baseline_evidence > 0


class LearnedWork:
    """Hold the answers and the test results of one upstream.

    `differs` is whether its work differs significantly from the mean, `slowed` whether a slowdown
    was detected and has not ended.  `since_change` has the answers since the detector last had no
    evidence for a change.
    """

    __slots__ = (
        'block',
        'differs',
        'long',
        'short',
        'since_change',
        'slowdown',
        'slowed',
        'upstream',
    )

    def __init__(self, upstream: Upstream) -> None:
        """Start without answers."""
        self.upstream = upstream
        self.short = AnswerWindow(SHORT_S)
        self.long = AnswerWindow(LONG_S)
        self.since_change = AnswerWindow(LONG_S)
        self.block = AnswerBlock(self.long)
        self.slowdown = SlowdownDetector()
        self.differs = False
        self.slowed = False

    def add(self, answers: int, means: float, evidence: list[float]) -> None:
        """Add answers seen by any host, each with the log-likelihood ratios `evidence`."""
        self.slowdown.add(evidence, answers)
        if self.slowdown.shows_no_change(slowed=self.slowed):
            self.since_change = AnswerWindow(LONG_S)
        for window in (self.short, self.long, self.since_change):
            window.add(answers, means)
        self.block.answers += answers
        self.block.means += means

    def decay(self, elapsed_s: float) -> None:
        """Decay the windows by the elapsed time."""
        for window in (self.short, self.long, self.since_change):
            window.decay(elapsed_s)
        self.block.seconds += elapsed_s

    @property
    def is_still_slowed(self) -> bool:
        """Whether a slowdown was detected and there is not enough evidence for its end."""
        return self.slowed and not self.slowdown.has_ended

    def update_differs(self, differs: bool) -> None:  # noqa: FBT001 (the only argument)
        """Set whether the upstream differs; if not, end a detected slowdown."""
        self.differs = differs
        if self.slowed and not differs:
            self.slowed = False
            self.slowdown.reset()

    def replace_long_window(self) -> None:
        """Discard the answers before the last change."""
        self.long.replace_by(self.since_change)
        self.block = AnswerBlock(self.long)


class PendingReport:
    """Hold a neighbour's counts of pending requests, which are valid until `valid_until`."""

    __slots__ = ('pending', 'valid_until')

    def __init__(self, pending: list[tuple[Upstream, AnswerCount]], valid_until: float) -> None:
        """Store the counts and when they expire."""
        self.pending = pending
        self.valid_until = valid_until


class Capacities:
    """Learn the speeds and spare capacities of the upstreams of the local data centre.

    `counts` has the answers that this host observed itself.
    """

    __slots__ = (
        '_learned_by_upstream',
        '_next_update_at',
        '_pending_by_host',
        '_reported_ms_by_host',
        '_updated_at',
        '_work_by_pool',
        'counts',
    )

    def __init__(self) -> None:
        """Start without answers."""
        self.counts = AnswerCounts()
        self._learned_by_upstream: dict[Upstream, LearnedWork] = {}
        self._pending_by_host: dict[str, PendingReport] = {}
        self._reported_ms_by_host: dict[str, int] = {}
        self._work_by_pool: dict[Pool, ServiceWork] = {}
        self._updated_at: float | None = None
        self._next_update_at: float = 0

    @property
    def learned_speeds(self) -> list[float]:
        """Speeds of the upstreams whose work differs significantly."""
        return [
            learned.upstream.speed
            for learned in self._learned_by_upstream.values()
            if learned.differs
        ]

    def add_report(self, host: str, report: ReportedCounts, directory: Directory) -> None:
        """Add the counts of a neighbour, ignoring duplicate and out-of-order reports."""
        if not self._is_newer(host, report.reported_ms):
            return
        self._reported_ms_by_host[host] = report.reported_ms
        for upstream, count in _valid_counts(report.counts, directory):
            self._add(upstream, count.answers, count.means)
        valid_until = (self._updated_at or 0) + PENDING_VALID_S
        self._pending_by_host[host] = PendingReport(
            _valid_counts(report.pending, directory), valid_until
        )

    def forget_unknown_hosts(self, known: Iterable[str]) -> None:
        """Discard the clocks and pending requests of hosts that are not in `known`."""
        names = set(known)
        for host in list(self._reported_ms_by_host):
            if host not in names:
                self._reported_ms_by_host.pop(host)
                self._pending_by_host.pop(host, None)

    def update(self, directory: Directory, data_centre: str, now: float) -> list[Effect]:
        """Update speeds and spare capacities; return log lines about changes."""
        last_at = now if self._updated_at is None else self._updated_at
        if now < self._next_update_at:
            return []
        self._updated_at = now
        self._next_update_at = now + max(
            UPDATE_INTERVAL_S, len(self._learned_by_upstream) * INTERVAL_PER_UPSTREAM_S
        )
        self._add_own_answers()
        self._update_pending_evidence(now)
        effects: list[Effect] = []
        for pool in directory.pools_of(data_centre):
            local = (
                directory.pool_members.of_pool(pool.service, data_centre) if pool.controlled else []
            )
            former_speeds = [upstream.speed for upstream in local]
            effects.extend(self._update_pool(pool, local, now - last_at))
            if former_speeds != [upstream.speed for upstream in local]:
                directory.pool_members.invalidate_all_capacities()
        effects.extend(self._forget_removed(directory))
        return effects

    def request_update(self) -> None:
        """Make the next call of `update` take effect regardless of the interval."""
        self._next_update_at = 0

    def _is_newer(self, host: str, reported_ms: int) -> bool:
        """Whether a report is newer than the last of its host, or from after a restart."""
        last_ms = self._reported_ms_by_host.get(host)
        if last_ms is None:
            return True
        ahead_ms = (reported_ms - last_ms) % CLOCK_RANGE
        if ahead_ms < _HALF_RANGE:
            return ahead_ms > 0
        return CLOCK_RANGE - ahead_ms > _LATE_MS

    def _learned_of(self, upstream: Upstream) -> LearnedWork:
        learned = self._learned_by_upstream.get(upstream)
        if learned is None:
            learned = LearnedWork(upstream)
            self._learned_by_upstream[upstream] = learned
        return learned

    def _work_of(self, pool: Pool) -> ServiceWork:
        work = self._work_by_pool.get(pool)
        if work is None:
            work = ServiceWork()
            self._work_by_pool[pool] = work
        return work

    def _add(self, upstream: Upstream, answers: int, means: float) -> None:
        """Add answers seen by any host to the upstream and the distribution of its pool."""
        learned = self._learned_of(upstream)
        times = self._work_of(upstream.pool).times
        mean_time = invert_soft_clip(means / answers)
        evidence_before = learned.slowdown.total_evidence
        learned.add(answers, means, times.evidence(mean_time))
        times.add(mean_time, answers, to_reference=not learned.slowed)
        if evidence_before < SLOWDOWN_START_NATS <= learned.slowdown.total_evidence:
            self._update_soon()

    def _update_soon(self) -> None:
        """Advance the next update, since an upstream may have become slower."""
        spaced_s = len(self._learned_by_upstream) * INTERVAL_PER_UPSTREAM_S / 2
        soonest_at = (self._updated_at or 0) + max(MIN_UPDATE_INTERVAL_S, spaced_s)
        self._next_update_at = min(self._next_update_at, soonest_at)

    def _add_own_answers(self) -> None:
        for answer in self.counts.pop_answers():
            self._add(answer.upstream, 1, answer.means)
            self._work_of(answer.upstream.pool).add(answer)

    def _update_pending_evidence(self, now: float) -> None:
        """Evaluate the pending requests of this host and of valid reports of neighbours."""
        for learned in self._learned_by_upstream.values():
            learned.slowdown.pending_evidence = 0
        pending = list(self.counts.pending_by_upstream.items())
        for host, report in list(self._pending_by_host.items()):
            if now >= report.valid_until:
                self._pending_by_host.pop(host)
                continue
            pending.extend(report.pending)
        for upstream, count in pending:
            times = self._work_of(upstream.pool).times
            nats = times.pending_evidence(invert_soft_clip(count.means / count.answers))
            self._learned_of(upstream).slowdown.pending_evidence += nats * count.answers

    def _forget_removed(self, directory: Directory) -> list[Effect]:
        """Discard upstreams that are gone, have restarted or are no longer controlled."""

        def is_known(upstream: Upstream) -> bool:  # noqa: WPS430 (uses the directory)
            known = directory.by_number.get(upstream.entry.short_number)
            return known is upstream and upstream.pool.controlled

        effects: list[Effect] = []
        self.counts.discard_unknown(is_known)
        for upstream, learned in list(self._learned_by_upstream.items()):
            if is_known(upstream):
                continue
            self._learned_by_upstream.pop(upstream)
            upstream.speed = 1
            upstream.spare = None
            directory.pool_members.invalidate_all_capacities()
            if learned.differs:
                effects.append(_line(LogNumber.SPEED_FORGOTTEN, learned))
        return effects

    def _update_pool(self, pool: Pool, local: list[Upstream], elapsed_s: float) -> list[Effect]:
        learned_here = [self._learned_of(upstream) for upstream in local]
        for decaying in learned_here:
            decaying.decay(elapsed_s)
        work = self._work_by_pool.get(pool)
        if work is None or not work.has_answers:
            return []
        work.times.decay(elapsed_s)
        _update_noise(learned_here, work)
        _detect_slowdowns(learned_here, work)
        _detect_recoveries(learned_here, work)
        effects: list[Effect] = []
        mean = _mean_work([learned.long for learned in learned_here], learned_here, work)
        for learned in learned_here:
            effects.extend(_update_speed(learned, work, mean))
            _set_spare(learned, work)
        return effects


def _mean_work(
    windows: list[AnswerWindow],
    learned_here: list[LearnedWork],
    work: ServiceWork,
) -> float:
    """Return the mean work per answer of all upstreams in means, zero without answers."""
    total: float = 0
    answers: float = 0
    for window, learned in zip(windows, learned_here, strict=True):
        if window.has_enough_answers:
            total += window.work(work.mean_s, learned.upstream.entry.slots)
            answers += window.answers
    return total / answers if answers else 0


def _work_of(window: AnswerWindow, learned: LearnedWork, work: ServiceWork) -> float:
    """Return the mean work per answer of one upstream, in means."""
    return window.work(work.mean_s, learned.upstream.entry.slots) / window.answers


def _difference(newer: float, usual: float) -> float:
    """Return the relative difference of work from the usual.

    Less work than usual is expressed as the logarithm of the ratio, since random variation makes
    the mean of a few answers too short more often than too long.
    """
    return newer / usual - 1 if newer > usual else log(newer / usual)


def _valid_counts(
    counts: Iterable[AnswerCount],
    directory: Directory,
) -> list[tuple[Upstream, AnswerCount]]:
    """Return the counts for the current start of controlled upstreams, limited to bounds."""
    known: list[tuple[Upstream, AnswerCount]] = []
    for count in counts:
        upstream = directory.by_number.get(count.number)
        if upstream is None or not upstream.pool.controlled:
            continue
        if count.start != start_of(upstream.entry):
            continue
        means = min(count.means, MAX_MEANS * count.answers)
        known.append((upstream, AnswerCount(count.number, count.start, count.answers, means)))
    return known


def _update_noise(learned_here: list[LearnedWork], work: ServiceWork) -> None:
    """Update the noise from full blocks of upstreams that do not differ; start new blocks."""
    for learned in learned_here:
        if not learned.block.is_full:
            continue
        if learned.block.is_comparable and not learned.differs:
            work.update_noise(learned.block)
        learned.block = AnswerBlock(learned.long)


def _detect_slowdowns(learned_here: list[LearnedWork], work: ServiceWork) -> None:
    """Detect the start and the end of slowdowns, relative to the other upstreams of the pool."""
    median = median_evidence([learned.slowdown for learned in learned_here])
    needed = SLOWDOWN_START_NATS * sqrt(work.noise) * work.times.pool_slowdown
    for learned in learned_here:
        if learned.slowed:
            if learned.slowdown.has_ended and _forget_before_change(learned, work):
                learned.update_differs(False)
            continue
        if learned.slowdown.total_evidence - median < needed:
            continue
        learned.slowed = True
        learned.differs = True
        _forget_before_change(learned, work)
        learned.slowdown.reset()


def _forget_before_change(learned: LearnedWork, work: ServiceWork) -> bool:
    """Discard the answers before a change if those since then differ significantly.

    Return whether they differ, and True if there are too few answers to compare.
    """
    since_change = learned.since_change
    former = learned.long
    if not since_change.has_enough_answers or not former.has_enough_answers:
        return True
    difference = since_change.means / since_change.answers - former.means / former.answers
    if abs(difference) < CHANGE_ERRORS * work.error(since_change, former):
        return False
    learned.replace_long_window()
    return True


def _detect_recoveries(learned_here: list[LearnedWork], work: ServiceWork) -> None:
    """Replace the long window by the short one for upstreams that no longer differ."""
    short_mean = _mean_work([learned.short for learned in learned_here], learned_here, work)
    long_mean = _mean_work([learned.long for learned in learned_here], learned_here, work)
    if not short_mean or not long_mean:
        return
    differing = [learned for learned in learned_here if learned.differs and not learned.slowed]
    for learned in differing:
        if not learned.short.has_enough_answers or not learned.long.has_enough_answers:
            continue
        newest = _work_of(learned.short, learned, work) / short_mean
        usual = _work_of(learned.long, learned, work) / long_mean
        if _has_recovered(learned, work, newest, usual):
            learned.since_change.replace_by(learned.short)
            learned.replace_long_window()


def _has_recovered(learned: LearnedWork, work: ServiceWork, newest: float, usual: float) -> bool:
    """Whether the newest work is significantly nearer to the mean than the usual work."""
    errors = _difference(newest, usual) / work.error(learned.short, learned.long)
    return abs(newest - 1) < abs(usual - 1) and abs(errors) > RECOVERY_ERRORS


def _update_speed(learned: LearnedWork, work: ServiceWork, mean: float) -> list[Effect]:
    """Set the speed of an upstream; return a log line if it starts or ceases to differ."""
    difference: float = 0
    error: float = 1
    if learned.long.has_enough_answers and mean:
        difference = _difference(_work_of(learned.long, learned, work), mean)
        error = work.error(learned.long)
    former = learned.upstream.speed != 1
    learned.update_differs(learned.is_still_slowed or _is_significant(learned, difference, error))
    learned.upstream.speed = _speed_of(learned, difference, error)
    if former == learned.differs:
        return []
    number = LogNumber.SPEED_LEARNED if learned.differs else LogNumber.SPEED_FORGOTTEN
    return [_line(number, learned)]


def _is_significant(learned: LearnedWork, difference: float, error: float) -> bool:
    """Whether a difference is significant, with hysteresis for upstreams that differ."""
    needed = DIFFERENCE_END_ERRORS if learned.differs else DIFFERENCE_START_ERRORS
    return abs(difference) > max(needed * error, MIN_DIFFERENCE)


def _speed_of(learned: LearnedWork, difference: float, error: float) -> float:
    """Return the speed for a difference of work, one if the upstream does not differ."""
    if not learned.differs:
        return 1
    sure = 1 + max(abs(difference) - error, 0)
    speed = 1 / sure if difference > 0 else sure
    if learned.is_still_slowed:
        speed = min(speed, 1 / learned.slowdown.min_ratio)
    return min(max(speed, MIN_SPEED), MAX_SPEED)


def _line(number: LogNumber, learned: LearnedWork) -> Effect:
    return WriteLine(
        number,
        upstream=learned.upstream.entry.name,
        service=learned.upstream.entry.service,
        speed=round(learned.upstream.speed, 2),
        answers=round(learned.long.answers),
    )


def _set_spare(learned: LearnedWork, work: ServiceWork) -> None:
    """Set the spare capacity that open flows leave, in slots of an upstream of mean speed."""
    upstream = learned.upstream
    slots = upstream.entry.slots
    busy = learned.long.busy(work.mean_s, slots) if learned.long.has_enough_answers else 0
    upstream.spare = upstream.speed * max(slots - busy, MIN_SPARE * slots)
