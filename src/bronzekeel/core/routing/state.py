"""Define the state of a balancer that steers by connection ids."""

from collections.abc import Mapping

from bronzekeel.core.routing.admission import Admission, RequestsPerSlot
from bronzekeel.core.routing.balance import Balance
from bronzekeel.core.routing.caller_queue import CallerFairOrder
from bronzekeel.core.routing.cold_starts import ColdStarts
from bronzekeel.core.routing.demand import Demand
from bronzekeel.core.routing.demand_control import DemandControl
from bronzekeel.core.routing.directory import Directory
from bronzekeel.core.routing.eligibility import NO_REGIONS, Eligibility
from bronzekeel.core.routing.flows import FlowTable
from bronzekeel.core.routing.follower import Collection, Follower
from bronzekeel.core.routing.messages import Evacuated
from bronzekeel.core.routing.model import RoutingText
from bronzekeel.core.routing.overflow import RemoteCapacity
from bronzekeel.core.routing.overload import OverloadWatch
from bronzekeel.core.routing.peers import PeerTable
from bronzekeel.core.routing.relays import Relays
from bronzekeel.core.routing.revisions import incarnation_of
from bronzekeel.core.routing.shared_load import SharedLoads
from bronzekeel.core.routing.stopping import Stopping
from bronzekeel.core.routing.store_record import StoreRecord
from bronzekeel.core.routing.waiting import WaitingOrder, WaitingRequests
from bronzekeel.core.routing.watcher_selection import (
    has_current_watcher,
    is_watcher,
    reads_newest,
)
from bronzekeel.core.store_waits import CONFIRM_INTERVAL_S, WATCH_WAIT_S


class RoutingState:
    """Hold text, upstreams, flows and peers, and how fresh each of them is.

    A view requested from a peer is awaited until `fetch_until`.  `behind_since` is when a peer's
    heartbeat first announced newer data than this balancer has, `remote_behind_since` the same
    for a peer of a remote data centre; both are None while no peer is ahead.
    `knows_missing` is set once a peer has reported which entries the store no longer has.
    `started_at` is when the balancer started.  `demand` holds what is learned and decided where
    demand is controlled, `store_record` what the store itself has answered.
    """

    __slots__ = (
        'admission',
        'balance',
        'behind_since',
        'demand',
        'directory',
        'eligibility',
        'fetch_until',
        'flows',
        'follower_by_collection',
        'forget_at',
        'knows_missing',
        'overloads',
        'peers',
        'ready',
        'relays',
        'remote_behind_since',
        'remote_capacity',
        'shared_loads',
        'started_at',
        'stopping',
        'store_record',
        'text',
        'waiting',
    )

    def __init__(
        self,
        peers: PeerTable,
        stop_within_s: float,
        admission_of: type[Admission] = RequestsPerSlot,
        order_of: type[WaitingOrder] = CallerFairOrder,
        region_by_centre: Mapping[str, str] = NO_REGIONS,
        cold_starts: ColdStarts | None = None,
        demand_control: DemandControl | None = None,
    ) -> None:
        """Start with an empty state; a stop takes at most `stop_within_s` seconds.

        `admission_of` is the class that limits requests in progress, `order_of` the class that
        ranks waiting requests.  `region_by_centre` maps data centres to regions, `cold_starts`
        limits the load on cold upstreams, and `demand_control` selects the services whose demand
        is controlled.
        """
        self.demand = Demand(demand_control or DemandControl())
        self.peers = peers
        self.relays = Relays(peers)
        self.text: RoutingText | None = None
        self.directory = Directory()
        self.eligibility = Eligibility(
            self.directory,
            cold_starts or ColdStarts(peers),
            region_by_centre,
        )
        self.flows = FlowTable(self.demand.capacities.counts)
        self.shared_loads = SharedLoads()
        self.balance = Balance(peers.me.name)
        self.remote_capacity = RemoteCapacity()
        self.waiting = WaitingRequests(order_of())
        self.overloads = OverloadWatch()
        self.admission = admission_of(
            peers.me.data_centre,
            self.directory,
            peers,
            self.balance.meter,
        )
        self.follower_by_collection = {
            collection: Follower(collection, peers.me.name) for collection in Collection
        }
        self.stopping = Stopping(stop_within_s)
        self.ready = False
        self.knows_missing = False
        self.forget_at: float = 0
        self.fetch_until: float = 0
        self.behind_since: float | None = None
        self.remote_behind_since: float | None = None
        self.store_record = StoreRecord()
        self.started_at: float = 0

    @property
    def text_revision(self) -> int:
        """The store's revision of the text in force, zero without a text."""
        return self.text.revision if self.text else 0

    @property
    def text_order(self) -> int:
        """The sort key of the text in force among all texts, zero without a text."""
        return self.text.order if self.text else 0

    @property
    def upstreams_complete(self) -> int:
        """The revision up to which every change of upstreams is known."""
        if self.directory.has_gaps:
            return self.directory.newest_revision
        followed = self.follower_by_collection[Collection.UPSTREAMS].revision
        return max(self.directory.newest_revision, followed)

    @property
    def evacuated(self) -> Evacuated:
        """The newest known set of evacuated data centres."""
        return self.directory.evacuated_centres.reported

    @property
    def incarnation(self) -> int:
        """The newest known incarnation of the store, as read from the store or a peer."""
        newest = max(self.directory.newest_revision, self.evacuated.as_of)
        return max(self.store_record.incarnation or 0, incarnation_of(newest))

    @property
    def epoch(self) -> tuple[int, int]:
        """A value that changes whenever the destinations of open flows may have changed."""
        return self.text_revision, self.directory.changes

    @property
    def is_lost(self) -> bool:
        """Whether the store does not answer this balancer on some collection."""
        return any(follower.lost for follower in self.follower_by_collection.values())

    @property
    def controls_demand(self) -> bool:
        """Whether demand is controlled according to the settings and the text in force."""
        return self.demand.control.covers(self.text)

    def is_direct(self, now: float) -> bool:
        """Whether this balancer's own watches prove that all its collections are current."""
        for follower in self.follower_by_collection.values():
            if not follower.is_current(now):
                return False
        return True

    def is_current(self, now: float) -> bool:
        """Whether this balancer's own watches or those of a peer prove that its data is current."""
        if self.is_direct(now):
            return True
        return has_current_watcher(
            self.peers,
            self.text_order,
            self.directory.newest_revision,
            now,
        )

    def is_watcher(self, now: float) -> bool:
        """Whether it is this balancer's duty to watch the store."""
        return is_watcher(self.peers, now, direct=self.is_direct(now), lost=self.is_lost)

    def reads_newest(self, now: float) -> bool:
        """Whether this balancer must read all collections without staleness."""
        return reads_newest(self.relays, now)

    def reads_stale(self, collection: Collection, now: float) -> bool:
        """Whether a watch of a collection may report changes seconds late."""
        return collection is not Collection.TEXT and not self.reads_newest(now)

    def watch_wait_s(self, collection: Collection, now: float) -> float:
        """Return the seconds that a watch of a collection waits for a change.

        Each answer shows the store's newest revision, which confirms all collections while the
        store does not change.  So the watches of a balancer that reads the newest state end in
        turn, one in each ``CONFIRM_INTERVAL_S``.
        """
        if not self.reads_newest(now):
            return WATCH_WAIT_S
        ends_at = now
        if not self.follower_by_collection[collection].store_changes:
            for due_at in self._other_watch_ends(collection, now):
                if due_at <= ends_at + CONFIRM_INTERVAL_S:
                    ends_at = due_at
        return ends_at + CONFIRM_INTERVAL_S - now

    def confirm_views(self, store_revision: int, now: float) -> None:
        """Record the store's newest revision; it confirms views that are complete up to there."""
        for follower in self.follower_by_collection.values():
            if not follower.stale and follower.revision >= store_revision:
                follower.confirmed_at = now

    def is_settled(self, now: float) -> bool:
        """Whether all data is current, and lapsed entries had time to come back."""
        return now >= self.directory.grace_until and self.is_current(now)

    def _other_watch_ends(self, collection: Collection, now: float) -> list[float]:
        """Return when the watches of the other collections end, in order."""
        return sorted(
            follower.due_at
            for other, follower in self.follower_by_collection.items()
            if other is not collection and follower.confirms_at_end(now)
        )
