"""Define the timeouts of calls to the platform's store and the backoff after failures.

Without timeouts, a slow or unresponsive store would block its callers for ever.
Without backoff, the whole fleet would call at once when the store returns from an
outage and overload it again.  So every call has a timeout, and after each failure
the wait doubles, with a jitter derived from the caller's name.
"""

from zlib import crc32


#: Seconds that a watch may wait for a change: less than half of the shortest
#: history that the users' store keeps (20 s), so that an interrupted watch can
#: resume from its last revision.
WATCH_WAIT_S = 8.0

#: Seconds within which a balancer that reads without staleness must receive proof that its views
#: are as new as the store.  A lost answer leaves a watch open without a sign, and users expect
#: hosts to be current 4 s after an outage; half of that remains for passing changes on.
CONFIRM_INTERVAL_S = 2.0

#: Seconds that the first watch after a failure waits.  It is short because a
#: watch shows only at its end that the store answers again.
PROBE_WATCH_S = 0.02

#: Timeout of a call in seconds; for a watch it is added to the time that the watch
#: waits.  It is twice the slowest answer of the users' store while it serves at all.
ANSWER_TIMEOUT_S = 2.0

#: Wait after a first failure, in seconds.  A single refusal of the store (a used-up
#: rate limit, a reset connection) is over in less.
FIRST_RETRY_WAIT_S = 0.2

#: Longest wait in seconds while the collection was never read: until then nothing
#: can be served.
MAX_RETRY_WAIT_UNREAD_S = 0.5

#: Longest wait in seconds when an older state is known.  A change must be in force
#: at most 3 s after the store is stable again.
MAX_RETRY_WAIT_S = 1.5

_MAX_DOUBLINGS = 6
_SPREAD = 1000


def retry_wait_s(failures: int, caller: str, *, known: bool) -> float:
    """Return the seconds from one attempt to the next after `failures` failures, at least one.

    `caller` names the calling host and what it reads; its hash spreads the waits
    between 0.5 and 1.5 times the backoff.  `known` means that an older state can
    be used in the meantime.
    """
    max_wait_s = MAX_RETRY_WAIT_S if known else MAX_RETRY_WAIT_UNREAD_S
    wait_s = min(max_wait_s, FIRST_RETRY_WAIT_S * 2 ** min(failures - 1, _MAX_DOUBLINGS))
    spread = crc32(f'{caller}/{failures}'.encode()) % _SPREAD
    return wait_s * (0.5 + spread / _SPREAD)
