"""Read traces: JSON lines of actions on a fleet, or of events of one balancer.

A written trace has timed actions on a fleet (`Happening`); a recorded one has the events of one
balancer (``bronzekeel.balancer.recorder``).
"""

from pathlib import Path

from msgspec import DecodeError, Struct, ValidationError
from msgspec.json import decode

from bronzekeel.text.model import Document


class TraceError(ValueError):
    """Raised when a trace cannot be read; names the file, the line and a remedy."""


class _Act(Struct, frozen=True, tag=True, forbid_unknown_fields=True):
    """Base of all acts; sets the options of their encoding."""


class Start(_Act, frozen=True):
    """Start a balancer with empty state."""

    host: str
    data_centre: str


class Submit(_Act, frozen=True):
    """Accept a text at the platform; it gets the next generation."""

    text: Document


class OpenFlows(_Act, frozen=True):
    """Open `count` flows of a service over `over_s`, each with packets at intervals."""

    service: str
    count: int
    over_s: float
    packets: int
    every_s: float


class Lag(_Act, frozen=True):
    """Delay texts and journals at every balancer, each by up to `most_s`."""

    most_s: float


class Stop(_Act, frozen=True):
    """Stop a balancer gracefully."""

    host: str


class Kill(_Act, frozen=True):
    """Crash a balancer: it stops without notice."""

    host: str


class Unlist(_Act, frozen=True):
    """Remove a balancer from the platform's list of hosts."""

    host: str


class Pause(_Act, frozen=True):
    """Suspend a balancer's process for `for_s`."""

    host: str
    for_s: float


class Cut(_Act, frozen=True):
    """Cut all links between a data centre and the others."""

    data_centre: str


class Heal(_Act, frozen=True):
    """Restore all links."""


class Platform(_Act, frozen=True):
    """Begin or end a platform outage."""

    up: bool


Act = Start | Submit | OpenFlows | Lag | Stop | Kill | Unlist | Pause | Cut | Heal | Platform


class Happening(Struct, frozen=True, forbid_unknown_fields=True):
    """Hold one line of a written trace; `at` is in seconds from the start of the trace."""

    at: float
    act: Act


class Bounds(Struct, frozen=True, forbid_unknown_fields=True):
    """Hold the inclusive bounds of an outcome."""

    least: float = float('-inf')
    most: float = float('inf')


def read_lines(path: Path) -> list[bytes]:
    """Return the non-blank lines of a trace.  Raises TraceError."""
    try:
        content = path.read_bytes()
    except OSError as error:
        raise TraceError(f'{path}: {error.strerror}; name a readable file') from error
    return [line for line in content.splitlines() if line.strip()]


def read_trace(path: Path) -> list[Happening]:
    """Return the acts of a written trace, ordered by time.  Raises TraceError."""
    happenings = []
    for number, line in enumerate(read_lines(path), start=1):
        try:
            happenings.append(decode(line, type=Happening))
        except (DecodeError, ValidationError) as error:
            raise TraceError(f'{path}:{number}: {error}; correct this line') from error
    return sorted(happenings, key=lambda happening: happening.at)


def read_outcomes(path: Path) -> dict[str, Bounds]:
    """Return the bounds of the expected outcomes by name.  Raises TraceError."""
    try:
        return decode(path.read_bytes(), type=dict[str, Bounds])
    except OSError as error:
        raise TraceError(f'{path}: {error.strerror}; name a readable file') from error
    except (DecodeError, ValidationError) as error:
        raise TraceError(f'{path}: {error}; write {{"name": {{"most": 0}}}}') from error
