"""Check a configuration as the operator wrote it, before it is in force."""

from __future__ import annotations

import math
import re
from collections.abc import Iterator
from typing import Any, TypeVar

import msgspec

from ..decoding import Undecodable, decode
from .findings import (
    Finding,
    FindingKind,
    Findings,
    check_above_zero,
    check_priority,
    contradiction,
    error,
    unreachable,
)
from .records import (
    WireDeployment,
    WireEngine,
    WireLimits,
    WireOrganisation,
    WireRoute,
    WireService,
    read_deployment,
)
from .routecheck import check_route

_ERROR_PATH = re.compile(r'(?P<cause>.*) - at `\$(?P<path>.*)`', re.DOTALL)

_Wire = TypeVar('_Wire', bound=msgspec.Struct)


def check_configuration(text: bytes) -> list[Finding]:
    """Return all that is wrong with a configuration in JSON."""
    document = decode(msgspec.json.decode, text)
    if isinstance(document, Undecodable):
        return [error('$', f'is no JSON: {document.cause}')]
    if not isinstance(document, dict):
        return [error('$', 'must be an object')]
    findings = list(_check_document(document))
    if not any(finding.kind is FindingKind.ERROR for finding in findings):
        deployment = read_deployment(text)
        if isinstance(deployment, str):
            findings.append(error('$', deployment))
    return findings


def _check_document(document: dict[str, Any]) -> Findings:
    shells = {**document, 'routes': [], 'services': [], 'tenants': None}
    shells['limits'] = {}
    yield from _convert(shells, WireDeployment, '').findings
    routes = _Members('routes', document.get('routes'), WireRoute)
    services = _Members('services', document.get('services', []), WireService)
    listed = document.get('tenants')
    tenants = _Members(
        'tenants', [] if listed is None else listed, WireOrganisation
    )
    for members in (routes, services, tenants):
        yield from members.findings
        yield from _check_names(members)
    yield from _check_limits(document.get('limits', {}))
    for path, route in routes:
        yield from check_route(path, route, frozenset(services.names))
    yield from _check_shadowed(routes)
    yield from _check_unused(services, routes)
    for path, service in services:
        yield from _check_service(path, service)
    yield from _check_organisations(tenants)
    yield from _check_regions(routes, tenants)


class _Converted(msgspec.Struct):
    """Hold a converted part of the document, or why it has none."""

    wire: Any
    findings: list[Finding]


def _convert(part: object, wire_class: type[_Wire], path: str) -> _Converted:
    try:
        return _Converted(msgspec.convert(part, wire_class), [])
    except msgspec.ValidationError as invalid:
        match = _ERROR_PATH.fullmatch(str(invalid))
        if match is None:
            return _Converted(None, [error(path or '$', str(invalid))])
        full_path = f'{path}{match["path"]}'.removeprefix('.')
        return _Converted(None, [error(full_path, match['cause'])])


class _Members:
    """Hold the valid members of one list, each with its path."""

    def __init__(
        self, name: str, listed: object, wire_class: type[msgspec.Struct]
    ) -> None:
        """Convert each member by itself, so that each fault is found."""
        self.name = name
        self.findings: list[Finding] = []
        self.names: set[str] = set()
        self._members: list[tuple[str, Any]] = []
        if not isinstance(listed, list):
            self.findings.append(error(name, 'must be a list'))
            return
        for index, part in enumerate(listed):
            path = f'{name}[{index}]'
            converted = _convert(part, wire_class, path)
            self.findings.extend(converted.findings)
            if isinstance(part, dict):
                # A faulty member has its name all the same.
                self.names.add(str(part.get('name')))
            if converted.wire is not None:
                self._members.append((path, converted.wire))

    def __iter__(self) -> Iterator[tuple[str, Any]]:
        """Yield the path and the content of each valid member."""
        return iter(self._members)


def _check_names(members: _Members) -> Findings:
    first_paths: dict[str, str] = {}
    for path, member in members:
        if not member.name:
            yield error(f'{path}.name', 'must not be empty')
        first = first_paths.setdefault(member.name, path)
        if first != path:
            text = f'{member.name!r} is the name of {first} too'
            yield contradiction(f'{path}.name', text)


def _check_limits(part: object) -> Findings:
    converted = _convert(part, WireLimits, 'limits')
    yield from converted.findings
    if converted.wire is not None:
        yield from check_above_zero(
            'limits', converted.wire, WireLimits.__struct_fields__
        )


def _check_shadowed(routes: _Members) -> Findings:
    """Report routes whose calls all go to a later one."""
    last_paths = {_match_key(route): path for path, route in routes}
    for path, route in routes:
        last = last_paths[_match_key(route)]
        if last != path:
            text = f'{last} has the same host and path_prefix, and is used'
            yield unreachable(path, text)


def _match_key(route: WireRoute) -> tuple[str, str]:
    return route.host.lower(), route.path_prefix


def _check_unused(services: _Members, routes: _Members) -> Findings:
    used = {
        name
        for _, route in routes
        for name in (
            [share.service for share in route.traffic_split] or [route.service]
        )
    }
    for path, service in services:
        if service.name not in used:
            text = f'no route names the service {service.name!r}'
            yield unreachable(path, text)


def _check_service(path: str, service: WireService) -> Findings:
    for field in ('cold_start_s', 'cold_per_s'):
        if not 0 <= getattr(service, field) < math.inf:
            yield error(f'{path}.{field}', 'must be at least 0')
    if service.cold_start_s and not service.cold_per_s:
        text = 'has no meaning without cold_per_s: upstreams are never cold'
        yield contradiction(f'{path}.cold_start_s', text)
    if service.engine is not None:
        yield from _check_engine(f'{path}.engine', service.engine)


def _check_engine(path: str, engine: WireEngine) -> Findings:
    for field in WireEngine.__struct_fields__:
        if not 0 <= getattr(engine, field) < math.inf:
            yield error(f'{path}.{field}', 'must be at least 0')
    if not engine.experts:
        return
    if not engine.sets:
        text = f'is 0, so the {engine.experts} experts are in no layer set'
        yield contradiction(f'{path}.sets', text)
    if engine.placements > engine.experts:
        text = f'{engine.placements} is more than the {engine.experts} experts'
        yield contradiction(f'{path}.placements', text)
    if engine.spare > engine.placements:
        text = f'{engine.spare} is more than placements {engine.placements}'
        yield contradiction(f'{path}.spare', text)


def _check_organisations(tenants: _Members) -> Findings:
    """Report keys of two organisations; the keys themselves are secret."""
    owners: dict[str, tuple[str, str]] = {}
    for path, tenant in tenants:
        yield from check_priority(path, tenant.priority)
        if not tenant.api_keys:
            text = f'{tenant.name!r} has no key, so no call is its own'
            yield unreachable(f'{path}.api_keys', text)
        for index, key in enumerate(tenant.api_keys):
            key_path = f'{path}.api_keys[{index}]'
            owner, owner_path = owners.get(key, (path, key_path))
            owners[key] = (path, key_path)
            if owner != path:
                text = f'is {owner_path} too; the later organisation counts'
                yield contradiction(key_path, text)


def _check_regions(routes: _Members, tenants: _Members) -> Findings:
    limited = [
        (path, tenant)
        for path, tenant in tenants
        if tenant.allowed_regions is not None
    ]
    for path, member in (*routes, *limited):
        if member.allowed_regions is not None and not member.allowed_regions:
            text = 'allows no region, so all calls are refused'
            yield unreachable(f'{path}.allowed_regions', text)
    for path, route in routes:
        for tenant_path, tenant in limited:
            allowed = set(tenant.allowed_regions)
            if route.allowed_regions and allowed.isdisjoint(
                route.allowed_regions
            ):
                text = (
                    f'has no region in common with {tenant_path}: its calls '
                    'are refused'
                )
                yield contradiction(f'{path}.allowed_regions', text)
