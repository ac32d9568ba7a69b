"""Define how a request can end: answered, not run, or unknown."""

from dataclasses import dataclass
from enum import StrEnum


class RefusalKind(StrEnum):
    """Reason why a request was not run."""

    UNKNOWN_SERVICE = 'unknown_service'
    NOT_READY = 'not_ready'
    OVERLOADED = 'overloaded'
    NO_UPSTREAM = 'no_upstream'
    DEPENDENCY = 'dependency'
    DEADLINE = 'deadline'
    LEAVING = 'leaving'
    BAD_ID = 'bad_id'


class UnknownKind(StrEnum):
    """Reason why it is unknown whether a request ran."""

    STARTED = 'already_started'
    ISSUER_GONE = 'issuer_gone'
    ANSWER_LOST = 'answer_lost'


class AttemptEnd(StrEnum):
    """How one attempt at an upstream ended."""

    ANSWERED = 'answered'
    SHED = 'shed'
    UNREACHED = 'unreached'
    LOST = 'lost'
    CUT = 'cut'
    DEADLINE = 'deadline'
    CANCELLED = 'cancelled'


@dataclass(frozen=True, slots=True)
class Answered:
    """A complete answer."""

    body: bytes


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request was not run and never will be.

    `retry_s` is the number of seconds after the reply to wait before a retry.
    """

    kind: RefusalKind
    remedy: str
    retry_s: float = 0


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have run."""

    kind: UnknownKind
    remedy: str


Outcome = Answered | NotRun | Unknown
