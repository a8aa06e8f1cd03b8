"""Decide at a load peak which new streams to admit and which to refuse.

Load pattern: a load peak with bursts on top asks for more streams than the
engines can generate in time, for several seconds. A full engine queues new
streams and generates all streams more slowly, so that every stream is late.
Callers that are told to retry later arrive after the peak and have most of
their time left, but their streams are late already: while demand is close to
the capacity, new requests go before them, or the overload outlasts the peak.
Another pattern: one slow rank makes each step of its group ten times as long,
and a stream that cannot end before its deadline only delays the others.
"""

from __future__ import annotations

import msgspec

from .rankgroups import GroupLoad

#: Highest load per slot of the least loaded engine at which a stream is
#: admitted, and one that resumes: its caller already has the beginning.
MAX_ENGINE_LOAD = 1.0
MAX_RESUMED_LOAD = 1.6
#: Highest load per slot of a whole group at which a first request and a retry
#: after a refusal are admitted if they are most urgent, what each further rank
#: of urgency takes off both, and the least value. A retry is late in any case:
#: if retries came first, each would make another caller late, long after the
#: peak.
MAX_FIRST_REQUEST_MEAN_LOAD = 1.0
MAX_RETRY_MEAN_LOAD = 0.92
MEAN_LOAD_PER_RANK = 0.02
MIN_MEAN_LOAD = 0.9
#: Fraction of a stream's expected length that must fit into the time left;
#: half of all streams are shorter than expected.
REQUIRED_LENGTH_SHARE = 0.5
#: Step time as a fraction of the target gap from which a first request of the
#: most urgent calls is refused, what each further rank of urgency takes off it,
#: and its least value: the less urgent leave room for the more urgent.
MAX_STEP_SHARE = 0.95
STEP_SHARE_PER_RANK = 0.02
MIN_STEP_SHARE = 0.88
#: The same fraction from which a step is so long because of a slow rank that
#: fewer streams would not bring it below the target gap.
SLOW_STEP_SHARE = 1.6
#: Least mean load per slot at which long steps are a reason to refuse.
MIN_LIMITED_LOAD = 0.6
#: A request that has more than this fraction of the route's timeout left is
#: its caller's first.
FIRST_REQUEST_TIME_SHARE = 0.85


class StreamRequest(msgspec.Struct, frozen=True):
    """Describe a caller's request for a stream; times in milliseconds.

    ``remaining_ms`` is the time to its deadline and ``route_timeout_ms`` the
    timeout of its route, ``target_gap_ms`` the longest gap between events with
    which it is in time, if the route states one. ``urgency_rank`` is 0 for the
    most urgent calls of the service, and higher the less urgent the call is.
    ``steps`` is the expected number of engine steps that generate the whole
    stream, 0 if unknown. ``is_resumed`` says that the caller already has the
    beginning of the stream.
    """

    remaining_ms: float
    route_timeout_ms: float
    target_gap_ms: float | None = None
    urgency_rank: int = 0
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


def should_admit_stream(request: StreamRequest, load: GroupLoad) -> bool:
    """Tell whether a group admits a stream or its caller is to retry later."""
    # The remaining length of a resumed stream is unknown.
    if load.step_ms is not None and not request.is_resumed:
        required_ms = REQUIRED_LENGTH_SHARE * request.steps * load.step_ms
        if required_ms > request.remaining_ms:
            return False
    if _makes_steps_too_long(request, load):
        return False
    if request.is_resumed:
        return load.least_load <= MAX_RESUMED_LOAD
    mean_limit = MAX_RETRY_MEAN_LOAD
    if request.is_first_request:
        mean_limit = MAX_FIRST_REQUEST_MEAN_LOAD
    mean_limit -= MEAN_LOAD_PER_RANK * request.urgency_rank
    return load.least_load <= MAX_ENGINE_LOAD and load.mean_load <= max(
        MIN_MEAN_LOAD, mean_limit
    )


def _makes_steps_too_long(request: StreamRequest, load: GroupLoad) -> bool:
    """Tell whether one more stream would make those of its group late.

    Only a load that refusals can lower is a reason: not a slow rank, and not a
    batch that is too small to matter. A caller that was refused before or that
    resumes a stream is not refused for it.
    """
    if load.step_ms is None or request.target_gap_ms is None:
        return False
    if not request.is_first_request or load.mean_load < MIN_LIMITED_LOAD:
        return False
    share = load.step_ms / request.target_gap_ms
    limit = MAX_STEP_SHARE - STEP_SHARE_PER_RANK * request.urgency_rank
    return max(MIN_STEP_SHARE, limit) < share < SLOW_STEP_SHARE
