"""Decide who watches the store for a data centre.

A few balancers of a data centre watch the store; the others learn from them.
Without that each change would cost the store a call a host and collection.  One
that hears no watcher watches for itself, so a wrong choice costs calls and never
a change.
"""

from bronzekeel.core.routing.peers import PeerTable, rank_of
from bronzekeel.core.routing.relays import Relays


#: Balancers that watch the store in all data centres together, those of one at least and at
#: most.  Source: the store may be silent towards a third of all hosts; with nine, all of them
#: are deaf in one of twenty thousand such faults.  Where the watchers of one data centre are,
#: another data centre tells it (``RELAY_S``).
TOTAL_WATCHERS = 9
MIN_WATCHERS_PER_CENTRE = 2
MAX_WATCHERS_PER_CENTRE = 3

#: Watchers, each of another data centre, that ask the store for its newest upstreams; all others
#: may be has_watcher seconds late, at a tenth of the cost to the store.  Source: two of them are
#: seldom deaf or cut off together, and what they know reaches the others within two seconds.
NEWEST_READERS = 2

#: Balancers that watch where no other data centre is known: nobody tells deaf
#: watchers there.  All but a third of the hosts must hear, and of many hosts one
#: in ``HOSTS_PER_WATCHER`` watches: with nine watchers, all are deaf in one of
#: twenty thousand such faults.
MIN_WATCHERS_SINGLE_CENTRE = 4
HOSTS_PER_WATCHER = 3

#: Balancers of a data centre that the store does not answer from which no further ones try.  What
#: goes wrong without it: in an outage each takes the place of those before it, until all hosts
#: of a large data centre call a store that is down.  Source: where the store is silent towards a
#: third of the hosts, six that are all among them are one case in seven hundred; then another
#: data centre tells what is new.
MAX_LOST_WATCHERS = 6

#: Intervals of heartbeats after which a silent host no longer counts as a watcher,
#: or as one that would become it.  What goes wrong with more: all watchers of a
#: large data centre are killed at once, and the others go by an old text until they
#: count as dead.  Source: one heartbeat that is late; a lost one makes a host too
#: many watch for a moment.
WATCHER_TIMEOUT_INTERVALS = 1.5


def watchers_needed(peers: PeerTable, now: float) -> int:
    """Return how many balancers of the data centre have to watch the store."""
    remote_centres = len(peers.remote_by_centre())
    if remote_centres:
        share = -(-TOTAL_WATCHERS // (remote_centres + 1))
        return min(max(share, MIN_WATCHERS_PER_CENTRE), MAX_WATCHERS_PER_CENTRE)
    hosts = len(peers.live_neighbours(now)) + 1
    return max(MIN_WATCHERS_SINGLE_CENTRE, -(-hosts // HOSTS_PER_WATCHER))


def is_watcher(peers: PeerTable, now: float, *, direct: bool, lost: bool) -> bool:
    """Whether this balancer has to watch the store.

    Those whose watches work do, the first by their names' hashes.  While
    they are too few, the first of the others try, until ``MAX_LOST_WATCHERS`` have tried in
    vain; one that the store does not answer (`lost`) goes on trying and takes nobody's place.
    `direct` tells that our own watches work.
    """
    rank = rank_of(peers.me.name)
    working = 0
    working_before = 0
    trying_before = 0
    trying_in_vain = 0
    for peer in peers.live_neighbours(now, WATCHER_TIMEOUT_INTERVALS):
        heartbeat = peer.heartbeat
        if heartbeat is None or heartbeat.stopping:
            continue
        before = rank_of(peer.address.name) < rank
        if heartbeat.direct:
            working += 1
            working_before += before
        elif heartbeat.lost:
            trying_in_vain += 1
        else:
            trying_before += before
    needed = watchers_needed(peers, now)
    if direct:
        return working_before < needed
    if lost:
        return working < needed
    return trying_in_vain < MAX_LOST_WATCHERS and working + trying_before < needed


def reads_newest(relays: Relays, now: float) -> bool:
    """Whether this balancer's watch of upstreams must not be stale."""
    return not relays.working_before(now) and relays.centres_before(now) < NEWEST_READERS


def has_current_watcher(
    peers: PeerTable,
    text_order: int,
    upstreams_revision: int,
    now: float,
) -> bool:
    """Whether a living watcher knows nothing newer than these revisions."""
    has_watcher = False
    for peer in peers.live_neighbours(now, WATCHER_TIMEOUT_INTERVALS):
        heartbeat = peer.heartbeat
        if heartbeat is None or not heartbeat.direct:
            continue
        if heartbeat.is_ahead_of(text_order, upstreams_revision):
            return False
        has_watcher = True
    return has_watcher
