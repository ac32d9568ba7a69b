"""Read which incarnation of the platform's store gives an answer."""

from collections.abc import Mapping

from bronzekeel.core.routing.field_checks import MOST_INCARNATION, FieldError, whole_number
from bronzekeel.platform.calls import INCARNATION_HEADER


_KEY = INCARNATION_HEADER.lower()


def read_incarnation(header_by_name: Mapping[str, str]) -> int:
    """Return the incarnation, zero where it is not told.  Raises FieldError."""
    told = header_by_name.get(_KEY, '0')
    digits = told.strip()
    if not digits.isascii() or not digits.isdecimal():
        raise FieldError(INCARNATION_HEADER, told, 'a whole number')
    return whole_number(INCARNATION_HEADER, int(digits), most=MOST_INCARNATION)
