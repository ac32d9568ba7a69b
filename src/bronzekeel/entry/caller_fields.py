"""Write and read words on the callers of services that are short, in base 64."""

from base64 import b64decode, b64encode
from collections.abc import Mapping
from typing import Any

from bronzekeel.core.routing.caller_reports import (
    MAX_REPORTED_SERVICES,
    CallersReport,
    pack_callers_report,
    unpack_callers_report,
)


def encode_callers(
    word_by_service: Mapping[str, CallersReport],
) -> dict[str, list[tuple[str, str]]]:
    """Return the field for words on callers; none while nothing is short."""
    if not word_by_service:
        return {}
    words = [
        (service, b64encode(pack_callers_report(word)).decode())
        for service, word in word_by_service.items()
    ]
    return {'callers': words}


def decode_callers(fields: list[Any]) -> dict[str, CallersReport]:
    """Return the words of a field.  Raises ValueError."""
    return {
        str(service): unpack_callers_report(b64decode(word, validate=True))
        for service, word in fields[:MAX_REPORTED_SERVICES]
    }
