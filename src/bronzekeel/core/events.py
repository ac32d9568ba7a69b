"""Define the events that the reducer of a balancer handles."""

from msgspec import Struct

from bronzekeel.core.catalogue import Catalogue
from bronzekeel.core.messages import HostEntry, Message


class _Event(Struct, frozen=True, tag=True):
    """Base of all events, with their common options."""


class Packet(Struct, frozen=True):
    """A parsed packet: the hash of its flow, its flags and its bytes.

    `service` is the key of the service's address and port (``service_key``);
    `opens` and `closes` mark packets that open or close a flow.
    """

    service: bytes
    hashed: int
    opens: bool
    closes: bool
    raw: bytes = b''
    hops: int = 0


class Ticked(_Event, frozen=True):
    """``TICK_S`` has passed since the last tick."""


class PeerSaid(_Event, frozen=True):
    """A message from another balancer arrived."""

    message: Message


class PacketArrived(_Event, frozen=True):
    """A packet arrived whose verdict changes state."""

    packet: Packet


class TextAccepted(_Event, frozen=True):
    """A version of the text was received from the platform or a peer."""

    catalogue: Catalogue
    from_platform: bool = False


class HostsListed(_Event, frozen=True):
    """The list of hosts, from the platform; version 0 is a seed list."""

    hosts: tuple[HostEntry, ...]
    version: int = 0


class StopAsked(_Event, frozen=True):
    """The operator asked for a planned stop of this balancer."""


class ReserveAsked(_Event, frozen=True):
    """A caller asked for an id for one request."""

    service: str
    deadline: float


class RunAsked(_Event, frozen=True):
    """A caller asked to run the request with the id `request`."""

    request: str
    service: str
    group: str
    idempotent: bool
    deadline: float


class AttemptEnded(_Event, frozen=True):
    """An attempt at an upstream ended; `ended` is an ``AttemptEnd`` value."""

    request: str
    upstream: str
    ended: str


class CallerGone(_Event, frozen=True):
    """The caller cancelled its request or closed its connection."""

    request: str


class HealthHint(_Event, frozen=True):
    """An upstream's health endpoint reported whether the upstream serves."""

    service: str
    upstream: str
    serving: bool


Event = (
    Ticked
    | PeerSaid
    | PacketArrived
    | TextAccepted
    | HostsListed
    | StopAsked
    | ReserveAsked
    | RunAsked
    | AttemptEnded
    | CallerGone
    | HealthHint
)
