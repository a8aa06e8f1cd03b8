"""File keyed work during faults and check what the promises say of it."""

from __future__ import annotations

import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from http import client
from urllib.parse import quote

from standins.calling import Answer, wait_until
from standins.fleet import Fleet
from standins.launch import EntryProcess

from .client import submit_order

#: The page's bound: every key has ended this long after a fault's end.
SETTLE_S = 10.0
_CALLERS = 6
_PAUSE_S = 0.05
_CALL_TIMEOUT_S = 9.0


@dataclass
class Filed:
    """Hold what one caller was told about its key, in order."""

    key: str
    told: list[str] = field(default_factory=list)
    took_s: float = 0


class Workload:
    """File with fresh keys from several callers until stopped."""

    def __init__(self, fleet: Fleet, name: str) -> None:
        self._fleet = fleet
        self._name = name
        self._stop = threading.Event()
        self._filed: list[Filed] = []
        self._pool = ThreadPoolExecutor(_CALLERS)

    @property
    def filed(self) -> list[Filed]:
        return self._filed

    @property
    def longest_s(self) -> float:
        return max(one.took_s for one in self._filed)

    def start(self) -> None:
        for caller in range(_CALLERS):
            self._pool.submit(self._call_on, caller)

    def stop(self) -> None:
        self._stop.set()
        self._pool.shutdown(wait=True)

    def _call_on(self, caller: int) -> None:
        number = 0
        while not self._stop.is_set():
            number += 1
            filed = Filed(f'{self._name}-{caller}-{number}')
            self._filed.append(filed)
            entry = self._fleet.entries[number % len(self._fleet.entries)]
            began = time.monotonic()
            filed.told.append(tell(self._fleet, entry, filed.key))
            filed.took_s = time.monotonic() - began
            time.sleep(_PAUSE_S)


def tell(fleet: Fleet, entry: EntryProcess, key: str) -> str:
    """Return what a caller is told: an outcome, or that nothing came."""
    try:
        answer = submit_order(fleet, entry, key, timeout=_CALL_TIMEOUT_S)
    except (OSError, client.HTTPException):
        return 'nothing'
    return outcome_of(answer)


def outcome_of(answer: Answer) -> str:
    if answer.status == 200:
        return 'ran'
    return f'{answer.headers["x-outcome"]} {answer.status}'


def check_promises(fleet: Fleet, workload: Workload) -> Counter[str]:
    """Check each key's end; return how often each thing was told."""
    wait_until(lambda: settled(fleet), SETTLE_S)
    counts = Counter(run['key'] for run in fleet.runs(fleet.deployment.plain))
    lost = lost_keys(fleet)
    told: Counter[str] = Counter()
    for filed in workload.filed:
        first = filed.told[0]
        told[first] += 1
        ran = counts[filed.key]
        assert ran <= 1, f'{filed.key} ran {ran} times'
        if first == 'ran':
            assert ran == 1, f'{filed.key} was answered and did not run'
        if first.startswith('not-run'):
            assert ran == 0, f'{filed.key} was "not run" and ran'
        if first == 'nothing' or first.startswith('unknown'):
            _check_unsure(fleet, filed, ran, lost)
    _check_no_second_run(fleet, workload)
    return told


def _check_unsure(fleet: Fleet, filed: Filed, ran: int, lost: set[str]) -> None:
    """Ask again with the key: the first answer, the lost list, or a run."""
    again = tell(fleet, fleet.entries[-1], filed.key)
    if filed.key in lost:
        assert again == 'unknown 409', f'{filed.key}: {again}'
    elif ran:
        assert again == 'ran', f'{filed.key} ran and vanished: {again}'
    else:
        assert again == 'ran', f'{filed.key} cannot be filed again: {again}'


def _check_no_second_run(fleet: Fleet, workload: Workload) -> None:
    counts = Counter(run['key'] for run in fleet.runs(fleet.deployment.plain))
    twice = [one.key for one in workload.filed if counts[one.key] > 1]
    assert not twice, f'ran twice: {twice}'


def lose(fleet: Fleet, key: str) -> Answer:
    """File with the answers cut, so that the key is lost."""
    upstreams = fleet.of_service(fleet.deployment.plain)
    for one in upstreams:
        one.set_faults(cut_after_bytes=5)
    try:
        answer = submit_order(fleet, fleet.entries[0], key)
    finally:
        for one in upstreams:
            one.set_faults(cut_after_bytes=None)
    wait_until(lambda: key in lost_keys(fleet))
    return answer


def lost_keys(fleet: Fleet) -> set[str]:
    """Return the callers' keys on the lost list."""
    answer = fleet.admin_call('GET', '/v1/lost')
    return {one['key'].partition('/')[2] for one in answer.json()}


def resolve(fleet: Fleet, key: str, outcome: str) -> int:
    """Resolve a key of the first organisation; return the status."""
    quoted = quote(f'organisation-01/{key}', safe='')
    order = {'outcome': outcome, 'author': 'test'}
    return fleet.admin_call('POST', f'/v1/lost/{quoted}/resolve', order).status


def settled(fleet: Fleet) -> bool:
    """Tell whether all entries reach the log and know of every key."""
    statuses = [fleet.status(entry) for entry in fleet.entries]
    return all(
        status
        and status['log_reachable']
        and not status['filings']['open']
        and not status['filings']['waiting_for_log']
        for status in statuses
    )
