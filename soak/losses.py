"""Find calls that an entry accepted and gave up around SIGTERM or SIGHUP."""

from __future__ import annotations

from collections.abc import Iterator

from .callers import CallRecord
from .observations import (
    ALL_PROCESSES,
    FAULT_FREE_S,
    Interval,
    Observations,
    is_disturbed,
)

#: Time from SIGTERM to SIGKILL (``bounds.grace_s`` of the entries), and the
#: time after it until which calls are checked, in seconds.
GRACE_S = 8.0
_CHECKED_AFTER_GRACE_S = 1.0
#: A call may be cut off if it was sent this long after SIGTERM at most, in
#: seconds, and its replica was still at work after this share of the grace.
MAX_SENT_S = 3.0
_LAST_SIXTH = 5 / 6
#: Time after SIGHUP until which the calls are checked that are sent
#: (``config_apply_ms``), in seconds.
RELOAD_S = 2.0
#: Time after its last byte within which a call that no replica got may end
#: without a response (``loss_slack_ms``), in seconds.
LOSS_SLACK_S = 0.2


def lost_calls(observations: Observations) -> Iterator[str]:
    """Report calls without a complete response around SIGTERM or SIGHUP."""
    replicas = {
        execution.attempt: execution.replica
        for execution in observations.executions
    }
    for call in observations.calls:
        replica = replicas.get(call.attempt, '')
        cause = next(_causes(observations, call), '')
        if cause and _is_lost(observations, call, replica):
            yield (
                f'{call.attempt} to {call.host} was lost {cause}, '
                f'{call.ended_at - call.sent_at:.3f} s after it was sent; '
                f'replica {replica or "none"}, status {call.status}'
            )


def _is_lost(
    observations: Observations, call: CallRecord, replica: str
) -> bool:
    """Tell whether an entry accepted a call and gave it up without a reason.

    ``replica`` is the last one that got the call, if any.
    """
    waited_s = call.ended_at - call.sent_at
    if call.complete or (call.sent_at and waited_s >= call.time_limit_s):
        return False
    subjects = {call.host, ALL_PROCESSES}
    if replica:
        subjects.add(replica)
        if _may_be_cut(observations, call):
            return False
    elif not call.sent_at or call.was_reset or waited_s <= LOSS_SLACK_S:
        return False
    since = call.started_at - FAULT_FREE_S
    return not is_disturbed(observations, since, call.ended_at, subjects)


def _may_be_cut(observations: Observations, call: CallRecord) -> bool:
    """Tell whether a replica was still at work late in the grace period."""
    work_end = observations.work_ends.get(call.attempt, call.ended_at)
    at_work_until = min(call.ended_at, work_end)
    return any(
        sigterm.subject == call.host
        and call.started_at <= sigterm.starts_at + MAX_SENT_S
        and sigterm.starts_at + _LAST_SIXTH * GRACE_S <= at_work_until
        and call.started_at <= sigterm.ends_at
        for sigterm in observations.sigterms
    )


def _causes(observations: Observations, call: CallRecord) -> Iterator[str]:
    """Yield the signals beside which a call ended without a response."""
    for sigterm in observations.sigterms:
        checked_until = sigterm.starts_at + GRACE_S + _CHECKED_AFTER_GRACE_S
        checked_until = max(sigterm.ends_at, checked_until)
        if _is_beside(call, sigterm, checked_until):
            sent_s = call.started_at - sigterm.starts_at
            process_s = sigterm.ends_at - sigterm.starts_at
            yield (
                f'beside SIGTERM (sent {sent_s:.3f} s after it, process ended '
                f'{process_s:.3f} s after it)'
            )
    for reload in observations.reloads:
        if _is_beside(call, reload, reload.starts_at + RELOAD_S):
            sent_s = call.started_at - reload.starts_at
            yield f'beside SIGHUP (sent {sent_s:.3f} s after it)'


def _is_beside(call: CallRecord, signal: Interval, until: float) -> bool:
    """Tell whether a call overlaps with the time of its entry's signal."""
    checked = Interval(signal.starts_at, until)
    return call.host == signal.subject and checked.overlaps(
        call.started_at, call.ended_at
    )
