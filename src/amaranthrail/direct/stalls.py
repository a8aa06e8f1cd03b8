"""Cancel streams' waits for an upstream that has stalled."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager

import msgspec
import trio

from ..clock import Clock, sleep
from ..policy.stalls import is_stream_stalled
from .steptimes import StepTimes

#: Interval between checks of all waiting streams, in ms: a fifth of the time
#: without an event after which a stream is stalled.
CHECK_INTERVAL_MS = 200.0


class _GuardedWait(msgspec.Struct, frozen=True):
    since: float
    step_times: StepTimes
    reserve_switch: Callable[[], bool]


class StallDetector:
    """Cancel waits of streams that are silent while others are not."""

    def __init__(self, clock: Clock) -> None:
        """Start without waits; they are checked only while run() runs."""
        self._clock = clock
        self._waits: dict[trio.CancelScope, _GuardedWait] = {}

    @contextmanager
    def guard(
        self,
        step_times: StepTimes,
        reserve_switch: Callable[[], bool],
    ) -> Iterator[None]:
        """Cancel the block where its stream alone is stalled.

        ``step_times`` are those of the group that serves the stream.
        ``reserve_switch`` tells whether the stream may resume at another
        upstream, and takes a retry for it if so.
        """
        with trio.CancelScope() as scope:
            self._waits[scope] = _GuardedWait(
                self._clock.now(),
                step_times,
                reserve_switch,
            )
            try:
                yield
            finally:
                del self._waits[scope]

    async def run(self) -> None:
        """Check all waits at a fixed interval until cancelled."""
        while True:
            await sleep(CHECK_INTERVAL_MS)
            now = self._clock.now()
            for scope, wait in self._waits.items():
                if _is_stalled(wait, now) and wait.reserve_switch():
                    scope.cancel()


def _is_stalled(wait: _GuardedWait, now: float) -> bool:
    times = wait.step_times
    return is_stream_stalled(now - wait.since, times.step_ms, times.age_ms)
