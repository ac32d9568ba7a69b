"""Exchange heartbeats with other data centres.

A watch may be stalled: the store sends nothing to a host and does not close the connection.  A few
watchers of each data centre send a few hosts of every other one how new their views are, so that a
data centre whose watchers are all stalled learns of changes.
"""

from collections.abc import Mapping
from zlib import crc32

from bronzekeel.core.routing.messages import Heartbeat, PeerAddress
from bronzekeel.core.routing.peers import PEER_TIMEOUT_INTERVALS, Peer, PeerTable, rank_of


#: Number of watchers per data centre that send heartbeats to other data centres, and of hosts in
#: each that receive them.  One may be stalled, or dead without having timed out yet.
RELAYS = 2

#: Interval in seconds between these heartbeats.  Together with the wait before another data centre
#: is queried (``REMOTE_GRACE_S``) and one fetch, a third of the shortest bound on a change (3 s)
#: remains.  It costs 24 datagrams of 150 bytes a second among three data centres.
RELAY_S = 1.0

#: The same interval while requests wait in the local data centre.  With the longer interval, in a
#: burst that affects all data centres, each would send its flows to another one that had free
#: capacity a second ago.
QUEUEING_RELAY_S = 0.25


class Relays:
    """Select the receivers of heartbeats in other data centres, and evaluate what they send."""

    def __init__(self, peers: PeerTable) -> None:
        """Use the balancers in `peers`."""
        self._peers = peers
        self._last_sent_at: float = 0
        self._turn = 0

    def expedite(self) -> None:
        """Send the next heartbeats at once, because a change was learned late."""
        self._last_sent_at = 0

    def due(self, now: float, *, direct: bool, queueing: bool) -> list[tuple[str, int]]:
        """Return the addresses in other data centres that are due for a heartbeat.

        Only the first balancers with working watches (`direct`) send them, and more often while
        requests wait in the local data centre (`queueing`).
        """
        interval_s = QUEUEING_RELAY_S if queueing else RELAY_S
        if now < self._last_sent_at + interval_s:
            return []
        if not direct:
            return []
        self._last_sent_at = now
        if self.working_before(now) >= RELAYS:
            return []
        receivers: list[tuple[str, int]] = []
        for peers in self._peers.remote_by_centre().values():
            receivers.extend(self._receivers_in(peers, now))
        return receivers

    def ahead(
        self,
        text_order: int,
        upstreams_revision: int,
        now: float,
    ) -> PeerAddress | None:
        """Return a host of another data centre that recently knew more than these revisions."""
        for peers in self._peers.remote_by_centre().values():
            for peer in peers:
                heartbeat = peer.heartbeat
                if heartbeat is None or not _is_fresh(peer, now):
                    continue
                if heartbeat.is_ahead_of(text_order, upstreams_revision):
                    return peer.address
        return None

    def remote_rates(self, now: float) -> dict[str, Mapping[str, float]]:
        """Return the last reported request rates of callers in other data centres.

        The result has requests per second by service, by data centre.
        """
        return {
            centre: heartbeat.rate_by_service
            for centre, heartbeat in self._newest_by_centre(now).items()
        }

    def remote_loads(self, now: float) -> dict[str, Mapping[str, float]]:
        """Return the last reported load of upstreams in other data centres.

        The result has requests in progress per slot by service, by data centre.
        """
        return {
            centre: heartbeat.load_by_service
            for centre, heartbeat in self._newest_by_centre(now).items()
        }

    def remote_reports(self, now: float, within_s: float) -> dict[str, Heartbeat]:
        """Return the newest heartbeat with demand of each other data centre in `within_s`."""
        newest_by_centre: dict[str, Heartbeat] = {}
        for centre, peers in self._peers.remote_by_centre().items():
            reporting = [
                peer
                for peer in peers
                if _reports_demand(peer) and now < peer.last_seen_at + within_s
            ]
            reporting.sort(key=lambda peer: peer.last_seen_at)
            if reporting and reporting[-1].heartbeat is not None:
                newest_by_centre[centre] = reporting[-1].heartbeat
        return newest_by_centre

    def reports_demand(self, centre: str) -> bool:
        """Whether a host of a data centre has ever reported demand."""
        return any(map(_reports_demand, self._peers.remote_by_centre().get(centre, [])))

    def working_before(self, now: float) -> int:
        """Return how many neighbours with working watches rank before this balancer."""
        rank = rank_of(self._peers.me.name)
        return sum(
            peer.heartbeat is not None
            and peer.heartbeat.direct
            and not peer.heartbeat.stopping
            and rank_of(peer.address.name) < rank
            for peer in self._peers.live_neighbours(now)
        )

    def centres_before(self, now: float) -> int:
        """Return how many data centres with a recent heartbeat rank before the local one."""
        rank = rank_of(self._peers.me.data_centre)
        return sum(rank_of(centre) < rank for centre in self._newest_by_centre(now))

    def _newest_by_centre(self, now: float) -> dict[str, Heartbeat]:
        """Return the newest recent heartbeat of each other data centre."""
        newest_by_centre: dict[str, Heartbeat] = {}
        for centre, peers in self._peers.remote_by_centre().items():
            fresh = [peer for peer in peers if peer.heartbeat and _is_fresh(peer, now)]
            fresh.sort(key=lambda peer: peer.last_seen_at)
            if fresh and fresh[-1].heartbeat is not None:
                newest_by_centre[centre] = fresh[-1].heartbeat
        return newest_by_centre

    def _receivers_in(self, peers: list[Peer], now: float) -> list[tuple[str, int]]:
        """Return the receivers in one data centre: recently seen hosts, then others in turn."""
        self._turn += 1
        salt = str(self._turn)
        fresh = [peer for peer in peers if _is_fresh(peer, now)]
        fresh.sort(key=lambda peer: rank_of(peer.address.name))
        others = [peer for peer in peers if not _is_fresh(peer, now)]
        others.sort(key=lambda peer: crc32((peer.address.name + salt).encode()))
        return [peer.address.address for peer in (fresh + others)[:RELAYS]]


def _reports_demand(peer: Peer) -> bool:
    return peer.heartbeat is not None and peer.heartbeat.demand_by_service is not None


def _is_fresh(peer: Peer, now: float) -> bool:
    """Whether a remote host was seen within a few of its intervals."""
    return (
        peer.received_at is not None and now < peer.received_at + RELAY_S * PEER_TIMEOUT_INTERVALS
    )
