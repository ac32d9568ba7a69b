"""Choose the upstream of a new flow."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import ClassVar

from bronzekeel.core.routing.balance import Balance
from bronzekeel.core.routing.model import Upstream
from bronzekeel.core.routing.placement_by_capacity import COLD_FACTOR, SharesByCapacity


class Placement(ABC):
    """Choose among upstreams; each policy is designed for one load pattern."""

    def __init__(self, data_centre: str, balance: Balance) -> None:
        """Choose for a balancer in `data_centre`; `balance` has the shares of other centres."""

    @abstractmethod
    def choose(self, candidates: Sequence[Upstream], now: float) -> Upstream | None:
        """Return the upstream for a new flow, None if no candidate accepts it."""


class LeastBusy(Placement):
    """Choose the least busy upstream, preferably of the local data centre.

    Load pattern: requests arrive in bursts, long-lived flows accumulate on upstreams that started
    early, and a data centre loses upstreams while others are idle.  New flows avoid upstreams where
    this balancer has many requests in progress.  Among equally loaded upstreams, the one with the
    fewest recent requests is chosen, so that upstreams of one kind get equal work.  Other data
    centres get flows if no local upstream accepts them.
    """

    #: Ratio of a data centre's requests to its share above which it sends flows to remote data
    #: centres.  At twice its share callers start to wait if upstreams are half busy on average;
    #: less does not justify traffic between data centres.
    tolerated_ratio: ClassVar[float] = 2.0

    #: Local load, in requests in progress per slot, from which flows are sent to remote data
    #: centres.  Below it hardly any caller waits, and traffic between data centres costs more than
    #: it gains.
    min_sharing_load: ClassVar[float] = 0.8

    def __init__(self, data_centre: str, balance: Balance) -> None:
        """Prefer upstreams of `data_centre`, except for the flows that `balance` sends away."""
        super().__init__(data_centre, balance)
        self._data_centre = data_centre
        self._balance = balance
        self._shares = SharesByCapacity(balance.host)
        balance.tolerated_ratio = self.tolerated_ratio
        balance.min_sharing_load = self.min_sharing_load

    def choose(self, candidates: Sequence[Upstream], now: float) -> Upstream | None:
        """Return the least loaded upstream of the data centre that is to get the next flow."""
        if not candidates:
            return None
        service = candidates[0].entry.service
        centre = self._balance.centre_of_next(service)
        best = self._least_busy(candidates, now, centre or self._data_centre)
        if best is not None:
            self._balance.note_placed(service, best.entry.data_centre)
        return best

    def _least_busy(
        self,
        candidates: Sequence[Upstream],
        now: float,
        preferred_centre: str,
    ) -> Upstream | None:
        # All other candidates rank after the preferred ones.
        preferred = [
            upstream
            for upstream in candidates
            if upstream.entry.data_centre == preferred_centre
            and upstream.missing_at is None
            and now >= upstream.avoided_until
        ]
        tied = _best_ranked(preferred, now, preferred_centre) or _best_ranked(
            candidates, now, preferred_centre
        )
        if tied and tied[0].pool.controlled:
            return self._shares.choose(tied, now)
        return min(tied, key=_recent_requests, default=None)


class EqualWork(LeastBusy):
    """Give equal upstreams of different data centres equal work.

    Load pattern: callers and upstreams are distributed differently over data centres.  The setting
    `weighs` selects this policy.  It costs traffic between data centres, and a network partition
    between them breaks more flows (docs/DESIGN.md, "Equal work").
    """

    #: Upper limit that users set for the work of the busiest upstream relative to the mean.
    tolerated_ratio = 1.1
    min_sharing_load = 0


def _best_ranked(
    candidates: Sequence[Upstream],
    now: float,
    preferred_centre: str,
) -> list[Upstream]:
    """Return the upstreams with the lowest rank among those that accept flows."""
    tied: list[Upstream] = []
    lowest: tuple[float, ...] = ()
    for upstream in candidates:
        if not upstream.accepts_flows(now):
            continue
        rank = _rank(upstream, now, preferred_centre)
        if not tied or rank < lowest:
            tied = [upstream]
            lowest = rank
        elif rank == lowest:
            tied.append(upstream)
    return tied


def _rank(upstream: Upstream, now: float, preferred_centre: str) -> tuple[float, ...]:
    """Return the rank of an upstream for a flow that prefers `preferred_centre`; lower is better.

    An unresponsive upstream ranks after all others of any data centre, but can still be chosen if
    there are no others.
    """
    unresponsive = now < upstream.avoided_until
    other_centre = upstream.entry.data_centre != preferred_centre
    return (unresponsive, upstream.missing_at is not None, other_centre, load_of(upstream, now))


def _recent_requests(upstream: Upstream) -> float:
    return upstream.recent_requests


def load_of(upstream: Upstream, now: float) -> float:
    """Return the load of an upstream with one more flow, per slot of capacity.

    In controlled pools the additional flow is not counted, so that idle upstreams have equal loads
    regardless of their speeds.
    """
    if upstream.pool.controlled:
        return upstream.busy_flows / upstream.capacity + upstream.shared_load
    load = float(1 + upstream.busy_flows)
    if now < upstream.warm_at:
        load *= COLD_FACTOR
    return load / upstream.capacity + upstream.shared_load
