"""Start a balancer on the platform."""

import sys
from os import environ

from bronzekeel.entry.packet_port import bind_packet_port
from bronzekeel.entry.settings import SettingsError, read_entry_settings


#: Environment variable with the path of the settings file, set by the platform.
SETTINGS_VARIABLE = 'BRONZEKEEL_NODE_FILE'


def serve_on_platform(path: str, early_fd: int | None = None) -> int:
    """Run until the platform stops the process; return the exit code.

    The socket for callers' packets is bound first, so that packets queue in it while the other
    modules are loaded.  `early_fd` is its descriptor if it has been bound already.
    """
    try:
        settings = read_entry_settings(path)
        packet_port = bind_packet_port(settings.packets, early_fd)
    except SettingsError as error:
        return _refused(str(error))
    except OSError as error:
        return _refused(f'{error}; free the port or change the address')
    from bronzekeel.entry.daemon import serve  # noqa: WPS433 (after the port is bound)
    from bronzekeel.platform.objects import PlatformStore  # noqa: WPS433 (likewise)
    from bronzekeel.platform.packets import PlatformPackets  # noqa: WPS433 (likewise)

    packet_format = PlatformPackets(settings.packets[1])
    try:
        serve(path, settings, packet_port, packet_format, PlatformStore())
    except OSError as error:
        return _refused(f'{error}; free the port or change the address')
    return 0


def main(early_fd: int | None = None) -> int:
    """Run with the settings file that the platform names; return the exit code.

    `early_fd` is the descriptor of the socket for callers' packets if it has been bound already.
    """
    return serve_on_platform(environ.get(SETTINGS_VARIABLE, ''), early_fd)


def _refused(problem: str) -> int:
    sys.stderr.write(f'{problem}\n')
    return 1
