"""Decide at the crest which streams begin now and which return later.

Load pattern: a wave with bursts on top asks for more streams than engines can
write in time, for seconds. An engine that is full lets new streams wait and
writes all of them more slowly, so that everyone is late; callers that are told
to return meet the wave's other side and have most of their time left. Another
one: a single slow rank makes each pass of its group ten times as long, and a
stream that cannot end before its deadline only keeps others from ending.
"""

from __future__ import annotations

import msgspec

#: Work per slot up to which streams of fresh callers begin, and those of
#: callers that were refused before or go on with a stream.
FRESH_LOAD = 1.0
RETURNED_LOAD = 1.6
#: Part of a stream's expected length that must fit into the time left; half of
#: all streams are shorter than expected.
SURE_LENGTH_SHARE = 0.5
#: Part of the route's time from which a caller counts as fresh.
FRESH_TIME_SHARE = 0.85


class EngineLoad(msgspec.Struct, frozen=True):
    """Describe how engines stand when a stream asks for one.

    ``least_load`` is the work per slot of the least loaded engine with the new
    stream, ``step_ms`` the time of a pass lately, None where no stream runs.
    """

    least_load: float
    step_ms: float | None


class StreamRequest(msgspec.Struct, frozen=True):
    """Describe a stream that a caller asks for.

    ``steps`` is the expected number of steps that write all of it, 0 if
    unknown; ``is_resumed`` says that its caller has the begin of it.
    """

    remaining_ms: float
    route_timeout_ms: float
    steps: float = 0
    is_resumed: bool = False

    @property
    def is_fresh(self) -> bool:
        """Tell whether the caller comes for the first time."""
        return (
            not self.is_resumed
            and self.remaining_ms > FRESH_TIME_SHARE * self.route_timeout_ms
        )


def should_admit_stream(wish: StreamRequest, crest: EngineLoad) -> bool:
    """Tell whether a stream is admitted now; otherwise its caller returns."""
    # How much of a stream is left is not known.
    if crest.step_ms is not None and not wish.is_resumed:
        sure_ms = SURE_LENGTH_SHARE * wish.steps * crest.step_ms
        if sure_ms > wish.remaining_ms:
            return False
    limit = FRESH_LOAD if wish.is_fresh else RETURNED_LOAD
    return crest.least_load <= limit
