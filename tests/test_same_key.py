"""Run a key once however many ask for it, wherever and whenever they do."""

from __future__ import annotations

from collections import Counter
from concurrent.futures import ThreadPoolExecutor

from standins.calling import wait_until
from standins.fleet import Fleet

from .client import submit_order
from .filing import lose, lost_keys, resolve

KEYS = 12
ASKERS = 4


def test_one_key_at_both_entries_at_once(fleet: Fleet) -> None:
    asks = [
        (f'same-{number}', fleet.entries[asker % 2])
        for number in range(KEYS)
        for asker in range(ASKERS)
    ]
    with ThreadPoolExecutor(len(asks)) as pool:
        answers = list(
            pool.map(lambda ask: submit_order(fleet, ask[1], ask[0]), asks)
        )
    assert [one.status for one in answers] == [200 for _ in asks]
    bodies = {
        (key, answer.body)
        for (key, _), answer in zip(asks, answers, strict=True)
    }
    assert len(bodies) == KEYS
    counts = Counter(run['key'] for run in fleet.runs('sportello'))
    assert [counts[f'same-{number}'] for number in range(KEYS)] == [
        1 for _ in range(KEYS)
    ]


def test_later_deadline_goes_on_where_the_first_ended(fleet: Fleet) -> None:
    entry = fleet.entries[0]
    fleet.fault_platform(log='slow')
    try:
        with ThreadPoolExecutor(2) as pool:
            hurried = pool.submit(
                submit_order,
                fleet,
                entry,
                'hurried',
                headers={'X-Deadline-Ms': '500'},
            )
            wait_until(lambda: _is_open(fleet) or hurried.done())
            patient = pool.submit(
                submit_order,
                fleet,
                entry,
                'hurried',
                headers={'X-Deadline-Ms': '20000'},
            )
            first, second = hurried.result(), patient.result()
    finally:
        fleet.fault_platform(log='up')
    assert first.headers['x-outcome'] in {'not-run', 'unknown'}
    assert second.status == 200, second.body
    counts = Counter(run['key'] for run in fleet.runs('sportello'))
    assert counts['hurried'] == 1


def _is_open(fleet: Fleet) -> bool:
    status = fleet.status(fleet.entries[0])
    return bool(status and status['filings']['waiting_for_log'])


def test_key_again_after_its_outcome(fleet: Fleet) -> None:
    first = submit_order(fleet, fleet.entries[0], 'again')
    later = [submit_order(fleet, entry, 'again') for entry in fleet.entries * 3]
    assert {(one.status, one.body) for one in later} == {(200, first.body)}
    counts = Counter(run['key'] for run in fleet.runs('sportello'))
    assert counts['again'] == 1


def test_lost_key_runs_again_only_by_an_operator(fleet: Fleet) -> None:
    key = 'cut-off'
    first = lose(fleet, key)
    assert (first.status, first.headers['x-outcome']) == (504, 'unknown')
    again = submit_order(fleet, fleet.entries[1], key)
    assert (again.status, again.json()['reason']) == (409, 'key-lost')
    assert resolve(fleet, key, 'not-run') == 200
    assert submit_order(fleet, fleet.entries[1], key).status == 200
    assert key not in lost_keys(fleet)
