"""Test the measurement of the event loop, on a simulated clock."""

from __future__ import annotations

import pytest
import structlog
import trio
from trio.testing import MockClock

from amaranthrail.clock import Clock
from amaranthrail.looptimes import LONG_STEP_MS, LoopTimes, name_work
from amaranthrail.metrics import Metrics


async def _hold_loop(mock: MockClock, step_ms: float) -> None:
    """Let time pass in one step of this task."""
    await trio.lowlevel.checkpoint()
    name_work('upstream 10.0.0.1:80')
    mock.jump(step_ms / 1000)
    await trio.lowlevel.checkpoint()


@pytest.mark.parametrize(
    ('steps_ms', 'lines', 'long_steps'),
    [([10, 40], 0, 0), ([700], 1, 1), ([700, 700, 1500], 2, 3)],
    ids=['short', 'long', 'bounded'],
)
def test_long_steps_are_counted_and_logged_with_their_work(
    steps_ms: list[float], lines: int, long_steps: int
) -> None:
    mock = MockClock()
    metrics = Metrics()
    times = LoopTimes(metrics, Clock(mock.current_time))

    async def main() -> None:
        for step_ms in steps_ms:
            await _hold_loop(mock, step_ms)

    with structlog.testing.capture_logs() as logged:
        trio.run(main, clock=mock, instruments=[times])
    assert [line['work'] for line in logged] == lines * ['upstream 10.0.0.1:80']
    assert metrics.counters.get('loop_long_steps', {}).get((), 0) == long_steps
    passes = metrics.histograms['loop_pass']
    assert passes.count_above(LONG_STEP_MS) == long_steps
