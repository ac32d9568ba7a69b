"""Count the requests of callers in constant memory, with exponential decay.

The heaviest callers are tracked by the space-saving algorithm (Metwally, Agrawal and El Abbadi,
2005), the number of distinct callers by linear counting (Whang, Vander-Zanden and Taylor, 1990).
Counts decay by forward decay (Cormode, Shkapenyuk, Srivastava and Xu, 2009): newer requests get
larger weights, so stored counts need not be touched.
"""

from heapq import heapify, heappop, heappush
from math import exp, log
from zlib import crc32


#: Time constant of the decay: a count falls to 1/e in this many seconds. It spans two heartbeat
#: intervals of a data centre of 30 hosts, so that reports of neighbours are no older than the
#: counts that they are added to.
DECAY_S = 2.0

#: Most callers that are counted one by one. Callers above their shares are few by nature: at a
#: hundred times its share each, this many would demand more than the whole capacity.
MAX_COUNTED = 128

#: Bits of the bitmap of linear counting. It can tell up to four times as many callers apart, more
#: than the upstreams of a data centre can serve in an overload.
DISTINCT_BITS = 64

#: Multiplier and range of multiplicative hashing: Knuth, The Art of Computer Programming, 6.4.
_GOLDEN_RATIO = 0x9E3779B1
_HASH_RANGE = 0x100000000

#: Exponent from which all counts are rescaled, far below the range of a float.
_RESCALE_EXPONENT = 50.0

#: Exponent beyond which a weight overflows a float. Without this bound, a host that was paused for
#: half an hour crashes at its first packet.
_MAX_EXPONENT = 700

#: Decayed requests below which a caller's entry is dropped.
_MIN_COUNT = 0.01


class CallerCount:
    """Hold the weighted counts of one caller: its `demand` and the requests `admitted`.

    `inherited` is the part of `demand` that may belong to the caller whose entry was replaced by
    this one.
    """

    __slots__ = ('admitted', 'demand', 'inherited')

    def __init__(self, inherited: float) -> None:
        """Start with the demand of the caller whose entry was replaced."""
        self.demand = inherited
        self.admitted: float = 0
        self.inherited = inherited

    def rescale(self, weight: float) -> None:
        """Divide the counts by `weight`."""
        self.demand /= weight
        self.admitted /= weight
        self.inherited /= weight


class CallerSketch:
    """Count the requests of the heaviest callers one by one, and of all callers in total."""

    __slots__ = (
        '_admitted',
        '_by_caller',
        '_demand',
        '_previous_seen',
        '_seen',
        '_seen_rotates_at',
        '_since',
        '_smallest',
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
        """Bitmap of the callers that sent requests recently, for ``estimate_distinct``."""
        return self._seen | self._previous_seen

    def note(self, caller: int, now: float, *, admitted: bool) -> None:
        """Count one request, and whether it was admitted."""
        weight = self._weight(now)
        counted = self._by_caller.get(caller) or self._add_entry(caller)
        counted.demand += weight
        self._demand += weight
        if admitted:
            counted.admitted += weight
            self._admitted += weight
        self._mark_seen(caller, now)

    def demand(self, now: float) -> float:
        """Return the decayed number of requests of all callers."""
        return self._demand / self._weight(now)

    def admitted(self, now: float) -> float:
        """Return the decayed number of admitted requests of all callers."""
        return self._admitted / self._weight(now)

    def admitted_for(self, caller: int, now: float) -> float:
        """Return the decayed number of admitted requests of one caller."""
        counted = self._by_caller.get(caller)
        return counted.admitted / self._weight(now) if counted else 0

    def counts(self, now: float) -> dict[int, tuple[float, float]]:
        """Return the least demand and the admitted requests by counted caller, decayed."""
        weight = self._weight(now)
        return {
            caller: ((counted.demand - counted.inherited) / weight, counted.admitted / weight)
            for caller, counted in self._by_caller.items()
        }

    def _weight(self, now: float) -> float:
        """Return the weight of a request that arrives now."""
        exponent = (now - self._since) / DECAY_S
        if exponent > _RESCALE_EXPONENT:
            self._rescale(now, exp(min(exponent, _MAX_EXPONENT)))
            return 1
        return exp(exponent)

    def _rescale(self, now: float, weight: float) -> None:
        """Rescale all counts to weights that start from one, and drop those that have decayed."""
        self._since = now
        self._demand /= weight
        self._admitted /= weight
        self._smallest = []
        for caller, counted in list(self._by_caller.items()):
            counted.rescale(weight)
            if counted.demand < _MIN_COUNT:
                self._by_caller.pop(caller)
                continue
            self._smallest.append((counted.demand, caller))
        heapify(self._smallest)

    def _add_entry(self, caller: int) -> CallerCount:
        """Add an entry for a caller; in a full table it replaces that with the least demand."""
        inherited: float = 0
        if len(self._by_caller) >= MAX_COUNTED:
            inherited = self._by_caller.pop(self._pop_least()).demand
        counted = CallerCount(inherited)
        self._by_caller[caller] = counted
        heappush(self._smallest, (inherited, caller))
        return counted

    def _pop_least(self) -> int:
        """Return the caller with the least demand; counts in the heap may be out of date."""
        while True:
            demand, caller = heappop(self._smallest)
            newest = self._by_caller[caller].demand
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
    """Return the bit of a caller: the high bits of a product, since a CRC alone is linear."""
    product = crc32(caller.to_bytes(4, 'big')) * _GOLDEN_RATIO % _HASH_RANGE
    return product * DISTINCT_BITS // _HASH_RANGE


def estimate_distinct(seen: int) -> float:
    """Return the estimated number of distinct callers that set the bits of `seen`."""
    free = max(DISTINCT_BITS - seen.bit_count(), 1)
    return DISTINCT_BITS * log(DISTINCT_BITS / free)
