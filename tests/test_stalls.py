"""Tell a stalled upstream from a group that stops or is slow."""

from __future__ import annotations

from amaranthrail.policy.stalls import STALL_TIMEOUT_MS, is_stream_stalled

STEP_MS = 90.0


def test_stream_stalled_on_its_own_is_detected() -> None:
    assert is_stream_stalled(STALL_TIMEOUT_MS + 1, STEP_MS, STEP_MS)
    assert not is_stream_stalled(STALL_TIMEOUT_MS - 1, STEP_MS, STEP_MS)


def test_streams_stay_with_a_group_that_stops() -> None:
    """Replays the loss of a rank: all ranks stall for 1.5 s."""
    assert not is_stream_stalled(1500, STEP_MS, 1500)
    assert not is_stream_stalled(1500, None, 1500)


def test_streams_stay_with_a_slow_group() -> None:
    """Replays a rank that is twelve times slower than usual."""
    assert not is_stream_stalled(1500, 830, 100)
