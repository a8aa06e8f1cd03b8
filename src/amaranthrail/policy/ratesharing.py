"""Share out the rate of calls that an upstream names, over all entries.

Load pattern: an upstream in need names the calls a second that it takes from
all entries together, often fewer than there are entries, while calls arrive at
one, some or all of them. Entries are cut off from each other, killed and
started meanwhile, and hear of each other's calls late. Equal fixed shares would
leave most of the limit unused where few entries have calls; shares of what the
limit has left would be used by all entries at once.

Each entry draws lots: in an interval between reports it sends as many calls as
its part of what all may send then, the fraction by chance. What an entry does
not use, reports of its calls return to the others. Entries that are not heard
keep their part, so those that do not hear each other stay within the limit too.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Collection

import msgspec

#: Shortest window in which the calls of all entries are counted, in ms, and the
#: fewest calls at the named rate that it has room for: lots of fewer calls
#: would leave much of a low rate unused.
WINDOW_MS = 2000.0
MIN_WINDOW_CALLS = 4
#: Lowest rate that is used, in calls a second: an upstream that gets no call
#: cannot say that its limit has ended.
MIN_RATE_PER_S = 0.2
#: Most calls in an interval as a multiple of those at the named rate, so that a
#: part that was left unused returns slowly and not in one burst.
MAX_PACE = 1.6
#: Weight of an entry without calls, in calls of the recent past: it may get its
#: first before the others hear of it.
IDLE_WEIGHT = 0.25
#: Fraction of its part that an entry uses in the first window after its start:
#: an earlier process of the entry may have used some, and nobody may know.
FRESH_SHARE = 0.5
#: Time in which a call loses half of its weight in the demand, in ms.
DEMAND_HALF_LIFE_MS = 1000.0


class EntryUse(msgspec.Struct, frozen=True):
    """Describe one entry's use of an upstream with a limit.

    ``demand`` is the weight of its recent calls to the service at all
    upstreams, ``calls`` counts those to this one within the window.
    """

    demand: float
    calls: int

    @property
    def weight(self) -> float:
        """Return the entry's weight in the division of the limit."""
        return self.demand + IDLE_WEIGHT


class SharedLimit(msgspec.Struct, frozen=True):
    """Describe a limit and the entries that share it.

    ``per_s`` is the rate that the upstream names, in calls a second. Entries
    hear of each other within ``interval_ms``; ``unheard`` counts those that may
    run and have not been heard of lately.
    """

    per_s: float
    interval_ms: float
    unheard: int = 0

    @property
    def rate_per_s(self) -> float:
        """Return the rate that is used, in calls a second."""
        return max(self.per_s, MIN_RATE_PER_S)

    @property
    def window_ms(self) -> float:
        """Return the window in which calls are counted, in ms.

        Reports of all calls in it but the latest have arrived.
        """
        least_ms = MIN_WINDOW_CALLS / self.rate_per_s * 1000
        return max(WINDOW_MS, least_ms, 2 * self.interval_ms)


def decay_demand(demand: float, age_ms: float) -> float:
    """Return the weight that calls have left after ``age_ms``."""
    return float(demand * 0.5 ** (age_ms / DEMAND_HALF_LIFE_MS))


def expected_calls(
    limit: SharedLimit,
    own: EntryUse,
    others: Collection[EntryUse],
    elapsed_ms: float,
) -> float:
    """Return how many calls an entry may send in the next interval.

    ``others`` are the entries heard of lately, ``elapsed_ms`` is the time since
    the entry asked last. The result is a mean; over all entries it adds up to
    what the limit has left, or to its pace.
    """
    heard_weight = own.weight + sum(other.weight for other in others)
    # Entries that are not heard of have the mean weight.
    heard_entries = 1 + len(others)
    heard_share = heard_entries / (heard_entries + limit.unheard)
    used = own.calls + sum(other.calls for other in others)
    rate_per_ms = limit.rate_per_s * heard_share / 1000
    left = rate_per_ms * limit.window_ms - used
    pace_ms = min(max(elapsed_ms, limit.interval_ms), limit.window_ms)
    pace = MAX_PACE * rate_per_ms * pace_ms
    return max(0.0, min(left, pace)) * own.weight / heard_weight


class CallPermits:
    """Hold this entry's permits for calls to one upstream with a limit."""

    def __init__(self, random_source: random.Random) -> None:
        """Start without permits and without calls."""
        self._random = random_source
        self._permits = 0
        self._next_draw_at = -math.inf
        self._call_times: deque[float] = deque()

    @property
    def available(self) -> int:
        """Return how many calls may be sent until the next draw."""
        return self._permits

    @property
    def next_draw_at(self) -> float:
        """Return the clock time of the next draw, in ms."""
        return self._next_draw_at

    def count_calls(self, now: float, window_ms: float) -> int:
        """Count the calls sent in the last ``window_ms``."""
        while self._call_times and self._call_times[0] <= now - window_ms:
            self._call_times.popleft()
        return len(self._call_times)

    def draw(self, now: float, mean: float, interval_ms: float) -> None:
        """Replace the permits by those of the next interval.

        ``mean`` is their expected number; its fraction is drawn by lot.
        """
        whole = math.floor(mean)
        self._permits = whole + (self._random.random() < mean - whole)
        self._next_draw_at = now + interval_ms

    def record_call(self, now: float) -> None:
        """Count a call and take a permit for it."""
        self._call_times.append(now)
        self._permits = max(0, self._permits - 1)
