"""Measure how soon all is well again, and what the filing record costs."""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from http import client
from pathlib import Path
from typing import Any

from amaranthrail.entry.keytable import KeyTable
from amaranthrail.ports import LogEntry
from amaranthrail.records import (
    AttemptState,
    Conclusion,
    FactBatch,
    Intent,
    encode_record,
)
from amaranthrail.types import Offset
from standins.calling import http_call, wait_until
from standins.fleet import Fleet, running_fleet
from standins.launch import FleetPlan

from . import report

KEYS = 50_000
BATCH = 50
FILERS = 48
FILING_S = 5.0
ANSWER = b'x' * 220


def main(seed: int, file: Path | None, plot: Path | None) -> None:
    """Measure all of it."""
    del seed, plot
    plan = FleetPlan(entries=2, replicas=0, services=2, relays=True)
    with running_fleet(plan) as fleet:
        found = {
            'group commit': _group_commit(fleet),
            'seconds until serving again': {
                'sidecar restarted': _time(fleet, _restart_sidecars),
                'connections silent': _time(fleet, _silence),
                'entry restarted': _time(fleet, _restart_entry),
                'log back': _time(fleet, _log_outage),
            },
            'manifest in force everywhere, s': _manifest(fleet),
        }
    found['filing record'] = _ledger()
    report.show('recovery', found, file)


def _file(fleet: Fleet, key: str, number: int = 0) -> int:
    headers = {
        'Authorization': f'Bearer {fleet.token()}',
        'Idempotency-Key': key,
    }
    entry = fleet.entries[number % len(fleet.entries)]
    try:
        return http_call(
            entry.url,
            'POST',
            '/sportello/orders',
            {'books': 1},
            headers,
        ).status
    except (OSError, client.HTTPException):
        return 0


def _time(fleet: Fleet, disturb: Callable[[Fleet], None]) -> float:
    """Return the seconds from a fault's end until a filing is answered."""
    disturb(fleet)
    began = time.monotonic()
    tries = 0
    while _file(fleet, f'{disturb.__name__}-{tries}') != 200:
        tries += 1
    took = time.monotonic() - began
    for entry in fleet.entries:
        fleet.wait_entry_ready(entry)
    return report.rounded(took)


def _restart_sidecars(fleet: Fleet) -> None:
    for one in fleet.upstreams:
        one.sidecar.kill()
        one.sidecar.restart()


def _silence(fleet: Fleet) -> None:
    for one in fleet.upstreams:
        if one.relay is not None:
            one.relay.blackhole()


def _restart_entry(fleet: Fleet) -> None:
    fleet.entries[0].child.kill()
    fleet.entries[0].child.restart()


def _log_outage(fleet: Fleet) -> None:
    fleet.set_platform_faults(log='down')
    time.sleep(3)
    fleet.set_platform_faults(log='up')


def _manifest(fleet: Fleet) -> float:
    manifest = {**fleet.manifest(), 'limits': {'retry_share': 0.2}}
    published = fleet.publish(manifest)
    began = time.monotonic()
    version = published.json()['version']
    wait_until(lambda: _in_force(fleet, version))
    return report.rounded(time.monotonic() - began)


def _in_force(fleet: Fleet, version: int) -> bool:
    for entry in fleet.entries:
        status = fleet.status(entry)
        told = [status, *status['upstreams']]
        if any(one['manifest_version'] != version for one in told):
            return False
    return True


def _group_commit(fleet: Fleet) -> dict[str, float]:
    """Return filings a second against appends a second."""
    before = _appends(fleet)
    began = time.monotonic()
    with ThreadPoolExecutor(FILERS) as pool:
        counts = list(
            pool.map(lambda one: _file_on(fleet, one, began), range(FILERS)),
        )
    took = time.monotonic() - began
    filings = sum(counts)
    appends = _appends(fleet) - before
    return {
        'filings_s': report.rounded(filings / took),
        'appends_s': report.rounded(appends / took),
        'filings_an_append': report.rounded(filings / appends),
    }


def _appends(fleet: Fleet) -> int:
    counts = http_call(fleet.platform_address, 'GET', '/control/counts')
    found: int = counts.json()['appends']
    return found


def _file_on(fleet: Fleet, caller: int, began: float) -> int:
    filed = 0
    while time.monotonic() - began < FILING_S:
        filed += _file(fleet, f'commit-{caller}-{filed}', caller) == 200
    return filed


def _ledger() -> dict[str, Any]:
    """Return the memory of a key and the time to read a shard again."""
    records = [_record(start) for start in range(0, KEYS, BATCH)]
    tracemalloc.start()
    ledger = KeyTable()
    entries = [
        LogEntry(Offset(number + 1), 0, text)
        for number, text in enumerate(records)
    ]
    held = tracemalloc.get_traced_memory()[0]
    for entry in entries:
        ledger.apply(0, entry)
    used = tracemalloc.get_traced_memory()[0] - held
    tracemalloc.stop()
    began = time.perf_counter()
    again = KeyTable()
    for entry in entries:
        again.apply(0, entry)
    took = time.perf_counter() - began
    return {
        'keys': ledger.size,
        'bytes_a_key': round(used / KEYS),
        'log_bytes_a_key': round(sum(map(len, records)) / KEYS),
        'rebuild_us_a_key': report.rounded(1e6 * took / KEYS),
        'answer_bytes': len(ANSWER),
    }


def _record(start: int) -> bytes:
    facts: list[Intent | Conclusion] = []
    for number in range(start, start + BATCH):
        key = f'organisation-{number % 100:02}/key-{number}'
        facts += (
            Intent(
                key=key,
                id=f'{number:032x}',
                attempt=1,
                digest=f'{number:064x}',
                service='sportello',
                upstream='sportello-1',
                incarnation='0123456789ab',
                entry='ba9876543210',
                deadline=1_800_000_000_000,
                operation='sportello.file-order',
            ),
            Conclusion(
                key=key,
                intent=f'{number:032x}',
                state=AttemptState.RAN,
                status=200,
                headers=(('content-type', 'application/json'),),
                body=ANSWER,
            ),
        )
    return encode_record(FactBatch(id=f'{start:032x}', facts=tuple(facts)))
