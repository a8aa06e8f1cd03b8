"""Configure structured logs whose events have a prefix for each part."""

from __future__ import annotations

import logging
import os
import sys
from enum import Enum
from typing import Any

import structlog

from .clock import sleep

#: Largest amount of log lines that waits for a slow reader, in bytes.
_MAX_PENDING_BYTES = 262_144
#: Interval between writes of log lines, in ms.
_FLUSH_INTERVAL_MS = 100.0


class LogFormat(Enum):
    """Select the format of log lines."""

    JSON = 'json'
    CONSOLE = 'console'


class LogLevel(Enum):
    """Select the lowest severity that is logged."""

    DEBUG = 'debug'
    INFO = 'info'
    WARNING = 'warning'
    ERROR = 'error'


Logger = structlog.typing.FilteringBoundLogger


class BoundedWriter:
    """Write lines to a file descriptor without blocking.

    Lines are buffered in memory up to a bound. Further lines are dropped, and
    their number is logged.
    """

    def __init__(self, descriptor: int) -> None:
        """Make the open descriptor non-blocking."""
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._pending = bytearray()
        self._dropped = 0

    def write(self, text: str) -> int:
        """Buffer or drop text and return its length, as a file object does."""
        encoded = text.encode()
        if len(self._pending) + len(encoded) > _MAX_PENDING_BYTES:
            self._dropped += text.count('\n')
        else:
            self._pending += encoded
        return len(text)

    def flush(self) -> None:
        """Do nothing; ``run`` writes the buffer."""

    async def run(self) -> None:
        """Write the buffer at a fixed interval until cancelled."""
        while True:
            await sleep(_FLUSH_INTERVAL_MS)
            self.flush_now()

    def flush_now(self) -> None:
        """Write as much of the buffer as the descriptor accepts."""
        try:
            while self._pending:
                sent = os.write(self._descriptor, self._pending)
                del self._pending[:sent]
        except BlockingIOError:
            # The reader is slow; the rest is written by a later flush.
            return
        except OSError:
            # The reader has closed its end, so nothing can be logged.
            self._pending.clear()
            return
        if self._dropped:
            dropped = self._dropped
            self._dropped = 0
            part_logger('logs').warning('lines dropped', lines=dropped)


def configure_logs(
    log_format: LogFormat,
    level: LogLevel,
    output: Any = None,
    **common_fields: str,
) -> None:
    """Write log lines to ``output``, by default standard error.

    Each line has the ``common_fields``.
    """
    renderer: Any = structlog.processors.JSONRenderer()
    if log_format is LogFormat.CONSOLE:
        renderer = structlog.dev.ConsoleRenderer(colors=False)
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            _prefix_event,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.name],
        ),
        logger_factory=structlog.PrintLoggerFactory(output or sys.stderr),
    )
    structlog.contextvars.clear_contextvars()
    structlog.contextvars.bind_contextvars(**common_fields)


def part_logger(part: str) -> Logger:
    """Return the logger of one part, which prefixes events with ``part:``."""
    logger: Logger = structlog.get_logger(part=part)
    return logger


def _prefix_event(
    _logger: Any,
    _method: str,
    event: structlog.typing.EventDict,
) -> structlog.typing.EventDict:
    part = event.pop('part', 'main')
    event['event'] = f'{part}: {event["event"]}'
    return event
