"""Baselines of the requests benchmark: independent balancers, and one ideal queue."""

from abc import ABC, abstractmethod
from collections import Counter, deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from functools import partial
from random import Random

from bronzekeel.replay.virtual_time import VirtualTime

#: Pairs of arrival time (from the start) and work, in seconds.
Arrivals = list[tuple[float, float]]


@dataclass(slots=True)
class PolicyResult:
    """Results of a baseline; `runs` counts requests by index of the upstream."""

    latencies: list[float] = field(default_factory=list)
    waits: list[float] = field(default_factory=list)
    attempts: int = 0
    runs: Counter[int] = field(default_factory=Counter)


class Choice(ABC):
    """Chooses an upstream by one balancer's own counts of outstanding requests."""

    @abstractmethod
    def choose(self, counts: Sequence[int], random: Random) -> int:
        """Return the index of an upstream."""


class RandomChoice(Choice):
    """Chooses at random."""

    def choose(self, counts: Sequence[int], random: Random) -> int:
        """Return a random index."""
        return random.randrange(len(counts))


class TwoChoices(Choice):
    """Chooses the less used of two random upstreams."""

    def choose(self, counts: Sequence[int], random: Random) -> int:
        """Return the one of two random indices with the lower count."""
        first, second = random.sample(range(len(counts)), 2)
        return first if counts[first] <= counts[second] else second


class LeastOutstanding(Choice):
    """Chooses the upstream with the fewest outstanding requests of this balancer."""

    def choose(self, counts: Sequence[int], random: Random) -> int:
        """Return an index with the lowest count, at random among ties."""
        min_count = min(counts)
        tied = [index for index, count in enumerate(counts) if count == min_count]
        return random.choice(tied)


class BaselineSimulation(VirtualTime):
    """Simulates balancers that choose independently and retry shed requests."""

    def __init__(
        self,
        choice: Choice,
        seed: int,
        upstreams: int,
        slots: int,
        balancers: int,
        hop_s: float,
    ) -> None:
        """Set up idle balancers and upstreams."""
        super().__init__(seed)
        self._choice = choice
        self._slots = slots
        self._hop_s = hop_s
        self._busy = [0 for _ in range(upstreams)]
        self._counts = [[0 for _ in range(upstreams)] for _ in range(balancers)]
        self._result = PolicyResult()

    def play(self, arrivals: Arrivals) -> PolicyResult:
        """Run until 60 seconds after the last arrival and return the result."""
        for delay_s, work_s in arrivals:
            self.at(delay_s, partial(self._begin, work_s))
        self.run(arrivals[-1][0] + 60)
        return self._result

    def _begin(self, work_s: float) -> None:
        counts = self.random.choice(self._counts)
        self._try(counts, work_s, self.now)

    def _try(self, counts: list[int], work_s: float, started_at: float) -> None:
        chosen = self._choice.choose(counts, self.random)
        counts[chosen] += 1
        self._result.attempts += 1
        self.at(self._hop_s, partial(self._arrive, counts, chosen, work_s, started_at))

    def _arrive(
        self,
        counts: list[int],
        chosen: int,
        work_s: float,
        started_at: float,
    ) -> None:
        if self._busy[chosen] >= self._slots:
            counts[chosen] -= 1
            self.at(self._hop_s, partial(self._try, counts, work_s, started_at))
            return
        self._busy[chosen] += 1
        self._result.runs[chosen] += 1
        self.at(work_s, partial(self._finish, counts, chosen, work_s, started_at))

    def _finish(
        self,
        counts: list[int],
        chosen: int,
        work_s: float,
        started_at: float,
    ) -> None:
        self._busy[chosen] -= 1
        counts[chosen] -= 1
        latency_s = self.now + self._hop_s - started_at
        self._result.latencies.append(latency_s)
        self._result.waits.append(latency_s - work_s)


def ideal_queue(arrivals: Arrivals, servers: int, hop_s: float) -> PolicyResult:
    """Return the result of serving all arrivals in order from one shared queue."""
    result = PolicyResult()
    free_at = deque([float(0) for _ in range(servers)])
    for arrived_s, work_s in arrivals:
        started_s = max(arrived_s, free_at.popleft())
        free_at.append(started_s + work_s)
        free_at = deque(sorted(free_at))
        wait_s = started_s - arrived_s + 2 * hop_s
        result.waits.append(wait_s)
        result.latencies.append(wait_s + work_s)
    result.attempts = len(arrivals)
    return result
