"""Decode what the platform's store answers, as far as it can be read.

What goes wrong without it: one object with bytes that are no text, a number of thousands of
digits, or brackets nested a thousand deep makes the whole page unreadable.  It is asked for
again and again, and all upstreams are lost with the one.
"""

import re
from json import JSONDecoder
from typing import Any


#: What a body that is no JSON raises.  One that is nested deeply passes the interpreter's stack.
DECODE_ERRORS = (ValueError, RecursionError)

#: Depth of the brackets inside which the objects of a page or of a watch stand.
_LISTED_DEPTH = 2

#: Patterns are compiled when they are needed: a host that starts is in the dark meanwhile.
_TOKEN = r'(?s)"(?:[^"\\]|\\.)*"|[][{},]'
_META = r'"meta"\s*:\s*(\{[^{}]*\})'
_TOMBSTONE = r'"tombstone"\s*:\s*true'


def decode_body(body: bytes) -> Any:
    """Return a decoded body; of objects that cannot be read only what names them.

    Raises one of ``DECODE_ERRORS``.
    """
    text = body.decode('utf-8', 'surrogateescape')
    try:
        return _DECODER.decode(text)
    except DECODE_ERRORS:
        return _PATIENT_DECODER.decode(_readable(text))


def _whole_number(digits: str) -> int | None:
    """Return a number; None for one of more digits than the interpreter takes."""
    try:
        return int(digits)
    except ValueError:
        return None


_DECODER = JSONDecoder(strict=False)
_PATIENT_DECODER = JSONDecoder(strict=False, parse_int=_whole_number)


def _readable(text: str) -> str:
    """Return a body whose listed objects can all be read."""
    parts = []
    kept_to = 0
    for begin, end in _listed(text):
        parts.append(text[kept_to:begin])
        parts.append(_object(text[begin:end]))
        kept_to = end
    parts.append(text[kept_to:])
    return ''.join(parts)


def _listed(text: str) -> list[tuple[int, int]]:
    """Return where the objects of a page begin and end."""
    places = []
    depth = 0
    begin = 0
    for token in re.finditer(_TOKEN, text):
        bracket = token[0]
        if bracket in '{[':
            if depth == _LISTED_DEPTH:
                begin = token.start()
            depth += 1
        elif bracket in '}]':
            depth -= 1
            if depth == _LISTED_DEPTH:
                places.append((begin, token.end()))
    return places


def _object(text: str) -> str:
    """Return an object that can be read: itself, or only what names it."""
    try:
        _PATIENT_DECODER.decode(text)
    except DECODE_ERRORS:
        return _named(text)
    return text


def _named(text: str) -> str:
    """Return the name and the revision of an object of a page or of a watch."""
    found = re.search(_META, text)
    meta = found[1] if found else 'null'
    try:
        _PATIENT_DECODER.decode(meta)
    except DECODE_ERRORS:
        meta = 'null'
    tombstone = 'true' if re.search(_TOMBSTONE, text) else 'false'
    return f'{{"meta":{meta},"object":{{"meta":{meta}}},"tombstone":{tombstone}}}'
