"""Expect the work of other entries from reports that are late."""

from __future__ import annotations

from amaranthrail.entry.load import LoadTracker

from .build import make_heartbeat

SLOTS = 8
EVERY_MS = 500.0


def _wait_after(reports: list[tuple[int, float]]) -> list[float]:
    """Return the wait expected after each report of short work."""
    tracker = LoadTracker('redattore-0')
    waits = []
    for number, (count, cost_ms) in enumerate(reports, start=1):
        told = make_heartbeat(
            clock=number * EVERY_MS,
            short_count=count,
            short_ms=cost_ms,
            slots=SLOTS,
        )
        tracker.apply_heartbeat(told)
        waits.append(tracker.candidate(0.5, long=False).wait_ms)
    return waits


def test_work_gone_by_the_next_report_counts_by_its_mean() -> None:
    full_now_and_then = [
        (10, 200.0) if number % 2 else (0, 0.0) for number in range(20)
    ]
    waits = _wait_after(full_now_and_then)
    assert max(waits) == 0


def test_steady_work_counts_in_full_in_time() -> None:
    steady = [(10, 200.0) for _ in range(20)]
    waits = _wait_after(steady)
    assert waits == sorted(waits)
    assert waits[-1] > 0


def test_queue_that_stands_counts_at_once() -> None:
    queue = [(0, 0.0), (100, 10_000.0)]
    waits = _wait_after(queue)
    assert waits[0] == 0
    assert waits[1] > EVERY_MS


def test_queue_that_has_gone_is_forgotten_at_once() -> None:
    waits = _wait_after([(100, 10_000.0), (0, 0.0)])
    assert waits[0] > 0
    assert waits[1] == 0
