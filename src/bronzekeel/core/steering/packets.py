"""Choose the verdict on a packet: forward it, hand it to its keeper, or drop it.

``steer`` does not change the state.  It returns None if the decision would,
and the packet then becomes a ``PacketArrived`` event of the reducer.
"""

from enum import StrEnum

from bronzekeel.core.constants import HOP_LIMIT, LINGER_S, SYN_REPEAT_S
from bronzekeel.core.effects import Drop, Forward, Hand
from bronzekeel.core.events import Packet
from bronzekeel.core.hashing import rendezvous_first
from bronzekeel.core.membership.state import Membership
from bronzekeel.core.steering.records import RecordEntry, fingerprint_of
from bronzekeel.core.steering.registers import FlowRecord, Register, Stage
from bronzekeel.core.steering.state import ServiceTable, Steering


Verdict = Forward | Hand | Drop

# A module variable saves an attribute lookup on the path of every packet.
_SETTLED = Stage.SETTLED


class DropReason(StrEnum):
    """Reason for which a packet was dropped."""

    UNKNOWN_SERVICE = 'unknown_service'
    ADDRESS_REUSED = 'address_reused'
    HOP_LIMIT = 'hop_limit'
    NOT_READY = 'not_ready'
    NO_KEEPER = 'no_keeper'
    MALFORMED = 'malformed'
    FRAGMENT = 'fragment'
    PROTOCOL = 'protocol'
    TOO_BIG = 'too_big'


def steer(
    steering: Steering,
    members: Membership,
    packet: Packet,
    now: float,
) -> Verdict | None:
    """Return the verdict on `packet`, or None if this balancer must decide as keeper."""
    table = steering.tables_by_key.get(packet.service)
    if table is None:
        return Drop(DropReason.UNKNOWN_SERVICE)
    register = table.registers[packet.hashed & table.mask]
    if register is None:
        return _hand_to_keeper(steering, members, table, packet, now)
    owner = steering.owners[register.shard].owner
    if owner == steering.me:
        if now >= steering.self_valid_until:
            return _steer_unconfirmed(steering, members, table, packet, now)
        return _forward_settled(table, register, packet) if register.stage is _SETTLED else None
    if register.stage is _SETTLED:
        link = steering.links_by_host.get(owner)
        if link is not None and now < link.lease_until:
            return _forward_settled(table, register, packet)
    return _hand_to_keeper(steering, members, table, packet, now)


def _forward_settled(table: ServiceTable, register: Register, packet: Packet) -> Verdict:
    """Forward by a settled register: to the flow's exception if any, else to the base."""
    upstream = register.base
    if register.exceptions is not None and not packet.opens:
        fingerprint = fingerprint_of(packet.hashed)
        upstream = register.exceptions.get(fingerprint) or upstream
    if table.banned and upstream in table.banned:
        return Drop(DropReason.ADDRESS_REUSED)
    return Forward(upstream, packet.raw)


def _hand_to_keeper(
    steering: Steering,
    members: Membership,
    table: ServiceTable,
    packet: Packet,
    now: float,
) -> Verdict:
    """Hand the packet to the keeper of its bucket, through a relay if there is no contact.

    Retained flows are forwarded here.  Without a live keeper, the packet is
    forwarded by the last known register.
    """
    bucket = packet.hashed & table.mask
    shard = table.shard_of(bucket)
    verdict = _forward_retained(steering, table, packet, now)
    if verdict is not None:
        return verdict
    owner = steering.owners[shard].owner
    if not owner or not members.is_alive(owner):
        return _forward_last_known(steering, table, packet)
    if packet.hops >= HOP_LIMIT:
        return Drop(DropReason.HOP_LIMIT)
    if members.in_contact(owner, now):
        return Hand(owner, packet.raw, packet.hops + 1)
    contacts = [member.host.name for member in members.contacts(now)]
    relay = rendezvous_first(owner, contacts)
    return Hand(relay or owner, packet.raw, packet.hops + 1)


def _forward_retained(
    steering: Steering,
    table: ServiceTable,
    packet: Packet,
    now: float,
) -> Verdict | None:
    """Forward a packet of a flow recorded here before the shard was handed off.

    Without this, a packet that arrives while the last records are in transit to
    the new keeper would be treated as a flow of the base, which resets it.
    """
    bucket = packet.hashed & table.mask
    retained = steering.retained_by_shard.get(table.shard_of(bucket))
    if retained is None or now >= retained.until or packet.opens:
        return None
    flow = (table.name, bucket, fingerprint_of(packet.hashed))
    upstream = retained.upstream_by_flow.get(flow)
    if upstream is None:
        return None
    return _forward_unless_banned(table, upstream, packet)


def _steer_unconfirmed(
    steering: Steering,
    members: Membership,
    table: ServiceTable,
    packet: Packet,
    now: float,
) -> Verdict:
    """Return the verdict of a keeper without recent contact to a majority of its peers.

    Without this, a keeper that resumes after a pause would still consider
    itself keeper, and would forward by a register that its successor has
    changed in the meantime.  If no peer is live there is no successor, and the
    packet is forwarded by the last known record or register.  The same applies
    while the keeper has contact to some peers.
    """
    peers = members.alive_names
    if not peers or members.contacts(now):
        return _forward_last_known(steering, table, packet)
    if packet.hops >= HOP_LIMIT:
        return Drop(DropReason.NO_KEEPER)
    shard = table.shard_of(packet.hashed & table.mask)
    new_keeper = rendezvous_first(str(shard), peers)
    return Hand(new_keeper or '', packet.raw, packet.hops + 1)


def _forward_last_known(steering: Steering, table: ServiceTable, packet: Packet) -> Verdict:
    """Forward by the last known record or register.

    Dropping the packet instead would stall at least as many flows.
    """
    bucket = packet.hashed & table.mask
    register = table.registers[bucket]
    if register is None:
        return Drop(DropReason.NO_KEEPER)
    upstream = _last_known_upstream(steering, register, packet)
    if upstream is not None:
        return _forward_unless_banned(table, upstream, packet, stale=True)
    verdict = _forward_settled(table, register, packet)
    if isinstance(verdict, Forward):
        return Forward(verdict.upstream, packet.raw, stale=True)
    return verdict


def _last_known_upstream(
    steering: Steering,
    register: Register,
    packet: Packet,
) -> str | None:
    """Return the flow's upstream from this balancer's records or copies, None if unknown."""
    if packet.opens:
        return None
    fingerprint = fingerprint_of(packet.hashed)
    record = register.records.get(fingerprint)
    if record is not None:
        return record.upstream
    copies = steering.replicas_by_shard.get(register.shard)
    if not copies:
        return None
    return copies.get((register.service, register.bucket, fingerprint))


def _forward_unless_banned(
    table: ServiceTable,
    upstream: str,
    packet: Packet,
    *,
    stale: bool = False,
) -> Verdict:
    if upstream in table.banned:
        return Drop(DropReason.ADDRESS_REUSED)
    return Forward(upstream, packet.raw, stale=stale)


def place(steering: Steering, packet: Packet, now: float) -> Verdict | None:
    """Return a keeper's verdict on a packet; record the flow if its bucket is unsettled.

    The packet is dropped if this balancer is not the keeper of its bucket.
    """
    table = steering.tables_by_key.get(packet.service)
    if table is None:
        return Drop(DropReason.UNKNOWN_SERVICE)
    register = table.registers[packet.hashed & table.mask]
    if register is None or not steering.owns(register.shard):
        return Drop(DropReason.NO_KEEPER)
    if register.settled:
        return _forward_settled(table, register, packet)
    upstream = _record_flow(steering, table, register, packet, now)
    return _forward_unless_banned(table, upstream, packet)


def _record_flow(
    steering: Steering,
    table: ServiceTable,
    register: Register,
    packet: Packet,
    now: float,
) -> str:
    """Return the flow's upstream, and create or renew its record."""
    fingerprint = fingerprint_of(packet.hashed)
    record = register.records.get(fingerprint)
    if record is not None and packet.opens and now > record.repeat_until:
        record = None
    if record is None:
        record = _new_record(table, register, packet, now)
        register.records[fingerprint] = record
        if record.upstream != register.base:
            _replicate(steering, register, fingerprint, record.upstream)
    idle_s = LINGER_S if packet.closes else table.idle_s
    record.expires_at = now + min(idle_s, table.idle_s)
    return record.upstream


def _new_record(
    table: ServiceTable,
    register: Register,
    packet: Packet,
    now: float,
) -> FlowRecord:
    upstream = register.base
    if packet.opens and register.stage is Stage.ACTING:
        upstream = register.current
    return FlowRecord(upstream, now + table.idle_s, now + SYN_REPEAT_S)


def _replicate(
    steering: Steering,
    register: Register,
    fingerprint: int,
    upstream: str,
) -> None:
    """Queue the record for the standby and for a hand-off in progress."""
    entry = RecordEntry(register.service, register.bucket, fingerprint, upstream)
    steering.fresh_records.append(entry)
    handoff = steering.handoffs_by_shard.get(register.shard)
    if handoff is not None:
        handoff.records.append(entry)
