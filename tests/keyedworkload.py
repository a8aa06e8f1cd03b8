"""Send keyed requests during faults and check their outcomes afterwards."""

from __future__ import annotations

import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from http import client
from urllib.parse import quote

from standins.calling import Response, wait_until
from standins.fleet import Fleet
from standins.launch import EntryProcess

from .client import submit_order

#: The documented bound: every key is concluded this long after a fault ends.
SETTLE_S = 10.0
_CALLERS = 6
_PAUSE_S = 0.05
_CALL_TIMEOUT_S = 9.0


@dataclass
class KeyedCall:
    """Hold a key, the outcomes its caller got in order, and the duration."""

    key: str
    outcomes: list[str] = field(default_factory=list)
    duration_s: float = 0


class Workload:
    """Send orders with new keys from several callers until stopped."""

    def __init__(self, fleet: Fleet, name: str) -> None:
        self._fleet = fleet
        self._name = name
        self._stop = threading.Event()
        self._calls: list[KeyedCall] = []
        self._pool = ThreadPoolExecutor(_CALLERS)

    @property
    def calls(self) -> list[KeyedCall]:
        return self._calls

    @property
    def max_duration_s(self) -> float:
        return max(call.duration_s for call in self._calls)

    def start(self) -> None:
        for caller in range(_CALLERS):
            self._pool.submit(self._send_calls, caller)

    def stop(self) -> None:
        self._stop.set()
        self._pool.shutdown(wait=True)

    def _send_calls(self, caller: int) -> None:
        number = 0
        while not self._stop.is_set():
            number += 1
            call = KeyedCall(f'{self._name}-{caller}-{number}')
            self._calls.append(call)
            entry = self._fleet.entries[number % len(self._fleet.entries)]
            started_at = time.monotonic()
            call.outcomes.append(send_order(self._fleet, entry, call.key))
            call.duration_s = time.monotonic() - started_at
            time.sleep(_PAUSE_S)


def send_order(fleet: Fleet, entry: EntryProcess, key: str) -> str:
    """Send an order and return its outcome, 'nothing' for no response."""
    try:
        response = submit_order(fleet, entry, key, timeout=_CALL_TIMEOUT_S)
    except (OSError, client.HTTPException):
        return 'nothing'
    return parse_outcome(response)


def parse_outcome(response: Response) -> str:
    if response.status == 200:
        return 'ran'
    return f'{response.headers["x-outcome"]} {response.status}'


def check_outcomes(fleet: Fleet, workload: Workload) -> Counter[str]:
    """Check every key once settled; return how often each outcome was reported.

    A key ran at most once, exactly once after 'ran' and never after 'not-run'.
    A key whose caller got no certain outcome is retried.
    """
    wait_until(lambda: all_keys_settled(fleet), SETTLE_S)
    run_counts = Counter(
        run['key'] for run in fleet.runs(fleet.deployment.plain)
    )
    lost = lost_keys(fleet)
    outcome_counts: Counter[str] = Counter()
    for call in workload.calls:
        outcome = call.outcomes[0]
        outcome_counts[outcome] += 1
        run_count = run_counts[call.key]
        assert run_count <= 1, f'{call.key} ran {run_count} times'
        if outcome == 'ran':
            assert run_count == 1, f'{call.key} got a response and did not run'
        if outcome.startswith('not-run'):
            assert run_count == 0, f'{call.key} was "not run" and ran'
        if outcome == 'nothing' or outcome.startswith('unknown'):
            _check_uncertain(fleet, call, run_count, lost)
    _check_no_second_run(fleet, workload)
    return outcome_counts


def _check_uncertain(
    fleet: Fleet, call: KeyedCall, run_count: int, lost: set[str]
) -> None:
    """Retry with the key: it must be on the lost list, or have run by now.

    A key that ran before returns its first response.
    """
    retried = send_order(fleet, fleet.entries[-1], call.key)
    if call.key in lost:
        assert retried == 'unknown 409', f'{call.key}: {retried}'
    elif run_count:
        assert retried == 'ran', (
            f'{call.key} ran and its response is gone: {retried}'
        )
    else:
        assert retried == 'ran', f'{call.key} cannot be retried: {retried}'


def _check_no_second_run(fleet: Fleet, workload: Workload) -> None:
    run_counts = Counter(
        run['key'] for run in fleet.runs(fleet.deployment.plain)
    )
    ran_twice = [
        call.key for call in workload.calls if run_counts[call.key] > 1
    ]
    assert not ran_twice, f'ran twice: {ran_twice}'


def lose_key(fleet: Fleet, key: str) -> Response:
    """Send an order whose response is cut, and wait until its key is lost."""
    upstreams = fleet.upstreams_of(fleet.deployment.plain)
    for upstream in upstreams:
        upstream.set_faults(cut_after_bytes=5)
    try:
        response = submit_order(fleet, fleet.entries[0], key)
    finally:
        for upstream in upstreams:
            upstream.set_faults(cut_after_bytes=None)
    wait_until(lambda: key in lost_keys(fleet))
    return response


def lost_keys(fleet: Fleet) -> set[str]:
    """Return the keys on the lost list, without their organisation."""
    response = fleet.admin_call('GET', '/v1/lost')
    return {item['key'].partition('/')[2] for item in response.json()}


def resolve_key(fleet: Fleet, key: str, outcome: str) -> int:
    """Resolve a lost key of the first organisation; return the HTTP status."""
    quoted = quote(f'organisation-01/{key}', safe='')
    resolution = {'outcome': outcome, 'author': 'test'}
    return fleet.admin_call(
        'POST', f'/v1/lost/{quoted}/resolve', resolution
    ).status


def all_keys_settled(fleet: Fleet) -> bool:
    """Tell whether all entries reach the log and no key is open or queued."""
    statuses = [fleet.status(entry) for entry in fleet.entries]
    return all(
        status
        and status['log_reachable']
        and not status['filings']['open']
        and not status['filings']['waiting_for_log']
        for status in statuses
    )
