"""Wait for sockets and deadlines in one thread.

``asyncio`` takes 0.06 to 0.09 s of processor time to import, which on a fifth
of a core is most of the time between a start and the first forwarded packet
(`bronzekeel bench start`).  ``selectors`` takes a tenth of that.
"""

from collections.abc import Callable
from heapq import heappop, heappush
from selectors import DefaultSelector
from socket import socket
from time import monotonic


_Callback = Callable[[int], None]


class Deadline:
    """Hold one call that is due at a moment of the steady clock."""

    __slots__ = ('at', 'call', 'cancelled')

    def __init__(self, at: float, call: Callable[[], None]) -> None:
        """Call `call` at `at`."""
        self.at = at
        self.call = call
        self.cancelled = False

    def __lt__(self, other: 'Deadline') -> bool:
        """Order by time."""
        return self.at < other.at

    def cancel(self) -> None:
        """Never make the call."""
        self.cancelled = True


class Loop:
    """Call back for ready sockets and for deadlines that have passed."""

    def __init__(self) -> None:
        """Start with nothing to wait for."""
        self._selector = DefaultSelector()
        self._deadlines: list[Deadline] = []
        self._running = False

    @property
    def running(self) -> bool:
        """Whether it serves."""
        return self._running

    def watch(self, sock: socket, mask: int, callback: _Callback) -> None:
        """Call `callback` with the events that `sock` is ready for."""
        if sock.fileno() in self._selector.get_map():
            self._selector.modify(sock, mask, callback)
            return
        self._selector.register(sock, mask, callback)

    def forget(self, sock: socket) -> None:
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
            for key, mask in self._selector.select(self._wait_s()):
                key.data(mask)
            self._call_due(monotonic())

    def stop(self) -> None:
        """Return from ``run`` after the current round."""
        self._running = False

    def close(self) -> None:
        """Free the selector."""
        self._selector.close()

    def _wait_s(self) -> float | None:
        if not self._deadlines:
            return None
        return max(0, self._deadlines[0].at - monotonic())

    def _call_due(self, now: float) -> None:
        while self._deadlines and self._deadlines[0].at <= now:
            deadline = heappop(self._deadlines)
            if not deadline.cancelled:
                deadline.call()
