"""Alternative placement policies that the placement benchmark compares."""

from collections.abc import Sequence
from random import Random

from bronzekeel.core.routing.balance import Balance
from bronzekeel.core.routing.model import Upstream
from bronzekeel.core.routing.placement import LeastBusy, Placement


class RandomLocal(Placement):
    """Chooses at random among the local upstreams, or among all if there are none."""

    def __init__(self, data_centre: str, balance: Balance) -> None:
        """Prefer upstreams of `data_centre`."""
        super().__init__(data_centre, balance)
        self._data_centre = data_centre
        self._random = Random(data_centre)

    def choose(self, candidates: Sequence[Upstream], now: float) -> Upstream | None:
        """Return a random upstream that accepts flows."""
        accepting = [upstream for upstream in candidates if upstream.accepts_flows(now)]
        local = [
            upstream for upstream in accepting if upstream.entry.data_centre == self._data_centre
        ]
        choices = local or accepting
        return self._random.choice(choices) if choices else None


class OwnCountsOnly(LeastBusy):
    """Chooses the least busy upstream by the balancer's own counts alone."""

    def choose(self, candidates: Sequence[Upstream], now: float) -> Upstream | None:
        """Return the least busy upstream, ignoring the load that peers report."""
        listed = list(candidates)
        for upstream in listed:
            upstream.shared_load = 0
        return super().choose(listed, now)


class SummedCounts(LeastBusy):
    """Chooses the least busy upstream by the sum of its own and its peers' counts."""

    def choose(self, candidates: Sequence[Upstream], now: float) -> Upstream | None:
        """Return the least busy upstream by the sum of all balancers' counts."""
        listed = list(candidates)
        for upstream in listed:
            upstream.shared_load = upstream.busy_at_peers / upstream.entry.slots
        return super().choose(listed, now)


class TwoChoices(LeastBusy):
    """Chooses the less busy of two random local upstreams."""

    def __init__(self, data_centre: str, balance: Balance) -> None:
        """Prefer upstreams of `data_centre`."""
        super().__init__(data_centre, balance)
        self._local_centre = data_centre
        self._random = Random(data_centre)

    def choose(self, candidates: Sequence[Upstream], now: float) -> Upstream | None:
        """Return the less busy of two; they are remote only if no local one accepts flows."""
        accepting = [upstream for upstream in candidates if upstream.accepts_flows(now)]
        local = [
            upstream for upstream in accepting if upstream.entry.data_centre == self._local_centre
        ]
        choices = local or accepting
        drawn = self._random.sample(choices, min(2, len(choices)))
        return super().choose(drawn, now)
