"""Limit how many requests may be in progress at upstreams before further ones wait.

The limit applies to requests in progress, not to requests a second: by Little's law it adapts by
itself when upstreams become slow or are in a cold start, and when requests need more work.
"""

from abc import ABC, abstractmethod
from collections.abc import Iterable, Sequence
from typing import ClassVar

from bronzekeel.core.routing.balance import RateMeter
from bronzekeel.core.routing.directory import Directory
from bronzekeel.core.routing.model import Upstream
from bronzekeel.core.routing.peers import PeerTable
from bronzekeel.core.routing.placement_by_capacity import COLD_FACTOR
from bronzekeel.core.routing.pools import NO_LIMIT, REQUESTS_PER_SLOT, Pool


#: Part of the capacity that neighbours leave unused which a balancer may use on top of its share.
#: Without this, requests wait beside free slots when callers are spread unevenly over balancers or
#: a neighbour is down. It is less than one because all balancers admit that many requests at once
#: when a burst begins; half leaves capacity for the others.
BORROWED_SHARE = 0.5

#: An upstream is stuck when its requests in progress exceed this factor times the mean of the
#: others, plus the slack. Random variation alone does not reach that: three slots in use and as
#: many requests that wait.
STUCK_FACTOR = 2
STUCK_SLACK = 3

#: Requests a second of a service, at all balancers of the data centre, below which rates do not
#: show how demand is distributed over balancers.
_MIN_KNOWN_RATE = 5.0

#: Weight of the newest tick in the rate of answers. Ticks come ten times a second, and a burst
#: must show within half a second.
_NEWEST_WEIGHT = 0.3

#: Interval in seconds at which the limits of pools with nothing in progress are computed: with
#: tens of thousands of upstreams a pass over all of them takes milliseconds.
_IDLE_POOL_INTERVAL_S = 1.0

#: Least seconds between two ticks, for the rate of answers.
_MIN_ELAPSED_S = 0.01


class Admission(ABC):
    """Set the limits of pools; each policy handles one load pattern."""

    def __init__(
        self,
        data_centre: str,
        directory: Directory,
        peers: PeerTable,
        meter: RateMeter,
    ) -> None:
        """Limit the pools of `data_centre` by the demand that `meter` and `peers` report."""
        self._data_centre = data_centre
        self._directory = directory
        self._peers = peers
        self._meter = meter

    @abstractmethod
    def update_limits(self, now: float) -> None:
        """Set the limits from the state `now`; called at each tick."""

    def share_of(self, service: str, now: float) -> float:
        """Return this balancer's share of the requests of all balancers in its data centre.

        It is at least half of an equal share, because the demand on a balancer that has just
        started is higher than what it has measured.
        """
        equal = 1 / (len(self._peers.live_neighbours(now)) + 1)
        own = self._meter.by_service.get(service, 0)
        at_peers = sum(
            rate_by_service.get(service, 0) for rate_by_service in self._peers.local_rates(now)
        )
        if not self._meter.settled or own + at_peers < _MIN_KNOWN_RATE:
            return equal
        return max(own / (own + at_peers), equal / 2)


class RequestsPerSlot(Admission):
    """Limit requests in progress by the slots of the data centre's upstreams.

    Load pattern: callers demand more than the upstreams can serve, for seconds or for hours.
    Balancers do not see each other's requests at once, so each takes its share of the slots: the
    demand of its callers as a part of the demand at all balancers of the data centre. On top of it,
    a balancer may use `borrowed_share` of the capacity that neighbours leave unused.
    """

    borrowed_share: ClassVar[float] = BORROWED_SHARE

    def __init__(
        self,
        data_centre: str,
        directory: Directory,
        peers: PeerTable,
        meter: RateMeter,
    ) -> None:
        """Limit the pools of `data_centre`; `meter` and `peers` supply the shares."""
        super().__init__(data_centre, directory, peers, meter)
        self._answered_by_pool: dict[Pool, int] = {}
        self._rate_by_pool: dict[Pool, float] = {}
        self._updated_at: float = 0
        self._next_full_update_at: float = 0

    def update_limits(self, now: float) -> None:
        """Set the limits of the local pools; idle pools are updated less often."""
        elapsed_s = max(now - self._updated_at, _MIN_ELAPSED_S)
        self._updated_at = now
        update_all = now >= self._next_full_update_at
        if update_all:
            self._next_full_update_at = now + _IDLE_POOL_INTERVAL_S
        for pool in self._directory.pools_of(self._data_centre):
            if not update_all and not pool.busy:
                continue
            self._note_answers(pool, elapsed_s)
            pool.limit = self._limit_of(pool, now)

    def _note_answers(self, pool: Pool, elapsed_s: float) -> None:
        answered = pool.answered - self._answered_by_pool.get(pool, 0)
        self._answered_by_pool[pool] = pool.answered
        rate = self._rate_by_pool.get(pool, 0)
        self._rate_by_pool[pool] = rate + (answered / elapsed_s - rate) * _NEWEST_WEIGHT

    def _limit_of(self, pool: Pool, now: float) -> float:
        """Return how many requests of this balancer's callers may be in progress.

        Requests in transit between caller and upstream hold no slot. By Little's law their number
        is the answers a second times the seconds in transit.
        """
        members = self._directory.pool_members.of_pool(pool.service, self._data_centre)
        capacity = capacity_at(members, self._data_centre, now) * REQUESTS_PER_SLOT
        if not capacity:
            return NO_LIMIT
        share = self.share_of(pool.service, now)
        busy_at_peers = sum(upstream.busy_at_peers for upstream in members)
        unused = max(0, capacity * (1 - share) - busy_at_peers)
        own = max(1, capacity * share + unused * self.borrowed_share)
        in_transit = self._rate_by_pool[pool] * pool.rtt_s
        return own + in_transit + _stuck(members, now)


def capacity_at(upstreams: Iterable[Upstream], data_centre: str, now: float) -> float:
    """Return the capacity of a data centre that new flows may use, in slots.

    Upstreams in a cold start count with their reduced capacity, unresponsive ones not at all.
    """
    capacity: float = 0
    for upstream in upstreams:
        if upstream.entry.data_centre != data_centre or not _is_available(upstream, now):
            continue
        cold = now < upstream.warm_at
        capacity += upstream.capacity / COLD_FACTOR if cold else upstream.capacity
    return capacity


def _stuck(upstreams: Sequence[Upstream], now: float) -> float:
    """Return the requests in progress that hold no slot of a working upstream.

    Without this, when a third of the upstreams become unresponsive or one becomes slow, the
    requests in progress there fill the limit, and callers wait while slots of the other upstreams
    are free.
    """
    working = [upstream for upstream in upstreams if _is_available(upstream, now)]
    busy = sum(upstream.busy_flows for upstream in working)
    stuck: float = sum(upstream.busy_flows for upstream in upstreams) - busy
    for upstream in working:
        if not upstream.busy_flows:
            continue
        others = (busy - upstream.busy_flows) / max(len(working) - 1, 1) * upstream.speed
        stuck += max(0, upstream.busy_flows - others * STUCK_FACTOR - STUCK_SLACK)
    return stuck


def _is_available(upstream: Upstream, now: float) -> bool:
    """Whether the slots of an upstream are available for new flows."""
    return upstream.listed and upstream.entry.accepts_flows and now >= upstream.avoided_until
