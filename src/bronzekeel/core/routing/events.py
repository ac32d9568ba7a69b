"""Define everything that can happen to a balancer that steers by connection ids."""

from bronzekeel.core.routing.messages import Heartbeat, View
from bronzekeel.core.routing.model import RoutingText, UpstreamEntry


class Event:
    """Tell what happened."""

    __slots__ = ()


class Started(Event):
    """Tell that all sockets are bound."""

    __slots__ = ()


class Ticked(Event):
    """Tell that ``TICK_S`` has passed."""

    __slots__ = ()


class Paused(Event):
    """Tell that the process or its host stood still."""

    __slots__ = ('paused_s',)

    def __init__(self, paused_s: float) -> None:
        """Keep for how many seconds."""
        self.paused_s = paused_s


class StopAsked(Event):
    """Tell that the operator stops this balancer in a planned way."""

    __slots__ = ()


class ProbeAnswered(Event):
    """Tell that the fabric's readiness probe was answered."""

    __slots__ = ('ready',)

    def __init__(self, *, ready: bool) -> None:
        """Keep what the answer said."""
        self.ready = ready


class Unreadable:
    """Stand for the content of an object that could not be read."""

    __slots__ = ('problem',)

    def __init__(self, problem: str) -> None:
        """Keep what is wrong with it."""
        self.problem = problem


class Evacuation:
    """Stand for the content of an operators' request; the object's name is the data centre's."""

    __slots__ = ()


Content = RoutingText | UpstreamEntry | Evacuation | Unreadable


class StoredObject:
    """Hold one object of a followed collection; `content` None: it was removed."""

    __slots__ = ('content', 'name', 'revision')

    def __init__(
        self,
        name: str,
        revision: int,
        content: Content | None,
    ) -> None:
        """Keep what the store said."""
        self.name = name
        self.revision = revision
        self.content = content


class PageRead(Event):
    """Tell that a page of a collection was read at the store's `revision`."""

    __slots__ = ('collection', 'more', 'objects', 'revision')

    def __init__(
        self,
        collection: str,
        objects: list[StoredObject],
        revision: int,
        *,
        more: bool,
    ) -> None:
        """Keep the page; `more` tells that others follow."""
        self.collection = collection
        self.objects = objects
        self.revision = revision
        self.more = more


class ChangesRead(Event):
    """Tell what changed up to the store's `revision`.

    A watch that began in a former incarnation is answered by the number alone: what it tells then
    is not all that is new.
    """

    __slots__ = ('collection', 'objects', 'revision')

    def __init__(self, collection: str, objects: list[StoredObject], revision: int) -> None:
        """Keep the changes in their order."""
        self.collection = collection
        self.objects = objects
        self.revision = revision


class HistoryLost(Event):
    """Tell that the store no longer has the changes since our revision."""

    __slots__ = ('collection', 'incarnation')

    def __init__(self, collection: str, incarnation: int = 0) -> None:
        """Keep which collection it is, and which incarnation of the store says so."""
        self.collection = collection
        self.incarnation = incarnation


class CallFailed(Event):
    """Tell that a call to the store gave nothing."""

    __slots__ = ('collection', 'problem')

    def __init__(self, collection: str, problem: str) -> None:
        """Keep what went wrong, in words for the log."""
        self.collection = collection
        self.problem = problem


class HeartbeatHeard(Event):
    """Tell that a peer's heartbeat arrived."""

    __slots__ = ('heartbeat',)

    def __init__(self, heartbeat: Heartbeat) -> None:
        """Keep the heartbeat."""
        self.heartbeat = heartbeat


class ViewFetched(Event):
    """Tell what a peer knows beyond what this balancer asked with."""

    __slots__ = ('address', 'view')

    def __init__(self, address: tuple[str, int], view: View) -> None:
        """Keep the view and where it is from."""
        self.address = address
        self.view = view


class ViewFailed(Event):
    """Tell that a peer gave no view."""

    __slots__ = ('address', 'problem')

    def __init__(self, address: tuple[str, int], problem: str) -> None:
        """Keep what went wrong, in words for the log."""
        self.address = address
        self.problem = problem


class SettingsChanged(Event):
    """Tell that the settings were read anew."""

    __slots__ = ('problem', 'stop_within_s')

    def __init__(self, stop_within_s: float, problem: str = '') -> None:
        """Keep the new bound on a stop; `problem` tells why nothing was taken."""
        self.stop_within_s = stop_within_s
        self.problem = problem
