"""Give the placement benchmark the policies that were weighed beside the product's."""

from collections.abc import Sequence
from random import Random

from bronzekeel.core.routing.balance import Balance
from bronzekeel.core.routing.model import Upstream
from bronzekeel.core.routing.placement import LeastBusy, Placement


class RandomLocal(Placement):
    """Choose at random among the upstreams of the own data centre, if there are any."""

    def __init__(self, data_centre: str, balance: Balance) -> None:
        """Prefer upstreams of `data_centre`."""
        super().__init__(data_centre, balance)
        self._data_centre = data_centre
        self._random = Random(data_centre)

    def choose(self, candidates: Sequence[Upstream], now: float) -> Upstream | None:
        """Return any upstream that takes flows."""
        accepting = [upstream for upstream in candidates if upstream.takes_flows(now)]
        local = [
            upstream for upstream in accepting if upstream.entry.data_centre == self._data_centre
        ]
        choices = local or accepting
        return self._random.choice(choices) if choices else None


class OwnCountsOnly(LeastBusy):
    """Choose the least busy upstream by own sight alone."""

    def choose(self, candidates: Sequence[Upstream], now: float) -> Upstream | None:
        """Return the least busy without what peers tell."""
        listed = list(candidates)
        for upstream in listed:
            upstream.shared_load = 0
        return super().choose(listed, now)


class SummedCounts(LeastBusy):
    """Choose the least busy upstream with all that peers see in progress added up."""

    def choose(self, candidates: Sequence[Upstream], now: float) -> Upstream | None:
        """Return the least busy by the sum of all sights."""
        listed = list(candidates)
        for upstream in listed:
            upstream.shared_load = upstream.busy_elsewhere / upstream.entry.slots
        return super().choose(listed, now)


class TwoChoices(LeastBusy):
    """Choose the less busy of two random upstreams of the own data centre."""

    def __init__(self, data_centre: str, balance: Balance) -> None:
        """Prefer upstreams of `data_centre`."""
        super().__init__(data_centre, balance)
        self._local_centre = data_centre
        self._random = Random(data_centre)

    def choose(self, candidates: Sequence[Upstream], now: float) -> Upstream | None:
        """Return the better of two; other data centres only when the own has none."""
        accepting = [upstream for upstream in candidates if upstream.takes_flows(now)]
        local = [
            upstream for upstream in accepting if upstream.entry.data_centre == self._local_centre
        ]
        choices = local or accepting
        drawn = self._random.sample(choices, min(2, len(choices)))
        return super().choose(drawn, now)
