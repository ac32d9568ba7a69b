"""Spell what the platform knows of a host, from which it fills in the settings template."""

from typing import Any


#: The one region in which stand-ins of hosts are.
_REGION = 'here'

#: Rate of their links, wide enough for loopback.
_LINK_MBPS = 1000

_Address = tuple[str, int]


class HostDescription:
    """Say who a host is and where it listens."""

    __slots__ = ('data_centre', 'name', 'packets', 'peers', 'readiness')

    def __init__(
        self,
        name: str,
        data_centre: str,
        packets: _Address,
        readiness: _Address,
        peers: _Address,
    ) -> None:
        """Keep name, data centre and addresses."""
        self.name = name
        self.data_centre = data_centre
        self.packets = packets
        self.readiness = readiness
        self.peers = peers


def template_fields(
    place: HostDescription,
    store: _Address,
    seeds: list[_Address],
    stop_within_s: int,
) -> dict[str, Any]:
    """Return the fields of a host that the template asks for."""
    return {
        'nodeName': place.name,
        'zone': place.data_centre,
        'zones': {place.data_centre: _REGION},
        'listenAddrs': {
            'datagramAddr': _spelled(place.packets),
            'ready': _spelled(place.readiness),
            'control': _spelled(place.peers),
        },
        'seeds': [_spelled(seed) for seed in seeds],
        'platform': {'address': _spelled(store)},
        'limits': {'linkMbps': _LINK_MBPS},
        'bounds': {'graceS': stop_within_s},
    }


def _spelled(address: _Address) -> str:
    host, port = address
    return f'{host}:{port}'
