"""Hold what callers felt in one play of a moment, and take means of several."""

from statistics import fmean

from msgspec import Struct
from msgspec.structs import asdict


class PlacementFigures(Struct, frozen=True):
    """Hold what callers felt under one policy; times are seconds.

    `late_share` counts late answers and requests without one, `crowd_late_share` those of
    callers that ask for many times their share, `others_late_share` those of all others.
    `earned_share` is of the worth of all requests, `urgent_share` of that of the most urgent
    kind; `earned_over_ceiling` compares with perfect sight, `earned_over_kept_ceiling` with one
    that keeps open flows where the play had them.  Both of these choose step by step and may be
    beaten a little.  `turned_away_share` is what upstreams turned away, for each request that
    they ran.  `heartbeats_s` is how many one balancer sends in a second.
    """

    requests: float
    p50: float
    p99: float
    late_share: float
    copy_share: float
    opened_twice: float
    failed: float
    imbalance: float
    heartbeats_s: float
    earned_share: float
    earned_over_ceiling: float
    earned_over_kept_ceiling: float
    urgent_share: float
    turned_away_share: float
    crowd_late_share: float
    others_late_share: float


def mean_figures(runs: list[PlacementFigures]) -> PlacementFigures:
    """Return the means of some plays' figures."""
    figures_by_run = [asdict(figures) for figures in runs]
    means = {name: fmean(figures[name] for figures in figures_by_run) for name in figures_by_run[0]}
    return PlacementFigures(**{name: round(mean, 4) for name, mean in means.items()})
