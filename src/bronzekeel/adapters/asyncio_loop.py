"""Let sockets' owners of the lean balancer live in an asyncio loop."""

from asyncio import AbstractEventLoop
from collections.abc import Callable
from selectors import EVENT_READ, EVENT_WRITE
from socket import socket

from bronzekeel.entry.sockets import Deadline, SocketCallback, SocketLoop


class AsyncioLoop(SocketLoop):
    """Watch sockets by an asyncio loop, whose clock is the steady one."""

    def __init__(self, loop: AbstractEventLoop) -> None:
        """Use `loop`."""
        self._loop = loop

    def watch(self, sock: socket, mask: int, callback: SocketCallback) -> None:
        """Call `callback` with the events that `sock` is ready for."""
        self.unwatch(sock)
        if mask & EVENT_READ:
            self._loop.add_reader(sock, callback, EVENT_READ)
        if mask & EVENT_WRITE:
            self._loop.add_writer(sock, callback, EVENT_WRITE)

    def unwatch(self, sock: socket) -> None:
        """Stop to watch a socket; one that is not watched is fine."""
        self._loop.remove_reader(sock)
        self._loop.remove_writer(sock)

    def call_at(self, at: float, call: Callable[[], None]) -> Deadline:
        """Make a call at a moment of the steady clock."""
        deadline = Deadline(at, call)
        self._loop.call_at(at, self._make, deadline)
        return deadline

    def _make(self, deadline: Deadline) -> None:
        if not deadline.cancelled:
            deadline.call()
