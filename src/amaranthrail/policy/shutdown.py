"""Decide which calls an entry accepts during its graceful shutdown.

Load pattern: the entries of a failure domain are restarted one after the other,
some seconds apart, while each finishes its streams. The load balancer in front
of them then also sends callers to entries that are shutting down, since too few
others are ready. A few streams take many times longer than the rest: one that
begins late would be cut off, and another entry could finish it. If all entries
were restarted while the store is unreachable, the cluster state would be lost.
"""

from __future__ import annotations

import msgspec

#: Time after the stop signal in which new streams are accepted, in ms. The
#: load balancer sends new callers until it has missed two probes, a second
#: apart. The users accept that the kill cuts streams off, but only those that
#: began in the first 3 s after the signal.
STREAM_ACCEPT_MS = 2900.0
#: Fraction of the time from the stop signal to the kill by which calls in
#: progress must have ended.
CALL_COMPLETION_SHARE = 0.94
#: Least time that is left then until the kill, in ms: calls that are cut off
#: still get a refusal. Short grace periods have more calls cut off for it, but
#: none before this fraction of the time, as the users bound it.
MIN_END_MS = 250.0
MIN_COMPLETION_SHARE = 0.84
#: Fraction of the time from the stop signal to the kill for which responses
#: are still sent after calls have been cut off.
SEND_SHARE = 0.04
#: Time beyond its deadline within which a caller has its refusal, in ms, on a
#: busy host too: an upstream's response at the deadline is waited for.
REFUSAL_SLACK_MS = 250.0


def can_exit(*, active: int, store_lost: bool, successors: int) -> bool:
    """Tell whether a process that is shutting down may exit early.

    ``active`` is the number of calls in progress. While the store is
    unreachable, the cluster state is only in the entries: the last of them
    waits until there is a successor, an entry that exits later and has it too.
    """
    return not active and (not store_lost or successors > 0)


class StreamLength(msgspec.Struct, frozen=True):
    """Describe how long a stream may become, in tokens; 0 where not stated.

    ``max_output`` is the caller's bound on its output and ``expected`` its
    estimate of it, ``per_step`` the tokens that one engine step writes.
    """

    max_output: int
    expected: int
    per_step: int


def expected_stream_ms(length: StreamLength, step_ms: float) -> float | None:
    """Return the time that a stream is expected to take, None if unknown.

    ``step_ms`` is the recent time of an engine step.
    """
    tokens = length.expected or length.max_output
    if length.max_output:
        tokens = min(tokens, length.max_output)
    if not tokens:
        return None
    return step_ms * tokens / length.per_step


def completion_ms(shutdown_ms: float) -> float:
    """Return the time from the stop signal by which calls must have ended.

    ``shutdown_ms`` is the time from the signal to the kill.
    """
    latest_ms = min(
        CALL_COMPLETION_SHARE * shutdown_ms, shutdown_ms - MIN_END_MS
    )
    return max(MIN_COMPLETION_SHARE * shutdown_ms, latest_ms)


def cut_off_ms(shutdown_ms: float, uncertainty_ms: float) -> float:
    """Return the time from the earliest stop signal until calls are cut off.

    The signal was sent up to ``uncertainty_ms`` later than the earliest moment.
    Streams may be cut off only in the last part of the time from the signal,
    so the cut is later than completion_ms() where the signal may have been sent
    late. After an uncertainty of more than a second the kill may come first.
    """
    least_ms = uncertainty_ms + MIN_COMPLETION_SHARE * shutdown_ms
    return max(completion_ms(shutdown_ms), least_ms)


def can_accept_call(
    since_signal_ms: float,
    max_call_ms: float,
    shutdown_ms: float,
    *,
    streaming: bool,
    expected_ms: float | None = None,
) -> bool:
    """Tell whether a call can be answered before the process is killed.

    ``since_signal_ms`` is the time since the stop signal, ``max_call_ms`` the
    time to the call's deadline, and ``shutdown_ms`` the time from the signal to
    the kill. A stream may be accepted although its deadline is later, if the
    time that it is expected to take, None where unknown, ends before.
    """
    ends_at_ms = since_signal_ms + max_call_ms + REFUSAL_SLACK_MS
    if ends_at_ms < completion_ms(shutdown_ms):
        return True
    if not streaming or since_signal_ms >= STREAM_ACCEPT_MS:
        return False
    return can_finish(since_signal_ms, shutdown_ms, expected_ms)


def can_finish(
    since_signal_ms: float, shutdown_ms: float, expected_ms: float | None
) -> bool:
    """Tell whether what begins now is likely to end before calls are cut off.

    ``expected_ms`` is None where its duration is unknown.
    """
    ends_at_ms = since_signal_ms + (expected_ms or 0)
    return ends_at_ms < completion_ms(shutdown_ms)
