"""Define the verdicts on packets that carry a connection id."""

from enum import StrEnum

from bronzekeel.core.routing.flows import Flow
from bronzekeel.core.routing.model import Upstream


class Reason(StrEnum):
    """Name why a packet was dropped or answered with a reset."""

    NO_ROUTE = 'no_route'
    NO_TEXT = 'no_text'
    NO_UPSTREAM = 'no_upstream'
    NO_CONNECTION_ID = 'no_connection_id'
    UNKNOWN_CONNECTION_ID = 'unknown_connection_id'
    UPSTREAM_GONE = 'upstream_gone'
    OVERLOADED = 'overloaded'
    ABOVE_SHARE = 'above_share'
    GIVEN_UP = 'given_up'


class Deliver:
    """Send a packet to an upstream.

    `connection_id` is written into an opening packet; zero leaves the packet
    unchanged.  With `flow` the verdict applies to all ordinary packets of that
    flow, as long as the flow is live and the state's `epoch` stays the same.
    """

    __slots__ = ('connection_id', 'flow', 'upstream')

    def __init__(
        self,
        upstream: Upstream,
        connection_id: int = 0,
        flow: Flow | None = None,
    ) -> None:
        """Deliver the packet to `upstream`."""
        self.upstream = upstream
        self.connection_id = connection_id
        self.flow = flow


class Reset:
    """Answer the packet with a reset, so that the caller does not wait for a timeout."""

    __slots__ = ('reason',)

    def __init__(self, reason: Reason) -> None:
        """Reset the flow for `reason`."""
        self.reason = reason


class Discard:
    """Drop a packet without an answer, and count it by reason."""

    __slots__ = ('reason',)

    def __init__(self, reason: Reason) -> None:
        """Drop the packet for `reason`."""
        self.reason = reason


class Wait:
    """Hold a packet until there is free capacity for its request."""

    __slots__ = ()


Verdict = Deliver | Reset | Discard | Wait
