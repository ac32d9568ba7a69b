"""State that one balancer has of the other balancers."""

from dataclasses import dataclass, field

from bronzekeel.core.constants import DEAD_S
from bronzekeel.core.messages import HostEntry


@dataclass(slots=True)
class Member:
    """Known state of one other balancer; all times are deadlines.

    After `heartbeat_deadline` it has been silent for too long.  After
    `contact_until` the newest time stamp of this balancer that it has echoed is
    too old.  Only an echo shows that the link works in both directions.
    """

    host: HostEntry
    heartbeat_deadline: float
    stable_at: float
    next_heartbeat_at: float = 0
    contact_until: float = 0
    forget_at: float = 0
    incarnation: int = 0
    stamp: int = 0
    generation: int = 0
    listed: bool = False
    dead: bool = False
    ready: bool = False
    leaving: bool = False
    unheard: frozenset[str] = frozenset()


@dataclass(slots=True)
class Membership:
    """All members by name, without this balancer itself."""

    me: HostEntry
    incarnation: int
    by_name: dict[str, Member] = field(default_factory=dict)
    hosts_version: int = 0
    hosts: tuple[HostEntry, ...] = ()
    ticked_at: float = 0
    pauses: int = 0
    deaths: int = 0
    leaving: bool = False

    @property
    def alive(self) -> list[Member]:
        """Members that are not considered dead."""
        return [member for member in self.by_name.values() if not member.dead]

    @property
    def alive_names(self) -> list[str]:
        """Names of the live members."""
        return [name for name, member in self.by_name.items() if not member.dead]

    def contacts(self, now: float) -> list[Member]:
        """Return the members whose link works in both directions."""
        return [member for member in self.by_name.values() if now < member.contact_until]

    def in_contact(self, name: str, now: float) -> bool:
        """Return whether the link to `name` works in both directions."""
        member = self.by_name.get(name)
        return member is not None and now < member.contact_until

    def is_alive(self, name: str) -> bool:
        """Return whether `name` is this balancer or a live member."""
        if name == self.me.name:
            return True
        member = self.by_name.get(name)
        return member is not None and not member.dead

    def valid_until(self) -> float:
        """Return until when this balancer has recent contact to a majority of its peers.

        This takes a majority of the live members, and a majority of one of two
        larger groups: all known members, or those of the local data centre.  A
        host that was paused, or that is isolated, fails both.  An isolated data
        centre passes once it has declared the other members dead.
        """
        live = [member.contact_until for member in self.alive]
        known = [member for member in self.by_name.values() if member.listed or not member.dead]
        everyone = [member.contact_until for member in known]
        local = [
            member.contact_until
            for member in known
            if member.host.data_centre == self.me.data_centre
        ]
        larger = max(_majority_until(local), _majority_until(everyone))
        return min(_majority_until(live), larger)

    def add(self, host: HostEntry, now: float) -> Member:
        """Return the member for `host`; create it if it does not exist."""
        member = self.by_name.get(host.name)
        if member is None:
            member = Member(host, heartbeat_deadline=now + DEAD_S, stable_at=now)
            self.by_name[host.name] = member
        return member


def _majority_until(deadlines: list[float]) -> float:
    """Return when contact with a majority ends, counting the balancer itself.

    Returns infinity if there are no other members.
    """
    needed = (len(deadlines) + 1) // 2
    if needed <= 0:
        return float('inf')
    return sorted(deadlines, reverse=True)[needed - 1]
