"""Parse the entries that upstreams write about themselves into the platform's store.

Other writers may store anything there.  An entry that lacks a field, or has one of the wrong type
or out of bounds, is rejected and yields no upstream.
"""

from typing import Any

from bronzekeel.core.routing.field_checks import (
    MAX_COLD_S,
    MAX_SLOTS,
    FieldError,
    address,
    bounded_float,
    label,
    whole_number,
)
from bronzekeel.core.routing.model import UpstreamEntry


_MS = 1000
_HEX = 16
_MAX_ID_DIGITS = 16
_MAX_PORT_DIGITS = 5
_STATES = ('ready', 'draining')


def read_entry(name: str, revision: int, spec: Any) -> UpstreamEntry:
    """Return the entry that is stored under `name`.  Raises FieldError.

    - `capacity` is the number of requests that the upstream processes concurrently;
    - `warmupLeftMs` counts from the moment the entry was written;
    - `born`, absent from entries of older upstreams, is the Unix time of the start in milliseconds.
    """
    if not isinstance(spec, dict):
        raise FieldError('spec', spec, 'an object')
    if not isinstance(spec.get('version'), str):
        raise FieldError('version', spec.get('version'), 'a string')
    whole_number('sequence', spec.get('sequence'))
    return UpstreamEntry(
        name=name,
        number=_number(name),
        service=label('service', spec.get('service')),
        address=_address(spec.get('address')),
        data_centre=label('zone', spec.get('zone')),
        slots=whole_number('capacity', spec.get('capacity'), 1, MAX_SLOTS),
        draining=_is_draining(spec.get('state')),
        cold_s=bounded_float('warmupLeftMs', spec.get('warmupLeftMs'), MAX_COLD_S * _MS) / _MS,
        revision=revision,
        started_ms=whole_number('born', spec.get('born', 0)),
    )


def _number(name: str) -> int:
    """Return the upstream number that prefixes its packets: the hex digits at the end of its id."""
    digits = name.rpartition('-')[2]
    if len(digits) > _MAX_ID_DIGITS or not digits.isalnum() or not digits.isascii():
        raise FieldError('name', name, f'an id that ends in up to {_MAX_ID_DIGITS} hex digits')
    return int(digits, _HEX)


def _address(found: Any) -> tuple[str, int]:
    host, _, port = found.rpartition(':') if isinstance(found, str) else ('', '', '')
    if not port.isascii() or not port.isdecimal() or len(port) > _MAX_PORT_DIGITS:
        raise FieldError('address', found, 'an address and a port')
    return address('address', host, int(port))


def _is_draining(state: Any) -> bool:
    if state not in _STATES:
        states = ' or '.join(_STATES)
        raise FieldError('state', state, states)
    return state == 'draining'
