"""Detect with sequential tests when an upstream becomes slower and when the slowdown ends.

Load pattern: one upstream becomes several times slower for seconds.  The mean of a window detects
that late, since the window must fill first.  A cumulative sum of log-likelihood ratios (CUSUM,
Page, 1954) takes each answer into account immediately.
"""

from math import sqrt
from statistics import median_low

from bronzekeel.core.routing.answer_times import SLOWDOWN_RATIOS


#: Evidence in nats, above the median of the pool, from which an upstream is considered slower.
SLOWDOWN_START_NATS = 7.0

#: Evidence in nats from which a slowdown has ended.  It is lower than that for the start, since
#: later answers correct a wrongly detected end.
SLOWDOWN_END_NATS = 4.0

#: Upper limit of the evidence from answers.  When a whole pool becomes slower, all its upstreams
#: reach the limit and none exceeds the median.
_MAX_NATS = 12.0


class SlowdownDetector:
    """Accumulate the evidence for the start and the end of a slowdown of one upstream.

    `start_evidence` is the cumulative sum of the answers, `pending_evidence` the evidence of the
    requests in progress.  `is_severe` is whether the highest of ``SLOWDOWN_RATIOS`` fits better
    than the lowest.
    """

    __slots__ = (
        '_end_evidence_by_ratio',
        '_severity_evidence',
        'is_severe',
        'pending_evidence',
        'start_evidence',
    )

    def __init__(self) -> None:
        """Start without evidence."""
        self.start_evidence: float = 0
        self.pending_evidence: float = 0
        self.is_severe = False
        self._end_evidence_by_ratio: list[float] = [0 for _ in SLOWDOWN_RATIOS]
        self._severity_evidence: float = 0

    @property
    def total_evidence(self) -> float:
        """Evidence for a slowdown from answers and requests in progress."""
        return self.start_evidence + self.pending_evidence

    @property
    def min_ratio(self) -> float:
        """Lower bound of the ratio by which answers take longer."""
        least = SLOWDOWN_RATIOS[0]
        return sqrt(least * SLOWDOWN_RATIOS[-1]) if self.is_severe else sqrt(least)

    @property
    def has_ended(self) -> bool:
        """Whether a detected slowdown has ended, according to the ratio that fits better."""
        ended = self._end_evidence_by_ratio[-1 if self.is_severe else 0]
        return ended - self.pending_evidence > SLOWDOWN_END_NATS

    def add(self, evidence: list[float], answers: int) -> None:
        """Add answers, each with these log-likelihood ratios for ``SLOWDOWN_RATIOS``."""
        started = self.start_evidence + sum(evidence) / len(evidence) * answers
        self.start_evidence = min(max(started, 0), _MAX_NATS)
        self._severity_evidence += (evidence[-1] - evidence[0]) * answers
        for place, nats in enumerate(evidence):
            ended = self._end_evidence_by_ratio[place] - nats * answers
            self._end_evidence_by_ratio[place] = max(ended, 0)
        if not self._end_evidence_by_ratio[-1]:
            self.is_severe = self._severity_evidence > 0

    def shows_no_change(self, *, slowed: bool) -> bool:
        """Whether there is no evidence for the end of a slowdown, or for the start of one."""
        evidence = self._end_evidence_by_ratio[-1] if slowed else self.start_evidence
        return not evidence

    def reset(self) -> None:
        """Clear the evidence of answers after a slowdown was detected or has ended."""
        self.start_evidence = 0
        self._severity_evidence = 0
        self.is_severe = False
        self._end_evidence_by_ratio = [0 for _ in SLOWDOWN_RATIOS]


def median_evidence(detectors: list[SlowdownDetector]) -> float:
    """Return the lower median of the evidence for a slowdown, zero without detectors."""
    return median_low(detector.total_evidence for detector in detectors) if detectors else 0
