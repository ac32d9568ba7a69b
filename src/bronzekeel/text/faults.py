"""Define the faults that validation of a text can report."""

from dataclasses import dataclass
from enum import StrEnum


class FaultKind(StrEnum):
    """List the kinds of faults in a text."""

    SYNTAX = 'syntax'
    SHAPE = 'shape'
    ADDRESS_TAKEN = 'address_taken'
    UPSTREAM_SHARED = 'upstream_shared'
    UPSTREAM_MOVED = 'upstream_moved'
    CYCLE = 'cycle'
    UNKNOWN_NAME = 'unknown_name'
    EMPTY = 'empty'
    BUCKETS = 'buckets'
    ADDRESS = 'address'


@dataclass(frozen=True, slots=True)
class TextFault:
    """Describe one fault; `place` is a path in the text such as ``$.services.a``."""

    kind: FaultKind
    place: str
    problem: str
    remedy: str

    def __str__(self) -> str:
        """Return the fault as one line."""
        return f'{self.place}: {self.problem} [{self.kind}]; remedy: {self.remedy}'


class TextError(ValueError):
    """Raised for an invalid text; contains all of its faults."""

    def __init__(self, faults: tuple[TextFault, ...]) -> None:
        """Store `faults`, at least one; the message has a line for each."""
        super().__init__('\n'.join(str(fault) for fault in faults))
        self.faults = faults
