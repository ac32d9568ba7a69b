"""Hold the whole state of a balancer that steers by connection ids."""

from bronzekeel.core.routing.directory import Directory
from bronzekeel.core.routing.flows import FlowTable
from bronzekeel.core.routing.follower import Collection, Follower
from bronzekeel.core.routing.model import RoutingText
from bronzekeel.core.routing.stopping import Stopping


class RoutingState:
    """Hold text, upstreams, flows and how fresh each is.

    `host` names this balancer; its name spreads retries over time.
    """

    __slots__ = (
        'directory',
        'flows',
        'follower_by_collection',
        'forget_at',
        'host',
        'ready',
        'stopping',
        'text',
    )

    def __init__(self, host: str, stop_within_s: float) -> None:
        """Start knowing nothing; a stop ends after `stop_within_s` at the latest."""
        self.host = host
        self.text: RoutingText | None = None
        self.directory = Directory()
        self.flows = FlowTable()
        self.follower_by_collection = {
            collection: Follower(collection, host) for collection in Collection
        }
        self.stopping = Stopping(stop_within_s)
        self.ready = False
        self.forget_at: float = 0

    def is_current(self, now: float) -> bool:
        """Whether both views are known to be as new as the store."""
        for follower in self.follower_by_collection.values():
            if not follower.is_current(now):
                return False
        return True

    def is_settled(self, now: float) -> bool:
        """Whether both views are current, and lapsed entries had time to come back."""
        return now >= self.directory.unsettled_until and self.is_current(now)
