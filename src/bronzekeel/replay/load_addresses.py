"""Assign addresses to the callers of a replayed load, and count their requests."""

from collections import deque
from itertools import cycle


#: Callers have the addresses from 10.0.0.1 on, in order; their ports wrap around.
_FIRST_ADDRESS = 10 << 24
_ADDRESS_BYTES = 4
_PORT_BYTES = 2
_MAX_PORT = 0xFFFF


class Caller:
    """Hold one caller, whose packets arrive at the hosts of `centre`.

    `crowd` marks a caller that sends many times its fair share of requests.  `asked` counts its
    requests, `in_time` those that were answered in time.
    """

    __slots__ = ('_address', '_ports', 'asked', 'centre', 'crowd', 'in_time')

    def __init__(self, number: int, centre: str) -> None:
        """Assign the address with a sequential number."""
        self._address = (_FIRST_ADDRESS + number).to_bytes(_ADDRESS_BYTES, 'big')
        self._ports = cycle(range(1, _MAX_PORT + 1))
        self.centre = centre
        self.crowd = False
        self.asked = 0
        self.in_time = 0

    def next_key(self, route_key: bytes) -> bytes:
        """Return the key of the next flow to a route: source address and port, then `route_key`."""
        return self._address + next(self._ports).to_bytes(_PORT_BYTES, 'big') + route_key

    def also_in(self, centre: str) -> 'Caller':
        """Return a caller of the same address in another data centre, with separate counts.

        Both draw from the same sequence of ports, so their flow keys do not collide.
        """
        other = Caller(0, centre)
        other._address = self._address  # noqa: SLF001 (of the same class)
        other._ports = self._ports  # noqa: SLF001 (likewise)
        return other


class CallerList:
    """Hold all callers by the data centre in which they were added."""

    __slots__ = ('_by_centre', '_count')

    def __init__(self) -> None:
        """Create an empty list."""
        self._by_centre: dict[str, deque[Caller]] = {}
        self._count = 0

    @property
    def callers(self) -> list[Caller]:
        """All callers of all data centres."""
        return [caller for callers in self._by_centre.values() for caller in callers]

    def add(self, centre: str) -> Caller:
        """Add a caller to a data centre, and return it."""
        self._count += 1
        caller = Caller(self._count, centre)
        self._by_centre.setdefault(centre, deque()).append(caller)
        return caller

    def next_of(self, centre: str) -> Caller:
        """Return the callers of a data centre in rotation; add one if there are none."""
        callers = self._by_centre.get(centre)
        if not callers:
            return self.add(centre)
        callers.rotate(-1)
        return callers[-1]

    def move(self, centre: str, share: float, to_centre: str) -> None:
        """Redirect the packets of a share of a data centre's callers to another data centre."""
        callers = self._by_centre.get(centre, deque())
        for place in range(round(len(callers) * share)):
            callers[place].centre = to_centre

    def late_share(self, *, crowd: bool) -> float:
        """Return the share of requests not answered in time, of surging callers or of others."""
        selected = [caller for caller in self.callers if caller.crowd is crowd]
        sent = sum(caller.asked for caller in selected)
        in_time = sum(caller.in_time for caller in selected)
        return 1 - in_time / sent if sent else 0
