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
    `cold_factor` times longer for `cold_s` seconds.  The list of `speeds` repeats.
    """

    slots: int = 3
    queue: int = 12
    cold_s: float = 3.0
    cold_factor: float = 1.6
    speeds: tuple[float, ...] = (1,)

    def speed_of(self, number: int) -> float:
        """Return the speed of the upstream with a running number from 1."""
        return self.speeds[(number - 1) % len(self.speeds)]


@dataclass(frozen=True, slots=True)
class Slot:
    """Say when a slot of a server is there; `speeds` are pairs of a time and a speed."""

    begins_s: float
    ends_s: float
    speeds: tuple[tuple[float, float], ...] = ((0, 1),)
    server: str = ''

    def speed_at(self, at_s: float) -> float:
        """Return the work that it does in a second at a time."""
        speed = self.speeds[0][1]
        for from_s, changed in self.speeds:
            speed = changed if from_s <= at_s else speed
        return speed


class Server:
    """Work on requests in some slots, in the order in which they came.

    A `grey` one takes everything and answers nothing; a `silent` one does not even open
    flows.  It is there from `began_at` to `left_at`.  A request takes its work divided by the
    speed at its begin; `speeds` are pairs of a time and the speed from then on.
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
        'rejected',
        'silent',
        'slow',
        'speeds',
    )

    def __init__(self, time: VirtualTime, name: str, data_centre: str, kind: ServerKind) -> None:
        """Start warm and idle."""
        self._time = time
        self.name = name
        self.data_centre = data_centre
        self.kind = kind
        self.ran = 0
        self.rejected = 0
        self.began_at = time.now
        self.left_at = float('inf')
        self.slow: float = 1
        self.speeds: list[tuple[float, float]] = [(time.now, 1)]
        self.grey = False
        self.silent = False
        self.cold_until: float = 0
        self._busy = 0
        self._waiting: deque[Callable[[], None]] = deque()

    @property
    def idle_slots(self) -> int:
        """Slots that nothing is worked on in."""
        return self.kind.slots - self._busy

    @property
    def speed(self) -> float:
        """Work that a slot does in a second."""
        return self.speeds[-1][1]

    def set_speed(self, speed: float) -> None:
        """Work at another speed from now on."""
        self.speeds.append((self._time.now, speed))

    def slots_since(self, began_at: float) -> list[Slot]:
        """Return all slots, with times counted from `began_at`."""
        speeds = tuple((at - began_at, speed) for at, speed in self.speeds)
        slot = Slot(self.began_at - began_at, self.left_at - began_at, speeds, self.name)
        return [slot for _ in range(self.kind.slots)]

    def serve(self, work_s: float, done: Callable[[bool], None]) -> None:
        """Work on a request when there is a slot; tell `done` whether it ran."""
        if self.grey or self.silent:
            return
        if self._busy < self.kind.slots:
            self._start(work_s, done)
            return
        if len(self._waiting) >= self.kind.queue:
            self.rejected += 1
            done(False)  # noqa: FBT003 (the one thing that is told)
            return
        self._waiting.append(partial(self._start, work_s, done))

    def _start(self, work_s: float, done: Callable[[bool], None]) -> None:
        self._busy += 1
        self.ran += 1
        cold = self.kind.cold_factor if self._time.now < self.cold_until else 1
        self._time.at(work_s * self.slow * cold / self.speed, partial(self._finish, done))

    def _finish(self, done: Callable[[bool], None]) -> None:
        self._busy -= 1
        if self._waiting:
            self._waiting.popleft()()
        if not self.silent:
            done(True)  # noqa: FBT003
