"""Tell other data centres what is known, and hear from them what is not known here.

A watch may be deaf: the store says nothing to a host and closes nothing.  A few
watchers of each data centre tell a few hosts of every other how new their views
are, so a data centre whose watchers are all deaf hears of it.
"""

from collections.abc import Mapping
from zlib import crc32

from bronzekeel.core.routing.messages import Heartbeat, PeerAddress
from bronzekeel.core.routing.peers import SILENT_INTERVALS, Peer, PeerTable, rank_of


#: Watchers of a data centre that tell other data centres, and hosts of each that
#: are told.  Source: one may be deaf, or dead without anybody knowing yet.
RELAYS = 2

#: Interval in seconds at which they tell.  Source: with the wait before another data
#: centre is asked (``REMOTE_GRACE_S``) and one fetch, a third of the shortest bound on a change
#: (3 s) remains; 24 datagrams of 150 bytes a second among three data centres.
RELAY_S = 1.0

#: The same while requests wait in the own data centre.  What goes wrong without it: a burst is
#: everywhere, and each data centre sends its flows to another that had room a second ago.
STRAINED_RELAY_S = 0.25


class Relays:
    """Choose whom to tell, and find who elsewhere knows more."""

    def __init__(self, peers: PeerTable) -> None:
        """Choose among `peers`."""
        self._peers = peers
        self._told_at: float = 0
        self._turn = 0

    def due(self, now: float, *, direct: bool, strained: bool) -> list[tuple[str, int]]:
        """Return the addresses in other data centres that are to be told now.

        Only the first of those whose watches work (`direct`) tell, and more often while the data
        centre is `strained`.
        """
        interval_s = STRAINED_RELAY_S if strained else RELAY_S
        if now < self._told_at + interval_s:
            return []
        self._told_at = now
        if not direct or self.working_before(now) >= RELAYS:
            return []
        told: list[tuple[str, int]] = []
        for peers in self._peers.elsewhere_by_centre().values():
            told.extend(self._told_of(peers, now))
        return told

    def ahead(
        self,
        text_order: int,
        upstreams_revision: int,
        now: float,
    ) -> PeerAddress | None:
        """Return a host of another data centre that lately knew more than these revisions."""
        for peers in self._peers.elsewhere_by_centre().values():
            for peer in peers:
                heartbeat = peer.heartbeat
                if heartbeat is None or not _is_fresh(peer, now):
                    continue
                if heartbeat.knows_more(text_order, upstreams_revision):
                    return peer.address
        return None

    def rates_elsewhere(self, now: float) -> dict[str, Mapping[str, float]]:
        """Return what the callers of other data centres ask for, as told last.

        Requests a second by service, by data centre.
        """
        return {
            centre: heartbeat.rate_by_service
            for centre, heartbeat in self._newest_by_centre(now).items()
        }

    def loads_elsewhere(self, now: float) -> dict[str, Mapping[str, float]]:
        """Return how busy upstreams of other data centres are, as told last.

        Requests in progress a slot by service, by data centre.
        """
        return {
            centre: heartbeat.load_by_service
            for centre, heartbeat in self._newest_by_centre(now).items()
        }

    def words_elsewhere(self, now: float, within_s: float) -> dict[str, Heartbeat]:
        """Return the newest heartbeat of each other data centre that tells what is asked there."""
        newest_by_centre: dict[str, Heartbeat] = {}
        for centre, peers in self._peers.elsewhere_by_centre().items():
            told = [
                peer for peer in peers if _tells_asked(peer) and now < peer.newest_at + within_s
            ]
            told.sort(key=lambda peer: peer.newest_at)
            if told and told[-1].heartbeat is not None:
                newest_by_centre[centre] = told[-1].heartbeat
        return newest_by_centre

    def tells_asked(self, centre: str) -> bool:
        """Whether a host of a data centre has told what is asked there, now or before."""
        return any(map(_tells_asked, self._peers.elsewhere_by_centre().get(centre, [])))

    def working_before(self, now: float) -> int:
        """Return how many neighbours with working watches come before this balancer."""
        rank = rank_of(self._peers.me.name)
        return sum(
            peer.heartbeat is not None
            and peer.heartbeat.direct
            and not peer.heartbeat.stopping
            and rank_of(peer.address.name) < rank
            for peer in self._peers.living(now)
        )

    def centres_before(self, now: float) -> int:
        """Return how many data centres that are heard come before the own one."""
        rank = rank_of(self._peers.me.data_centre)
        return sum(rank_of(centre) < rank for centre in self._newest_by_centre(now))

    def _newest_by_centre(self, now: float) -> dict[str, Heartbeat]:
        """Return the newest heartbeat of each other data centre that is heard."""
        newest_by_centre: dict[str, Heartbeat] = {}
        for centre, peers in self._peers.elsewhere_by_centre().items():
            fresh = [peer for peer in peers if peer.heartbeat and _is_fresh(peer, now)]
            fresh.sort(key=lambda peer: peer.newest_at)
            if fresh and fresh[-1].heartbeat is not None:
                newest_by_centre[centre] = fresh[-1].heartbeat
        return newest_by_centre

    def _told_of(self, peers: list[Peer], now: float) -> list[tuple[str, int]]:
        """Return whom of one data centre to tell: those heard first, all others in turn."""
        self._turn += 1
        salt = str(self._turn)
        heard = [peer for peer in peers if _is_fresh(peer, now)]
        heard.sort(key=lambda peer: rank_of(peer.address.name))
        others = [peer for peer in peers if not _is_fresh(peer, now)]
        others.sort(key=lambda peer: crc32((peer.address.name + salt).encode()))
        return [peer.address.address for peer in (heard + others)[:RELAYS]]


def _tells_asked(peer: Peer) -> bool:
    return peer.heartbeat is not None and peer.heartbeat.asked_by_service is not None


def _is_fresh(peer: Peer, now: float) -> bool:
    """Whether a host elsewhere was heard within a few of its intervals."""
    return peer.heard_at is not None and now < peer.heard_at + RELAY_S * SILENT_INTERVALS
