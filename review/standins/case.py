"""Run a case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run."""

from asyncio import run, wait_for
from os import environ
from pathlib import Path
from signal import SIGTERM, default_int_handler, signal
import sys
from tempfile import TemporaryDirectory
from time import monotonic
import traceback

#: Seconds that a case may take.
_LIMIT_S = 110


class Record:
    """The record of a run: one line an event, with the seconds since the begin of the case."""

    def __init__(self, path):
        self._file = Path(path).open('w', encoding='utf-8')
        self._begin = monotonic()

    def note(self, line, at=None):
        """Write a line; `at` is the time of the event, by default now."""
        self._file.write(f'{(monotonic() if at is None else at) - self._begin:8.3f}  {line}\n')
        self._file.flush()


def has_trouble():
    """Return whether the disruption is to be played."""
    return environ.get('TROUBLE', '1') != '0'


def main(folder, play, record_name='record.txt'):
    """Play a case: `play` is a coroutine function of the record and a temporary folder.

    It returns whether the rule was broken.
    """
    # A case that is stopped ends its processes too.
    signal(SIGTERM, default_int_handler)
    record = Record(Path(folder) / record_name)
    record.note(f'trouble: {"yes" if has_trouble() else "no"}')
    try:
        with TemporaryDirectory() as temporary:
            broken = run(wait_for(play(record, temporary), _LIMIT_S))
    except BaseException as error:  # the case has shown nothing, whatever went wrong
        record.note(f'could not run: {error!r}')
        traceback.print_exc()
        sys.exit(2)
    record.note('RULE BROKEN' if broken else 'the rule held')
    print('rule broken' if broken else 'rule held')
    sys.exit(1 if broken else 0)
