"""Tell a silent upstream from a group that stands still or goes slowly."""

from __future__ import annotations

from amaranthrail.policy.stalls import MAX_SILENCE_MS, is_stream_stalled

PASS_MS = 90.0


def test_a_stream_that_alone_is_silent_goes_elsewhere() -> None:
    assert is_stream_stalled(MAX_SILENCE_MS + 1, PASS_MS, PASS_MS)
    assert not is_stream_stalled(MAX_SILENCE_MS - 1, PASS_MS, PASS_MS)


def test_nobody_leaves_a_group_that_stands_still() -> None:
    """Replays a rank that is lost: all ranks stall for 1.5 s."""
    assert not is_stream_stalled(1500, PASS_MS, 1500)
    assert not is_stream_stalled(1500, None, 1500)


def test_nobody_leaves_a_group_that_goes_slowly() -> None:
    """Replays a rank at twelve times its pace."""
    assert not is_stream_stalled(1500, 830, 100)
