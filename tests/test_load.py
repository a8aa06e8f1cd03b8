"""Estimate other entries' load from reports that are up to an interval old."""

from __future__ import annotations

from amaranthrail.entry.load import LoadTracker

from .build import make_heartbeat

SLOTS = 8
HEARTBEAT_INTERVAL_MS = 500.0


def _expected_waits(reports: list[tuple[int, float]]) -> list[float]:
    """Return the expected wait after each report of (count, cost in ms)."""
    tracker = LoadTracker('redattore-0')
    waits = []
    for number, (count, cost_ms) in enumerate(reports, start=1):
        heartbeat = make_heartbeat(
            clock=number * HEARTBEAT_INTERVAL_MS,
            short_count=count,
            short_ms=cost_ms,
            slots=SLOTS,
        )
        tracker.apply_heartbeat(heartbeat)
        waits.append(tracker.candidate(0.5, long=False).wait_ms)
    return waits


def test_work_done_by_the_next_report_counts_by_its_mean() -> None:
    alternating = [
        (10, 200.0) if number % 2 else (0, 0.0) for number in range(20)
    ]
    waits = _expected_waits(alternating)
    assert max(waits) == 0


def test_steady_work_counts_fully_after_many_reports() -> None:
    steady = [(10, 200.0) for _ in range(20)]
    waits = _expected_waits(steady)
    assert waits == sorted(waits)
    assert waits[-1] > 0


def test_long_queue_counts_at_once() -> None:
    queue = [(0, 0.0), (100, 10_000.0)]
    waits = _expected_waits(queue)
    assert waits[0] == 0
    assert waits[1] > HEARTBEAT_INTERVAL_MS


def test_cleared_queue_stops_counting_at_once() -> None:
    waits = _expected_waits([(100, 10_000.0), (0, 0.0)])
    assert waits[0] > 0
    assert waits[1] == 0
