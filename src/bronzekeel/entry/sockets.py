"""Interface between socket owners and the event loop that they run on."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from socket import socket


SocketCallback = Callable[[int], None]


class Deadline:
    """A call scheduled at a time of the monotonic clock."""

    __slots__ = ('at', 'call', 'cancelled')

    def __init__(self, at: float, call: Callable[[], None]) -> None:
        """Initialise a deadline that runs `call` at `at`."""
        self.at = at
        self.call = call
        self.cancelled = False

    def __lt__(self, other: 'Deadline') -> bool:
        """Order deadlines by time."""
        return self.at < other.at

    def cancel(self) -> None:
        """Cancel the call."""
        self.cancelled = True


class SocketLoop(ABC):
    """Event loop that calls back for ready sockets and for expired deadlines."""

    @abstractmethod
    def watch(self, sock: socket, mask: int, callback: SocketCallback) -> None:
        """Call `callback` with the event mask whenever `sock` is ready for an event in `mask`.

        A socket that is watched already gets the new mask and callback.
        """

    @abstractmethod
    def unwatch(self, sock: socket) -> None:
        """Stop watching a socket; does nothing if it is not watched."""

    @abstractmethod
    def call_at(self, at: float, call: Callable[[], None]) -> Deadline:
        """Schedule a call at a time of the monotonic clock."""
