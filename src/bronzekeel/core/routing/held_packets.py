"""Hold callers' packets until a starting balancer knows where to send them.

When all hosts of a data centre restart together, for instance after a power
loss, the fabric sends packets to hosts that are not ready, as no better host is
left.  Without this, every packet that arrives before text and upstreams are
known is lost.  Its caller repeats it after 0.2 s, then 0.4 s, then 0.8 s, so a
host that becomes ready a moment later would serve it up to 0.8 s late.
"""

from collections import deque


#: Seconds for which a packet is held.  The longest gap between two copies of an
#: opening packet is 0.4 s, so one packet of each flow that still tries is held;
#: an older one has been repeated since.
HOLD_S = 0.4

#: Limit on held packets, beyond which the oldest is dropped: 10,000 packets a
#: second for ``HOLD_S``, or 5 MB at 1,231 bytes each.
MAX_HELD_PACKETS = 4000


class HeldPackets:
    """Hold raw packets in order of arrival."""

    def __init__(self) -> None:
        """Start with none."""
        self._held: deque[tuple[float, bytes]] = deque(maxlen=MAX_HELD_PACKETS)

    def __len__(self) -> int:
        """Return the number of packets that are held."""
        return len(self._held)

    def hold(self, raw: bytes, now: float) -> None:
        """Add a packet, and drop those that are older than ``HOLD_S``."""
        self._held.append((now, raw))
        while self._held[0][0] < now - HOLD_S:
            self._held.popleft()

    def release(self, now: float) -> list[bytes]:
        """Remove all packets; return those that are not older than ``HOLD_S``."""
        released = [raw for held_at, raw in self._held if held_at >= now - HOLD_S]
        self._held.clear()
        return released

    def drop(self) -> int:
        """Remove all packets; return how many there were."""
        dropped = len(self._held)
        self._held.clear()
        return dropped
