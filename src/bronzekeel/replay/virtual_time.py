"""Virtual time: a queue of scheduled actions and one seeded source of randomness."""

from collections.abc import Callable
from heapq import heappop, heappush
from random import Random

#: Virtual time at which every replay starts, in seconds.
START_S = 1000.0


class VirtualTime:
    """Run scheduled actions ordered by time; those of the same time in order of scheduling."""

    def __init__(self, seed: int) -> None:
        """Start the clock at ``START_S`` and seed the randomness."""
        self.now = START_S
        self.random = Random(seed)
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._pushed = 0

    def at(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule `action` to run `delay_s` from now."""
        self._pushed += 1
        heappush(self._heap, (self.now + delay_s, self._pushed, action))

    def run(self, duration_s: float) -> None:
        """Run all actions of the next `duration_s` seconds, and advance the clock by it."""
        until = self.now + duration_s
        while self._heap and self._heap[0][0] <= until:
            at, _, action = heappop(self._heap)
            self.now = at
            action()
        self.now = until
