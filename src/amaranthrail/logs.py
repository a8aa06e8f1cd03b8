"""Configure structured logs: short sentences, a fixed prefix for each part."""

from __future__ import annotations

import logging
import sys
from enum import Enum
from typing import Any

import structlog


class LogFormat(Enum):
    """Choose how a log line is written."""

    JSON = 'json'
    CONSOLE = 'console'


class LogLevel(Enum):
    """Choose the least severe line that is written."""

    DEBUG = 'debug'
    INFO = 'info'
    WARNING = 'warning'
    ERROR = 'error'


Logger = structlog.typing.FilteringBoundLogger


def configure_logs(
    log_format: LogFormat,
    level: LogLevel,
    **fixed: str,
) -> None:
    """Write log lines to standard error, each with the ``fixed`` fields."""
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
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
    structlog.contextvars.clear_contextvars()
    structlog.contextvars.bind_contextvars(**fixed)


def part_logger(part: str) -> Logger:
    """Return the logger of one part; its lines begin with ``part:``."""
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
