"""Choose the keeper of each shard: claims, take-over and planned hand-off.

The keeper of a shard is replicated state.  Balancers do not compute it from
their own views, since views differ, and two balancers that computed different
keepers would place the same flow on two upstreams.  A shard moves by a planned
hand-off or when its keeper is dead.  If two balancers claim a shard, the
higher term wins.
"""

from bronzekeel.core.constants import LEASE_MARGIN_S, LEASE_S, RESEND_S, RETAIN_S
from bronzekeel.core.effects import Effect, Log, Say
from bronzekeel.core.hashing import rendezvous_first
from bronzekeel.core.log_numbers import LogNumber
from bronzekeel.core.membership.state import Member, Membership
from bronzekeel.core.messages import (
    RecordPack,
    ShardGo,
    ShardGoAck,
    ShardOffer,
    ShardOfferAck,
)
from bronzekeel.core.steering.journal import records_off_base
from bronzekeel.core.steering.keeper import announce, load_records
from bronzekeel.core.steering.records import RecordEntry, pack, unpack
from bronzekeel.core.steering.registers import NO_RECORDS, FlowRecord, Register
from bronzekeel.core.steering.replicas import successor
from bronzekeel.core.steering.state import Ownership, Retained, ShardHandoff, Steering


_FENCE_S = LEASE_S + LEASE_MARGIN_S


def candidates(
    members: Membership,
    now: float,
    *,
    ready: bool,
) -> list[str]:
    """Return the hosts that may keep shards, in this balancer's view.

    If no host is ready, the whole fleet is starting, and all hosts in contact
    are candidates.
    """
    live = [member for member in members.alive if not member.leaving]
    names = [member.host.name for member in live if _is_eligible(member, now)]
    if ready and not members.leaving:
        names.append(members.me.name)
    if names:
        return names
    names = [member.host.name for member in live if now < member.contact_until]
    if not members.leaving:
        names.append(members.me.name)
    return names


def _is_eligible(member: Member, now: float) -> bool:
    return member.ready and now < member.contact_until and now >= member.stable_at


def claim_orphans(
    steering: Steering,
    members: Membership,
    names: list[str],
    now: float,
) -> list[Effect]:
    """Take over the shards without a live keeper whose successor is this balancer.

    All shards of a dead keeper go to the one host that holds the copies of its
    records.  From there they move to their assigned hosts by planned hand-off.
    """
    if now >= members.valid_until():
        return []
    mine = [
        shard
        for shard, ownership in enumerate(steering.owners)
        if not _has_live_keeper(ownership, members)
        and successor(ownership.owner or str(shard), names) == steering.me
    ]
    restored = sum(_take_over(steering, shard, now) for shard in mine)
    if not mine:
        return []
    if restored:
        detail = f'{len(mine)} shards with {restored} records'
        return [Log(LogNumber.SHARD_TAKEN_OVER, detail)]
    return [Log(LogNumber.SHARD_CLAIMED, str(len(mine)))]


def _has_live_keeper(ownership: Ownership, members: Membership) -> bool:
    """Return whether a shard has a live keeper."""
    if not ownership.owner or ownership.orphaned:
        return False
    return members.is_alive(ownership.owner)


def _take_over(steering: Steering, shard: int, now: float) -> int:
    """Become keeper of a shard without a live one; return the number of records restored.

    Changes are fenced until all leases that a dead keeper granted have expired.
    """
    ownership = steering.owners[shard]
    ownership.fence_until = now + _FENCE_S if ownership.owner else now
    _become_keeper(steering, shard, ownership.term + 1, now)
    copies = steering.replicas_by_shard.pop(shard, {})
    copies.update(_unpack_flows(steering.offered_by_shard.pop(shard, ())))
    _restore(steering, shard, copies, now)
    return len(copies)


def _become_keeper(steering: Steering, shard: int, term: int, now: float) -> None:
    """Become keeper of a shard and publish all its registers in this keeper's journal."""
    ownership = steering.owners[shard]
    ownership.owner = steering.me
    ownership.term = term
    ownership.orphaned = False
    steering.mark_shard_changed(shard)
    steering.due_shards.add(shard)
    steering.standby_by_shard.pop(shard, None)
    steering.retained_by_shard.pop(shard, None)
    for register in steering.registers_of(shard):
        register.term = term
        steering.mark_changed(register)
        if register.settled:
            continue
        table = steering.tables_by_name[register.service]
        register.announced = steering.seq + 1
        register.counted_at = now + table.idle_s
        load_records(register, table.idle_s, now)
        steering.unsettled.add((register.service, register.bucket))


def _restore(
    steering: Steering,
    shard: int,
    copies: dict[tuple[str, int, int], str],
    now: float,
) -> None:
    """Add copied records of a shard to its registers."""
    for (service, bucket, fingerprint), upstream in copies.items():
        register = steering.register(service, bucket)
        if register is None or register.shard != shard:
            continue
        _restore_record(steering, register, fingerprint, upstream, now)


def _restore_record(
    steering: Steering,
    register: Register,
    fingerprint: int,
    upstream: str,
    now: float,
) -> None:
    table = steering.tables_by_name[register.service]
    if register.settled:
        if _settled_upstream(register, fingerprint) == upstream:
            return
        announce(steering, table, register, now)
    deadline = now + table.idle_s
    register.records.setdefault(fingerprint, FlowRecord(upstream, deadline, now))


def _settled_upstream(register: Register, fingerprint: int) -> str:
    if register.exceptions is None:
        return register.base
    return register.exceptions.get(fingerprint) or register.base


def move_shards(
    steering: Steering,
    members: Membership,
    names: list[str],
    now: float,
) -> list[Effect]:
    """Offer shards to the hosts that should keep them, and repeat unconfirmed steps."""
    effects: list[Effect] = []
    for shard, ownership in enumerate(steering.owners):
        handoff = steering.handoffs_by_shard.get(shard)
        if handoff is not None:
            effects.extend(_retry_handoff(steering, members, shard, handoff, now))
            continue
        if ownership.owner != steering.me:
            continue
        new_keeper = _find_new_keeper(steering, shard, names)
        if new_keeper is None:
            continue
        handoff = ShardHandoff(new_keeper, ownership.term + 1, now + RESEND_S)
        steering.handoffs_by_shard[shard] = handoff
        effects.append(_offer(steering, shard, handoff))
    return effects


def _find_new_keeper(steering: Steering, shard: int, names: list[str]) -> str | None:
    """Return the host that should keep the shard.

    None if that is this balancer, or if the host has not yet applied the newest
    entry of this keeper's journal.
    """
    new_keeper = rendezvous_first(str(shard), names)
    if new_keeper is None or new_keeper == steering.me:
        return None
    return new_keeper if steering.link(new_keeper).acked_seq == steering.seq else None


def _offer(steering: Steering, shard: int, handoff: ShardHandoff) -> Say:
    records: list[RecordEntry] = []
    for register in steering.registers_of(shard):
        records.extend(records_off_base(register))
    handoff.records.clear()
    offer = ShardOffer(steering.me, shard, handoff.term, pack(records))
    return Say(handoff.new_keeper, offer)


def _retry_handoff(
    steering: Steering,
    members: Membership,
    shard: int,
    handoff: ShardHandoff,
    now: float,
) -> list[Effect]:
    """Repeat the unconfirmed step of a hand-off, or cancel it if the new keeper is dead."""
    if not members.is_alive(handoff.new_keeper):
        steering.handoffs_by_shard.pop(shard)
        steering.due_shards.add(shard)
        return []
    if now < handoff.resend_at:
        return []
    handoff.resend_at = now + RESEND_S
    if handoff.given:
        return [_send_records(steering, shard, handoff)]
    return [_offer(steering, shard, handoff)]


def _send_records(steering: Steering, shard: int, handoff: ShardHandoff) -> Say:
    return Say(handoff.new_keeper, ShardGo(steering.me, shard, handoff.term, pack(handoff.records)))


def on_offer(steering: Steering, offer: ShardOffer, now: float) -> list[Effect]:
    """Store the records of an offered shard.

    If this balancer is the shard's keeper already, it adds them to the
    registers.  An offer with an outdated term is ignored.
    """
    ownership = steering.owners[offer.shard]
    if ownership.owner == steering.me:
        _restore(steering, offer.shard, _unpack_flows(offer.records), now)
        return []
    if offer.term <= ownership.term:
        return []
    steering.offered_by_shard[offer.shard] = offer.records
    return [Say(offer.sender, ShardOfferAck(steering.me, offer.shard, offer.term))]


def _unpack_flows(packs: tuple[RecordPack, ...]) -> dict[tuple[str, int, int], str]:
    return {
        (record.service, record.bucket, record.fingerprint): record.upstream
        for record in unpack(packs)
    }


def on_offer_ack(
    steering: Steering,
    ack: ShardOfferAck,
    now: float,
) -> list[Effect]:
    """Transfer the shard; this balancer adds no more records to it.

    The new owner is published in the journal, so that leases of this keeper no
    longer cover the shard once the current ones have expired.
    """
    handoff = steering.handoffs_by_shard.get(ack.shard)
    if handoff is None or handoff.given or handoff.term != ack.term:
        return []
    if not steering.owns(ack.shard):
        return []
    handoff.given = True
    handoff.resend_at = now + RESEND_S
    retained = Retained(now + RETAIN_S)
    for register in steering.registers_of(ack.shard):
        _retain(retained, register)
        register.records = NO_RECORDS
        steering.unsettled.discard((register.service, register.bucket))
    steering.retained_by_shard[ack.shard] = retained
    ownership = steering.owners[ack.shard]
    ownership.owner = handoff.new_keeper
    ownership.term = handoff.term
    steering.mark_shard_changed(ack.shard)
    return [
        _send_records(steering, ack.shard, handoff),
        Log(LogNumber.SHARD_GIVEN, handoff.new_keeper),
    ]


def _retain(retained: Retained, register: Register) -> None:
    for fingerprint, record in register.records.items():
        flow = (register.service, register.bucket, fingerprint)
        retained.upstream_by_flow[flow] = record.upstream


def on_go(
    steering: Steering,
    go: ShardGo,
    now: float,
) -> list[Effect]:
    """Become keeper of a shard at the end of a planned hand-off.

    If this balancer is keeper already, or the term is outdated, the message is
    only confirmed.
    """
    ack = Say(go.sender, ShardGoAck(steering.me, go.shard, go.term))
    ownership = steering.owners[go.shard]
    is_keeper = ownership.owner == steering.me and ownership.term >= go.term
    if is_keeper or ownership.term > go.term:
        return [ack]
    offered = steering.offered_by_shard.pop(go.shard, ())
    ownership.fence_until = now + _FENCE_S
    _become_keeper(steering, go.shard, go.term, now)
    _restore(steering, go.shard, _unpack_flows(offered + go.records), now)
    return [ack]


def on_go_ack(steering: Steering, ack: ShardGoAck) -> list[Effect]:
    """Remove a completed hand-off."""
    handoff = steering.handoffs_by_shard.get(ack.shard)
    if handoff is not None and handoff.term == ack.term:
        steering.handoffs_by_shard.pop(ack.shard)
    return []
