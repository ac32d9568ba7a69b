"""Say how much of a service's load may move to other data centres, and when it is told.

Load pattern: waves, crowds and moved callers of three to fifteen seconds, each in one data centre.
Only what the own data centre has no room for moves, so it ends when there is room; what is
reckoned here bounds it by the room that others have.

What goes wrong without it: report of room takes two seconds and more to reach all hosts, and rates
smoothed over five seconds send flows away after a crowd is over.  One notices by callers who are
refused beside idle upstreams elsewhere, and by bytes between data centres in calm seconds.
"""

from collections.abc import Iterable, Mapping

from bronzekeel.core.routing.balance import LEAST_RATE, shares_of
from bronzekeel.core.routing.change_trigger import ChangeTrigger
from bronzekeel.core.routing.demand_meter import DemandMeter
from bronzekeel.core.routing.departures import Departures
from bronzekeel.core.routing.messages import Allowance, FlowShare
from bronzekeel.core.routing.overflow import (
    ACCEPTING_LOAD,
    CLAIM_FACTOR,
    FULL_LOAD,
    claims_of,
)
from bronzekeel.core.routing.peers import FORGET_S
from bronzekeel.core.routing.pools import REQUESTS_A_SLOT


#: Seconds for which the report of room is believed, of another data centre and of a neighbour.
#: Source: relays tell each second and neighbours every 1.2 s; one of two may be lost.
REPORT_VALID_S = 2.5

#: Requests in progress a slot below which a data centre that lacked room has some again.
#: Source: a quarter below the load from which it lacks some, twice the chance of a second in
#: which forty requests come.
LOAD_RECOVERED = 0.75

#: How many times its share of all requests a data centre is asked for when a crowd begins, and
#: while it lasts.  Source: callers wait from about twice the usual on; between the two lies more
#: than the chance of a second in which forty requests come.
SURGE_FACTOR = 2.0
SURGE_END_FACTOR = 1.5

#: Seconds for which a crowd must have been seen.  What goes wrong without it: callers ask for more
#: everywhere, each data centre knows it of itself first, and all send each other flows.  Source:
#: the time in which report of a change reaches other data centres.
SURGE_CONFIRM_S = 0.5

#: Requests in progress a slot from which a crowd counts: one slot in five is still free.
SURGE_LOAD = 0.8

#: Requests in progress a slot from which other data centres are told early that there is no room.
#: Source: at the usual load of nine slots chance goes beyond it seldom, and each early report costs
#: bytes between data centres.
LOAD_REPORTED_FULL = 1.25

#: How many times its own slots a data centre must lack to go on claiming others'.
CLAIM_END_FACTOR = 0.5

#: Seconds in which an allowance grows from nothing to what is reckoned; it shrinks at once.  What
#: goes wrong without it: a data centre that was full tells of room, all others fill it at once,
#: and it is full again.  Source: the time in which all hosts hear of a change.
RAMP_UP_S = 1.0

#: Requests, and the share of them, by which room must change to be told to neighbours early.
MIN_CHANGE = 1.0
MIN_CHANGE_SHARE = 0.25

#: What is told early: of a service, and of one elsewhere its room or its share.
LevelKey = str | tuple[str, ...]


class CentreReport:
    """Hold what another data centre told of one service.

    Its `load` of own callers' requests a slot, the `rate` that they ask for, how many are
    `lacking` room, and whether it `hears` the data centre that it told.
    """

    __slots__ = ('hears', 'lacking', 'load', 'rate')

    def __init__(self, load: float, rate: float, lacking: int, *, hears: bool) -> None:
        """Keep what was told."""
        self.load = load
        self.rate = rate
        self.lacking = lacking
        self.hears = hears

    def free_capacity_of(self, capacity: float) -> float:
        """Return the requests that upstreams of some `capacity` have room for."""
        return max(0, ACCEPTING_LOAD - self.load) * capacity


class MovingLoad:
    """Hold what is known of load that moves.

    `load_by_service` has the requests in progress a slot at home, as looked at last.
    `asked` counts what callers ask for, `departures` the flows that went elsewhere; `local_changes`
    and `remote_changes` notice what neighbours and other data centres should hear early.
    """

    __slots__ = (
        '_full',
        'asked',
        'departures',
        'remote_changes',
        'load_by_service',
        'local_changes',
        'computed_shares',
        'room',
        'shares',
        'unheard',
    )

    def __init__(self) -> None:
        """Start knowing nothing."""
        self.asked = DemandMeter()
        self.load_by_service: dict[str, float] = {}
        self._full: dict[str, float] = {}
        self.departures = Departures()
        self.local_changes: ChangeTrigger[LevelKey] = ChangeTrigger(MIN_CHANGE, MIN_CHANGE_SHARE)
        self.remote_changes: ChangeTrigger[str] = ChangeTrigger(1, 0)
        self.room = RemoteAllowances()
        self.shares = SurgeShares()
        self.unheard = LostCentres()
        self.computed_shares: tuple[FlowShare, ...] = ()

    def is_full(self, service: str) -> bool:
        """Whether the own data centre lacks room for a service."""
        return self.load_by_service.get(service, 0) >= FULL_LOAD

    def full_services(self) -> dict[str, float]:
        """Return the services for which the own data centre lacks room, each with a one.

        One that lacked it is left out when it has some again, as others reckon it.
        """
        for service, load in self.load_by_service.items():
            if load >= LOAD_REPORTED_FULL:
                self._full[service] = 1
            elif load < LOAD_RECOVERED:
                self._full.pop(service, None)
        return self._full


class SurgeShares:
    """Reckon which share of the flows at home goes elsewhere, with hysteresis."""

    __slots__ = ('_surging', '_surging_since')

    def __init__(self) -> None:
        """Start with no crowd."""
        self._surging: set[str] = set()
        self._surging_since: dict[str, float] = {}

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
        long as others' report of the same burst takes.
        """
        known = service in self._surging
        tolerated = SURGE_END_FACTOR if known else SURGE_FACTOR
        shares = shares_of(home, capacity_by_centre, rate_by_centre, tolerated)
        if not shares or not known and load < SURGE_LOAD:
            self._surging.discard(service)
            self._surging_since.pop(service, None)
            return {}
        if now < self._surging_since.setdefault(service, now) + SURGE_CONFIRM_S:
            return {}
        self._surging.add(service)
        return shares


class LostCentres:
    """Hold the `names` of data centres that were heard lately and are not any more.

    One that has not been heard yet is no such one: after a start the way there is likely whole.
    """

    __slots__ = ('_received_at_by_centre', 'names')

    def __init__(self) -> None:
        """Start with none."""
        self.names: set[str] = set()
        self._received_at_by_centre: dict[str, float] = {}

    def note(self, heard: Iterable[str], now: float) -> None:
        """Take the data centres that some host of the own one hears `now`."""
        for centre in heard:
            self._received_at_by_centre[centre] = now
        for known, heard_at in list(self._received_at_by_centre.items()):
            if now >= heard_at + FORGET_S:
                self._received_at_by_centre.pop(known)
        self.names = {name for name, at in self._received_at_by_centre.items() if at < now}


class RemoteAllowances:
    """Reckon the allowances of the own data centre with hysteresis."""

    __slots__ = ('_claiming', '_full_centres', '_updated_at', '_requests_by_target')

    def __init__(self) -> None:
        """Start with no room."""
        self._claiming: set[str] = set()
        self._full_centres: set[tuple[str, str]] = set()
        self._requests_by_target: dict[tuple[str, str], float] = {}
        self._updated_at: dict[str, float] = {}

    def allowances_of(
        self,
        service: str,
        home: str,
        rate_at_home: float,
        report_by_centre: Mapping[str, CentreReport],
        capacity_by_centre: Mapping[str, float],
        now: float,
    ) -> list[Allowance]:
        """Return how many requests of the callers at `home` may be in progress elsewhere.

        The room of each other data centre in equal parts for all that lack some, and
        never less than the part of all slots that follows from what all callers ask for.  None
        where the own data centre is not heard: the way there may be cut.
        """
        rate_by_centre = {centre: report.rate for centre, report in report_by_centre.items()}
        rate_by_centre[home] = rate_at_home
        claims = self._claims(service, home, capacity_by_centre, rate_by_centre)
        sharers = 1 + self._count_full(service, report_by_centre)
        elapsed_s = self._elapsed_s(service, now)
        allowances: list[Allowance] = []
        for centre, report in report_by_centre.items():
            room = report.free_capacity_of(capacity_by_centre.get(centre, 0)) / sharers
            due = max(room, claims.get(centre, 0) * REQUESTS_A_SLOT)
            requests = self._ramped_up((service, centre), due if report.hears else 0, elapsed_s)
            allowances.append(Allowance(service, centre, requests))
        return allowances

    def _elapsed_s(self, service: str, now: float) -> float:
        former = self._updated_at.get(service, now)
        self._updated_at[service] = now
        return now - former

    def _count_full(self, service: str, report_by_centre: Mapping[str, CentreReport]) -> int:
        lacking = 0
        for centre, report in report_by_centre.items():
            lacks = report.lacking > 0 or report.load >= FULL_LOAD
            if lacks:
                self._full_centres.add((service, centre))
            elif report.load < LOAD_RECOVERED:
                self._full_centres.discard((service, centre))
            lacking += (service, centre) in self._full_centres
        return lacking

    def _claims(
        self,
        service: str,
        home: str,
        capacity_by_centre: Mapping[str, float],
        rate_by_centre: Mapping[str, float],
    ) -> dict[str, float]:
        if sum(rate_by_centre.values()) < LEAST_RATE:
            return {}
        factor = CLAIM_END_FACTOR if service in self._claiming else CLAIM_FACTOR
        claims = claims_of(home, capacity_by_centre, rate_by_centre, factor)
        if claims:
            self._claiming.add(service)
        else:
            self._claiming.discard(service)
        return claims

    def _ramped_up(self, target: tuple[str, str], due: float, elapsed_s: float) -> float:
        former = self._requests_by_target.get(target, 0)
        risen = min(due, former + due * elapsed_s / RAMP_UP_S)
        self._requests_by_target[target] = risen
        return risen
