"""Write and read counts of answers as a short text: eight bytes an upstream, in base 64."""

from base64 import b64decode, b64encode
from struct import Struct
from typing import Any

from bronzekeel.core.routing.answer_counts import AnswerCount, ToldCounts


_HEAD = Struct('!I')

#: Short number, start, answers, and their means in parts.
_COUNT = Struct('!IBBH')

#: Parts of a mean that are told.  Source: 1,023 means fit in two bytes.
_PARTS = 64


def encode_counts(told: ToldCounts) -> str:
    """Return counts as a text."""
    packed = [_HEAD.pack(told.told_ms)]
    for count in told.counts:
        parts = round(count.means * _PARTS)
        packed.append(_COUNT.pack(count.number, count.start, count.answers, parts))
    return b64encode(b''.join(packed)).decode()


def decode_counts(text: Any) -> ToldCounts | None:
    """Return the counts of a text, None without one.  Raises ValueError."""
    if text is None:
        return None
    raw = b64decode(str(text), validate=True)
    if len(raw) < _HEAD.size or (len(raw) - _HEAD.size) % _COUNT.size:
        raise ValueError(f'{len(raw)} bytes are no counts of answers')
    told_ms = _HEAD.unpack_from(raw)[0]
    counts = [
        AnswerCount(number, start, answers, parts / _PARTS)
        for number, start, answers, parts in _COUNT.iter_unpack(raw[_HEAD.size :])
        if answers
    ]
    return ToldCounts(told_ms, tuple(counts))
