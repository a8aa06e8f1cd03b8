"""Decide at a load peak which new streams to admit and which to refuse.

Load pattern: a load peak with bursts on top asks for more streams than the
engines can generate in time, for several seconds. A full engine queues new
streams and generates all streams more slowly, so that every stream is late.
Callers that are told to retry later arrive after the peak and have most of
their time left, but their streams are late already: while demand is close to
the capacity, new requests go before them, or the overload outlasts the peak.
Another pattern: one slow rank makes each step of its group ten times as long,
and a stream that cannot end before its deadline only delays the others.
Another: many entries admit bursts on the same step time, which shows none of
their streams yet, and all of these are late.

Limits beyond those on load and step time apply only under ``Pressure``, which
an entry knows only where callers were refused.
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
#: Factor by which steps are longer while ranks copy experts.
COPYING_FACTOR = 1.15
#: Under pressure, what is taken off the limits on the step share and the mean
#: load of a request for each mean length that it is longer than the mean of its
#: route, and at most: it takes the place of several others. At 1.2 times the
#: capacity the longest streams alone hold what is too much.
LONG_SHARE = 0.04
MAX_LONG_SHARE = 0.08
#: The same for a request of an organisation above its fair share.
UNFAIR_SHARE = 0.06
#: Work of a prompt token in generated tokens.
PROMPT_TOKEN_WORK = 0.05
#: What is taken off the limit on the step share of a returning caller beyond
#: the part reserved for them: it is late in any case, and a first request that
#: it displaces returns in its turn.
UNRESERVED_SHARE = 0.01
#: A request that has more than this fraction of the route's timeout left is
#: its caller's first: with less, the target time to the first event is over.
FIRST_REQUEST_TIME_SHARE = 0.93


def stream_work(
    expected_tokens: int, prompt_tokens: int, max_output_tokens: int
) -> float:
    """Return a stream's work in generated tokens, 0 where it is unknown.

    ``expected_tokens`` is the caller's estimate, the others are the sizes that
    it states; each is 0 where it states none.
    """
    output_tokens = expected_tokens or max_output_tokens
    if max_output_tokens:
        output_tokens = min(output_tokens, max_output_tokens)
    if not output_tokens:
        return 0
    return output_tokens + PROMPT_TOKEN_WORK * prompt_tokens


class StreamRequest(msgspec.Struct, frozen=True):
    """Describe a caller's request for a stream; times in milliseconds.

    ``remaining_ms`` is the time to its deadline and ``route_timeout_ms`` the
    timeout of its route, ``target_gap_ms`` the longest gap between events with
    which it is in time, if the route states one. ``urgency_rank`` is 0 for the
    most urgent calls of the service, and higher the less urgent the call is.
    ``steps`` is the expected number of engine steps that generate the whole
    stream, 0 if unknown. ``is_resumed`` says that the caller already has the
    beginning of the stream. ``relative_size`` is its size against the mean of
    its route, and ``is_above_share`` says that its organisation asks for more
    than its fair share.
    """

    remaining_ms: float
    route_timeout_ms: float
    target_gap_ms: float | None = None
    urgency_rank: int = 0
    steps: float = 0
    is_resumed: bool = False
    relative_size: float = 1
    is_above_share: bool = False

    @property
    def is_first_request(self) -> bool:
        """Tell by the time left whether this is the caller's first request."""
        return (
            not self.is_resumed
            and self.remaining_ms
            > FIRST_REQUEST_TIME_SHARE * self.route_timeout_ms
        )

    @property
    def is_returning(self) -> bool:
        """Tell whether the caller was most likely refused before."""
        return not self.is_resumed and not self.is_first_request


class Pressure(msgspec.Struct, frozen=True):
    """Describe what a group has to serve besides the streams in progress.

    ``due_share`` is the work of the returning callers that are due in the next
    slot as a fraction of the streams in progress. ``has_return_room`` says
    whether a returning caller may begin in the part reserved for them, None
    where no forecast is known. ``is_step_full`` says that this entry has begun
    its part of the streams for which the current step leaves room.
    """

    due_share: float = 0
    has_return_room: bool | None = None
    is_step_full: bool = False


NO_PRESSURE = Pressure()


def should_admit_stream(
    request: StreamRequest, load: GroupLoad, pressure: Pressure = NO_PRESSURE
) -> bool:
    """Tell whether a group admits a stream or its caller is to retry later."""
    # The remaining length of a resumed stream is unknown.
    if load.step_ms is not None and not request.is_resumed:
        required_ms = REQUIRED_LENGTH_SHARE * request.steps * load.step_ms
        if required_ms > request.remaining_ms:
            return False
    if request.is_resumed:
        return load.least_load <= MAX_RESUMED_LOAD
    if _makes_steps_too_long(request, load, pressure):
        return False
    mean_load = load.mean_load
    mean_limit = MAX_RETRY_MEAN_LOAD
    if request.is_first_request:
        if pressure.is_step_full:
            return False
        mean_load *= 1 + pressure.due_share
    if request.is_first_request or pressure.has_return_room:
        mean_limit = MAX_FIRST_REQUEST_MEAN_LOAD
    mean_limit -= MEAN_LOAD_PER_RANK * request.urgency_rank
    mean_limit = max(MIN_MEAN_LOAD, mean_limit) - _excess(request, pressure)
    return load.least_load <= MAX_ENGINE_LOAD and mean_load <= mean_limit


def max_step_share(request: StreamRequest, load: GroupLoad) -> float:
    """Return the step time from which a stream is refused, by target gap."""
    limit = MAX_STEP_SHARE - STEP_SHARE_PER_RANK * request.urgency_rank
    limit = max(MIN_STEP_SHARE, limit)
    return limit / COPYING_FACTOR if load.is_map_changing else limit


def _excess(request: StreamRequest, pressure: Pressure) -> float:
    """Return what is taken off the limits of a request that asks for much."""
    is_kept = request.is_returning and pressure.has_return_room
    if pressure is NO_PRESSURE or is_kept:
        return 0
    beyond_mean = max(0, request.relative_size - 1)
    excess = min(MAX_LONG_SHARE, LONG_SHARE * beyond_mean)
    return excess + UNFAIR_SHARE * request.is_above_share


def _makes_steps_too_long(
    request: StreamRequest, load: GroupLoad, pressure: Pressure
) -> bool:
    """Tell whether one more stream would make those of its group late.

    Only a load that refusals can lower is a reason: not a slow rank, and not a
    batch that is too small to matter. A returning caller is refused for it only
    where the part reserved for returning callers is in use.
    """
    if load.step_ms is None or request.target_gap_ms is None:
        return False
    if load.mean_load < MIN_LIMITED_LOAD:
        return False
    share = load.step_ms / request.target_gap_ms
    if share >= SLOW_STEP_SHARE:
        return False
    limit = max_step_share(request, load) - _excess(request, pressure)
    if request.is_first_request:
        # Steps grow at most in proportion to the streams of a batch.
        return (1 + pressure.due_share) * share > limit
    return (
        pressure.has_return_room is False and share > limit - UNRESERVED_SHARE
    )
