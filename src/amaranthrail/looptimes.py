"""Measure for how long the event loop is held, and name what held it."""

from __future__ import annotations

from contextvars import ContextVar

import trio

from .clock import Clock
from .logs import part_logger
from .metrics import Metrics
from .signals import LoopMonitor

#: Duration from which one step of a task is logged, in ms: calls of all other
#: connections have waited as long.
LONG_STEP_MS = 50.0
#: Least time between two log lines on long steps, in ms.
LOG_INTERVAL_MS = 1000.0
_log = part_logger('loop')
_current_work: ContextVar[str] = ContextVar('current_work', default='')


def name_work(name: str) -> None:
    """Set what the current task is at work on, for log lines on long steps.

    It is a connection, as in ``upstream 10.0.0.1:80``, or a part of the entry.
    """
    _current_work.set(name)


class LoopTimes(LoopMonitor):
    """Record the durations of passes of the event loop in a histogram.

    A pass runs all tasks that are ready; nothing that arrives meanwhile is
    read before its end. Long steps of a single task are logged. The hooks run
    for each pass and step, so they do little.
    """

    def __init__(self, metrics: Metrics, clock: Clock) -> None:
        """Record in ``metrics``; add the object to the loop by ``trio.run``."""
        super().__init__(clock)
        self._passes = metrics.histogram('loop_pass')
        self._metrics = metrics
        self._pass_began_at = clock.now()
        self._step_began_at = self._pass_began_at
        self._logged_at = -LOG_INTERVAL_MS
        self._unlogged_steps = 0

    def after_io_wait(self, timeout: float) -> None:
        """Record the start of a pass, and of its first step."""
        # trio passes the argument by position, so its name is free.
        del timeout
        self._pass_began_at = self._clock.now()
        self._step_began_at = self._pass_began_at

    def before_io_wait(self, timeout: float) -> None:
        """Record the end of a pass."""
        super().before_io_wait(timeout)
        self._passes.record(self._last_wait_at - self._pass_began_at)

    def after_task_step(self, task: trio.lowlevel.Task) -> None:
        """Record the end of a step; log and count it if it was long."""
        now = self._clock.now()
        step_ms = now - self._step_began_at
        self._step_began_at = now
        if step_ms >= LONG_STEP_MS:
            self._record_long_step(task, step_ms)

    def _record_long_step(
        self, task: trio.lowlevel.Task, step_ms: float
    ) -> None:
        self._metrics.count('loop_long_steps')
        if self._step_began_at - self._logged_at < LOG_INTERVAL_MS:
            self._unlogged_steps += 1
            return
        _log.warning(
            'step held the event loop',
            step_ms=int(step_ms),
            task=task.name,
            work=task.context.get(_current_work, ''),
            unlogged_steps=self._unlogged_steps,
        )
        self._logged_at = self._step_began_at
        self._unlogged_steps = 0
