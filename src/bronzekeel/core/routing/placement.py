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
    tolerated: ClassVar[float] = 2.0

    #: Requests in progress a slot from which it does so.  Source: below it hardly a
    #: caller waits, and crossing data centres costs more than it brings.
    bearable: ClassVar[float] = 0.8

    def __init__(self, data_centre: str, balance: Balance) -> None:
        """Prefer upstreams of `data_centre`, but for the flows that `balance` sends away."""
        super().__init__(data_centre, balance)
        self._data_centre = data_centre
        self._balance = balance
        self._shares = SharesByCapacity(balance.host)
        balance.tolerated = self.tolerated
        balance.bearable = self.bearable

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
        near: str,
    ) -> Upstream | None:
        # All other candidates rank after these.
        preferred = [
            upstream
            for upstream in candidates
            if upstream.entry.data_centre == near
            and upstream.missing_at is None
            and now >= upstream.avoided_until
        ]
        alike = _least_reluctant(preferred, now, near) or _least_reluctant(candidates, now, near)
        if alike and alike[0].pool.controlled:
            return self._shares.choose(alike, now)
        return min(alike, key=_asked, default=None)


class EqualWork(LeastBusy):
    """Give equal upstreams of different data centres equal work.

    Load pattern: callers are not where upstreams are.  Chosen by the setting `weighs`:
    it costs bytes between data centres, and the flows that a cut between them breaks
    (docs/DESIGN.md, "Equal work").
    """

    #: Source: the users' bound on the busiest upstream's work.
    tolerated = 1.1
    bearable = 0


def _least_reluctant(
    candidates: Sequence[Upstream],
    now: float,
    near: str,
) -> list[Upstream]:
    """Return the upstreams with the least reluctance among those that take flows."""
    alike: list[Upstream] = []
    least: tuple[float, ...] = ()
    for upstream in candidates:
        if not upstream.accepts_flows(now):
            continue
        reluctance = _reluctance(upstream, now, near)
        if not alike or reluctance < least:
            alike = [upstream]
            least = reluctance
        elif reluctance == least:
            alike.append(upstream)
    return alike


def _reluctance(upstream: Upstream, now: float, near: str) -> tuple[float, ...]:
    """Rank an upstream for a flow that is to go to the data centre `near`.

    Smaller is better.  One that does not answer comes after all others of any data
    centre, and is still better than nobody.
    """
    silent = now < upstream.avoided_until
    far = upstream.entry.data_centre != near
    return (silent, upstream.missing_at is not None, far, load_of(upstream, now))


def _asked(upstream: Upstream) -> float:
    return upstream.asked


def load_of(upstream: Upstream, now: float) -> float:
    """Return the load of an upstream with one more flow, per slot of capacity.

    Where capacity is learned, idle upstreams look alike however fast they are.
    """
    if upstream.pool.controlled:
        return upstream.busy_flows / upstream.capacity + upstream.shared_load
    load = float(1 + upstream.busy_flows)
    if now < upstream.warm_at:
        load *= COLD_FACTOR
    return load / upstream.capacity + upstream.shared_load
