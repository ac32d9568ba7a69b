"""Limit the rate of new flows to upstreams that have just started.

Operators can configure how many requests per second a cold upstream of a service can serve.  All
hosts together must stay below this rate, including hosts that are partitioned from each other.

Without this limit, an upstream that a release has replaced appears idle to all hosts, all send
their next flows to it, and its first callers wait or are rejected.  Giving each host a share of
the rate is not sufficient: with 25 hosts and 10 requests per second each host could send only one
request per 2.5 s, and the rate would still be exceeded when the hosts send at the same time.

Instead a single host of the upstream's data centre sends to it.  Rendezvous hashing of the names
of host and upstream selects it among all hosts seen in the last minute.  If the selected host is
dead, the upstream gets no flows while it is cold; a partitioned host does not replace another.
"""

from collections import deque

from bronzekeel.core.routing.model import Upstream
from bronzekeel.core.routing.peers import PeerTable, rank_of


#: Seconds from its start for which a host sends nothing to cold upstreams with a configured rate.
#: Neighbours answer a new host immediately and the longest heartbeat interval is two seconds
#: (``MAX_NEIGHBOURS``).  A host that knows only some of its neighbours could select itself as the
#: sender of an upstream in place of another host.
SETTLING_S = 3.0

#: Maximum number of hosts that consider themselves the sender while a host joins or leaves.
_SENDERS = 2

#: Length in seconds of the window in which at most one second's flows are sent.  With a window of
#: one second, flows sent slightly more than a second apart could arrive within a second.  The
#: margin is ten times the jitter of a link.
WINDOW_S = 1.1

#: Seconds for which the selected sender of an upstream is cached: the time in which a heartbeat
#: announces a new host.
_SENDER_CACHE_S = 0.25

#: Number of records above which those of warm upstreams are discarded.
_MAX_RECORDS = 4096


class _SendRecord:
    """Hold whether this host is the sender of an upstream, and when it sent flows.

    `is_sender` is cached until `cached_until`, `at` has the times at which flows were sent, and the
    upstream is cold until `warm_at`.
    """

    __slots__ = ('at', 'cached_until', 'is_sender', 'warm_at')

    def __init__(self) -> None:
        self.warm_at: float = 0
        self.is_sender = False
        self.cached_until: float = 0
        self.at: deque[float] = deque()


class ColdStarts:
    """Limit the new flows of this host to cold upstreams of services with a configured rate.

    The hosts of a data centre together may exceed the rate by the factor `overage` and by
    `slack` requests.
    """

    def __init__(
        self,
        peers: PeerTable,
        overage: float = 1,
        slack: float = 0,
        *,
        alone: bool = False,
    ) -> None:
        """Select senders among `peers`; a host that is `alone` has no peers."""
        self._peers = peers
        self._overage = overage
        self._slack = slack
        self._alone = alone
        self._started_at: float = 0
        self._record_by_name: dict[str, _SendRecord] = {}
        self._prune_above = _MAX_RECORDS

    def begin(self, now: float) -> None:
        """Record the start time of this host."""
        self._started_at = now

    def may_place(self, upstream: Upstream, rate: float, now: float) -> bool:
        """Whether a new flow may go to an upstream limited to `rate` requests per second."""
        if now >= upstream.warm_at:
            return True
        record = self._record_of(upstream, now)
        if not record.is_sender:
            return False
        max_rate = self._max_rate(rate)
        window_s = WINDOW_S if max_rate >= 1 else WINDOW_S / max_rate
        while record.at and record.at[0] <= now - window_s:
            record.at.popleft()
        return len(record.at) < max(1, int(max_rate))

    def note_placed(self, upstream: Upstream, now: float) -> None:
        """Record a new flow to an upstream if it is cold."""
        if now < upstream.warm_at:
            self._record_of(upstream, now).at.append(now)

    def _max_rate(self, rate: float) -> float:
        """Return the flows per second of one sender, so that two together stay within the limit."""
        return min(rate, (rate * self._overage + self._slack) / _SENDERS)

    def _record_of(self, upstream: Upstream, now: float) -> _SendRecord:
        if len(self._record_by_name) > self._prune_above:
            self._prune_warm(now)
        record = self._record_by_name.setdefault(upstream.entry.name, _SendRecord())
        record.warm_at = upstream.warm_at
        if now >= record.cached_until:
            record.cached_until = now + _SENDER_CACHE_S
            record.is_sender = self._is_sender(upstream, now)
        return record

    def _prune_warm(self, now: float) -> None:
        """Discard the records of warm upstreams and keep those of cold ones."""
        for name, record in list(self._record_by_name.items()):
            if now >= record.warm_at:
                self._record_by_name.pop(name)
        self._prune_above = max(_MAX_RECORDS, 2 * len(self._record_by_name))

    def _is_sender(self, upstream: Upstream, now: float) -> bool:
        """Whether this host is the selected sender among all hosts seen recently."""
        me = self._peers.me
        if upstream.entry.data_centre != me.data_centre or now < self._started_at + SETTLING_S:
            return False
        known = self._peers.by_name.values()
        if all(peer.received_at is None for peer in known):
            return self._alone
        local_names = {
            peer.address.name for peer in known if peer.address.data_centre == me.data_centre
        }
        local_names.add(me.name)
        upstream_name = upstream.entry.name
        return me.name == max(local_names, key=lambda name: rank_of(f'{upstream_name}/{name}'))
