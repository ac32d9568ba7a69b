"""Order what the store says, across its incarnations.

The store counts its changes.  When it comes back from a copy it counts on from the copy, so a
number is given out again for another change; its incarnation rises then.  What goes wrong with
the number alone: hosts take all that is written after a restore for older than what they know, or
for the same, and go by an old text for as long as they run.

So a revision here is one whole number with the incarnation in its high bits, and the store's own
number below; zero if nothing is known.  Whatever compares revisions need not know of
incarnations.
"""

#: Bits of the store's own number.  Source: stores count with 64 bits.
NUMBER_BITS = 64
_NUMBER_MASK = (1 << NUMBER_BITS) - 1

#: Bits of a revision; above them stands a text's generation where texts are ordered.
_REVISION_BITS = 128
_REVISION_MASK = (1 << _REVISION_BITS) - 1


def revision_of(incarnation: int, number: int) -> int:
    """Return the revision that an incarnation of the store gave out under `number`."""
    return incarnation << NUMBER_BITS | number


def incarnation_of(revision: int) -> int:
    """Return which incarnation of the store gave out a revision."""
    return revision >> NUMBER_BITS


def is_same_incarnation(first: int, second: int) -> bool:
    """Whether the same incarnation gave out both revisions."""
    return incarnation_of(first) == incarnation_of(second)


def number_of(revision: int) -> int:
    """Return the store's own number of a revision."""
    return revision & _NUMBER_MASK


def text_order_of(generation: int, revision: int) -> int:
    """Return what orders texts from all sources: the operators' own number, then the revision.

    What goes wrong without the operators' number: a restored store shows a text that was
    replaced before, in the newest incarnation, until operators write theirs again.
    """
    return generation << _REVISION_BITS | revision


def generation_in(text_order: int) -> int:
    """Return the generation of the text that has this order."""
    return text_order >> _REVISION_BITS


def revision_in(text_order: int) -> int:
    """Return the revision of the text that has this order."""
    return text_order & _REVISION_MASK


def format_revision(revision: int) -> str:
    """Return a revision for people: incarnation and number."""
    return f'{incarnation_of(revision)}/{number_of(revision)}'
