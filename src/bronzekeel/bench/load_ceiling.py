"""Reckon what a policy with perfect sight would earn: one queue that sees every slot at once."""

from collections import deque
from collections.abc import Iterable

from bronzekeel.replay.load_callers import Arrival, RequestKind, Tally
from bronzekeel.replay.load_servers import Slot


#: Place of a request that any server may work on.
_ANYWHERE = ''


class _Asked:
    """Hold one request of a replay."""

    __slots__ = ('at_s', 'kind', 'server', 'work_s')

    def __init__(self, kind: RequestKind, arrival: Arrival) -> None:
        self.kind = kind
        self.at_s = arrival.at_s
        self.work_s = arrival.work_s
        self.server = arrival.server

    @property
    def gain(self) -> float:
        """Worth for each second of work."""
        return self.kind.worth / self.work_s

    def is_wanted(self, now: float) -> bool:
        """Whether its caller has not given it up."""
        return now <= self.at_s + self.kind.timeout_s


class _FreeSlot:
    """Hold when a slot is free again."""

    __slots__ = ('_slot', 'ends_s', 'free_at', 'server')

    def __init__(self, slot: Slot) -> None:
        self._slot = slot
        self.server = slot.server
        self.ends_s = slot.ends_s
        self.free_at = max(slot.begins_s, 0)

    def speed_at(self, now: float) -> float:
        return self._slot.speed_at(now)


class PerfectSight:
    """Serve all requests from one queue that sees every slot at once.

    It knows how long each request takes: of those that can still be in time the one with the
    most worth a second of work goes first, late ones when there is no other.  Of the slots that
    are free the fastest takes it.  `way_s` is the time from a caller to an upstream and back.
    What is asked while balancers are `dark` waits for their return.  With `keeps_flows` a
    request on an open flow goes to the server of that flow for as long as it is there.
    """

    def __init__(
        self,
        slots: Iterable[Slot],
        way_s: float,
        dark: tuple[float, float],
        *,
        keeps_flows: bool = False,
    ) -> None:
        """Start with nothing asked."""
        self._slots = [_FreeSlot(slot) for slot in slots]
        self._way_s = way_s
        self._dark = dark
        self._keeps_flows = keeps_flows
        self._servers: set[str] = set()
        self._waiting: list[_Asked] = []

    def earn(self, tallies: Iterable[Tally]) -> float:
        """Return the worth that is earned of all that was asked."""
        asked = deque(sorted(_asked_of(tallies), key=self._comes_at))
        earned: float = 0
        now: float = 0
        while (asked or self._waiting) and self._slots:
            now = self._let_in(asked, max(now, min(slot.free_at for slot in self._slots)))
            self._forget_gone(now)
            slot, chosen = self._next(now)
            if slot is None or chosen is None:
                now = self._skip(asked, now)
                continue
            self._waiting.remove(chosen)
            slot.free_at = now + chosen.work_s / slot.speed_at(now)
            earned += _worth_of(chosen, slot.free_at + self._way_s)
        return earned

    def _forget_gone(self, now: float) -> None:
        """Forget slots that do nothing any more; flows stay at servers that have others."""
        self._slots = [slot for slot in self._slots if max(now, slot.free_at) < slot.ends_s]
        if self._keeps_flows:
            self._servers = {slot.server for slot in self._slots}

    def _next(self, now: float) -> tuple[_FreeSlot | None, _Asked | None]:
        """Return the fastest free slot that has something to do, and what it does."""
        free = [slot for slot in self._slots if slot.free_at <= now]
        free.sort(key=lambda slot: slot.speed_at(now), reverse=True)
        places = {self._place_of(request) for request in self._waiting}
        for slot in free:
            if places.isdisjoint((_ANYWHERE, slot.server)):
                continue
            chosen = _best(self._waiting_for(slot), now, slot.speed_at(now), self._way_s)
            if chosen is not None:
                return slot, chosen
        return None, None

    def _place_of(self, request: _Asked) -> str:
        """Return the server that a request must go to."""
        return request.server if request.server in self._servers else _ANYWHERE

    def _waiting_for(self, slot: _FreeSlot) -> list[_Asked]:
        """Return the requests that a slot may work on."""
        places = {_ANYWHERE, slot.server}
        return [request for request in self._waiting if self._place_of(request) in places]

    def _skip(self, asked: deque[_Asked], now: float) -> float:
        """Forget what was given up; return when there may be something to do again."""
        self._waiting = [request for request in self._waiting if request.is_wanted(now)]
        later = [slot.free_at for slot in self._slots if slot.free_at > now]
        if asked:
            later.append(self._comes_at(asked[0]))
        if not later:
            self._waiting.clear()
        return min(later, default=now)

    def _let_in(self, asked: deque[_Asked], now: float) -> float:
        """Let all wait that come by `now`, or the next one; return when the last of them came."""
        while asked and (self._comes_at(asked[0]) <= now or not self._waiting):
            now = max(now, self._comes_at(asked[0]))
            self._waiting.append(asked.popleft())
        return now

    def _comes_at(self, request: _Asked) -> float:
        begins, ends = self._dark
        return ends if begins <= request.at_s < ends else request.at_s


def _asked_of(tallies: Iterable[Tally]) -> list[_Asked]:
    return [_Asked(tally.kind, arrival) for tally in tallies for arrival in tally.arrivals]


def _worth_of(request: _Asked, answered_at: float) -> float:
    kind = request.kind
    return kind.worth if answered_at <= request.at_s + kind.target_s else kind.late_worth


def _best(waiting: list[_Asked], now: float, speed: float, way_s: float) -> _Asked | None:
    """Return the request to work on next, None if all were given up."""
    in_time = [
        request
        for request in waiting
        if now + request.work_s / speed + way_s <= request.at_s + request.kind.target_s
    ]
    if in_time:
        return max(in_time, key=lambda request: request.gain)
    wanted = [request for request in waiting if request.is_wanted(now)]
    return max(wanted, key=lambda request: request.gain, default=None)
