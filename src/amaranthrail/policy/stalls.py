"""Tell when a stream's silence is that of its upstream alone.

Load pattern: a few upstreams take calls and never answer, or stop in the middle
of a stream, while their health answers are good. At other times a whole group
stands still or goes slowly, and no other upstream would be faster.
"""

from __future__ import annotations

#: Silence after which a stream goes on elsewhere, in ms: callers leave after
#: 2,000, so another upstream has as long.
MAX_SILENCE_MS = 1000.0
#: The same in passes, for groups that go slowly.
MAX_SILENT_PASSES = 4.0
#: Age of the latest event of the service's other streams up to which they go
#: on, in ms; a pass takes 60 to 130.
OTHERS_AGE_MS = 300.0


def is_stream_stalled(
    silent_ms: float, pass_ms: float | None, age_ms: float
) -> bool:
    """Tell whether a stream is silent while others of its service go on.

    ``pass_ms`` is the pause between their events lately, None where there are
    none, and ``age_ms`` the time since the latest.
    """
    if pass_ms is None or age_ms > OTHERS_AGE_MS:
        return False
    return silent_ms > max(MAX_SILENCE_MS, MAX_SILENT_PASSES * pass_ms)
