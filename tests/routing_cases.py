"""Provide states, packets and fleets for tests of steering by connection ids."""

from bronzekeel.bench.admission_policies import AdmitAll
from bronzekeel.core.routing.admission import Admission, RequestsPerSlot
from bronzekeel.core.routing.connection_ids import route_tag_of
from bronzekeel.core.routing.decisions import NoDecisionLog
from bronzekeel.core.routing.events import PageRead, StoredObject
from bronzekeel.core.routing.follower import Collection
from bronzekeel.core.routing.messages import PeerAddress
from bronzekeel.core.routing.model import (
    FlowPacket,
    Route,
    RoutingText,
    ServiceShare,
    UpstreamEntry,
)
from bronzekeel.core.routing.peers import PeerTable
from bronzekeel.core.routing.placement import LeastBusy
from bronzekeel.core.routing.reducer import reduce
from bronzekeel.core.routing.revisions import number_of
from bronzekeel.core.routing.state import RoutingState
from bronzekeel.core.routing.steering import ConnectionIdSteering
from bronzekeel.core.routing.verdicts import Deliver, Verdict, Wait
from bronzekeel.replay.routing_fleet import RoutingFleet


PORTAL = 'portal'
INTAKE = 'intake'
PORTAL_KEY = bytes((198, 18, 0, 1, 1, 187))
INTAKE_KEY = bytes((198, 18, 0, 2, 1, 187))
LOCAL_CENTRE = 'dc-a'
_FIRST_PORT = 1024


def entry(
    number: int,
    service: str = PORTAL,
    revision: int = 0,
    *,
    draining: bool = False,
    cold_s: float = 0,
    data_centre: str = LOCAL_CENTRE,
    slots: int = 3,
) -> UpstreamEntry:
    """Return the entry of the upstream with this number."""
    return UpstreamEntry(
        name=f'i-{number:08x}',
        number=number,
        service=service,
        address=(f'10.0.0.{number}', 80),
        data_centre=data_centre,
        slots=slots,
        draining=draining,
        cold_s=cold_s,
        revision=revision or number,
    )


def route(key: bytes, service: str, priority: int = 0, timeout_s: float = 1) -> Route:
    """Return a route from an address to one service."""
    return Route(key, (ServiceShare(service, 1),), route_tag_of(key), priority, timeout_s)


def text(revision: int, *routes: Route, generation: int = 0) -> RoutingText:
    """Return a text; by default it has one route to each of the two services.

    The generation defaults to the number that the store's revision contains.
    """
    listed = routes or (route(PORTAL_KEY, PORTAL), route(INTAKE_KEY, INTAKE))
    number = generation or number_of(revision)
    return RoutingText(number, revision, {item.key: item for item in listed}, 15)


def page(collection: Collection, *listed: RoutingText | UpstreamEntry) -> PageRead:
    """Return the answer to a listing whose single page has the given contents."""
    objects = [
        StoredObject(getattr(content, 'name', 'main'), content.revision, content)
        for content in listed
    ]
    newest = max((stored.revision for stored in objects), default=0)
    return PageRead(collection, objects, newest, more=False)


def fresh_state(
    name: str = 'a1',
    data_centre: str = LOCAL_CENTRE,
    admission_of: type[Admission] = RequestsPerSlot,
) -> RoutingState:
    """Return the state of a balancer that has just started."""
    me = PeerAddress(name, data_centre, (name, 9))
    return RoutingState(PeerTable(me, ()), 6, admission_of)


def ready_state(
    *entries: UpstreamEntry,
    now: float = 0,
    admission_of: type[Admission] = AdmitAll,
) -> RoutingState:
    """Return a ready state that lists the entries.

    By default all requests are admitted, so that only the choice of upstreams is tested.
    """
    state = fresh_state(admission_of=admission_of)
    reduce(state, page(Collection.TEXT, text(1)), now)
    reduce(state, page(Collection.UPSTREAMS, *entries), now)
    reduce(state, page(Collection.EVACUATIONS), now)
    return state


def steering(state: RoutingState) -> ConnectionIdSteering:
    """Return the steering that decides by a state."""
    return ConnectionIdSteering(
        state, LeastBusy(state.peers.me.data_centre, state.balance), NoDecisionLog()
    )


def flow(number: int, key: bytes = PORTAL_KEY) -> bytes:
    """Return the key of the caller's flow with this number."""
    return bytes((100, 64, number >> 8 & 255, number & 255)) + _FIRST_PORT.to_bytes(2, 'big') + key


def opening(number: int, copy: int = 0, key: bytes = PORTAL_KEY) -> FlowPacket:
    """Return the opening packet of a flow, or a repeat of it if `copy` is not zero."""
    return FlowPacket(flow(number, key), key, 0, 100, copy, 0, opens=True, copy=copy)


def asking(
    number: int,
    connection_id: int,
    sequence: int = 101,
    key: bytes = PORTAL_KEY,
    acknowledged: int = 7,
) -> FlowPacket:
    """Return a packet that carries bytes of a request."""
    return FlowPacket(flow(number, key), key, connection_id, sequence, acknowledged, 40)


def acknowledging(number: int, connection_id: int, acknowledged: int) -> FlowPacket:
    """Return an acknowledgement without payload."""
    return FlowPacket(flow(number), PORTAL_KEY, connection_id, 141, acknowledged, 0)


def delivered_to(verdict: Verdict) -> str:
    """Return the upstream that a verdict delivers to, else the verdict and its reason."""
    if isinstance(verdict, Deliver):
        return verdict.upstream.entry.name
    if isinstance(verdict, Wait):
        return 'Wait'
    return f'{type(verdict).__name__} {verdict.reason.value}'


def id_given(verdict: Verdict) -> int:
    """Return the connection id that a verdict writes into the packet."""
    if not isinstance(verdict, Deliver):
        raise AssertionError(f'not delivered: {delivered_to(verdict)}')
    return verdict.connection_id


def fleet_of(
    per_centre: int = 3,
    centres: tuple[str, ...] = ('dc-a', 'dc-b'),
) -> RoutingFleet:
    """Return a started fleet whose store has a text and one upstream in each data centre."""
    fleet = RoutingFleet(
        {
            centre: tuple(f'{centre}-{place}' for place in range(1, per_centre + 1))
            for centre in centres
        },
    )
    fleet.store.put(Collection.TEXT, 'main', text)
    for number, centre in enumerate(centres, start=1):
        put_upstream(fleet, number, data_centre=centre)
    fleet.start()
    fleet.run(1)
    return fleet


def put_upstream(
    fleet: RoutingFleet,
    number: int,
    *,
    draining: bool = False,
    data_centre: str = LOCAL_CENTRE,
) -> str:
    """Write an upstream's entry; return its name."""
    name = entry(number).name

    def make_entry(revision: int) -> UpstreamEntry:  # noqa: WPS430 (the store assigns the revision)
        return entry(number, revision=revision, draining=draining, data_centre=data_centre)

    fleet.store.put(Collection.UPSTREAMS, name, make_entry)
    fleet.notify_watches()
    return name


def put_text(fleet: RoutingFleet, *routes: Route) -> int:
    """Write a text; return its revision."""
    generation = fleet.store.writes + 1
    revision = fleet.store.put(
        Collection.TEXT,
        'main',
        lambda assigned: text(assigned, *routes, generation=generation),
    )
    fleet.notify_watches()
    return revision
