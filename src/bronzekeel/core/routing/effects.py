"""Define the effects that a balancer's decisions request from its adapters."""

from bronzekeel.core.routing.messages import Heartbeat, KnownVersions


class Effect:
    """Request an action from the adapters."""

    __slots__ = ()


class ReadPage(Effect):
    """Read the page of a collection that holds the names after `after`.

    A `stale` read costs the store less, but its result may be seconds old.
    """

    __slots__ = ('after', 'collection', 'stale')

    def __init__(self, collection: str, after: str, *, stale: bool = False) -> None:
        """Read `collection` after the name `after`; an empty name reads from the start."""
        self.collection = collection
        self.after = after
        self.stale = stale


class WatchChanges(Effect):
    """Wait for changes of a collection after a revision, for at most `wait_s` seconds.

    A `stale` watch costs the store less, but may report changes seconds late.
    """

    __slots__ = ('collection', 'revision', 'stale', 'wait_s')

    def __init__(
        self,
        collection: str,
        revision: int,
        wait_s: float,
        *,
        stale: bool = False,
    ) -> None:
        """Watch `collection` for changes after `revision`."""
        self.collection = collection
        self.revision = revision
        self.wait_s = wait_s
        self.stale = stale


class SendHeartbeat(Effect):
    """Send one heartbeat to several peers."""

    __slots__ = ('addresses', 'heartbeat')

    def __init__(self, heartbeat: Heartbeat, addresses: list[tuple[str, int]]) -> None:
        """Send `heartbeat` to all `addresses`."""
        self.heartbeat = heartbeat
        self.addresses = addresses


class FetchView(Effect):
    """Fetch from a peer what it knows beyond what is `known` here."""

    __slots__ = ('address', 'known')

    def __init__(self, address: tuple[str, int], known: KnownVersions) -> None:
        """Fetch from the peer at `address`."""
        self.address = address
        self.known = known


class WriteLine(Effect):
    """Write one numbered log line with its fields."""

    __slots__ = ('fields', 'number')

    def __init__(self, number: int, **fields: object) -> None:
        """Write the log event `number`."""
        self.number = number
        self.fields = fields


class DropWaiting(Effect):
    """Drop the callers' packets that wait to be read or sent."""

    __slots__ = ()


class End(Effect):
    """End the process, as a planned stop is complete."""

    __slots__ = ()
