"""Hold callers' packets for a balancer that does not know yet where they go.

What goes wrong without it: all hosts of a data centre lose power and start
again.  The fabric sends to them all the same, since no other is better, and every
packet that comes before text and upstreams are known is lost.  Its caller sends
it again after 0.2 s, then 0.4, then 0.8 s: a host that was ready a moment later
serves it up to 0.8 s late.
"""

from collections import deque


#: Seconds for which a packet is held.  Source: the longest gap between two
#: copies of an opening packet is 0.4 s, so of each flow that still tries one
#: packet is held; an older one has been repeated since.
HOLD_S = 0.4

#: Packets that are held at most; beyond it the oldest leaves.  Source: what
#: 10,000 packets a second bring in ``HOLD_S``, 5 MB at 1,231 bytes each.
MAX_HELD_PACKETS = 4000


class HeldPackets:
    """Hold raw packets in the order in which they came."""

    def __init__(self) -> None:
        """Start with none."""
        self._held: deque[tuple[float, bytes]] = deque(maxlen=MAX_HELD_PACKETS)

    def __len__(self) -> int:
        """Return the number of packets that are held."""
        return len(self._held)

    def hold(self, raw: bytes, now: float) -> None:
        """Keep a packet, and let go of those that are too old."""
        self._held.append((now, raw))
        while self._held[0][0] < now - HOLD_S:
            self._held.popleft()

    def release(self, now: float) -> list[bytes]:
        """Return the packets that are not too old, and hold none any more."""
        released = [raw for held_at, raw in self._held if held_at >= now - HOLD_S]
        self._held.clear()
        return released

    def drop(self) -> int:
        """Hold none any more; return how many there were."""
        dropped = len(self._held)
        self._held.clear()
        return dropped
