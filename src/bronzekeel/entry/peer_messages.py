"""Encode and decode messages between balancers as JSON.

A missing field or one of the wrong type makes the whole message unreadable, so that a message of
another version is never applied in part.
"""

from collections.abc import Iterator
from json import dumps as encode_json
from json import loads as decode_json
from typing import Any
from zlib import compress, decompressobj
from zlib import error as CompressionError  # noqa: N812 (it is a class)

from bronzekeel.core.routing.connection_ids import route_tag_of
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
from bronzekeel.entry.listed_fields import decode_listed, encode_listed
from bronzekeel.entry.load_fields import decode_demand, decode_centres, encode_load
from bronzekeel.entry.revision_fields import (
    decode_revision,
    decode_text_order,
    encode_revision,
    encode_text_order,
)


#: Exceptions that decoding a malformed message can raise.
_FORMAT_ERRORS = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    IndexError,
    OverflowError,
    RecursionError,
)

#: zlib level: 6 ms of processor time for 590 KB; higher levels make the body only 10% smaller.
_COMPRESSION_LEVEL = 1

#: Maximum size of a decompressed body: five times the size of 27,000 upstreams of 92 bytes and
#: 9,200 routes of 21 bytes.
_MAX_BODY_BYTES = 16_000_000

_COMPACT_SEPARATORS = (',', ':')

#: Size of a route key, an IPv4 address and a port.
_ROUTE_KEY_BYTES = 6
_INFINITY = float('inf')

#: Largest number of an upstream, which is written as 64 bits in front of packets.
_MAX_UPSTREAM_NUMBER = 0xFFFFFFFFFFFFFFFF

#: Properties that the routes of a group have in common: services with weights, priority, time limit
#: in seconds, home regions, latency objective in seconds.
_RouteGroup = tuple[tuple[tuple[str, int], ...], int, float, tuple[str, ...], float]

#: Fields of an entry in the order in which they are sent; the revision follows them.
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
    """Raised for an unreadable message of a peer; the peers' versions may differ."""


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Return a heartbeat as a datagram."""
    return _encode_json(
        {
            'from': _encode_peer(heartbeat.sender),
            'text': encode_text_order(heartbeat.text_order),
            'upstreams': encode_revision(heartbeat.upstreams_revision),
            'unanswered': list(heartbeat.unanswered_by_number.items()),
            'busy': list(heartbeat.busy_by_number.items()),
            'others': [_encode_peer(other) for other in heartbeat.others],
            'shares': None if heartbeat.shares is None else _encode_shares(heartbeat.shares),
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
            **_encode_counts_if_any(heartbeat),
            'room': None
            if heartbeat.allowances is None
            else _encode_allowances(heartbeat.allowances),
            'flags': [getattr(heartbeat, flag) for flag in _FLAGS],
            **encode_callers(heartbeat.callers_by_service),
            **encode_load(heartbeat),
        },
    )


def decode_heartbeat(raw: bytes) -> Heartbeat:
    """Return the heartbeat in a datagram.  Raises MessageError."""
    try:
        fields = decode_json(raw)
        flags = dict(zip(_FLAGS, map(bool, fields['flags']), strict=True))
        return Heartbeat(
            _decode_peer(fields['from']),
            decode_text_order(*fields['text']),
            decode_revision(*fields['upstreams']),
            {int(number): int(busy) for number, busy in fields['busy']},
            tuple(_decode_peer(other) for other in fields['others']),
            {str(service): _decode_number(rate) for service, rate in fields['rates']},
            None if fields['shares'] is None else _decode_shares(fields['shares']),
            load_by_service={
                str(service): _decode_number(load) for service, load in fields['loads']
            },
            allowances=None if fields['room'] is None else _decode_allowances(fields['room']),
            evacuated=_decode_evacuated(*fields['evacuated']),
            unanswered_by_number={
                int(number): int(unanswered) for number, unanswered in fields['unanswered']
            },
            callers_by_service=decode_callers(fields.get('callers', [])),
            counts=decode_counts(fields),
            demand_by_service=decode_demand(fields.get('asked')),
            hears=decode_centres('hears', fields.get('hears', [])),
            unheard=decode_centres('unheard', fields.get('unheard', [])),
            **flags,
        )
    except _FORMAT_ERRORS as error:
        raise MessageError(f'heartbeat unreadable: {error!r}') from error


def _encode_counts_if_any(heartbeat: Heartbeat) -> dict[str, str]:
    return {} if heartbeat.counts is None else encode_counts(heartbeat.counts)


def encode_view(view: View) -> bytes:
    """Return a view as an uncompressed body."""
    return _encode_json(
        {
            'text': None if view.text is None else _encode_text(view.text),
            'text_followed': encode_revision(view.text_followed),
            'entries': [_encode_entry(entry) for entry in view.entries],
            'missing': [
                (
                    _encode_entry(missing.entry),
                    encode_revision(missing.revision),
                    missing.gone_in_s,
                    missing.left,
                )
                for missing in view.missing
            ],
            'upstreams_followed': encode_revision(view.upstreams_followed),
            'newest': encode_revision(view.newest_revision),
            'all_missing': view.all_missing,
            'removals_since': encode_revision(view.removals_since),
            'listed': encode_listed(view),
        },
    )


def decode_view(raw: bytes) -> View:
    """Return the view in an uncompressed body.  Raises MessageError."""
    try:
        fields = decode_json(raw)
        text = fields['text']
        entries = [_decode_entry(entry) for entry in fields['entries']]
        return View(
            None if text is None else _decode_text(text),
            decode_revision(*fields['text_followed']),
            entries,
            [_decode_missing(missing) for missing in fields['missing']],
            decode_revision(*fields['upstreams_followed']),
            decode_revision(*fields['newest']),
            all_missing=bool(fields['all_missing']),
            removals_since=decode_revision(*fields['removals_since']),
            listed_names=decode_listed(fields['listed'], [entry.name for entry in entries]),
        )
    except _FORMAT_ERRORS as error:
        raise MessageError(f'view unreadable: {error!r}') from error


def compress_body(body: bytes) -> bytes:
    """Return a body compressed for sending.

    A view of 3,000 upstreams is 590 KB uncompressed.  Sending two of them over a 20 Mbit/s link
    takes longer than the requesting peers wait, so hosts that start together would receive none.
    Compressed, with fields by position, it is 72 KB.
    """
    return compress(body, _COMPRESSION_LEVEL)


def decompress_body(raw: bytes) -> bytes:
    """Return the body that `compress_body` compressed.  Raises MessageError."""
    reader = decompressobj()
    try:
        body = reader.decompress(raw, _MAX_BODY_BYTES)
    except CompressionError as error:
        raise MessageError(f'body unreadable: {error}') from error
    if not reader.eof:
        raise MessageError(f'body is truncated or larger than {_MAX_BODY_BYTES} bytes')
    return body


def _encode_json(fields: dict[str, Any]) -> bytes:
    return encode_json(fields, separators=_COMPACT_SEPARATORS).encode()


def _encode_peer(peer: PeerAddress) -> tuple[str, str, str, int]:
    return peer.name, peer.data_centre, peer.address[0], peer.address[1]


def _decode_peer(fields: list[Any]) -> PeerAddress:
    name, data_centre, host, port = fields
    return PeerAddress(str(name), str(data_centre), (str(host), int(port)))


def _encode_shares(shares: tuple[FlowShare, ...]) -> list[tuple[str, str, float]]:
    return [(share.service, share.data_centre, round(share.share, 3)) for share in shares]


def _decode_shares(fields: list[Any]) -> tuple[FlowShare, ...]:
    return tuple(
        FlowShare(str(service), str(data_centre), _decode_number(share))
        for service, data_centre, share in fields
    )


def _encode_allowances(allowances: tuple[Allowance, ...]) -> list[tuple[str, str, float]]:
    return [
        (allowance.service, allowance.data_centre, round(allowance.requests, 1))
        for allowance in allowances
    ]


def _decode_allowances(fields: list[Any]) -> tuple[Allowance, ...]:
    return tuple(
        Allowance(str(service), str(data_centre), _decode_number(requests))
        for service, data_centre, requests in fields
    )


def _decode_evacuated(as_of: list[Any], centres: list[Any]) -> Evacuated:
    names = frozenset(label('evacuated', centre) for centre in centres)
    return Evacuated(decode_revision(*as_of), names)


def _decode_number(field: Any) -> float:
    """Return a finite number that is not negative.  Raises ValueError for any other."""
    number = float(field)
    if not 0 <= number < _INFINITY:
        raise ValueError(f'{number} is not a finite number of zero or more')
    return number


def _encode_text(text: RoutingText) -> dict[str, Any]:
    """Return the fields of a text, with routes grouped by their common properties.

    With one object per route, a text of 2,000 routes is 95 KB and takes seconds to spread through a
    data centre of 30 hosts with 10 Mbit/s links.  Grouped, it is a quarter of that size.
    """
    keys_by_group: dict[_RouteGroup, list[str]] = {}
    for route in text.route_by_key.values():
        shares = tuple((share.service, share.weight) for share in route.shares)
        group = (
            shares,
            route.priority,
            route.timeout_s,
            tuple(sorted(route.homes)),
            route.objective_s,
        )
        keys_by_group.setdefault(group, []).append(route.key.hex())
    return {
        'generation': text.generation,
        'revision': encode_revision(text.revision),
        'idle_s': text.idle_s,
        'cold_rates': list(text.cold_rate_by_service.items()),
        'groups': [(*group, ''.join(keys)) for group, keys in keys_by_group.items()],
    }


def _decode_text(fields: dict[str, Any]) -> RoutingText:
    route_by_key = {
        route.key: route for group in fields['groups'] for route in _decode_routes(*group)
    }
    return RoutingText(
        whole_number('generation', fields['generation']),
        decode_revision(*fields['revision']),
        route_by_key,
        float(fields['idle_s']),
        {str(service): _decode_number(rate) for service, rate in fields['cold_rates']},
    )


def _decode_routes(
    encoded_shares: list[Any],
    priority: int,
    timeout_s: float,
    encoded_homes: list[Any],
    objective_s: float,
    keys_hex: str,
) -> Iterator[Route]:
    homes = frozenset(label('homes', region) for region in encoded_homes)
    shares = tuple(ServiceShare(str(service), int(weight)) for service, weight in encoded_shares)
    keys = bytes.fromhex(keys_hex)
    for offset in range(0, len(keys), _ROUTE_KEY_BYTES):
        key = keys[offset : offset + _ROUTE_KEY_BYTES]
        yield Route(
            key,
            shares,
            route_tag_of(key),
            int(priority),
            _decode_number(timeout_s),
            homes,
            _decode_number(objective_s),
        )


def _encode_entry(entry: UpstreamEntry) -> list[object]:
    """Return the fields of an entry by position; field names would be half of a view."""
    fields = [getattr(entry, name) for name in _ENTRY_FIELDS]
    return [*fields, encode_revision(entry.revision)]


def _decode_entry(encoded_entry: list[Any]) -> UpstreamEntry:
    *encoded, revision = encoded_entry
    fields = dict(zip(_ENTRY_FIELDS, encoded, strict=True))
    host, port = fields['address']
    return UpstreamEntry(
        name=label('name', fields['name']),
        number=whole_number('number', fields['number'], maximum=_MAX_UPSTREAM_NUMBER),
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


def _decode_missing(fields: list[Any]) -> MissingEntry:
    entry, revision, gone_in_s, left = fields
    return MissingEntry(
        _decode_entry(entry),
        decode_revision(*revision),
        float(gone_in_s),
        left=bool(left),
    )
