"""Detect live members by heartbeats, votes of peers and the platform's list of hosts.

The platform's list alone is not enough, since it may lag by 30 s, during
which dead hosts would remain keepers.  This balancer's own links are not
enough either, since it would declare a healthy member dead because of a single
slow link.  A member is considered dead only if neither this balancer nor most
of its contacts receive its heartbeats, so one bad link or one slow host does
not make members flap.
"""

from bronzekeel.core.constants import (
    DEAD_S,
    FORGET_S,
    HEARTBEAT_S,
    LEASE_S,
    PAUSE_S,
    SETTLE_IN_S,
)
from bronzekeel.core.effects import Effect, Log
from bronzekeel.core.events import HostsListed
from bronzekeel.core.log_numbers import LogNumber
from bronzekeel.core.membership.state import Member, Membership
from bronzekeel.core.messages import Heartbeat


MILLISECONDS = 1000
_SUSPECT_BEFORE_DEAD_S = 1.0
_DEAD_HEARTBEAT_FACTOR = 4


def on_hosts(members: Membership, event: HostsListed, now: float) -> list[Effect]:
    """Add the hosts of the platform's list as members.

    The list is only a seed: a member that is missing from it is not removed.
    """
    if event.version < members.hosts_version:
        return []
    members.hosts_version = event.version
    members.hosts = event.hosts
    listed = {host.name for host in event.hosts}
    for host in event.hosts:
        if host.name == members.me.name:
            continue
        members.add(host, now).listed = True
    for name, member in members.by_name.items():
        member.listed = name in listed
    return []


def on_heartbeat(members: Membership, heartbeat: Heartbeat, now: float) -> list[Effect]:
    """Record that the sender is live, and the state that it reports of itself."""
    member = members.by_name.get(heartbeat.sender)
    if member is None:
        if heartbeat.host is None:
            return []
        member = members.add(heartbeat.host, now)
        member.stable_at = now + SETTLE_IN_S
    if heartbeat.incarnation < member.incarnation:
        return []
    effects: list[Effect] = []
    if heartbeat.incarnation > member.incarnation or member.dead:
        effects.append(Log(LogNumber.MEMBER_JOINED, heartbeat.sender))
        _reset_member(member, heartbeat, now)
    member.stamp = max(member.stamp, heartbeat.stamp)
    member.generation = heartbeat.generation
    member.ready = heartbeat.ready
    member.leaving = heartbeat.leaving
    member.unheard = frozenset(heartbeat.unheard)
    member.heartbeat_deadline = now + DEAD_S
    if heartbeat.echo:
        echoed_until = heartbeat.echo / MILLISECONDS + LEASE_S
        member.contact_until = max(member.contact_until, echoed_until)
    return effects


def _reset_member(member: Member, heartbeat: Heartbeat, now: float) -> None:
    if heartbeat.host is not None:
        member.host = heartbeat.host
    member.incarnation = heartbeat.incarnation
    member.dead = False
    member.stamp = 0
    member.contact_until = 0
    member.next_heartbeat_at = now
    member.stable_at = now + SETTLE_IN_S


def on_tick(members: Membership, now: float) -> list[Effect]:
    """Declare silent members dead, and remove dead members that are not listed."""
    effects: list[Effect] = []
    elapsed_s = now - members.ticked_at if members.ticked_at else 0
    if elapsed_s > PAUSE_S:
        _extend_deadlines(members, now)
        effects.append(Log(LogNumber.PAUSED, f'{elapsed_s:.1f} s'))
    members.ticked_at = now
    contacts = members.contacts(now)
    _forget(members, now)
    for name, member in members.by_name.items():
        if member.dead or now <= member.heartbeat_deadline:
            continue
        if not member.leaving and _is_vouched_for(name, contacts):
            continue
        member.dead = True
        member.forget_at = now + FORGET_S
        members.deaths += 1
        effects.append(Log(LogNumber.MEMBER_DEAD, name))
    return effects


def _forget(members: Membership, now: float) -> None:
    for name, member in list(members.by_name.items()):
        if member.dead and now > member.forget_at and not member.listed:
            members.by_name.pop(name)


def _extend_deadlines(members: Membership, now: float) -> None:
    """Extend the deadlines of all live members after a pause of this process.

    Without this, a process that resumes after a pause would have received no
    heartbeats in the meantime and would declare the whole fleet dead.
    """
    members.pauses += 1
    for member in members.alive:
        member.heartbeat_deadline = now + DEAD_S
        member.next_heartbeat_at = now


def _is_vouched_for(name: str, contacts: list[Member]) -> bool:
    """Return whether at least half of the contacts still receive heartbeats of `name`."""
    if not contacts:
        return False
    receiving = sum(name not in member.unheard for member in contacts)
    return receiving * 2 >= len(contacts)


def silent_members(members: Membership, now: float) -> tuple[str, ...]:
    """Return the members that are dead or about to miss their heartbeat deadline."""
    suspect_at = now + _SUSPECT_BEFORE_DEAD_S
    return tuple(
        name
        for name, member in members.by_name.items()
        if member.dead or member.heartbeat_deadline < suspect_at
    )


def due_for_heartbeat(members: Membership, now: float) -> list[Member]:
    """Return the members to send a heartbeat to now, and schedule the next one."""
    due = []
    for member in members.by_name.values():
        if now < member.next_heartbeat_at:
            continue
        factor = _DEAD_HEARTBEAT_FACTOR if member.dead else 1
        member.next_heartbeat_at = now + HEARTBEAT_S * factor
        due.append(member)
    return due
