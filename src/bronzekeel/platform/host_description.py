"""Build the platform's description of a host, which fills in the settings template."""

from typing import Any


#: The region of all stand-in hosts.
_REGION = 'here'

#: Link rate of stand-in hosts, high enough not to limit loopback.
_LINK_MBPS = 1000

_Address = tuple[str, int]


class HostDescription:
    """Identity and listening addresses of a host."""

    __slots__ = ('data_centre', 'name', 'packets', 'peers', 'readiness')

    def __init__(
        self,
        name: str,
        data_centre: str,
        packets: _Address,
        readiness: _Address,
        peers: _Address,
    ) -> None:
        """Describe a host by its name, data centre and listening addresses."""
        self.name = name
        self.data_centre = data_centre
        self.packets = packets
        self.readiness = readiness
        self.peers = peers


def template_fields(
    host: HostDescription,
    store: _Address,
    seeds: list[_Address],
    stop_within_s: int,
) -> dict[str, Any]:
    """Return the values with which the platform fills in the settings template of a host."""
    return {
        'nodeName': host.name,
        'zone': host.data_centre,
        'zones': {host.data_centre: _REGION},
        'listenAddrs': {
            'datagramAddr': _format_address(host.packets),
            'ready': _format_address(host.readiness),
            'control': _format_address(host.peers),
        },
        'seeds': [_format_address(seed) for seed in seeds],
        'platform': {'address': _format_address(store)},
        'limits': {'linkMbps': _LINK_MBPS},
        'bounds': {'graceS': stop_within_s},
    }


def _format_address(address: _Address) -> str:
    ip, port = address
    return f'{ip}:{port}'
