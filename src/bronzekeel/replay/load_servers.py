"""Model the upstreams of a replayed load: slots, queue, cold starts and failures."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from bronzekeel.replay.virtual_time import VirtualTime


@dataclass(frozen=True, slots=True)
class ServerKind:
    """Describe the upstreams of one kind.

    While `queue` requests wait, further ones are rejected at once.  After a cold start, work
    takes `cold_factor` times as long for `cold_s` seconds.  Upstreams get the `speeds` in turn.
    """

    slots: int = 3
    queue: int = 12
    cold_s: float = 3.0
    cold_factor: float = 1.6
    speeds: tuple[float, ...] = (1,)

    def speed_of(self, number: int) -> float:
        """Return the speed of an upstream; numbers start at 1."""
        return self.speeds[(number - 1) % len(self.speeds)]


@dataclass(frozen=True, slots=True)
class Slot:
    """Describe when a slot of a server exists and how fast it is.

    `speeds` are pairs of a time and the speed from then on.
    """

    begins_s: float
    ends_s: float
    speeds: tuple[tuple[float, float], ...] = ((0, 1),)
    server: str = ''

    def speed_at(self, at_s: float) -> float:
        """Return the seconds of work that it does per second at a given time."""
        speed = self.speeds[0][1]
        for from_s, changed in self.speeds:
            speed = changed if from_s <= at_s else speed
        return speed


class Server:
    """Serve requests in a number of slots, first come, first served.

    A `grey` server accepts flows but answers no requests; a `silent` one leaves opening packets
    unanswered as well.  The server exists from `began_at` to `left_at`.  A request takes its work
    divided by the speed when it starts, times `slow`; `speeds` are pairs of a time and the speed
    from then on.
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
        """Create an idle server that is not in its cold start."""
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
        """Number of slots that are free."""
        return self.kind.slots - self._busy

    @property
    def speed(self) -> float:
        """Seconds of work that a slot does per second."""
        return self.speeds[-1][1]

    def set_speed(self, speed: float) -> None:
        """Change the speed from now on; requests in progress are not affected."""
        self.speeds.append((self._time.now, speed))

    def slots_since(self, began_at: float) -> list[Slot]:
        """Return all slots, with times relative to `began_at`."""
        speeds = tuple((at - began_at, speed) for at, speed in self.speeds)
        slot = Slot(self.began_at - began_at, self.left_at - began_at, speeds, self.name)
        return [slot for _ in range(self.kind.slots)]

    def serve(self, work_s: float, done: Callable[[bool], None]) -> None:
        """Run a request, queue it or reject it; `done` is called with whether it ran."""
        if self.grey or self.silent:
            return
        if self._busy < self.kind.slots:
            self._start(work_s, done)
            return
        if len(self._waiting) >= self.kind.queue:
            self.rejected += 1
            done(False)  # noqa: FBT003 (the only argument of the callback)
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
