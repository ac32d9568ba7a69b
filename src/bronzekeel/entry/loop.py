"""Single-threaded event loop for sockets and deadlines.

Importing ``asyncio`` takes 0.06 to 0.09 s of processor time.  On a fifth of a core that is most of
the time from the start to the first forwarded packet (`bronzekeel bench start`).  Importing
``selectors`` takes a tenth of that.
"""

from collections.abc import Callable
from heapq import heappop, heappush
from selectors import DefaultSelector
from socket import socket
from time import CLOCK_BOOTTIME, clock_gettime, monotonic

from bronzekeel.entry.sockets import Deadline, SocketCallback, SocketLoop


#: Delay of an iteration beyond its planned wait that counts as a pause: ten times the longest
#: iteration, in which the smallest host parses a large text.
PAUSE_S = 0.5


def boottime() -> float:
    """Return the time of a clock that includes the time spent suspended, in seconds."""
    return clock_gettime(CLOCK_BOOTTIME)


class PauseDetector:
    """Detects that the process was stopped or its host suspended.

    Without this, a host that resumes would trust a stale view: the monotonic clock does not count a
    suspension, and a view may be valid for longer than a short pause.  The host would then refuse
    what has come into force in the meantime.
    """

    def __init__(
        self,
        monotonic_clock: Callable[[], float] = monotonic,
        boottime_clock: Callable[[], float] = boottime,
    ) -> None:
        """Compare `monotonic_clock` with `boottime_clock`, which includes suspensions."""
        self._monotonic_clock = monotonic_clock
        self._boottime_clock = boottime_clock
        self._wake_expected_at = monotonic_clock()
        self._clock_offset_s = boottime_clock() - self._wake_expected_at

    def start_wait(self, wait_s: float | None) -> None:
        """Start a wait of at most `wait_s` seconds; None counts as zero."""
        self._wake_expected_at = self._monotonic_clock() + (wait_s or 0)

    def paused_s(self) -> float:
        """Return the seconds beyond the planned wait, zero unless they exceed `PAUSE_S`."""
        now = self._monotonic_clock()
        offset = self._boottime_clock() - now
        overslept_s = max(now - self._wake_expected_at, 0) + max(offset - self._clock_offset_s, 0)
        self._clock_offset_s = offset
        return overslept_s if overslept_s > PAUSE_S else 0


class Loop(SocketLoop):
    """Event loop that calls back for ready sockets and for expired deadlines.

    After a pause `on_pause` is called with its length in seconds before any other callback.
    """

    def __init__(self) -> None:
        """Initialise a loop without sockets and deadlines."""
        self.on_pause: Callable[[float], None] | None = None
        self._selector = DefaultSelector()
        self._deadlines: list[Deadline] = []
        self._running = False
        self._pause_detector = PauseDetector()

    @property
    def running(self) -> bool:
        """Whether ``run`` continues after the current iteration."""
        return self._running

    def watch(self, sock: socket, mask: int, callback: SocketCallback) -> None:
        """Call `callback` with the event mask whenever `sock` is ready for an event in `mask`."""
        if sock.fileno() in self._selector.get_map():
            self._selector.modify(sock, mask, callback)
            return
        self._selector.register(sock, mask, callback)

    def unwatch(self, sock: socket) -> None:
        """Stop watching a socket; does nothing if it is not watched."""
        if sock.fileno() in self._selector.get_map():
            self._selector.unregister(sock)

    def call_at(self, at: float, call: Callable[[], None]) -> Deadline:
        """Schedule a call at a time of the monotonic clock."""
        deadline = Deadline(at, call)
        heappush(self._deadlines, deadline)
        return deadline

    def run(self) -> None:
        """Run callbacks until ``stop`` is called."""
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
        """Make ``run`` return after the current iteration."""
        self._running = False

    def close(self) -> None:
        """Close the selector."""
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
