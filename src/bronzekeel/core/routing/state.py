"""Hold the whole state of a balancer that steers by connection ids."""

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
from bronzekeel.core.routing.watch_duty import (
    has_current_watcher,
    is_watcher,
    reads_newest,
)


class RoutingState:
    """Hold text, upstreams, flows, peers, and how fresh each is.

    A view that was asked of a peer is awaited until `fetch_until`; a peer was
    heard to know more than this balancer does at `behind_since`, and one of another
    data centre at `told_elsewhere_at`; None when none does.  It `knows_missing` when a peer told it
    which entries the store no longer has.  It was started at `started_at`.  `demand` has what is
    learned and decided where demand is controlled, `store_record` what the store itself has
    answered.
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
        'room',
        'shared_loads',
        'started_at',
        'stopping',
        'store_record',
        'text',
        'told_elsewhere_at',
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
        """Start knowing nothing; a stop ends after `stop_within_s` at the latest.

        `admission_of` limits requests in progress, and `order_of` ranks those that wait.
        `region_by_centre` has the regions of data centres, `cold_starts` limits what cold
        upstreams get, `demand_control` says which services' demand is controlled.
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
        self.room = RemoteCapacity()
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
        self.told_elsewhere_at: float | None = None
        self.store_record = StoreRecord()
        self.started_at: float = 0

    @property
    def text_revision(self) -> int:
        """The store's revision of the text in force, zero when none is."""
        return self.text.revision if self.text else 0

    @property
    def text_order(self) -> int:
        """What orders the text in force among all others, zero when none is."""
        return self.text.order if self.text else 0

    @property
    def evacuated(self) -> Evacuated:
        """The newest that is known of evacuations."""
        return self.directory.closed_centres.told

    @property
    def incarnation(self) -> int:
        """The newest incarnation of the store that is known, from the store or a peer."""
        told = max(self.directory.newest_revision, self.evacuated.as_of)
        return max(self.store_record.incarnation or 0, incarnation_of(told))

    @property
    def epoch(self) -> tuple[int, int]:
        """What differs after a change of where packets of open flows go."""
        return self.text_revision, self.directory.changes

    @property
    def is_lost(self) -> bool:
        """Whether the store does not answer this balancer."""
        return any(follower.lost for follower in self.follower_by_collection.values())

    @property
    def controls_demand(self) -> bool:
        """Whether demand is controlled, by the setting and the text in force."""
        return self.demand.control.covers(self.text)

    def is_direct(self, now: float) -> bool:
        """Whether own watches prove that both views are as new as the store."""
        for follower in self.follower_by_collection.values():
            if not follower.is_current(now):
                return False
        return True

    def is_current(self, now: float) -> bool:
        """Whether own watches or a watching peer prove that the views are new."""
        if self.is_direct(now):
            return True
        return has_current_watcher(
            self.peers,
            self.text_order,
            self.directory.newest_revision,
            now,
        )

    def is_watcher(self, now: float) -> bool:
        """Whether this balancer has to watch the store."""
        return is_watcher(self.peers, now, direct=self.is_direct(now), lost=self.is_lost)

    def reads_stale(self, collection: Collection, now: float) -> bool:
        """Whether a watch of a collection may tell seconds late."""
        return collection is not Collection.TEXT and not reads_newest(self.relays, now)

    def is_settled(self, now: float) -> bool:
        """Whether both views are current, and lapsed entries had time to come back."""
        return now >= self.directory.unsettled_until and self.is_current(now)
