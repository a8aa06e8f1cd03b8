"""Run keyed requests at most once and lose none silently, under faults."""

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
from .keyedworkload import (
    Workload,
    all_keys_settled,
    check_outcomes,
    lose_key,
    lost_keys,
)

#: Longer than every lease and staleness limit of the processes (3 s).
FAULT_S = 3.6
#: Time of the workload without faults, before and after them.
BEFORE_S = 0.4
AFTER_S = 1.0
RETENTION_MS = 3000
DAY_MS = 86_400_000
PAIR_SEED = 20261204
PAIRS = 6
#: Pairs that failed in a run of all pairs; they are always tested.
FAILED_BEFORE = (
    {'sidecar paused', 'log down'},
    {'messages late', 'log down'},
    {'connections silent', 'log down'},
    {'upstream stalls', 'log down'},
    {'upstream paused', 'upstream stalls'},
)


def _choose_pairs() -> list[tuple[Fault, Fault]]:
    all_pairs = list(itertools.combinations(FAULTS, 2))
    sampled = random.Random(PAIR_SEED).sample(all_pairs, PAIRS)
    failed = [
        pair
        for pair in all_pairs
        if {fault.name for fault in pair} in FAILED_BEFORE
    ]
    return sampled + [pair for pair in failed if pair not in sampled]


@pytest.fixture(scope='module')
def faulty_fleet() -> Iterator[Fleet]:
    plan = FleetPlan('valtrebbia', 2, replicas=0, services=3, relays=True)
    with running_fleet(plan) as running:
        yield running


@pytest.fixture(autouse=True)
def _wait_recovered(faulty_fleet: Fleet) -> Iterator[None]:
    yield
    for entry in faulty_fleet.entries:
        faulty_fleet.wait_entry_ready(entry)
    wait_until(lambda: all_keys_settled(faulty_fleet))


@pytest.mark.parametrize('fault', FAULTS, ids=lambda fault: fault.name)
def test_one_fault(faulty_fleet: Fleet, fault: Fault) -> None:
    _run_with_faults(faulty_fleet, (fault,))


@pytest.mark.parametrize(
    'faults',
    _choose_pairs(),
    ids=lambda pair: ' and '.join(fault.name for fault in pair),
)
def test_two_faults(faulty_fleet: Fleet, faults: tuple[Fault, ...]) -> None:
    _run_with_faults(faulty_fleet, faults)


def test_restarted_entry_finds_a_run_key_in_a_log_outage(
    faulty_fleet: Fleet,
) -> None:
    key = 'before-the-outage'
    first_response = submit_order(faulty_fleet, faulty_fleet.entries[0], key)
    restarted_entry = faulty_fleet.entries[1]
    faulty_fleet.set_platform_faults(log='down')
    restarted_entry.child.kill()
    restarted_entry.child.restart()
    try:
        faulty_fleet.wait_entry_ready(restarted_entry)
        retried = submit_order(faulty_fleet, restarted_entry, key)
        new_key_response = submit_order(
            faulty_fleet, restarted_entry, 'in-the-outage'
        )
    finally:
        faulty_fleet.set_platform_faults(log='up')
    assert (retried.status, retried.body) == (200, first_response.body)
    assert (new_key_response.status, new_key_response.headers['x-outcome']) == (
        503,
        'not-run',
    )
    run_keys = [run['key'] for run in faulty_fleet.runs('sportello')]
    assert (run_keys.count(key), run_keys.count('in-the-outage')) == (1, 0)


def test_log_outage_with_paused_sidecars_finds_the_sidecar_that_ran(
    faulty_fleet: Fleet,
) -> None:
    key = 'known-to-one'
    first_response = submit_order(faulty_fleet, faulty_fleet.entries[0], key)
    assert first_response.status == 200, first_response.body
    restarted_entry = faulty_fleet.entries[1]
    paused_sidecars = [
        upstream.sidecar
        for upstream in faulty_fleet.upstreams_of('sportello')
        if not _has_run(upstream, key)
    ]
    assert len(paused_sidecars) == 2
    faulty_fleet.set_platform_faults(log='down')
    restarted_entry.child.kill()
    restarted_entry.child.restart()
    try:
        faulty_fleet.wait_entry_ready(restarted_entry)
        wait_until(lambda: _count_connected(faulty_fleet, restarted_entry) == 3)
        for sidecar in paused_sidecars:
            sidecar.pause()
        retried = submit_order(faulty_fleet, restarted_entry, key)
    finally:
        for sidecar in paused_sidecars:
            sidecar.resume()
        faulty_fleet.set_platform_faults(log='up')
    assert (retried.status, retried.body) == (200, first_response.body)


def test_lost_list_outlives_the_log_retention(faulty_fleet: Fleet) -> None:
    key = 'lost-for-long'
    lose_key(faulty_fleet, key)
    faulty_fleet.set_platform_faults(retention_ms=RETENTION_MS)
    try:
        wait_until(lambda: _only_lost_keys_remain(faulty_fleet))
        time.sleep(2 * RETENTION_MS / 1000)
        assert key in lost_keys(faulty_fleet)
        retried = submit_order(faulty_fleet, faulty_fleet.entries[1], key)
    finally:
        faulty_fleet.set_platform_faults(retention_ms=DAY_MS)
    assert (retried.status, retried.json()['reason']) == (409, 'key-lost')


def _only_lost_keys_remain(fleet: Fleet) -> bool:
    """Tell whether all keys but the lost ones have expired with the log."""
    key_counts = [_status(fleet, entry)['filings'] for entry in fleet.entries]
    return all(counts['known'] == counts['lost'] for counts in key_counts)


def _has_run(upstream: UpstreamProcess, key: str) -> bool:
    runs = http_call(upstream.url, 'GET', '/control/runs').json()
    return key in {run['key'] for run in runs}


def _count_connected(fleet: Fleet, entry: EntryProcess) -> int:
    upstreams = _status(fleet, entry)['upstreams']
    return sum(upstream['connected'] for upstream in upstreams)


def _status(fleet: Fleet, entry: EntryProcess) -> dict[str, Any]:
    status: dict[str, Any] | None = fleet.status(entry)
    assert status
    return status


def _run_with_faults(fleet: Fleet, faults: tuple[Fault, ...]) -> None:
    since = latest_stamp(fleet)
    unanswered = appends_unanswered(fleet)
    name = '+'.join(fault.name.replace(' ', '-') for fault in faults)
    workload = Workload(fleet, name)
    workload.start()
    time.sleep(BEFORE_S)
    _inject_faults(fleet, faults)
    time.sleep(AFTER_S)
    workload.stop()
    outcome_counts = check_outcomes(fleet, workload)
    assert outcome_counts['ran'], outcome_counts
    lost_peer_count = peers_lost(fleet, since)
    unanswered = appends_unanswered(fleet) - unanswered
    evidence = Seen(
        outcome_counts, workload.max_duration_s, lost_peer_count, unanswered
    )
    # One of two faults may mask the other, so one visible effect is enough.
    checks = [
        fault.had_effect for fault in faults if fault.had_effect is not None
    ]
    assert not checks or any(check(evidence) for check in checks), evidence


def _inject_faults(fleet: Fleet, faults: tuple[Fault, ...]) -> None:
    """Inject the faults for ``FAULT_S`` seconds, the first within the others.

    A paused process cannot be given faults, so the fault that pauses one, which
    is listed first, begins last.
    """
    try:
        for fault in reversed(faults):
            fault.inject(fleet)
        time.sleep(FAULT_S)
    finally:
        for fault in faults:
            fault.remove(fleet)
