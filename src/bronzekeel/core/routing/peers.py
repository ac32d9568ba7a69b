"""Know the other balancers, and decide who watches the store for whom.

Balancers find each other by the seeds in their settings and by gossip: a
heartbeat names others.  One that was heard gets heartbeats even while it is
silent: a host that restarts in a data centre that is cut off from the store
hears from its neighbours before it could find them.
"""

from collections.abc import Callable, Mapping
from zlib import crc32

from bronzekeel.core.routing.messages import Allowance, FlowShare, Heartbeat, PeerAddress


#: Least interval in seconds between two heartbeats to the same peer.  Source:
#: loads change within a request's mean work of some fifty milliseconds; five
#: of them are late enough to cost little and early enough to see a burst.
HEARTBEAT_S = 0.25

#: Seconds of heartbeats that one peer more adds to the interval, so that a
#: host sends at most 25 a second.  Source: at 386 bytes each, six peers named and
#: no load, this is 10 KB/s; docs/CAPACITY.md allows 6 and says what follows.
_SPACING_S = 0.04

#: Intervals of silence after which a peer is not relied on.
SILENT_INTERVALS = 4

#: Seconds of silence that are no sign of death.  Source: four heartbeats of a small
#: data centre; three lost in a row are a matter of minutes at one in thirty.
LEAST_SILENT_S = 1.0

#: Interval in seconds of heartbeats to the seeds of other data centres.  Source:
#: bytes between data centres are dear, and with 300 hosts each 2 s they were
#: the largest price; a host that starts asks its seeds at once.
SEED_S = 10.0

#: Interval in seconds of heartbeats to the seeds while nothing is known here.
_SEED_UNREADY_S = 0.2

#: Interval in seconds at which other data centres are told of a host of a third one.  Source:
#: bytes between data centres are dear, and each host that is heard has its turn in a minute.
NAMING_S = 5.0

#: Seconds for which a silent peer is remembered.  Source: a host that loses
#: power is back within seconds; one that is replaced never comes back.
FORGET_S = 60.0

#: Seconds after which a silent peer is no longer named to others.  Source: more
#: than two intervals between heartbeats to seeds.
NAMED_S = 25.0

#: Peers that a heartbeat names at most; the rest has its turn later.
_MOST_OTHERS = 6

#: Peers of the own data centre that get heartbeats at most.  Source: the interval
#: grows with each; with 48 it is two seconds, which a change can still bear.
MOST_PEERS = 48


class Peer:
    """Hold one other balancer and the newest that it said."""

    __slots__ = ('address', 'heard_at', 'heartbeat', 'known_at')

    def __init__(self, address: PeerAddress, now: float) -> None:
        """Start with one that was named by others."""
        self.address = address
        self.known_at = now
        self.heard_at: float | None = None
        self.heartbeat: Heartbeat | None = None

    @property
    def newest_at(self) -> float:
        """When something was last heard of it."""
        return self.known_at if self.heard_at is None else self.heard_at


class PeerTable:
    """Hold the peers by name; the neighbours were told last at `told_at`."""

    def __init__(self, me: PeerAddress, seeds: tuple[tuple[str, int], ...]) -> None:
        """Start with nobody but the addresses of the seeds."""
        self.me = me
        self.by_name: dict[str, Peer] = {}
        self._seeds = tuple(seed for seed in seeds if seed != me.address)
        self.told_at: float = 0
        self._beat_at: float = 0
        self._seed_at: float = 0
        self._name_at: float = 0
        self._turn = 0

    @property
    def interval_s(self) -> float:
        """Seconds between two heartbeats to the same peer."""
        return max(HEARTBEAT_S, len(self.neighbours()) * _SPACING_S)

    def neighbours(self) -> list[Peer]:
        """Return the peers of the own data centre, at most ``MOST_PEERS``.

        With more, each takes those that follow it in the order of their names'
        hashes, so that everybody hears from as many.
        """
        near = [peer for peer in self.by_name.values() if self._is_near(peer)]
        if len(near) <= MOST_PEERS:
            return near
        mine = crc32(self.me.name.encode())
        near.sort(key=lambda peer: (crc32(peer.address.name.encode()) - mine) % _CRC_RANGE)
        return near[:MOST_PEERS]

    def living(self, now: float, intervals: float = SILENT_INTERVALS) -> list[Peer]:
        """Return the peers of the own data centre that were heard within some intervals.

        It is ``LEAST_SILENT_S`` at least.
        """
        silent_s = max(self.interval_s * intervals, LEAST_SILENT_S)
        return [
            peer
            for peer in self.by_name.values()
            if self._is_near(peer) and peer.heard_at is not None and now < peer.heard_at + silent_s
        ]

    def elsewhere_by_centre(self) -> dict[str, list[Peer]]:
        """Return the peers of each other data centre."""
        by_centre: dict[str, list[Peer]] = {}
        for peer in self.by_name.values():
            if not self._is_near(peer):
                by_centre.setdefault(peer.address.data_centre, []).append(peer)
        return by_centre

    def note_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Note a heartbeat; return whether its sender was not known."""
        name = heartbeat.sender.name
        if name == self.me.name:
            return False
        peer = self.by_name.get(name)
        known = peer is not None and peer.heard_at is not None
        if peer is None:
            peer = Peer(heartbeat.sender, now)
            self.by_name[name] = peer
        peer.address = heartbeat.sender
        peer.heard_at = now
        peer.heartbeat = heartbeat
        for other in heartbeat.others:
            if other.name != self.me.name and other.name not in self.by_name:
                self.by_name[other.name] = Peer(other, now)
        return not known

    def doubt_all(self) -> None:
        """Rely on no peer before it is heard again."""
        for peer in self.by_name.values():
            if peer.heard_at is not None:
                peer.known_at = peer.heard_at
            peer.heard_at = None

    def forget_silent(self, now: float) -> None:
        """Forget those of whom nothing was heard for long."""
        for name, peer in list(self.by_name.items()):
            if now >= peer.newest_at + FORGET_S:
                self.by_name.pop(name)

    def due_neighbours(self, now: float) -> list[tuple[str, int]]:
        """Return the addresses of the own data centre that are to get a heartbeat now."""
        if now < self._beat_at:
            return []
        self.told_at = now
        self._beat_at = now + self.interval_s
        return [peer.address.address for peer in self.neighbours()]

    def due_seeds(self, now: float, *, ready: bool) -> list[tuple[str, int]]:
        """Return the addresses of seeds that are to get a heartbeat now.

        Those that get one as neighbours are left out.
        """
        if now < self._seed_at:
            return []
        wait_s = SEED_S if ready else _SEED_UNREADY_S
        self._seed_at = now + wait_s
        near = {peer.address.address for peer in self.neighbours()}
        return [seed for seed in self._seeds if seed not in near]

    def beat_now(self) -> None:
        """Send the next heartbeats at once: there is something new to tell."""
        self._beat_at = 0

    def beat_soon(self) -> None:
        """Send the next heartbeats as soon as a small data centre would.

        What goes wrong with at once: hundreds of upstreams crash, and each finding is a round of
        heartbeats to all neighbours.
        """
        self._beat_at = min(self._beat_at, self.told_at + HEARTBEAT_S)

    def some_others(self, data_centre: str, now: float) -> tuple[PeerAddress, ...]:
        """Return peers to name to those in `data_centre`, all of them in turn.

        Neighbours get the names of hosts elsewhere too: any of them may have to
        tell those what is new.  Only hosts that were heard here of late: if silent
        ones were named too, two balancers would remind each other of a host that
        is long gone.
        """
        self._turn += 1
        near = data_centre == self.me.data_centre
        named = [
            peer.address
            for peer in self.by_name.values()
            if (near or peer.address.data_centre == data_centre) and _is_heard(peer, now)
        ]
        if not named:
            return ()
        start = self._turn % len(named)
        return tuple((named[start:] + named[:start])[:_MOST_OTHERS])

    def next_elsewhere(self, now: float) -> tuple[PeerAddress, ...]:
        """Return one host of another data centre that is heard, each in turn, every ``NAMING_S``.

        What goes wrong without it: data centres that have no seed know those that have, and not
        each other; when these are cut off, nobody tells them what they miss.
        """
        if now < self._name_at:
            return ()
        self._turn += 1
        heard = [
            peer.address
            for peer in self.by_name.values()
            if not self._is_near(peer) and _is_heard(peer, now)
        ]
        if not heard:
            return ()
        self._name_at = now + NAMING_S
        return (heard[self._turn % len(heard)],)

    def knows_more(self, text_order: int, upstreams_revision: int, now: float) -> bool:
        """Whether a living peer knows something newer than these revisions."""
        for peer in self.living(now):
            heartbeat = peer.heartbeat
            if heartbeat is not None and heartbeat.knows_more(text_order, upstreams_revision):
                return True
        return False

    def busy_elsewhere(self, now: float) -> dict[int, int]:
        """Return the requests in progress that living peers see, by upstream."""
        total: dict[int, int] = {}
        for peer in self.living(now):
            if peer.heartbeat is None:
                continue
            for number, busy in peer.heartbeat.busy_by_number.items():
                total[number] = total.get(number, 0) + busy
        return total

    def rates_near(self, now: float) -> list[Mapping[str, float]]:
        """Return the requests a second by service that living neighbours see."""
        return [
            peer.heartbeat.rate_by_service
            for peer in self.living(now)
            if peer.heartbeat is not None
        ]

    def shares_near(self, now: float) -> tuple[FlowShare, ...]:
        """Return the shares that a living neighbour reckoned last, none if nobody did."""
        newest = self._newest_near(now, lambda heartbeat: heartbeat.shares is not None)
        return (newest and newest.shares) or ()

    def allowances_near(self, now: float) -> tuple[Allowance, ...]:
        """Return the allowances that a living neighbour reckoned last, none if nobody did."""
        newest = self._newest_near(now, lambda heartbeat: heartbeat.allowances is not None)
        return (newest and newest.allowances) or ()

    def _newest_near(self, now: float, has: Callable[[Heartbeat], bool]) -> Heartbeat | None:
        """Return the newest heartbeat of a living neighbour that `has` something."""
        newest: Peer | None = None
        for peer in self.living(now):
            if peer.heartbeat is None or not has(peer.heartbeat):
                continue
            if newest is None or peer.newest_at > newest.newest_at:
                newest = peer
        return newest.heartbeat if newest else None

    def _is_near(self, peer: Peer) -> bool:
        return peer.address.data_centre == self.me.data_centre


def _is_heard(peer: Peer, now: float) -> bool:
    return peer.heard_at is not None and now < peer.heard_at + NAMED_S


def rank_of(name: str) -> tuple[int, str]:
    """Return the place of a balancer in the order of their names' hashes."""
    return crc32(name.encode()), name


_CRC_BITS = 32
_CRC_RANGE = 1 << _CRC_BITS
