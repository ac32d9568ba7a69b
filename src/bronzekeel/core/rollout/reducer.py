"""Accept newer texts, never older ones, and fetch what peers have.

What goes wrong without the rule: the platform answers from a copy that is
behind, or a peer comes back from a long pause, and a balancer returns to an
old text.  A generation only ever rises on a host, and a fresh host serves
nothing before the platform or most of its peers have spoken.
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


#: Balancers of a data centre that hold the watch on the platform.
WATCHERS = 2


def on_text(rollout: Rollout, event: TextAccepted) -> tuple[bool, list[Effect]]:
    """Put a newer text in force; return whether it was newer."""
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
    """Return the services that differ between the text in force and a later one."""
    earlier = rollout.catalogue.services_by_name if rollout.catalogue else {}
    services = later.services_by_name
    changed = {name for name, spec in services.items() if earlier.get(name) != spec}
    return frozenset(changed | (earlier.keys() - services.keys()))


def _digest_after(rollout: Rollout, later: Catalogue, names: frozenset[str]) -> int:
    """Return the digest of a text that differs from the one in force in `names`.

    The digest of a text is the exclusive or of its services' hashes, so a
    change costs as much as it changes and not as much as the text is long.
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
    """Give a peer what changed since its text, or the whole text."""
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
    """Return the services changed since a generation, None if it is not kept."""
    names: set[str] = set()
    for change in reversed(rollout.history):
        names |= change.names
        if change.since == generation and generation:
            return names
    return None


def rebuild(rollout: Rollout, body: TextBody) -> Catalogue | None:
    """Return the whole text that a peer's body makes with the one in force here.

    None when it does not fit: then the whole has to be asked for.
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
    """Ask for the whole text when its changes did not fit."""
    if body.generation <= rollout.generation or not body.since:
        return []
    return [Say(body.sender, TextPull(me, 0))]


def fetch(rollout: Rollout, members: Membership, now: float) -> list[Effect]:
    """Ask a peer in contact for its text if it is newer."""
    if now < rollout.pull_at:
        return []
    newer = [member for member in members.contacts(now) if member.generation > rollout.generation]
    if not newer:
        return []
    rollout.pull_at = now + RESEND_S
    newest = max(newer, key=lambda member: member.generation)
    return [Say(newest.host.name, TextPull(members.me.name, rollout.generation))]


def confirm(rollout: Rollout, members: Membership, now: float) -> None:
    """Note that this balancer is not behind once most peers say so."""
    if rollout.confirmed or not rollout.generation:
        return
    if not members.by_name or now >= members.valid_until():
        return
    newest = max(member.generation for member in members.by_name.values())
    rollout.confirmed = newest <= rollout.generation


def update_watch(rollout: Rollout, members: Membership, now: float) -> list[Effect]:
    """Take up or lay down the watch on the platform.

    A few per data centre, by rendezvous among the hosts in contact: two
    watchers too many cost two calls, none too few cost a heartbeat's delay.
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
