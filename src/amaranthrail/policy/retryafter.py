"""Choose the retry-after time in refusals.

Load pattern: after a loss of many hosts all callers retry within the same
second, at a service that has only just restarted, so their retries are
distributed at random. At a load peak engines stay full for seconds, so there
callers are told to retry later, as far as their deadlines allow. A rank group
that has stopped answers nobody until it has formed anew, and the time that this
takes is known.
"""

from __future__ import annotations

import random

#: Shortest retry-after, in milliseconds.
MIN_RETRY_AFTER_MS = 150.0
#: Longest random addition, in milliseconds, where the expected wait is unknown.
RETRY_AFTER_JITTER_MS = 600.0
#: Longest retry-after at a load peak, as a fraction of the caller's remaining
#: time; above a third callers retry sooner than they are told to.
MAX_PEAK_RETRY_SHARE = 0.32
#: Shortest retry-after at a load peak, as a fraction of the longest.
MIN_PEAK_RETRY_SHARE = 0.3


#: Shortest time left until a group is expected back, in ms, for which callers
#: are told that time; a group that is later than expected has no known time.
MIN_STOP_LEFT_MS = 1.0


def choose_return_after_stop_ms(
    expected_ms: float, remaining_ms: float, rng: random.Random
) -> int | None:
    """Return a retry-after, in ms, with which a stopped group is back.

    ``expected_ms`` is the time until it is expected back, ``remaining_ms`` the
    caller's time to its deadline. The result is None where the group is late,
    and at most the longest time that callers honour.
    """
    if expected_ms < MIN_STOP_LEFT_MS:
        return None
    return_ms = expected_ms + choose_retry_after_ms(rng)
    return int(min(return_ms, MAX_PEAK_RETRY_SHARE * remaining_ms))


def choose_retry_after_ms(rng: random.Random) -> int:
    """Return a random retry-after, in ms, independent of the load."""
    return int(MIN_RETRY_AFTER_MS + rng.uniform(0, RETRY_AFTER_JITTER_MS))


def choose_peak_retry_after_ms(remaining_ms: float, rng: random.Random) -> int:
    """Return a random retry-after, in ms, by which a load peak may be over.

    ``remaining_ms`` is the caller's time to its deadline.
    """
    latest_ms = MAX_PEAK_RETRY_SHARE * remaining_ms
    return int(rng.uniform(MIN_PEAK_RETRY_SHARE * latest_ms, latest_ms))
