"""Record a balancer's events as a trace for replay, one JSON line per event."""

from pathlib import Path
from typing import TextIO

from msgspec import Struct
from msgspec.json import encode

from bronzekeel.core.events import Event
from bronzekeel.core.messages import HostEntry


class TraceHead(Struct, frozen=True):
    """Describe the first line of a trace: the recording balancer and its start."""

    at: float
    host: HostEntry
    incarnation: int


class TraceLine(Struct, frozen=True, omit_defaults=True):
    """Describe one event in a trace; `at` is in seconds of the recording clock."""

    at: float
    event: Event


class Recorder:
    """Write events to a file; does nothing without a path."""

    def __init__(self, path: str) -> None:
        """Open `path` for writing, unless `path` is empty."""
        self._file: TextIO | None = None
        if path:
            self._file = Path(path).open('w', encoding='utf-8')

    def begin(self, now: float, host: HostEntry, incarnation: int) -> None:
        """Write the first line of the trace."""
        if self._file is not None:
            line = encode(TraceHead(now, host, incarnation)).decode()
            self._file.write(f'{line}\n')

    def record(self, now: float, event: Event) -> None:
        """Write one event; stop recording on an I/O error such as a full disk."""
        if self._file is None:
            return
        try:
            line = encode(TraceLine(now, event)).decode()
            self._file.write(f'{line}\n')
        except OSError:
            self._file = None

    def close(self) -> None:
        """Close the trace file, if one is open."""
        if self._file is not None:
            self._file.close()
