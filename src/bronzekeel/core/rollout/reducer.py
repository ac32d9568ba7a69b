"""Accept newer texts, never older ones, and fetch newer texts from peers.

The generation in force on a host only ever increases.  Without this rule, a
balancer would return to an old text when the platform answers from a stale copy or
a peer resumes after a long pause.  A fresh host serves nothing until the platform
or most of its peers have confirmed that its text is current.
"""

from msgspec.msgpack import encode
from xxhash import xxh3_64_intdigest

from bronzekeel.core.catalogue import Catalogue, ServiceSpec
from bronzekeel.core.constants import RESEND_S
from bronzekeel.core.effects import Effect, InForce, Log, Say, Watch
from bronzekeel.core.events import TextAccepted
from bronzekeel.core.hashing import rendezvous_order
from bronzekeel.core.log_numbers import LogNumber
from bronzekeel.core.membership.state import Membership
from bronzekeel.core.messages import TextBody, TextPull
from bronzekeel.core.rollout.state import Change, Rollout


#: Number of balancers per data centre that watch the platform.
WATCHERS = 2


def on_text(rollout: Rollout, event: TextAccepted) -> tuple[bool, list[Effect]]:
    """Put a text in force if it is newer; return whether it was, and the effects."""
    rollout.confirmed = rollout.confirmed or event.from_platform
    generation = event.catalogue.generation
    if generation < rollout.generation and rollout.monotonic:
        rollout.older_rejected += 1
        detail = f'{generation} < {rollout.generation}'
        return False, [Log(LogNumber.TEXT_OLDER, detail)]
    if generation == rollout.generation:
        return False, []
    names = _changed(rollout, event.catalogue)
    rollout.history.append(Change(rollout.generation, generation, names))
    rollout.digest = _digest_after(rollout, event.catalogue, names)
    rollout.catalogue = event.catalogue
    in_force = Log(LogNumber.TEXT_IN_FORCE, str(generation))
    return True, [InForce(generation), in_force]


def _changed(rollout: Rollout, later: Catalogue) -> frozenset[str]:
    """Return the names of services that differ between the text in force and a later one."""
    earlier = rollout.catalogue.services_by_name if rollout.catalogue else {}
    services = later.services_by_name
    changed = {name for name, spec in services.items() if earlier.get(name) != spec}
    return frozenset(changed | (earlier.keys() - services.keys()))


def _digest_after(rollout: Rollout, later: Catalogue, names: frozenset[str]) -> int:
    """Return the digest of a text that differs from the one in force in `names`.

    The digest of a text is the exclusive or of its services' hashes, so its
    update costs time in proportion to the changes, not to the length of the text.
    """
    earlier = rollout.catalogue.services_by_name if rollout.catalogue else {}
    digest = rollout.digest
    for name in names:
        for services in (earlier, later.services_by_name):
            spec = services.get(name)
            if spec is not None:
                digest ^= xxh3_64_intdigest(encode(spec))
    return digest


def on_text_pull(rollout: Rollout, me: str, pull: TextPull) -> list[Effect]:
    """Send a peer the changes since its generation, or the whole text."""
    if rollout.catalogue is None or rollout.generation <= pull.generation:
        return []
    services = rollout.catalogue.services_by_name
    names = _changed_since(rollout, pull.generation)
    since = 0 if names is None else pull.generation
    listed = services.keys() if names is None else names
    body = TextBody(
        me,
        rollout.generation,
        since,
        rollout.digest,
        tuple(services[name] for name in sorted(listed) if name in services),
        tuple(sorted(name for name in listed if name not in services)),
    )
    return [Say(pull.sender, body)]


def _changed_since(rollout: Rollout, generation: int) -> set[str] | None:
    """Return the services changed since a generation, or None if the history lacks it."""
    names: set[str] = set()
    for change in reversed(rollout.history):
        names |= change.names
        if change.since == generation and generation:
            return names
    return None


def rebuild(rollout: Rollout, body: TextBody) -> Catalogue | None:
    """Return the text that results from applying a peer's body to the text in force.

    Return None if the body has another base or the digest does not match; the
    whole text has to be requested then.
    """
    services: dict[str, ServiceSpec] = {}
    if body.since and rollout.catalogue is not None:
        if rollout.generation != body.since:
            return None
        services.update(rollout.catalogue.services_by_name)
    for name in body.removed:
        services.pop(name, None)
    services.update({spec.name: spec for spec in body.services})
    catalogue = Catalogue(body.generation, services)
    digest = _digest_after(rollout, catalogue, _changed(rollout, catalogue))
    return catalogue if digest == body.digest else None


def request_full_text(rollout: Rollout, me: str, body: TextBody) -> list[Effect]:
    """Request the whole text when a peer's changes could not be applied."""
    if body.generation <= rollout.generation or not body.since:
        return []
    return [Say(body.sender, TextPull(me, 0))]


def fetch(rollout: Rollout, members: Membership, now: float) -> list[Effect]:
    """Request the newest text of the peers in contact if it is newer than the one in force."""
    if now < rollout.pull_at:
        return []
    newer = [member for member in members.contacts(now) if member.generation > rollout.generation]
    if not newer:
        return []
    rollout.pull_at = now + RESEND_S
    newest = max(newer, key=lambda member: member.generation)
    return [Say(newest.host.name, TextPull(members.me.name, rollout.generation))]


def confirm(rollout: Rollout, members: Membership, now: float) -> None:
    """Confirm the text once a majority of peers is in contact and no peer has a newer one."""
    if rollout.confirmed or not rollout.generation:
        return
    if not members.by_name or now >= members.valid_until():
        return
    newest = max(member.generation for member in members.by_name.values())
    rollout.confirmed = newest <= rollout.generation


def update_watch(rollout: Rollout, members: Membership, now: float) -> list[Effect]:
    """Start or stop the watch on the platform.

    Rendezvous hashing over the hosts in contact chooses a few watchers per data
    centre.  The hosts may disagree for a short time: an extra watcher costs one more
    call, a missing one the delay of a heartbeat.
    """
    centre = members.me.data_centre
    names = [
        member.host.name
        for member in members.contacts(now)
        if member.host.data_centre == centre and not member.leaving
    ]
    names.append(members.me.name)
    watchers = rendezvous_order(f'watch/{centre}', names)[:WATCHERS]
    active = members.me.name in watchers or not rollout.generation
    if active == rollout.watching:
        return []
    rollout.watching = active
    return [Watch(active)]
