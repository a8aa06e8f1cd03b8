"""Spread the calls of all entries to an upstream that is still cold.

Load pattern: upstreams start, or become cold again, while many entries place
calls without a coordinator. An upstream that has just started has the least
load, so all entries choose it at once; where few upstreams are ready, or all of
a failure domain return together, each of them gets many calls. Well above its
cold rate an upstream crashes, and the rest get its calls.

Each entry has a bucket of permits for each upstream. Its size is the entry's
part of the room that the bound leaves above the cold rate, its rate the entry's
part of the cold rate by the recent calls to the service. Both add up to the
bound over all entries that may run, also over those that do not hear each
other. What others report is only used to send less.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Collection

import msgspec

from .ratesharing import EntryUse

#: Window in which the platform counts the calls to a cold upstream, in ms.
WINDOW_MS = 1000.0
#: Time after which an entry asks again while others have used up the rate, in
#: ms: the interval between reports of an entry with calls.
RECHECK_MS = 100.0
#: Least part of the cold rate that is shared where buckets of one permit take
#: the room of the bound: without any rate a bucket would never fill again.
MIN_RATE_SHARE = 0.25
#: Tolerance in permits, for sums of binary fractions.
_ROUNDING = 1e-9


class WarmupLimit(msgspec.Struct, frozen=True):
    """Describe what a cold upstream takes from all entries together.

    ``per_s`` is the target in calls a second, ``bound`` the number in any
    second that is never exceeded. ``entries`` counts all that may run.
    """

    per_s: float
    bound: float
    entries: int

    @property
    def burst(self) -> float:
        """Return the size of one entry's bucket, at least one permit."""
        return max(1, (self.bound - self.per_s) / max(1, self.entries))

    @property
    def rate_per_s(self) -> float:
        """Return the rate of all buckets together, in calls a second."""
        left = self.bound - self.entries * self.burst
        return min(self.per_s, max(left, self.per_s * MIN_RATE_SHARE))


def entry_rate(
    limit: WarmupLimit, own: EntryUse, others: Collection[EntryUse]
) -> float:
    """Return the rate of one entry's bucket, in calls a second.

    ``others`` are the entries heard of lately. Those that are not keep their
    part of the rate.
    """
    heard = 1 + len(others)
    heard_share = min(1, heard / max(1, limit.entries))
    heard_weight = own.weight + sum(other.weight for other in others)
    return limit.rate_per_s * heard_share * own.weight / heard_weight


class WarmupPermits:
    """Hold one entry's permits for calls to one upstream, warm or cold."""

    def __init__(self, now: float, permits: float) -> None:
        """Start with some permits; ``now`` is the clock time in ms."""
        self._permits = permits
        self._filled_at = now
        self._call_times: deque[float] = deque()

    def count_calls(self, now: float) -> int:
        """Count the calls sent in the last window."""
        while self._call_times and self._call_times[0] <= now - WINDOW_MS:
            self._call_times.popleft()
        return len(self._call_times)

    def fill(self, now: float, rate_per_s: float, burst: float) -> None:
        """Add the permits since the last time, up to a full bucket."""
        earned = rate_per_s * (now - self._filled_at) / 1000
        self._permits = min(burst, self._permits + earned)
        self._filled_at = now

    def wait_ms(
        self, limit: WarmupLimit, rate_per_s: float, used: int
    ) -> float:
        """Return the time until the next permit, 0 if there is one.

        ``used`` counts the calls of all entries in the last window, as far as
        they are known.
        """
        if used + 1 > max(1, limit.per_s):
            return RECHECK_MS
        missing = 1 - self._permits
        if missing <= _ROUNDING:
            return 0
        return math.ceil(missing / rate_per_s * 1000)

    def take(self, now: float) -> None:
        """Count a call and take its permit if there is one."""
        self.count_calls(now)
        self._call_times.append(now)
        self._permits = max(0, self._permits - 1)
