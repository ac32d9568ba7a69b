"""List the differences between two texts, service by service."""

from collections.abc import Iterator

from msgspec import structs

from bronzekeel.text.model import Document, ServiceText, UpstreamText


def differences(old_document: Document, new_document: Document) -> list[str]:
    """Return a line for each difference: added (+), removed (-) or changed (~)."""
    lines = []
    for name in sorted(old_document.services.keys() | new_document.services.keys()):
        old = old_document.services.get(name)
        new = new_document.services.get(name)
        if old is None:
            lines.append(f'+ service {name}')
        elif new is None:
            lines.append(f'- service {name}')
        elif old != new:
            lines.extend(_service_lines(name, old, new))
    return lines


def _service_lines(name: str, old: ServiceText, new: ServiceText) -> Iterator[str]:
    for field in structs.fields(ServiceText):
        before = getattr(old, field.name)
        after = getattr(new, field.name)
        if field.name != 'upstreams' and before != after:
            yield f'~ {name}.{field.name}: {before} -> {after}'
    listed_old = _by_address(old)
    listed_new = _by_address(new)
    for address in sorted(listed_old.keys() | listed_new.keys()):
        if address not in listed_new:
            yield f'- {name} upstream {address}'
        elif address not in listed_old:
            yield f'+ {name} upstream {address}'
        elif listed_old[address] != listed_new[address]:
            before = _describe(listed_old[address])
            after = _describe(listed_new[address])
            yield f'~ {name} upstream {address}: {before} -> {after}'


def _by_address(service: ServiceText) -> dict[str, tuple[str, UpstreamText]]:
    return {
        upstream.address: (centre, upstream)
        for centre, upstreams in service.upstreams.items()
        for upstream in upstreams
    }


def _describe(placed: tuple[str, UpstreamText]) -> str:
    centre, upstream = placed
    return f'{upstream.state} weight {upstream.weight} in {centre}'
