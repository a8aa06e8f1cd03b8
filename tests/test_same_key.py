"""Run a key once, however many callers use it at any entry and time."""

from __future__ import annotations

from collections import Counter
from concurrent.futures import ThreadPoolExecutor

from standins.calling import wait_until
from standins.fleet import Fleet

from .client import submit_order
from .keyedworkload import lose_key, lost_keys, resolve_key

KEYS = 12
CALLERS_PER_KEY = 4


def test_concurrent_calls_at_two_entries_run_a_key_once(fleet: Fleet) -> None:
    requests = [
        (f'same-{number}', fleet.entries[caller % 2])
        for number in range(KEYS)
        for caller in range(CALLERS_PER_KEY)
    ]
    with ThreadPoolExecutor(len(requests)) as pool:
        responses = list(
            pool.map(
                lambda request: submit_order(fleet, request[1], request[0]),
                requests,
            )
        )
    assert [response.status for response in responses] == [
        200 for _ in requests
    ]
    bodies = {
        (key, response.body)
        for (key, _), response in zip(requests, responses, strict=True)
    }
    assert len(bodies) == KEYS
    run_counts = Counter(run['key'] for run in fleet.runs('sportello'))
    assert [run_counts[f'same-{number}'] for number in range(KEYS)] == [
        1 for _ in range(KEYS)
    ]


def test_later_deadline_continues_after_the_first_one_ends(
    fleet: Fleet,
) -> None:
    entry = fleet.entries[0]
    fleet.set_platform_faults(log='slow')
    try:
        with ThreadPoolExecutor(2) as pool:
            early_call = pool.submit(
                submit_order,
                fleet,
                entry,
                'hurried',
                headers={'X-Deadline-Ms': '500'},
            )
            wait_until(lambda: _is_waiting_for_log(fleet) or early_call.done())
            late_call = pool.submit(
                submit_order,
                fleet,
                entry,
                'hurried',
                headers={'X-Deadline-Ms': '20000'},
            )
            first_response, second_response = (
                early_call.result(),
                late_call.result(),
            )
    finally:
        fleet.set_platform_faults(log='up')
    assert first_response.headers['x-outcome'] in {'not-run', 'unknown'}
    assert second_response.status == 200, second_response.body
    run_counts = Counter(run['key'] for run in fleet.runs('sportello'))
    assert run_counts['hurried'] == 1


def _is_waiting_for_log(fleet: Fleet) -> bool:
    status = fleet.status(fleet.entries[0])
    return bool(status and status['filings']['waiting_for_log'])


def test_retry_after_the_outcome_gets_the_first_response(fleet: Fleet) -> None:
    first_response = submit_order(fleet, fleet.entries[0], 'again')
    later_responses = [
        submit_order(fleet, entry, 'again') for entry in fleet.entries * 3
    ]
    assert {
        (response.status, response.body) for response in later_responses
    } == {(200, first_response.body)}
    run_counts = Counter(run['key'] for run in fleet.runs('sportello'))
    assert run_counts['again'] == 1


def test_lost_key_runs_again_only_after_an_operator_resolves_it(
    fleet: Fleet,
) -> None:
    key = 'cut-off'
    first_response = lose_key(fleet, key)
    assert (first_response.status, first_response.headers['x-outcome']) == (
        504,
        'unknown',
    )
    retried = submit_order(fleet, fleet.entries[1], key)
    assert (retried.status, retried.json()['reason']) == (409, 'key-lost')
    assert resolve_key(fleet, key, 'not-run') == 200
    assert submit_order(fleet, fleet.entries[1], key).status == 200
    assert key not in lost_keys(fleet)
