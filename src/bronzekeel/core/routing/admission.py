"""Say how many requests may be in progress at upstreams before further ones wait.

Requests in progress, and not requests a second, are what is limited: by Little's law the
limit then follows by itself when upstreams turn slow or cold, and when callers ask for
more work.
"""

from abc import ABC, abstractmethod
from collections.abc import Iterable, Sequence
from typing import ClassVar

from bronzekeel.core.routing.balance import RateMeter
from bronzekeel.core.routing.directory import Directory
from bronzekeel.core.routing.model import Upstream
from bronzekeel.core.routing.peers import PeerTable
from bronzekeel.core.routing.placement_by_capacity import COLD_FACTOR
from bronzekeel.core.routing.pools import NO_LIMIT, REQUESTS_A_SLOT, Pool


#: Share of the room that neighbours leave unused which a balancer may take beside its own.
#: What goes wrong without it: callers spread unevenly over balancers, or a neighbour is dark,
#: and requests wait while slots are free.  Source: with all of it, all balancers begin as many
#: requests at once when a burst begins; half leaves room for the others that do the same.
BORROWED_SHARE = 0.5

#: How many times the mean of the others, and how many more, requests must be in progress at
#: an upstream to be stuck there.  Source: chance makes fewer of three slots that are taken
#: and as many requests that wait.
STUCK_FACTOR = 2
STUCK_SLACK = 3

#: Requests a second of a service, at all balancers of the data centre, below which rates
#: do not tell whose callers ask for how much.
_MIN_KNOWN_RATE = 5.0

#: Weight of the newest tick in the rate of answers.  Source: ticks come ten times a second,
#: and a burst must show within half a second.
_NEWEST_WEIGHT = 0.3

#: Interval in seconds at which the limits of pools are reckoned that have nothing in progress.
#: Source: with tens of thousands of upstreams a look at all of them takes milliseconds.
_IDLE_POOL_INTERVAL_S = 1.0

#: Seconds between two ticks at least, for the rate of answers.
_MIN_ELAPSED_S = 0.01


class Admission(ABC):
    """Set the limits of pools; every policy answers one load pattern."""

    def __init__(
        self,
        data_centre: str,
        directory: Directory,
        peers: PeerTable,
        meter: RateMeter,
    ) -> None:
        """Limit the pools of `data_centre`; `meter` and `peers` tell whose callers ask for what."""
        self._data_centre = data_centre
        self._directory = directory
        self._peers = peers
        self._meter = meter

    @abstractmethod
    def update_limits(self, now: float) -> None:
        """Set the limits by what is known `now`; called at each tick."""

    def share_of(self, service: str, now: float) -> float:
        """Return this balancer's share of the requests of all in its data centre.

        At least half of an equal share: one that has just started is asked for more
        than it has seen.
        """
        equal = 1 / (len(self._peers.living(now)) + 1)
        own = self._meter.by_service.get(service, 0)
        elsewhere = sum(
            rate_by_service.get(service, 0) for rate_by_service in self._peers.rates_near(now)
        )
        if not self._meter.settled or own + elsewhere < _MIN_KNOWN_RATE:
            return equal
        return max(own / (own + elsewhere), equal / 2)


class RequestsPerSlot(Admission):
    """Limit requests in progress by the slots of the data centre's upstreams.

    Load pattern: callers ask for more than the upstreams can do, for seconds or for hours.
    Balancers do not see each other's requests at once, so each takes its share of the
    slots: what its callers ask for, of what is asked at all balancers of the data centre.
    Beside it, it may use `borrowed_share` of the room that neighbours leave unused.
    """

    borrowed_share: ClassVar[float] = BORROWED_SHARE

    def __init__(
        self,
        data_centre: str,
        directory: Directory,
        peers: PeerTable,
        meter: RateMeter,
    ) -> None:
        """Limit the pools of `data_centre`; `meter` and `peers` tell the shares."""
        super().__init__(data_centre, directory, peers, meter)
        self._answered_by_pool: dict[Pool, int] = {}
        self._rate_by_pool: dict[Pool, float] = {}
        self._updated_at: float = 0
        self._next_full_update_at: float = 0

    def update_limits(self, now: float) -> None:
        """Set the limits of the pools of the own data centre, of idle ones seldom."""
        elapsed_s = max(now - self._updated_at, _MIN_ELAPSED_S)
        self._updated_at = now
        everything = now >= self._next_full_update_at
        if everything:
            self._next_full_update_at = now + _IDLE_POOL_INTERVAL_S
        for pool in self._directory.pools_of(self._data_centre):
            if not everything and not pool.busy:
                continue
            self._note_answers(pool, elapsed_s)
            pool.limit = self._limit_of(pool, now)

    def _note_answers(self, pool: Pool, elapsed_s: float) -> None:
        answered = pool.answered - self._answered_by_pool.get(pool, 0)
        self._answered_by_pool[pool] = pool.answered
        rate = self._rate_by_pool.get(pool, 0)
        self._rate_by_pool[pool] = rate + (answered / elapsed_s - rate) * _NEWEST_WEIGHT

    def _limit_of(self, pool: Pool, now: float) -> float:
        """Return the requests that may be in progress of this balancer's callers.

        Requests on their way between caller and upstream hold no slot; by Little's law
        they are the answers a second times the seconds on the way.
        """
        near = self._directory.pool_members.of_pool(pool.service, self._data_centre)
        room = capacity_at(near, self._data_centre, now) * REQUESTS_A_SLOT
        if not room:
            return NO_LIMIT
        share = self.share_of(pool.service, now)
        elsewhere = sum(upstream.busy_elsewhere for upstream in near)
        unused = max(0, room * (1 - share) - elsewhere)
        own = max(1, room * share + unused * self.borrowed_share)
        on_their_way = self._rate_by_pool[pool] * pool.way_s
        return own + on_their_way + _stuck(near, now)


def capacity_at(upstreams: Iterable[Upstream], data_centre: str, now: float) -> float:
    """Return the capacity of a data centre that new flows may use, in slots.

    Cold upstreams count for what they can do, silent ones not at all.
    """
    capacity: float = 0
    for upstream in upstreams:
        if upstream.entry.data_centre != data_centre or not _counts(upstream, now):
            continue
        cold = now < upstream.warm_at
        capacity += upstream.capacity / COLD_FACTOR if cold else upstream.capacity
    return capacity


def _stuck(upstreams: Sequence[Upstream], now: float) -> float:
    """Return the requests in progress that take no slot of an upstream that works.

    What goes wrong without it: a third of the upstreams fall silent, or one turns slow.
    Requests in progress there fill the limit, and callers wait while the slots of
    the others are free.
    """
    working = [upstream for upstream in upstreams if _counts(upstream, now)]
    busy = sum(upstream.busy_flows for upstream in working)
    stuck: float = sum(upstream.busy_flows for upstream in upstreams) - busy
    for upstream in working:
        if not upstream.busy_flows:
            continue
        others = (busy - upstream.busy_flows) / max(len(working) - 1, 1) * upstream.speed
        stuck += max(0, upstream.busy_flows - others * STUCK_FACTOR - STUCK_SLACK)
    return stuck


def _counts(upstream: Upstream, now: float) -> bool:
    """Whether the slots of an upstream are there for new flows."""
    return upstream.listed and upstream.entry.takes_flows and now >= upstream.avoided_until
