"""Recorder and reader of request outcomes, stored as one JSON line per request."""

from collections.abc import Iterator
from pathlib import Path
from typing import TextIO

from msgspec import DecodeError, Struct, ValidationError
from msgspec.json import decode, encode


class OutcomesError(ValueError):
    """A file or line of recorded outcomes is unreadable; the message gives a remedy."""


class OutcomeLine(Struct, frozen=True):
    """Outcome of one request; `at` is Unix time and `took_s` its duration in seconds."""

    at: float
    service: str
    group: str
    outcome: str
    kind: str
    took_s: float


class OutcomeRecorder:
    """Recorder that appends outcomes to a file, or does nothing if the path is empty."""

    def __init__(self, path: str) -> None:
        """Open `path` for appending, unless it is empty."""
        self._file: TextIO | None = None
        if path:
            self._file = Path(path).open('a', encoding='utf-8', buffering=1)

    def record(self, line: OutcomeLine) -> None:
        """Write one outcome.

        On an error, such as a full disk, recording ends, so that the balancer keeps running.
        """
        if self._file is None:
            return
        try:
            written = encode(line).decode()
            self._file.write(f'{written}\n')
        except OSError:
            self._file = None

    def close(self) -> None:
        """Close the file."""
        if self._file is not None:
            self._file.close()


def read_outcome_lines(paths: list[Path]) -> Iterator[OutcomeLine]:
    """Yield the outcomes recorded in the files of several balancers.  Raises OutcomesError."""
    for path in paths:
        try:
            lines = path.read_bytes().splitlines()
        except OSError as fault:
            raise OutcomesError(f'{path}: {fault.strerror}; specify a readable file') from fault
        for number, line in enumerate(lines, start=1):
            try:
                yield decode(line, type=OutcomeLine)
            except (DecodeError, ValidationError) as fault:
                raise OutcomesError(
                    f'{path}:{number}: {fault}; remove or correct this line',
                ) from fault
