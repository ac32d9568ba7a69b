"""Encode and decode revisions in messages between balancers, split into their parts.

As a single number a revision has twenty digits, which is too long for heartbeats.
"""

from typing import Any

from bronzekeel.core.routing.field_checks import MAX_INCARNATION, whole_number
from bronzekeel.core.routing.revisions import (
    generation_in,
    incarnation_of,
    number_of,
    revision_in,
    revision_of,
    text_order_of,
)


def encode_revision(revision: int) -> tuple[int, int]:
    """Return the incarnation and the number of a revision."""
    return incarnation_of(revision), number_of(revision)


def decode_revision(incarnation: Any, number: Any) -> int:
    """Return the revision with this incarnation and number.  Raises FieldError."""
    return revision_of(
        whole_number('incarnation', incarnation, maximum=MAX_INCARNATION),
        whole_number('revision', number),
    )


def encode_text_order(text_order: int) -> tuple[int, tuple[int, int]]:
    """Return the generation and the encoded revision of a text order."""
    generation = generation_in(text_order)
    return generation, encode_revision(revision_in(text_order))


def decode_text_order(generation: Any, revision: list[Any]) -> int:
    """Return the text order with these parts.  Raises FieldError or TypeError."""
    return text_order_of(
        whole_number('generation', generation),
        decode_revision(*revision),
    )
