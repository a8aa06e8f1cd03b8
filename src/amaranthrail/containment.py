"""Bound what an unforeseen error costs: one step of one task."""

from __future__ import annotations

import traceback
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager

from .clock import sleep
from .exceptions import InvariantError
from .logs import Logger

#: Time before a task goes on after an unforeseen error, in ms.
ERROR_PAUSE_MS = 300.0
#: Longest part of a traceback that is logged, its end, in characters.
_MAX_TRACE_LENGTH = 2000


@contextmanager
def contain_errors(log: Logger, event: str, **fields: object) -> Iterator[None]:
    """Log an error of the block instead of raising it.

    The block handles what one other program has sent, so that its failure must
    not end the process. InvariantError is raised.
    """
    trace = ''
    try:
        yield
    except* InvariantError:
        raise
    except* Exception as group:
        trace = ''.join(traceback.format_exception(group))
    if trace:
        log.error(event, trace=trace[-_MAX_TRACE_LENGTH:], **fields)


async def repeat_step(
    step: Callable[[], Awaitable[None]], log: Logger, event: str
) -> None:
    """Run a step again and again until cancelled.

    After an unforeseen error the step is run again, with a pause before.
    """
    while True:
        has_failed = True
        with contain_errors(log, event):
            await step()
            has_failed = False
        if has_failed:
            await sleep(ERROR_PAUSE_MS)
