"""Start a balancer on the platform."""

import sys
from os import environ

from bronzekeel.entry.packet_port import bind_packet_port
from bronzekeel.entry.settings import SettingsError, read_entry_settings


#: Variable in which the platform names the settings file.
SETTINGS_VARIABLE = 'BRONZEKEEL_NODE_FILE'


def serve_on_platform(path: str, early: int | None = None) -> int:
    """Run until the platform stops it; return the exit code.

    Callers' packets have a socket to wait in while all else is loaded; it may have been bound
    `early`.
    """
    try:
        settings = read_entry_settings(path)
        packet_port = bind_packet_port(settings.packets, early)
    except SettingsError as fault:
        return _refused(str(fault))
    except OSError as fault:
        return _refused(f'{fault}; free the port or change the address')
    from bronzekeel.entry.daemon import serve  # noqa: WPS433 (after the port is bound)
    from bronzekeel.platform.objects import PlatformStore  # noqa: WPS433 (likewise)
    from bronzekeel.platform.packets import PlatformPackets  # noqa: WPS433 (likewise)

    packet_format = PlatformPackets(settings.packets[1])
    try:
        serve(path, settings, packet_port, packet_format, PlatformStore())
    except OSError as fault:
        return _refused(f'{fault}; free the port or change the address')
    return 0


def main(early: int | None = None) -> int:
    """Run with the settings that the platform names; return the exit code.

    The port of callers' packets may have been bound `early`.
    """
    return serve_on_platform(environ.get(SETTINGS_VARIABLE, ''), early)


def _refused(problem: str) -> int:
    sys.stderr.write(f'{problem}\n')
    return 1
