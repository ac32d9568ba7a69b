"""Say which host may send new flows to an upstream that has just started.

Operators may state how many requests a second a cold upstream of a service bears.  All hosts
together must stay below that, also hosts that do not hear each other.

What goes wrong without it: a release replaces an upstream; it looks idle to every host, all
send it their next flows at once, and its first callers wait or are turned away.  A share of the
rate for each host does not do: with 25 hosts and 10 requests a second none may send more than
one each 2.5 s, and when they happen to send together the rate is passed all the same.

So one host of the upstream's data centre sends to it, chosen by the hash of both names
(rendezvous hashing) among all hosts that were heard in the last minute.  A host that is dead
leaves an upstream without flows while it is cold; one that is cut off takes nobody's place.
"""

from collections import deque

from bronzekeel.core.routing.model import Upstream
from bronzekeel.core.routing.peers import PeerTable, rank_of


#: Seconds from its start for which a host sends nothing to cold upstreams with a stated rate.
#: Source: neighbours answer a new host at once, and the slowest heartbeat comes each two seconds
#: (``MOST_PEERS``); one that knows only some of them may take another's upstreams for its own.
SETTLING_S = 3.0

#: Hosts that may take themselves for the one that sends, while one joins or leaves.
_SENDERS = 2

#: Seconds in which no more than a second's flows are sent.  What goes wrong with one second: flows
#: that were sent a little more than that apart arrive within it.  Source: ten times what the
#: time on a link differs by.
WINDOW_S = 1.1

#: Seconds for which it is remembered who sends to an upstream.  Source: as long as a heartbeat
#: takes to tell of a new host.
_SENDER_CACHE_S = 0.25

#: Upstreams that are remembered before those that are warm by now are forgotten.
_MAX_RECORDS = 4096


class _SendRecord:
    """Hold whether this host sends to an upstream, until when that holds, and when it did.

    The upstream is cold until `warm_at`.
    """

    __slots__ = ('at', 'cached_until', 'is_sender', 'warm_at')

    def __init__(self) -> None:
        self.warm_at: float = 0
        self.is_sender = False
        self.cached_until: float = 0
        self.at: deque[float] = deque()


class ColdStarts:
    """Limit this host's new flows to cold upstreams of services with a stated rate.

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
        """Choose among `peers`; a host that is `alone` has no others to hear."""
        self._peers = peers
        self._overage = overage
        self._slack = slack
        self._alone = alone
        self._started_at: float = 0
        self._record_by_name: dict[str, _SendRecord] = {}
        self._prune_above = _MAX_RECORDS

    def begin(self, now: float) -> None:
        """Note the start of this host."""
        self._started_at = now

    def may_place(self, upstream: Upstream, rate: float, now: float) -> bool:
        """Whether a new flow may go to an upstream that bears `rate` requests a second."""
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
        """Note that a new flow goes to a cold upstream."""
        if now < upstream.warm_at:
            self._record_of(upstream, now).at.append(now)

    def _max_rate(self, rate: float) -> float:
        """Return the flows a second of one sender: those of two stay below all that is allowed."""
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
        """Forget the upstreams that are warm; what was sent to the others still counts."""
        for name, record in list(self._record_by_name.items()):
            if now >= record.warm_at:
                self._record_by_name.pop(name)
        self._prune_above = max(_MAX_RECORDS, 2 * len(self._record_by_name))

    def _is_sender(self, upstream: Upstream, now: float) -> bool:
        """Whether this host is the one of all that were heard lately that sends there."""
        me = self._peers.me
        if upstream.entry.data_centre != me.data_centre or now < self._started_at + SETTLING_S:
            return False
        known = self._peers.by_name.values()
        if all(peer.heard_at is None for peer in known):
            return self._alone
        local_names = {
            peer.address.name for peer in known if peer.address.data_centre == me.data_centre
        }
        local_names.add(me.name)
        upstream_name = upstream.entry.name
        return me.name == max(local_names, key=lambda name: rank_of(f'{upstream_name}/{name}'))
