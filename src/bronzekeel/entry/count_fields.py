"""Encode and decode counts of answers: eight bytes per count, as base64 text."""

from base64 import b64decode, b64encode
from collections.abc import Mapping
from struct import Struct
from typing import Any

from bronzekeel.core.routing.answer_counts import AnswerCount, ReportedCounts


_HEAD = Struct('!I')

#: Short number and start of the upstream, number of answers, and their sum in parts of a mean.
_COUNT = Struct('!IBBH')

#: Resolution of sums, in parts of a mean: up to 1,023 means fit into two bytes.
_PARTS_PER_MEAN = 64


def encode_counts(report: ReportedCounts) -> dict[str, str]:
    """Return the message fields for counts; `pending` is omitted if no requests are pending."""
    fields = {'answers': _encode_records(_HEAD.pack(report.reported_ms), report.counts)}
    if report.pending:
        fields['pending'] = _encode_records(b'', report.pending)
    return fields


def decode_counts(fields: Mapping[str, Any]) -> ReportedCounts | None:
    """Return the counts in the fields of a message, or None if the message has none.

    Raises ValueError if the fields are malformed.
    """
    if fields.get('answers') is None:
        return None
    raw = b64decode(str(fields['answers']), validate=True)
    if len(raw) < _HEAD.size:
        raise ValueError(f'counts of answers are too short: {len(raw)} bytes')
    reported_ms = _HEAD.unpack_from(raw)[0]
    pending = b64decode(str(fields.get('pending', '')), validate=True)
    return ReportedCounts(reported_ms, _decode_records(raw[_HEAD.size :]), _decode_records(pending))


def _encode_records(head: bytes, counts: tuple[AnswerCount, ...]) -> str:
    packed = [head]
    for count in counts:
        parts = round(count.means * _PARTS_PER_MEAN)
        packed.append(_COUNT.pack(count.number, count.start, count.answers, parts))
    return b64encode(b''.join(packed)).decode()


def _decode_records(raw: bytes) -> tuple[AnswerCount, ...]:
    if len(raw) % _COUNT.size:
        raise ValueError(f'{len(raw)} bytes are not a whole number of counts of answers')
    return tuple(
        AnswerCount(number, start, answers, parts / _PARTS_PER_MEAN)
        for number, start, answers, parts in _COUNT.iter_unpack(raw)
        if answers
    )
