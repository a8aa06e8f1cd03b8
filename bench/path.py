"""Measure what the way through entry and sidecar costs."""

from __future__ import annotations

import hashlib
import json
import socket
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack, closing
from http import client
from pathlib import Path
from typing import Any

from standins.calling import wait_until
from standins.fleet import Fleet, running_fleet
from standins.launch import FleetPlan

from . import report
from .load import draft_shot, fire, quantile, served

CALLS = 400
BUSY_CALLERS = 32
BUSY_S = 5.0
STREAMS = 48
STREAM_TOKENS = 200
CONNECTIONS = 1000
ORGANISATIONS = 25_000
IDLE_S = 8.0
IDLE_LINKS = (2, 16)


def main(seed: int, file: Path | None, plot: Path | None) -> None:
    """Measure latency, rates, processor time and memory."""
    del seed, plot
    plan = FleetPlan(
        entries=1,
        replicas=1,
        services=2,
        engine_arguments=('--step-ms', '4', '--slots', '64'),
        slots=64,
        token_ms=4,
    )
    with running_fleet(plan) as fleet:
        found: dict[str, Any] = {
            'idle': _idle(fleet),
            'light load': _light(fleet),
            'busy': _busy(fleet),
            'streams': _streams(fleet),
            'memory': _memory(fleet),
        }
    found['idle by links'] = {
        str(links): _idle_with(links) for links in IDLE_LINKS
    }
    report.show('path', found, file)


def _idle_with(links: int) -> dict[str, float]:
    """Return the idle cost of an entry that keeps a number of links."""
    plan = FleetPlan(entries=1, replicas=links, services=0)
    with running_fleet(plan) as fleet:
        return _idle(fleet)


def _headers(fleet: Fleet) -> dict[str, str]:
    return {'Authorization': f'Bearer {fleet.token()}'}


def _time_calls(address: str, headers: dict[str, str]) -> list[float]:
    connection = client.HTTPConnection(address.removeprefix('http://'))
    took = []
    with closing(connection):
        for number in range(CALLS):
            began = time.perf_counter()
            connection.request(
                'GET', f'/sportello/orders/{number}', headers=headers
            )
            connection.getresponse().read()
            took.append((time.perf_counter() - began) * 1000)
    return took


def _light(fleet: Fleet) -> dict[str, float]:
    """Compare one caller through the entry with one straight at an upstream."""
    upstream = fleet.upstreams_of('sportello')[0]
    straight = _time_calls(upstream.url, {})
    through = _time_calls(fleet.entries[0].url, _headers(fleet))
    return {
        f'{name}_{label}_ms': report.rounded(figure)
        for label, share in (('p50', 0.5), ('p99', 0.99))
        for name, figure in (
            ('straight', quantile(straight, share)),
            ('through', quantile(through, share)),
            ('added', quantile(through, share) - quantile(straight, share)),
        )
    }


def _busy(fleet: Fleet) -> dict[str, float]:
    """Return the rate that many callers get, and processor time a request."""
    entry = fleet.entries[0]
    sidecars = [one.sidecar.pid for one in fleet.upstreams_of('sportello')]
    before = report.cpu_s(entry.child.pid), sum(map(report.cpu_s, sidecars))
    began = time.monotonic()
    with ThreadPoolExecutor(BUSY_CALLERS) as pool:
        counts = list(
            pool.map(lambda _: _call_on(fleet, began), range(BUSY_CALLERS)),
        )
    took = time.monotonic() - began
    calls = sum(counts)
    used = report.cpu_s(entry.child.pid) - before[0]
    return {
        'requests_s': report.rounded(calls / took),
        'entry_cpu_ms_a_request': report.rounded(1000 * used / calls),
        'sidecar_cpu_ms_a_request': report.rounded(
            1000 * (sum(map(report.cpu_s, sidecars)) - before[1]) / calls,
        ),
        'entry_cores': report.rounded(used / took),
    }


def _call_on(fleet: Fleet, began: float) -> int:
    address = fleet.entries[0].url.removeprefix('http://')
    connection = client.HTTPConnection(address)
    calls = 0
    with closing(connection):
        while time.monotonic() - began < BUSY_S:
            connection.request(
                'GET', '/sportello/orders/1', headers=_headers(fleet)
            )
            assert connection.getresponse().read()
            calls += 1
    return calls


def _streams(fleet: Fleet) -> dict[str, float]:
    """Return the tokens a second through one entry, and what one costs."""
    entry = fleet.entries[0].child.pid
    sidecar = fleet.upstreams_of(fleet.deployment.model)[0].sidecar.pid
    before = report.cpu_s(entry), report.cpu_s(sidecar)
    shots = [
        draft_shot(fleet, 0.0, 'stream', 0, STREAM_TOKENS, f'prompt {number}')
        for number in range(STREAMS)
    ]
    began = time.monotonic()
    hits = served(fire(fleet.entries, shots))
    took = time.monotonic() - began
    tokens = len(hits) * STREAM_TOKENS
    gaps = [gap * 1000 for hit in hits for gap in hit.gaps_s]
    return {
        'streams_whole': len(hits),
        'tokens_s': report.rounded(tokens / took),
        'gap_p95_ms': report.rounded(quantile(gaps, 0.95)),
        'entry_cpu_us_a_token': report.rounded(
            1e6 * (report.cpu_s(entry) - before[0]) / tokens,
        ),
        'sidecar_cpu_us_a_token': report.rounded(
            1e6 * (report.cpu_s(sidecar) - before[1]) / tokens,
        ),
    }


def _idle(fleet: Fleet) -> dict[str, float]:
    """Return what heartbeats and polling cost while nothing happens."""
    entry = fleet.entries[0].child.pid
    sidecar = fleet.upstreams[0].sidecar.pid
    before = report.cpu_s(entry), report.cpu_s(sidecar)
    time.sleep(IDLE_S)
    return {
        'entry_core_share': report.rounded(
            (report.cpu_s(entry) - before[0]) / IDLE_S,
        ),
        'sidecar_core_share': report.rounded(
            (report.cpu_s(sidecar) - before[1]) / IDLE_S,
        ),
        'links': len(fleet.upstreams),
    }


def _memory(fleet: Fleet) -> dict[str, float]:
    """Return resident memory and its slopes."""
    entry = fleet.entries[0]
    idle = report.resident_mb(entry.child.pid)
    sidecar = fleet.upstreams[0].sidecar.pid
    sidecar_idle = report.resident_mb(sidecar)
    host, _, port = entry.url.removeprefix('http://').partition(':')
    with ExitStack() as stack:
        for _ in range(CONNECTIONS):
            opened = socket.create_connection((host, int(port)))
            stack.enter_context(closing(opened))
        time.sleep(1)
        connected = report.resident_mb(entry.child.pid)
    before = report.resident_mb(entry.child.pid)
    took = _publish_organisations(fleet)
    after = report.resident_mb(entry.child.pid)
    return {
        'entry_idle_mb': report.rounded(idle),
        'sidecar_idle_mb': report.rounded(sidecar_idle),
        'kb_a_connection': report.rounded(
            1000 * (connected - idle) / CONNECTIONS
        ),
        'organisations': ORGANISATIONS,
        'entry_mb_with_them': report.rounded(after),
        'sidecar_mb_with_them': report.rounded(report.resident_mb(sidecar)),
        'kb_an_organisation': report.rounded(
            1000 * (after - before) / ORGANISATIONS
        ),
        'publish_s': report.rounded(took),
    }


def _publish_organisations(fleet: Fleet) -> float:
    """Put a manifest with many organisations in force; return the seconds."""
    manifest: dict[str, Any] = fleet.manifest()
    manifest['organisations'] += [
        {
            'name': f'many-{number}',
            'credentials': [
                f'sha256:{hashlib.sha256(str(number).encode()).hexdigest()}',
            ],
        }
        for number in range(ORGANISATIONS)
    ]
    began = time.monotonic()
    published = fleet.publish(manifest)
    version = json.loads(published.body)['version']
    wait_until(lambda: _everywhere(fleet, version))
    return time.monotonic() - began


def _everywhere(fleet: Fleet, version: int) -> bool:
    status = fleet.status(fleet.entries[0])
    told = [status, *status['upstreams']]
    return all(one['manifest_version'] == version for one in told)
