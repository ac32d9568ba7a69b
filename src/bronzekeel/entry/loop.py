"""Wait for sockets and deadlines in one thread.

``asyncio`` takes 0.06 to 0.09 s of processor time to import, which on a fifth
of a core is most of the time between a start and the first forwarded packet
(`bronzekeel bench start`).  ``selectors`` takes a tenth of that.
"""

from collections.abc import Callable
from heapq import heappop, heappush
from selectors import DefaultSelector
from socket import socket
from time import CLOCK_BOOTTIME, clock_gettime, monotonic

from bronzekeel.entry.sockets import Deadline, SocketCallback, SocketLoop


#: Seconds between two rounds beyond the planned wait that make a pause.
#: Source: the longest work of one round, a large text read on the smallest
#: host, takes a tenth of it.
PAUSE_S = 0.5


def boottime() -> float:
    """Return the seconds of a clock that counts suspensions too."""
    return clock_gettime(CLOCK_BOOTTIME)


class PauseDetector:
    """Tell when the process or its host stood still.

    What goes wrong without it: a host that wakes believes its old view to be
    current, since its steady clock did not count a suspension, or its word was
    valid for longer than it slept; it then refuses what is in force by now.
    """

    def __init__(
        self,
        monotonic_clock: Callable[[], float] = monotonic,
        boottime_clock: Callable[[], float] = boottime,
    ) -> None:
        """Compare `steady` with `counting`, which counts suspensions too."""
        self._monotonic_clock = monotonic_clock
        self._boottime_clock = boottime_clock
        self._wake_expected_at = monotonic_clock()
        self._clock_offset_s = boottime_clock() - self._wake_expected_at

    def start_wait(self, wait_s: float | None) -> None:
        """Note that the next round is due in `wait_s` seconds at the latest."""
        self._wake_expected_at = self._monotonic_clock() + (wait_s or 0)

    def paused_s(self) -> float:
        """Return the seconds that were slept beyond the plan, zero if it was no pause."""
        now = self._monotonic_clock()
        offset = self._boottime_clock() - now
        overslept_s = max(now - self._wake_expected_at, 0) + max(offset - self._clock_offset_s, 0)
        self._clock_offset_s = offset
        return overslept_s if overslept_s > PAUSE_S else 0


class Loop(SocketLoop):
    """Call back for ready sockets and for deadlines that have passed.

    After a pause `on_pause` is called with its length before anything else.
    """

    def __init__(self) -> None:
        """Start with nothing to wait for."""
        self.on_pause: Callable[[float], None] | None = None
        self._selector = DefaultSelector()
        self._deadlines: list[Deadline] = []
        self._running = False
        self._pause_detector = PauseDetector()

    @property
    def running(self) -> bool:
        """Whether it serves."""
        return self._running

    def watch(self, sock: socket, mask: int, callback: SocketCallback) -> None:
        """Call `callback` with the events that `sock` is ready for."""
        if sock.fileno() in self._selector.get_map():
            self._selector.modify(sock, mask, callback)
            return
        self._selector.register(sock, mask, callback)

    def unwatch(self, sock: socket) -> None:
        """Stop to watch a socket; one that is not watched is fine."""
        if sock.fileno() in self._selector.get_map():
            self._selector.unregister(sock)

    def call_at(self, at: float, call: Callable[[], None]) -> Deadline:
        """Make a call at a moment of the steady clock."""
        deadline = Deadline(at, call)
        heappush(self._deadlines, deadline)
        return deadline

    def run(self) -> None:
        """Serve until ``stop``."""
        self._running = True
        while self._running:
            wait_s = self._wait_s()
            self._pause_detector.start_wait(wait_s)
            ready = self._selector.select(wait_s)
            self._check_pause()
            for key, mask in ready:
                key.data(mask)
            self._call_due(monotonic())

    def stop(self) -> None:
        """Return from ``run`` after the current round."""
        self._running = False

    def close(self) -> None:
        """Free the selector."""
        self._selector.close()

    def _check_pause(self) -> None:
        paused_s = self._pause_detector.paused_s()
        if paused_s and self.on_pause is not None:
            self.on_pause(paused_s)

    def _wait_s(self) -> float | None:
        if not self._deadlines:
            return None
        return max(0, self._deadlines[0].at - monotonic())

    def _call_due(self, now: float) -> None:
        while self._deadlines and self._deadlines[0].at <= now:
            deadline = heappop(self._deadlines)
            if not deadline.cancelled:
                deadline.call()
