"""Order the store's revisions across its incarnations.

The store numbers its changes.  After it was restored from a backup it continues from the backup's
number, so numbers are given out again for other changes, and its incarnation is incremented.  With
numbers alone, hosts would take what is written after a restore as older than what they know, or as
the same, and would keep an outdated text until they are restarted.

Therefore a revision in this program is one integer with the incarnation in the high bits and the
store's own number in the low bits, or zero if nothing is known.  Code that compares revisions needs
no knowledge of incarnations.
"""

#: Bits of the store's own number; stores count with 64 bits.
NUMBER_BITS = 64
_NUMBER_MASK = (1 << NUMBER_BITS) - 1

#: Bits of a revision.  The order of a text has the text's generation above them.
_REVISION_BITS = 128
_REVISION_MASK = (1 << _REVISION_BITS) - 1


def revision_of(incarnation: int, number: int) -> int:
    """Return the revision for a `number` that an incarnation of the store gave out."""
    return incarnation << NUMBER_BITS | number


def incarnation_of(revision: int) -> int:
    """Return the incarnation of the store that gave out a revision."""
    return revision >> NUMBER_BITS


def is_same_incarnation(first: int, second: int) -> bool:
    """Whether both revisions are of the same incarnation."""
    return incarnation_of(first) == incarnation_of(second)


def number_of(revision: int) -> int:
    """Return the store's own number in a revision."""
    return revision & _NUMBER_MASK


def text_order_of(generation: int, revision: int) -> int:
    """Return the sort key of a text: the operators' generation, then the revision.

    Without the generation, a text that was replaced before would be in force again after a restore,
    since the restored store returns it in the newest incarnation until operators write their text
    again.
    """
    return generation << _REVISION_BITS | revision


def generation_in(text_order: int) -> int:
    """Return the generation in the order of a text."""
    return text_order >> _REVISION_BITS


def revision_in(text_order: int) -> int:
    """Return the revision in the order of a text."""
    return text_order & _REVISION_MASK


def format_revision(revision: int) -> str:
    """Return a revision in readable form: ``incarnation/number``."""
    return f'{incarnation_of(revision)}/{number_of(revision)}'
