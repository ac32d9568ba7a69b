"""Estimate the distribution of a pool's answer times, and the evidence of single answers.

Each answer time is divided by the mean time of its kind of request and added to a histogram with
logarithmic bins, the reference distribution.  The evidence of an answer is a log-likelihood ratio:
its likelihood under the reference distribution stretched by a ratio, against its likelihood under
the reference distribution itself.  Only ranks matter: a long tail of answer times and the queues
behind long requests are part of the reference distribution, so such answers are weak evidence.
"""

from math import log, log2
from operator import mul

from bronzekeel.core.routing.answer_counts import soft_clip


#: Ratios by which the reference distribution is stretched, in ascending order.
SLOWDOWN_RATIOS = (2, 4)

#: Number of bins per doubling of the time.
_BINS_PER_OCTAVE = 4

#: Times of the lowest and the highest bin, in means.  These two bins also hold all shorter and all
#: longer times.
_LOWEST_BIN_MEANS = 0.03125
_HIGHEST_BIN_MEANS = 16
_BINS = round(_BINS_PER_OCTAVE * log2(_HIGHEST_BIN_MEANS / _LOWEST_BIN_MEANS)) + 1

#: Soft-clipped answer time of each bin, in means.
_CLIPPED_MEANS_BY_BIN = tuple(
    soft_clip(_LOWEST_BIN_MEANS * 2 ** (place / _BINS_PER_OCTAVE)) for place in range(_BINS)
)

#: Minimum number of answers for evidence: about four per bin.
_MIN_ANSWERS = 150

#: Half-life in seconds of the weight of an answer in the reference distribution.
_HALF_LIFE_S = 20.0

#: Half-life in seconds of the weight of the newest answers, and the minimum number of them from
#: which the slowdown of the pool is measured.
_NEWEST_HALF_LIFE_S = 0.5
_MIN_NEWEST_ANSWERS = 10

#: Pseudocount added to each bin.  It bounds the evidence of a single answer.
_PRIOR_ANSWERS = 2.0

#: Smoothing kernel over neighbouring bins.
_KERNEL = (1 / 9, 2 / 9, 3 / 9, 2 / 9, 1 / 9)
_KERNEL_REACH = len(_KERNEL) // 2


class AnswerTimes:
    """Hold the reference distribution of the answer times of one pool.

    `pool_slowdown` is the ratio by which the newest answers of all upstreams take longer than
    usual.  Times are divided by it, since a slowdown of the whole pool is no evidence about a
    single upstream.  `log_ratios_by_bin` has, for each of ``SLOWDOWN_RATIOS``, the log-likelihood
    ratio of an answer in each bin, limited to that of a request still in progress after the same
    time.  `pending_log_ratios` has the ratios of requests in progress, averaged over
    ``SLOWDOWN_RATIOS``.  All are zero until there are enough answers.  `variance` is the variance
    of the soft-clipped times.
    """

    __slots__ = (
        '_answers_by_bin',
        '_newest_answers_by_bin',
        'log_ratios_by_bin',
        'pending_log_ratios',
        'pool_slowdown',
        'variance',
    )

    def __init__(self) -> None:
        """Start without answers."""
        self._answers_by_bin = _empty_bins()
        self._newest_answers_by_bin = _empty_bins()
        self.pool_slowdown: float = 1
        self.log_ratios_by_bin = [_empty_bins() for _ in SLOWDOWN_RATIOS]
        self.pending_log_ratios = _empty_bins()
        self.variance: float = 1

    def add(self, means: float, answers: int = 1, *, to_reference: bool = True) -> None:
        """Add a number of answers that each took `means` times the mean of their kind.

        Without `to_reference` they only contribute to the slowdown of the pool.
        """
        self._newest_answers_by_bin[_bin_of(means)] += answers
        if to_reference:
            self._answers_by_bin[_bin_of(means / self.pool_slowdown)] += answers

    def decay(self, elapsed_s: float) -> None:
        """Decay the weights by the elapsed time and update the log-likelihood ratios."""
        factor = 0.5 ** (elapsed_s / _HALF_LIFE_S)
        self._answers_by_bin = [answers * factor for answers in self._answers_by_bin]
        factor = 0.5 ** (elapsed_s / _NEWEST_HALF_LIFE_S)
        self._newest_answers_by_bin = [answers * factor for answers in self._newest_answers_by_bin]
        if sum(self._answers_by_bin) < _MIN_ANSWERS:
            return
        self.variance = _variance(self._answers_by_bin)
        self.pool_slowdown = self._median_ratio()
        smooth = _smoothed(self._answers_by_bin)
        reference = _shares(smooth)
        stretched = [_shares(_stretched(smooth, ratio)) for ratio in SLOWDOWN_RATIOS]
        pending = [_log_ratios(_survival(shares), _survival(reference)) for shares in stretched]
        ended = [_log_ratios(shares, reference) for shares in stretched]
        self.log_ratios_by_bin = [
            list(map(min, *pair)) for pair in zip(ended, pending, strict=True)
        ]
        self.pending_log_ratios = [
            sum(ratios) / len(SLOWDOWN_RATIOS) for ratios in zip(*pending, strict=True)
        ]

    def evidence(self, means: float) -> list[float]:
        """Return the log-likelihood ratio of an answer for each of ``SLOWDOWN_RATIOS``."""
        place = _bin_of(means / self.pool_slowdown)
        return [ratios[place] for ratios in self.log_ratios_by_bin]

    def pending_evidence(self, means: float) -> float:
        """Return the mean log-likelihood ratio of a request in progress for `means`."""
        return self.pending_log_ratios[_bin_of(means / self.pool_slowdown)]

    def _median_ratio(self) -> float:
        """Return the ratio of the median of the newest answers to that of all, at least one."""
        if sum(self._newest_answers_by_bin) < _MIN_NEWEST_ANSWERS:
            return 1
        bins = _median_bin(self._newest_answers_by_bin) - _median_bin(self._answers_by_bin)
        return max(2 ** (bins / _BINS_PER_OCTAVE), 1)


def _empty_bins(bins: int = _BINS) -> list[float]:
    return [0 for _ in range(bins)]


def _bin_of(means: float) -> int:
    if means <= _LOWEST_BIN_MEANS:
        return 0
    return min(round(_BINS_PER_OCTAVE * log2(means / _LOWEST_BIN_MEANS)), _BINS - 1)


def _median_bin(answers_by_bin: list[float]) -> int:
    half = sum(answers_by_bin) / 2
    below: float = 0
    for place, answers in enumerate(answers_by_bin):
        below += answers
        if below >= half:
            return place
    return len(answers_by_bin) - 1


def _variance(answers_by_bin: list[float]) -> float:
    """Return the variance of the soft-clipped times in means."""
    total = sum(answers_by_bin)
    mean = sum(map(mul, answers_by_bin, _CLIPPED_MEANS_BY_BIN)) / total
    squares = [(means - mean) ** 2 for means in _CLIPPED_MEANS_BY_BIN]
    return sum(map(mul, answers_by_bin, squares)) / total


def _smoothed(answers_by_bin: list[float]) -> list[float]:
    """Return the bins smoothed by the kernel, except for the unbounded highest bin."""
    inner = answers_by_bin[:-1]
    smoothed = _empty_bins(len(inner))
    for place, answers in enumerate(inner):
        for step, weight in enumerate(_KERNEL, -_KERNEL_REACH):
            if 0 <= place + step < len(inner):
                smoothed[place + step] += answers * weight
    return [*smoothed, answers_by_bin[-1]]


def _stretched(answers_by_bin: list[float], ratio: int) -> list[float]:
    """Return the histogram of the same answers if each took `ratio` times as long."""
    step = round(_BINS_PER_OCTAVE * log2(ratio))
    unclamped = len(answers_by_bin) - step
    stretched = _empty_bins(step) + answers_by_bin[:unclamped]
    stretched[-1] += sum(answers_by_bin[unclamped:])
    return stretched


def _shares(answers_by_bin: list[float]) -> list[float]:
    """Return the probability of each bin, including the pseudocounts."""
    total = sum(answers_by_bin) + _PRIOR_ANSWERS * len(answers_by_bin)
    return [(answers + _PRIOR_ANSWERS) / total for answers in answers_by_bin]


def _survival(shares: list[float]) -> list[float]:
    """Return the probability that an answer is in each bin or a higher one."""
    survival: list[float] = []
    beyond: float = 0
    for share in reversed(shares):
        beyond += share
        survival.append(beyond)
    survival.reverse()
    return survival


def _log_ratios(stretched: list[float], reference: list[float]) -> list[float]:
    return [log(slow / usual) for slow, usual in zip(stretched, reference, strict=True)]
