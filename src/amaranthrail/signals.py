"""Receive stop signals and bound the time at which they were sent."""

from __future__ import annotations

import signal
from collections.abc import Callable
from types import FrameType

import msgspec
import trio

from .clock import Clock
from .types import Millis


class StopTimes(msgspec.Struct, frozen=True):
    """Hold the clock times between which a stop signal was sent, in ms.

    It was sent after ``earliest`` and before ``received_at``, when the process
    ran its signal handler.
    """

    earliest: Millis
    received_at: Millis

    @property
    def uncertainty_ms(self) -> float:
        """Return for how long the process cannot tell when it was sent."""
        return self.received_at - self.earliest


class LoopMonitor(trio.abc.Instrument):
    """Keep when the event loop last began to wait.

    Signal handlers run between two bytecode instructions, so a signal whose
    handler has not run by then had not been sent.
    """

    def __init__(self, clock: Clock) -> None:
        """Start at the present time; add it to the loop by ``trio.run``."""
        self._clock = clock
        self._last_wait_at = clock.now()

    @property
    def last_wait_at(self) -> Millis:
        """Return the clock time of the latest wait."""
        return self._last_wait_at

    def before_io_wait(self, timeout: float) -> None:
        """Record the start of a wait."""
        # trio passes the argument by position, so its name is free.
        del timeout
        self._last_wait_at = self._clock.now()


def on_stop_signal(
    clock: Clock, monitor: LoopMonitor, stop: Callable[[StopTimes], None]
) -> None:
    """Call ``stop`` in the event loop for each SIGTERM.

    Called inside of ``trio.run``, in the main thread. The default action of
    the signal is replaced at once.
    """
    token = trio.lowlevel.current_trio_token()

    def handle(_number: int, _frame: FrameType | None) -> None:
        times = StopTimes(monitor.last_wait_at, clock.now())
        token.run_sync_soon(stop, times)

    signal.signal(signal.SIGTERM, handle)
