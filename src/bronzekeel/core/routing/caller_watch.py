"""Update the shares of callers, and log which callers are throttled."""

from bronzekeel.core.log_numbers import LogNumber
from bronzekeel.core.routing.caller_reports import MAX_REPORTED_SERVICES, CallersReport
from bronzekeel.core.routing.caller_shares import DEFAULT_CALLER_BITS, CallerShares, decay_factor
from bronzekeel.core.routing.effects import Effect, WriteLine
from bronzekeel.core.routing.peers import PeerTable
from bronzekeel.core.routing.pools import Pool


#: Most callers of a service that are logged as throttled at a time.
_MAX_THROTTLED = 4

#: Seconds within its share after which a caller counts as released.
_RELEASE_S = 2.0

_OCTETS = 4


class _Throttled:
    """Hold since when a caller has been throttled, and until when it is at least."""

    __slots__ = ('since', 'until')

    def __init__(self, now: float) -> None:
        self.since = now
        self.until = now + _RELEASE_S


class CallerWatch:
    """Maintain the caller shares of pools whose demand is controlled."""

    __slots__ = ('_throttled_by_pool', 'bits')

    def __init__(self, bits: int = DEFAULT_CALLER_BITS) -> None:
        """Identify callers by the leading `bits` of their addresses."""
        self.bits = bits
        self._throttled_by_pool: dict[Pool, dict[int, _Throttled]] = {}

    def update(
        self,
        pools: list[Pool],
        peers: PeerTable,
        now: float,
        *,
        controlled: bool,
    ) -> list[Effect]:
        """Update the shares; return log lines on callers that became throttled or were released.

        Pools have shares only while demand is `controlled`.
        """
        effects: list[Effect] = []
        for pool in pools:
            if not controlled:
                pool.callers = None
                continue
            if pool.callers is None:
                pool.callers = CallerShares(self.bits)
            pool.callers.update_level(_reports_from_peers(pool.service, peers, now), now)
            if pool.callers.counting or pool in self._throttled_by_pool:
                effects.extend(self._log_throttled(pool, pool.callers, now))
        return effects

    def reports(self, pools: list[Pool], now: float) -> dict[str, CallersReport]:
        """Return the reports for neighbours on services where requests wait, by service."""
        report_by_service: dict[str, CallersReport] = {}
        for pool in pools:
            report = pool.callers.report(now) if pool.callers else None
            if report is not None and len(report_by_service) < MAX_REPORTED_SERVICES:
                report_by_service[pool.service] = report
        return report_by_service

    def _log_throttled(self, pool: Pool, shares: CallerShares, now: float) -> list[Effect]:
        effects: list[Effect] = []
        throttled_by_caller = self._throttled_by_pool.setdefault(pool, {})
        for caller in shares.throttled_callers(now)[:_MAX_THROTTLED]:
            throttled = throttled_by_caller.get(caller)
            if throttled is not None:
                throttled.until = now + _RELEASE_S
                continue
            if len(throttled_by_caller) >= _MAX_THROTTLED:
                continue
            throttled_by_caller[caller] = _Throttled(now)
            effects.append(
                WriteLine(
                    LogNumber.CALLER_HELD,
                    service=pool.service,
                    caller=format_caller(caller, self.bits),
                    given=round(shares.admitted_for(caller, now), 1),
                    share=round(shares.level, 1),
                ),
            )
        effects.extend(self._release(pool, throttled_by_caller, now))
        return effects

    def _release(
        self, pool: Pool, throttled_by_caller: dict[int, _Throttled], now: float
    ) -> list[Effect]:
        effects: list[Effect] = []
        for caller, throttled in list(throttled_by_caller.items()):
            if now < throttled.until:
                continue
            throttled_by_caller.pop(caller)
            effects.append(
                WriteLine(
                    LogNumber.CALLER_RELEASED,
                    service=pool.service,
                    caller=format_caller(caller, self.bits),
                    held_s=round(now - throttled.since, 1),
                ),
            )
        if not throttled_by_caller:
            self._throttled_by_pool.pop(pool)
        return effects


def format_caller(caller: int, bits: int) -> str:
    """Return a caller in CIDR notation."""
    octets = '.'.join(str(octet) for octet in caller.to_bytes(_OCTETS, 'big'))
    return f'{octets}/{bits}'


def _reports_from_peers(
    service: str,
    peers: PeerTable,
    now: float,
) -> list[tuple[float, CallersReport]]:
    """Return the newest reports of live neighbours on a service, each with its weight."""
    reports = []
    for peer in peers.live_neighbours(now):
        if peer.heartbeat is None or peer.received_at is None:
            continue
        report = peer.heartbeat.callers_by_service.get(service)
        if report is not None:
            reports.append((decay_factor(now - peer.received_at, peers.interval_s), report))
    return reports
