"""Tell the time in milliseconds, the one unit of this package."""

from __future__ import annotations

import time
from collections.abc import Callable

import trio

from .types import Millis

MS_PER_SECOND = 1000.0
_COUNTER_BITS = 16


class Clock:
    """Read monotonic and wall time and order events over processes.

    A stamp is a hybrid logical clock reading: wall milliseconds in the upper
    bits, a counter in the lower 16. Receiving a stamp moves this clock past
    it, so an effect never carries a lower stamp than its cause.
    """

    def __init__(
        self,
        monotonic: Callable[[], float] = time.monotonic,
        wall: Callable[[], float] = time.time,
    ) -> None:
        """Take the two sources, each in seconds."""
        self._monotonic = monotonic
        self._wall = wall
        self._last_stamp = 0

    def now(self) -> Millis:
        """Return monotonic milliseconds; only differences have a meaning."""
        return Millis(self._monotonic() * MS_PER_SECOND)

    def wall(self) -> int:
        """Return milliseconds since the Unix epoch."""
        return int(self._wall() * MS_PER_SECOND)

    def stamp(self) -> int:
        """Return a stamp above every stamp given or received before."""
        fresh = self.wall() << _COUNTER_BITS
        self._last_stamp = max(fresh, self._last_stamp + 1)
        return self._last_stamp

    def receive(self, stamp: int) -> None:
        """Move past a stamp that another process sent."""
        self._last_stamp = max(self._last_stamp, stamp)


def stamp_to_wall(stamp: int) -> int:
    """Return the wall milliseconds that a stamp carries."""
    return stamp >> _COUNTER_BITS


async def sleep(duration: float) -> None:
    """Sleep for a number of milliseconds."""
    await trio.sleep(max(0.0, duration) / MS_PER_SECOND)


def move_on_after(duration: float) -> trio.CancelScope:
    """Return a scope that is left after a number of milliseconds."""
    return trio.move_on_after(max(0.0, duration) / MS_PER_SECOND)
