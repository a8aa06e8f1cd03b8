"""Check one route of a configuration."""

from __future__ import annotations

import math

from ..direct.deployment import CallKind
from .findings import (
    Findings,
    check_above_zero,
    check_priority,
    contradiction,
    error,
    unreachable,
)
from .records import WireRoute

_KINDS = tuple(kind.value for kind in CallKind)


def check_route(
    path: str, route: WireRoute, services: frozenset[str]
) -> Findings:
    """Return the faults of a route; ``services`` are the names of all."""
    if route.kind not in _KINDS:
        text = f'{route.kind!r} is none of {", ".join(_KINDS)}'
        yield error(f'{path}.kind', text)
    yield from check_above_zero(path, route, ('timeout_ms', 'max_attempts'))
    if route.target_gap_ms is not None:
        yield from check_above_zero(path, route, ('target_gap_ms',))
    if not 0 <= route.target_latency_ms < math.inf:
        yield error(f'{path}.target_latency_ms', 'must be at least 0')
    yield from _check_match(path, route)
    yield from _check_shares(path, route, services)
    yield from _check_times(path, route)
    yield from _check_attempts(path, route)
    yield from check_priority(path, route.priority)


def _check_match(path: str, route: WireRoute) -> Findings:
    """Report hosts and prefixes that no request has."""
    prefix = route.path_prefix
    if not (prefix.startswith('/') and prefix.endswith('/')):
        text = f'{prefix!r} matches no path: begin and end it with /'
        yield unreachable(f'{path}.path_prefix', text)
    if not route.host or ':' in route.host or route.host != route.host.strip():
        text = f'{route.host!r} matches no request: give a name without a port'
        yield unreachable(f'{path}.host', text)


def _check_shares(
    path: str, route: WireRoute, services: frozenset[str]
) -> Findings:
    shares = route.traffic_split
    if not shares:
        yield from _check_service_name(
            f'{path}.service', route.service, services
        )
        return
    split_services = {part.service for part in shares}
    if route.service and route.service not in split_services:
        text = f'{route.service!r} has no part of traffic_split'
        yield contradiction(f'{path}.service', text)
    for index, share in enumerate(shares):
        share_path = f'{path}.traffic_split[{index}]'
        yield from _check_service_name(
            f'{share_path}.service', share.service, services
        )
        if not 0 <= share.weight < math.inf:
            yield error(f'{share_path}.weight', 'must be at least 0')
        elif not share.weight and len(shares) > 1:
            text = f'is 0, so {share.service!r} gets no call of the route'
            yield unreachable(f'{share_path}.weight', text)
    if len(shares) > 1 and not any(part.weight for part in shares):
        yield error(f'{path}.traffic_split', 'needs a weight above 0')


def _check_service_name(
    path: str, name: str, services: frozenset[str]
) -> Findings:
    if not name:
        yield error(path, 'name a service')
    elif name not in services:
        yield error(path, f'{name!r} is not in services')


def _check_times(path: str, route: WireRoute) -> Findings:
    for field in ('target_latency_ms', 'target_gap_ms'):
        target_ms = getattr(route, field) or 0
        if target_ms > route.timeout_ms:
            text = (
                f'{route.timeout_ms:g} is below {field} {target_ms:g}: calls '
                'end before they are late'
            )
            yield contradiction(f'{path}.timeout_ms', text)


def _check_attempts(path: str, route: WireRoute) -> Findings:
    is_streaming = route.kind == CallKind.STREAMING.value
    if route.stream_resume and not is_streaming:
        text = f'has no meaning for kind {route.kind!r}'
        yield contradiction(f'{path}.stream_resume', text)
    if route.target_gap_ms is not None and not is_streaming:
        text = f'has no meaning for kind {route.kind!r}'
        yield contradiction(f'{path}.target_gap_ms', text)
    is_run_once = route.kind == CallKind.NON_IDEMPOTENT.value
    if is_run_once and route.max_attempts > 1:
        text = (
            f'is {route.max_attempts}, but the route is non_idempotent: a call '
            'that may have run is not sent again'
        )
        yield contradiction(f'{path}.max_attempts', text)
