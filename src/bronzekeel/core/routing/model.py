"""Define routes, upstreams and packets.

Modules of this package import little, because imports delay the first packet that a balancer
forwards after its start.
"""

from collections.abc import Mapping
from zlib import crc32

from bronzekeel.core.routing.pools import Pool
from bronzekeel.core.routing.revisions import text_order_of


#: Bits of a connection id; both ends of a flow echo four bytes.
CONNECTION_ID_BITS = 32
_CONNECTION_ID_MASK = (1 << CONNECTION_ID_BITS) - 1


class ServiceShare:
    """Give one service its share of a route's new flows."""

    __slots__ = ('service', 'weight')

    def __init__(self, service: str, weight: int) -> None:
        """Give `service` a `weight` relative to the other services."""
        self.service = service
        self.weight = weight


#: Seconds after which callers of a route abandon a request, if the text does not state it.  This is
#: the shortest timeout in the users' texts for requests of 50 ms.
DEFAULT_TIMEOUT_S = 1.0


#: Regions of a route that is not restricted to any.
ANY_REGION: frozenset[str] = frozenset()


class Route:
    """Map the new flows of one address and port to services.

    `key` is the address and the port as six bytes.  If capacity is short, requests of the lowest
    `priority` value go first.  Callers give up after `timeout_s` seconds and want an answer within
    `objective_s`, zero if the text states none.  Flows must not leave the regions in `homes`; a
    route without homes may lead to any region.
    """

    __slots__ = ('homes', 'key', 'objective_s', 'priority', 'route_tag', 'shares', 'timeout_s')

    def __init__(
        self,
        key: bytes,
        shares: tuple[ServiceShare, ...],
        route_tag: int,
        priority: int = 0,
        timeout_s: float = DEFAULT_TIMEOUT_S,
        homes: frozenset[str] = ANY_REGION,
        objective_s: float = 0,
    ) -> None:
        """Store the route; `route_tag` marks its connection ids."""
        self.key = key
        self.shares = shares
        self.route_tag = route_tag
        self.priority = priority
        self.timeout_s = timeout_s
        self.homes = homes
        self.objective_s = objective_s


class RoutingText:
    """Hold one accepted version of the operators' text.

    `order` orders texts from all sources: by `generation`, the operators' own number, then by
    `revision`.  A flow without packets for `idle_s` seconds may be forgotten.
    `cold_rate_by_service` has the requests per second that a cold upstream of a service can handle.
    `min_objective_s` is the shortest latency objective of all routes, zero if none states one.
    """

    __slots__ = (
        'cold_rate_by_service',
        'generation',
        'idle_s',
        'min_objective_s',
        'order',
        'revision',
        'route_by_key',
    )

    def __init__(
        self,
        generation: int,
        revision: int,
        route_by_key: dict[bytes, Route],
        idle_s: float,
        cold_rate_by_service: Mapping[str, float] | None = None,
    ) -> None:
        """Store the routes by their address and port."""
        self.cold_rate_by_service = cold_rate_by_service or {}
        self.generation = generation
        self.revision = revision
        self.order = text_order_of(generation, revision)
        self.route_by_key = route_by_key
        self.idle_s = idle_s
        self.min_objective_s = min(
            (route.objective_s for route in route_by_key.values()),
            default=0,
        )


class UpstreamEntry:
    """Hold the entry that an upstream stores of itself.

    `number` is its identity in packets.  A restarted process may keep the number but has no state
    of the former one: `started_ms` is its start time in Unix milliseconds, zero if not stated.
    `cold_s` is the remaining time of its cold start in seconds, counted from when the entry was
    read.  `revision` orders entries of one upstream.  An entry that is not `usable` was overwritten
    by something unreadable; its other fields are those from before.
    """

    __slots__ = (
        'address',
        'cold_s',
        'data_centre',
        'draining',
        'name',
        'number',
        'revision',
        'service',
        'slots',
        'started_ms',
        'usable',
    )

    def __init__(  # noqa: WPS211 (the fields of one record)
        self,
        *,
        name: str,
        number: int,
        service: str,
        address: tuple[str, int],
        data_centre: str,
        slots: int,
        draining: bool,
        cold_s: float,
        revision: int,
        started_ms: int = 0,
        usable: bool = True,
    ) -> None:
        """Store the fields as they were read."""
        self.name = name
        self.number = number
        self.service = service
        self.address = address
        self.data_centre = data_centre
        self.slots = max(slots, 1)
        self.draining = draining
        self.cold_s = cold_s
        self.revision = revision
        self.started_ms = started_ms
        self.usable = usable

    @property
    def short_number(self) -> int:
        """The number and the service folded to the width of a connection id.

        Without the service, packets of the former flows of an upstream that restarts under its name
        in another service would reach that service.
        """
        folded = self.number ^ self.number >> CONNECTION_ID_BITS ^ crc32(self.service.encode())
        return folded & _CONNECTION_ID_MASK

    @property
    def accepts_flows(self) -> bool:
        """Whether it may get new flows according to its own entry."""
        return self.usable and not self.draining

    def is_restart_of(self, former: 'UpstreamEntry') -> bool:
        """Whether this is the entry of another process than `former`, or of one that moved.

        If either start time is not stated, the process counts as the same.
        """
        if self.service != former.service or self.data_centre != former.data_centre:
            return True
        if not self.started_ms or not former.started_ms:
            return False
        return self.started_ms != former.started_ms

    def unusable(self, revision: int) -> 'UpstreamEntry':
        """Return a copy of the entry that `revision` made unreadable."""
        return UpstreamEntry(
            name=self.name,
            number=self.number,
            service=self.service,
            address=self.address,
            data_centre=self.data_centre,
            slots=self.slots,
            draining=self.draining,
            cold_s=0,
            revision=revision,
            started_ms=self.started_ms,
            usable=False,
        )


class Upstream:
    """Hold one upstream: its newest entry, and what this balancer observed.

    Presence: `missing_at` is when the store stopped listing it, None while it is listed; from
    `gone_at` on it counts as gone; `removed_revision` is the revision of the removal.

    Own observations: `open_flows` and `busy_flows` are counted from packets of callers.
    `busy_at_peers` is what other balancers of the data centre count, and `shared_load` the
    resulting load per slot.  `unanswered` counts consecutive opening packets without an answer,
    after which it gets no new flows before `avoided_until`; `unresponsive_until` is the same from
    own observations alone.  The last answer was at `answered_at`.  `recent_requests` counts the
    requests that this balancer forwarded recently, including new flows.  `pool` counts what is in
    progress at all upstreams of its service in its data centre.  `speed` is its speed relative to
    the mean of its service, one unless it was learned.  `spare` is the capacity that its open flows
    leave, None if unknown.
    """

    __slots__ = (
        'answered_at',
        'avoided_until',
        'busy_at_peers',
        'busy_flows',
        'entry',
        'gone_at',
        'left',
        'missing_at',
        'open_flows',
        'pool',
        'recent_requests',
        'removed_revision',
        'shared_load',
        'spare',
        'speed',
        'unanswered',
        'unresponsive_until',
        'warm_at',
    )

    def __init__(self, entry: UpstreamEntry, now: float, pool: Pool | None = None) -> None:
        """Start with an upstream that was just listed."""
        self.entry = entry
        self.pool = pool or Pool(entry.service, entry.data_centre)
        self.warm_at = now + entry.cold_s
        self.missing_at: float | None = None
        self.gone_at: float = 0
        self.left = False
        self.removed_revision = 0
        self.open_flows = 0
        self.busy_flows = 0
        self.busy_at_peers = 0
        self.shared_load: float = 0
        self.unanswered = 0
        self.avoided_until: float = 0
        self.unresponsive_until: float = 0
        self.answered_at: float = 0
        self.recent_requests: float = 0
        self.speed: float = 1
        self.spare: float | None = None

    @property
    def capacity(self) -> float:
        """Its capacity when warm, in slots of an upstream of mean speed."""
        return self.entry.slots * self.speed

    @property
    def counts_toward_capacity(self) -> bool:
        """Whether its slots count toward the capacity of its pool for new flows."""
        return self.listed and self.entry.accepts_flows and not self.pool.evacuated

    @property
    def listed(self) -> bool:
        """Whether the store lists it."""
        return self.missing_at is None

    def is_gone(self, now: float) -> bool:
        """Whether its entry is missing and its grace period is over."""
        return self.missing_at is not None and now >= self.gone_at

    def accepts_flows(self, now: float) -> bool:
        """Whether new flows may be sent to it according to the store."""
        return self.entry.accepts_flows and not self.pool.evacuated and not self.is_gone(now)


class FlowPacket:
    """Hold one decoded packet of a caller.

    `flow` identifies the flow by twelve bytes: the caller's address and port, then the route's.
    `copy` counts the repeats of an opening packet.  `sequence` and `acknowledged` are positions in
    the two byte streams.
    """

    __slots__ = (
        'acknowledged',
        'closes',
        'connection_id',
        'copy',
        'flow',
        'opens',
        'payload_bytes',
        'raw',
        'route',
        'sequence',
    )

    def __init__(  # noqa: WPS211 (the fields of one packet)
        self,
        flow: bytes,
        route: bytes,
        connection_id: int,
        sequence: int,
        acknowledged: int,
        payload_bytes: int,
        raw: bytes = b'',
        *,
        opens: bool = False,
        closes: bool = False,
        copy: int = 0,
    ) -> None:
        """Store the fields as they were decoded."""
        self.flow = flow
        self.route = route
        self.connection_id = connection_id
        self.sequence = sequence
        self.acknowledged = acknowledged
        self.payload_bytes = payload_bytes
        self.raw = raw
        self.opens = opens
        self.closes = closes
        self.copy = copy


def format_flow(flow: bytes) -> str:
    """Return a flow in readable form: ``caller:port>address:port``."""
    if len(flow) != _FLOW_BYTES:
        return flow.hex()
    ends = []
    for end in (flow[:6], flow[6:]):
        address = '.'.join(str(octet) for octet in end[:4])
        port = int.from_bytes(end[4:], 'big')
        ends.append(f'{address}:{port}')
    return '>'.join(ends)


_FLOW_BYTES = 12
