"""Decide who keeps each shard: claims, take-over, planned hand-over.

The keeper of a shard is part of the agreed state and not computed from each
balancer's own view: views differ, and two balancers that computed two keepers
would place one flow twice.  A shard moves by a planned hand-over, or when its
keeper is dead; the higher term wins where two claim it.
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
from bronzekeel.core.steering.journal import off_base
from bronzekeel.core.steering.keeper import announce, load_records
from bronzekeel.core.steering.records import RecordEntry, pack, unpack
from bronzekeel.core.steering.registers import NO_RECORDS, FlowRecord, Register
from bronzekeel.core.steering.replicas import successor
from bronzekeel.core.steering.state import Move, Ownership, Retained, Steering


_FENCE_S = LEASE_S + LEASE_MARGIN_S


def candidates(
    members: Membership,
    now: float,
    *,
    ready: bool,
) -> list[str]:
    """Return the hosts that may keep shards, in this balancer's view.

    While nobody is ready, a whole fleet is starting: then all in contact may.
    """
    living = [member for member in members.alive if not member.leaving]
    names = [member.host.name for member in living if _fit(member, now)]
    if ready and not members.leaving:
        names.append(members.me.name)
    if names:
        return names
    names = [member.host.name for member in living if now < member.contact_until]
    if not members.leaving:
        names.append(members.me.name)
    return names


def _fit(member: Member, now: float) -> bool:
    return member.ready and now < member.contact_until and now >= member.stable_at


def claim_orphans(
    steering: Steering,
    members: Membership,
    names: list[str],
    now: float,
) -> list[Effect]:
    """Take the shards whose keeper is dead and that fall to this balancer.

    All shards of a dead keeper fall to the one host that holds its copies;
    from there they move to their places in the planned way.
    """
    if now >= members.valid_until():
        return []
    mine = [
        shard
        for shard, ownership in enumerate(steering.owners)
        if not _in_office(ownership, members)
        and successor(ownership.owner or str(shard), names) == steering.me
    ]
    inherited = sum(_inherit(steering, shard, now) for shard in mine)
    if not mine:
        return []
    if inherited:
        detail = f'{len(mine)} shards with {inherited} records'
        return [Log(LogNumber.SHARD_TAKEN_OVER, detail)]
    return [Log(LogNumber.SHARD_CLAIMED, str(len(mine)))]


def _in_office(ownership: Ownership, members: Membership) -> bool:
    """Return whether a shard has a living keeper."""
    if not ownership.owner or ownership.orphaned:
        return False
    return members.is_alive(ownership.owner)


def _inherit(steering: Steering, shard: int, now: float) -> int:
    """Enter office for a shard without a keeper; return the records inherited.

    A dead keeper's leases are waited out before anything is started.
    """
    ownership = steering.owners[shard]
    ownership.fence_until = now + _FENCE_S if ownership.owner else now
    _take(steering, shard, ownership.term + 1, now)
    copies = steering.replicas_by_shard.pop(shard, {})
    copies.update(_flows(steering.offered_by_shard.pop(shard, ())))
    _restore(steering, shard, copies, now)
    return len(copies)


def _take(steering: Steering, shard: int, term: int, now: float) -> None:
    """Enter office: all registers of the shard go into this keeper's journal."""
    ownership = steering.owners[shard]
    ownership.owner = steering.me
    ownership.term = term
    ownership.orphaned = False
    steering.mark_shard(shard)
    steering.due_shards.add(shard)
    steering.standby_by_shard.pop(shard, None)
    steering.retained_by_shard.pop(shard, None)
    for register in steering.registers_of(shard):
        register.term = term
        steering.mark(register)
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
    """Enter the copied records of a shard into its registers."""
    for (service, bucket, fingerprint), upstream in copies.items():
        register = steering.register(service, bucket)
        if register is None or register.shard != shard:
            continue
        _enter(steering, register, fingerprint, upstream, now)


def _enter(
    steering: Steering,
    register: Register,
    fingerprint: int,
    upstream: str,
    now: float,
) -> None:
    table = steering.tables_by_name[register.service]
    if register.settled:
        if _direct_upstream(register, fingerprint) == upstream:
            return
        announce(steering, table, register, now)
    deadline = now + table.idle_s
    register.records.setdefault(fingerprint, FlowRecord(upstream, deadline, now))


def _direct_upstream(register: Register, fingerprint: int) -> str:
    if register.exceptions is None:
        return register.base
    return register.exceptions.get(fingerprint) or register.base


def move_shards(
    steering: Steering,
    members: Membership,
    names: list[str],
    now: float,
) -> list[Effect]:
    """Offer shards that belong to another host by now; repeat what is unconfirmed."""
    effects: list[Effect] = []
    for shard, ownership in enumerate(steering.owners):
        move = steering.moves_by_shard.get(shard)
        if move is not None:
            effects.extend(_press(steering, members, shard, move, now))
            continue
        if ownership.owner != steering.me:
            continue
        heir = _heir(steering, shard, names)
        if heir is None:
            continue
        move = Move(heir, ownership.term + 1, now + RESEND_S)
        steering.moves_by_shard[shard] = move
        effects.append(_offer(steering, shard, move))
    return effects


def _heir(steering: Steering, shard: int, names: list[str]) -> str | None:
    """Return another host that should keep the shard and knows its registers."""
    heir = rendezvous_first(str(shard), names)
    if heir is None or heir == steering.me:
        return None
    return heir if steering.link(heir).acked_seq == steering.seq else None


def _offer(steering: Steering, shard: int, move: Move) -> Say:
    records: list[RecordEntry] = []
    for register in steering.registers_of(shard):
        records.extend(off_base(register))
    move.records.clear()
    offer = ShardOffer(steering.me, shard, move.term, pack(records))
    return Say(move.heir, offer)


def _press(
    steering: Steering,
    members: Membership,
    shard: int,
    move: Move,
    now: float,
) -> list[Effect]:
    """Repeat the step of a hand-over that was not confirmed, or call it off."""
    if not members.is_alive(move.heir):
        steering.moves_by_shard.pop(shard)
        steering.due_shards.add(shard)
        return []
    if now < move.resend_at:
        return []
    move.resend_at = now + RESEND_S
    if move.given:
        return [_go(steering, shard, move)]
    return [_offer(steering, shard, move)]


def _go(steering: Steering, shard: int, move: Move) -> Say:
    return Say(move.heir, ShardGo(steering.me, shard, move.term, pack(move.records)))


def on_offer(steering: Steering, offer: ShardOffer, now: float) -> list[Effect]:
    """Hold an offered shard's records; merge them if the shard is kept already."""
    ownership = steering.owners[offer.shard]
    if ownership.owner == steering.me:
        _restore(steering, offer.shard, _flows(offer.records), now)
        return []
    if offer.term <= ownership.term:
        return []
    steering.offered_by_shard[offer.shard] = offer.records
    return [Say(offer.sender, ShardOfferAck(steering.me, offer.shard, offer.term))]


def _flows(packs: tuple[RecordPack, ...]) -> dict[tuple[str, int, int], str]:
    return {
        (record.service, record.bucket, record.fingerprint): record.upstream
        for record in unpack(packs)
    }


def on_offer_ack(
    steering: Steering,
    ack: ShardOfferAck,
    now: float,
) -> list[Effect]:
    """Give the shard away: from here on this balancer records nothing for it.

    The owner entry goes into the journal, so that no lease of this keeper
    covers the shard any longer once the present ones have lapsed.
    """
    move = steering.moves_by_shard.get(ack.shard)
    if move is None or move.given or move.term != ack.term:
        return []
    if not steering.owns(ack.shard):
        return []
    move.given = True
    move.resend_at = now + RESEND_S
    retained = Retained(now + RETAIN_S)
    for register in steering.registers_of(ack.shard):
        _retain(retained, register)
        register.records = NO_RECORDS
        steering.unsettled.discard((register.service, register.bucket))
    steering.retained_by_shard[ack.shard] = retained
    ownership = steering.owners[ack.shard]
    ownership.owner = move.heir
    ownership.term = move.term
    steering.mark_shard(ack.shard)
    return [_go(steering, ack.shard, move), Log(LogNumber.SHARD_GIVEN, move.heir)]


def _retain(retained: Retained, register: Register) -> None:
    for fingerprint, record in register.records.items():
        flow = (register.service, register.bucket, fingerprint)
        retained.upstream_by_flow[flow] = record.upstream


def on_go(
    steering: Steering,
    go: ShardGo,
    now: float,
) -> list[Effect]:
    """Enter office after a planned hand-over."""
    ack = Say(go.sender, ShardGoAck(steering.me, go.shard, go.term))
    ownership = steering.owners[go.shard]
    held = ownership.owner == steering.me and ownership.term >= go.term
    if held or ownership.term > go.term:
        return [ack]
    offered = steering.offered_by_shard.pop(go.shard, ())
    ownership.fence_until = now + _FENCE_S
    _take(steering, go.shard, go.term, now)
    _restore(steering, go.shard, _flows(offered + go.records), now)
    return [ack]


def on_go_ack(steering: Steering, ack: ShardGoAck) -> list[Effect]:
    """Close a hand-over."""
    move = steering.moves_by_shard.get(ack.shard)
    if move is not None and move.term == ack.term:
        steering.moves_by_shard.pop(ack.shard)
    return []
