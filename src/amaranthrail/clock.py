"""Read clocks and wait, in milliseconds, the time unit of this package."""

from __future__ import annotations

import time
from collections.abc import Callable

import trio

from .types import Millis

MS_PER_SECOND = 1000.0
_COUNTER_BITS = 16


class Clock:
    """Read monotonic and wall time and stamp events in causal order.

    A stamp is a reading of a hybrid logical clock: wall milliseconds in the
    upper bits, a counter in the lower 16. Receiving a stamp moves this clock
    past it, so an effect always has a higher stamp than its cause.
    """

    def __init__(
        self,
        monotonic: Callable[[], float] = time.monotonic,
        wall: Callable[[], float] = time.time,
    ) -> None:
        """Set the time sources, each returning seconds."""
        self._monotonic = monotonic
        self._wall = wall
        self._last_stamp = 0

    def now(self) -> Millis:
        """Return monotonic milliseconds; only differences are meaningful."""
        return Millis(self._monotonic() * MS_PER_SECOND)

    def wall(self) -> int:
        """Return milliseconds since the Unix epoch."""
        return int(self._wall() * MS_PER_SECOND)

    def stamp(self) -> int:
        """Return a stamp above every stamp returned or received before."""
        wall_stamp = self.wall() << _COUNTER_BITS
        self._last_stamp = max(wall_stamp, self._last_stamp + 1)
        return self._last_stamp

    def receive(self, stamp: int) -> None:
        """Advance to a stamp that another process sent."""
        self._last_stamp = max(self._last_stamp, stamp)


def stamp_to_wall(stamp: int) -> int:
    """Return the milliseconds since the Unix epoch in a stamp."""
    return stamp >> _COUNTER_BITS


async def sleep(duration_ms: float) -> None:
    """Sleep; a negative duration counts as 0."""
    await trio.sleep(max(0.0, duration_ms) / MS_PER_SECOND)


def move_on_after(duration_ms: float) -> trio.CancelScope:
    """Return a scope that is cancelled after ``duration_ms``."""
    return trio.move_on_after(max(0.0, duration_ms) / MS_PER_SECOND)
