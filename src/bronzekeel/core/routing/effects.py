"""Define what a balancer's decisions ask its adapters to do."""

from bronzekeel.core.routing.messages import Heartbeat, KnownVersions


class Effect:
    """Ask the adapters for something."""

    __slots__ = ()


class ReadPage(Effect):
    """Read a page of a collection, the names after `after`.

    A `stale` read costs the store less and may be seconds behind.
    """

    __slots__ = ('after', 'collection', 'stale')

    def __init__(self, collection: str, after: str, *, stale: bool = False) -> None:
        """Read `collection` from `after` on; an empty name is the start."""
        self.collection = collection
        self.after = after
        self.stale = stale


class WatchChanges(Effect):
    """Wait for changes of a collection after a revision, `wait_s` seconds at most.

    A `stale` watch costs the store less and may tell seconds late.
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
        """Watch `collection` from `revision` on."""
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
    """Ask a peer for what it knows beyond what is known here."""

    __slots__ = ('address', 'known')

    def __init__(self, address: tuple[str, int], known: KnownVersions) -> None:
        """Ask the peer at `address`."""
        self.address = address
        self.known = known


class WriteLine(Effect):
    """Write one numbered log line with its fields."""

    __slots__ = ('fields', 'number')

    def __init__(self, number: int, **fields: object) -> None:
        """Write the event `number`."""
        self.number = number
        self.fields = fields


class DropWaiting(Effect):
    """Drop the callers' packets that wait to be read."""

    __slots__ = ()


class End(Effect):
    """End the process: nothing of this balancer is needed any more."""

    __slots__ = ()
