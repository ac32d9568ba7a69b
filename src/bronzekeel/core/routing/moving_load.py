"""Compute how much of a service's load may move to other data centres, and what to report early.

Load pattern: waves, surges and moved callers of three to fifteen seconds, each in one data centre.
Only flows that find no local capacity move, so this ends when there is some again. What is computed
here limits them to the free capacity of the other data centres.

Without this, reports of free capacity take two seconds and more to reach all hosts, and rates
smoothed over five seconds send flows away after a surge is over. The symptoms are callers who are
refused beside idle remote upstreams, and bytes between data centres in calm periods.
"""

from collections.abc import Iterable, Mapping

from bronzekeel.core.routing.balance import MIN_RATE, shares_of
from bronzekeel.core.routing.change_trigger import ChangeTrigger
from bronzekeel.core.routing.demand_meter import DemandMeter
from bronzekeel.core.routing.messages import Allowance, FlowShare
from bronzekeel.core.routing.overflow import (
    ACCEPTING_LOAD,
    CLAIM_FACTOR,
    FULL_LOAD,
    claims_of,
)
from bronzekeel.core.routing.peers import FORGET_S
from bronzekeel.core.routing.pools import REQUESTS_PER_SLOT
from bronzekeel.core.routing.remote_flows import RemoteFlows


#: Seconds for which a report of free capacity from another data centre or a neighbour is valid.
#: Relays send one each second and neighbours every 1.2 s; one of two may be lost.
REPORT_VALID_S = 2.5

#: Requests in progress a slot below which a full data centre counts as having free capacity again:
#: a quarter below the load at which it is full, which is twice the random variation in a second
#: with forty requests.
LOAD_RECOVERED = 0.75

#: How many times its share of all requests the demand on a data centre must be for a surge to
#: begin, and to last. Callers wait from about twice the usual demand on; the gap between the two
#: is more than the random variation in a second with forty requests.
SURGE_FACTOR = 2.0
SURGE_END_FACTOR = 1.5

#: Seconds for which a surge must last before flows are moved: the time in which reports of a
#: change reach other data centres. Without this, when the demand rises everywhere, each data
#: centre sees its own rise first, and all send each other flows.
SURGE_CONFIRM_S = 0.5

#: Requests in progress a slot from which a surge counts: one slot in five is still free.
SURGE_LOAD = 0.8

#: Requests in progress a slot from which a data centre reports early that it has no free capacity.
#: At the usual load of nine slots random variation seldom exceeds it, and each early report costs
#: bytes between data centres.
LOAD_REPORTED_FULL = 1.25

#: How many times its own slots a data centre must be short of to keep claiming remote ones.
CLAIM_END_FACTOR = 0.5

#: Seconds in which an allowance grows from zero to its computed value; it shrinks at once. This is
#: the time in which all hosts learn of a change. Without this, a data centre that was full reports
#: free capacity, all others fill it at once, and it is full again.
RAMP_UP_S = 1.0

#: Requests, and the share of them, by which free capacity must change to be reported to neighbours
#: early.
MIN_CHANGE = 1.0
MIN_CHANGE_SHARE = 0.25

#: Key of a level that is reported early: a service, or an allowance or share of a service in
#: another data centre.
LevelKey = str | tuple[str, ...]


class CentreReport:
    """Hold what another data centre reported of one service.

    `load` is its local callers' requests in progress a slot, `rate` their demand in requests a
    second, `unserved` their requests that wait or were refused, and `receives_reports` whether it
    receives the reports of this data centre.
    """

    __slots__ = ('load', 'rate', 'receives_reports', 'unserved')

    def __init__(self, load: float, rate: float, unserved: int, *, receives_reports: bool) -> None:
        """Store the reported figures."""
        self.load = load
        self.rate = rate
        self.unserved = unserved
        self.receives_reports = receives_reports

    def free_capacity_of(self, capacity: float) -> float:
        """Return how many requests upstreams of some `capacity` can accept."""
        return max(0, ACCEPTING_LOAD - self.load) * capacity


class MovingLoad:
    """Hold the state of load that moves between data centres.

    `load_by_service` has the local requests in progress a slot at the last sample. `demand_meter`
    measures the demand, `remote_flows` counts the flows sent to other data centres. `local_changes`
    and `remote_changes` detect what neighbours and other data centres should receive early.
    `lost_centres` has the data centres whose reports stopped.
    """

    __slots__ = (
        '_full',
        'computed_shares',
        'demand_meter',
        'load_by_service',
        'local_changes',
        'lost_centres',
        'remote_allowances',
        'remote_changes',
        'remote_flows',
        'shares',
    )

    def __init__(self) -> None:
        """Start with nothing known."""
        self.demand_meter = DemandMeter()
        self.load_by_service: dict[str, float] = {}
        self._full: dict[str, float] = {}
        self.remote_flows = RemoteFlows()
        self.local_changes: ChangeTrigger[LevelKey] = ChangeTrigger(MIN_CHANGE, MIN_CHANGE_SHARE)
        self.remote_changes: ChangeTrigger[str] = ChangeTrigger(1, 0)
        self.remote_allowances = RemoteAllowances()
        self.shares = SurgeShares()
        self.lost_centres = LostCentres()
        self.computed_shares: tuple[FlowShare, ...] = ()

    def is_full(self, service: str) -> bool:
        """Whether the local data centre has no free capacity for a service."""
        return self.load_by_service.get(service, 0) >= FULL_LOAD

    def full_services(self) -> dict[str, float]:
        """Return the services without free local capacity, each with the value one.

        A service is dropped when its load falls below ``LOAD_RECOVERED``, as in other data centres.
        """
        for service, load in self.load_by_service.items():
            if load >= LOAD_REPORTED_FULL:
                self._full[service] = 1
            elif load < LOAD_RECOVERED:
                self._full.pop(service, None)
        return self._full


class SurgeShares:
    """Compute with hysteresis which share of the local flows goes to other data centres."""

    __slots__ = ('_surging', '_surging_since')

    def __init__(self) -> None:
        """Start without a surge."""
        self._surging: set[str] = set()
        self._surging_since: dict[str, float] = {}

    def shares_of(
        self,
        service: str,
        local_centre: str,
        capacity_by_centre: Mapping[str, float],
        rate_by_centre: Mapping[str, float],
        load: float,
        now: float,
    ) -> dict[str, float]:
        """Return the share for each remote data centre, by the demand of all data centres.

        It is empty until the local `load` is so high that callers will soon wait, and has been for
        as long as other data centres' reports of the same burst take.
        """
        surging = service in self._surging
        tolerated = SURGE_END_FACTOR if surging else SURGE_FACTOR
        shares = shares_of(local_centre, capacity_by_centre, rate_by_centre, tolerated)
        if not shares or not surging and load < SURGE_LOAD:
            self._surging.discard(service)
            self._surging_since.pop(service, None)
            return {}
        if now < self._surging_since.setdefault(service, now) + SURGE_CONFIRM_S:
            return {}
        self._surging.add(service)
        return shares


class LostCentres:
    """Hold the `names` of data centres whose reports were received recently and stopped.

    One that has not reported yet does not count: after a start its link is likely intact.
    """

    __slots__ = ('_received_at_by_centre', 'names')

    def __init__(self) -> None:
        """Start with none."""
        self.names: set[str] = set()
        self._received_at_by_centre: dict[str, float] = {}

    def note(self, received: Iterable[str], now: float) -> None:
        """Record the data centres whose reports some local host receives `now`."""
        for centre in received:
            self._received_at_by_centre[centre] = now
        for known, received_at in list(self._received_at_by_centre.items()):
            if now >= received_at + FORGET_S:
                self._received_at_by_centre.pop(known)
        self.names = {name for name, at in self._received_at_by_centre.items() if at < now}


class RemoteAllowances:
    """Compute the allowances of the local data centre with hysteresis."""

    __slots__ = ('_claiming', '_full_centres', '_requests_by_target', '_updated_at')

    def __init__(self) -> None:
        """Start without allowances."""
        self._claiming: set[str] = set()
        self._full_centres: set[tuple[str, str]] = set()
        self._requests_by_target: dict[tuple[str, str], float] = {}
        self._updated_at: dict[str, float] = {}

    def allowances_of(
        self,
        service: str,
        local_centre: str,
        local_rate: float,
        report_by_centre: Mapping[str, CentreReport],
        capacity_by_centre: Mapping[str, float],
        now: float,
    ) -> list[Allowance]:
        """Return how many requests of the callers at `local_centre` may be in progress remotely.

        The free capacity of each remote data centre is divided equally among all that have none. An
        allowance is never less than the claim that follows from the demand of all callers. It is
        zero where the reports of this data centre are not received, because the link there may be
        cut.
        """
        rate_by_centre = {centre: report.rate for centre, report in report_by_centre.items()}
        rate_by_centre[local_centre] = local_rate
        claims = self._claims(service, local_centre, capacity_by_centre, rate_by_centre)
        sharers = 1 + self._count_full(service, report_by_centre)
        elapsed_s = self._elapsed_s(service, now)
        allowances: list[Allowance] = []
        for centre, report in report_by_centre.items():
            free = report.free_capacity_of(capacity_by_centre.get(centre, 0)) / sharers
            due = max(free, claims.get(centre, 0) * REQUESTS_PER_SLOT)
            requests = self._ramped_up(
                (service, centre), due if report.receives_reports else 0, elapsed_s
            )
            allowances.append(Allowance(service, centre, requests))
        return allowances

    def _elapsed_s(self, service: str, now: float) -> float:
        former = self._updated_at.get(service, now)
        self._updated_at[service] = now
        return now - former

    def _count_full(self, service: str, report_by_centre: Mapping[str, CentreReport]) -> int:
        full = 0
        for centre, report in report_by_centre.items():
            is_full = report.unserved > 0 or report.load >= FULL_LOAD
            if is_full:
                self._full_centres.add((service, centre))
            elif report.load < LOAD_RECOVERED:
                self._full_centres.discard((service, centre))
            full += (service, centre) in self._full_centres
        return full

    def _claims(
        self,
        service: str,
        local_centre: str,
        capacity_by_centre: Mapping[str, float],
        rate_by_centre: Mapping[str, float],
    ) -> dict[str, float]:
        if sum(rate_by_centre.values()) < MIN_RATE:
            return {}
        factor = CLAIM_END_FACTOR if service in self._claiming else CLAIM_FACTOR
        claims = claims_of(local_centre, capacity_by_centre, rate_by_centre, factor)
        if claims:
            self._claiming.add(service)
        else:
            self._claiming.discard(service)
        return claims

    def _ramped_up(self, target: tuple[str, str], due: float, elapsed_s: float) -> float:
        former = self._requests_by_target.get(target, 0)
        allowed = min(due, former + due * elapsed_s / RAMP_UP_S)
        self._requests_by_target[target] = allowed
        return allowed
