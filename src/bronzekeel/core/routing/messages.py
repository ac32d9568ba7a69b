"""Define the messages between balancers."""

from collections.abc import Mapping
from types import MappingProxyType

from bronzekeel.core.routing.answer_counts import ReportedCounts
from bronzekeel.core.routing.caller_reports import CallersReport
from bronzekeel.core.routing.model import RoutingText, UpstreamEntry


_NO_RATES: Mapping[str, float] = MappingProxyType({})
_NO_COUNTS: Mapping[int, int] = MappingProxyType({})
_NO_REPORTS: Mapping[str, CallersReport] = MappingProxyType({})


class FlowShare:
    """Hold the share of a service's new flows that another data centre gets."""

    __slots__ = ('data_centre', 'service', 'share')

    def __init__(self, service: str, data_centre: str, share: float) -> None:
        """Send `share` of the flows of `service` to `data_centre`."""
        self.service = service
        self.data_centre = data_centre
        self.share = share


class Allowance:
    """Hold how many requests of local callers another data centre has free capacity for."""

    __slots__ = ('data_centre', 'requests', 'service')

    def __init__(self, service: str, data_centre: str, requests: float) -> None:
        """Allow `requests` of `service` to be in progress at `data_centre`."""
        self.service = service
        self.data_centre = data_centre
        self.requests = requests


class ServiceDemand:
    """Hold callers' demand for a service: its request `rate` and the `unserved` requests."""

    __slots__ = ('rate', 'unserved')

    def __init__(self, rate: float, unserved: int) -> None:
        """Store requests per second, and those that wait or were refused in the last second."""
        self.rate = rate
        self.unserved = unserved


class Evacuated:
    """Name the data centres that operators have evacuated.

    The names are complete up to the store's revision `as_of`, zero if nothing is known.
    """

    __slots__ = ('as_of', 'centres')

    def __init__(self, as_of: int, centres: frozenset[str]) -> None:
        """Store the names as of a revision."""
        self.as_of = as_of
        self.centres = centres


#: Evacuations known to a balancer that has just started.
NOTHING_EVACUATED = Evacuated(0, frozenset())


class PeerAddress:
    """Hold the address at which a balancer receives messages from its peers."""

    __slots__ = ('address', 'data_centre', 'name')

    def __init__(self, name: str, data_centre: str, address: tuple[str, int]) -> None:
        """Store the address of `name`."""
        self.name = name
        self.data_centre = data_centre
        self.address = address


class Heartbeat:
    """Announce a live balancer, how new its views are, and its load.

    `text_order` is that of the text in force, `upstreams_revision` the newest change of upstreams
    that the sender knows.  `direct` is set if its own watches of the store work, `lost` if the
    store does not answer it.  `busy_by_number` has the requests in progress that it observes, by
    the short number of their upstream.  `rate_by_service` has the requests per second of its
    callers, or in messages to other data centres those of its whole data centre.  `shares` are
    those that it computed, None if it lacks reports of other data centres.  `load_by_service`
    reports to other data centres how many requests of its data centre's callers are in progress
    there, per slot.  `allowances` state the free capacity of other data centres, None if it lacks
    their reports.  `unanswered_by_number` has the number of consecutive unanswered opening packets
    of upstreams, by their short numbers.  `evacuated` has all evacuations that it knows, so that
    they need not be requested.  `callers_by_service` has the demand of callers of overloaded
    services and their admitted requests.  `counts` are the answers that the sender observed since
    its last heartbeat to neighbours, None if there are none.  `others` are peers that it knows.
    `demand_by_service` has its callers' demand for services whose demand is controlled, or in
    messages to other data centres that of its whole data centre; None if not known yet.  `hears`
    reports to neighbours the data centres from which it recently received heartbeats, `unheard`
    reports to other data centres those from which its own data centre receives none any more.
    """

    __slots__ = (
        'allowances',
        'busy_by_number',
        'callers_by_service',
        'counts',
        'demand_by_service',
        'direct',
        'evacuated',
        'hears',
        'load_by_service',
        'lost',
        'others',
        'rate_by_service',
        'sender',
        'shares',
        'stopping',
        'text_order',
        'unanswered_by_number',
        'unheard',
        'upstreams_revision',
    )

    def __init__(  # noqa: WPS211 (the fields of one message)
        self,
        sender: PeerAddress,
        text_order: int,
        upstreams_revision: int,
        busy_by_number: dict[int, int],
        others: tuple[PeerAddress, ...] = (),
        rate_by_service: Mapping[str, float] = _NO_RATES,
        shares: tuple[FlowShare, ...] | None = None,
        *,
        load_by_service: Mapping[str, float] = _NO_RATES,
        allowances: tuple[Allowance, ...] | None = None,
        evacuated: Evacuated = NOTHING_EVACUATED,
        unanswered_by_number: Mapping[int, int] = _NO_COUNTS,
        callers_by_service: Mapping[str, CallersReport] = _NO_REPORTS,
        counts: ReportedCounts | None = None,
        demand_by_service: Mapping[str, ServiceDemand] | None = None,
        hears: tuple[str, ...] = (),
        unheard: tuple[str, ...] = (),
        direct: bool = False,
        lost: bool = False,
        stopping: bool = False,
    ) -> None:
        """Store the fields as they are sent."""
        self.sender = sender
        self.text_order = text_order
        self.upstreams_revision = upstreams_revision
        self.busy_by_number = busy_by_number
        self.others = others
        self.rate_by_service = rate_by_service
        self.shares = shares
        self.load_by_service = load_by_service
        self.allowances = allowances
        self.evacuated = evacuated
        self.unanswered_by_number = unanswered_by_number
        self.callers_by_service = callers_by_service
        self.counts = counts
        self.demand_by_service = demand_by_service
        self.hears = hears
        self.unheard = unheard
        self.direct = direct
        self.lost = lost
        self.stopping = stopping

    def is_ahead_of(self, text_order: int, upstreams_revision: int) -> bool:
        """Whether its sender knew something newer than these revisions."""
        if self.text_order > text_order:
            return True
        return self.upstreams_revision > upstreams_revision


class MissingEntry:
    """Report that an upstream's `entry` was removed at `revision`.

    `gone_in_s` is the remaining time in which it may come back; `left` is set if it announced a
    drain before.
    """

    __slots__ = ('entry', 'gone_in_s', 'left', 'revision')

    def __init__(
        self,
        entry: UpstreamEntry,
        revision: int,
        gone_in_s: float,
        *,
        left: bool,
    ) -> None:
        """Store the fields as they are sent."""
        self.entry = entry
        self.revision = revision
        self.gone_in_s = gone_in_s
        self.left = left


class KnownVersions:
    """Hold what the requester of a view knows already.

    These are the order of its text, and the revisions up to which it knows every change and every
    removal of upstreams.  The last is zero for a balancer that has just started, since the store
    lists only what is present and not what was removed.
    """

    __slots__ = ('removals_revision', 'text_order', 'upstreams_revision')

    def __init__(
        self,
        text_order: int,
        upstreams_revision: int,
        removals_revision: int,
    ) -> None:
        """Store the order and the two revisions."""
        self.text_order = text_order
        self.upstreams_revision = upstreams_revision
        self.removals_revision = removals_revision


class View:
    """Hold a balancer's knowledge, or the part of it that is new to a peer.

    `text_followed` and `upstreams_followed` are the store's revisions up to which the sender has
    read; a watch can continue from there.  `text` is None if the peer has it.  `newest_revision` is
    that of the newest change of upstreams that the view accounts for, even if the sender has
    forgotten what changed.  `all_missing` is set if `missing` has all missing entries that the
    sender remembers.  It remembers every removal after `removals_since`; if the peer may have
    missed an earlier one, `listed_names` has all listed upstreams, else it is None.
    """

    __slots__ = (
        'all_missing',
        'entries',
        'listed_names',
        'missing',
        'newest_revision',
        'removals_since',
        'text',
        'text_followed',
        'upstreams_followed',
    )

    def __init__(  # noqa: WPS211 (the fields of one message)
        self,
        text: RoutingText | None,
        text_followed: int,
        entries: list[UpstreamEntry],
        missing: list[MissingEntry],
        upstreams_followed: int,
        newest_revision: int = 0,
        *,
        all_missing: bool = False,
        removals_since: int = 0,
        listed_names: frozenset[str] | None = None,
    ) -> None:
        """Store the parts of the view."""
        self.text = text
        self.text_followed = text_followed
        self.entries = entries
        self.missing = missing
        self.upstreams_followed = upstreams_followed
        self.newest_revision = newest_revision
        self.all_missing = all_missing
        self.removals_since = removals_since
        self.listed_names = listed_names
