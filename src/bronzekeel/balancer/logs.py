"""Configure the daemons' logging and write numbered events as JSON lines."""

from collections import deque
from logging import Handler, Logger, LogRecord, StreamHandler, getLogger

from pythonjsonlogger.json import JsonFormatter

from bronzekeel.core.log_numbers import LogNumber


_MAX_RECENT_LINES = 500
_ROOT_LOGGER = 'bronzekeel'


class RecentEvents(Handler):
    """Retain the newest log lines for ``bronzekeel events``."""

    def __init__(self) -> None:
        """Start with an empty buffer of fixed size."""
        super().__init__()
        self.lines: deque[str] = deque(maxlen=_MAX_RECENT_LINES)

    def emit(self, record: LogRecord) -> None:
        """Append the formatted record."""
        self.lines.append(self.format(record))


def configure(level: str) -> RecentEvents:
    """Send the package's logs to standard error; return the handler of recent lines."""
    formatter = JsonFormatter(
        '{asctime}{levelname}{name}{message}',
        style='{',
        rename_fields={'asctime': 'time', 'levelname': 'level', 'name': 'logger'},
    )
    recent = RecentEvents()
    logger = getLogger(_ROOT_LOGGER)
    logger.setLevel(level.upper())
    for handler in (StreamHandler(), recent):
        handler.setFormatter(formatter)
        logger.addHandler(handler)
    return recent


def log_event(logger: Logger, number: int, detail: str, host: str) -> None:
    """Log an event under its number and name."""
    known = LogNumber(number)
    logger.info(
        '%s %s',
        known.name.lower(),
        detail,
        extra={'event': int(known), 'detail': detail, 'host': host},
    )
