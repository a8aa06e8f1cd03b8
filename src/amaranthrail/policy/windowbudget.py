"""Bound the retries to a service over a sliding window.

Load pattern: a third of a service fails while callers retry at once and often,
and entries are stopped and started again meanwhile.
All entries together may add retries up to a ratio of the calls to a service
plus a fixed slack in any window. Each entry keeps to the ratio of its own calls
and to an equal part of the slack, so the bound holds without coordination.
"""

from __future__ import annotations

from collections import deque

#: Fraction of the allowed retries that is used, since the windows of entries do
#: not coincide.
SAFETY_SHARE = 0.8
#: Fraction of its slack that an entry uses in the first window after its start:
#: an earlier process of the entry may have used all that is allowed just
#: before, and nobody knows.
FRESH_SLACK_SHARE = (1 - SAFETY_SHARE) / SAFETY_SHARE


class WindowRetryBudget:
    """Count one service's calls and retries over a sliding window."""

    def __init__(
        self,
        ratio: float,
        slack: float,
        window_ms: float,
        started_at: float,
    ) -> None:
        """Set the bounds, which are for all entries together.

        ``ratio`` is in retries per call, ``slack`` in retries per window.
        ``started_at`` is the clock time in ms at which this entry started.
        """
        self._started_at = started_at
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms
        self._call_times: deque[float] = deque()
        self._retry_times: deque[float] = deque()

    def record_call(self, now: float) -> None:
        """Count a call from a caller; ``now`` is in ms."""
        self._call_times.append(now)
        self._discard_old(now)

    def try_withdraw(
        self, now: float, entries: int, usable_share: float = 1
    ) -> bool:
        """Count a retry if the budget allows one; tell whether it did.

        ``entries`` is the number of entries that share the slack. A retry of
        less importance may use only the part ``usable_share`` of the budget.
        """
        self._discard_old(now)
        own_slack = self._slack / max(1, entries)
        if now - self._started_at < self._window_ms:
            own_slack *= FRESH_SLACK_SHARE
        allowed = SAFETY_SHARE * (
            self._ratio * len(self._call_times) + own_slack
        )
        if len(self._retry_times) + 1 > allowed * usable_share:
            return False
        self._retry_times.append(now)
        return True

    def _discard_old(self, now: float) -> None:
        for times in (self._call_times, self._retry_times):
            while times and times[0] <= now - self._window_ms:
                times.popleft()
