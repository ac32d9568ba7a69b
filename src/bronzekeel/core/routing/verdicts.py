"""Define what can become of a packet that carries a connection id."""

from enum import StrEnum

from bronzekeel.core.routing.flows import Flow
from bronzekeel.core.routing.model import Upstream


class Reason(StrEnum):
    """Name why a packet was dropped or answered by a reset."""

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

    `connection_id` is to be written into an opening packet; zero leaves the
    packet as the caller wrote it.  With `flow` the verdict holds for all
    ordinary packets of that flow, for as long as the flow is live and the
    state's `epoch` stays the same.
    """

    __slots__ = ('connection_id', 'flow', 'upstream')

    def __init__(
        self,
        upstream: Upstream,
        connection_id: int = 0,
        flow: Flow | None = None,
    ) -> None:
        """Deliver to `upstream`."""
        self.upstream = upstream
        self.connection_id = connection_id
        self.flow = flow


class Reset:
    """Tell the caller at once that its flow has no upstream."""

    __slots__ = ('reason',)

    def __init__(self, reason: Reason) -> None:
        """Reset for `reason`."""
        self.reason = reason


class Discard:
    """Drop a packet and count it by its reason."""

    __slots__ = ('reason',)

    def __init__(self, reason: Reason) -> None:
        """Drop for `reason`."""
        self.reason = reason


class Wait:
    """Keep a packet until its request has room."""

    __slots__ = ()


Verdict = Deliver | Reset | Discard | Wait
