"""Log when the demand on a service exceeds what its upstreams can serve."""

from bronzekeel.core.log_numbers import LogNumber
from bronzekeel.core.routing.effects import Effect, WriteLine
from bronzekeel.core.routing.pools import Pool
from bronzekeel.core.routing.waiting_bounds import OVERLOAD_S


class OverloadWatch:
    """Log when overloads of pools begin and end: a line each, however many requests wait."""

    def __init__(self) -> None:
        """Start without overloads."""
        self._refused_by_pool: dict[Pool, int] = {}

    def check(self, pools: list[Pool], now: float) -> list[Effect]:
        """Return log lines on overloads that began or ended since the last check."""
        effects: list[Effect] = []
        for pool in pools:
            queued_s = pool.queued_s(now)
            if pool in self._refused_by_pool:
                if queued_s:
                    continue
                refused = pool.refused - self._refused_by_pool.pop(pool)
                effects.append(_line(LogNumber.OVERLOAD_ENDED, pool, refused=refused))
                continue
            if queued_s < OVERLOAD_S:
                continue
            self._refused_by_pool[pool] = pool.refused
            effects.append(_line(LogNumber.OVERLOADED, pool, waiting=pool.waiting))
        return effects


def _line(number: LogNumber, pool: Pool, **fields: int) -> Effect:
    return WriteLine(
        number,
        service=pool.service,
        data_centre=pool.data_centre,
        in_progress=pool.busy,
        limit=round(pool.limit, 1),
        **fields,
    )
