"""Error-budget burn rates computed from recorded outcomes.

A request is good if it was answered.  The burn rate of a window is its share of bad requests
divided by the share that the objective allows: at 1 the budget lasts exactly the period, at 14 a
thirty-day budget is spent in two days.
"""

from collections.abc import Iterable

from msgspec import Struct

from bronzekeel.report.outcomes import OutcomeLine

MINUTE_S = 60
HOUR_S = 60 * MINUTE_S
DAY_S = 24 * HOUR_S
_PERIOD_DAYS = 30


class Objective(Struct, frozen=True):
    """Service-level objective: the share of good requests over a period, in seconds.

    `fast_s` and `slow_s` are the lengths of the two burn-rate windows in seconds.
    """

    target: float = 0.999
    period_s: float = _PERIOD_DAYS * DAY_S
    fast_s: float = HOUR_S
    slow_s: float = 6 * HOUR_S

    @property
    def error_budget(self) -> float:
        """Share of requests that may be bad."""
        return 1 - self.target


class Burn(Struct, frozen=True):
    """Burn rates of one service and caller group at the time of the newest outcome."""

    service: str
    group: str
    requests: int
    bad: int
    fast: float
    slow: float
    budget_left: float
    bad_by_kind: dict[str, int]


def compute_burns(lines: Iterable[OutcomeLine], objective: Objective) -> list[Burn]:
    """Return the burn per service and caller group; the group '' stands for all callers."""
    lines_by_key: dict[tuple[str, str], list[OutcomeLine]] = {}
    newest = float(0)
    for line in lines:
        newest = max(newest, line.at)
        lines_by_key.setdefault((line.service, ''), []).append(line)
        if line.group:
            lines_by_key.setdefault((line.service, line.group), []).append(line)
    return [_burn(key, listed, newest, objective) for key, listed in sorted(lines_by_key.items())]


def _burn(
    key: tuple[str, str],
    lines: list[OutcomeLine],
    newest: float,
    objective: Objective,
) -> Burn:
    recent = [line for line in lines if line.at > newest - objective.period_s]
    bad = [line for line in recent if line.outcome != 'answered']
    count_by_kind: dict[str, int] = {}
    for line in bad:
        key_of_kind = f'{line.outcome}.{line.kind}'
        count_by_kind[key_of_kind] = count_by_kind.get(key_of_kind, 0) + 1
    allowed = objective.error_budget * max(1, len(recent))
    return Burn(
        service=key[0],
        group=key[1],
        requests=len(recent),
        bad=len(bad),
        fast=burn_rate(recent, newest - objective.fast_s, newest, objective),
        slow=burn_rate(recent, newest - objective.slow_s, newest, objective),
        budget_left=round(1 - len(bad) / allowed, 4),
        bad_by_kind=count_by_kind,
    )


def burn_rate(
    lines: list[OutcomeLine],
    since: float,
    until: float,
    objective: Objective,
) -> float:
    """Return the burn rate of a window, or zero if no request ended in it."""
    inside = [line for line in lines if since < line.at <= until]
    if not inside:
        return 0
    bad = sum(line.outcome != 'answered' for line in inside)
    return round(bad / len(inside) / objective.error_budget, 2)
