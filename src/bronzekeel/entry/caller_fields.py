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


def encode_callers(word_by_service: Mapping[str, CallersWord]) -> dict[str, list[tuple[str, str]]]:
    """Return the field for words on callers; none while nothing is short."""
    if not word_by_service:
        return {}
    words = [
        (service, b64encode(pack_word(word)).decode()) for service, word in word_by_service.items()
    ]
    return {'callers': words}


def decode_callers(fields: list[Any]) -> dict[str, CallersWord]:
    """Return the words of a field.  Raises ValueError."""
    return {
        str(service): unpack_word(b64decode(word, validate=True))
        for service, word in fields[:MOST_SERVICES]
    }
