"""Model the upstreams of a replayed load: slots, a queue, cold starts, and what goes wrong."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from bronzekeel.replay.virtual_time import VirtualTime


@dataclass(frozen=True, slots=True)
class ServerKind:
    """Say what upstreams of one kind can do.

    Beyond `queue` waiting requests further ones are turned away at once.  A fresh one works
    `cold_factor` times longer for `cold_s` seconds.
    """

    slots: int = 3
    queue: int = 12
    cold_s: float = 3.0
    cold_factor: float = 1.6


class Server:
    """Work on requests in some slots, in the order in which they came.

    A `grey` one takes everything and answers nothing; a `silent` one does not even open
    flows.  It is there from `began_at` to `left_at`.
    """

    __slots__ = (
        '_busy',
        '_time',
        '_waiting',
        'began_at',
        'cold_until',
        'data_centre',
        'grey',
        'kind',
        'left_at',
        'name',
        'ran',
        'silent',
        'slow',
        'turned_away',
    )

    def __init__(self, time: VirtualTime, name: str, data_centre: str, kind: ServerKind) -> None:
        """Start warm and idle."""
        self._time = time
        self.name = name
        self.data_centre = data_centre
        self.kind = kind
        self.ran = 0
        self.turned_away = 0
        self.began_at = time.now
        self.left_at = float('inf')
        self.slow: float = 1
        self.grey = False
        self.silent = False
        self.cold_until: float = 0
        self._busy = 0
        self._waiting: deque[Callable[[], None]] = deque()

    @property
    def idle_slots(self) -> int:
        """Slots that nothing is worked on in."""
        return self.kind.slots - self._busy

    def take(self, work_s: float, done: Callable[[bool], None]) -> None:
        """Work on a request when there is a slot; tell `done` whether it ran."""
        if self.grey or self.silent:
            return
        if self._busy < self.kind.slots:
            self._begin(work_s, done)
            return
        if len(self._waiting) >= self.kind.queue:
            self.turned_away += 1
            done(False)  # noqa: FBT003 (the one thing that is told)
            return
        self._waiting.append(partial(self._begin, work_s, done))

    def _begin(self, work_s: float, done: Callable[[bool], None]) -> None:
        self._busy += 1
        self.ran += 1
        cold = self.kind.cold_factor if self._time.now < self.cold_until else 1
        self._time.at(work_s * self.slow * cold, partial(self._end, done))

    def _end(self, done: Callable[[bool], None]) -> None:
        self._busy -= 1
        if self._waiting:
            self._waiting.popleft()()
        if not self.silent:
            done(True)  # noqa: FBT003
