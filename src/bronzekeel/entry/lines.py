"""Rate-limited, non-blocking log of numbered events as JSON lines.

A burst or an error can produce thousands of lines per second, and writing them would take
processor time from the packets that they are about.  A blocking write would stop the balancer when
nobody reads the pipe.  So each kind of line has a quota per second, and lines beyond it or beyond
what the pipe accepts are dropped and counted.
"""

from collections.abc import Callable
from json import dumps as encode_json
from os import set_blocking
from os import write as write_bytes
from time import time

from bronzekeel.core.log_numbers import LogNumber


#: Maximum number of lines of one kind per second.  20 lines take about 0.4 ms of processor time, so
#: ten kinds at once use less than 1% of a core.
MAX_LINES_PER_KIND = 20

#: Size of the buffer above which lines are dropped.
MAX_BUFFERED_BYTES = 65536

_QUOTA_PERIOD_S = 1.0


class LineLog:
    """Buffers lines until ``flush`` writes them; `left_out` counts the dropped ones."""

    def __init__(self, host: str, stream: int, clock: Callable[[], float] = time) -> None:
        """Write to the file descriptor `stream`; `clock` returns the time of day."""
        self._host = host
        self._stream = stream
        self._clock = clock
        self._buffer: list[bytes] = []
        self._buffered_bytes = 0
        self._quota_by_number: dict[int, int] = {}
        self._left_out_by_number: dict[int, int] = {}
        self._refill_at: float = 0
        self.left_out = 0
        set_blocking(stream, False)

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes in the buffer."""
        return self._buffered_bytes

    def write(self, number: int, fields: dict[str, object], now: float) -> None:
        """Add a line to the buffer, or drop it; `now` is the time of the monotonic clock."""
        if now >= self._refill_at:
            self._refill_at = now + _QUOTA_PERIOD_S
            self._quota_by_number.clear()
        quota = self._quota_by_number.get(number, MAX_LINES_PER_KIND)
        if quota <= 0 or self._buffered_bytes > MAX_BUFFERED_BYTES:
            self._count_left_out(number)
            return
        self._quota_by_number[number] = quota - 1
        self._append(self._encode(number, fields, now))

    def admits(self, number: int, now: float) -> bool:
        """Return whether the quota allows a line of this kind; count a dropped line if not."""
        if now >= self._refill_at or self._quota_by_number.get(number, 1) > 0:
            return True
        self._count_left_out(number)
        return False

    def flush(self) -> None:
        """Write as much of the buffer as the stream accepts; discard it if the stream fails."""
        if not self._buffer:
            return
        content = b''.join(self._buffer)
        try:
            written = write_bytes(self._stream, content)
        except BlockingIOError:
            return
        except OSError:
            written = len(content)
        unsent = content[written:]
        self._buffer = [unsent] if unsent else []
        self._buffered_bytes = len(unsent)

    def _count_left_out(self, number: int) -> None:
        self.left_out += 1
        self._left_out_by_number[number] = self._left_out_by_number.get(number, 0) + 1

    def _encode(self, number: int, fields: dict[str, object], now: float) -> bytes:
        line: dict[str, object] = {
            'time': round(self._clock(), 3),
            'steady': round(now, 3),
            'event': number,
            'name': LogNumber(number).name.lower(),
            'host': self._host,
        }
        left_out = self._left_out_by_number.pop(number, 0)
        if left_out:
            line['left_out'] = left_out
        line.update(fields)
        return f'{encode_json(line, default=str)}\n'.encode()

    def _append(self, line: bytes) -> None:
        self._buffer.append(line)
        self._buffered_bytes += len(line)
