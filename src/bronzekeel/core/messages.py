"""Define what one balancer says to another.

Every message is idempotent: it states what is, so a repeated, late or crossed
copy is harmless.  `stamp` and `echo` are milliseconds of the clock of the host
that made the stamp and are compared only there.
"""

from msgspec import Struct

from bronzekeel.core.catalogue import ServiceSpec


class _Message(Struct, frozen=True, array_like=True, tag=True, omit_defaults=True):
    """Carry the options that all messages share."""


class HostEntry(Struct, frozen=True, array_like=True):
    """Describe a balancer's host; `packets` and `peers` are
    UDP ports, `peers` and `callers` TCP ports."""

    name: str
    data_centre: str
    address: str
    packets: int
    peers: int
    callers: int = 0


class OwnerEntry(Struct, frozen=True, array_like=True):
    """State that `owner` keeps `shard` since `term`."""

    shard: int
    term: int
    owner: str


class RegisterEntry(Struct, frozen=True, array_like=True):
    """State the register of one bucket.

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
    """State buckets of a service whose registers are equal, without exceptions.

    `buckets` holds two bytes a bucket (``bronzekeel.core.steering.packs``).
    """

    service: str
    term: int
    stage: int
    base: str
    current: str
    buckets: bytes


class RecordPack(Struct, frozen=True, array_like=True):
    """State which flows of a service's unsettled buckets are on an upstream.

    `flows` holds seven bytes a flow: two of its bucket, five of its
    fingerprint (``bronzekeel.core.steering.records``).
    """

    service: str
    upstream: str
    flows: bytes


class Heartbeat(_Message, frozen=True, tag='h'):
    """Show that the sender lives, and renew the word it gives as a keeper.

    `echo` is the last stamp of the receiver that the sender has seen; `seq`
    is the sender's journal position, `ack` the position of the receiver's
    journal that the sender has applied.  `unheard` names the listed hosts
    that the sender does not hear.  `grants` renews the receiver's lease.
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
    """Ask a keeper for all entries after `since`."""

    sender: str
    incarnation: int
    since: int


class JournalPart(_Message, frozen=True, tag='j'):
    """Give the entries of a keeper's journal after `after` up to `seq`.

    Registers with exceptions stand in `registers`, all others in `packs`.
    """

    sender: str
    incarnation: int
    after: int
    seq: int
    owners: tuple[OwnerEntry, ...] = ()
    packs: tuple[RegisterPack, ...] = ()
    registers: tuple[RegisterEntry, ...] = ()


class JournalAck(_Message, frozen=True, tag='k'):
    """Confirm a keeper's journal up to `seq`."""

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
    """Confirm that an offered shard's records are held."""

    sender: str
    shard: int
    term: int


class ShardGo(_Message, frozen=True, tag='g'):
    """Give the shard away: the receiver keeps it from `term` on."""

    sender: str
    shard: int
    term: int
    records: tuple[RecordPack, ...] = ()


class ShardGoAck(_Message, frozen=True, tag='y'):
    """Confirm that the receiver keeps the shard."""

    sender: str
    shard: int
    term: int


class TextPull(_Message, frozen=True, tag='t'):
    """Ask for the accepted text if it is newer than `generation`."""

    sender: str
    generation: int


class TextBody(_Message, frozen=True, tag='b'):
    """Give the accepted text, or what changed in it since `since`.

    With `since` above zero, `services` holds only what is new or different
    then, `removed` the names that are gone.  `digest` is that of the whole.
    """

    sender: str
    generation: int
    since: int
    digest: int
    services: tuple[ServiceSpec, ...] = ()
    removed: tuple[str, ...] = ()


class HostList(_Message, frozen=True, tag='l'):
    """Give the platform's list of hosts.

    Its version is told as the platform's incarnation and own number: MessagePack's whole numbers
    have 64 bits, and a version has more.
    """

    sender: str
    store_incarnation: int
    store_number: int
    hosts: tuple[HostEntry, ...]


class SlotAsk(_Message, frozen=True, tag='s'):
    """Ask the slot keeper of a service for a slot on an upstream."""

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
    """Return a slot and tell how the attempt ended (``AttemptEnd`` value)."""

    sender: str
    service: str
    request: str
    upstream: str
    ended: str


class SlotHeld(_Message, frozen=True, tag='x'):
    """Tell a new slot keeper of a slot that the former one granted."""

    sender: str
    service: str
    request: str
    upstream: str
    wait_ms: int = 0


class ServiceState(_Message, frozen=True, tag='z'):
    """Name the services of the sender's that cannot take work now."""

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
