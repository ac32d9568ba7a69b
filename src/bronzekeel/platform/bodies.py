"""Decode response bodies of the platform's store, as far as they are readable.

Without this, one object with invalid UTF-8, a number of thousands of digits, or brackets nested a
thousand deep makes the whole page unreadable.  The page is then requested again and again, and
all of its upstreams are lost along with that one object.
"""

import re
from json import JSONDecoder
from typing import Any


#: What decoding invalid JSON raises.  Deep nesting exceeds the interpreter's recursion limit.
DECODE_ERRORS = (ValueError, RecursionError)

#: Nesting depth at which the objects of a page or of a watch begin.
_OBJECT_DEPTH = 2

#: Patterns are compiled on first use: a host serves nobody while it starts.
_TOKEN = r'(?s)"(?:[^"\\]|\\.)*"|[][{},]'
_META = r'"meta"\s*:\s*(\{[^{}]*\})'
_TOMBSTONE = r'"tombstone"\s*:\s*true'


def decode_body(body: bytes) -> Any:
    """Return a decoded body; unreadable objects are reduced to their metadata.

    Raises one of ``DECODE_ERRORS``.
    """
    text = body.decode('utf-8', 'surrogateescape')
    try:
        return _DECODER.decode(text)
    except DECODE_ERRORS:
        return _LENIENT_DECODER.decode(_repaired(text))


def _parse_int(digits: str) -> int | None:
    """Return an integer; None if it has more digits than the interpreter converts."""
    try:
        return int(digits)
    except ValueError:
        return None


_DECODER = JSONDecoder(strict=False)
_LENIENT_DECODER = JSONDecoder(strict=False, parse_int=_parse_int)


def _repaired(text: str) -> str:
    """Return a body with each unreadable object of its list reduced to its metadata."""
    parts = []
    copied_to = 0
    for begin, end in _object_spans(text):
        parts.append(text[copied_to:begin])
        parts.append(_repaired_object(text[begin:end]))
        copied_to = end
    parts.append(text[copied_to:])
    return ''.join(parts)


def _object_spans(text: str) -> list[tuple[int, int]]:
    """Return the begin and end offsets of the objects of a page or of a watch."""
    spans = []
    depth = 0
    begin = 0
    for token in re.finditer(_TOKEN, text):
        bracket = token[0]
        if bracket in '{[':
            if depth == _OBJECT_DEPTH:
                begin = token.start()
            depth += 1
        elif bracket in '}]':
            depth -= 1
            if depth == _OBJECT_DEPTH:
                spans.append((begin, token.end()))
    return spans


def _repaired_object(text: str) -> str:
    """Return an object unchanged if it is readable, else reduced to its metadata."""
    try:
        _LENIENT_DECODER.decode(text)
    except DECODE_ERRORS:
        return _metadata_only(text)
    return text


def _metadata_only(text: str) -> str:
    """Return an object of a page or of a watch with only its metadata and tombstone flag.

    The metadata holds the name and the revision; it is null if it is unreadable too.
    """
    found = re.search(_META, text)
    meta = found[1] if found else 'null'
    try:
        _LENIENT_DECODER.decode(meta)
    except DECODE_ERRORS:
        meta = 'null'
    tombstone = 'true' if re.search(_TOMBSTONE, text) else 'false'
    return f'{{"meta":{meta},"object":{{"meta":{meta}}},"tombstone":{tombstone}}}'
