"""Change registers as their keeper: announce, act, count, settle.

What goes wrong without the fence: a keeper places a new flow on the new
upstream while another balancer still forwards that bucket's packets to the
old one; the flow breaks at its next packet.  It shows as resets from the old
upstream.  So a change is announced first, and acted on only when every
balancer has confirmed it or has lost the lease it would need to forward.
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


#: Interval at which old exceptions are looked for.
_RECOUNT_CHECK_S = 30.0


def adopt_targets(steering: Steering, now: float) -> int:
    """Start the changes that the text asks for; return how many buckets move.

    Only services with a new text and shards that are newly kept are looked at.
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
    """Return how many of the buckets start to move or change where they move to."""
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
    """Take a settled bucket's packets to the keeper; its exceptions become records."""
    register.stage = Stage.ANNOUNCED
    register.announced = steering.seq + 1
    load_records(register, table.idle_s, now)
    steering.mark_changed(register)
    steering.unsettled.add((register.service, register.bucket))


def load_records(register: Register, idle_s: float, now: float) -> None:
    """Turn published exceptions into records with fresh deadlines."""
    if register.records is NO_RECORDS:
        register.records = {}
    for fingerprint, upstream in register.exceptions or ():
        register.records.setdefault(
            fingerprint,
            FlowRecord(upstream, now + idle_s, now + SYN_REPEAT_S),
        )


def advance(steering: Steering, now: float, *, may_settle: bool) -> int:
    """Move unsettled buckets on; return how many registers changed."""
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
    """Act on an announced change, or settle one that has been counted out."""
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
    """Return whether nobody can still forward by the settled register."""
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
    """Publish the flows that stay elsewhere as exceptions of a settled bucket.

    By now every flow of the base that lives has been seen, since its packets
    came to the keeper for as long as a flow may be silent.
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
    """Reopen buckets whose exceptions are old, so that closed flows are dropped.

    What goes wrong otherwise: nobody sees the end of a flow that a settled
    bucket excepts, and a season of closed flows stays in memory.
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
    """Return how many buckets stay unsettled past the time they were counted."""
    late = 0
    for service, bucket in steering.unsettled:
        register = steering.register(service, bucket)
        if register is not None and register.stage is Stage.ACTING:
            late += int(now > register.counted_at + steering.tables_by_name[service].idle_s)
    return late
