"""Validate a text and convert it to a catalogue; report all faults at once."""

from collections.abc import Iterator
from ipaddress import ip_address
from typing import Any

from msgspec import DecodeError, ValidationError, convert
from msgspec.json import decode

from bronzekeel.core.catalogue import (
    Catalogue,
    PolicyPriority,
    ServiceKind,
    ServiceSpec,
    UpstreamSpec,
)
from bronzekeel.text.faults import FaultKind, TextError, TextFault
from bronzekeel.text.model import MAX_PORT, Document, ServiceText, UpstreamText


_VALID_PORTS = range(1, MAX_PORT + 1)


def parse_text(body: bytes) -> Document:
    """Return the document encoded in `body`.

    Raises TextError with every fault found.  Services whose fields have the wrong type or range
    are left out of the checks across services.
    """
    try:
        raw = decode(body)
    except (DecodeError, UnicodeDecodeError, RecursionError) as error:
        problem = TextFault(
            FaultKind.SYNTAX,
            '$',
            f'invalid JSON: {error}',
            'correct the JSON at that byte',
        )
        raise TextError((problem,)) from error
    faults: list[TextFault] = []
    services = _convert_services(raw, faults)
    faults.extend(_check_all(services))
    if faults:
        raise TextError(tuple(faults))
    return convert(raw, Document)


def _convert_services(raw: Any, faults: list[TextFault]) -> dict[str, ServiceText]:
    """Convert each service on its own, so that a fault in one does not hide the others."""
    listed = raw.get('services') if isinstance(raw, dict) else None
    if not isinstance(listed, dict):
        faults.append(
            _shape_fault(
                '$.services', 'not an object', 'add `services`, an object of services by name'
            )
        )
        return {}
    for key in raw.keys() - {'services', 'remark'}:
        faults.append(_shape_fault(f'$.{key}', 'unknown key', 'remove it'))
    if not listed:
        faults.append(
            TextFault(FaultKind.EMPTY, '$.services', 'contains no service', 'add a service'),
        )
    services = {}
    for name, service in listed.items():
        try:
            services[name] = convert({name: service}, dict[str, ServiceText])[name]
        except ValidationError as error:
            problem, _, where = str(error).partition(' - at ')
            place = where.strip('`').replace('$[...]', '')
            faults.append(
                _shape_fault(f'$.services.{name}{place}', problem, 'correct this value'),
            )
    return services


def _shape_fault(place: str, problem: str, remedy: str) -> TextFault:
    return TextFault(FaultKind.SHAPE, place, problem, remedy)


def _check_all(services: dict[str, ServiceText]) -> Iterator[TextFault]:
    yield from _check_addresses(services)
    yield from _check_upstreams(services)
    yield from _check_dependencies(services)
    for name, service in services.items():
        if service.buckets & (service.buckets - 1):
            yield TextFault(
                FaultKind.BUCKETS,
                f'$.services.{name}.buckets',
                f'{service.buckets} is not a power of two',
                'use 64, 128, 256 or 512',
            )


def _check_addresses(services: dict[str, ServiceText]) -> Iterator[TextFault]:
    owner_by_endpoint: dict[tuple[str, int], str] = {}
    for name, service in services.items():
        place = f'$.services.{name}.address'
        if not _is_ip(service.address):
            yield TextFault(
                FaultKind.ADDRESS,
                place,
                f'{service.address!r} is not an IP address',
                'write the service address as an IP address',
            )
        owner = owner_by_endpoint.setdefault((service.address, service.port), name)
        if owner != name:
            yield TextFault(
                FaultKind.ADDRESS_TAKEN,
                place,
                f'{service.address} port {service.port} is used by {owner}',
                'give one of the two another address or port',
            )


def _is_ip(text: str) -> bool:
    try:
        ip_address(text)
    except ValueError:
        return False
    return True


def _is_endpoint(text: str) -> bool:
    host, _, port = text.rpartition(':')
    return _is_ip(host) and port.isdecimal() and int(port) in _VALID_PORTS


def _upstreams_by_place(name: str, service: ServiceText) -> Iterator[tuple[str, UpstreamText]]:
    """Yield each upstream of a service with its path in the text."""
    for centre, upstreams in service.upstreams.items():
        for index, upstream in enumerate(upstreams):
            yield f'$.services.{name}.upstreams.{centre}[{index}]', upstream


def _check_upstreams(services: dict[str, ServiceText]) -> Iterator[TextFault]:
    place_by_address: dict[str, str] = {}
    for name, service in services.items():
        placed = list(_upstreams_by_place(name, service))
        if not placed:
            yield TextFault(
                FaultKind.EMPTY,
                f'$.services.{name}.upstreams',
                'contains no upstream',
                'add an upstream or remove the service',
            )
        for place, upstream in placed:
            if not _is_endpoint(upstream.address):
                yield TextFault(
                    FaultKind.ADDRESS,
                    place,
                    f'{upstream.address!r} is not an IP address with a port',
                    'write it as 192.0.2.7:5555',
                )
            first = place_by_address.setdefault(upstream.address, place)
            if first != place:
                yield TextFault(
                    FaultKind.UPSTREAM_SHARED,
                    place,
                    f'{upstream.address} is also used at {first}',
                    'give each upstream an address of its own',
                )


def _check_dependencies(services: dict[str, ServiceText]) -> Iterator[TextFault]:
    for name, service in services.items():
        for index, dependency in enumerate(service.depends_on):
            if dependency not in services:
                yield TextFault(
                    FaultKind.UNKNOWN_NAME,
                    f'$.services.{name}.depends_on[{index}]',
                    f'service {dependency} does not exist',
                    'correct the name or add the service',
                )
    for cycle in _cycles(services):
        yield TextFault(
            FaultKind.CYCLE,
            f'$.services.{cycle[0]}.depends_on',
            'cyclic dependency: {0}'.format(' -> '.join(cycle)),
            'remove one of these dependencies',
        )


def _cycles(services: dict[str, ServiceText]) -> Iterator[list[str]]:
    """Yield each dependency cycle once, starting at its first service by name."""
    done: set[str] = set()
    for start in sorted(services):
        cycle = _cycle_from(start, services, done)
        if cycle:
            done.update(cycle)
            yield cycle


def _cycle_from(start: str, services: dict[str, ServiceText], done: set[str]) -> list[str]:
    """Return a dependency path from `start` back to itself, or an empty list."""
    paths = [] if start in done else [[start]]
    seen = set(done)
    while paths:
        path = paths.pop()
        for dependency in services[path[-1]].depends_on:
            if dependency == start:
                return [*path, start]
            if dependency not in services or dependency in seen:
                continue
            seen.add(dependency)
            paths.append([*path, dependency])
    return []


def check_change(previous: Document, updated: Document) -> None:
    """Check that a change of the text can safely be made in one submission.

    Raises TextError otherwise.  An upstream address that moved from one service to another in a
    single submission would get packets of its previous service from balancers that still have the
    previous text.
    """
    service_by_address = {
        upstream.address: name
        for name, service in previous.services.items()
        for _, upstream in _upstreams_by_place(name, service)
    }
    faults = []
    for name, service in updated.services.items():
        for place, upstream in _upstreams_by_place(name, service):
            owner = service_by_address.get(upstream.address, name)
            if owner == name:
                continue
            faults.append(
                TextFault(
                    FaultKind.UPSTREAM_MOVED,
                    place,
                    f'{upstream.address} belongs to {owner} in the text in force',
                    f'remove it from {owner}, submit, wait until it is drained, then add it',
                )
            )
        previous_service = previous.services.get(name)
        if previous_service and previous_service.buckets != service.buckets:
            faults.append(
                TextFault(
                    FaultKind.BUCKETS,
                    f'$.services.{name}.buckets',
                    'the number of buckets of a service cannot be changed',
                    f'change it back to {previous_service.buckets}',
                )
            )
    if faults:
        raise TextError(tuple(faults))


def build_catalogue(document: Document, generation: int) -> Catalogue:
    """Convert a validated document to the catalogue that the core uses."""
    services = {}
    for name, service in document.services.items():
        upstreams = tuple(
            UpstreamSpec(
                upstream.address,
                centre,
                upstream.weight,
                upstream.state == 'draining',
                upstream.member,
            )
            for centre, listed in service.upstreams.items()
            for upstream in listed
        )
        services[name] = ServiceSpec(
            name=name,
            kind=ServiceKind(service.kind),
            address=service.address,
            port=service.port,
            upstreams=upstreams,
            idempotent=service.idempotent,
            idle_s=service.idle_s,
            buckets=service.buckets,
            slots=service.slots,
            weighs=PolicyPriority(service.weighs),
            depends_on=service.depends_on,
        )
    return Catalogue(generation, services)
