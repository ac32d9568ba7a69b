"""Hold the steering state of one balancer."""

from dataclasses import dataclass, field

from bronzekeel.core.catalogue import ServiceSpec
from bronzekeel.core.constants import SHARDS
from bronzekeel.core.hashing import string_hash
from bronzekeel.core.messages import RecordPack
from bronzekeel.core.steering.records import RecordEntry
from bronzekeel.core.steering.registers import Register


@dataclass(slots=True)
class ServiceTable:
    """Hold the registers of one service; `targets` is the text's assignment.

    `banned` holds endpoints that now belong to another service: no packet of
    this one may reach them, whatever a register says.
    """

    name: str
    mask: int
    offset: int
    idle_s: float
    registers: list[Register | None]
    targets: list[str] = field(default_factory=list)
    spec: ServiceSpec | None = None
    banned: frozenset[str] = frozenset()

    @classmethod
    def empty(cls, name: str, buckets: int, idle_s: float) -> 'ServiceTable':
        """Return a table without registers."""
        offset = string_hash(name) % SHARDS
        return cls(name, buckets - 1, offset, idle_s, [None for _ in range(buckets)])

    def first_of(self, shard: int) -> int:
        """Return the first bucket that falls into `shard`."""
        return (shard - self.offset) % SHARDS

    def shard_of(self, bucket: int) -> int:
        """Return the shard that `bucket` falls into."""
        return (self.offset + bucket) % SHARDS


@dataclass(slots=True)
class Ownership:
    """Hold who keeps a shard; before `fence_until` the keeper starts nothing."""

    term: int = 0
    owner: str = ''
    fence_until: float = 0
    seq: int = 0
    orphaned: bool = False
    rival_term: int = 0


@dataclass(slots=True)
class Link:
    """Hold the two journals between this balancer and another.

    As a holder: `known_seq` and `lease_until` of the other's word.  As a
    keeper: `acked_seq` and `granted_until` of the word given to the other.
    """

    incarnation: int = 0
    known_seq: int = 0
    heard_seq: int = 0
    lease_until: float = 0
    acked_seq: int = 0
    granted_until: float = 0
    pull_at: float = 0


@dataclass(slots=True)
class Move:
    """Hold a shard's planned hand-over to another keeper."""

    heir: str
    term: int
    resend_at: float
    records: list[RecordEntry] = field(default_factory=list)
    given: bool = False


@dataclass(slots=True)
class Retained:
    """Hold the records of a shard that was given away, until a deadline."""

    until: float
    upstream_by_flow: dict[tuple[str, int, int], str] = field(default_factory=dict)


@dataclass(slots=True)
class Steering:
    """Hold all steering state of one balancer.

    `fenced` and `replicating` are on; failure tests and benchmarks switch one
    off to show what the mechanism is for.
    """

    me: str
    seq: int = 0
    self_until: float = 0
    fenced: bool = True
    replicating: bool = True
    dirty: bool = False
    service_by_endpoint: dict[str, str] = field(default_factory=dict)
    tables_by_key: dict[bytes, ServiceTable] = field(default_factory=dict)
    tables_by_name: dict[str, ServiceTable] = field(default_factory=dict)
    owners: list[Ownership] = field(default_factory=lambda: [Ownership() for _ in range(SHARDS)])
    links_by_host: dict[str, Link] = field(default_factory=dict)
    moves_by_shard: dict[int, Move] = field(default_factory=dict)
    retained_by_shard: dict[int, Retained] = field(default_factory=dict)
    offered_by_shard: dict[int, tuple[RecordPack, ...]] = field(default_factory=dict)
    replicas_by_shard: dict[int, dict[tuple[str, int, int], str]] = field(default_factory=dict)
    standby_by_shard: dict[int, str] = field(default_factory=dict)
    fresh_records: list[RecordEntry] = field(default_factory=list)
    replicate_at: float = 0
    due_services: set[str] = field(default_factory=set)
    due_shards: set[int] = field(default_factory=set)
    changed: list[Register] = field(default_factory=list)
    changed_shards: set[int] = field(default_factory=set)
    recount_at: float = 0
    unsettled: set[tuple[str, int]] = field(default_factory=set)

    def link(self, host: str) -> Link:
        """Return the link to `host`, made if it is new."""
        return self.links_by_host.setdefault(host, Link())

    def mark(self, register: Register) -> None:
        """Give a register the next number of the journal, to be published."""
        self.dirty = True
        register.seq = self.seq + 1
        self.changed.append(register)

    def mark_shard(self, shard: int) -> None:
        """Give a shard's ownership the next number of the journal."""
        self.dirty = True
        self.owners[shard].seq = self.seq + 1
        self.changed_shards.add(shard)

    def owns(self, shard: int) -> bool:
        """Return whether this balancer keeps `shard`."""
        return self.owners[shard].owner == self.me

    def register(self, service: str, bucket: int) -> Register | None:
        """Return a register, None when it is not known."""
        table = self.tables_by_name.get(service)
        if table is None or bucket > table.mask:
            return None
        return table.registers[bucket]

    def registers_of(self, shard: int) -> list[Register]:
        """Return the known registers of a shard."""
        found = []
        for table in self.tables_by_name.values():
            for register in table.registers[table.first_of(shard) :: SHARDS]:
                if register is not None:
                    found.append(register)
        return found
