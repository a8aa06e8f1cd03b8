"""Say when callers that are refused should return.

Load pattern: after a loss of many hosts all callers come back within the same
second and meet a service that has just begun to serve, so their return is
spread. At the crest of a wave engines stay full for seconds, so there callers
return later, as far as their time allows.
"""

from __future__ import annotations

import random

#: Least wait before a refused caller returns, in milliseconds.
MIN_RETRY_AFTER_MS = 150.0
#: Spread of returns where nothing is known of the wait, in milliseconds.
RETRY_AFTER_JITTER_MS = 600.0
#: Part of the time left after which a caller refused at the crest may be told
#: to return; it comes back sooner than asked if that is more than a third.
MAX_PEAK_RETRY_SHARE = 0.32
#: The earliest such return, as a part of the latest.
MIN_RETURN_SHARE = 0.3


def choose_retry_after_ms(source: random.Random) -> int:
    """Return the milliseconds until a caller should try again."""
    return int(MIN_RETRY_AFTER_MS + source.uniform(0, RETRY_AFTER_JITTER_MS))


def choose_peak_retry_after_ms(left_ms: float, source: random.Random) -> int:
    """Return the milliseconds until a caller meets less demand.

    ``left_ms`` is the time that it has left.
    """
    latest_ms = MAX_PEAK_RETRY_SHARE * left_ms
    return int(source.uniform(MIN_RETURN_SHARE * latest_ms, latest_ms))
