"""Learn what upstreams do a second from the answers that all hosts of a data centre saw.

Hosts tell each other counts, which every host adds up, so that all reckon nearly the same.  An
upstream's work a request, without the time in its queue, is compared with that of its service in
the data centre.  Two windows are kept: a long one, which tells steady differences beyond chance,
and a short one, which replaces the long one when an upstream no longer differs.  Slowdowns are
detected from single answers and requests in progress (`core.routing.slowdowns`).

Load pattern: upstreams of one service work at different speeds, or one turns slow for seconds.
"""

from collections.abc import Iterable
from math import log, sqrt

from bronzekeel.core.log_numbers import LogNumber
from bronzekeel.core.routing.answer_counts import (
    CLOCK_RANGE,
    MOST_MEANS,
    Answer,
    AnswerCount,
    AnswerCounts,
    ToldCounts,
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


#: Interval in seconds at which speeds are reckoned.  Source: a quarter of the interval of
#: heartbeats in a data centre of 25 hosts.
RECKON_S = 0.25

#: Seconds that each upstream adds to that interval.  Source: a look at one takes a fiftieth of it,
#: so all looks together take two hundredths of a core.
SPACING_S = 0.001

#: Least interval in seconds when an upstream may have become slower: that of ticks.
LEAST_RECKON_S = 0.1

#: Half-lives in seconds of the two windows.  Source: a slowdown must be followed within 2 s, one of
#: which a heartbeat may take; steady differences take a hundred answers to tell a third.
SHORT_S = 0.75
LONG_S = 8.0

#: Standard errors beyond which a difference is believed, and below which it is no longer.  Source:
#: sixty upstreams are looked at four times a second, for days; the sums of few answers are skewed.
BELIEVED_ERRORS = 5.0
DOUBTED_ERRORS = 2.5

#: Standard errors by which the short window must be nearer to the mean than the long one to replace
#: it.  Most upstreams are alike, so the end of a difference needs less evidence than its start.
RETURNED_ERRORS = 2.5

#: Standard errors by which the answers since the start or the end of a slowdown must differ from
#: the earlier ones for the earlier ones to be forgotten.
CHANGED_ERRORS = 3.0

#: Bounds of how many times more windows vary than single answers tell, and what is taken for it
#: before that was seen.  What goes wrong without it: a few long requests take all slots of an
#: upstream, those behind them wait together, and by their number it is sure that it is slow.
_LEAST_NOISE = 1.0
_FIRST_NOISE = 6.0

#: Upper limit on the squared standard errors that one block contributes to the noise, so that a
#: change in the speed of one upstream raises it little.
_MOST_NOISE = 100.0

#: Minimum length in seconds of a block of answers whose mean is compared with the long window.
#: Shorter blocks split the correlated answers of one queue and underestimate the noise.
_BLOCK_S = 2.0

#: Number of blocks below which `_FIRST_NOISE` is used instead of the measured noise.
_FEWEST_BLOCKS = 40

#: Minimum weight of the newest block in the moving average of the noise.
_LEAST_BLOCK_WEIGHT = 0.005

#: Share by which the work must differ at least.  Source: a fifth of the capacity is no more than
#: what chance makes of the load within a second.
LEAST_DIFFERENCE = 0.2

#: Seconds for which a neighbour's report of its pending requests is valid: one and a half intervals
#: of heartbeats, so that a late one leaves no gap.
PENDING_VALID_S = 1.5

#: Bounds of a learned speed.  Source: one that is slower by more than ten is no use, and must
#: still get requests to show that it is not.
LEAST_SPEED = 0.1
MOST_SPEED = 3.0

#: Share of its capacity that an upstream has left at least.  Source: one whose queue is full still
#: has to be asked now and then.
LEAST_SPARE = 0.05

#: Least variance of an answer's time in means.  Source: half of the mean, as of work that hardly
#: differs; the way to an upstream adds its own.
_LEAST_VARIANCE = 0.25

#: Weight of the newest answer in the mean seconds of a service, and how many answers
#: make them.
_NEWEST_WEIGHT = 0.004

#: Milliseconds by which a message may be late.  A host whose clock is further back has started
#: again.
_LATE_MS = 5000
_HALF_RANGE = CLOCK_RANGE // 2


class ServiceWork:
    """Track the mean answer time of one pool, and the distribution of answer times around it."""

    __slots__ = ('_answers', '_blocks', '_noise', 'mean_s', 'times')

    def __init__(self) -> None:
        """Start with exponential work of no length."""
        self._answers = 0
        self._blocks = 0
        self._noise: float = 1
        self.mean_s: float = 0
        self.times = AnswerTimes()

    @property
    def noise(self) -> float:
        """Ratio of the variance of block means to that expected of independent answers."""
        if self._blocks < _FEWEST_BLOCKS:
            return _FIRST_NOISE
        return max(self._noise, _LEAST_NOISE)

    @property
    def variance(self) -> float:
        """Variance of the time of an answer in means."""
        return max(self.times.variance, _LEAST_VARIANCE)

    @property
    def has_answers(self) -> bool:
        """Whether an answer to this host's callers was measured."""
        return self._answers > 0

    def error(self, *windows: AnswerWindow) -> float:
        """Return the standard error of the difference of some windows."""
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
        weight = max(1 / self._blocks, _LEAST_BLOCK_WEIGHT)
        self._noise += (min(squared_errors, _MOST_NOISE) - self._noise) * weight

    def take(self, answer: Answer) -> None:
        """Take one answer of this host's callers."""
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
        self.baseline_evidence = window.evidence if window.told else 0
        self.baseline_mean = window.means / window.answers if window.told else 0

    @property
    def is_full(self) -> bool:
        """Whether the block has reached its minimum length."""
        return self.seconds >= _BLOCK_S

    @property
    def is_comparable(self) -> bool:
        """Whether both the block and its baseline have answers."""
        return self.answers > 0 and self.baseline_evidence > 0


class LearnedWork:
    """Hold what was learned of one upstream.

    `believed` tells that it differs beyond chance, `slowed` that a slowdown was detected and is not
    over.  `since_change` has the answers since the detector last had no evidence for a change.
    """

    __slots__ = (
        'believed',
        'block',
        'long',
        'short',
        'since_change',
        'slowdown',
        'slowed',
        'upstream',
    )

    def __init__(self, upstream: Upstream) -> None:
        """Start with nothing."""
        self.upstream = upstream
        self.short = AnswerWindow(SHORT_S)
        self.long = AnswerWindow(LONG_S)
        self.since_change = AnswerWindow(LONG_S)
        self.block = AnswerBlock(self.long)
        self.slowdown = SlowdownDetector()
        self.believed = False
        self.slowed = False

    def add(self, answers: int, means: float, evidence: list[float]) -> None:
        """Add answers of any host, each with the same log-likelihood ratios as `evidence`."""
        self.slowdown.add(evidence, answers)
        if self.slowdown.shows_no_change(slowed=self.slowed):
            self.since_change = AnswerWindow(LONG_S)
        for window in (self.short, self.long, self.since_change):
            window.add(answers, means)
        self.block.answers += answers
        self.block.means += means

    def fade(self, elapsed_s: float) -> None:
        """Let some seconds pass."""
        for window in (self.short, self.long, self.since_change):
            window.fade(elapsed_s)
        self.block.seconds += elapsed_s

    @property
    def is_still_slowed(self) -> bool:
        """Whether a slowdown was detected, without enough evidence for its end."""
        return self.slowed and not self.slowdown.has_ended

    def update_believed(self, differs: bool) -> None:  # noqa: FBT001 (the only argument)
        """Set whether it differs; if it does not, a slowdown is over."""
        self.believed = differs
        if self.slowed and not differs:
            self.slowed = False
            self.slowdown.reset()

    def replace_long_window(self) -> None:
        """Forget the answers before the last change."""
        self.long.replace_by(self.since_change)
        self.block = AnswerBlock(self.long)


class PendingReport:
    """Hold a neighbour's counts of pending requests, which are valid until `valid_until`."""

    __slots__ = ('pending', 'valid_until')

    def __init__(self, pending: list[tuple[Upstream, AnswerCount]], valid_until: float) -> None:
        """Keep the counts and when they expire."""
        self.pending = pending
        self.valid_until = valid_until


class Capacities:
    """Hold what was learned of the upstreams of the own data centre.

    `counts` has the answers that this host saw itself.
    """

    __slots__ = (
        '_learned_by_upstream',
        '_pending_by_host',
        '_reckon_at',
        '_reckoned_at',
        '_told_ms_by_host',
        '_work_by_pool',
        'counts',
    )

    def __init__(self) -> None:
        """Start with nothing learned."""
        self.counts = AnswerCounts()
        self._learned_by_upstream: dict[Upstream, LearnedWork] = {}
        self._pending_by_host: dict[str, PendingReport] = {}
        self._told_ms_by_host: dict[str, int] = {}
        self._work_by_pool: dict[Pool, ServiceWork] = {}
        self._reckoned_at: float | None = None
        self._reckon_at: float = 0

    @property
    def learned_speeds(self) -> list[float]:
        """Speeds of the upstreams whose work differs."""
        return [
            learned.upstream.speed
            for learned in self._learned_by_upstream.values()
            if learned.believed
        ]

    def hear(self, host: str, told: ToldCounts, directory: Directory) -> None:
        """Take what a neighbour counted, once and never out of order."""
        if not self._is_newer(host, told.told_ms):
            return
        self._told_ms_by_host[host] = told.told_ms
        for upstream, count in _valid_counts(told.counts, directory):
            self._add(upstream, count.answers, count.means)
        valid_until = (self._reckoned_at or 0) + PENDING_VALID_S
        self._pending_by_host[host] = PendingReport(
            _valid_counts(told.pending, directory), valid_until
        )

    def forget_hosts(self, known: Iterable[str]) -> None:
        """Forget the order of the messages of all hosts but those that are known."""
        names = set(known)
        for host in list(self._told_ms_by_host):
            if host not in names:
                self._told_ms_by_host.pop(host)
                self._pending_by_host.pop(host, None)

    def reckon(self, directory: Directory, data_centre: str, now: float) -> list[Effect]:
        """Set speeds and spare capacities by what is known; return lines on what changed."""
        last_at = now if self._reckoned_at is None else self._reckoned_at
        if now < self._reckon_at:
            return []
        self._reckoned_at = now
        self._reckon_at = now + max(RECKON_S, len(self._learned_by_upstream) * SPACING_S)
        self._take_own()
        self._update_pending_evidence(now)
        effects: list[Effect] = []
        for pool in directory.pools_of(data_centre):
            near = (
                directory.pool_members.of_pool(pool.service, data_centre) if pool.controlled else []
            )
            former_speeds = [upstream.speed for upstream in near]
            effects.extend(self._reckon_pool(pool, near, now - last_at))
            if former_speeds != [upstream.speed for upstream in near]:
                directory.pool_members.invalidate_all_capacities()
        effects.extend(self._forget_removed(directory))
        return effects

    def hurry(self) -> None:
        """Reckon at the next call, whatever the interval."""
        self._reckon_at = 0

    def _is_newer(self, host: str, told_ms: int) -> bool:
        """Whether a message is newer than the last of its host, or of a later start."""
        last_ms = self._told_ms_by_host.get(host)
        if last_ms is None:
            return True
        ahead_ms = (told_ms - last_ms) % CLOCK_RANGE
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
        """Add answers of any host to an upstream and to the distribution of its pool."""
        learned = self._learned_of(upstream)
        times = self._work_of(upstream.pool).times
        mean_time = invert_soft_clip(means / answers)
        evidence_before = learned.slowdown.total_evidence
        learned.add(answers, means, times.evidence(mean_time))
        times.add(mean_time, answers, to_reference=not learned.slowed)
        if evidence_before < SLOWDOWN_START_NATS <= learned.slowdown.total_evidence:
            self._reckon_soon()

    def _reckon_soon(self) -> None:
        """Reckon sooner, since an upstream may have become slower."""
        spaced_s = len(self._learned_by_upstream) * SPACING_S / 2
        soonest_at = (self._reckoned_at or 0) + max(LEAST_RECKON_S, spaced_s)
        self._reckon_at = min(self._reckon_at, soonest_at)

    def _take_own(self) -> None:
        for answer in self.counts.take():
            self._add(answer.upstream, 1, answer.means)
            self._work_of(answer.upstream.pool).take(answer)

    def _update_pending_evidence(self, now: float) -> None:
        """Weigh the pending requests of this host and of the last valid reports of neighbours."""
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
        """Forget upstreams that are gone, started again, or are no longer controlled."""

        def is_known(upstream: Upstream) -> bool:  # noqa: WPS430 (holds the directory)
            known = directory.by_number.get(upstream.entry.short_number)
            return known is upstream and upstream.pool.controlled

        effects: list[Effect] = []
        self.counts.keep(is_known)
        for upstream, learned in list(self._learned_by_upstream.items()):
            if is_known(upstream):
                continue
            self._learned_by_upstream.pop(upstream)
            upstream.speed = 1
            upstream.spare = None
            directory.pool_members.invalidate_all_capacities()
            if learned.believed:
                effects.append(_line(LogNumber.SPEED_FORGOTTEN, learned))
        return effects

    def _reckon_pool(self, pool: Pool, near: list[Upstream], elapsed_s: float) -> list[Effect]:
        learned_here = [self._learned_of(upstream) for upstream in near]
        for decay_factor in learned_here:
            decay_factor.fade(elapsed_s)
        work = self._work_by_pool.get(pool)
        if work is None or not work.has_answers:
            return []
        work.times.fade(elapsed_s)
        _update_noise(learned_here, work)
        _follow_slowdowns(learned_here, work)
        _follow_changes(learned_here, work)
        effects: list[Effect] = []
        mean = _mean_work([learned.long for learned in learned_here], learned_here, work)
        for learned in learned_here:
            effects.extend(_settle(learned, work, mean))
            _set_spare(learned, work)
        return effects


def _mean_work(
    windows: list[AnswerWindow],
    learned_here: list[LearnedWork],
    work: ServiceWork,
) -> float:
    """Return the mean work of an answer at all upstreams, in means; zero if there are none."""
    total: float = 0
    answers: float = 0
    for window, learned in zip(windows, learned_here, strict=True):
        if window.told:
            total += window.work(work.mean_s, learned.upstream.entry.slots)
            answers += window.answers
    return total / answers if answers else 0


def _work_of(window: AnswerWindow, learned: LearnedWork, work: ServiceWork) -> float:
    """Return the mean work of an answer of one upstream, in means."""
    return window.work(work.mean_s, learned.upstream.entry.slots) / window.answers


def _difference(newer: float, usual: float) -> float:
    """Return by how much some work differs from the usual.

    It is the share by which it is more; where it is less, the logarithm of the ratio, since chance
    makes a few answers short more often than long.
    """
    return newer / usual - 1 if newer > usual else log(newer / usual)


def _valid_counts(
    counts: Iterable[AnswerCount],
    directory: Directory,
) -> list[tuple[Upstream, AnswerCount]]:
    """Return the counts of controlled upstreams that match their current start, within bounds."""
    known: list[tuple[Upstream, AnswerCount]] = []
    for count in counts:
        upstream = directory.by_number.get(count.number)
        if upstream is None or not upstream.pool.controlled:
            continue
        if count.start != start_of(upstream.entry):
            continue
        means = min(count.means, MOST_MEANS * count.answers)
        known.append((upstream, AnswerCount(count.number, count.start, count.answers, means)))
    return known


def _update_noise(learned_here: list[LearnedWork], work: ServiceWork) -> None:
    """Update the noise with full blocks of upstreams not believed to differ; start new blocks."""
    for learned in learned_here:
        if not learned.block.is_full:
            continue
        if learned.block.is_comparable and not learned.believed:
            work.update_noise(learned.block)
        learned.block = AnswerBlock(learned.long)


def _follow_slowdowns(learned_here: list[LearnedWork], work: ServiceWork) -> None:
    """Detect the start and the end of slowdowns, relative to the other upstreams of the pool."""
    median = median_evidence([learned.slowdown for learned in learned_here])
    needed = SLOWDOWN_START_NATS * sqrt(work.noise) * work.times.pool_slowdown
    for learned in learned_here:
        if learned.slowed:
            if learned.slowdown.has_ended and _forget_before_change(learned, work):
                learned.update_believed(False)
            continue
        if learned.slowdown.total_evidence - median < needed:
            continue
        learned.slowed = True
        learned.believed = True
        _forget_before_change(learned, work)
        learned.slowdown.reset()


def _forget_before_change(learned: LearnedWork, work: ServiceWork) -> bool:
    """Forget the answers before a change if those since then differ significantly.

    Return whether they do; True as well if there are too few answers to compare.
    """
    since_change = learned.since_change
    former = learned.long
    if not since_change.told or not former.told:
        return True
    difference = since_change.means / since_change.answers - former.means / former.answers
    if abs(difference) < CHANGED_ERRORS * work.error(since_change, former):
        return False
    learned.replace_long_window()
    return True


def _follow_changes(learned_here: list[LearnedWork], work: ServiceWork) -> None:
    """Let the short window replace the long one of upstreams that no longer differ."""
    short_mean = _mean_work([learned.short for learned in learned_here], learned_here, work)
    long_mean = _mean_work([learned.long for learned in learned_here], learned_here, work)
    if not short_mean or not long_mean:
        return
    differing = [learned for learned in learned_here if learned.believed and not learned.slowed]
    for learned in differing:
        if not learned.short.told or not learned.long.told:
            continue
        newest = _work_of(learned.short, learned, work) / short_mean
        usual = _work_of(learned.long, learned, work) / long_mean
        if _has_returned(learned, work, newest, usual):
            learned.since_change.replace_by(learned.short)
            learned.replace_long_window()


def _has_returned(learned: LearnedWork, work: ServiceWork, newest: float, usual: float) -> bool:
    """Whether the newest work is significantly nearer to the mean than the usual work."""
    errors = _difference(newest, usual) / work.error(learned.short, learned.long)
    return abs(newest - 1) < abs(usual - 1) and abs(errors) > RETURNED_ERRORS


def _settle(learned: LearnedWork, work: ServiceWork, mean: float) -> list[Effect]:
    """Set an upstream's speed; return a line if it began or ceased to differ."""
    difference: float = 0
    error: float = 1
    if learned.long.told and mean:
        difference = _difference(_work_of(learned.long, learned, work), mean)
        error = work.error(learned.long)
    former = learned.upstream.speed != 1
    learned.update_believed(learned.is_still_slowed or _is_significant(learned, difference, error))
    learned.upstream.speed = _speed_of(learned, difference, error)
    if former == learned.believed:
        return []
    number = LogNumber.SPEED_LEARNED if learned.believed else LogNumber.SPEED_FORGOTTEN
    return [_line(number, learned)]


def _is_significant(learned: LearnedWork, difference: float, error: float) -> bool:
    """Whether a difference is significant, with hysteresis for one that is believed."""
    needed = DOUBTED_ERRORS if learned.believed else BELIEVED_ERRORS
    return abs(difference) > max(needed * error, LEAST_DIFFERENCE)


def _speed_of(learned: LearnedWork, difference: float, error: float) -> float:
    """Return the speed that corresponds to a difference of work, one unless it is believed."""
    if not learned.believed:
        return 1
    sure = 1 + max(abs(difference) - error, 0)
    speed = 1 / sure if difference > 0 else sure
    if learned.is_still_slowed:
        speed = min(speed, 1 / learned.slowdown.least_ratio)
    return min(max(speed, LEAST_SPEED), MOST_SPEED)


def _line(number: LogNumber, learned: LearnedWork) -> Effect:
    return WriteLine(
        number,
        upstream=learned.upstream.entry.name,
        service=learned.upstream.entry.service,
        speed=round(learned.upstream.speed, 2),
        answers=round(learned.long.answers),
    )


def _set_spare(learned: LearnedWork, work: ServiceWork) -> None:
    """Note the capacity that the flows which are open leave."""
    upstream = learned.upstream
    slots = upstream.entry.slots
    busy = learned.long.busy(work.mean_s, slots) if learned.long.told else 0
    upstream.spare = upstream.speed * max(slots - busy, LEAST_SPARE * slots)
