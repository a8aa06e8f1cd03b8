"""Run a short soak, and check that the soak detects each violation."""

from __future__ import annotations

from typing import Any

import pytest
import trio

from soak.__main__ import RunSize, soak_once
from soak.callers import CALL_DEADLINE_S, CallKind, CallRecord, expected_body
from soak.losses import GRACE_S, lost_calls
from soak.observations import (
    ALL_PROCESSES,
    Execution,
    Interval,
    Observations,
)
from soak.promises import find_violations
from soak.schedule import Fault, restart_steps, schedule_faults

#: A seed whose faults hit entries, the store, replicas and network paths.
SEED = 1
#: A seed whose series restarts all entries, two of them with a signal that is
#: handled late, some while streams last and some as they end early.
RESTARTS_SEED = 10


def call_record(
    kind: CallKind = CallKind.BOOK, **changes: object
) -> CallRecord:
    fields: dict[str, object] = {
        'attempt': 'c1-1',
        'kind': kind,
        'host': 'h1',
        'started_at': 100.0,
        'ended_at': 100.2,
        'status': 200,
        'signature': 'signed-r1',
        'body': expected_body(kind, 'c1-1', 'signed-r1'),
        'complete': True,
    }
    return CallRecord(**{**fields, **changes})  # type: ignore[arg-type]


def execution(**changes: object) -> Execution:
    fields: dict[str, object] = {
        'attempt': 'c1-1',
        'path': '/book/c1-1',
        'replica': 'r1',
        'started_at': 100.1,
        'organisation': 'band',
    }
    return Execution(**{**fields, **changes})  # type: ignore[arg-type]


def violations(
    *calls: CallRecord,
    executions: tuple[Execution, ...] = (),
    **changes: object,
) -> str:
    observations = Observations(list(calls), list(executions))
    for name, replacement in changes.items():
        setattr(observations, name, replacement)
    return ' '.join(find_violations(observations))


def test_the_soak_detects_calls_beyond_a_limit() -> None:
    executions = tuple(
        execution(attempt=f'c1-{number}', started_at=104 + number / 10)
        for number in range(12)
    )
    limit = Interval(100, 108, 'r1')
    assert 'despite its limit' in violations(
        executions=executions, limits=[limit]
    )
    assert 'despite its limit' not in violations(
        executions=executions[1:], limits=[limit]
    )
    disturbed = [Interval(101, 102, ALL_PROCESSES)]
    assert 'despite its limit' not in violations(
        executions=executions, limits=[limit], unplanned_faults=disturbed
    )


def test_the_soak_detects_calls_beyond_what_a_cold_replica_takes() -> None:
    executions = tuple(
        execution(attempt=f'c1-{number}', started_at=103 + number / 13)
        for number in range(12)
    )
    cold = Interval(100, 108, 'r1')
    disturbed = [Interval(101, 102, ALL_PROCESSES)]
    assert '12 calls in 1 s while' in violations(
        executions=executions, cold=[cold], unplanned_faults=disturbed
    )
    assert 'while it was cold' not in violations(
        executions=executions[1:], cold=[cold]
    )


def test_a_faultless_run_has_no_violations() -> None:
    assert not violations(call_record(), executions=(execution(),))


def test_a_response_of_another_call_is_detected() -> None:
    assert 'not its own' in violations(call_record(body=b'r1 did /book/c2-7'))
    assert 'not its own' in violations(call_record(signature=''))
    truncated = expected_body(CallKind.STREAM, 'c1-1', '')[:-8]
    assert 'not its own' in violations(
        call_record(CallKind.STREAM, body=truncated)
    )


def test_a_repeated_execution_is_detected() -> None:
    assert 'ran 2 times' in violations(
        call_record(), executions=(execution(), execution(replica='r2'))
    )


def test_a_refusal_of_an_executed_call_is_detected() -> None:
    assert 'got 503 and ran' in violations(
        call_record(status=503), executions=(execution(),)
    )


def test_an_unrequested_execution_is_detected() -> None:
    assert 'no caller requested' in violations(
        call_record(), executions=(execution(attempt='other'),)
    )
    assert 'ran for' in violations(
        call_record(), executions=(execution(organisation='choir'),)
    )


def test_a_call_to_a_drained_replica_is_detected() -> None:
    drains = [Interval(90, 110, 'r1')]
    assert 'after its drain' in violations(
        call_record(), executions=(execution(),), drains=drains
    )
    faults = [Interval(95, 96, ALL_PROCESSES)]
    assert not violations(
        call_record(),
        executions=(execution(),),
        drains=drains,
        unplanned_faults=faults,
    )


def test_a_call_cut_off_by_a_shutdown_is_detected() -> None:
    cut_call = call_record(status=0, complete=False)
    shutdowns = [Interval(100.1, 101, 'h1')]
    assert 'was cut off' in violations(
        cut_call, executions=(execution(),), shutdowns=shutdowns
    )


LONG_ATTEMPT = 'c1-1-9000'
#: A long stream that may be cut off, as SIGTERM came at 100 s, and its run.
CUT_STREAM: dict[str, Any] = {
    'kind': CallKind.LONG,
    'attempt': LONG_ATTEMPT,
    'started_at': 103.0,
    'sent_at': 103.0,
    'ended_at': 107.5,
    'complete': False,
    'time_limit_s': 15.0,
}
RUN = execution(attempt=LONG_ATTEMPT, path=f'/long/{LONG_ATTEMPT}')
#: A plain call of the same shutdown that no replica got.
UNSENT_CALL: dict[str, Any] = {
    'started_at': 105.0,
    'sent_at': 105.0,
    'ended_at': 105.21,
    'status': 0,
    'complete': False,
}
SIGTERM: dict[str, Any] = {'sigterms': [Interval(100, 108, 'h1')]}
SIGHUP: dict[str, Any] = {'reloads': [Interval(100, 102, 'h1')]}
REFUSED: dict[str, Any] = {'status': 503, 'signature': '', 'complete': True}
#: Changes of a call, the replicas' runs, further observations, and whether the
#: call is lost by the rule.
LOSSES: dict[str, tuple[Any, Any, Any, bool]] = {
    'cut late': (CUT_STREAM, (RUN,), SIGTERM, False),
    'sent late': (
        {**CUT_STREAM, 'started_at': 103.01, 'sent_at': 103.01},
        (RUN,),
        SIGTERM,
        True,
    ),
    'cut before the last sixth': (
        {**CUT_STREAM, 'ended_at': 106.66},
        (RUN,),
        SIGTERM,
        True,
    ),
    'replica had ended its work': (
        CUT_STREAM,
        (RUN,),
        {**SIGTERM, 'work_ends': {LONG_ATTEMPT: 106.66}},
        True,
    ),
    'replica ended its work late': (
        CUT_STREAM,
        (RUN,),
        {**SIGTERM, 'work_ends': {LONG_ATTEMPT: 106.67}},
        False,
    ),
    'deadline reached': (
        {**CUT_STREAM, 'ended_at': 106, 'time_limit_s': 3.0},
        (RUN,),
        SIGTERM,
        False,
    ),
    'deadline not reached': (
        {**CUT_STREAM, 'ended_at': 106, 'time_limit_s': 3.1},
        (RUN,),
        SIGTERM,
        True,
    ),
    'replica broke off': (
        {**CUT_STREAM, 'ended_at': 106},
        (RUN,),
        {**SIGTERM, 'unplanned_faults': [Interval(101, 104, 'r1')]},
        False,
    ),
    'another replica broke off': (
        {**CUT_STREAM, 'ended_at': 106},
        (RUN,),
        {**SIGTERM, 'unplanned_faults': [Interval(101, 104, 'r2')]},
        True,
    ),
    'entry paused before': (
        {**CUT_STREAM, 'ended_at': 106},
        (RUN,),
        {**SIGTERM, 'unplanned_faults': [Interval(97, 100.1, 'h1')]},
        False,
    ),
    'entry paused long before': (
        {**CUT_STREAM, 'ended_at': 106},
        (RUN,),
        {**SIGTERM, 'unplanned_faults': [Interval(97, 99.9, 'h1')]},
        True,
    ),
    'plain call cut at the end': (
        {**UNSENT_CALL, 'ended_at': 105.01},
        (execution(started_at=105),),
        SIGTERM,
        True,
    ),
    'read and not sent on': (UNSENT_CALL, (), SIGTERM, True),
    'ended at once': ({**UNSENT_CALL, 'ended_at': 105.19}, (), SIGTERM, False),
    'not read': ({**UNSENT_CALL, 'was_reset': True}, (), SIGTERM, False),
    'not sent': ({**UNSENT_CALL, 'sent_at': 0.0}, (), SIGTERM, False),
    'refused': ({**UNSENT_CALL, **REFUSED}, (), SIGTERM, False),
    'another entry': (
        UNSENT_CALL,
        (),
        {'sigterms': [Interval(100, 108)]},
        False,
    ),
    'cut a second after the grace period': (
        {
            **UNSENT_CALL,
            'started_at': 108.9,
            'sent_at': 108.9,
            'ended_at': 109.2,
        },
        (),
        SIGTERM,
        True,
    ),
    'sent a second after the grace period': (
        {
            **UNSENT_CALL,
            'started_at': 109.1,
            'sent_at': 109.1,
            'ended_at': 109.4,
        },
        (),
        SIGTERM,
        False,
    ),
    'cut after SIGHUP': (
        {**CUT_STREAM, 'started_at': 102.0, 'sent_at': 102.0},
        (RUN,),
        SIGHUP,
        True,
    ),
    'sent long after SIGHUP': (
        {**CUT_STREAM, 'started_at': 102.1, 'sent_at': 102.1},
        (RUN,),
        SIGHUP,
        False,
    ),
    'cut late after SIGHUP': (
        {**CUT_STREAM, 'started_at': 102.0, 'sent_at': 102.0},
        (RUN,),
        {**SIGHUP, **SIGTERM},
        False,
    ),
}


@pytest.mark.parametrize('case', LOSSES)
def test_calls_lost_around_a_signal_are_detected(case: str) -> None:
    changes, executions, observed, is_lost = LOSSES[case]
    call = call_record(**changes)
    observations = Observations([call], list(executions), **observed)
    assert bool(list(lost_calls(observations))) is is_lost


def test_calls_cut_off_by_a_shutdown_stay_detected_whenever_sent() -> None:
    # lost_calls() excuses this one; the check for other calls must not.
    changes = {'kind': CallKind.STREAM, 'time_limit_s': CALL_DEADLINE_S}
    call = call_record(**{**CUT_STREAM, **changes})
    shutdowns = {'shutdowns': [Interval(100, 108, 'h1')]}
    assert 'was cut off' in violations(
        call, executions=(RUN,), **shutdowns, **SIGTERM
    )


def test_a_call_to_an_evacuated_domain_is_detected() -> None:
    evacuated: dict[str, Any] = {
        'domains': {'r1': 'b', 'r2': 'c'},
        'evacuations': [Interval(90, 110, 'b')],
    }
    back = execution(attempt='c1-2', path='/book/c1-2', started_at=111)
    later = call_record(
        attempt='c1-2', started_at=111, body=b'r1 did /book/c1-2'
    )
    late = (execution(started_at=95.1), back)
    calls = (call_record(), later)
    assert 'evacuated domain b' in violations(
        *calls, executions=late, **evacuated
    )
    in_time = (execution(started_at=94.9), back)
    assert not violations(*calls, executions=in_time, **evacuated)
    in_other = (execution(replica='r2', started_at=95.1), back)
    assert not violations(*calls, executions=in_other, **evacuated)


def test_only_faults_before_an_evacuation_is_in_force_delay_it() -> None:
    evacuated: dict[str, Any] = {
        'domains': {'r1': 'b'},
        'evacuations': [Interval(90, 110, 'b')],
        'executions': (execution(started_at=96.5),),
    }
    for fault, is_broken in (
        (Interval(93, 95, ALL_PROCESSES), False),
        (Interval(95.5, 98, ALL_PROCESSES), True),
        (Interval(93, 95, 'another host'), True),
    ):
        found = violations(call_record(), unplanned_faults=[fault], **evacuated)
        assert ('evacuated domain b' in found) is is_broken


def test_calls_held_up_by_slow_readers_are_detected() -> None:
    held_up = call_record(ended_at=101.1)
    at_end: dict[str, Any] = {'recovered_from': 99, 'slow_readers': ['h1']}
    assert '1 of 1 calls of h1 are held up' in violations(held_up, **at_end)
    assert not violations(call_record(), **at_end)


def test_an_older_configuration_is_detected() -> None:
    assert 'h1 went back' in violations(
        call_record(), withdrawn_versions=['h1']
    )


def test_added_kinds_of_faults_leave_the_earlier_ones_of_a_seed() -> None:
    added = {
        Fault.DOMAIN_EVACUATED,
        Fault.STORE_REWOUND,
        Fault.REPLICA_COLD,
        Fault.CALLERS_SLOW,
        Fault.ENTRIES_RESTARTED,
    }
    faults = [
        scheduled.fault.value
        for scheduled in schedule_faults(SEED, 12)
        if scheduled.fault not in added
    ]
    assert faults == [
        'replica-repeating-misdirected',
        'replica-encoded',
        'store-path-deaf',
        'replica-path-silenced',
        'replica-shedding',
        'replica-unsigned',
        'replica-path-silenced',
        'replica-limited',
        'entry-reloaded',
        'entry-reloaded',
        'replica-shedding',
        'replica-cutting-in-event',
        'replica-repeating-misdirected',
        'replica-cutting',
    ]
    assert all(
        scheduled.fault not in added for scheduled in schedule_faults(SEED, 4)
    )


def test_a_response_while_all_is_evacuated_is_detected() -> None:
    evacuated: dict[str, Any] = {
        'domains': {'r1': 'b', 'r2': 'c'},
        'evacuations': [Interval(90, 110, 'b'), Interval(90, 110, 'c')],
    }
    failed = call_record(status=504)
    assert 'with all evacuated' in violations(failed, **evacuated)
    refused = call_record(status=503)
    assert 'with all evacuated' not in violations(refused, **evacuated)


def test_an_evacuation_that_does_not_end_is_detected() -> None:
    evacuated: dict[str, Any] = {
        'domains': {'r1': 'b'},
        'evacuations': [Interval(80, 90, 'b')],
    }
    refused = call_record(status=503, body=b'domain-evacuated')
    found = violations(refused, **evacuated)
    assert 'got no calls' in found
    assert 'ended evacuation' in found


def test_missing_recovery_is_detected() -> None:
    failed = call_record(status=502, complete=True)
    assert '0 of 1' in violations(failed, recovered_from=99)
    assert 'newest' in violations(call_record(), outdated_entries=['h1'])


def test_series_of_restarts_overlap_and_have_all_kinds_of_steps() -> None:
    # Guards against series that could not meet a call lost at a shutdown.
    series = [restart_steps(target, 3) for target in range(50)]
    kinds = {step.fault for steps in series for step in steps}
    assert kinds == {
        Fault.ENTRY_SHUT_DOWN,
        Fault.ENTRY_RELOADED,
        Fault.CONFIGURATION_CHANGED,
    }
    for steps in series:
        signals = [
            step for step in steps if step.fault is Fault.ENTRY_SHUT_DOWN
        ]
        assert len({step.target % 3 for step in signals}) >= 2
        assert signals[-1].starts_s - signals[0].starts_s < GRACE_S
    lags = [step.duration_s for steps in series for step in steps]
    assert any(lags)


def test_every_fault_is_scheduled_for_some_seed() -> None:
    drawn = {
        scheduled.fault
        for seed in range(50)
        for scheduled in schedule_faults(seed, 12)
    }
    assert drawn == set(Fault)


def test_a_short_soak_has_no_violations() -> None:
    observations = trio.run(soak_once, SEED, RunSize(4, 2, 4, 4))
    assert observations.calls
    assert not find_violations(observations)


def test_a_short_series_of_restarts_loses_no_calls() -> None:
    # Guards against calls that an entry accepts after SIGTERM and gives up.
    size = RunSize(4, 3, 6, 3, restarts_only=True)
    observations = trio.run(soak_once, RESTARTS_SEED, size)
    assert len(observations.sigterms) == size.entries
    assert any(call.kind is CallKind.LONG for call in observations.calls)
    found = find_violations(observations)
    assert not found, '\n'.join(found)
