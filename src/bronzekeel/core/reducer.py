"""Reduce every event of a balancer to effects.

State changes only in ``reduce``.  It reads neither clocks nor random numbers, so
the daemon, replay, tests and benchmarks make the same decisions.
"""

from collections.abc import Callable, Mapping
from types import MappingProxyType

from bronzekeel.core import messages
from bronzekeel.core.duties import (
    become_ready,
    due_heartbeats,
    log_lasting_problems,
    maintain_shards,
    stop_when_idle,
)
from bronzekeel.core.effects import Drop, Effect, Hand, Log, Say
from bronzekeel.core.events import (
    AttemptEnded,
    CallerGone,
    Event,
    HealthHint,
    HostsListed,
    Packet,
    PacketArrived,
    PeerSaid,
    ReserveAsked,
    RunAsked,
    StopAsked,
    TextAccepted,
    Ticked,
)
from bronzekeel.core.hashing import rendezvous_first
from bronzekeel.core.health.reducer import on_hint
from bronzekeel.core.log_numbers import LogNumber
from bronzekeel.core.membership import reducer as membership
from bronzekeel.core.requests import keepers as slot_keepers
from bronzekeel.core.requests import reducer as requests
from bronzekeel.core.rollout import reducer as rollout
from bronzekeel.core.routing.revisions import incarnation_of, number_of, revision_of
from bronzekeel.core.state import BalancerState
from bronzekeel.core.steering import journal, keeper, owners, replicas
from bronzekeel.core.steering.catalogue import install
from bronzekeel.core.steering.packets import DropReason, Verdict, place, steer


def packet_verdict(state: BalancerState, packet: Packet, now: float) -> Verdict | None:
    """Return the verdict on a packet, or None if ``reduce`` has to decide."""
    if state.ready:
        return steer(state.steering, state.members, packet, now)
    return _forward_to_ready_peer(state, packet, now)


def _forward_to_ready_peer(state: BalancerState, packet: Packet, now: float) -> Verdict:
    """Hand a packet off to a ready peer; a balancer whose state may be stale must not decide."""
    if packet.hops:
        return Drop(DropReason.NOT_READY)
    peers = [member.host.name for member in state.members.contacts(now) if member.ready]
    peer = rendezvous_first(str(packet.hashed), peers)
    if peer is None:
        return Drop(DropReason.NOT_READY)
    return Hand(peer, packet.raw, packet.hops + 1)


def reduce(state: BalancerState, event: Event, now: float) -> list[Effect]:
    """Apply `event` to `state` and return the effects for the adapters.

    Messages that this balancer sends to itself are reduced at once and not returned.
    """
    effects: list[Effect] = []
    pending: list[Event] = [event]
    while pending:
        current = pending.pop(0)
        for effect in _publish_changes(state, current, _dispatch(state, current, now)):
            if isinstance(effect, Say) and effect.host == state.members.me.name:
                pending.append(PeerSaid(effect.message))
                continue
            effects.append(effect)
    return effects


def _publish_changes(state: BalancerState, event: Event, effects: list[Effect]) -> list[Effect]:
    """Publish the changes of this keeper's journal.

    Changes caused by peers' messages wait for the next tick, so that the hand-over
    of a hundred shards causes one message per peer.  A new text does not wait.
    """
    publish_now = not isinstance(event, PeerSaid) or isinstance(event.message, messages.TextBody)
    if state.steering.dirty and publish_now:
        effects.extend(journal.publish(state.steering, state.members))
    return effects


def _dispatch(state: BalancerState, event: Event, now: float) -> list[Effect]:
    handler = _HANDLERS[type(event)]
    return handler(state, event, now)


def _on_packet(state: BalancerState, event: PacketArrived, now: float) -> list[Effect]:
    verdict = place(state.steering, event.packet, now)
    return [] if verdict is None else [verdict]


def _on_peer_message(state: BalancerState, event: PeerSaid, now: float) -> list[Effect]:
    handler = _MESSAGE_HANDLERS[type(event.message)]
    return handler(state, event.message, now)


def _on_heartbeat(
    state: BalancerState,
    heartbeat: messages.Heartbeat,
    now: float,
) -> list[Effect]:
    effects = membership.on_heartbeat(state.members, heartbeat, now)
    member = state.members.by_name.get(heartbeat.sender)
    if member is None:
        return effects
    if heartbeat.host is not None and state.rollout.watching and state.members.hosts_version:
        effects.append(Say(heartbeat.sender, _host_list(state)))
    if heartbeat.incarnation == member.incarnation:
        effects.extend(journal.on_heartbeat(state.steering, state.members, heartbeat, now))
        effects.extend(rollout.fetch(state.rollout, state.members, now))
    return effects


def _on_hosts(state: BalancerState, event: HostsListed, now: float) -> list[Effect]:
    """Apply the list of hosts; a watcher also sends it to its live peers."""
    effects = membership.on_hosts(state.members, event, now)
    if not state.rollout.watching or not event.version:
        return effects
    names = state.members.alive_names
    return effects + [Say(name, _host_list(state)) for name in names]


def _host_list(state: BalancerState) -> messages.HostList:
    members = state.members
    return messages.HostList(
        members.me.name,
        incarnation_of(members.hosts_version),
        number_of(members.hosts_version),
        members.hosts,
    )


def _on_journal_part(
    state: BalancerState,
    part: messages.JournalPart,
    now: float,
) -> list[Effect]:
    member = state.members.by_name.get(part.sender)
    if member is None:
        return []
    behind = member.generation > state.rollout.generation or not state.rollout.generation
    return journal.apply_part(state.steering, part, text_outdated=behind)


def _on_text(state: BalancerState, event: TextAccepted, now: float) -> list[Effect]:
    newer, effects = rollout.on_text(state.rollout, event)
    if not newer:
        return effects
    install(state.steering, event.catalogue)
    state.requests.required = event.catalogue.required
    moved = keeper.adopt_targets(state.steering, now)
    if moved:
        effects.append(Log(LogNumber.BUCKETS_MOVING, str(moved)))
    for member in state.members.alive:
        member.next_heartbeat_at = now
    effects.extend(due_heartbeats(state, now))
    return effects


def _on_text_body(state: BalancerState, body: messages.TextBody, now: float) -> list[Effect]:
    catalogue = rollout.rebuild(state.rollout, body)
    if catalogue is None:
        return rollout.request_full_text(state.rollout, state.members.me.name, body)
    return _on_text(state, TextAccepted(catalogue), now)


def _on_tick(state: BalancerState, event: Ticked, now: float) -> list[Effect]:
    members = state.members
    effects = membership.on_tick(members, now)
    effects.extend(due_heartbeats(state, now))
    rollout.confirm(state.rollout, members, now)
    effects.extend(rollout.fetch(state.rollout, members, now))
    effects.extend(rollout.update_watch(state.rollout, members, now))
    effects.extend(maintain_shards(state, now))
    effects.extend(become_ready(state, now))
    effects.extend(log_lasting_problems(state, now))
    effects.extend(requests.on_tick(state, now))
    effects.extend(slot_keepers.maintain_slots(state, now))
    effects.extend(slot_keepers.report_held_slots(state, now))
    effects.extend(slot_keepers.announce_down(state, now))
    effects.extend(stop_when_idle(state))
    return effects


def _on_stop(state: BalancerState, event: StopAsked, now: float) -> list[Effect]:
    state.stopping = True
    state.members.leaving = True
    for member in state.members.alive:
        member.next_heartbeat_at = now
    return [Log(LogNumber.STOPPING), *due_heartbeats(state, now)]


def _on_hint(state: BalancerState, event: HealthHint, now: float) -> list[Effect]:
    on_hint(state.health, event.upstream, serving=event.serving)
    return []


_HANDLERS: Mapping[type, Callable[..., list[Effect]]] = MappingProxyType(
    {
        Ticked: _on_tick,
        PeerSaid: _on_peer_message,
        PacketArrived: _on_packet,
        TextAccepted: _on_text,
        HostsListed: _on_hosts,
        StopAsked: _on_stop,
        ReserveAsked: requests.on_reserve,
        RunAsked: requests.on_run,
        AttemptEnded: requests.on_attempt_ended,
        CallerGone: lambda state, event, now: requests.on_caller_gone(state, event),
        HealthHint: _on_hint,
    }
)

_MESSAGE_HANDLERS: Mapping[type, Callable[..., list[Effect]]] = MappingProxyType(
    {
        messages.Heartbeat: _on_heartbeat,
        messages.JournalPart: _on_journal_part,
        messages.JournalPull: lambda state, message, now: journal.on_pull(
            state.steering,
            message,
            state.members.incarnation,
        ),
        messages.JournalAck: lambda state, message, now: journal.on_ack(
            state.steering,
            message,
            state.members.incarnation,
        ),
        messages.Replicate: lambda state, message, now: replicas.on_replicate(
            state.steering,
            message,
        ),
        messages.ShardOffer: lambda state, message, now: owners.on_offer(
            state.steering,
            message,
            now,
        ),
        messages.ShardOfferAck: lambda state, message, now: owners.on_offer_ack(
            state.steering,
            message,
            now,
        ),
        messages.ShardGo: lambda state, message, now: owners.on_go(
            state.steering,
            message,
            now,
        ),
        messages.ShardGoAck: lambda state, message, now: owners.on_go_ack(
            state.steering,
            message,
        ),
        messages.TextPull: lambda state, message, now: rollout.on_text_pull(
            state.rollout,
            state.members.me.name,
            message,
        ),
        messages.TextBody: _on_text_body,
        messages.HostList: lambda state, message, now: membership.on_hosts(
            state.members,
            HostsListed(
                message.hosts, revision_of(message.store_incarnation, message.store_number)
            ),
            now,
        ),
        messages.SlotAsk: slot_keepers.on_slot_ask,
        messages.SlotGrant: requests.on_grant,
        messages.SlotRefuse: requests.on_refuse,
        messages.SlotDone: slot_keepers.on_slot_done,
        messages.SlotHeld: slot_keepers.on_slot_held,
        messages.ServiceState: slot_keepers.on_service_state,
    }
)
