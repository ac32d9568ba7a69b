"""Steering state of one balancer."""

from dataclasses import dataclass, field

from bronzekeel.core.catalogue import ServiceSpec
from bronzekeel.core.constants import SHARDS
from bronzekeel.core.hashing import string_hash
from bronzekeel.core.messages import RecordPack
from bronzekeel.core.steering.records import RecordEntry
from bronzekeel.core.steering.registers import Register


@dataclass(slots=True)
class ServiceTable:
    """Registers of one service.

    `targets` is the assignment of buckets to endpoints by the text.  `banned`
    contains endpoints that now belong to another service; no packet of this
    service may reach them, even if a register still refers to them.
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
        """Return the first bucket of `shard`."""
        return (shard - self.offset) % SHARDS

    def shard_of(self, bucket: int) -> int:
        """Return the shard of `bucket`."""
        return (self.offset + bucket) % SHARDS


@dataclass(slots=True)
class Ownership:
    """Keeper of a shard and its term.

    The keeper acts on no change before `fence_until`.  `seq` is the journal
    number of the last change of ownership.  `orphaned` marks a shard whose
    keeper has restarted and lost its state.  Claims with a term below
    `rival_term` have been answered already.
    """

    term: int = 0
    owner: str = ''
    fence_until: float = 0
    seq: int = 0
    orphaned: bool = False
    rival_term: int = 0


@dataclass(slots=True)
class Link:
    """State of the journals that this balancer and a peer exchange.

    For the peer's journal: `announced_seq` and `applied_seq` are the newest
    entries announced by the peer and applied here, and `lease_until` is the end
    of the lease that the peer granted.  For this balancer's journal:
    `acked_seq` is the newest entry that the peer confirmed, and `granted_until`
    the end of the lease granted to it.
    """

    incarnation: int = 0
    applied_seq: int = 0
    announced_seq: int = 0
    lease_until: float = 0
    acked_seq: int = 0
    granted_until: float = 0
    pull_at: float = 0


@dataclass(slots=True)
class ShardHandoff:
    """Planned hand-off of a shard to another keeper.

    `records` are those added since the offer was sent.  `given` is set once the
    new keeper has confirmed the offer and the shard has been transferred.
    """

    new_keeper: str
    term: int
    resend_at: float
    records: list[RecordEntry] = field(default_factory=list)
    given: bool = False


@dataclass(slots=True)
class Retained:
    """Records of a shard that was handed off, retained until a deadline."""

    until: float
    upstream_by_flow: dict[tuple[str, int, int], str] = field(default_factory=dict)


@dataclass(slots=True)
class Steering:
    """All steering state of one balancer.

    `fenced` and `replicating` are always on in production; failure tests and
    benchmarks disable one of them to show its effect.
    """

    me: str
    seq: int = 0
    self_valid_until: float = 0
    fenced: bool = True
    replicating: bool = True
    dirty: bool = False
    service_by_endpoint: dict[str, str] = field(default_factory=dict)
    tables_by_key: dict[bytes, ServiceTable] = field(default_factory=dict)
    tables_by_name: dict[str, ServiceTable] = field(default_factory=dict)
    owners: list[Ownership] = field(default_factory=lambda: [Ownership() for _ in range(SHARDS)])
    links_by_host: dict[str, Link] = field(default_factory=dict)
    handoffs_by_shard: dict[int, ShardHandoff] = field(default_factory=dict)
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
        """Return the link to `host`; create it if it does not exist."""
        return self.links_by_host.setdefault(host, Link())

    def mark_changed(self, register: Register) -> None:
        """Assign the next journal number to a register and queue it for publication."""
        self.dirty = True
        register.seq = self.seq + 1
        self.changed.append(register)

    def mark_shard_changed(self, shard: int) -> None:
        """Assign the next journal number to a shard's ownership and queue it for publication."""
        self.dirty = True
        self.owners[shard].seq = self.seq + 1
        self.changed_shards.add(shard)

    def owns(self, shard: int) -> bool:
        """Return whether this balancer keeps `shard`."""
        return self.owners[shard].owner == self.me

    def register(self, service: str, bucket: int) -> Register | None:
        """Return a register, or None if it is unknown."""
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
