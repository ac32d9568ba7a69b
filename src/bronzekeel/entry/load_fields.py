"""Write and read what balancers tell each other of load that moves.

The fields are left out where they have nothing to tell.
"""

from typing import Any

from bronzekeel.core.routing.field_checks import label
from bronzekeel.core.routing.messages import Heartbeat, ServiceDemand


#: Fields that list data centres.
_CENTRES = ('hears', 'unheard')

#: Data centres that a field lists at most.  Source: ten times those of docs/CAPACITY.md.
_MOST_CENTRES = 60

#: Requests a second of one host or data centre at most.  Source: a thousand times what all are
#: designed for; a figure beyond it is a mistake.
_MOST_RATE = 280_000_000


def encode_load(heartbeat: Heartbeat) -> dict[str, Any]:
    """Return the fields of a heartbeat that tell of load that moves."""
    fields: dict[str, Any] = {}
    if heartbeat.demand_by_service is not None:
        fields['asked'] = [
            (service, round(asked.rate), asked.unserved)
            for service, asked in heartbeat.demand_by_service.items()
        ]
    for name in _CENTRES:
        centres = getattr(heartbeat, name)
        if centres:
            fields[name] = centres
    return fields


def decode_asked(listed: list[Any] | None) -> dict[str, ServiceDemand] | None:
    """Return what is asked by service, None if it was not told."""
    if listed is None:
        return None
    return {str(service): _asked_in(rate, unserved) for service, rate, unserved in listed}


def decode_centres(name: str, listed: list[Any]) -> tuple[str, ...]:
    """Return the data centres that the field `name` lists."""
    if not isinstance(listed, list):
        raise TypeError(f'{name} is no list')
    return tuple(label(name, centre) for centre in listed[:_MOST_CENTRES])


def _asked_in(rate: Any, unserved: Any) -> ServiceDemand:
    asked = ServiceDemand(float(rate), int(unserved))
    if not 0 <= asked.rate <= _MOST_RATE or not 0 <= asked.unserved <= _MOST_RATE:
        raise ValueError(f'{rate} and {unserved} are no figures to reckon with')
    return asked
