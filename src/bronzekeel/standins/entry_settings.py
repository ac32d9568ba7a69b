"""Settings of an entry balancer on loopback."""

from typing import Any

from bronzekeel.entry.settings import STEERING


_ANY_PORT = '127.0.0.1:0'


def loopback_settings(name: str, store_port: int, **changed: Any) -> dict[str, Any]:
    """Return settings with ephemeral ports; the fields of `changed` override the defaults."""
    fields: dict[str, Any] = {
        'name': name,
        'data_centre': 'dc-a',
        'steering': STEERING,
        'packets': _ANY_PORT,
        'peers': _ANY_PORT,
        'seeds': [],
        'readiness': _ANY_PORT,
        'readiness_path': '/ready',
        'store': f'127.0.0.1:{store_port}',
        'stop_within_s': 1,
    }
    fields.update(changed)
    return fields
