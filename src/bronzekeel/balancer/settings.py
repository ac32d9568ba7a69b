"""Read and validate a balancer's settings, a JSON file."""

from ipaddress import ip_address
from pathlib import Path
from typing import Annotated, Literal

from msgspec import DecodeError, Meta, Struct, ValidationError
from msgspec.json import decode

from bronzekeel.core.messages import HostEntry
from bronzekeel.entry.settings import STEERING


_MAX_PORT = 65535
_MAX_STOP_S = 3600
_Port = Annotated[int, Meta(ge=0, le=_MAX_PORT)]
_Name = Annotated[str, Meta(pattern='^[a-z0-9][a-z0-9-]{0,62}$')]


class SettingsError(ValueError):
    """Raised for invalid settings; the message has file, JSON path, problem and remedy."""


class Ports(Struct, frozen=True, forbid_unknown_fields=True):
    """Hold the ports to bind; 0 means a free port."""

    packets: _Port = 0
    peers: _Port = 0
    callers: _Port = 0
    metrics: _Port = 0


class Seed(Struct, frozen=True, forbid_unknown_fields=True):
    """Describe a peer that is known without the platform's list of hosts."""

    name: _Name
    data_centre: _Name
    address: str
    packets: _Port
    peers: _Port
    callers: _Port = 0

    def entry(self) -> HostEntry:
        """Return the host entry of the seed."""
        return HostEntry(
            self.name,
            self.data_centre,
            self.address,
            self.packets,
            self.peers,
            self.callers,
        )


class Settings(Struct, frozen=True, forbid_unknown_fields=True):
    """Hold all settings of one balancer.

    `record` is the path of a file for a trace of all events, for replay; `outcomes` that of a
    file for the outcome of each request, for ``bronzekeel report``.  Both are off if empty.
    """

    name: _Name
    data_centre: _Name
    address: str
    platform: str
    ports: Ports = Ports()
    seeds: tuple[Seed, ...] = ()
    record: str = ''
    outcomes: str = ''
    steering: Literal['keepers'] = 'keepers'
    log_level: Literal['debug', 'info', 'warning', 'error'] = 'info'
    stop_within_s: Annotated[float, Meta(gt=0, le=_MAX_STOP_S)] = 30

    def __post_init__(self) -> None:
        """Check that addresses are IP addresses, which the field types do not express."""
        for address in (self.address, *(seed.address for seed in self.seeds)):
            ip_address(address)


def read_settings(path: Path) -> Settings:
    """Return the settings in a file.

    Raises SettingsError with a one-line message for the operator.
    """
    try:
        return decode(path.read_bytes(), type=Settings)
    except OSError as error:
        raise SettingsError(f'{path}: {error.strerror}; name a readable file') from error
    except ValidationError as error:
        problem, _, place = str(error).partition(' - at ')
        where = place.strip('`') or '$'
        raise SettingsError(
            f'{path}: {where}: {problem}; correct this value, see docs/OPERATIONS.md',
        ) from error
    except DecodeError as error:
        raise SettingsError(f'{path}: $: {error}; write the settings as JSON') from error


def steers_by_connection_ids(path: Path) -> bool:
    """Return whether a settings file selects the daemon that steers by connection ids.

    False for an unreadable file: `read_settings` then reports the error.
    """
    try:
        choice = decode(path.read_bytes(), type=_SteeringChoice)
    except (OSError, DecodeError):
        return False
    return choice.steering == STEERING


class _SteeringChoice(Struct):
    """Hold the setting that selects the daemon."""

    steering: str = ''
