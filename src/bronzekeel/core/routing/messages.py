"""Define what balancers tell each other."""

from collections.abc import Mapping
from types import MappingProxyType

from bronzekeel.core.routing.answer_counts import ToldCounts
from bronzekeel.core.routing.caller_reports import CallersReport
from bronzekeel.core.routing.model import RoutingText, UpstreamEntry


_NO_RATES: Mapping[str, float] = MappingProxyType({})
_NOBODY: Mapping[int, int] = MappingProxyType({})
_NO_WORDS: Mapping[str, CallersReport] = MappingProxyType({})


class FlowShare:
    """Say which share of a service's new flows another data centre is to get."""

    __slots__ = ('data_centre', 'service', 'share')

    def __init__(self, service: str, data_centre: str, share: float) -> None:
        """Send `share` of the flows of `service` to `data_centre`."""
        self.service = service
        self.data_centre = data_centre
        self.share = share


class Allowance:
    """Say how many requests of a data centre's callers another one has room for."""

    __slots__ = ('data_centre', 'requests', 'service')

    def __init__(self, service: str, data_centre: str, requests: float) -> None:
        """Let `requests` of `service` be in progress at `data_centre`."""
        self.service = service
        self.data_centre = data_centre
        self.requests = requests


class Asked:
    """Say what callers ask of a service: requests a second, and how many `lacking` room."""

    __slots__ = ('lacking', 'rate')

    def __init__(self, rate: float, lacking: int) -> None:
        """Keep the `rate`; `lacking` counts those that wait or were refused in the last second."""
        self.rate = rate
        self.lacking = lacking


class Evacuated:
    """Name the data centres that operators have evacuated.

    It is whole up to the store's revision `as_of`, zero if nothing is known.
    """

    __slots__ = ('as_of', 'centres')

    def __init__(self, as_of: int, centres: frozenset[str]) -> None:
        """Keep the names as they were at a revision."""
        self.as_of = as_of
        self.centres = centres


#: What a balancer goes by that has just started.
NOTHING_EVACUATED = Evacuated(0, frozenset())


class PeerAddress:
    """Say where a balancer takes what its peers tell."""

    __slots__ = ('address', 'data_centre', 'name')

    def __init__(self, name: str, data_centre: str, address: tuple[str, int]) -> None:
        """Keep where `name` is found."""
        self.name = name
        self.data_centre = data_centre
        self.address = address


class Heartbeat:
    """Tell that a balancer lives, how new its views are, and its load.

    `text_order` is of the text in force there, `upstreams_revision` of the newest change that it
    knows.  `direct` tells that its own watches of the store work, `lost` that
    the store does not answer it.
    `busy_by_number` has the requests in progress that it sees, by the short
    number of their upstream.  `rate_by_service` has the requests a second of its
    callers, or to other data centres those of all its data centre.  `shares` are
    those that it reckoned, None if it has heard too little from other data centres.
    `load_by_service` tells other data centres how many requests of its data centre's callers
    are in progress there, for each slot.  `allowances` say what others have room for, None if it
    has heard too little from them.  `unanswered_by_number` says how many opening packets in a row
    upstreams left unanswered, by their short numbers.  `evacuated` says what it knows of
    evacuations: all of it, so that nobody has to ask.  `callers_by_service` says what callers of
    services that are short asked for and were given.  `counts` are the answers that its sender saw
    since it last told neighbours, None if there is none.  `others` are peers that it knows.
    `asked_by_service` says what its callers ask of services whose demand is controlled, or to
    other data centres those of all its data centre; None if it does not know yet.  `hears` tells
    neighbours which data centres it has heard of late, `unheard` tells other data centres which
    ones nobody in its own hears any more.
    """

    __slots__ = (
        'allowances',
        'asked_by_service',
        'busy_by_number',
        'callers_by_service',
        'counts',
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
        unanswered_by_number: Mapping[int, int] = _NOBODY,
        callers_by_service: Mapping[str, CallersReport] = _NO_WORDS,
        counts: ToldCounts | None = None,
        asked_by_service: Mapping[str, Asked] | None = None,
        hears: tuple[str, ...] = (),
        unheard: tuple[str, ...] = (),
        direct: bool = False,
        lost: bool = False,
        stopping: bool = False,
    ) -> None:
        """Keep the fields as they are sent."""
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
        self.asked_by_service = asked_by_service
        self.hears = hears
        self.unheard = unheard
        self.direct = direct
        self.lost = lost
        self.stopping = stopping

    def knows_more(self, text_order: int, upstreams_revision: int) -> bool:
        """Whether its sender knew something newer than these revisions."""
        if self.text_order > text_order:
            return True
        return self.upstreams_revision > upstreams_revision


class MissingEntry:
    """Tell that an upstream's `entry` was removed at `revision`.

    `gone_in_s` is how much longer it may come back; `left` that it announced
    its leaving before.
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
        """Keep what is known of the missing entry."""
        self.entry = entry
        self.revision = revision
        self.gone_in_s = gone_in_s
        self.left = left


class Known:
    """Say what the asker of a view knows already.

    The order of its text, the revisions of the newest change of upstreams and of the newest
    removal; the last is zero for one that has just started, which learns from the
    store what is listed and not what was.
    """

    __slots__ = ('removals_revision', 'text_order', 'upstreams_revision')

    def __init__(
        self,
        text_order: int,
        upstreams_revision: int,
        removals_revision: int,
    ) -> None:
        """Keep the order and the two revisions."""
        self.text_order = text_order
        self.upstreams_revision = upstreams_revision
        self.removals_revision = removals_revision


class View:
    """Hold what a balancer knows, or what of it is new to a peer.

    `text_followed` and `upstreams_followed` are the store's revisions up to
    which the teller has read; from there a watch can go on.  `text` is None if
    the peer has it.  `newest_revision` is of the newest change of upstreams that
    the view accounts for; the teller may have forgotten what changed.  `all_missing` tells
    that `missing` has all that the teller remembers.
    """

    __slots__ = (
        'all_missing',
        'entries',
        'missing',
        'newest_revision',
        'text',
        'text_followed',
        'upstreams_followed',
    )

    def __init__(
        self,
        text: RoutingText | None,
        text_followed: int,
        entries: list[UpstreamEntry],
        missing: list[MissingEntry],
        upstreams_followed: int,
        newest_revision: int = 0,
        *,
        all_missing: bool = False,
    ) -> None:
        """Keep the parts of the view."""
        self.text = text
        self.text_followed = text_followed
        self.entries = entries
        self.missing = missing
        self.upstreams_followed = upstreams_followed
        self.newest_revision = newest_revision
        self.all_missing = all_missing
