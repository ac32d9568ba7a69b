"""Read the incarnation of the platform's store from a response."""

from collections.abc import Mapping

from bronzekeel.core.routing.field_checks import MAX_INCARNATION, FieldError, whole_number
from bronzekeel.platform.calls import INCARNATION_HEADER


_HEADER_KEY = INCARNATION_HEADER.lower()


def read_incarnation(header_by_name: Mapping[str, str]) -> int:
    """Return the incarnation, zero if the response does not state it.

    Raises FieldError if the header is not a whole number within its bounds.
    """
    header = header_by_name.get(_HEADER_KEY, '0')
    digits = header.strip()
    if not digits.isascii() or not digits.isdecimal():
        raise FieldError(INCARNATION_HEADER, header, 'a whole number')
    return whole_number(INCARNATION_HEADER, int(digits), maximum=MAX_INCARNATION)
