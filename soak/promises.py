"""Check the guarantees of the entries against what a soak run observed."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator, Sequence

from .callers import CALL_DEADLINE_S, CallKind, CallRecord, expected_body
from .losses import lost_calls
from .observations import (
    ALL_PROCESSES,
    FAULT_FREE_S,
    STORE,
    Execution,
    Interval,
    Observations,
    is_disturbed,
)

_FIRST_FAILURE = 300
_HTTP_OK = 200
#: Statuses that say that a call has not been executed and never will be.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
#: Time after its announcement from which a draining replica must get no new
#: calls, in seconds.
DRAIN_GRACE_S = 2.0
#: Calls a second that a limited replica takes, the window over which that is
#: checked, in seconds, and the calls that are allowed in it.
LIMIT_PER_S = 1.0
LIMIT_WINDOW_S = 4.0
MAX_LIMITED_CALLS = 1.5 * LIMIT_PER_S * LIMIT_WINDOW_S + 5
#: Calls a second that a cold replica takes, the most in any second
#: (``bounds.cold_overage`` and ``bounds.cold_slack`` of the entries), and the
#: time until all entries know that it is cold, in seconds.
COLD_PER_S = 4.0
MAX_COLD_CALLS = 1.5 * COLD_PER_S + 5
COLD_GRACE_S = 2.0
#: Time after which an evacuation, or its end, must be in force at an entry that
#: is in touch (``bounds.evacuation_ms``), and the time in which a domain then
#: gets calls again, in seconds.
EVACUATION_S = 5.0
RETURN_S = 1.0
_EVACUATED_REASON = b'domain-evacuated'
#: Share of the last calls that must be served, after all faults.
MIN_SERVED_SHARE_AT_END = 0.9
#: Longest time of the same share of these calls at an entry with slow readers,
#: in seconds. A call takes some 0.1 s.
MAX_LAST_CALL_S = 1.0


def find_violations(observations: Observations) -> list[str]:
    """Return a sentence for each violation of a guarantee."""
    return [
        *_wrong_responses(observations.calls),
        *_repeated_executions(observations),
        *_false_refusals(observations),
        *_unrequested_executions(observations),
        *_executions_after_drain(observations),
        *_executions_beyond_limits(observations),
        *_executions_beyond_cold_limit(observations),
        *_calls_cut_by_shutdown(observations),
        *lost_calls(observations),
        *_executions_in_evacuated_domains(observations),
        *_false_responses_in_evacuation(observations),
        *_missing_returns(observations),
        *_missing_recovery(observations),
        *_calls_held_up(observations),
        *(
            f'{host} went back to an older configuration'
            for host in observations.withdrawn_versions
        ),
        *(
            f'fault had no effect: {fault}'
            for fault in observations.faults_without_effect
        ),
    ]


def _wrong_responses(calls: Sequence[CallRecord]) -> Iterator[str]:
    for call in calls:
        if (
            not call.complete
            or call.status >= _FIRST_FAILURE
            or not call.status
        ):
            continue
        expected = expected_body(call.kind, call.attempt, call.signature)
        if not call.signature or call.body != expected:
            yield f'{call.attempt} got a successful response not its own'


def _repeated_executions(observations: Observations) -> Iterator[str]:
    run_counts = Counter(
        execution.attempt
        for execution in observations.executions
        if _kind_of(execution) is CallKind.BOOK
    )
    for attempt, times in run_counts.items():
        if times > 1:
            yield f'{attempt} ran {times} times'


def _false_refusals(observations: Observations) -> Iterator[str]:
    executed = {
        execution.attempt
        for execution in observations.executions
        if _kind_of(execution) is CallKind.BOOK
    }
    for call in observations.calls:
        if call.status in NOT_RUN_STATUSES and call.attempt in executed:
            yield f'{call.attempt} got {call.status} and ran'


def _unrequested_executions(observations: Observations) -> Iterator[str]:
    kinds = {call.attempt: call.kind for call in observations.calls}
    for execution in observations.executions:
        kind = kinds.get(execution.attempt)
        if (
            kind is None
            or execution.path != f'/{kind.value}/{execution.attempt}'
        ):
            yield (
                f'{execution.replica} ran {execution.path}, which no caller '
                'requested'
            )
        elif execution.organisation != 'band':
            yield f'{execution.attempt} ran for {execution.organisation!r}'


def _executions_after_drain(observations: Observations) -> Iterator[str]:
    hosts = {call.attempt: call.host for call in observations.calls}
    for drain in observations.drains:
        for execution in _late_executions(observations.executions, drain):
            subjects = (
                STORE,
                ALL_PROCESSES,
                hosts.get(execution.attempt, ''),
            )
            since = drain.starts_at - FAULT_FREE_S
            if not is_disturbed(
                observations, since, execution.started_at, subjects
            ):
                yield (
                    f'{execution.attempt} reached {execution.replica} after '
                    'its drain'
                )


def _executions_beyond_limits(observations: Observations) -> Iterator[str]:
    """Report limited replicas that got too many calls from entries at ease."""
    hosts = {call.attempt: call.host for call in observations.calls}
    for limit in observations.limits:
        times = [
            execution.started_at
            for execution in observations.executions
            if execution.replica == limit.subject
            and limit.starts_at + FAULT_FREE_S < execution.started_at
            and execution.started_at < limit.ends_at
            and not is_disturbed(
                observations,
                limit.starts_at,
                execution.started_at,
                (ALL_PROCESSES, hosts.get(execution.attempt, '')),
            )
        ]
        most = _most_within(times, LIMIT_WINDOW_S)
        if most > MAX_LIMITED_CALLS:
            yield f'{limit.subject} got {most} calls in 4 s despite its limit'


def _executions_in_evacuated_domains(
    observations: Observations,
) -> Iterator[str]:
    hosts = {call.attempt: call.host for call in observations.calls}
    for evacuation in observations.evacuations:
        for execution in observations.executions:
            domain = observations.domains.get(execution.replica)
            host = hosts.get(execution.attempt, '')
            if domain == evacuation.subject and _is_in_force(
                observations, evacuation, host, execution.started_at
            ):
                yield (
                    f'{execution.attempt} reached {execution.replica} in the '
                    f'evacuated domain {domain}'
                )


def _false_responses_in_evacuation(
    observations: Observations,
) -> Iterator[str]:
    """Report other responses than refusals where all domains are evacuated.

    Also reports refusals for an evacuation that has ended.
    """
    domains = set(observations.domains.values())
    for call in observations.calls:
        evacuated = {
            evacuation.subject
            for evacuation in observations.evacuations
            if _is_in_force(
                observations, evacuation, call.host, call.started_at
            )
            and call.ended_at <= evacuation.ends_at
        }
        is_refused = not call.status or call.status in NOT_RUN_STATUSES
        if domains and evacuated == domains and not is_refused:
            yield f'{call.attempt} got {call.status} with all evacuated'
        if _EVACUATED_REASON in call.body and not any(
            evacuation.starts_at <= call.ended_at
            and call.started_at
            <= _in_force_from(observations, evacuation.ends_at, call.host)
            for evacuation in observations.evacuations
        ):
            yield f'{call.attempt} was refused for an ended evacuation'


def _missing_returns(observations: Observations) -> Iterator[str]:
    for evacuation in observations.evacuations:
        ended_at = evacuation.ends_at
        returned_by = _in_force_from(observations, ended_at) + RETURN_S
        if not any(
            observations.domains.get(execution.replica) == evacuation.subject
            and ended_at < execution.started_at <= returned_by
            for execution in observations.executions
        ):
            yield f'{evacuation.subject} got no calls after its evacuation'


def _is_in_force(
    observations: Observations, evacuation: Interval, host: str, at: float
) -> bool:
    """Tell whether an evacuation must be in force at an entry at a time."""
    earliest = evacuation.starts_at + EVACUATION_S
    return earliest < at <= evacuation.ends_at and at > _in_force_from(
        observations, evacuation.starts_at, host
    )


def _in_force_from(
    observations: Observations, written_at: float, host: str = ''
) -> float:
    """Return when a record of the operator must be in force at an entry.

    Faults of the store or the entry start the time again, unless it has run
    out before they begin.
    """
    in_touch_at = written_at
    for fault in sorted(
        observations.unplanned_faults, key=lambda fault: fault.starts_at
    ):
        if fault.subject in {STORE, ALL_PROCESSES, host} and fault.overlaps(
            written_at, in_touch_at + EVACUATION_S
        ):
            # The interval goes on for FAULT_FREE_S after the fault itself.
            in_touch_at = max(in_touch_at, fault.ends_at - FAULT_FREE_S)
    return in_touch_at + EVACUATION_S


def _executions_beyond_cold_limit(
    observations: Observations,
) -> Iterator[str]:
    """Report cold replicas that got too many calls; no fault excuses them."""
    for cold in observations.cold:
        times = [
            execution.started_at
            for execution in observations.executions
            if execution.replica == cold.subject
            and cold.starts_at + COLD_GRACE_S < execution.started_at
            and execution.started_at < cold.ends_at
        ]
        most = _most_within(times, 1)
        if most > MAX_COLD_CALLS:
            yield f'{cold.subject} got {most} calls in 1 s while it was cold'


def _most_within(times: list[float], window_s: float) -> int:
    """Return the most times in any window of a length in seconds."""
    return max(
        (
            sum(start <= at < start + window_s for at in times)
            for start in times
        ),
        default=0,
    )


def _late_executions(
    executions: Iterable[Execution], drain: Interval
) -> Iterator[Execution]:
    """Yield what a draining replica started after its grace period."""
    for execution in executions:
        is_late = (
            drain.starts_at + DRAIN_GRACE_S
            < execution.started_at
            <= drain.ends_at
        )
        if execution.replica == drain.subject and is_late:
            yield execution


def _calls_cut_by_shutdown(observations: Observations) -> Iterator[str]:
    """Report calls that an entry cut off after SIGTERM without a fault.

    Nothing but faults excuses one with the common deadline, which ends before
    any shutdown does. Others are left to lost_calls().
    """
    replicas = {
        execution.attempt: execution.replica
        for execution in observations.executions
    }
    for call in observations.calls:
        replica = replicas.get(call.attempt)
        if (
            call.complete
            or call.time_limit_s != CALL_DEADLINE_S
            or replica is None
            or not _overlaps_shutdown(observations, call)
        ):
            continue
        since = call.started_at - FAULT_FREE_S
        subjects = (call.host, replica, ALL_PROCESSES)
        if not is_disturbed(observations, since, call.ended_at, subjects):
            took_s = call.ended_at - call.started_at
            yield (
                f'{call.attempt} was cut off as {call.host} shut down, '
                f'{took_s:.3f} s after it began; replica {replica}'
            )


def _overlaps_shutdown(observations: Observations, call: CallRecord) -> bool:
    """Tell whether a call's entry was shutting down during the call."""
    return any(
        shutdown.subject == call.host
        and shutdown.overlaps(call.started_at, call.ended_at)
        for shutdown in observations.shutdowns
    )


def _missing_recovery(observations: Observations) -> Iterator[str]:
    for host in observations.unready_entries:
        yield f'{host} is not ready after all faults'
    last_calls = [
        call
        for call in observations.calls
        if call.started_at > observations.recovered_from
    ]
    served = sum(
        call.status == _HTTP_OK and call.complete for call in last_calls
    )
    if not last_calls or served < MIN_SERVED_SHARE_AT_END * len(last_calls):
        yield f'{served} of {len(last_calls)} calls are served after all faults'
    for outdated_host in observations.outdated_entries:
        yield (
            f'{outdated_host} does not serve the newest configuration at the '
            'end'
        )


def _calls_held_up(observations: Observations) -> Iterator[str]:
    for host in set(observations.slow_readers):
        times = [
            call.ended_at - call.started_at
            for call in observations.calls
            if call.host == host
            and call.started_at > observations.recovered_from
        ]
        fast = sum(seconds <= MAX_LAST_CALL_S for seconds in times)
        if fast < MIN_SERVED_SHARE_AT_END * len(times):
            yield (
                f'{len(times) - fast} of {len(times)} calls of {host} are '
                'held up by slow readers'
            )


def _kind_of(execution: Execution) -> CallKind:
    return CallKind(execution.path.split('/')[1])
