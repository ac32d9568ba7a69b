"""Define the effects that the reducer asks the adapters to carry out."""

from msgspec import Struct

from bronzekeel.core.messages import Message
from bronzekeel.core.outcomes import NotRun, Unknown


class Forward(Struct, frozen=True):
    """Send a packet to an upstream's host.

    `stale` marks a decision that no valid lease covers.
    """

    upstream: str
    raw: bytes = b''
    stale: bool = False


class Hand(Struct, frozen=True):
    """Hand a packet off to another balancer."""

    host: str
    raw: bytes = b''
    hops: int = 0


class Drop(Struct, frozen=True):
    """Drop a packet and count it by `reason` (``DropReason`` value)."""

    reason: str


class Say(Struct, frozen=True):
    """Send a message to another balancer."""

    host: str
    message: Message


class Log(Struct, frozen=True):
    """Log a numbered event with its details."""

    number: int
    detail: str = ''


class Stopped(Struct, frozen=True):
    """Report that nothing depends on this balancer any more, so its process may exit."""


class Reserved(Struct, frozen=True):
    """Return a reserved request id to the caller."""

    request: str


class Attempt(Struct, frozen=True):
    """Send a request to an upstream."""

    request: str
    upstream: str
    deadline: float


class Cancel(Struct, frozen=True):
    """Cancel the attempt of a request at its upstream."""

    request: str


class Relay(Struct, frozen=True):
    """Relay a caller's request to the balancer that issued its id."""

    request: str
    host: str


class Watch(Struct, frozen=True):
    """Start or stop the watch on the platform's object."""

    active: bool


class InForce(Struct, frozen=True):
    """Report that a generation of the text is in force on this balancer."""

    generation: int


class Settle(Struct, frozen=True):
    """Return the outcome of a request that produced no answer to its caller."""

    request: str
    outcome: NotRun | Unknown


Effect = (
    Forward
    | Hand
    | Drop
    | Say
    | Log
    | Stopped
    | Reserved
    | Attempt
    | Cancel
    | Settle
    | Relay
    | Watch
    | InForce
)
