"""Define the messages that balancers exchange.

Every message is idempotent: it describes state rather than changes to it, so
duplicated, delayed or reordered copies are harmless.  `stamp` and `echo` are
milliseconds of the clock of the host that made the stamp; only that host
compares them.
"""

from msgspec import Struct

from bronzekeel.core.catalogue import ServiceSpec


class _Message(Struct, frozen=True, array_like=True, tag=True, omit_defaults=True):
    """Base of all messages, with their common encoding options."""


class HostEntry(Struct, frozen=True, array_like=True):
    """Host of a balancer; `packets` and `peers` are UDP ports, `peers` and `callers` TCP ports."""

    name: str
    data_centre: str
    address: str
    packets: int
    peers: int
    callers: int = 0


class OwnerEntry(Struct, frozen=True, array_like=True):
    """`owner` has been the keeper of `shard` since `term`."""

    shard: int
    term: int
    owner: str


class RegisterEntry(Struct, frozen=True, array_like=True):
    """The register of one bucket.

    `stage` is a ``Stage`` value.  `flows` holds pairs of a fingerprint and an
    index into `others`, the upstreams of flows that are exceptions.
    """

    service: str
    bucket: int
    term: int
    stage: int
    base: str
    current: str
    others: tuple[str, ...] = ()
    flows: tuple[tuple[int, int], ...] = ()


class RegisterPack(Struct, frozen=True, array_like=True):
    """Buckets of a service whose registers are equal and have no exceptions.

    `buckets` holds two bytes per bucket (``bronzekeel.core.steering.packs``).
    """

    service: str
    term: int
    stage: int
    base: str
    current: str
    buckets: bytes


class RecordPack(Struct, frozen=True, array_like=True):
    """Flows of a service's unsettled buckets that are on one upstream.

    `flows` holds seven bytes per flow: two for its bucket and five for its
    fingerprint (``bronzekeel.core.steering.records``).
    """

    service: str
    upstream: str
    flows: bytes


class Heartbeat(_Message, frozen=True, tag='h'):
    """Show that the sender is alive, and renew the leases that it grants as a keeper.

    `echo` is the last stamp of the receiver that the sender has received; `seq`
    is the sender's journal position, `ack` the position of the receiver's
    journal that the sender has applied.  `unheard` names the hosts from which
    the sender receives no heartbeats.  `grants` renews the receiver's lease.
    """

    sender: str
    incarnation: int
    stamp: int
    echo: int
    seq: int
    ack: int
    generation: int
    ready: bool
    leaving: bool
    grants: bool = False
    unheard: tuple[str, ...] = ()
    host: HostEntry | None = None


class JournalPull(_Message, frozen=True, tag='p'):
    """Request all entries of a keeper's journal after `since`."""

    sender: str
    incarnation: int
    since: int


class JournalPart(_Message, frozen=True, tag='j'):
    """Entries of a keeper's journal after `after`, up to and including `seq`.

    Registers with exceptions are in `registers`, all others in `packs`.
    """

    sender: str
    incarnation: int
    after: int
    seq: int
    owners: tuple[OwnerEntry, ...] = ()
    packs: tuple[RegisterPack, ...] = ()
    registers: tuple[RegisterEntry, ...] = ()


class JournalAck(_Message, frozen=True, tag='k'):
    """Acknowledge a keeper's journal up to `seq`."""

    sender: str
    incarnation: int
    seq: int


class Replicate(_Message, frozen=True, tag='r'):
    """Copy new records of unsettled buckets to the next keeper in order."""

    sender: str
    records: tuple[RecordPack, ...]


class ShardOffer(_Message, frozen=True, tag='o'):
    """Offer a shard, with all its records, to the next keeper."""

    sender: str
    shard: int
    term: int
    records: tuple[RecordPack, ...] = ()


class ShardOfferAck(_Message, frozen=True, tag='a'):
    """Acknowledge that the records of an offered shard are stored."""

    sender: str
    shard: int
    term: int


class ShardGo(_Message, frozen=True, tag='g'):
    """Hand the shard over: the receiver is its keeper from `term` on."""

    sender: str
    shard: int
    term: int
    records: tuple[RecordPack, ...] = ()


class ShardGoAck(_Message, frozen=True, tag='y'):
    """Acknowledge a hand-over: the sender of this message now keeps the shard."""

    sender: str
    shard: int
    term: int


class TextPull(_Message, frozen=True, tag='t'):
    """Request the accepted text if it is newer than `generation`."""

    sender: str
    generation: int


class TextBody(_Message, frozen=True, tag='b'):
    """The accepted text, or its changes since the generation `since`.

    If `since` is above zero, `services` holds only new and changed services and
    `removed` the names of removed ones.  `digest` covers the whole text.
    """

    sender: str
    generation: int
    since: int
    digest: int
    services: tuple[ServiceSpec, ...] = ()
    removed: tuple[str, ...] = ()


class HostList(_Message, frozen=True, tag='l'):
    """The platform's list of hosts.

    Its version is sent as the store's incarnation and its number within it, because
    MessagePack integers have 64 bits and a version has more.
    """

    sender: str
    store_incarnation: int
    store_number: int
    hosts: tuple[HostEntry, ...]


class SlotAsk(_Message, frozen=True, tag='s'):
    """Request a slot on an upstream from the slot keeper of a service."""

    sender: str
    service: str
    request: str
    group: str
    avoid: tuple[str, ...] = ()
    wait_ms: int = 0


class SlotGrant(_Message, frozen=True, tag='u'):
    """Grant a slot on `upstream` to a request."""

    sender: str
    service: str
    request: str
    upstream: str


class SlotRefuse(_Message, frozen=True, tag='v'):
    """Refuse a slot; `kind` is a ``RefusalKind`` value."""

    sender: str
    service: str
    request: str
    kind: str
    retry_ms: int = 0


class SlotDone(_Message, frozen=True, tag='w'):
    """Return a slot; `ended` is an ``AttemptEnd`` value."""

    sender: str
    service: str
    request: str
    upstream: str
    ended: str


class SlotHeld(_Message, frozen=True, tag='x'):
    """Report a slot that the former slot keeper granted to the new one."""

    sender: str
    service: str
    request: str
    upstream: str
    wait_ms: int = 0


class ServiceState(_Message, frozen=True, tag='z'):
    """Name the services kept by the sender that cannot accept requests now."""

    sender: str
    down: tuple[str, ...]


Message = (
    Heartbeat
    | JournalPull
    | JournalPart
    | JournalAck
    | Replicate
    | ShardOffer
    | ShardOfferAck
    | ShardGo
    | ShardGoAck
    | TextPull
    | TextBody
    | HostList
    | SlotAsk
    | SlotGrant
    | SlotRefuse
    | SlotDone
    | SlotHeld
    | ServiceState
)
