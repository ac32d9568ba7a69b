"""Decide who watches the store for a data centre.

A few balancers of a data centre watch the store; the others learn from them.
Without that each change would cost the store a call a host and collection.  One
that hears no watcher watches for itself, so a wrong choice costs calls and never
a change.
"""

from bronzekeel.core.routing.peers import PeerTable, rank_of


#: Balancers of a data centre that watch the store.  Source: the store may be
#: silent towards a third of all hosts; with three, all of them are deaf in one of
#: 27 such faults, and then another data centre tells them (``RELAY_S``).
WATCHERS = 3

#: Balancers that watch where no other data centre is known: nobody tells deaf
#: watchers there.  All but a third of the hosts must hear, and of many hosts one
#: in ``HOSTS_A_WATCHER`` watches: with nine watchers, all are deaf in one of
#: twenty thousand such faults.
LONE_WATCHERS = 4
HOSTS_A_WATCHER = 3

#: Intervals of heartbeats after which a silent host no longer counts as a watcher,
#: or as one that would become it.  What goes wrong with more: all watchers of a
#: large data centre are killed at once, and the others go by an old text until they
#: count as dead.  Source: one heartbeat that is late; a lost one makes a host too
#: many watch for a moment.
SILENT_WATCHER_INTERVALS = 1.5


def watchers_needed(peers: PeerTable, now: float) -> int:
    """Return how many balancers of the data centre have to watch the store."""
    if peers.elsewhere_by_centre():
        return WATCHERS
    hosts = len(peers.living(now)) + 1
    return max(LONE_WATCHERS, -(-hosts // HOSTS_A_WATCHER))


def is_watcher(peers: PeerTable, now: float, *, direct: bool, lost: bool) -> bool:
    """Whether this balancer has to watch the store.

    Those whose watches work do, the first by their names' hashes.  While
    they are too few, the first of the others try; one that the store does
    not answer (`lost`) takes nobody's place.  `direct` tells that our own
    watches work.
    """
    rank = rank_of(peers.me.name)
    working = 0
    working_before = 0
    trying_before = 0
    for peer in peers.living(now, SILENT_WATCHER_INTERVALS):
        heartbeat = peer.heartbeat
        if heartbeat is None or heartbeat.stopping:
            continue
        before = rank_of(peer.address.name) < rank
        if heartbeat.direct:
            working += 1
            working_before += before
        elif not heartbeat.lost:
            trying_before += before
    needed = watchers_needed(peers, now)
    if direct:
        return working_before < needed
    if lost:
        return working < needed
    return working + trying_before < needed


def has_current_watcher(
    peers: PeerTable,
    text_revision: int,
    upstreams_revision: int,
    now: float,
) -> bool:
    """Whether a living watcher knows nothing newer than these revisions."""
    told = False
    for peer in peers.living(now, SILENT_WATCHER_INTERVALS):
        heartbeat = peer.heartbeat
        if heartbeat is None or not heartbeat.direct:
            continue
        if heartbeat.knows_more(text_revision, upstreams_revision):
            return False
        told = True
    return told
