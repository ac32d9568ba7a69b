"""Define the remedies returned to callers whose requests have no answer."""

from types import MappingProxyType

from bronzekeel.core.outcomes import NotRun, RefusalKind, Unknown, UnknownKind


_REMEDY_BY_REFUSAL = MappingProxyType(
    {
        RefusalKind.UNKNOWN_SERVICE: 'ask for a request service that the text lists',
        RefusalKind.NOT_READY: 'reserve an id at another balancer, or here in a moment',
        RefusalKind.OVERLOADED: 'reserve a new id and try again after the stated time',
        RefusalKind.NO_UPSTREAM: 'try again after the stated time; no upstream takes work',
        RefusalKind.DEPENDENCY: 'try again later; a required service takes no work',
        RefusalKind.DEADLINE: 'reserve a new id with a later deadline',
        RefusalKind.LEAVING: 'reserve an id at another balancer',
        RefusalKind.BAD_ID: 'reserve an id first and send the request with it',
    }
)

_REMEDY_BY_UNKNOWN = MappingProxyType(
    {
        UnknownKind.STARTED: 'wait for the first call with this id; do not send it again',
        UnknownKind.ISSUER_GONE: 'find out at the service whether it ran before a new try',
        UnknownKind.ANSWER_LOST: 'find out at the service whether it ran before a new try',
    }
)


def not_run(kind: RefusalKind, subject: str, retry_s: float = 0) -> NotRun:
    """Return the outcome of a request that was not run, with its remedy."""
    return NotRun(kind, f'{subject}: {_REMEDY_BY_REFUSAL[kind]}', retry_s)


def unknown(kind: UnknownKind) -> Unknown:
    """Return the outcome of a request that may have run, with its remedy."""
    return Unknown(kind, _REMEDY_BY_UNKNOWN[kind])
