"""Encode and decode the heartbeat fields for demand control across data centres.

Fields without content are omitted.
"""

from typing import Any

from bronzekeel.core.routing.field_checks import label
from bronzekeel.core.routing.messages import Heartbeat, ServiceDemand


#: Fields that list data centres.
_CENTRES = ('hears', 'unheard')

#: Maximum number of data centres in a field: ten times the number in docs/CAPACITY.md.
_MAX_CENTRES = 60

#: Maximum rate of one host or data centre, in requests per second.  It is a thousand times the
#: rate that all data centres together are designed for; a larger figure is an error.
_MAX_RATE = 280_000_000


def encode_load(heartbeat: Heartbeat) -> dict[str, Any]:
    """Return the fields of a heartbeat that report demand and the reachability of data centres."""
    fields: dict[str, Any] = {}
    if heartbeat.demand_by_service is not None:
        fields['asked'] = [
            (service, round(demand.rate), demand.unserved)
            for service, demand in heartbeat.demand_by_service.items()
        ]
    for name in _CENTRES:
        centres = getattr(heartbeat, name)
        if centres:
            fields[name] = centres
    return fields


def decode_demand(listed: list[Any] | None) -> dict[str, ServiceDemand] | None:
    """Return the demand by service, or None if the heartbeat does not report it."""
    if listed is None:
        return None
    return {str(service): _demand_in(rate, unserved) for service, rate, unserved in listed}


def decode_centres(name: str, listed: list[Any]) -> tuple[str, ...]:
    """Return the data centres in the field `name`; those beyond the maximum are ignored."""
    if not isinstance(listed, list):
        raise TypeError(f'{name} is not a list')
    return tuple(label(name, centre) for centre in listed[:_MAX_CENTRES])


def _demand_in(rate: Any, unserved: Any) -> ServiceDemand:
    demand = ServiceDemand(float(rate), int(unserved))
    if not 0 <= demand.rate <= _MAX_RATE or not 0 <= demand.unserved <= _MAX_RATE:
        raise ValueError(f'rate {rate} or unserved requests {unserved} are out of range')
    return demand
