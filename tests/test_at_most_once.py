"""Run keyed work at most once and lose none silently, under every fault."""

from __future__ import annotations

import itertools
import random
import time
from collections.abc import Iterator
from typing import Any

import pytest

from standins.calling import http_call, wait_until
from standins.fleet import Fleet, running_fleet
from standins.launch import EntryProcess, FleetPlan, UpstreamProcess

from .client import submit_order
from .evidence import Seen, appends_unanswered, latest_stamp, peers_lost
from .faults import FAULTS, Fault
from .filing import Workload, check_promises, lose, lost_keys, settled

#: Longer than every lease and staleness bound of the design (3 s).
HOLD_S = 3.6
BEFORE_S = 0.4
AFTER_S = 1.0
RETENTION_MS = 3000
DAY_MS = 86_400_000
PAIR_SEED = 20261204
PAIRS = 6
#: Pairs that have failed when all of them were tried.
FAILED_ONCE = (
    {'sidecar paused', 'log down'},
    {'messages late', 'log down'},
    {'connections silent', 'log down'},
    {'upstream stalls', 'log down'},
    {'upstream paused', 'upstream stalls'},
)


def _pairs() -> list[tuple[Fault, Fault]]:
    every = list(itertools.combinations(FAULTS, 2))
    drawn = random.Random(PAIR_SEED).sample(every, PAIRS)
    failed = [
        pair for pair in every if {one.name for one in pair} in FAILED_ONCE
    ]
    return drawn + [pair for pair in failed if pair not in drawn]


@pytest.fixture(scope='module')
def faulty() -> Iterator[Fleet]:
    plan = FleetPlan('valtrebbia', 2, replicas=0, services=3, relays=True)
    with running_fleet(plan) as running:
        yield running


@pytest.fixture(autouse=True)
def _whole_again(faulty: Fleet) -> Iterator[None]:
    yield
    for entry in faulty.entries:
        faulty.wait_entry_ready(entry)
    wait_until(lambda: settled(faulty))


@pytest.mark.parametrize('fault', FAULTS, ids=lambda fault: fault.name)
def test_one_fault(faulty: Fleet, fault: Fault) -> None:
    _try(faulty, (fault,))


@pytest.mark.parametrize(
    'faults',
    _pairs(),
    ids=lambda pair: ' and '.join(one.name for one in pair),
)
def test_two_faults(faulty: Fleet, faults: tuple[Fault, ...]) -> None:
    _try(faulty, faults)


def test_key_that_ran_is_known_in_a_log_outage(faulty: Fleet) -> None:
    key = 'before-the-outage'
    first = submit_order(faulty, faulty.entries[0], key)
    forgetful = faulty.entries[1]
    faulty.fault_platform(log='down')
    forgetful.child.kill()
    forgetful.child.restart()
    try:
        faulty.wait_entry_ready(forgetful)
        again = submit_order(faulty, forgetful, key)
        fresh = submit_order(faulty, forgetful, 'in-the-outage')
    finally:
        faulty.fault_platform(log='up')
    assert (again.status, again.body) == (200, first.body)
    assert (fresh.status, fresh.headers['x-outcome']) == (503, 'not-run')
    ran = [run['key'] for run in faulty.runs('sportello')]
    assert (ran.count(key), ran.count('in-the-outage')) == (1, 0)


def test_outage_with_silent_sidecars_finds_who_ran_the_key(
    faulty: Fleet,
) -> None:
    key = 'known-to-one'
    first = submit_order(faulty, faulty.entries[0], key)
    assert first.status == 200, first.body
    forgetful = faulty.entries[1]
    silent = [
        one.sidecar
        for one in faulty.of_service('sportello')
        if not _ran_at(one, key)
    ]
    assert len(silent) == 2
    faulty.fault_platform(log='down')
    forgetful.child.kill()
    forgetful.child.restart()
    try:
        faulty.wait_entry_ready(forgetful)
        wait_until(lambda: _connected(faulty, forgetful) == 3)
        for sidecar in silent:
            sidecar.pause()
        again = submit_order(faulty, forgetful, key)
    finally:
        for sidecar in silent:
            sidecar.resume()
        faulty.fault_platform(log='up')
    assert (again.status, again.body) == (200, first.body)


def test_lost_list_outlives_the_log_retention(faulty: Fleet) -> None:
    key = 'lost-for-long'
    lose(faulty, key)
    faulty.fault_platform(retention_ms=RETENTION_MS)
    try:
        wait_until(lambda: _only_lost_are_known(faulty))
        time.sleep(2 * RETENTION_MS / 1000)
        assert key in lost_keys(faulty)
        again = submit_order(faulty, faulty.entries[1], key)
    finally:
        faulty.fault_platform(retention_ms=DAY_MS)
    assert (again.status, again.json()['reason']) == (409, 'key-lost')


def _only_lost_are_known(fleet: Fleet) -> bool:
    """Tell whether all keys that ran have been dropped with the log."""
    found = [_status(fleet, entry)['filings'] for entry in fleet.entries]
    return all(one['known'] == one['lost'] for one in found)


def _ran_at(upstream: UpstreamProcess, key: str) -> bool:
    runs = http_call(upstream.url, 'GET', '/control/runs').json()
    return key in {run['key'] for run in runs}


def _connected(fleet: Fleet, entry: EntryProcess) -> int:
    upstreams = _status(fleet, entry)['upstreams']
    return sum(one['connected'] for one in upstreams)


def _status(fleet: Fleet, entry: EntryProcess) -> dict[str, Any]:
    status: dict[str, Any] | None = fleet.status(entry)
    assert status
    return status


def _try(fleet: Fleet, faults: tuple[Fault, ...]) -> None:
    since = latest_stamp(fleet)
    unanswered = appends_unanswered(fleet)
    name = '+'.join(fault.name.replace(' ', '-') for fault in faults)
    workload = Workload(fleet, name)
    workload.start()
    time.sleep(BEFORE_S)
    _hold(fleet, faults)
    time.sleep(AFTER_S)
    workload.stop()
    told = check_promises(fleet, workload)
    assert told['ran'], told
    lost = peers_lost(fleet, since)
    unanswered = appends_unanswered(fleet) - unanswered
    seen = Seen(told, workload.longest_s, lost, unanswered)
    # Of two faults one may hide the other.
    noticeable = [fault.felt for fault in faults if fault.felt is not None]
    assert not noticeable or any(felt(seen) for felt in noticeable), seen


def _hold(fleet: Fleet, faults: tuple[Fault, ...]) -> None:
    """Have the faults for a while, the first within the others.

    A paused process cannot be told of its faults, so the one that pauses,
    which is listed first, begins last.
    """
    try:
        for fault in reversed(faults):
            fault.begin(fleet)
        time.sleep(HOLD_S)
    finally:
        for fault in faults:
            fault.end(fleet)
