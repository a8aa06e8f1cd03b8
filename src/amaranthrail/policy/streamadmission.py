"""Decide at a load peak which new streams to admit and which to refuse.

Load pattern: a load peak with bursts on top asks for more streams than the
engines can generate in time, for several seconds. A full engine queues new
streams and generates all streams more slowly, so that every stream is late.
Callers that are told to retry later arrive after the peak and have most of
their time left. Another pattern: one slow rank makes each step of its group ten
times as long, and a stream that cannot end before its deadline only delays the
others.
"""

from __future__ import annotations

import msgspec

#: Highest load per slot at which streams are admitted: on a caller's first
#: request, and on one that retries after a refusal or resumes a stream.
MAX_FIRST_REQUEST_LOAD = 1.0
MAX_RETRY_LOAD = 1.6
#: Fraction of a stream's expected length that must fit into the time left;
#: half of all streams are shorter than expected.
REQUIRED_LENGTH_SHARE = 0.5
#: A request that has more than this fraction of the route's timeout left is
#: its caller's first.
FIRST_REQUEST_TIME_SHARE = 0.85


class EngineLoad(msgspec.Struct, frozen=True):
    """Describe the load of a service's engines when a stream is requested.

    ``least_load`` is the work per slot of the least loaded engine, the new
    stream included. ``step_ms`` is the recent duration of an engine step, None
    if no stream is running.
    """

    least_load: float
    step_ms: float | None


class StreamRequest(msgspec.Struct, frozen=True):
    """Describe a caller's request for a stream; times in milliseconds.

    ``remaining_ms`` is the time to its deadline and ``route_timeout_ms`` the
    timeout of its route. ``steps`` is the expected number of engine steps that
    generate the whole stream, 0 if unknown. ``is_resumed`` says that the caller
    already has the beginning of the stream.
    """

    remaining_ms: float
    route_timeout_ms: float
    steps: float = 0
    is_resumed: bool = False

    @property
    def is_first_request(self) -> bool:
        """Tell by the time left whether this is the caller's first request."""
        return (
            not self.is_resumed
            and self.remaining_ms
            > FIRST_REQUEST_TIME_SHARE * self.route_timeout_ms
        )


def should_admit_stream(request: StreamRequest, load: EngineLoad) -> bool:
    """Tell whether to admit a stream now or tell its caller to retry later."""
    # The remaining length of a resumed stream is unknown.
    if load.step_ms is not None and not request.is_resumed:
        required_ms = REQUIRED_LENGTH_SHARE * request.steps * load.step_ms
        if required_ms > request.remaining_ms:
            return False
    limit = (
        MAX_FIRST_REQUEST_LOAD if request.is_first_request else MAX_RETRY_LOAD
    )
    return load.least_load <= limit
