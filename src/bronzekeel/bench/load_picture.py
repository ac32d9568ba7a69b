"""Plots the value that policies earn in each moment, relative to an omniscient scheduler."""

from collections.abc import Mapping
from pathlib import Path

from matplotlib.backends.backend_agg import FigureCanvasAgg
from matplotlib.figure import Figure

from bronzekeel.bench.load_figures import PlacementFigures


_INCHES = (12, 7)
_DOTS_PER_INCH = 100
_MARKERS = 'osv^<>Dph*XPd'


def draw(
    figures_by_moment: Mapping[str, Mapping[str, PlacementFigures]],
    path: Path,
) -> None:
    """Write a plot to `path`: a row for each moment, a marker for each policy."""
    figure = Figure(figsize=_INCHES, layout='constrained')
    FigureCanvasAgg(figure)
    axes = figure.add_subplot()
    moments = list(figures_by_moment)
    policies = list(next(iter(figures_by_moment.values())))
    for index, policy in enumerate(policies):
        earned = [figures_by_moment[moment][policy].earned_over_ceiling for moment in moments]
        marker = _MARKERS[index % len(_MARKERS)]
        axes.plot(earned, range(len(moments)), marker, label=policy, alpha=0.8)
    axes.set_yticks(range(len(moments)), moments)
    axes.invert_yaxis()
    axes.grid(axis='y', alpha=0.3)
    axes.set_xlabel('value earned, as a share of what an omniscient scheduler earns')
    axes.legend(loc='lower left')
    figure.savefig(path, dpi=_DOTS_PER_INCH)
