"""Read the settings of a balancer that steers by connection ids.

Own settings are JSON.  Fields that are not known are left alone, since a newer
platform may add some; a field of ours that is wrong ends the start with one line.
"""

from collections.abc import Mapping
from json import JSONDecodeError
from json import loads as decode_json

from bronzekeel.core.routing.caller_shares import DEFAULT_CALLER_BITS
from bronzekeel.core.routing.demand_control import DemandControlMode


#: Value of the setting `steering` that chooses this daemon.
STEERING = 'connection_ids'

#: Values of the setting `weighs`: few broken flows, or equal work for equal upstreams.
BROKEN_FLOWS = 'broken_flows'
IMBALANCE = 'imbalance'

_MOST_PORT = 65535
_MOST_STOP_S = 3600
_MOST_FIGURE = 1e6
_USUAL_OVERAGE = 1
_OCTETS = 4
_MOST_OCTET = 255


class SettingsError(ValueError):
    """Tell what is wrong with the settings: file, place, problem, remedy."""


class EntrySettings:
    """Hold all settings of one balancer.

    `packets`, `peers`, `readiness` and `store` are addresses; `seeds` are
    those of some peers.  Peers are told `peers_advertised` in place of `peers` where it is
    set.  `readiness_path` is what the fabric's probes ask for;
    `stop_within_s` bounds a planned stop.  `weighs` says what placement puts first.
    `region_by_data_centre` says where upstreams of routes with homes may be.  Cold upstreams
    together get at most `cold_overage` times the stated requests a second, and `cold_slack` more.
    `demand_control` says whether requests are placed by learned capacity and shared among
    callers; `caller_bits` leading bits of an address make one caller.  `link_mbps` is the
    rate of the host's link in Mbit/s; at zero packets leave at once.
    """

    __slots__ = (
        'caller_bits',
        'cold_overage',
        'cold_slack',
        'data_centre',
        'demand_control',
        'link_mbps',
        'name',
        'packets',
        'peers',
        'peers_advertised',
        'readiness',
        'readiness_path',
        'region_by_data_centre',
        'seeds',
        'stop_within_s',
        'store',
        'weighs',
    )

    def __init__(self, fields: Mapping[str, object]) -> None:
        """Check and keep the fields.  Raises SettingsError."""
        self.name = _text(fields, 'name')
        self.data_centre = _text(fields, 'data_centre')
        self.packets = _address(fields, 'packets')
        self.peers = _address(fields, 'peers')
        self.peers_advertised = _address_or_none(fields, 'peers_advertised')
        self.seeds = _addresses(fields, 'seeds')
        self.readiness = _address(fields, 'readiness')
        self.readiness_path = _text(fields, 'readiness_path')
        self.store = _address(fields, 'store')
        self.stop_within_s = _seconds(fields, 'stop_within_s')
        self.region_by_data_centre = _texts_by_name(fields, 'region_by_data_centre')
        self.cold_overage = _figure(fields, 'cold_overage', _USUAL_OVERAGE, least=1)
        self.cold_slack = _figure(fields, 'cold_slack', 0)
        self.link_mbps = _figure(fields, 'link_mbps', 0)
        self.weighs = _one_of(fields, 'weighs', (BROKEN_FLOWS, IMBALANCE))
        self.demand_control = DemandControlMode(
            _one_of(fields, 'demand_control', tuple(DemandControlMode)),
        )
        self.caller_bits = _whole(fields, 'caller_bits', DEFAULT_CALLER_BITS, least=1)
        if fields.get('steering') != STEERING:
            raise SettingsError(f'$.steering: {fields.get("steering")!r} is not {STEERING!r}')


def read_entry_settings(path: str) -> EntrySettings:
    """Return the settings in a file.

    Raises SettingsError with one line for the operator.
    """
    fields = _read_object(path)
    try:
        return EntrySettings(fields)
    except SettingsError as fault:
        raise SettingsError(f'{path}: {fault}; correct it, see docs/OPERATIONS.md') from fault


def _read_object(path: str) -> dict[str, object]:
    try:
        with open(path, encoding='utf-8') as lines:
            fields = decode_json(lines.read())
    except OSError as fault:
        raise SettingsError(f'{path}: {fault.strerror}; name a readable file') from fault
    except (JSONDecodeError, UnicodeDecodeError) as fault:
        raise SettingsError(f'{path}: $: {fault}; write the settings as JSON') from fault
    if not isinstance(fields, dict):
        raise SettingsError(f'{path}: $: no JSON object; write the settings as one object')
    return fields


def _text(fields: Mapping[str, object], name: str) -> str:
    found = fields.get(name)
    if not isinstance(found, str) or not found:
        raise SettingsError(f'$.{name}: {found!r} is no text')
    return found


def _one_of(fields: Mapping[str, object], name: str, known: tuple[str, ...]) -> str:
    """Return a text that is one of `known`; the first when there is none."""
    found = fields.get(name, known[0])
    if not isinstance(found, str) or found not in known:
        choices = ' or '.join(known)
        raise SettingsError(f'$.{name}: {found!r} is not {choices}')
    return found


def _addresses(fields: Mapping[str, object], name: str) -> tuple[tuple[str, int], ...]:
    listed = fields.get(name)
    if not isinstance(listed, list):
        raise SettingsError(f'$.{name}: {listed!r} is no list of addresses')
    return tuple(_checked(found, f'{name}[{place}]') for place, found in enumerate(listed))


def _address(fields: Mapping[str, object], name: str) -> tuple[str, int]:
    return _checked(_text(fields, name), name)


def _address_or_none(fields: Mapping[str, object], name: str) -> tuple[str, int] | None:
    return _address(fields, name) if name in fields else None


def _checked(found: object, name: str) -> tuple[str, int]:
    if not isinstance(found, str):
        raise SettingsError(f'$.{name}: {found!r} is no text')
    host, _, port = found.rpartition(':')
    octets = host.split('.')
    is_ip = len(octets) == _OCTETS and all(_is_octet(octet) for octet in octets)
    if not is_ip or not port.isdecimal() or int(port) > _MOST_PORT:
        raise SettingsError(f'$.{name}: {found!r} is no IPv4 number with a port')
    return host, int(port)


def _is_octet(octet: str) -> bool:
    return octet.isdecimal() and int(octet) <= _MOST_OCTET


def _texts_by_name(fields: Mapping[str, object], name: str) -> dict[str, str]:
    """Return a table of texts; an empty one when there is none."""
    found = fields.get(name, {})
    if not isinstance(found, dict):
        raise SettingsError(f'$.{name}: {found!r} is no table')
    return {key: _text(found, key) for key in found}


def _figure(
    fields: Mapping[str, object],
    name: str,
    usual: float,
    least: float = 0,
) -> float:
    """Return a number from `least` on; the `usual` one when there is none."""
    found = fields.get(name, usual)
    if isinstance(found, bool) or not isinstance(found, (int, float)):
        raise SettingsError(f'$.{name}: {found!r} is no number')
    if not least <= found <= _MOST_FIGURE:
        raise SettingsError(f'$.{name}: {found} is not between {least} and {_MOST_FIGURE}')
    return float(found)


def _whole(fields: Mapping[str, object], name: str, most: int, least: int) -> int:
    """Return a whole number from `least` to `most`; the latter when there is none."""
    found = fields.get(name, most)
    if isinstance(found, bool) or not isinstance(found, int):
        raise SettingsError(f'$.{name}: {found!r} is no whole number')
    if not least <= found <= most:
        raise SettingsError(f'$.{name}: {found} is not between {least} and {most}')
    return found


def _seconds(fields: Mapping[str, object], name: str) -> float:
    found = fields.get(name)
    if isinstance(found, bool) or not isinstance(found, (int, float)):
        raise SettingsError(f'$.{name}: {found!r} is no number of seconds')
    if not 0 < found <= _MOST_STOP_S:
        raise SettingsError(f'$.{name}: {found} is not between 0 and {_MOST_STOP_S}')
    return float(found)
