"""Choose the upstream of a new flow."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import ClassVar

from bronzekeel.core.routing.balance import Balance
from bronzekeel.core.routing.model import Upstream
from bronzekeel.core.routing.placement_by_capacity import COLD_FACTOR, SharesByCapacity


class Placement(ABC):
    """Choose among upstreams; every policy answers one load pattern."""

    def __init__(self, data_centre: str, balance: Balance) -> None:
        """Choose for a balancer in `data_centre`; `balance` says what others ask for."""

    @abstractmethod
    def choose(self, candidates: Sequence[Upstream], now: float) -> Upstream | None:
        """Return the upstream for a new flow, None if none may get it."""


class LeastBusy(Placement):
    """Choose the least busy upstream, and one of the own data centre if it can be.

    Load pattern: requests come in bursts, long feeds gather on upstreams that
    started early, and a data centre loses upstreams while others idle.  What
    this balancer has in progress at each upstream keeps new flows from busy ones;
    among equals the one that was asked for least gets them, so that upstreams of
    one kind get equal work.  Another data centre gets them when the own one has none.
    """

    #: How many times its share of the requests a data centre keeps before it sends the
    #: rest elsewhere.  Source: twice as much makes callers wait where upstreams are
    #: half busy; less is no reason to cross data centres.
    tolerated_ratio: ClassVar[float] = 2.0

    #: Requests in progress a slot from which it does so.  Source: below it hardly a
    #: caller waits, and crossing data centres costs more than it brings.
    min_sharing_load: ClassVar[float] = 0.8

    def __init__(self, data_centre: str, balance: Balance) -> None:
        """Prefer upstreams of `data_centre`, but for the flows that `balance` sends away."""
        super().__init__(data_centre, balance)
        self._data_centre = data_centre
        self._balance = balance
        self._shares = SharesByCapacity(balance.host)
        balance.tolerated_ratio = self.tolerated_ratio
        balance.min_sharing_load = self.min_sharing_load

    def choose(self, candidates: Sequence[Upstream], now: float) -> Upstream | None:
        """Return the upstream with the least load in the data centre whose turn it is."""
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
        # All other candidates rank after these.
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

    Load pattern: callers are not where upstreams are.  Chosen by the setting `weighs`:
    it costs bytes between data centres, and the flows that a cut between them breaks
    (docs/DESIGN.md, "Equal work").
    """

    #: Source: the users' bound on the busiest upstream's work.
    tolerated_ratio = 1.1
    min_sharing_load = 0


def _best_ranked(
    candidates: Sequence[Upstream],
    now: float,
    preferred_centre: str,
) -> list[Upstream]:
    """Return the upstreams with the least rank among those that take flows."""
    tied: list[Upstream] = []
    lowest: tuple[float, ...] = ()
    for upstream in candidates:
        if not upstream.takes_flows(now):
            continue
        rank = _rank(upstream, now, preferred_centre)
        if not tied or rank < lowest:
            tied = [upstream]
            lowest = rank
        elif rank == lowest:
            tied.append(upstream)
    return tied


def _rank(upstream: Upstream, now: float, preferred_centre: str) -> tuple[float, ...]:
    """Rank an upstream for a flow that is to go to the data centre `preferred_centre`.

    Smaller is better.  One that does not answer comes after all others of any data
    centre, and is still better than nobody.
    """
    unresponsive = now < upstream.avoided_until
    other_centre = upstream.entry.data_centre != preferred_centre
    return (unresponsive, upstream.missing_at is not None, other_centre, load_of(upstream, now))


def _recent_requests(upstream: Upstream) -> float:
    return upstream.asked


def load_of(upstream: Upstream, now: float) -> float:
    """Return the load of an upstream with one more flow, per slot of capacity.

    Where capacity is learned, idle upstreams look tied however fast they are.
    """
    if upstream.pool.controlled:
        return upstream.busy_flows / upstream.capacity + upstream.shared_load
    load = float(1 + upstream.busy_flows)
    if now < upstream.warm_at:
        load *= COLD_FACTOR
    return load / upstream.capacity + upstream.shared_load
