"""Run the socket handlers of the entry daemon on an asyncio event loop."""

from asyncio import AbstractEventLoop
from collections.abc import Callable
from selectors import EVENT_READ, EVENT_WRITE
from socket import socket

from bronzekeel.entry.sockets import Deadline, SocketCallback, SocketLoop


class AsyncioLoop(SocketLoop):
    """Implement `SocketLoop` on an asyncio loop, which uses the monotonic clock."""

    def __init__(self, loop: AbstractEventLoop) -> None:
        """Register sockets and timers with `loop`."""
        self._loop = loop

    def watch(self, sock: socket, mask: int, callback: SocketCallback) -> None:
        """Call `callback` with the event mask whenever `sock` is ready for events in `mask`."""
        self.unwatch(sock)
        if mask & EVENT_READ:
            self._loop.add_reader(sock, callback, EVENT_READ)
        if mask & EVENT_WRITE:
            self._loop.add_writer(sock, callback, EVENT_WRITE)

    def unwatch(self, sock: socket) -> None:
        """Stop watching a socket; does nothing if it is not watched."""
        self._loop.remove_reader(sock)
        self._loop.remove_writer(sock)

    def call_at(self, at: float, call: Callable[[], None]) -> Deadline:
        """Schedule `call` at the monotonic time `at`; the result can cancel it."""
        deadline = Deadline(at, call)
        self._loop.call_at(at, self._make, deadline)
        return deadline

    def _make(self, deadline: Deadline) -> None:
        if not deadline.cancelled:
            deadline.call()
