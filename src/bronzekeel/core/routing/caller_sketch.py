"""Count the requests of callers in constant memory, the newest for the most.

The heaviest callers are kept by space-saving (Metwally, Agrawal and El Abbadi, 2005), the number
of all by linear counting (Whang, Vander-Zanden and Taylor, 1990).  Counts fade by forward decay
(Cormode, Shkapenyuk, Srivastava and Xu, 2009): a new request weighs more, and what is
kept need not be touched.
"""

from heapq import heapify, heappop, heappush
from math import exp, log
from zlib import crc32


#: Seconds in which a count fades to a third.  Source: two intervals between heartbeats in a data
#: centre of 30 hosts, so that what neighbours tell is not older than what it is compared with.
DECAY_S = 2.0

#: Callers that are counted one by one at most.  Source: those above their share are few by
#: nature; at a hundred times their share even these would be more than all room.
MAX_COUNTED = 128

#: Bits by which callers are counted.  Source: up to four times as many callers are told apart,
#: more than a data centre's upstreams have room for in an overload.
DISTINCT_BITS = 64

#: Multiplier and range of a hash.  Source: Knuth, The Art of Computer Programming, 6.4.
_GOLDEN_RATIO = 0x9E3779B1
_HASH_RANGE = 0x100000000

#: Exponent from which weights are reckoned anew.  Source: far below what a float can hold.
_RESCALE_EXPONENT = 50.0

#: Exponent beyond which a weight is no float.  What goes wrong without it: a host that stood still
#: for half an hour ends at its first packet.
_MAX_EXPONENT = 700

#: Faded requests below which a caller is not worth an entry.
_MIN_COUNT = 0.01


class CallerCount:
    """Hold what one caller demand for and was admitted, by the weights of a sketch.

    `inherited` of what it `demand` may be another's, whose entry it took.
    """

    __slots__ = ('asked', 'given', 'inherited')

    def __init__(self, inherited: float) -> None:
        """Start with what the former owner of the entry demand for."""
        self.asked = inherited
        self.given: float = 0
        self.inherited = inherited

    def rescale(self, weight: float) -> None:
        """Reckon the counts for requests of another weight."""
        self.asked /= weight
        self.given /= weight
        self.inherited /= weight


class CallerSketch:
    """Count requests by caller: the heaviest one by one, all of them together."""

    __slots__ = (
        '_demand',
        '_by_caller',
        '_previous_seen',
        '_admitted',
        '_smallest',
        '_seen_rotates_at',
        '_seen',
        '_since',
    )

    def __init__(self, now: float) -> None:
        """Start with nothing counted."""
        self._by_caller: dict[int, CallerCount] = {}
        self._smallest: list[tuple[float, int]] = []
        self._demand: float = 0
        self._admitted: float = 0
        self._seen = 0
        self._previous_seen = 0
        self._seen_rotates_at = now + DECAY_S
        self._since = now

    def __len__(self) -> int:
        """Return the number of callers that are counted one by one."""
        return len(self._by_caller)

    @property
    def seen(self) -> int:
        """Bits of the callers that demand in the last seconds."""
        return self._seen | self._previous_seen

    def note(self, caller: int, now: float, *, admitted: bool) -> None:
        """Count one request, and whether it was let through."""
        weight = self._weight(now)
        counted = self._by_caller.get(caller) or self._add_entry(caller)
        counted.asked += weight
        self._demand += weight
        if admitted:
            counted.given += weight
            self._admitted += weight
        self._mark_seen(caller, now)

    def demand(self, now: float) -> float:
        """Return the requests of all callers, faded."""
        return self._demand / self._weight(now)

    def admitted(self, now: float) -> float:
        """Return the requests of all callers that were let through, faded."""
        return self._admitted / self._weight(now)

    def admitted_for(self, caller: int, now: float) -> float:
        """Return the requests of one caller that were let through, faded."""
        counted = self._by_caller.get(caller)
        return counted.given / self._weight(now) if counted else 0

    def counts(self, now: float) -> dict[int, tuple[float, float]]:
        """Return what each counted caller surely demand for, and was admitted, faded."""
        weight = self._weight(now)
        return {
            caller: ((counted.asked - counted.inherited) / weight, counted.given / weight)
            for caller, counted in self._by_caller.items()
        }

    def _weight(self, now: float) -> float:
        """Return the weight of a request that comes now."""
        exponent = (now - self._since) / DECAY_S
        if exponent > _RESCALE_EXPONENT:
            self._rescale(now, exp(min(exponent, _MAX_EXPONENT)))
            return 1
        return exp(exponent)

    def _rescale(self, now: float, weight: float) -> None:
        """Reckon all counts for weights that start from one, and forget those that faded."""
        self._since = now
        self._demand /= weight
        self._admitted /= weight
        self._smallest = []
        for caller, counted in list(self._by_caller.items()):
            counted.rescale(weight)
            if counted.asked < _MIN_COUNT:
                self._by_caller.pop(caller)
                continue
            self._smallest.append((counted.asked, caller))
        heapify(self._smallest)

    def _add_entry(self, caller: int) -> CallerCount:
        """Give a caller an entry, that of the one that demand for least if all are taken."""
        inherited: float = 0
        if len(self._by_caller) >= MAX_COUNTED:
            inherited = self._by_caller.pop(self._pop_least()).asked
        counted = CallerCount(inherited)
        self._by_caller[caller] = counted
        heappush(self._smallest, (inherited, caller))
        return counted

    def _pop_least(self) -> int:
        """Return the caller that demand for least; counts in the heap may be out of date."""
        while True:
            demand, caller = heappop(self._smallest)
            newest = self._by_caller[caller].asked
            if newest <= demand:
                return caller
            heappush(self._smallest, (newest, caller))

    def _mark_seen(self, caller: int, now: float) -> None:
        if now >= self._seen_rotates_at:
            self._previous_seen = self._seen if now < self._seen_rotates_at + DECAY_S else 0
            self._seen = 0
            self._seen_rotates_at = now + DECAY_S
        self._seen |= 1 << _bit_of(caller)


def _bit_of(caller: int) -> int:
    """Return the bit of a caller: the head of a product, since a checksum alone is linear."""
    product = crc32(caller.to_bytes(4, 'big')) * _GOLDEN_RATIO % _HASH_RANGE
    return product * DISTINCT_BITS // _HASH_RANGE


def estimate_distinct(seen: int) -> float:
    """Return about how many callers have set some bits."""
    free = max(DISTINCT_BITS - seen.bit_count(), 1)
    return DISTINCT_BITS * log(DISTINCT_BITS / free)
