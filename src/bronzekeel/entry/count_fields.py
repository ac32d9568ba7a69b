"""Write and read counts of answers as a short text: eight bytes a count, in base 64."""

from base64 import b64decode, b64encode
from collections.abc import Mapping
from struct import Struct
from typing import Any

from bronzekeel.core.routing.answer_counts import AnswerCount, ReportedCounts


_HEAD = Struct('!I')

#: Short number, start, answers, and their means in parts.
_COUNT = Struct('!IBBH')

#: Parts of a mean that are told.  Source: 1,023 means fit in two bytes.
_PARTS = 64


def encode_counts(told: ReportedCounts) -> dict[str, str]:
    """Return counts as fields of a message; without pending requests their field is absent."""
    fields = {'answers': _pack_counts(_HEAD.pack(told.reported_ms), told.counts)}
    if told.pending:
        fields['pending'] = _pack_counts(b'', told.pending)
    return fields


def decode_counts(fields: Mapping[str, Any]) -> ReportedCounts | None:
    """Return the counts in the fields of a message, None if absent.  Raises ValueError."""
    if fields.get('answers') is None:
        return None
    raw = b64decode(str(fields['answers']), validate=True)
    if len(raw) < _HEAD.size:
        raise ValueError(f'counts of answers are too short: {len(raw)} bytes')
    reported_ms = _HEAD.unpack_from(raw)[0]
    pending = b64decode(str(fields.get('pending', '')), validate=True)
    return ReportedCounts(reported_ms, _unpack_counts(raw[_HEAD.size :]), _unpack_counts(pending))


def _pack_counts(head: bytes, counts: tuple[AnswerCount, ...]) -> str:
    packed = [head]
    for count in counts:
        parts = round(count.means * _PARTS)
        packed.append(_COUNT.pack(count.number, count.start, count.answers, parts))
    return b64encode(b''.join(packed)).decode()


def _unpack_counts(raw: bytes) -> tuple[AnswerCount, ...]:
    if len(raw) % _COUNT.size:
        raise ValueError(f'{len(raw)} bytes are no counts of answers')
    return tuple(
        AnswerCount(number, start, answers, parts / _PARTS)
        for number, start, answers, parts in _COUNT.iter_unpack(raw)
        if answers
    )
