"""Bound the calls that are sent to a service more than once.

Load pattern: a third of a service fails while callers repeat at once and often.
All entries together may add a share of the calls to a service and a fixed slack
in any window. Each entry keeps to its own calls' share and to an equal part of
the slack, so the bound holds without any word between them.
"""

from __future__ import annotations

from collections import deque

#: Part of the allowance that is used; windows of entries do not coincide.
SAFETY_SHARE = 0.8


class WindowRetryBudget:
    """Count one service's calls and repeats over a sliding window."""

    def __init__(self, ratio: float, slack: float, window_ms: float) -> None:
        """Take the bounds for all entries together."""
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms
        self._calls: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def record_call(self, now: float) -> None:
        """Count a call that a caller sent."""
        self._calls.append(now)
        self._forget(now)

    def try_withdraw(self, now: float, entries: int) -> bool:
        """Count a repeat if the budget has one left; tell whether it had."""
        self._forget(now)
        slack = self._slack / max(1, entries)
        allowed = SAFETY_SHARE * (self._ratio * len(self._calls) + slack)
        if len(self._repeats) + 1 > allowed:
            return False
        self._repeats.append(now)
        return True

    def _forget(self, now: float) -> None:
        for times in (self._calls, self._repeats):
            while times and times[0] <= now - self._window_ms:
                times.popleft()
