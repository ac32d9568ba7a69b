"""Change registers as their keeper.

A change of a bucket goes through three steps: the keeper announces it, acts on
it by placing new flows on the new upstream, and settles it once every live
flow of the bucket has been counted.

Between the first two steps stands the fence: the keeper acts only when every
balancer has confirmed the announcement or has lost the lease that it needs to
forward by itself.  Without the fence, the keeper could place a new flow on the
new upstream while another balancer still forwards packets of the bucket to the
old one, which resets the flow at its next packet.
"""

from bronzekeel.core.constants import (
    LEASE_MARGIN_S,
    MAX_EXCEPTIONS,
    RECOUNT_S,
    SHARDS,
    SYN_REPEAT_S,
)
from bronzekeel.core.steering.registers import NO_RECORDS, FlowMap, FlowRecord, Register, Stage
from bronzekeel.core.steering.state import ServiceTable, Steering


#: Interval between searches for buckets whose exceptions are due for a recount.
_RECOUNT_CHECK_S = 30.0


def adopt_targets(steering: Steering, now: float) -> int:
    """Start the changes that the text requires; return how many buckets move.

    Checks only services whose specification changed, and shards that this
    balancer has begun to keep or whose hand-off postponed the change.
    """
    moved = 0
    if not steering.due_services and not steering.due_shards:
        return moved
    services = steering.due_services
    shards = steering.due_shards
    steering.due_services = set()
    steering.due_shards = set()
    for table in steering.tables_by_name.values():
        if table.name in services:
            moved += _adopt(steering, table, range(len(table.targets)), now)
            continue
        for shard in sorted(shards):
            buckets = range(table.first_of(shard), len(table.targets), SHARDS)
            moved += _adopt(steering, table, buckets, now)
    return moved


def _adopt(steering: Steering, table: ServiceTable, buckets: range, now: float) -> int:
    """Set the targets of `buckets`; return how many of them got another upstream."""
    moved = 0
    for bucket in buckets:
        shard = table.shard_of(bucket)
        if not steering.owns(shard):
            continue
        if shard in steering.handoffs_by_shard:
            steering.due_shards.add(shard)
            continue
        moved += _adopt_one(steering, table, bucket, now)
    return moved


def _adopt_one(steering: Steering, table: ServiceTable, bucket: int, now: float) -> int:
    target = table.targets[bucket]
    register = table.registers[bucket]
    if register is None:
        shard = table.shard_of(bucket)
        term = steering.owners[shard].term
        register = Register(table.name, bucket, shard, term, Stage.SETTLED, target, target)
        table.registers[bucket] = register
        steering.mark_changed(register)
        return 0
    if register.current == target:
        return 0
    if register.settled:
        announce(steering, table, register, now)
    register.current = target
    steering.mark_changed(register)
    return 1


def announce(
    steering: Steering,
    table: ServiceTable,
    register: Register,
    now: float,
) -> None:
    """Announce a change of a settled bucket and turn its exceptions into records.

    From then on other balancers hand the bucket's packets to the keeper.
    """
    register.stage = Stage.ANNOUNCED
    register.announced = steering.seq + 1
    load_records(register, table.idle_s, now)
    steering.mark_changed(register)
    steering.unsettled.add((register.service, register.bucket))


def load_records(register: Register, idle_s: float, now: float) -> None:
    """Add published exceptions to the records, with new deadlines."""
    if register.records is NO_RECORDS:
        register.records = {}
    for fingerprint, upstream in register.exceptions or ():
        register.records.setdefault(
            fingerprint,
            FlowRecord(upstream, now + idle_s, now + SYN_REPEAT_S),
        )


def advance(steering: Steering, now: float, *, may_settle: bool) -> int:
    """Advance unsettled buckets to their next stage; return how many registers changed.

    Buckets are settled only if `may_settle` is true.  Buckets in a hand-off
    stay as they are.
    """
    changed = 0
    for service, bucket in sorted(steering.unsettled):
        register = steering.register(service, bucket)
        if register is None or not steering.owns(register.shard):
            steering.unsettled.discard((service, bucket))
            continue
        if register.shard in steering.handoffs_by_shard:
            continue
        changed += _advance_one(steering, register, now, may_settle=may_settle)
    return changed


def _advance_one(
    steering: Steering,
    register: Register,
    now: float,
    *,
    may_settle: bool,
) -> int:
    """Act on an announced change, or settle a bucket whose flows have all been counted."""
    if register.stage is Stage.ANNOUNCED:
        if not _fence_open(steering, register, now):
            return 0
        register.stage = Stage.ACTING
        register.counted_at = now + steering.tables_by_name[register.service].idle_s
        steering.mark_changed(register)
        return 1
    if may_settle and now >= register.counted_at:
        return _settle(steering, register, now)
    return 0


def _fence_open(steering: Steering, register: Register, now: float) -> bool:
    """Return whether no other balancer can still forward by the former register."""
    if not steering.fenced:
        return True
    if now < steering.owners[register.shard].fence_until:
        return False
    for link in steering.links_by_host.values():
        if link.acked_seq >= register.announced:
            continue
        if now < link.granted_until + LEASE_MARGIN_S:
            return False
    return True


def _settle(steering: Steering, register: Register, now: float) -> int:
    """Settle a bucket, with the flows on other upstreams as exceptions.

    Every live flow of the base has a record by now, since all packets have
    gone to the keeper for the idle timeout of the service.  A bucket with more
    than `MAX_EXCEPTIONS` such flows stays unsettled.
    """
    exceptions = [
        (fingerprint, record.upstream)
        for fingerprint, record in register.records.items()
        if record.upstream != register.current and record.expires_at > now
    ]
    if len(exceptions) > MAX_EXCEPTIONS:
        return 0
    register.base = register.current
    register.exceptions = FlowMap(exceptions) if exceptions else None
    register.stage = Stage.SETTLED
    register.records = NO_RECORDS
    register.recount_at = now + RECOUNT_S
    steering.mark_changed(register)
    steering.unsettled.discard((register.service, register.bucket))
    return 1


def recount(steering: Steering, now: float) -> int:
    """Reopen buckets whose exceptions are old; return how many were reopened.

    No balancer tracks the end of a flow that is an exception of a settled
    bucket.  Without a recount, exceptions of closed flows would accumulate.
    """
    if now < steering.recount_at:
        return 0
    steering.recount_at = now + _RECOUNT_CHECK_S
    due = [
        (table, register)
        for table in steering.tables_by_name.values()
        for register in table.registers
        if register is not None and _recountable(steering, register, now)
    ]
    for table, register in due:
        announce(steering, table, register, now)
    return len(due)


def _recountable(steering: Steering, register: Register, now: float) -> bool:
    if not register.settled or not register.exceptions or now < register.recount_at:
        return False
    return steering.owns(register.shard) and register.shard not in steering.handoffs_by_shard


def count_overdue(steering: Steering, now: float) -> int:
    """Return how many buckets are still unsettled an idle timeout after their count ended."""
    late = 0
    for service, bucket in steering.unsettled:
        register = steering.register(service, bucket)
        if register is not None and register.stage is Stage.ACTING:
            late += int(now > register.counted_at + steering.tables_by_name[service].idle_s)
    return late
