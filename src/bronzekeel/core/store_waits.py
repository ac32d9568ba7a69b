"""Say how long calls to the platform's store may take, and when to call again.

What goes wrong without it: a store that is slow or silent holds its callers for
ever, and when it returns from an outage the whole fleet calls at once and takes it
down again.  So every call has its time, and after each failure the wait doubles
and is spread by the caller's name.
"""

from zlib import crc32


#: Seconds that a watch may wait for a change.  Source: half of the least
#: history that the users' store keeps (20 s), so a watch that is cut off can
#: go on where it was.
WATCH_WAIT_S = 8.0

#: Seconds that the first watch after a failure waits: it shows that the store
#: answers, which a waiting watch would show only at its end.
PROBE_WATCH_S = 0.02

#: Seconds beyond a watch's wait in which the answer to a watch must have come.
#: Source: twice the slowest answer of the users' store that serves at all.
ANSWER_TIMEOUT_S = 2.0

#: Wait after a first failure, in seconds.  Source: a store's single refusal
#: (a rate that is used up, a connection that was reset) passes in less.
FIRST_RETRY_WAIT_S = 0.2

#: Longest wait in seconds while the collection was never read: nothing is served.
MAX_RETRY_WAIT_UNREAD_S = 0.5

#: Longest wait in seconds when something older is known.  Source: the bound on
#: a change in force is 3 s after the store is stable again.
MAX_RETRY_WAIT_S = 1.5

_MAX_DOUBLINGS = 6
_SPREAD = 1000


def retry_wait_s(failures: int, caller: str, *, known: bool) -> float:
    """Return the seconds to wait after the last of some failures in a row.

    `caller` names who calls for what, to spread the waits between half and one and
    a half of their mean; `known` tells that something older is known meanwhile.
    """
    max_wait_s = MAX_RETRY_WAIT_S if known else MAX_RETRY_WAIT_UNREAD_S
    wait_s = min(max_wait_s, FIRST_RETRY_WAIT_S * 2 ** min(failures - 1, _MAX_DOUBLINGS))
    spread = crc32(f'{caller}/{failures}'.encode()) % _SPREAD
    return wait_s * (0.5 + spread / _SPREAD)
