"""Receive signals, and bound the time at which a stop signal was sent."""

from __future__ import annotations

import signal
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import contextmanager, suppress
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
    clock: Clock,
    monitor: LoopMonitor,
    record_stop: Callable[[StopTimes], None],
    stop: Callable[[StopTimes], None],
) -> None:
    """Call ``stop`` in the event loop for each SIGTERM.

    ``record_stop`` is called before, in the signal handler: the event loop may
    first run tasks whose requests have arrived after the signal. Called inside
    of ``trio.run``, in the main thread. The default action of the signal is
    replaced at once.
    """
    token = trio.lowlevel.current_trio_token()

    def handle(_number: int, _frame: FrameType | None) -> None:
        times = StopTimes(monitor.last_wait_at, clock.now())
        record_stop(times)
        # A signal that is sent again may come after the event loop has ended.
        with suppress(trio.RunFinishedError):
            token.run_sync_soon(stop, times)

    signal.signal(signal.SIGTERM, handle)


@contextmanager
def receive_signals(*numbers: signal.Signals) -> Iterator[AsyncIterator[int]]:
    """Yield the signals that arrive; ignore them after the block.

    trio restores the earlier handlers at the end of its receiver. With the
    default ones, a SIGTERM that is sent again would end the process before its
    last log lines are written, and with another exit status.
    """
    # Blocked signals stay pending, so that none is lost before the receiver.
    signal.pthread_sigmask(signal.SIG_BLOCK, numbers)
    for number in numbers:
        signal.signal(number, _ignore)
    try:
        with trio.open_signal_receiver(*numbers) as received:
            signal.pthread_sigmask(signal.SIG_UNBLOCK, numbers)
            yield received
    finally:
        # The end of the interpreter restores the default of other handlers.
        for ended in numbers:
            signal.signal(ended, signal.SIG_IGN)


def _ignore(_number: int, _frame: object) -> None:
    """Handle a signal by doing nothing."""
