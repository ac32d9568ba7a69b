"""Queue datagrams before a narrow link, so that the link has none to lose.

What goes wrong without it: a caller sends the first sixteen packets of an upload at once.  They
leave faster than a link of a few Mbit/s takes them, and what it cannot take is lost; the
caller sends it again after 0.2 s, then 0.4 s, and requests of others are lost beside.  One
notices by uploads of seconds on hosts that do nothing else, and by requests late by the times
of callers' repeats.

Load pattern: single packets of many callers beside bursts of a few.  So flows take turns, one
packet each, and one that has just begun to wait comes before those that waited already
(Hoeiland-Joergensen et al., "The FlowQueue-CoDel Packet Scheduler", RFC 8290): a request of one
packet does not wait for uploads.  The packets of a flow stay in their order.
"""

from abc import ABC, abstractmethod
from collections import deque


_BITS = 8
_MEGA = 1_000_000

#: Share of a link's rate that callers' packets may take.  Source: heartbeats and views to peers
#: leave by the same link, at most 10 KB/s and a view now and then (docs/CAPACITY.md).
LINK_SHARE = 0.95

#: Bytes of head before each datagram on a link: Ethernet, IPv4 and UDP.
HEADER_BYTES = 42

#: Seconds by which a link may be ahead of its rate.  Source: one packet of a hundred Mbit/s; a
#: timer of the system is about as exact.
MAX_AHEAD_S = 0.0002

#: Seconds by which a datagram may leave late without a loss of rate.  Source: the timers of a
#: busy host are late by that; the link was idle meanwhile.
MAX_LATE_S = 0.001

#: Seconds of the link's rate that wait at most; beyond them datagrams are lost, as they would be on
#: the link.  Source: callers repeat after 0.2 s what was not acknowledged, and twice later; what
#: waits longer is sent in vain.
MAX_QUEUE_S = 0.4

Address = tuple[str, int]


class QueuedDatagram:
    """Hold a datagram of a flow that waits."""

    __slots__ = ('address', 'flow', 'raw')

    def __init__(self, flow: bytes, raw: bytes, address: Address) -> None:
        """Keep the datagram for `address`."""
        self.flow = flow
        self.raw = raw
        self.address = address


class SendingOrder(ABC):
    """Say which of the waiting datagrams leaves next."""

    @abstractmethod
    def __len__(self) -> int:
        """Return the number of datagrams that wait."""

    @abstractmethod
    def add(self, outgoing: QueuedDatagram) -> bool:
        """Take a datagram; return whether it is not one that waits already."""

    @abstractmethod
    def take(self) -> QueuedDatagram | None:
        """Take out the next datagram, None if none waits."""


class FairQueueOrder(SendingOrder):
    """Let flows take turns, those that have just begun to wait first."""

    def __init__(self) -> None:
        """Start with none."""
        self._waiting_by_flow: dict[bytes, deque[QueuedDatagram]] = {}
        self._new: deque[bytes] = deque()
        self._old: deque[bytes] = deque()
        self._count = 0

    def __len__(self) -> int:
        """Return the number of datagrams that wait."""
        return self._count

    def add(self, outgoing: QueuedDatagram) -> bool:
        """Take a datagram behind those of its flow; a repeat of one that waits is left out.

        A repeat is the same to the last byte.  What goes wrong with less: acknowledgements have
        the same place in the byte stream and the same length, and the newest of them is lost.
        """
        waiting = self._waiting_by_flow.get(outgoing.flow)
        if waiting is None:
            self._waiting_by_flow[outgoing.flow] = deque((outgoing,))
            self._new.append(outgoing.flow)
            self._count += 1
            return True
        if any(outgoing.raw == other.raw for other in waiting):
            return False
        waiting.append(outgoing)
        self._count += 1
        return True

    def take(self) -> QueuedDatagram | None:
        """Take out the next datagram, None if none waits."""
        turns = self._new or self._old
        if not turns:
            return None
        flow = turns.popleft()
        waiting = self._waiting_by_flow[flow]
        outgoing = waiting.popleft()
        if waiting:
            self._old.append(flow)
        else:
            self._waiting_by_flow.pop(flow)
        self._count -= 1
        return outgoing


class LinkQueue:
    """Send datagrams at a link's rate; `lost` counts those for which there was no room."""

    def __init__(self, link_mbps: float, order: SendingOrder) -> None:
        """Send at `LINK_SHARE` of a rate in Mbit/s; `order` says who goes first."""
        self.dropped = 0
        self._bytes_per_s = link_mbps * _MEGA / _BITS * LINK_SHARE
        self._max_bytes = self._bytes_per_s * MAX_QUEUE_S
        self._order = order
        self._bytes = 0
        self._free_at: float = 0

    def __len__(self) -> int:
        """Return the number of datagrams that wait."""
        return len(self._order)

    @property
    def next_at(self) -> float:
        """When the next datagram may leave."""
        return self._free_at - MAX_AHEAD_S

    def try_reserve(self, size: int, now: float) -> bool:
        """Whether a datagram of `size` bytes may leave at once; take its time if so."""
        if len(self._order) or now < self._free_at - MAX_AHEAD_S:
            return False
        self._occupy(size, now)
        return True

    def add(self, outgoing: QueuedDatagram) -> None:
        """Let a datagram wait for its turn."""
        if self._bytes + len(outgoing.raw) > self._max_bytes:
            self.dropped += 1
            return
        if self._order.add(outgoing):
            self._bytes += len(outgoing.raw)

    def take_due(self, now: float) -> QueuedDatagram | None:
        """Take out the next datagram that may leave by now, None if none may."""
        if now < self._free_at - MAX_AHEAD_S:
            return None
        outgoing = self._order.take()
        if outgoing is not None:
            self._bytes -= len(outgoing.raw)
            self._occupy(len(outgoing.raw), now)
        return outgoing

    def drop(self) -> int:
        """Let nothing wait any more; return how many datagrams there were."""
        dropped = 0
        while self._order.take() is not None:
            dropped += 1
        self._bytes = 0
        return dropped

    def _occupy(self, size: int, now: float) -> None:
        begins_at = max(self._free_at, now - MAX_LATE_S)
        self._free_at = begins_at + (size + HEADER_BYTES) / self._bytes_per_s


def link_queue_for(link_mbps: float) -> LinkQueue | None:
    """Return the queue before a link of a rate in Mbit/s, None if the rate is not known."""
    return LinkQueue(link_mbps, FairQueueOrder()) if link_mbps else None
