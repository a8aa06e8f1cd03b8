"""Test the handler of stop signals."""

from __future__ import annotations

import signal
from collections.abc import Iterator

import pytest
import trio

from amaranthrail.clock import Clock
from amaranthrail.signals import LoopMonitor, StopTimes, on_stop_signal


@pytest.fixture
def kept_handler() -> Iterator[None]:
    """Restore the handler of SIGTERM after a test."""
    handler = signal.getsignal(signal.SIGTERM)
    yield
    signal.signal(signal.SIGTERM, handler)


@pytest.mark.usefixtures('kept_handler')
def test_a_stop_signal_after_the_event_loop_has_ended_is_ignored() -> None:
    """Guards against an exit with an exception on a second stop signal.

    The handler stays installed until the process has exited.
    """
    clock = Clock()
    recorded: list[StopTimes] = []
    received: list[StopTimes] = []

    async def main() -> None:
        on_stop_signal(
            clock, LoopMonitor(clock), recorded.append, received.append
        )

    trio.run(main)
    signal.raise_signal(signal.SIGTERM)
    assert len(recorded) == 1
    assert not received
