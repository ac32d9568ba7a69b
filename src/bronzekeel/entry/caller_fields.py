"""Encode and decode reports on the callers of overloaded services, as base64 text."""

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
    report_by_service: Mapping[str, CallersReport],
) -> dict[str, list[tuple[str, str]]]:
    """Return the heartbeat field with reports on callers; no field if there are no reports."""
    if not report_by_service:
        return {}
    encoded = [
        (service, b64encode(pack_callers_report(report)).decode())
        for service, report in report_by_service.items()
    ]
    return {'callers': encoded}


def decode_callers(fields: list[Any]) -> dict[str, CallersReport]:
    """Return the reports on callers by service.

    Entries beyond ``MAX_REPORTED_SERVICES`` are ignored.  Raises ValueError if a report is
    malformed.
    """
    return {
        str(service): unpack_callers_report(b64decode(report, validate=True))
        for service, report in fields[:MAX_REPORTED_SERVICES]
    }
