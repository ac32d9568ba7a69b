"""Replicate the records of unsettled buckets to the keeper's successor.

Without this, the successor of a dead keeper would treat flows that were placed
on a new upstream as flows of the base.  Replication costs a few bytes per new
flow of an unsettled bucket, and nothing for settled buckets.
"""

from bronzekeel.core.effects import Effect, Say
from bronzekeel.core.hashing import rendezvous_first
from bronzekeel.core.messages import Replicate
from bronzekeel.core.steering.journal import records_off_base
from bronzekeel.core.steering.records import RecordEntry, pack, unpack
from bronzekeel.core.steering.state import Steering


#: Interval of replication; records made since the last one are lost if the keeper dies.
REPLICATE_S = 0.5


def replicate(steering: Steering, names: list[str], now: float) -> list[Effect]:
    """Send new records to the standby, and all records of a shard to a new standby."""
    if now < steering.replicate_at:
        return []
    steering.replicate_at = now + REPLICATE_S
    fresh = steering.fresh_records
    steering.fresh_records = []
    if not steering.replicating:
        return []
    standby = successor(steering.me, names)
    if standby is None:
        return []
    batch: list[RecordEntry] = []
    for shard in {_shard_of(steering, entry) for entry in fresh} | _unsettled_shards(steering):
        if not steering.owns(shard):
            continue
        if steering.standby_by_shard.get(shard) == standby:
            batch.extend(entry for entry in fresh if _shard_of(steering, entry) == shard)
            continue
        steering.standby_by_shard[shard] = standby
        for register in steering.registers_of(shard):
            batch.extend(records_off_base(register))
    return [Say(standby, Replicate(steering.me, pack(batch)))] if batch else []


def _shard_of(steering: Steering, entry: RecordEntry) -> int:
    table = steering.tables_by_name.get(entry.service)
    return table.shard_of(entry.bucket) if table else -1


def _unsettled_shards(steering: Steering) -> set[int]:
    shards = set()
    for service, bucket in steering.unsettled:
        table = steering.tables_by_name.get(service)
        if table is not None:
            shards.add(table.shard_of(bucket))
    return shards


def successor(keeper: str, names: list[str]) -> str | None:
    """Return the host that takes over from a keeper and holds the copies of its records.

    It is one host for all shards of the keeper, since each further host would
    cost another message per interval.
    """
    return rendezvous_first(keeper, [name for name in names if name != keeper])


def on_replicate(steering: Steering, copies: Replicate) -> list[Effect]:
    """Store the copies of records of shards that the sender keeps."""
    for entry in unpack(copies.records):
        shard = _shard_of(steering, entry)
        if shard < 0 or steering.owners[shard].owner != copies.sender:
            continue
        copies_of_shard = steering.replicas_by_shard.setdefault(shard, {})
        copies_of_shard[entry.service, entry.bucket, entry.fingerprint] = entry.upstream
    return []


def prune_retained(steering: Steering, now: float) -> None:
    """Discard retained records whose deadline has passed."""
    for shard, retained in list(steering.retained_by_shard.items()):
        if now >= retained.until:
            steering.retained_by_shard.pop(shard)
