"""Say how long a request may wait for room, for the good of its caller."""

from zlib import crc32

from bronzekeel.core.routing.model import FlowPacket, Route
from bronzekeel.core.routing.pools import Pool


#: Seconds that a queue stands before it counts as overload.  What goes wrong without it: all
#: balancers start anew, what callers sent meanwhile comes at once, and a tenth of it is
#: refused although it could be served within half a second.  Source: the longest time that
#: such a backlog took; an overload that is noticed this late costs a tenth of five seconds.
OVERLOAD_S = 0.5

#: Seconds that an opening packet waits at most before that.  Source: callers repeat one after
#: 0.2 and 0.6 s; the repeat finds the first, or another balancer.
MAX_BACKLOG_WAIT_S = 0.4

#: Seconds that an opening packet waits at most in an overload: what cannot be served is
#: refused at once.  Source: about as long as upstreams work on a request, so the next
#: slot goes to the most urgent of those that wait; between 10 and 40 ms callers are
#: served equally well, with 0 the urgent ones are refused as often as the others.
MAX_OPENING_WAIT_S = 0.02

#: Part of a route's latency objective for which a request on an open flow waits before it is sent
#: on whatever the limit says.  Source: the other half is for the way, the queue of an
#: upstream and the work; whoever waits longer than this is late in any case.
OPEN_WAIT_FRACTION = 0.5

#: Seconds after which a request on an open flow is looked at again whose caller is above its
#: share.  Source: shares are reckoned as often.
RECHECK_INTERVAL_S = 0.1

#: Part of a route's latency objective for which an opening waits at most in an overload where
#: demand is controlled.  Source: callers try three times; the last of three such waits leaves more
#: than half of the objective for the way, the queue and the work.
OPENING_WAIT_FRACTION = 0.125

#: Least and most part of its wait after which an opening is refused where demand is controlled.
#: Source: what comes back at once then comes over as long a time as it waited.
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
        wanted_s = route.objective_s * OPENING_WAIT_FRACTION
        return max(opening_wait_s, wanted_s) * _spread(packet.flow)
    if controlled and route.objective_s:
        return min(route.objective_s * OPEN_WAIT_FRACTION, route.timeout_s)
    return route.timeout_s


def _opening_wait_s(pool: Pool, now: float) -> float:
    """Return the seconds that an opening packet may wait for a pool.

    A queue that has just begun may be a backlog that is soon worked off; one that
    stands is an overload, as in "Controlling Queue Delay" (Nichols and Jacobson, ACM
    Queue 10(5), 2012), and who waits in it is served too late or not at all.
    """
    if pool.queued_s(now) < OVERLOAD_S:
        return MAX_BACKLOG_WAIT_S
    return MAX_OPENING_WAIT_S


def _spread(flow: bytes) -> float:
    """Return a factor by which refusals of flows that came together are spread in time."""
    part = crc32(flow) / _HASH_RANGE
    return _MIN_SPREAD + (_MAX_SPREAD - _MIN_SPREAD) * part
