"""Encode and decode reports on the callers of overloaded services, as base64 text."""

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
    """Return the heartbeat field with reports on callers; no field if there are no reports."""
    if not report_by_service:
        return {}
    encoded = [
        (service, b64encode(pack_word(report)).decode())
        for service, report in report_by_service.items()
    ]
    return {'callers': encoded}


def decode_callers(fields: list[Any]) -> dict[str, CallersWord]:
    """Return the reports on callers by service.

    Entries beyond ``MOST_SERVICES`` are ignored.  Raises ValueError if a report is malformed.
    """
    return {
        str(service): unpack_word(b64decode(report, validate=True))
        for service, report in fields[:MOST_SERVICES]
    }
