"""Define what sockets' owners need of the loop that they live in."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from socket import socket


SocketCallback = Callable[[int], None]


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


class SocketLoop(ABC):
    """Call back for ready sockets and for deadlines that have passed."""

    @abstractmethod
    def watch(self, sock: socket, mask: int, callback: SocketCallback) -> None:
        """Call `callback` with the events that `sock` is ready for."""

    @abstractmethod
    def unwatch(self, sock: socket) -> None:
        """Stop to watch a socket; one that is not watched is fine."""

    @abstractmethod
    def call_at(self, at: float, call: Callable[[], None]) -> Deadline:
        """Make a call at a moment of the steady clock."""
