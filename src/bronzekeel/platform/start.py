"""Start a balancer on the platform."""

import sys
from os import environ

from bronzekeel.entry.daemon import serve
from bronzekeel.entry.settings import SettingsError, read_entry_settings
from bronzekeel.platform.objects import PlatformStore
from bronzekeel.platform.packets import PlatformPackets


_SETTINGS_VARIABLE = 'BRONZEKEEL_NODE_FILE'


def serve_on_platform(path: str) -> int:
    """Run until the platform stops it; return the exit code."""
    try:
        settings = read_entry_settings(path)
        serve(path, PlatformPackets(settings.packets[1]), PlatformStore())
    except SettingsError as fault:
        sys.stderr.write(f'{fault}\n')
        return 1
    except OSError as fault:
        sys.stderr.write(f'{fault}; free the port or change the address\n')
        return 1
    return 0


def main() -> int:
    """Run with the settings that the platform names; return the exit code."""
    return serve_on_platform(environ.get(_SETTINGS_VARIABLE, ''))
