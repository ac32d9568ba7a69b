"""Settings of a balancer that steers by connection ids, read from a JSON file.

Unknown fields are ignored because a newer platform may add some.  An invalid value of a known field
is reported to the operator in one line, and the balancer does not start.
"""

from collections.abc import Mapping
from json import JSONDecodeError
from json import loads as decode_json

from bronzekeel.core.routing.caller_shares import DEFAULT_CALLER_BITS
from bronzekeel.core.routing.demand_control import DemandControlMode


#: Value of the setting `steering` that selects this daemon.
STEERING = 'connection_ids'

#: Values of the setting `weighs`: minimise broken flows, or balance work across equal upstreams.
BROKEN_FLOWS = 'broken_flows'
IMBALANCE = 'imbalance'

_MAX_PORT = 65535
_MAX_STOP_S = 3600
_MAX_NUMBER = 1e6
_DEFAULT_COLD_OVERAGE = 1
_OCTET_COUNT = 4
_MAX_OCTET = 255


class SettingsError(ValueError):
    """Raised for invalid settings; the message names the file, the field and the remedy."""


class EntrySettings:
    """The settings of one balancer.

    `packets`, `peers`, `readiness` and `store` are addresses; `seeds` are the addresses of some
    peers.  If set, `peers_advertised` is announced to peers in place of `peers`.  `readiness_path`
    is the target of the fabric's probes.  `stop_within_s` is the maximum duration of a planned
    stop.  `weighs` is the primary objective of placement.  `region_by_data_centre` determines
    where upstreams of routes with home regions may be.  All balancers together send an upstream
    during its cold start at most `cold_overage` times its configured rate plus `cold_slack`
    requests per second.  `demand_control` determines whether requests are placed by learned
    capacity and shared among callers.  Addresses with the same `caller_bits` leading bits count as
    one caller.  `link_mbps` is the rate of the host's link in Mbit/s; with zero, packets are sent
    without queueing.
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
        """Validate the fields of a settings object.  Raises SettingsError."""
        self.name = _string(fields, 'name')
        self.data_centre = _string(fields, 'data_centre')
        self.packets = _address(fields, 'packets')
        self.peers = _address(fields, 'peers')
        self.peers_advertised = _address_or_none(fields, 'peers_advertised')
        self.seeds = _addresses(fields, 'seeds')
        self.readiness = _address(fields, 'readiness')
        self.readiness_path = _string(fields, 'readiness_path')
        self.store = _address(fields, 'store')
        self.stop_within_s = _seconds(fields, 'stop_within_s')
        self.region_by_data_centre = _string_by_name(fields, 'region_by_data_centre')
        self.cold_overage = _number(fields, 'cold_overage', _DEFAULT_COLD_OVERAGE, minimum=1)
        self.cold_slack = _number(fields, 'cold_slack', 0)
        self.link_mbps = _number(fields, 'link_mbps', 0)
        self.weighs = _one_of(fields, 'weighs', (BROKEN_FLOWS, IMBALANCE))
        self.demand_control = DemandControlMode(
            _one_of(fields, 'demand_control', tuple(DemandControlMode)),
        )
        self.caller_bits = _integer(fields, 'caller_bits', DEFAULT_CALLER_BITS, minimum=1)
        if fields.get('steering') != STEERING:
            raise SettingsError(f'$.steering: {fields.get("steering")!r} is not {STEERING!r}')


def read_entry_settings(path: str) -> EntrySettings:
    """Return the settings in the file at `path`.

    Raises SettingsError with a message of one line for the operator.
    """
    fields = _read_object(path)
    try:
        return EntrySettings(fields)
    except SettingsError as error:
        raise SettingsError(f'{path}: {error}; correct it, see docs/OPERATIONS.md') from error


def _read_object(path: str) -> dict[str, object]:
    try:
        with open(path, encoding='utf-8') as settings_file:
            fields = decode_json(settings_file.read())
    except OSError as error:
        raise SettingsError(f'{path}: {error.strerror}; name a readable file') from error
    except (JSONDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f'{path}: $: {error}; write the settings as JSON') from error
    if not isinstance(fields, dict):
        raise SettingsError(f'{path}: $: not a JSON object; write the settings as one object')
    return fields


def _string(fields: Mapping[str, object], name: str) -> str:
    found = fields.get(name)
    if not isinstance(found, str) or not found:
        raise SettingsError(f'$.{name}: {found!r} is not a non-empty string')
    return found


def _one_of(fields: Mapping[str, object], name: str, allowed: tuple[str, ...]) -> str:
    """Return a string that is one of `allowed`, by default the first."""
    found = fields.get(name, allowed[0])
    if not isinstance(found, str) or found not in allowed:
        choices = ' or '.join(allowed)
        raise SettingsError(f'$.{name}: {found!r} is not {choices}')
    return found


def _addresses(fields: Mapping[str, object], name: str) -> tuple[tuple[str, int], ...]:
    listed = fields.get(name)
    if not isinstance(listed, list):
        raise SettingsError(f'$.{name}: {listed!r} is not a list of addresses')
    return tuple(_parse_address(found, f'{name}[{index}]') for index, found in enumerate(listed))


def _address(fields: Mapping[str, object], name: str) -> tuple[str, int]:
    return _parse_address(_string(fields, name), name)


def _address_or_none(fields: Mapping[str, object], name: str) -> tuple[str, int] | None:
    return _address(fields, name) if name in fields else None


def _parse_address(found: object, name: str) -> tuple[str, int]:
    if not isinstance(found, str):
        raise SettingsError(f'$.{name}: {found!r} is not a string')
    host, _, port = found.rpartition(':')
    octets = host.split('.')
    is_ip = len(octets) == _OCTET_COUNT and all(_is_octet(octet) for octet in octets)
    if not is_ip or not port.isdecimal() or int(port) > _MAX_PORT:
        raise SettingsError(f'$.{name}: {found!r} is not an IPv4 address with a port')
    return host, int(port)


def _is_octet(octet: str) -> bool:
    return octet.isdecimal() and int(octet) <= _MAX_OCTET


def _string_by_name(fields: Mapping[str, object], name: str) -> dict[str, str]:
    """Return an object with string values, by default an empty one."""
    found = fields.get(name, {})
    if not isinstance(found, dict):
        raise SettingsError(f'$.{name}: {found!r} is not an object')
    return {key: _string(found, key) for key in found}


def _number(
    fields: Mapping[str, object],
    name: str,
    default: float,
    minimum: float = 0,
) -> float:
    """Return a number of at least `minimum`, by default `default`."""
    found = fields.get(name, default)
    if isinstance(found, bool) or not isinstance(found, (int, float)):
        raise SettingsError(f'$.{name}: {found!r} is not a number')
    if not minimum <= found <= _MAX_NUMBER:
        raise SettingsError(f'$.{name}: {found} is not between {minimum} and {_MAX_NUMBER}')
    return float(found)


def _integer(fields: Mapping[str, object], name: str, maximum: int, minimum: int) -> int:
    """Return an integer from `minimum` to `maximum`, by default `maximum`."""
    found = fields.get(name, maximum)
    if isinstance(found, bool) or not isinstance(found, int):
        raise SettingsError(f'$.{name}: {found!r} is not an integer')
    if not minimum <= found <= maximum:
        raise SettingsError(f'$.{name}: {found} is not between {minimum} and {maximum}')
    return found


def _seconds(fields: Mapping[str, object], name: str) -> float:
    found = fields.get(name)
    if isinstance(found, bool) or not isinstance(found, (int, float)):
        raise SettingsError(f'$.{name}: {found!r} is not a number of seconds')
    if not 0 < found <= _MAX_STOP_S:
        raise SettingsError(f'$.{name}: {found} is not between 0 and {_MAX_STOP_S}')
    return float(found)
