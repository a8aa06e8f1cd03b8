"""Watch streams that wait for their upstream."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager

import msgspec
import trio

from ..clock import Clock, sleep
from ..policy.stalls import is_stream_stalled
from .steptimes import StepTimes

#: Time between two looks at all streams, in ms: a fifth of the silence that is
#: borne.
LOOK_INTERVAL_MS = 200.0


class _Wait(msgspec.Struct, frozen=True):
    since: float
    engines: StepTimes
    may_leave: Callable[[], bool]


class StallDetector:
    """End the waits of streams that alone have fallen silent."""

    def __init__(self, clock: Clock) -> None:
        """Start without streams."""
        self._clock = clock
        self._waits: dict[trio.CancelScope, _Wait] = {}

    @contextmanager
    def wait(
        self,
        engines: StepTimes,
        may_leave: Callable[[], bool],
    ) -> Iterator[None]:
        """End what is inside where only this stream is silent.

        ``may_leave`` tells whether the stream may go on elsewhere, and counts
        that it does.
        """
        with trio.CancelScope() as scope:
            self._waits[scope] = _Wait(self._clock.now(), engines, may_leave)
            try:
                yield
            finally:
                del self._waits[scope]

    async def run(self) -> None:
        """Look at all streams again and again, for good."""
        while True:
            await sleep(LOOK_INTERVAL_MS)
            now = self._clock.now()
            for scope, wait in self._waits.items():
                if _is_alone(wait, now) and wait.may_leave():
                    scope.cancel()


def _is_alone(wait: _Wait, now: float) -> bool:
    engines = wait.engines
    return is_stream_stalled(now - wait.since, engines.pass_ms, engines.age_ms)
