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
#: (``MAX_NEIGHBOURS``); one that knows only some of them may take another's upstreams for its own.
SETTLING_S = 3.0

#: Hosts that may take themselves for the one that sends, while one joins or leaves.
_SENDERS = 2

#: Seconds in which no more than a second's flows are sent.  What goes wrong with one second: flows
#: that were sent a little more than that apart arrive within it.  Source: ten times what the
#: time on a link differs by.
WINDOW_S = 1.1

#: Seconds for which it is remembered who sends to an upstream.  Source: as long as a heartbeat
#: takes to tell of a new host.
_REMEMBERED_S = 0.25

#: Upstreams that are remembered before those that are warm by now are forgotten.
_MANY_REMEMBERED = 4096


class _Sent:
    """Hold whether this host sends to an upstream, until when that holds, and when it did.

    The upstream is cold until `warm_at`.
    """

    __slots__ = ('at', 'is_sender', 'known_until', 'warm_at')

    def __init__(self) -> None:
        self.warm_at: float = 0
        self.is_sender = False
        self.known_until: float = 0
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
        self._sent_by_name: dict[str, _Sent] = {}
        self._forget_beyond = _MANY_REMEMBERED

    def begin(self, now: float) -> None:
        """Note the start of this host."""
        self._started_at = now

    def may_take(self, upstream: Upstream, rate: float, now: float) -> bool:
        """Whether a new flow may go to an upstream that bears `rate` requests a second."""
        if now >= upstream.warm_at:
            return True
        sent = self._sent_to(upstream, now)
        if not sent.is_sender:
            return False
        most = self._most(rate)
        window_s = WINDOW_S if most >= 1 else WINDOW_S / most
        while sent.at and sent.at[0] <= now - window_s:
            sent.at.popleft()
        return len(sent.at) < max(1, int(most))

    def note_placed(self, upstream: Upstream, now: float) -> None:
        """Note that a new flow goes to a cold upstream."""
        if now < upstream.warm_at:
            self._sent_to(upstream, now).at.append(now)

    def _most(self, rate: float) -> float:
        """Return the flows a second of one sender: those of two stay below all that is allowed."""
        return min(rate, (rate * self._overage + self._slack) / _SENDERS)

    def _sent_to(self, upstream: Upstream, now: float) -> _Sent:
        if len(self._sent_by_name) > self._forget_beyond:
            self._forget_warm(now)
        sent = self._sent_by_name.setdefault(upstream.entry.name, _Sent())
        sent.warm_at = upstream.warm_at
        if now >= sent.known_until:
            sent.known_until = now + _REMEMBERED_S
            sent.is_sender = self._is_sender(upstream, now)
        return sent

    def _forget_warm(self, now: float) -> None:
        """Forget the upstreams that are warm; what was sent to the others still counts."""
        for name, sent in list(self._sent_by_name.items()):
            if now >= sent.warm_at:
                self._sent_by_name.pop(name)
        self._forget_beyond = max(_MANY_REMEMBERED, 2 * len(self._sent_by_name))

    def _is_sender(self, upstream: Upstream, now: float) -> bool:
        """Whether this host is the one of all that were heard lately that sends there."""
        me = self._peers.me
        if upstream.entry.data_centre != me.data_centre or now < self._started_at + SETTLING_S:
            return False
        known = self._peers.by_name.values()
        if all(peer.received_at is None for peer in known):
            return self._alone
        near = {peer.address.name for peer in known if peer.address.data_centre == me.data_centre}
        near.add(me.name)
        starting = upstream.entry.name
        return me.name == max(near, key=lambda name: rank_of(f'{starting}/{name}'))
