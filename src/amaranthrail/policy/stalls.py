"""Detect a stream that stalls because of its own upstream only.

Load pattern: a few upstreams accept calls and never answer, or stop in the
middle of a stream, while their health checks pass. At other times a whole group
stops or is slow, and no other upstream would be faster.
"""

from __future__ import annotations

#: Time without an event after which a stream is retried on another upstream, in
#: ms. Callers give up after 2,000, so the other upstream has as long.
STALL_TIMEOUT_MS = 1000.0
#: The same in engine steps, for groups with slow steps.
STALL_TIMEOUT_STEPS = 4.0
#: Age of the latest event of the service's other streams up to which they are
#: not stalled, in ms; a step takes 60 to 130.
MAX_OTHERS_AGE_MS = 300.0


def is_stream_stalled(
    silent_ms: float, step_ms: float | None, others_age_ms: float
) -> bool:
    """Tell whether a stream stalls while others of its service do not.

    ``silent_ms`` is the time since its last event. ``step_ms`` is the recent
    time between the other streams' events, None if there are none, and
    ``others_age_ms`` the time since their latest event.
    """
    if step_ms is None or others_age_ms > MAX_OTHERS_AGE_MS:
        return False
    return silent_ms > max(STALL_TIMEOUT_MS, STALL_TIMEOUT_STEPS * step_ms)
