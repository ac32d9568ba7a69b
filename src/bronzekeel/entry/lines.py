"""Write numbered log lines to standard output, bounded and never waiting.

What goes wrong without the bounds: a burst or a fault makes thousands of lines
a second, and writing them takes the processor from the packets that they tell
of; or nobody reads the pipe, and the write blocks the balancer.  So each kind of
line has a share per second, what exceeds it is counted, and what the pipe
does not take is left out and counted too.
"""

from collections.abc import Callable
from json import dumps as encode_json
from os import set_blocking
from os import write as write_bytes
from time import time

from bronzekeel.core.log_numbers import LogNumber


#: Lines of one kind in a second.  Source: 20 lines take about 0.4 ms of
#: processor time to make; ten kinds at once stay below a hundredth of a core.
LINES_PER_KIND = 20

#: Bytes that wait for a reader at most.
MAX_WAITING_BYTES = 65536

_SECOND = 1.0


class LineLog:
    """Collect lines and write them in one piece a tick; count those `left_out`."""

    def __init__(self, host: str, stream: int, clock: Callable[[], float] = time) -> None:
        """Write to the file descriptor `stream`; `clock` gives the time of day."""
        self._host = host
        self._stream = stream
        self._clock = clock
        self._waiting: list[bytes] = []
        self._waiting_bytes = 0
        self._room_by_number: dict[int, int] = {}
        self._left_out_by_number: dict[int, int] = {}
        self._refill_at: float = 0
        self.left_out = 0
        set_blocking(stream, False)

    @property
    def waiting_bytes(self) -> int:
        """Bytes that wait for the reader."""
        return self._waiting_bytes

    def write(self, number: int, fields: dict[str, object], now: float) -> None:
        """Take one line; `now` is the steady clock."""
        if now >= self._refill_at:
            self._refill_at = now + _SECOND
            self._room_by_number.clear()
        room = self._room_by_number.get(number, LINES_PER_KIND)
        if room <= 0 or self._waiting_bytes > MAX_WAITING_BYTES:
            self._leave_out(number)
            return
        self._room_by_number[number] = room - 1
        self._add(self._line(number, fields, now))

    def wants(self, number: int, now: float) -> bool:
        """Whether a line of this kind would be written; count it if not."""
        if now >= self._refill_at or self._room_by_number.get(number, 1) > 0:
            return True
        self._leave_out(number)
        return False

    def flush(self) -> None:
        """Write what waits, as far as the reader takes it."""
        if not self._waiting:
            return
        content = b''.join(self._waiting)
        try:
            written = write_bytes(self._stream, content)
        except BlockingIOError:
            return
        except OSError:
            written = len(content)
        rest = content[written:]
        self._waiting = [rest] if rest else []
        self._waiting_bytes = len(rest)

    def _leave_out(self, number: int) -> None:
        self.left_out += 1
        self._left_out_by_number[number] = self._left_out_by_number.get(number, 0) + 1

    def _line(self, number: int, fields: dict[str, object], now: float) -> bytes:
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

    def _add(self, line: bytes) -> None:
        self._waiting.append(line)
        self._waiting_bytes += len(line)
