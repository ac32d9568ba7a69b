"""Write and read what balancers tell each other, as JSON.

A field that is not there or is of the wrong kind makes the whole message
unreadable: a peer of another version must not be half understood.
"""

from collections.abc import Iterator
from json import dumps as encode_json
from json import loads as decode_json
from typing import Any
from zlib import compress, decompressobj
from zlib import error as CompressionError  # noqa: N812 (a class in spite of its name)

from bronzekeel.core.routing.connection_ids import seal_of
from bronzekeel.core.routing.field_checks import (
    MAX_COLD_S,
    MAX_SLOTS,
    address,
    bounded_float,
    label,
    whole_number,
)
from bronzekeel.core.routing.messages import (
    Allowance,
    Evacuated,
    FlowShare,
    Heartbeat,
    MissingEntry,
    PeerAddress,
    View,
)
from bronzekeel.core.routing.model import Route, RoutingText, ServiceShare, UpstreamEntry
from bronzekeel.entry.caller_fields import decode_callers, encode_callers
from bronzekeel.entry.count_fields import decode_counts, encode_counts
from bronzekeel.entry.load_fields import decode_asked, decode_centres, encode_load
from bronzekeel.entry.revision_fields import (
    decode_revision,
    decode_text_order,
    encode_revision,
    encode_text_order,
)


#: What a message of the wrong shape raises while it is read.
_FORMAT_FAULTS = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    IndexError,
    OverflowError,
    RecursionError,
)

#: Level of compression.  Source: 6 ms of processor time for 590 KB; higher ones save a tenth.
_QUICK = 1

#: Bytes of a body at most.  Source: five times 27,000 upstreams of 92 bytes and 9,200 routes of 21.
_MOST_BODY = 16_000_000

_COMPACT = (',', ':')

#: Bytes of a route's address and port.
_KEY_BYTES = 6
_ENDLESS = float('inf')

#: Largest number of an upstream: 64 bits stand before packets.
_MOST_NUMBER = 0xFFFFFFFFFFFFFFFF

#: What routes have in common that are told together: services with weights, priority, seconds
#: to the time limit, homes, seconds of the latency objective.
_RouteKind = tuple[tuple[tuple[str, int], ...], int, float, tuple[str, ...], float]

#: Fields of an entry in the order in which they are told; the revision follows them.
_ENTRY_FIELDS = (
    'name',
    'number',
    'service',
    'address',
    'data_centre',
    'slots',
    'draining',
    'cold_s',
    'started_ms',
    'usable',
)
_FLAGS = ('direct', 'lost', 'stopping')


class MessageError(ValueError):
    """Tell that a peer's message is unreadable; compare the peers' versions."""


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Return the datagram of a heartbeat."""
    return _encoded(
        {
            'from': _peer_out(heartbeat.sender),
            'text': encode_text_order(heartbeat.text_order),
            'upstreams': encode_revision(heartbeat.upstreams_revision),
            'unanswered': list(heartbeat.unanswered_by_number.items()),
            'busy': list(heartbeat.busy_by_number.items()),
            'others': [_peer_out(other) for other in heartbeat.others],
            'shares': None if heartbeat.shares is None else _shares_out(heartbeat.shares),
            'rates': [
                (service, round(rate)) for service, rate in heartbeat.rate_by_service.items()
            ],
            'loads': [
                (service, round(load, 2)) for service, load in heartbeat.load_by_service.items()
            ],
            'evacuated': (
                encode_revision(heartbeat.evacuated.as_of),
                sorted(heartbeat.evacuated.centres),
            ),
            **_counts_out(heartbeat),
            'room': None if heartbeat.allowances is None else _room_out(heartbeat.allowances),
            'flags': [getattr(heartbeat, flag) for flag in _FLAGS],
            **encode_callers(heartbeat.callers_by_service),
            **encode_load(heartbeat),
        },
    )


def decode_heartbeat(raw: bytes) -> Heartbeat:
    """Return the heartbeat of a datagram.  Raises MessageError."""
    try:
        fields = decode_json(raw)
        flags = dict(zip(_FLAGS, map(bool, fields['flags']), strict=True))
        return Heartbeat(
            _peer_in(fields['from']),
            decode_text_order(*fields['text']),
            decode_revision(*fields['upstreams']),
            {int(number): int(busy) for number, busy in fields['busy']},
            tuple(_peer_in(other) for other in fields['others']),
            {str(service): _figure_in(rate) for service, rate in fields['rates']},
            None if fields['shares'] is None else _shares_in(fields['shares']),
            load_by_service={str(service): _figure_in(load) for service, load in fields['loads']},
            allowances=None if fields['room'] is None else _room_in(fields['room']),
            evacuated=_evacuated_in(*fields['evacuated']),
            unanswered_by_number={
                int(number): int(unanswered) for number, unanswered in fields['unanswered']
            },
            callers_by_service=decode_callers(fields.get('callers', [])),
            counts=decode_counts(fields),
            demand_by_service=decode_asked(fields.get('asked')),
            hears=decode_centres('hears', fields.get('hears', [])),
            unheard=decode_centres('unheard', fields.get('unheard', [])),
            **flags,
        )
    except _FORMAT_FAULTS as fault:
        raise MessageError(f'heartbeat unreadable: {fault!r}') from fault


def _counts_out(heartbeat: Heartbeat) -> dict[str, str]:
    return {} if heartbeat.counts is None else encode_counts(heartbeat.counts)


def encode_view(view: View) -> bytes:
    """Return the body of a view."""
    return _encoded(
        {
            'text': None if view.text is None else _text_out(view.text),
            'text_followed': encode_revision(view.text_followed),
            'entries': [_entry_out(entry) for entry in view.entries],
            'missing': [
                (
                    _entry_out(missing.entry),
                    encode_revision(missing.revision),
                    missing.gone_in_s,
                    missing.left,
                )
                for missing in view.missing
            ],
            'upstreams_followed': encode_revision(view.upstreams_followed),
            'newest': encode_revision(view.newest_revision),
            'all_missing': view.all_missing,
        },
    )


def decode_view(raw: bytes) -> View:
    """Return the view of a body.  Raises MessageError."""
    try:
        fields = decode_json(raw)
        text = fields['text']
        return View(
            None if text is None else _text_in(text),
            decode_revision(*fields['text_followed']),
            [_entry_in(entry) for entry in fields['entries']],
            [_missing_in(missing) for missing in fields['missing']],
            decode_revision(*fields['upstreams_followed']),
            decode_revision(*fields['newest']),
            all_missing=bool(fields['all_missing']),
        )
    except _FORMAT_FAULTS as fault:
        raise MessageError(f'view unreadable: {fault!r}') from fault


def packed(body: bytes) -> bytes:
    """Return a body as it goes over the wire.

    What goes wrong without it: a view of three thousand upstreams is 590 KB, a link of 20 Mbit/s
    takes longer for two of them than their askers wait, and hosts that start together get
    none.  Packed, with fields by their places, it is 72 KB.
    """
    return compress(body, _QUICK)


def unpacked(raw: bytes) -> bytes:
    """Return the body that ``packed`` made.  Raises MessageError."""
    reader = decompressobj()
    try:
        body = reader.decompress(raw, _MOST_BODY)
    except CompressionError as fault:
        raise MessageError(f'body unreadable: {fault}') from fault
    if not reader.eof:
        raise MessageError(f'body is cut, or larger than {_MOST_BODY} bytes')
    return body


def _encoded(fields: dict[str, Any]) -> bytes:
    return encode_json(fields, separators=_COMPACT).encode()


def _peer_out(peer: PeerAddress) -> tuple[str, str, str, int]:
    return peer.name, peer.data_centre, peer.address[0], peer.address[1]


def _peer_in(fields: list[Any]) -> PeerAddress:
    name, data_centre, host, port = fields
    return PeerAddress(str(name), str(data_centre), (str(host), int(port)))


def _shares_out(shares: tuple[FlowShare, ...]) -> list[tuple[str, str, float]]:
    return [(share.service, share.data_centre, round(share.share, 3)) for share in shares]


def _shares_in(fields: list[Any]) -> tuple[FlowShare, ...]:
    return tuple(
        FlowShare(str(service), str(data_centre), _figure_in(share))
        for service, data_centre, share in fields
    )


def _room_out(allowances: tuple[Allowance, ...]) -> list[tuple[str, str, float]]:
    return [
        (allowance.service, allowance.data_centre, round(allowance.requests, 1))
        for allowance in allowances
    ]


def _room_in(fields: list[Any]) -> tuple[Allowance, ...]:
    return tuple(
        Allowance(str(service), str(data_centre), _figure_in(requests))
        for service, data_centre, requests in fields
    )


def _evacuated_in(as_of: list[Any], centres: list[Any]) -> Evacuated:
    names = frozenset(label('evacuated', centre) for centre in centres)
    return Evacuated(decode_revision(*as_of), names)


def _figure_in(field: Any) -> float:
    """Return a figure that can be reckoned with: zero or more, and no infinity."""
    figure = float(field)
    if not 0 <= figure < _ENDLESS:
        raise ValueError(f'{figure} is no figure to reckon with')
    return figure


def _text_out(text: RoutingText) -> dict[str, Any]:
    """Return a text with its routes grouped by where they lead and how urgent they are.

    What goes wrong with a route an object each: a text of two thousand routes
    is 95 KB, and a data centre of thirty hosts with links of 10 Mbit/s takes
    seconds to pass it on.  Grouped it is a quarter of that.
    """
    keys_by_kind: dict[_RouteKind, list[str]] = {}
    for route in text.route_by_key.values():
        shares = tuple((share.service, share.weight) for share in route.shares)
        kind = (
            shares,
            route.priority,
            route.timeout_s,
            tuple(sorted(route.homes)),
            route.objective_s,
        )
        keys_by_kind.setdefault(kind, []).append(route.key.hex())
    return {
        'generation': text.generation,
        'revision': encode_revision(text.revision),
        'idle_s': text.idle_s,
        'cold_rates': list(text.cold_rate_by_service.items()),
        'groups': [(*kind, ''.join(keys)) for kind, keys in keys_by_kind.items()],
    }


def _text_in(fields: dict[str, Any]) -> RoutingText:
    route_by_key = {route.key: route for group in fields['groups'] for route in _routes_in(*group)}
    return RoutingText(
        whole_number('generation', fields['generation']),
        decode_revision(*fields['revision']),
        route_by_key,
        float(fields['idle_s']),
        {str(service): _figure_in(rate) for service, rate in fields['cold_rates']},
    )


def _routes_in(
    listed: list[Any],
    priority: int,
    timeout_s: float,
    listed_homes: list[Any],
    objective_s: float,
    keys_hex: str,
) -> Iterator[Route]:
    homes = frozenset(label('homes', region) for region in listed_homes)
    shares = tuple(ServiceShare(str(service), int(weight)) for service, weight in listed)
    keys = bytes.fromhex(keys_hex)
    for place in range(0, len(keys), _KEY_BYTES):
        key = keys[place : place + _KEY_BYTES]
        yield Route(
            key,
            shares,
            seal_of(key),
            int(priority),
            _figure_in(timeout_s),
            homes,
            _figure_in(objective_s),
        )


def _entry_out(entry: UpstreamEntry) -> list[object]:
    """Return an entry by the places of its fields: names would be half of a view."""
    fields = [getattr(entry, name) for name in _ENTRY_FIELDS]
    return [*fields, encode_revision(entry.revision)]


def _entry_in(listed: list[Any]) -> UpstreamEntry:
    *told, revision = listed
    fields = dict(zip(_ENTRY_FIELDS, told, strict=True))
    host, port = fields['address']
    return UpstreamEntry(
        name=label('name', fields['name']),
        number=whole_number('number', fields['number'], maximum=_MOST_NUMBER),
        service=label('service', fields['service']),
        address=address('address', host, port),
        data_centre=label('data_centre', fields['data_centre']),
        slots=whole_number('slots', fields['slots'], 1, MAX_SLOTS),
        draining=bool(fields['draining']),
        cold_s=bounded_float('cold_s', fields['cold_s'], MAX_COLD_S),
        revision=decode_revision(*revision),
        started_ms=whole_number('started_ms', fields['started_ms']),
        usable=bool(fields['usable']),
    )


def _missing_in(fields: list[Any]) -> MissingEntry:
    entry, revision, gone_in_s, left = fields
    return MissingEntry(
        _entry_in(entry),
        decode_revision(*revision),
        float(gone_in_s),
        left=bool(left),
    )
