"""Write and read words on the callers of services that are short, in base 64."""

from base64 import b64decode, b64encode
from collections.abc import Mapping
from typing import Any

from bronzekeel.core.routing.caller_words import (
    MOST_SERVICES,
    CallersWord,
    pack_word,
    unpack_word,
)


def encode_callers(
    report_by_service: Mapping[str, CallersWord],
) -> dict[str, list[tuple[str, str]]]:
    """Return the field for words on callers; none while nothing is short."""
    if not report_by_service:
        return {}
    encoded = [
        (service, b64encode(pack_word(report)).decode())
        for service, report in report_by_service.items()
    ]
    return {'callers': encoded}


def decode_callers(fields: list[Any]) -> dict[str, CallersWord]:
    """Return the words of a field.  Raises ValueError."""
    return {
        str(service): unpack_word(b64decode(report, validate=True))
        for service, report in fields[:MOST_SERVICES]
    }
