"""Chart of burn rates over time, as a PNG file."""

from pathlib import Path

from matplotlib.backends.backend_agg import FigureCanvasAgg
from matplotlib.figure import Figure

from bronzekeel.report.burn import Objective, burn_rate
from bronzekeel.report.outcomes import OutcomeLine

_POINTS = 120
_WIDTH_IN = 9
_HEIGHT_IN = 4.5
_MINUTE_S = 60
_MIN_STEP_S = 0.001
_DPI = 110


def draw_burn_chart(lines: list[OutcomeLine], objective: Objective, path: Path) -> None:
    """Draw the fast-window burn rate of every service over the recorded time.

    The window is shortened to a tenth of the recorded time if that is less than `fast_s`.
    """
    figure = Figure(figsize=(_WIDTH_IN, _HEIGHT_IN), layout='constrained')
    FigureCanvasAgg(figure)
    axes = figure.add_subplot()
    started_at = min(line.at for line in lines)
    duration_s = max(line.at for line in lines) - started_at
    step = max(duration_s / _POINTS, _MIN_STEP_S)
    window_s = max(step, min(objective.fast_s, duration_s / 10))
    for service in sorted({line.service for line in lines}):
        listed = [line for line in lines if line.service == service]
        times = [started_at + step * (index + 1) for index in range(_POINTS)]
        rates = [burn_rate(listed, at - window_s, at, objective) for at in times]
        axes.plot([(at - started_at) / _MINUTE_S for at in times], rates, label=service)
    axes.axhline(1, color='grey', linestyle='--', linewidth=1)
    axes.set_xlabel('minutes since the first request')
    axes.set_ylabel('burn rate (1 spends the budget in exactly its period)')
    axes.set_title(f'Burn rate for an objective of {objective.target}')
    axes.legend(loc='upper left')
    figure.savefig(path, dpi=_DPI)
