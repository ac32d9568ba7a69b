"""Estimates the value an omniscient scheduler would earn from the same requests."""

from collections import deque
from collections.abc import Iterable

from bronzekeel.replay.load_callers import Arrival, RequestKind, Tally
from bronzekeel.replay.load_servers import Slot


#: Stands for the server of a request that any server may run.
_ANY_SERVER = ''


class _OracleRequest:
    """One request of a replay."""

    __slots__ = ('at_s', 'kind', 'server', 'work_s')

    def __init__(self, kind: RequestKind, arrival: Arrival) -> None:
        self.kind = kind
        self.at_s = arrival.at_s
        self.work_s = arrival.work_s
        self.server = arrival.server

    @property
    def value_per_s(self) -> float:
        """Value per second of work."""
        return self.kind.worth / self.work_s

    def is_unexpired(self, now: float) -> bool:
        """Return whether the request's timeout has not passed."""
        return now <= self.at_s + self.kind.timeout_s


class _OracleSlot:
    """A slot and the time at which it becomes free."""

    __slots__ = ('_slot', 'ends_s', 'free_at', 'server')

    def __init__(self, slot: Slot) -> None:
        self._slot = slot
        self.server = slot.server
        self.ends_s = slot.ends_s
        self.free_at = max(slot.begins_s, 0)

    def speed_at(self, now: float) -> float:
        return self._slot.speed_at(now)


class OracleScheduler:
    """Serves all requests from one queue that knows the state of every slot.

    The duration of each request is known in advance.  Among the requests that can still meet
    their latency objective, the one with the highest value per second of work runs first, on the
    fastest free slot; late requests run only when there is no other.  The choice is greedy, so
    the result estimates the optimum and is not a strict upper bound.

    `round_trip_s` is the network time between caller and upstream, both ways.  Requests that
    arrive during `outage_interval`, when no balancer runs, wait until it ends.  With
    `flow_affinity` a request on an open flow runs on the server of that flow while the server
    exists.
    """

    def __init__(
        self,
        slots: Iterable[Slot],
        round_trip_s: float,
        outage_interval: tuple[float, float],
        *,
        flow_affinity: bool = False,
    ) -> None:
        """Start with an empty queue."""
        self._slots = [_OracleSlot(slot) for slot in slots]
        self._round_trip_s = round_trip_s
        self._outage_interval = outage_interval
        self._flow_affinity = flow_affinity
        self._servers: set[str] = set()
        self._waiting: list[_OracleRequest] = []

    def earned_value(self, tallies: Iterable[Tally]) -> float:
        """Return the total value earned from the requests of `tallies`."""
        upcoming = deque(sorted(_requests_of(tallies), key=self._arrives_at))
        earned: float = 0
        now: float = 0
        while (upcoming or self._waiting) and self._slots:
            now = self._admit_arrivals(
                upcoming, max(now, min(slot.free_at for slot in self._slots))
            )
            self._drop_ended_slots(now)
            slot, chosen = self._next_assignment(now)
            if slot is None or chosen is None:
                now = self._advance(upcoming, now)
                continue
            self._waiting.remove(chosen)
            slot.free_at = now + chosen.work_s / slot.speed_at(now)
            earned += _value_of(chosen, slot.free_at + self._round_trip_s)
        return earned

    def _drop_ended_slots(self, now: float) -> None:
        """Remove slots that have ended; with flow affinity, update the set of servers."""
        self._slots = [slot for slot in self._slots if max(now, slot.free_at) < slot.ends_s]
        if self._flow_affinity:
            self._servers = {slot.server for slot in self._slots}

    def _next_assignment(self, now: float) -> tuple[_OracleSlot | None, _OracleRequest | None]:
        """Return the fastest free slot that has an eligible request, and that request."""
        free = [slot for slot in self._slots if slot.free_at <= now]
        free.sort(key=lambda slot: slot.speed_at(now), reverse=True)
        servers = {self._server_for(request) for request in self._waiting}
        for slot in free:
            if servers.isdisjoint((_ANY_SERVER, slot.server)):
                continue
            chosen = _choose_request(
                self._eligible_for(slot), now, slot.speed_at(now), self._round_trip_s
            )
            if chosen is not None:
                return slot, chosen
        return None, None

    def _server_for(self, request: _OracleRequest) -> str:
        """Return the server that a request must run on."""
        return request.server if request.server in self._servers else _ANY_SERVER

    def _eligible_for(self, slot: _OracleSlot) -> list[_OracleRequest]:
        """Return the waiting requests that a slot may run."""
        servers = {_ANY_SERVER, slot.server}
        return [request for request in self._waiting if self._server_for(request) in servers]

    def _advance(self, upcoming: deque[_OracleRequest], now: float) -> float:
        """Remove expired requests; return the time of the next arrival or freed slot."""
        self._waiting = [request for request in self._waiting if request.is_unexpired(now)]
        next_times = [slot.free_at for slot in self._slots if slot.free_at > now]
        if upcoming:
            next_times.append(self._arrives_at(upcoming[0]))
        if not next_times:
            self._waiting.clear()
        return min(next_times, default=now)

    def _admit_arrivals(self, upcoming: deque[_OracleRequest], now: float) -> float:
        """Queue the requests that arrive by `now`, or else the next one; return the new time."""
        while upcoming and (self._arrives_at(upcoming[0]) <= now or not self._waiting):
            now = max(now, self._arrives_at(upcoming[0]))
            self._waiting.append(upcoming.popleft())
        return now

    def _arrives_at(self, request: _OracleRequest) -> float:
        begins, ends = self._outage_interval
        return ends if begins <= request.at_s < ends else request.at_s


def _requests_of(tallies: Iterable[Tally]) -> list[_OracleRequest]:
    return [_OracleRequest(tally.kind, arrival) for tally in tallies for arrival in tally.arrivals]


def _value_of(request: _OracleRequest, answered_at: float) -> float:
    kind = request.kind
    return kind.worth if answered_at <= request.at_s + kind.target_s else kind.late_worth


def _choose_request(
    waiting: list[_OracleRequest], now: float, speed: float, round_trip_s: float
) -> _OracleRequest | None:
    """Return the request to run next, None if all have expired."""
    in_time = [
        request
        for request in waiting
        if now + request.work_s / speed + round_trip_s <= request.at_s + request.kind.target_s
    ]
    if in_time:
        return max(in_time, key=lambda request: request.value_per_s)
    unexpired = [request for request in waiting if request.is_unexpired(now)]
    return max(unexpired, key=lambda request: request.value_per_s, default=None)
