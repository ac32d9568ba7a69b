"""Build the objects and the response bodies of the platform's store, for stand-ins of it."""

from collections.abc import Mapping
from typing import Any


def object_content(  # noqa: WPS211 (the fields of one object)
    name: str,
    revision: int,
    create_revision: int,
    finalizers: list[str],
    spec: Any,
    status: Any,
    *,
    deleting: bool,
) -> dict[str, Any]:
    """Return an object as the store sends it."""
    return {
        'meta': {
            'name': name,
            'revision': revision,
            'createRevision': create_revision,
            'finalizers': list(finalizers),
            'deleting': deleting,
        },
        'spec': spec,
        'status': status,
    }


def page_content(items: list[dict[str, Any]], revision: int, *, more: bool) -> dict[str, Any]:
    """Return the response body of one page of a list."""
    return {'items': items, 'hasMore': more, 'storeRevision': revision}


def changes_content(
    changes: list[tuple[dict[str, Any], bool]],
    revision: int,
) -> dict[str, Any]:
    """Return the response body of a watch, from pairs of an object and whether it was removed."""
    events = [{'object': content, 'tombstone': removed} for content, removed in changes]
    return {'events': events, 'storeRevision': revision}


def upstream_name(number: int) -> str:
    """Return the name of an upstream's entry, which ends in its number as hex digits."""
    digits = format(number, '08x')
    return f'i-{digits}'


def upstream_spec(
    service: str,
    address: tuple[str, int],
    data_centre: str,
    *,
    draining: bool = False,
    slots: int = 3,
    started_ms: int | None = None,
) -> dict[str, Any]:
    """Return the spec that an upstream writes of itself; it omits `born` without `started_ms`."""
    started = {} if started_ms is None else {'born': started_ms}
    return {
        **started,
        'service': service,
        'address': f'{address[0]}:{address[1]}',
        'zone': data_centre,
        'version': 'v1',
        'capacity': slots,
        'state': 'draining' if draining else 'ready',
        'warmupLeftMs': 0,
        'sequence': 1,
    }


def text_spec(
    version: int,
    service_by_address: dict[tuple[str, int], str],
    objective_ms_by_service: Mapping[str, int] | None = None,
) -> dict[str, Any]:
    """Return an operators' text with a route for each address and port.

    Routes to a service carry its latency objective if it has one.
    """
    routes: list[dict[str, Any]] = [
        {
            'name': f'to-{service}',
            'host': host,
            'pathPrefix': f'/{port}/',
            'type': 'idempotent',
            'service': service,
        }
        for (host, port), service in service_by_address.items()
    ]
    for route in routes:
        objective_ms = (objective_ms_by_service or {}).get(route['service'])
        if objective_ms:
            route['sloMs'] = objective_ms
    return {'version': version, 'routes': routes, 'limits': {}}
