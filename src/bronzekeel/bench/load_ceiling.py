"""Reckon what a policy with perfect sight would earn: one queue that sees every slot at once."""

from collections import deque
from collections.abc import Iterable

from bronzekeel.replay.load_callers import RequestKind, Tally
from bronzekeel.replay.load_servers import Slot


class _Asked:
    """Hold one request of a replay."""

    __slots__ = ('at_s', 'kind', 'work_s')

    def __init__(self, kind: RequestKind, at_s: float, work_s: float) -> None:
        self.kind = kind
        self.at_s = at_s
        self.work_s = work_s

    @property
    def gain(self) -> float:
        """Worth for each second of work."""
        return self.kind.worth / self.work_s


class _FreeSlot:
    """Hold when a slot is free again."""

    __slots__ = ('_slot', 'ends_s', 'free_at')

    def __init__(self, slot: Slot) -> None:
        self._slot = slot
        self.ends_s = slot.ends_s
        self.free_at = max(slot.begins_s, 0)

    def speed_at(self, now: float) -> float:
        return self._slot.speed_at(now)


class PerfectSight:
    """Serve all requests from one queue that sees every slot at once.

    It knows how long each request takes: of those that can still be in time the one with the
    most worth a second of work goes first, late ones when there is no other.  Of the slots that
    are free the fastest takes it.  `way_s` is the time from a caller to an upstream and back.
    What is asked while balancers are `dark` waits for their return.
    """

    def __init__(
        self,
        slots: Iterable[Slot],
        way_s: float,
        dark: tuple[float, float],
    ) -> None:
        """Start with nothing asked."""
        self._slots = [_FreeSlot(slot) for slot in slots]
        self._way_s = way_s
        self._dark = dark
        self._waiting: list[_Asked] = []

    def earn(self, tallies: Iterable[Tally]) -> float:
        """Return the worth that is earned of all that was asked."""
        asked = deque(sorted(_asked_of(tallies), key=self._comes_at))
        earned: float = 0
        now: float = 0
        while (asked or self._waiting) and self._slots:
            now = self._let_in(asked, max(now, min(slot.free_at for slot in self._slots)))
            slot = self._fastest(now)
            if slot is None:
                continue
            speed = slot.speed_at(now)
            chosen = _best(self._waiting, now, speed, self._way_s)
            if chosen is None:
                self._waiting.clear()
                continue
            self._waiting.remove(chosen)
            slot.free_at = now + chosen.work_s / speed
            earned += _worth_of(chosen, slot.free_at + self._way_s)
        return earned

    def _fastest(self, now: float) -> _FreeSlot | None:
        """Return the fastest slot that is free, forget those that are gone."""
        self._slots = [slot for slot in self._slots if max(now, slot.free_at) < slot.ends_s]
        free = [slot for slot in self._slots if slot.free_at <= now]
        return max(free, key=lambda slot: slot.speed_at(now), default=None)

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
    return [
        _Asked(tally.kind, at_s, work_s) for tally in tallies for at_s, work_s in tally.arrivals
    ]


def _worth_of(request: _Asked, answered_at: float) -> float:
    kind = request.kind
    return kind.worth if answered_at <= request.at_s + kind.aim_s else kind.late_worth


def _best(waiting: list[_Asked], now: float, speed: float, way_s: float) -> _Asked | None:
    """Return the request to work on next, None if all were given up."""
    in_time = [
        request
        for request in waiting
        if now + request.work_s / speed + way_s <= request.at_s + request.kind.aim_s
    ]
    if in_time:
        return max(in_time, key=lambda request: request.gain)
    wanted = [request for request in waiting if now <= request.at_s + request.kind.timeout_s]
    return max(wanted, key=lambda request: request.gain, default=None)
