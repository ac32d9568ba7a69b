"""Results of the placement benchmark for one run of a moment, and means of several runs."""

from statistics import fmean

from msgspec import Struct
from msgspec.structs import asdict


class PlacementFigures(Struct, frozen=True):
    """Results of one policy, as callers see them; times are in seconds.

    `late_share` counts late answers and unanswered requests, `crowd_late_share` only those of
    callers that send many times their share, `others_late_share` those of all other callers.
    `earned_share` is the value earned as a share of the value of all requests, `urgent_share`
    the same for the most urgent kind.  `earned_over_ceiling` is relative to an omniscient
    scheduler, `earned_over_kept_ceiling` to one that also keeps each open flow on the server
    that it had in the run.  Both schedulers are greedy, so a policy may exceed them slightly.
    `turned_away_share` is the number of requests that upstreams rejected per request that they
    ran.  `heartbeats_s` is the number of heartbeats that a balancer sends per second.
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
    """Return the mean of each figure over several runs."""
    figures_by_run = [asdict(figures) for figures in runs]
    means = {name: fmean(figures[name] for figures in figures_by_run) for name in figures_by_run[0]}
    return PlacementFigures(**{name: round(mean, 4) for name, mean in means.items()})
