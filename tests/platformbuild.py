"""Build settings, records and requests in the formats of the platform."""

from __future__ import annotations

import json
from typing import Any

from amaranthrail.adapters.httpserver import HttpRequest
from amaranthrail.direct.deployment import UpstreamRecord
from amaranthrail.platform.records import read_upstream
from amaranthrail.types import HeaderList

SETTINGS = """
node_name=front-a-1
role=entry
ip=127.0.0.1
zone=a
listen.front=127.0.0.1:8227
listen.ready=127.0.0.1:8220
internal_ports=7340,7355
seed_nodes=127.0.0.2:8229,127.0.0.3:8229
limits.max_fds=4100
bounds.grace_s=8
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.retry_budget_slack=92
platform.address=127.0.0.9:8223
a.field.of.tomorrow=1
"""


class FakeTime:
    """Return a time in seconds that only a test moves, for Clock."""

    def __init__(self) -> None:
        self.now_s = 100.0

    def __call__(self) -> float:
        return self.now_s

    def advance_ms(self, duration_ms: float) -> None:
        self.now_s += duration_ms / 1000


def configuration(
    version: int = 1, gap_ms: float | None = None, **changes: Any
) -> bytes:
    """Return a configuration record with a route for each kind of call.

    ``gap_ms`` is the target gap of the route with streams.
    """
    fields: dict[str, Any] = {
        'version': version,
        'routes': [
            route(
                'stream',
                'streaming',
                'engine',
                stream_resume=True,
                target_gap_ms=gap_ms,
            ),
            route('read', 'idempotent', 'plain', max_attempts=2),
            route('book', 'non_idempotent', 'plain'),
        ],
        'services': [
            {'name': 'engine', 'max_connections': 64},
            {'name': 'plain'},
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4096,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': 'band', 'api_keys': ['k1', 'k2']}],
    }
    return json.dumps({**fields, **changes}).encode()


def engine_fields(**changes: Any) -> dict[str, Any]:
    """Return the engine of a service with one layer set of experts."""
    fields: dict[str, Any] = {
        'sets': 1,
        'experts': 8,
        'placements': 3,
        'spare': 2,
        'expert_mb': 1,
        'link_mbps': 800,
        'stride': 5,
    }
    return {**fields, **changes}


def route(name: str, kind: str, service: str, **changes: Any) -> dict[str, Any]:
    fields: dict[str, Any] = {
        'name': name,
        'host': 'h.example',
        'path_prefix': f'/{name}/',
        'kind': kind,
        'timeout_ms': 2000,
        'target_latency_ms': 400,
        'priority': 1,
        'service': service,
        'max_attempts': 2 if kind == 'streaming' else 1,
    }
    return {**fields, **changes}


def upstream_record(address: str, **changes: Any) -> bytes:
    fields: dict[str, Any] = {
        'service': 'plain',
        'address': address,
        'zone': 'a',
        'version': 'v1',
        'slots': 6,
        'state': 'ready',
        'cold_remaining_ms': 0,
        'sequence': 1,
        'born': 1000,
    }
    return json.dumps({**fields, **changes}).encode()


def direct_upstream(name: str, **changes: Any) -> UpstreamRecord:
    """Return an upstream's record as an entry keeps it."""
    record = read_upstream(name, upstream_record('10.0.0.9:80', **changes))
    assert isinstance(record, UpstreamRecord)
    return record


def request(
    path: str = '/read/1',
    headers: HeaderList = (),
    method: str = 'GET',
) -> HttpRequest:
    fixed = (('host', 'h.example'), ('attempt-id', 'a1'))
    return HttpRequest(method, path, (*fixed, *headers), b'')
