"""Select the balancers that watch the store for a data centre.

A few balancers of each data centre watch the store and the others learn from them.  Without this,
each change would cost one store call per host and collection.  A balancer that receives nothing
from a watcher watches for itself, so a wrong selection costs extra calls but never misses a change.
"""

from bronzekeel.core.routing.peers import PeerTable, rank_of
from bronzekeel.core.routing.relays import Relays


#: Number of balancers that watch the store over all data centres, and the minimum and maximum per
#: data centre.  The store may be unresponsive to a third of all hosts; with nine watchers, all of
#: them are stalled in one of twenty thousand such faults.  If all watchers of one data centre are
#: stalled, another data centre reports the change (``RELAY_S``).
TOTAL_WATCHERS = 9
MIN_WATCHERS_PER_CENTRE = 2
MAX_WATCHERS_PER_CENTRE = 3

#: Watchers, each in a different data centre, that read upstreams from the store without staleness.
#: All others may learn of changes seconds late, at a tenth of the cost to the store.  Two of them
#: are seldom stalled or cut off together, and what they know reaches the others within two seconds.
NEWEST_READERS = 2

#: Minimum number of watchers where no other data centre is known, since no other data centre can
#: report changes to stalled watchers there.  All but a third of the hosts must receive changes, and
#: of many hosts one in ``HOSTS_PER_WATCHER`` watches: with nine watchers, all are stalled in one of
#: twenty thousand such faults.
MIN_WATCHERS_SINGLE_CENTRE = 4
HOSTS_PER_WATCHER = 3

#: Number of balancers without an answer from the store at which no further ones try.  Without this
#: limit, each balancer takes over from those before it in an outage, until all hosts of a large
#: data centre call a store that is down.  If the store is unresponsive to a third of the hosts, six
#: that are all among them are one case in seven hundred; then another data centre reports what is
#: new.
MAX_LOST_WATCHERS = 6

#: Heartbeat intervals after which a host that sent no heartbeat no longer counts as a watcher or as
#: a candidate.  One late heartbeat is tolerated; after a lost one, one host too many watches for a
#: moment.  With a larger value, if all watchers of a large data centre are killed at once, the
#: others would use an outdated text until they time the watchers out.
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

    Balancers whose watches work are selected in the order of their names' hashes.  While there are
    too few of them, the first of the others try, until ``MAX_LOST_WATCHERS`` have tried in vain.  A
    balancer that the store does not answer (`lost`) keeps trying without displacing others.
    `direct` is true if this balancer's own watches work.
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
    """Whether this balancer must read upstreams from the store without staleness."""
    return not relays.working_before(now) and relays.centres_before(now) < NEWEST_READERS


def has_current_watcher(
    peers: PeerTable,
    text_order: int,
    upstreams_revision: int,
    now: float,
) -> bool:
    """Whether there is a live watcher, and none that knows more than these revisions."""
    has_watcher = False
    for peer in peers.live_neighbours(now, WATCHER_TIMEOUT_INTERVALS):
        heartbeat = peer.heartbeat
        if heartbeat is None or not heartbeat.direct:
            continue
        if heartbeat.is_ahead_of(text_order, upstreams_revision):
            return False
        has_watcher = True
    return has_watcher
