"""Run the periodic work of a balancer: heartbeats, shards, readiness and shutdown."""

from bronzekeel.core.constants import SETTLE_IN_S
from bronzekeel.core.effects import Effect, Log, Say, Stopped
from bronzekeel.core.log_numbers import LogNumber
from bronzekeel.core.membership import reducer as membership
from bronzekeel.core.messages import Heartbeat
from bronzekeel.core.state import BalancerState
from bronzekeel.core.steering import journal, keeper, owners, replicas

#: Interval at which a problem that persists is logged again.
_PROBLEM_LOG_S = 30.0


def due_heartbeats(state: BalancerState, now: float) -> list[Effect]:
    """Return the heartbeats that are due, each with the fields of all domains."""
    members = state.members
    unheard = membership.silent_members(members, now)
    effects: list[Effect] = []
    for member in membership.due_for_heartbeat(members, now):
        name = member.host.name
        link = state.steering.link(name)
        heartbeat = Heartbeat(
            sender=members.me.name,
            incarnation=members.incarnation,
            stamp=int(now * membership.MILLISECONDS),
            echo=member.stamp,
            seq=state.steering.seq,
            ack=link.applied_seq,
            generation=state.rollout.generation,
            ready=state.ready,
            leaving=members.leaving,
            grants=journal.try_renew_lease(state.steering, name, now),
            unheard=unheard,
            host=None if now < member.contact_until else members.me,
        )
        effects.append(Say(name, heartbeat))
    return effects


def maintain_shards(state: BalancerState, now: float) -> list[Effect]:
    """Run a keeper's periodic work on its shards.

    It claims orphaned shards, starts and advances changes of buckets, replicates
    records and hands shards over.
    """
    steering = state.steering
    steering.self_valid_until = state.members.valid_until()
    replicas.prune_retained(steering, now)
    if not state.rollout.confirmed or now < state.started_at + SETTLE_IN_S:
        return []
    names = owners.candidates(state.members, now, ready=state.ready)
    effects = owners.claim_orphans(steering, state.members, names, now)
    if now < steering.self_valid_until:
        keeper.adopt_targets(steering, now)
        keeper.advance(steering, now, may_settle=_all_listed_hosts_alive(state))
        keeper.recount(steering, now)
    effects.extend(replicas.replicate(steering, names, now))
    effects.extend(owners.move_shards(steering, state.members, names, now))
    return effects


def _all_listed_hosts_alive(state: BalancerState) -> bool:
    """Return whether no listed host is considered dead.

    Settling a bucket changes the upstream that flows without a record belong to.
    If one side of a partitioned fleet settled, the two sides could not be merged
    again without breaking flows.
    """
    return not any(member.dead and member.listed for member in state.members.by_name.values())


def become_ready(state: BalancerState, now: float) -> list[Effect]:
    """Become ready once the text and the registers are known to be up to date."""
    if state.ready or not state.rollout.confirmed or state.stopping:
        return []
    links = state.steering.links_by_host
    for member in state.members.contacts(now):
        link = links.get(member.host.name)
        if link is None or link.applied_seq < link.announced_seq:
            return []
    for ownership in state.steering.owners:
        if not ownership.owner or not state.members.is_alive(ownership.owner):
            return []
    state.ready = True
    return [Log(LogNumber.READY)]


def log_lasting_problems(state: BalancerState, now: float) -> list[Effect]:
    """Log, at intervals, conditions that should have resolved by themselves."""
    if now < state.problem_log_at:
        return []
    state.problem_log_at = now + _PROBLEM_LOG_S
    effects: list[Effect] = []
    if not state.rollout.confirmed and not state.stopping:
        effects.append(Log(LogNumber.WAITING_FOR_TEXT, str(state.rollout.generation)))
    count_overdue = keeper.count_overdue(state.steering, now)
    if count_overdue:
        effects.append(Log(LogNumber.BUCKETS_UNSETTLED, str(count_overdue)))
    return effects


def stop_when_idle(state: BalancerState) -> list[Effect]:
    """Report that this balancer may stop once it keeps no shard and runs no request."""
    if not state.stopping or state.stopped:
        return []
    steering = state.steering
    if steering.handoffs_by_shard:
        return []
    kept = any(ownership.owner == steering.me for ownership in steering.owners)
    if kept and state.members.alive:
        return []
    if state.requests.in_progress:
        return []
    state.stopped = True
    return [Stopped()]
