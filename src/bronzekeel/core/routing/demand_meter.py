"""Measure the demand on each service in the last half second, refused flows included.

Placed requests do not measure demand: a data centre that refuses most of its callers would seem to
have few. A smoothed rate is too slow for a surge that lasts three seconds.
"""

from collections import deque
from collections.abc import Iterable, Mapping

from bronzekeel.core.routing.directory import Directory
from bronzekeel.core.routing.messages import ServiceDemand


#: Length of the window in seconds, and samples in it. A surge must be known within a second at all
#: hosts; forty requests in half a second vary by sixteen percent at random, and shares change at
#: half as much again.
WINDOW_S = 0.5
_SAMPLES_PER_WINDOW = 5

#: Seconds by which a sample may be early: half of the interval between samples, so that uneven
#: timers skip none.
_TIMER_SLACK_S = 0.05


class _Counts:
    """Hold the requests and the refusals of each service up to a time."""

    __slots__ = ('at', 'by_service')

    def __init__(self, at: float) -> None:
        self.at = at
        self.by_service: dict[str, tuple[int, int]] = {}


class DemandMeter:
    """Hold the demand on this balancer in the last half second, None before it is known."""

    __slots__ = ('_counts', '_next_sample_at', 'by_service')

    def __init__(self) -> None:
        """Start without samples."""
        self.by_service: dict[str, ServiceDemand] | None = None
        self._counts: deque[_Counts] = deque(maxlen=_SAMPLES_PER_WINDOW + 1)
        self._next_sample_at: float = 0

    def sample(
        self,
        services: Iterable[str],
        requests_by_service: Mapping[str, int],
        directory: Directory,
        now: float,
    ) -> bool:
        """Sample the counts of services if a sample is due; return whether one was taken."""
        if now < self._next_sample_at - _TIMER_SLACK_S:
            return False
        self._next_sample_at = now + WINDOW_S / _SAMPLES_PER_WINDOW
        if self._counts and now > self._counts[-1].at + WINDOW_S:
            self._counts.clear()
            self.by_service = None
        counts = _Counts(now)
        for sampled in services:
            requests = requests_by_service.get(sampled, 0)
            counts.by_service[sampled] = (requests, _refused_requests(directory, sampled))
        self._counts.append(counts)
        if len(self._counts) <= _SAMPLES_PER_WINDOW:
            return True
        former = self._counts[0]
        self.by_service = {
            service: _demand_between(
                former.by_service.get(service, count),
                count,
                now - former.at,
                _waiting_requests(directory, service),
            )
            for service, count in counts.by_service.items()
        }
        return True


def total_demand(demands: Iterable[Mapping[str, ServiceDemand]]) -> dict[str, ServiceDemand]:
    """Return the total demand on several balancers."""
    total: dict[str, ServiceDemand] = {}
    for demand_by_service in demands:
        for service, one in demand_by_service.items():
            known = total.get(service, ServiceDemand(0, 0))
            total[service] = ServiceDemand(known.rate + one.rate, known.unserved + one.unserved)
    return total


def _demand_between(
    former: tuple[int, int],
    newest: tuple[int, int],
    elapsed_s: float,
    waiting: int,
) -> ServiceDemand:
    placed = newest[0] - former[0]
    refused = newest[1] - former[1]
    return ServiceDemand((placed + refused) / elapsed_s, refused + waiting)


def _refused_requests(directory: Directory, service: str) -> int:
    return sum(pool.refused for pool in directory.pools_by_service.get(service, {}).values())


def _waiting_requests(directory: Directory, service: str) -> int:
    return sum(pool.waiting for pool in directory.pools_by_service.get(service, {}).values())
