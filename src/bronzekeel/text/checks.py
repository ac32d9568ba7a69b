"""Check a text and turn it into a catalogue; report all faults at once."""

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
from bronzekeel.text.model import MOST_PORT, Document, ServiceText, UpstreamText


_PORTS = range(1, MOST_PORT + 1)


def parse_text(body: bytes) -> Document:
    """Return the document that `body` spells.

    Raises TextError with every fault found.  Services with a faulty shape are
    left out of the checks between services.
    """
    try:
        raw = decode(body)
    except (DecodeError, UnicodeDecodeError, RecursionError) as fault:
        problem = TextFault(
            FaultKind.SYNTAX,
            '$',
            f'not JSON: {fault}',
            'correct the JSON at that byte',
        )
        raise TextError((problem,)) from fault
    faults: list[TextFault] = []
    services = _shapes(raw, faults)
    faults.extend(_check_all(services))
    if faults:
        raise TextError(tuple(faults))
    return convert(raw, Document)


def _shapes(raw: Any, faults: list[TextFault]) -> dict[str, ServiceText]:
    """Convert service by service, so that one fault does not hide the next."""
    listed = raw.get('services') if isinstance(raw, dict) else None
    if not isinstance(listed, dict):
        faults.append(_shape('$.services', 'no object of services', 'add `services`'))
        return {}
    for key in raw.keys() - {'services', 'remark'}:
        faults.append(_shape(f'$.{key}', 'unknown key', 'remove it'))
    if not listed:
        faults.append(
            TextFault(FaultKind.EMPTY, '$.services', 'no service', 'add one service'),
        )
    services = {}
    for name, service in listed.items():
        try:
            services[name] = convert({name: service}, dict[str, ServiceText])[name]
        except ValidationError as fault:
            problem, _, where = str(fault).partition(' - at ')
            place = where.strip('`').replace('$[...]', '')
            faults.append(
                _shape(f'$.services.{name}{place}', problem, 'correct this value'),
            )
    return services


def _shape(place: str, problem: str, remedy: str) -> TextFault:
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
                f'{service.buckets} is no power of two',
                'use 64, 128, 256 or 512',
            )


def _check_addresses(services: dict[str, ServiceText]) -> Iterator[TextFault]:
    holder_by_key: dict[tuple[str, int], str] = {}
    for name, service in services.items():
        place = f'$.services.{name}.address'
        if not _is_ip(service.address):
            yield TextFault(
                FaultKind.ADDRESS,
                place,
                f'{service.address!r} is no IP number',
                'write the service address as an IP number',
            )
        holder = holder_by_key.setdefault((service.address, service.port), name)
        if holder != name:
            yield TextFault(
                FaultKind.ADDRESS_TAKEN,
                place,
                f'{service.address} port {service.port} belongs to {holder}',
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
    return _is_ip(host) and port.isdecimal() and int(port) in _PORTS


def _placed(name: str, service: ServiceText) -> Iterator[tuple[str, UpstreamText]]:
    """Yield every upstream of a service with its place in the text."""
    for centre, upstreams in service.upstreams.items():
        for index, upstream in enumerate(upstreams):
            yield f'$.services.{name}.upstreams.{centre}[{index}]', upstream


def _check_upstreams(services: dict[str, ServiceText]) -> Iterator[TextFault]:
    place_by_address: dict[str, str] = {}
    for name, service in services.items():
        placed = list(_placed(name, service))
        if not placed:
            yield TextFault(
                FaultKind.EMPTY,
                f'$.services.{name}.upstreams',
                'no upstream',
                'add an upstream or remove the service',
            )
        for place, upstream in placed:
            if not _is_endpoint(upstream.address):
                yield TextFault(
                    FaultKind.ADDRESS,
                    place,
                    f'{upstream.address!r} is no IP number with a port',
                    'write it as 192.0.2.7:5555',
                )
            first = place_by_address.setdefault(upstream.address, place)
            if first != place:
                yield TextFault(
                    FaultKind.UPSTREAM_SHARED,
                    place,
                    f'{upstream.address} is also at {first}',
                    'give each upstream an address of its own',
                )


def _check_dependencies(services: dict[str, ServiceText]) -> Iterator[TextFault]:
    for name, service in services.items():
        for index, needed in enumerate(service.depends_on):
            if needed not in services:
                yield TextFault(
                    FaultKind.UNKNOWN_NAME,
                    f'$.services.{name}.depends_on[{index}]',
                    f'no service is named {needed}',
                    'correct the name or add the service',
                )
    for cycle in _cycles(services):
        yield TextFault(
            FaultKind.CYCLE,
            f'$.services.{cycle[0]}.depends_on',
            'these depend on each other: {0}'.format(' -> '.join(cycle)),
            'remove one of these dependencies',
        )


def _cycles(services: dict[str, ServiceText]) -> Iterator[list[str]]:
    """Yield each cycle of dependencies once, from its first service by name."""
    done: set[str] = set()
    for start in sorted(services):
        cycle = _cycle_from(start, services, done)
        if cycle:
            done.update(cycle)
            yield cycle


def _cycle_from(start: str, services: dict[str, ServiceText], done: set[str]) -> list[str]:
    """Return a path from `start` back to it, empty when there is none."""
    paths = [] if start in done else [[start]]
    seen = set(done)
    while paths:
        path = paths.pop()
        for needed in services[path[-1]].depends_on:
            if needed == start:
                return [*path, start]
            if needed not in services or needed in seen:
                continue
            seen.add(needed)
            paths.append([*path, needed])
    return []


def check_change(former: Document, latter: Document) -> None:
    """Refuse changes that one submission cannot make safely.

    Raises TextError.  An upstream address that moves between services at once
    would get packets of its former service from balancers that lag behind.
    """
    service_by_address = {
        upstream.address: name
        for name, service in former.services.items()
        for _, upstream in _placed(name, service)
    }
    faults = []
    for name, service in latter.services.items():
        for place, upstream in _placed(name, service):
            holder = service_by_address.get(upstream.address, name)
            if holder == name:
                continue
            faults.append(
                TextFault(
                    FaultKind.UPSTREAM_MOVED,
                    place,
                    f'{upstream.address} belongs to {holder} in the text in force',
                    f'remove it from {holder}, submit, wait until it is empty, then add it',
                )
            )
        earlier = former.services.get(name)
        if earlier and earlier.buckets != service.buckets:
            faults.append(
                TextFault(
                    FaultKind.BUCKETS,
                    f'$.services.{name}.buckets',
                    'the number of buckets of a service cannot change',
                    f'leave it at {earlier.buckets}',
                )
            )
    if faults:
        raise TextError(tuple(faults))


def catalogue_of(document: Document, generation: int) -> Catalogue:
    """Return a checked document in the form that decisions need."""
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
