"""Track the other balancers and schedule heartbeats to them.

Balancers find each other by the seeds in their settings and by gossip: a heartbeat names other
peers.  A peer that was seen once gets heartbeats even while it sends none, so that a host that
restarts in a data centre that is cut off from the store receives heartbeats of its neighbours
before it could find them.
"""

from collections.abc import Callable, Mapping
from zlib import crc32

from bronzekeel.core.routing.messages import Allowance, FlowShare, Heartbeat, PeerAddress


#: Minimum interval in seconds between two heartbeats to the same peer.  Loads change within the
#: mean processing time of a request, some fifty milliseconds; five times that costs little and
#: still shows a burst early.
HEARTBEAT_S = 0.25

#: Seconds that each further peer adds to the interval, so that a host sends at most 25 heartbeats
#: per second.  At 386 bytes each, with six peers named and no load, this is 10 KB/s;
#: docs/CAPACITY.md allows 6 and states the consequences.
_INTERVAL_PER_PEER_S = 0.04

#: Intervals without a heartbeat after which a peer times out.
PEER_TIMEOUT_INTERVALS = 4

#: Minimum timeout of a peer in seconds: four heartbeats in a small data centre.  At a loss of one
#: in thirty, three lost in a row happen within minutes.
MIN_PEER_TIMEOUT_S = 1.0

#: Interval in seconds of heartbeats to the seeds of other data centres.  Traffic between data
#: centres is expensive, and with 300 hosts and an interval of 2 s these heartbeats were the largest
#: cost; a host that starts asks its seeds at once.
SEED_INTERVAL_S = 10.0

#: Interval in seconds of heartbeats to the seeds while nothing is known here.
_UNREADY_SEED_INTERVAL_S = 0.2

#: Interval in seconds at which a host of a third data centre is named to other data centres.
#: Traffic between data centres is expensive, and at this interval each live host is named within a
#: minute.
REMOTE_NAMING_INTERVAL_S = 5.0

#: Seconds without a heartbeat after which a peer is forgotten.  A host that loses power is back
#: within seconds; one that is replaced never comes back.
FORGET_S = 60.0

#: Seconds without a heartbeat after which a peer is no longer named to others, more than two
#: intervals between heartbeats to seeds.
MAX_NAMED_AGE_S = 25.0

#: Maximum number of peers named in a heartbeat; the others follow in later ones.
_MAX_OTHERS = 6

#: Maximum number of peers of the local data centre that get heartbeats.  The interval grows with
#: each; with 48 it is two seconds, which is still soon enough for a change.
MAX_NEIGHBOURS = 48


class Peer:
    """Hold one other balancer and its newest heartbeat."""

    __slots__ = ('address', 'discovered_at', 'heartbeat', 'received_at')

    def __init__(self, address: PeerAddress, now: float) -> None:
        """Start with a peer that was named by others."""
        self.address = address
        self.discovered_at = now
        self.received_at: float | None = None
        self.heartbeat: Heartbeat | None = None

    @property
    def last_seen_at(self) -> float:
        """When the peer last sent a heartbeat, or else when it was discovered."""
        return self.discovered_at if self.received_at is None else self.received_at


class PeerTable:
    """Hold the peers by name; neighbours last got heartbeats at `last_sent_at`."""

    def __init__(self, me: PeerAddress, seeds: tuple[tuple[str, int], ...]) -> None:
        """Start with the addresses of the seeds only."""
        self.me = me
        self.by_name: dict[str, Peer] = {}
        self._seeds = tuple(seed for seed in seeds if seed != me.address)
        self.last_sent_at: float = 0
        self._heartbeat_at: float = 0
        self._next_seed_at: float = 0
        self._next_naming_at: float = 0
        self._turn = 0

    @property
    def interval_s(self) -> float:
        """Seconds between two heartbeats to the same peer."""
        return max(HEARTBEAT_S, len(self.neighbours()) * _INTERVAL_PER_PEER_S)

    def neighbours(self) -> list[Peer]:
        """Return the peers of the local data centre, at most ``MAX_NEIGHBOURS``.

        If there are more, each balancer takes those that follow it in the order of their names'
        hashes, so that all receive from the same number of peers.
        """
        local = [peer for peer in self.by_name.values() if self._is_local(peer)]
        if len(local) <= MAX_NEIGHBOURS:
            return local
        own_hash = crc32(self.me.name.encode())
        local.sort(key=lambda peer: (crc32(peer.address.name.encode()) - own_hash) % _CRC_RANGE)
        return local[:MAX_NEIGHBOURS]

    def live_neighbours(self, now: float, intervals: float = PEER_TIMEOUT_INTERVALS) -> list[Peer]:
        """Return the peers of the local data centre seen within the given heartbeat intervals.

        The timeout is at least ``MIN_PEER_TIMEOUT_S``.
        """
        timeout_s = max(self.interval_s * intervals, MIN_PEER_TIMEOUT_S)
        return [
            peer
            for peer in self.by_name.values()
            if self._is_local(peer)
            and peer.received_at is not None
            and now < peer.received_at + timeout_s
        ]

    def remote_by_centre(self) -> dict[str, list[Peer]]:
        """Return the peers of each other data centre."""
        by_centre: dict[str, list[Peer]] = {}
        for peer in self.by_name.values():
            if not self._is_local(peer):
                by_centre.setdefault(peer.address.data_centre, []).append(peer)
        return by_centre

    def note_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Record a heartbeat; return whether its sender was unknown."""
        name = heartbeat.sender.name
        if name == self.me.name:
            return False
        peer = self.by_name.get(name)
        known = peer is not None and peer.received_at is not None
        if peer is None:
            peer = Peer(heartbeat.sender, now)
            self.by_name[name] = peer
        peer.address = heartbeat.sender
        peer.received_at = now
        peer.heartbeat = heartbeat
        for other in heartbeat.others:
            if other.name != self.me.name and other.name not in self.by_name:
                self.by_name[other.name] = Peer(other, now)
        return not known

    def expire_all(self) -> None:
        """Treat no peer as live before its next heartbeat."""
        for peer in self.by_name.values():
            if peer.received_at is not None:
                peer.discovered_at = peer.received_at
            peer.received_at = None

    def forget_expired(self, now: float) -> None:
        """Remove the peers without a heartbeat for ``FORGET_S``."""
        for name, peer in list(self.by_name.items()):
            if now >= peer.last_seen_at + FORGET_S:
                self.by_name.pop(name)

    def due_neighbours(self, now: float) -> list[tuple[str, int]]:
        """Return the addresses in the local data centre that are due for a heartbeat."""
        if now < self._heartbeat_at:
            return []
        self.last_sent_at = now
        self._heartbeat_at = now + self.interval_s
        return [peer.address.address for peer in self.neighbours()]

    def due_seeds(self, now: float, *, ready: bool) -> list[tuple[str, int]]:
        """Return the addresses of seeds that are due for a heartbeat.

        Seeds that get one as neighbours are left out.
        """
        if now < self._next_seed_at:
            return []
        wait_s = SEED_INTERVAL_S if ready else _UNREADY_SEED_INTERVAL_S
        self._next_seed_at = now + wait_s
        local = {peer.address.address for peer in self.neighbours()}
        return [seed for seed in self._seeds if seed not in local]

    def send_heartbeats_now(self) -> None:
        """Send the next heartbeats at once because there is something new to announce."""
        self._heartbeat_at = 0

    def send_heartbeats_soon(self) -> None:
        """Send the next heartbeats as soon as a small data centre would.

        If they were sent at once and hundreds of upstreams crashed, each observation would cost a
        round of heartbeats to all neighbours.
        """
        self._heartbeat_at = min(self._heartbeat_at, self.last_sent_at + HEARTBEAT_S)

    def peers_to_name(self, data_centre: str, now: float) -> tuple[PeerAddress, ...]:
        """Return the peers to name to those in `data_centre`, all of them in turn.

        Neighbours also get the names of remote hosts, because any of them may have to send those
        what is new.  Only recently seen hosts are named: otherwise two balancers would keep
        reminding each other of a host that is long gone.
        """
        self._turn += 1
        local = data_centre == self.me.data_centre
        named = [
            peer.address
            for peer in self.by_name.values()
            if (local or peer.address.data_centre == data_centre) and _is_recent(peer, now)
        ]
        if not named:
            return ()
        start = self._turn % len(named)
        return tuple((named[start:] + named[:start])[:_MAX_OTHERS])

    def next_remote(self, now: float) -> tuple[PeerAddress, ...]:
        """Return one live host of another data centre in turn, at the interval for remote naming.

        Without this, data centres that have no seed would know those that have one but not each
        other, and would receive no reports while these are cut off.
        """
        if now < self._next_naming_at:
            return ()
        self._turn += 1
        recent = [
            peer.address
            for peer in self.by_name.values()
            if not self._is_local(peer) and _is_recent(peer, now)
        ]
        if not recent:
            return ()
        self._next_naming_at = now + REMOTE_NAMING_INTERVAL_S
        return (recent[self._turn % len(recent)],)

    def busy_at_peers(self, now: float) -> dict[int, int]:
        """Return the requests in progress that live peers count, by upstream."""
        total: dict[int, int] = {}
        for peer in self.live_neighbours(now):
            if peer.heartbeat is None:
                continue
            for number, busy in peer.heartbeat.busy_by_number.items():
                total[number] = total.get(number, 0) + busy
        return total

    def local_rates(self, now: float) -> list[Mapping[str, float]]:
        """Return the requests per second by service that live neighbours count."""
        return [
            peer.heartbeat.rate_by_service
            for peer in self.live_neighbours(now)
            if peer.heartbeat is not None
        ]

    def local_shares(self, now: float) -> tuple[FlowShare, ...]:
        """Return the shares last computed by a live neighbour, none if there are none."""
        newest = self._newest_local(now, lambda heartbeat: heartbeat.shares is not None)
        return (newest and newest.shares) or ()

    def local_allowances(self, now: float) -> tuple[Allowance, ...]:
        """Return the allowances last computed by a live neighbour, none if there are none."""
        newest = self._newest_local(now, lambda heartbeat: heartbeat.allowances is not None)
        return (newest and newest.allowances) or ()

    def _newest_local(self, now: float, has: Callable[[Heartbeat], bool]) -> Heartbeat | None:
        """Return the newest heartbeat of a live neighbour for which `has` is true."""
        newest: Peer | None = None
        for peer in self.live_neighbours(now):
            if peer.heartbeat is None or not has(peer.heartbeat):
                continue
            if newest is None or peer.last_seen_at > newest.last_seen_at:
                newest = peer
        return newest.heartbeat if newest else None

    def _is_local(self, peer: Peer) -> bool:
        return peer.address.data_centre == self.me.data_centre


def _is_recent(peer: Peer, now: float) -> bool:
    return peer.received_at is not None and now < peer.received_at + MAX_NAMED_AGE_S


def rank_of(name: str) -> tuple[int, str]:
    """Return the sort key of a balancer in the order of their names' hashes."""
    return crc32(name.encode()), name


_CRC_BITS = 32
_CRC_RANGE = 1 << _CRC_BITS
