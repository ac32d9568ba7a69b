"""Replicate the registers of keepers to their peers through a journal.

A keeper numbers its changes.  It renews the lease of a follower only if the
follower has applied the newest number, so a valid lease means that nothing
has changed since.  Entries hold states rather than operations: a pull returns
everything that changed after a given number, in any order, and applying an
entry twice has no further effect.
"""

from bronzekeel.core.constants import LEASE_S, RESEND_S
from bronzekeel.core.effects import Effect, Log, Say
from bronzekeel.core.log_numbers import LogNumber
from bronzekeel.core.membership.reducer import MILLISECONDS
from bronzekeel.core.membership.state import Membership
from bronzekeel.core.messages import (
    Heartbeat,
    JournalAck,
    JournalPart,
    JournalPull,
    OwnerEntry,
    RegisterEntry,
    ShardOffer,
)
from bronzekeel.core.steering.packs import pack_part, unpack_part
from bronzekeel.core.steering.records import RecordEntry, pack
from bronzekeel.core.steering.registers import NO_RECORDS, Register, Stage
from bronzekeel.core.steering.state import Link, Ownership, ServiceTable, Steering


def on_heartbeat(
    steering: Steering,
    members: Membership,
    heartbeat: Heartbeat,
    now: float,
) -> list[Effect]:
    """Extend the lease on the sender's registers, or pull missing journal entries."""
    link = steering.link(heartbeat.sender)
    if heartbeat.incarnation < link.incarnation:
        return []
    if heartbeat.incarnation > link.incarnation:
        _reset_journal(steering, heartbeat, link)
    link.acked_seq = max(link.acked_seq, heartbeat.ack)
    link.announced_seq = max(link.announced_seq, heartbeat.seq)
    if heartbeat.grants and heartbeat.echo and heartbeat.seq == link.applied_seq:
        until = heartbeat.echo / MILLISECONDS + LEASE_S
        link.lease_until = max(link.lease_until, until)
    steering.self_valid_until = members.valid_until()
    if link.applied_seq >= heartbeat.seq or now < link.pull_at:
        return []
    link.pull_at = now + RESEND_S
    return [Say(heartbeat.sender, JournalPull(steering.me, link.incarnation, link.applied_seq))]


def _reset_journal(steering: Steering, heartbeat: Heartbeat, link: Link) -> None:
    """Reset the link to a keeper with a new incarnation.

    If the keeper was known under an earlier incarnation it has restarted and
    lost its registers, so its shards are marked as orphaned.
    """
    restarted = link.incarnation != 0
    link.incarnation = heartbeat.incarnation
    link.applied_seq = 0
    link.announced_seq = 0
    link.lease_until = 0
    link.acked_seq = 0
    if not restarted:
        return
    for ownership in steering.owners:
        if ownership.owner == heartbeat.sender:
            ownership.orphaned = True


def try_renew_lease(steering: Steering, host: str, now: float) -> bool:
    """Return whether a heartbeat to `host` may renew its lease, and record the grant.

    The lease is not renewed if the host has not confirmed the newest entry, or
    while there are changes that are not published yet.  Otherwise the lease
    could outlive an announcement that the host never received.
    """
    link = steering.link(host)
    if link.acked_seq != steering.seq or steering.dirty:
        return False
    link.granted_until = now + LEASE_S
    return True


def part_since(
    steering: Steering,
    incarnation: int,
    since: int,
) -> JournalPart:
    """Return all entries of this keeper that changed after number `since`."""
    owners = []
    registers: list[RegisterEntry] = []
    for shard, ownership in enumerate(steering.owners):
        if ownership.seq > since:
            owners.append(OwnerEntry(shard, ownership.term, ownership.owner))
        if ownership.owner != steering.me:
            continue
        for register in steering.registers_of(shard):
            if register.seq > since:
                registers.append(register.entry())
    return pack_part(steering.me, incarnation, since, steering.seq, owners, registers)


def on_pull(
    steering: Steering,
    pull: JournalPull,
    incarnation: int,
) -> list[Effect]:
    """Send a follower the entries that it lacks.

    A pull for another incarnation of this balancer is ignored.
    """
    if pull.incarnation != incarnation:
        return []
    return [Say(pull.sender, part_since(steering, incarnation, pull.since))]


def on_ack(steering: Steering, ack: JournalAck, incarnation: int) -> list[Effect]:
    """Record the newest entry that a follower has applied."""
    if ack.incarnation == incarnation:
        link = steering.link(ack.sender)
        link.acked_seq = max(link.acked_seq, ack.seq)
    return []


def publish(steering: Steering, members: Membership) -> list[Effect]:
    """Assign the next number to all pending changes and send them to every live member."""
    since = steering.seq
    steering.seq += 1
    steering.dirty = False
    owners = tuple(
        OwnerEntry(shard, steering.owners[shard].term, steering.owners[shard].owner)
        for shard in sorted(steering.changed_shards)
    )
    registers = tuple(
        register.entry() for register in steering.changed if steering.owns(register.shard)
    )
    steering.changed_shards.clear()
    steering.changed.clear()
    part = pack_part(
        steering.me,
        members.incarnation,
        since,
        steering.seq,
        owners,
        registers,
    )
    return [Say(name, part) for name in members.alive_names]


def apply_part(
    steering: Steering,
    part: JournalPart,
    *,
    text_outdated: bool,
) -> list[Effect]:
    """Apply a keeper's entries and confirm them.

    `text_outdated` states that this balancer's text is older than the keeper's.
    Entries of services that it does not know yet would then be lost, so such a
    part is left unconfirmed and pulled again later.
    """
    link = steering.link(part.sender)
    if part.incarnation != link.incarnation:
        return []
    entries = list(unpack_part(part))
    if text_outdated and any(entry.service not in steering.tables_by_name for entry in entries):
        return []
    effects: list[Effect] = []
    if part.after > link.applied_seq:
        return [Say(part.sender, JournalPull(steering.me, link.incarnation, link.applied_seq))]
    for owner in part.owners:
        effects.extend(_apply_owner(steering, owner))
    for entry in entries:
        _apply_register(steering, part.sender, entry)
    link.applied_seq = max(link.applied_seq, part.seq)
    link.announced_seq = max(link.announced_seq, part.seq)
    effects.append(Say(part.sender, JournalAck(steering.me, link.incarnation, link.applied_seq)))
    return effects


def _apply_owner(steering: Steering, entry: OwnerEntry) -> list[Effect]:
    """Accept a keeper with a higher term, and give up the shard if it was kept here.

    An entry that names this balancer as the new keeper may arrive before the
    hand-off itself.  It is ignored, since this balancer becomes keeper only
    when it has the records.
    """
    ownership = steering.owners[entry.shard]
    if entry.owner == steering.me:
        return []
    if (entry.term, entry.owner) <= (ownership.term, ownership.owner):
        if ownership.owner == steering.me and entry.term >= ownership.rival_term:
            _republish(steering, entry)
        return []
    effects: list[Effect] = []
    if ownership.owner == steering.me:
        effects.append(_relinquish(steering, entry, ownership))
        effects.append(Log(LogNumber.SHARD_LOST, entry.owner))
    ownership.term = entry.term
    ownership.owner = entry.owner
    ownership.orphaned = False
    return effects


def _republish(steering: Steering, entry: OwnerEntry) -> None:
    """Publish the shard's registers again after a claim by an outranked keeper.

    Without this, peers that accepted the rival would retain its registers, and
    would hand packets of buckets that are settled here to the keeper for ever.
    """
    steering.owners[entry.shard].rival_term = entry.term + 1
    steering.mark_shard_changed(entry.shard)
    for register in steering.registers_of(entry.shard):
        steering.mark_changed(register)


def _relinquish(
    steering: Steering,
    entry: OwnerEntry,
    ownership: Ownership,
) -> Say:
    """Clear the records of a shard and return an offer of them to its new keeper.

    Both sides of a partitioned fleet may have placed flows.  Without this, the
    flows of the side that loses the shard would be lost when the partition
    heals.
    """
    records = []
    for register in steering.registers_of(entry.shard):
        records.extend(records_off_base(register))
        register.records = NO_RECORDS
        steering.unsettled.discard((register.service, register.bucket))
    steering.handoffs_by_shard.pop(entry.shard, None)
    ownership.seq = 0
    offer = ShardOffer(steering.me, entry.shard, entry.term, pack(records))
    return Say(entry.owner, offer)


def records_off_base(register: Register) -> list[RecordEntry]:
    """Return the records of a bucket whose upstream is not the base."""
    return [
        RecordEntry(register.service, register.bucket, fingerprint, record.upstream)
        for fingerprint, record in register.records.items()
        if record.upstream != register.base
    ]


def _apply_register(steering: Steering, sender: str, entry: RegisterEntry) -> None:
    """Apply a register entry if the sender is the shard's keeper and its term is not outdated."""
    table = steering.tables_by_name.get(entry.service)
    if table is None or entry.bucket > table.mask:
        return
    shard = table.shard_of(entry.bucket)
    ownership = steering.owners[shard]
    if ownership.owner != sender or entry.term < ownership.term:
        return
    register = table.registers[entry.bucket]
    if register is None:
        register = Register(
            entry.service,
            entry.bucket,
            shard,
            0,
            Stage.ANNOUNCED,
            entry.base,
            entry.current,
        )
        table.registers[entry.bucket] = register
    register.apply(entry)
    ban_reused(steering, table, register)
    if register.settled:
        _drop_copies(steering, register)


def ban_reused(steering: Steering, table: ServiceTable, register: Register) -> None:
    """Ban endpoints in a register that now belong to another service.

    Without this, packets would reach the wrong service when an address is
    reassigned while a register still refers to it.
    """
    used = {register.base, register.current}
    used.update(register.exceptions.upstreams if register.exceptions else ())
    reused = {
        endpoint
        for endpoint in used
        if steering.service_by_endpoint.get(endpoint, table.name) != table.name
    }
    if reused:
        table.banned |= reused


def _drop_copies(steering: Steering, register: Register) -> None:
    """Discard the replicated records of a settled bucket."""
    copies = steering.replicas_by_shard.get(register.shard)
    if not copies:
        return
    for flow in list(copies):
        if flow[0] == register.service and flow[1] == register.bucket:
            copies.pop(flow)
