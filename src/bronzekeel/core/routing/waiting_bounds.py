"""Define how long a request may wait for free capacity without harm to its caller."""

from zlib import crc32

from bronzekeel.core.routing.model import FlowPacket, Route
from bronzekeel.core.routing.pools import Pool


#: Seconds that a queue stands before it counts as overload: the longest time that the backlog
#: after a restart of all balancers took to clear. With less, a tenth of what callers sent in the
#: meantime is refused although it could be served within half a second. Detecting an overload this
#: late costs a tenth of five seconds.
OVERLOAD_S = 0.5

#: Most seconds that an opening packet waits before a queue counts as overload. Callers repeat an
#: opening packet after 0.2 and 0.6 s; the repeat finds the first one still waiting, or reaches
#: another balancer.
MAX_BACKLOG_WAIT_S = 0.4

#: Most seconds that an opening packet waits in an overload: what cannot be served is refused at
#: once. This is about as long as upstreams work on a request, so that the next slot goes to the
#: most urgent request that waits. Between 10 and 40 ms callers are served equally well; with 0
#: urgent requests are refused as often as the others.
MAX_OPENING_WAIT_S = 0.02

#: Fraction of a route's latency objective for which a request on an open flow waits before it is
#: sent whatever the limit is. The other half is for transit, the queue of an upstream and the
#: work; a request that waits longer is late in any case.
OPEN_WAIT_FRACTION = 0.5

#: Seconds after which a request on an open flow is checked again when its caller is above its
#: share. Shares are updated as often.
RECHECK_INTERVAL_S = 0.1

#: Fraction of a route's latency objective for which an opening packet waits at most in an overload
#: where demand is controlled. Callers try three times; the last of three such waits leaves more
#: than half of the objective for transit, the queue and the work.
OPENING_WAIT_FRACTION = 0.125

#: Least and greatest factor on the wait after which an opening is refused where demand is
#: controlled. Retries of refused callers are then spread over as much time as they waited.
_MIN_SPREAD = 0.5
_MAX_SPREAD = 1.5
_HASH_RANGE = 0x100000000


def wait_s(packet: FlowPacket, pool: Pool, route: Route, now: float) -> float:
    """Return the seconds that the request which `packet` begins may wait for a pool."""
    controlled = pool.callers is not None
    if packet.opens:
        opening_wait_s = _opening_wait_s(pool, now)
        if not controlled:
            return opening_wait_s
        controlled_wait_s = route.objective_s * OPENING_WAIT_FRACTION
        return max(opening_wait_s, controlled_wait_s) * _spread(packet.flow)
    if controlled and route.objective_s:
        return min(route.objective_s * OPEN_WAIT_FRACTION, route.timeout_s)
    return route.timeout_s


def _opening_wait_s(pool: Pool, now: float) -> float:
    """Return the seconds that an opening packet may wait for a pool.

    A queue that has just formed may be a backlog that clears soon. A standing queue is an overload,
    as in "Controlling Queue Delay" (Nichols and Jacobson, ACM Queue 10(5), 2012): what waits in it
    is served too late or not at all.
    """
    if pool.queued_s(now) < OVERLOAD_S:
        return MAX_BACKLOG_WAIT_S
    return MAX_OPENING_WAIT_S


def _spread(flow: bytes) -> float:
    """Return a factor that spreads the refusals of flows that arrived together over time."""
    fraction = crc32(flow) / _HASH_RANGE
    return _MIN_SPREAD + (_MAX_SPREAD - _MIN_SPREAD) * fraction
