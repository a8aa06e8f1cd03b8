"""Bound the retries to a service over a sliding window.

Load pattern: a third of a service fails while callers retry at once and often.
All entries together may add retries up to a ratio of the calls to a service
plus a fixed slack in any window. Each entry keeps to the ratio of its own calls
and to an equal part of the slack, so the bound holds without coordination.
"""

from __future__ import annotations

from collections import deque

#: Fraction of the allowed retries that is used, since the windows of entries do
#: not coincide.
SAFETY_SHARE = 0.8


class WindowRetryBudget:
    """Count one service's calls and retries over a sliding window."""

    def __init__(self, ratio: float, slack: float, window_ms: float) -> None:
        """Set the bounds, which are for all entries together.

        ``ratio`` is in retries per call, ``slack`` in retries per window.
        """
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms
        self._call_times: deque[float] = deque()
        self._retry_times: deque[float] = deque()

    def record_call(self, now: float) -> None:
        """Count a call from a caller; ``now`` is in ms."""
        self._call_times.append(now)
        self._discard_old(now)

    def try_withdraw(self, now: float, entries: int) -> bool:
        """Count a retry if the budget allows one; tell whether it did.

        ``entries`` is the number of entries that share the slack.
        """
        self._discard_old(now)
        own_slack = self._slack / max(1, entries)
        allowed = SAFETY_SHARE * (
            self._ratio * len(self._call_times) + own_slack
        )
        if len(self._retry_times) + 1 > allowed:
            return False
        self._retry_times.append(now)
        return True

    def _discard_old(self, now: float) -> None:
        for times in (self._call_times, self._retry_times):
            while times and times[0] <= now - self._window_ms:
                times.popleft()
