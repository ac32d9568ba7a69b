"""Say how much of a service's load may move to other data centres, and when it is told.

Load pattern: waves, crowds and moved callers of three to fifteen seconds, each in one data centre.
Only what the own data centre has no room for moves, so it ends when there is room; what is
reckoned here bounds it by the room that others have.

What goes wrong without it: word of room takes two seconds and more to reach all hosts, and rates
smoothed over five seconds send flows away after a crowd is over.  One notices by callers who are
refused beside idle upstreams elsewhere, and by bytes between data centres in calm seconds.
"""

from collections.abc import Iterable, Mapping

from bronzekeel.core.routing.asked_meter import AskedMeter
from bronzekeel.core.routing.balance import MIN_RATE, shares_of
from bronzekeel.core.routing.departures import Departures
from bronzekeel.core.routing.messages import Allowance, FlowShare
from bronzekeel.core.routing.overflow import (
    CLAIM_FACTOR,
    LOAD_WITH_ROOM,
    LOAD_WITHOUT_ROOM,
    claims_of,
)
from bronzekeel.core.routing.peers import FORGET_S
from bronzekeel.core.routing.pools import REQUESTS_PER_SLOT
from bronzekeel.core.routing.room_news import RoomNews


#: Seconds for which the word of room is believed, of another data centre and of a neighbour.
#: Source: relays tell each second and neighbours every 1.2 s; one of two may be lost.
ROOM_WORD_S = 2.5

#: Requests in progress a slot below which a data centre that lacked room has some again.
#: Source: a quarter below the load from which it lacks some, twice the chance of a second in
#: which forty requests come.
LOAD_REGAINED = 0.75

#: How many times its share of all requests a data centre is asked for when a crowd begins, and
#: while it lasts.  Source: callers wait from about twice the usual on; between the two lies more
#: than the chance of a second in which forty requests come.
CROWD_FACTOR = 2.0
CROWD_KEPT_FACTOR = 1.5

#: Seconds for which a crowd must have been seen.  What goes wrong without it: callers ask for more
#: everywhere, each data centre knows it of itself first, and all send each other flows.  Source:
#: the time in which word of a change reaches other data centres.
CROWD_SEEN_S = 0.5

#: Requests in progress a slot from which a crowd counts: one slot in five is still free.
LOAD_CROWDED = 0.8

#: Requests in progress a slot from which other data centres are told early that there is no room.
#: Source: at the usual load of nine slots chance goes beyond it seldom, and each early word costs
#: bytes between data centres.
LOAD_TOLD_FULL = 1.25

#: How many times its own slots a data centre must lack to go on claiming others'.
CLAIM_KEPT_FACTOR = 0.5

#: Seconds in which an allowance grows from nothing to what is reckoned; it shrinks at once.  What
#: goes wrong without it: a data centre that was full tells of room, all others fill it at once,
#: and it is full again.  Source: the time in which all hosts hear of a change.
RISE_S = 1.0

#: Requests, and the share of them, by which room must change to be told to neighbours early.
ROOM_CHANGE = 1.0
ROOM_CHANGE_SHARE = 0.25

#: What is told early: of a service, and of one elsewhere its room or its share.
LevelKey = str | tuple[str, ...]


class CentreWord:
    """Hold what another data centre told of one service.

    Its `load` of own callers' requests a slot, the `rate` that they ask for, how many are
    `unserved` room, and whether it `hears` the data centre that it told.
    """

    __slots__ = ('hears', 'load', 'rate', 'unserved')

    def __init__(self, load: float, rate: float, unserved: int, *, hears: bool) -> None:
        """Keep what was told."""
        self.load = load
        self.rate = rate
        self.unserved = unserved
        self.hears = hears

    def room_of(self, capacity: float) -> float:
        """Return the requests that upstreams of some `capacity` have room for."""
        return max(0, LOAD_WITH_ROOM - self.load) * capacity


class MovingLoad:
    """Hold what is known of load that moves.

    `load_by_service` has the requests in progress a slot at home, as looked at last.
    `asked` counts what callers ask for, `departures` the flows that went elsewhere; `near_news`
    and `far_news` notice what neighbours and other data centres should hear early.
    """

    __slots__ = (
        '_full',
        'asked',
        'departures',
        'far_news',
        'load_by_service',
        'near_news',
        'reckoned_shares',
        'room',
        'shares',
        'unheard',
    )

    def __init__(self) -> None:
        """Start knowing nothing."""
        self.asked = AskedMeter()
        self.load_by_service: dict[str, float] = {}
        self._full: dict[str, float] = {}
        self.departures = Departures()
        self.near_news: RoomNews[LevelKey] = RoomNews(ROOM_CHANGE, ROOM_CHANGE_SHARE)
        self.far_news: RoomNews[str] = RoomNews(1, 0)
        self.room = SharedRoom()
        self.shares = CrowdShares()
        self.unheard = UnheardCentres()
        self.reckoned_shares: tuple[FlowShare, ...] = ()

    def is_full(self, service: str) -> bool:
        """Whether the own data centre lacks room for a service."""
        return self.load_by_service.get(service, 0) >= LOAD_WITHOUT_ROOM

    def full_services(self) -> dict[str, float]:
        """Return the services for which the own data centre lacks room, each with a one.

        One that lacked it is left out when it has some again, as others reckon it.
        """
        for service, load in self.load_by_service.items():
            if load >= LOAD_TOLD_FULL:
                self._full[service] = 1
            elif load < LOAD_REGAINED:
                self._full.pop(service, None)
        return self._full


class CrowdShares:
    """Reckon which share of the flows at home goes elsewhere, with hysteresis."""

    __slots__ = ('_crowded', '_crowded_since')

    def __init__(self) -> None:
        """Start with no crowd."""
        self._crowded: set[str] = set()
        self._crowded_since: dict[str, float] = {}

    def shares_of(
        self,
        service: str,
        home: str,
        capacity_by_centre: Mapping[str, float],
        rate_by_centre: Mapping[str, float],
        load: float,
        now: float,
    ) -> dict[str, float]:
        """Return the share for each other data centre, by what callers ask for everywhere.

        None before the `load` at home is so high that callers will soon wait, and has been for as
        long as others' word of the same burst takes.
        """
        known = service in self._crowded
        tolerated = CROWD_KEPT_FACTOR if known else CROWD_FACTOR
        shares = shares_of(home, capacity_by_centre, rate_by_centre, tolerated)
        if not shares or not known and load < LOAD_CROWDED:
            self._crowded.discard(service)
            self._crowded_since.pop(service, None)
            return {}
        if now < self._crowded_since.setdefault(service, now) + CROWD_SEEN_S:
            return {}
        self._crowded.add(service)
        return shares


class UnheardCentres:
    """Hold the `names` of data centres that were heard lately and are not any more.

    One that has not been heard yet is no such one: after a start the way there is likely whole.
    """

    __slots__ = ('_heard_at_by_centre', 'names')

    def __init__(self) -> None:
        """Start with none."""
        self.names: set[str] = set()
        self._heard_at_by_centre: dict[str, float] = {}

    def note(self, heard: Iterable[str], now: float) -> None:
        """Take the data centres that some host of the own one hears `now`."""
        for centre in heard:
            self._heard_at_by_centre[centre] = now
        for known, heard_at in list(self._heard_at_by_centre.items()):
            if now >= heard_at + FORGET_S:
                self._heard_at_by_centre.pop(known)
        self.names = {name for name, at in self._heard_at_by_centre.items() if at < now}


class SharedRoom:
    """Reckon the allowances of the own data centre with hysteresis."""

    __slots__ = ('_claiming', '_lacking', '_reckoned_at', '_requests_by_target')

    def __init__(self) -> None:
        """Start with no room."""
        self._claiming: set[str] = set()
        self._lacking: set[tuple[str, str]] = set()
        self._requests_by_target: dict[tuple[str, str], float] = {}
        self._reckoned_at: dict[str, float] = {}

    def allowances_of(
        self,
        service: str,
        home: str,
        rate_at_home: float,
        word_by_centre: Mapping[str, CentreWord],
        capacity_by_centre: Mapping[str, float],
        now: float,
    ) -> list[Allowance]:
        """Return how many requests of the callers at `home` may be in progress elsewhere.

        The room of each other data centre in equal parts for all that lack some, and
        never less than the part of all slots that follows from what all callers ask for.  None
        where the own data centre is not heard: the way there may be cut.
        """
        rate_by_centre = {centre: word.rate for centre, word in word_by_centre.items()}
        rate_by_centre[home] = rate_at_home
        claims = self._claims(service, home, capacity_by_centre, rate_by_centre)
        sharers = 1 + self._count_lacking(service, word_by_centre)
        elapsed_s = self._elapsed_s(service, now)
        allowances: list[Allowance] = []
        for centre, word in word_by_centre.items():
            room = word.room_of(capacity_by_centre.get(centre, 0)) / sharers
            due = max(room, claims.get(centre, 0) * REQUESTS_PER_SLOT)
            requests = self._risen((service, centre), due if word.hears else 0, elapsed_s)
            allowances.append(Allowance(service, centre, requests))
        return allowances

    def _elapsed_s(self, service: str, now: float) -> float:
        former = self._reckoned_at.get(service, now)
        self._reckoned_at[service] = now
        return now - former

    def _count_lacking(self, service: str, word_by_centre: Mapping[str, CentreWord]) -> int:
        unserved = 0
        for centre, word in word_by_centre.items():
            lacks = word.unserved > 0 or word.load >= LOAD_WITHOUT_ROOM
            if lacks:
                self._lacking.add((service, centre))
            elif word.load < LOAD_REGAINED:
                self._lacking.discard((service, centre))
            unserved += (service, centre) in self._lacking
        return unserved

    def _claims(
        self,
        service: str,
        home: str,
        capacity_by_centre: Mapping[str, float],
        rate_by_centre: Mapping[str, float],
    ) -> dict[str, float]:
        if sum(rate_by_centre.values()) < MIN_RATE:
            return {}
        factor = CLAIM_KEPT_FACTOR if service in self._claiming else CLAIM_FACTOR
        claims = claims_of(home, capacity_by_centre, rate_by_centre, factor)
        if claims:
            self._claiming.add(service)
        else:
            self._claiming.discard(service)
        return claims

    def _risen(self, target: tuple[str, str], due: float, elapsed_s: float) -> float:
        former = self._requests_by_target.get(target, 0)
        risen = min(due, former + due * elapsed_s / RISE_S)
        self._requests_by_target[target] = risen
        return risen
