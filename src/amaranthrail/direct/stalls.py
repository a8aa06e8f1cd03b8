"""Find streams whose upstream has stalled."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager

import msgspec

from ..clock import Clock, sleep
from ..containment import repeat_step
from ..logs import part_logger
from ..policy.stalls import is_stream_stalled
from .steptimes import StepTimes

#: Interval between checks of all waiting streams, in ms: a fifth of the time
#: without an event after which a stream is stalled.
CHECK_INTERVAL_MS = 200.0
_log = part_logger('stalls')


class _WatchedWait(msgspec.Struct, frozen=True):
    since: float
    step_times: StepTimes
    on_stall: Callable[[], None]


class StallDetector:
    """Report streams that are silent while others are not."""

    def __init__(self, clock: Clock) -> None:
        """Start without waits; they are checked only while run() runs."""
        self._clock = clock
        self._waits: set[_WatchedWait] = set()

    @contextmanager
    def watch(
        self,
        step_times: StepTimes,
        on_stall: Callable[[], None],
        waited_ms: float = 0,
    ) -> Iterator[None]:
        """Call ``on_stall`` in each check while the block's stream is stalled.

        ``step_times`` are those of the group that serves the stream, and
        ``waited_ms`` is the time for which its next event was awaited before.
        The wait itself goes on.
        """
        since = self._clock.now() - waited_ms
        wait = _WatchedWait(since, step_times, on_stall)
        self._waits.add(wait)
        try:
            yield
        finally:
            self._waits.discard(wait)

    async def run(self) -> None:
        """Check all waits at a fixed interval until cancelled."""
        await repeat_step(self._check, _log, 'stalled stream not sent on')

    async def _check(self) -> None:
        await sleep(CHECK_INTERVAL_MS)
        now = self._clock.now()
        for wait in tuple(self._waits):
            if _is_stalled(wait, now):
                wait.on_stall()


def _is_stalled(wait: _WatchedWait, now: float) -> bool:
    times = wait.step_times
    return is_stream_stalled(now - wait.since, times.step_ms, times.age_ms)
