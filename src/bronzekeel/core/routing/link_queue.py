"""Pace datagrams to the rate of a narrow link, so that the link drops none.

A caller sends the first sixteen packets of an upload at once.  Without pacing they are forwarded
faster than a link of a few Mbit/s can carry, and the excess is lost, along with requests of other
callers.  Callers repeat lost packets after 0.2 s, then 0.4 s, so uploads take seconds on otherwise
idle hosts, and requests are late by those intervals.

The load is a mix of single packets from many callers and bursts from a few.  Flows are therefore
served round-robin, one packet each, and a flow that has just become active goes before those that
were already waiting (Hoeiland-Joergensen et al., "The FlowQueue-CoDel Packet Scheduler",
RFC 8290), so that a request of one packet does not wait for uploads.  The packets of a flow stay
in order.
"""

from abc import ABC, abstractmethod
from collections import deque


_BITS_PER_BYTE = 8
_MEGA = 1_000_000

#: Share of a link's rate that callers' packets may use.  Heartbeats and views to peers leave by
#: the same link: at most 10 KB/s, and an occasional view (docs/CAPACITY.md).
LINK_SHARE = 0.95

#: Bytes of the Ethernet, IPv4 and UDP headers of each datagram on a link.
HEADER_BYTES = 42

#: Seconds by which sending may run ahead of the link's rate.  This is the time of one packet at
#: 100 Mbit/s, and about the precision of system timers.
MAX_AHEAD_S = 0.0002

#: Seconds by which a datagram may leave late without lowering the rate.  Timers of a busy host
#: fire late by about this much, and the link is idle in the meantime.
MAX_LATE_S = 0.001

#: Limit on the queue, in seconds of the link's rate; beyond it datagrams are dropped, as they would
#: be on the link.  Callers repeat what is not acknowledged after 0.2 s, and twice more later, so
#: sending a datagram that has waited longer is useless.
MAX_QUEUE_S = 0.4

Address = tuple[str, int]


class QueuedDatagram:
    """Hold a datagram of a flow that waits to be sent."""

    __slots__ = ('address', 'flow', 'raw')

    def __init__(self, flow: bytes, raw: bytes, address: Address) -> None:
        """Queue the bytes `raw` of `flow` for `address`."""
        self.flow = flow
        self.raw = raw
        self.address = address


class SendingOrder(ABC):
    """Decide which of the waiting datagrams is sent next."""

    @abstractmethod
    def __len__(self) -> int:
        """Return the number of waiting datagrams."""

    @abstractmethod
    def add(self, datagram: QueuedDatagram) -> bool:
        """Add a datagram; return False if it was left out as a repeat of a waiting one."""

    @abstractmethod
    def pop(self) -> QueuedDatagram | None:
        """Remove and return the next datagram, None if none waits."""


class FairQueueOrder(SendingOrder):
    """Serve flows round-robin, with those that have just become active first."""

    def __init__(self) -> None:
        """Start with none."""
        self._waiting_by_flow: dict[bytes, deque[QueuedDatagram]] = {}
        self._new_flows: deque[bytes] = deque()
        self._old_flows: deque[bytes] = deque()
        self._count = 0

    def __len__(self) -> int:
        """Return the number of waiting datagrams."""
        return self._count

    def add(self, datagram: QueuedDatagram) -> bool:
        """Add a datagram after those of its flow, unless it repeats one that waits.

        A repeat is identical in all bytes.  Comparing less is not enough: acknowledgements can
        have the same sequence number and length, and the newest of them would be dropped.
        """
        waiting = self._waiting_by_flow.get(datagram.flow)
        if waiting is None:
            self._waiting_by_flow[datagram.flow] = deque((datagram,))
            self._new_flows.append(datagram.flow)
            self._count += 1
            return True
        if any(datagram.raw == other.raw for other in waiting):
            return False
        waiting.append(datagram)
        self._count += 1
        return True

    def pop(self) -> QueuedDatagram | None:
        """Remove and return the next datagram, None if none waits."""
        flows = self._new_flows or self._old_flows
        if not flows:
            return None
        flow = flows.popleft()
        waiting = self._waiting_by_flow[flow]
        datagram = waiting.popleft()
        if waiting:
            self._old_flows.append(flow)
        else:
            self._waiting_by_flow.pop(flow)
        self._count -= 1
        return datagram


class LinkQueue:
    """Send datagrams at a link's rate; `dropped` counts those that the full queue refused."""

    def __init__(self, link_mbps: float, order: SendingOrder) -> None:
        """Send at `LINK_SHARE` of a rate in Mbit/s, in the order that `order` decides."""
        self.dropped = 0
        self._bytes_per_s = link_mbps * _MEGA / _BITS_PER_BYTE * LINK_SHARE
        self._max_bytes = self._bytes_per_s * MAX_QUEUE_S
        self._order = order
        self._queued_bytes = 0
        self._free_at: float = 0

    def __len__(self) -> int:
        """Return the number of waiting datagrams."""
        return len(self._order)

    @property
    def next_at(self) -> float:
        """Time at which the next datagram may leave."""
        return self._free_at - MAX_AHEAD_S

    def try_reserve(self, size: int, now: float) -> bool:
        """Return whether a datagram of `size` bytes may leave now; reserve link time if so."""
        if len(self._order) or now < self._free_at - MAX_AHEAD_S:
            return False
        self._reserve(size, now)
        return True

    def add(self, datagram: QueuedDatagram) -> None:
        """Queue a datagram, or drop it if the queue is full."""
        if self._queued_bytes + len(datagram.raw) > self._max_bytes:
            self.dropped += 1
            return
        if self._order.add(datagram):
            self._queued_bytes += len(datagram.raw)

    def pop_due(self, now: float) -> QueuedDatagram | None:
        """Remove and return the next datagram that may leave by `now`, None if none may."""
        if now < self._free_at - MAX_AHEAD_S:
            return None
        datagram = self._order.pop()
        if datagram is not None:
            self._queued_bytes -= len(datagram.raw)
            self._reserve(len(datagram.raw), now)
        return datagram

    def drop(self) -> int:
        """Empty the queue; return how many datagrams it held."""
        dropped = 0
        while self._order.pop() is not None:
            dropped += 1
        self._queued_bytes = 0
        return dropped

    def _reserve(self, size: int, now: float) -> None:
        starts_at = max(self._free_at, now - MAX_LATE_S)
        self._free_at = starts_at + (size + HEADER_BYTES) / self._bytes_per_s


def link_queue_for(link_mbps: float) -> LinkQueue | None:
    """Return a queue for a link of a rate in Mbit/s, None if the rate is not known."""
    return LinkQueue(link_mbps, FairQueueOrder()) if link_mbps else None
