"""Decode the records that the operator and upstreams write to the store."""

from __future__ import annotations

from functools import partial
from ipaddress import ip_address

import msgspec

from ..adapters.httpclient import MAX_PORT
from ..clock import MS_PER_SECOND
from ..decoding import Undecodable, Whole, decode, parse_count
from ..direct.deployment import (
    DEFAULT_PRIORITY,
    CallerLimits,
    CallKind,
    Deployment,
    Engine,
    ExpertLayout,
    Organisation,
    Route,
    Service,
    ServiceShare,
    UpstreamRecord,
    UpstreamState,
)
from ..types import (
    DomainName,
    Millis,
    OrganisationName,
    RegionName,
    ServiceName,
)
from .headers import is_sendable

_BITS = 8
#: Lowest link speed that is used, in megabits per second; a record may state 0.
_MIN_LINK_MBPS = 1.0
#: Longest time for which an upstream counts as cold, in ms. Reports of load
#: carry it as an integer, which cannot be encoded from 2**64 on.
_MAX_COLD_MS = 1e12


class _WireServiceShare(msgspec.Struct):
    service: str
    weight: float = 1


class WireRoute(msgspec.Struct):
    """Hold a route as it is written."""

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float = 0
    priority: int = DEFAULT_PRIORITY
    service: str = ''
    traffic_split: list[_WireServiceShare] = []
    max_attempts: int = 1
    allow_anonymous: bool = False
    stream_resume: bool = False
    target_gap_ms: float | None = None
    allowed_regions: list[str] | None = None


class WireEngine(msgspec.Struct):
    """Hold the description of engines as it is written."""

    # Sets of layers that share one placement, and the experts in each.
    sets: int = 0
    experts: int = 0
    # Experts that one rank may hold in one set, replicas included.
    placements: int = 0
    # Experts new to a rank that one map may add to it in one set.
    spare: int = 0
    # Megabytes of one expert's weights, and megabits per second between hosts.
    expert_mb: float = 0
    link_mbps: float = 1
    # Decoding iterations in one engine step, each of which writes one token of
    # each stream.
    stride: int = 1
    # Memory for the keys and values of this many tokens.
    kv_capacity_tokens: int = 0
    form_ms: float = 0


class WireService(msgspec.Struct):
    """Hold a service as it is written."""

    name: str
    engine: WireEngine | None = None
    # Time for which an upstream is slow after its start, and the calls a second
    # that it takes from all hosts together meanwhile.
    cold_start_s: float = 0
    cold_per_s: float = 0


class WireLimits(msgspec.Struct):
    """Hold the limits of callers' requests as they are written."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15_000


class WireOrganisation(msgspec.Struct):
    """Hold an organisation as it is written."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None
    allowed_regions: list[str] | None = None


class WireDeployment(msgspec.Struct):
    """Hold a configuration as it is written."""

    version: Whole
    routes: list[WireRoute]
    services: list[WireService] = []
    limits: WireLimits = msgspec.field(default_factory=WireLimits)
    tenants: list[WireOrganisation] | None = None


class _WireUpstream(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: str
    # Number of times that the upstream has written here. The counter of the
    # same name for orders is in the upstream's report.
    sequence: Whole
    slots: Whole
    # Version of its software, and time for which it remains slow, in ms.
    version: str
    cold_remaining_ms: float
    # Wall-clock time of its start, in milliseconds since the Unix epoch.
    born: Whole = 0


_deployment_decoder = msgspec.json.Decoder(WireDeployment)
_upstream_decoder = msgspec.json.Decoder(_WireUpstream)


def read_deployment(text: bytes) -> Deployment | str:
    """Return the configuration in a record, or an error message."""
    deployment = decode(_parse_deployment, text)
    if isinstance(deployment, Undecodable):
        return f'configuration is not valid: {deployment.cause}'
    return deployment


def read_upstream(name: str, text: bytes) -> UpstreamRecord | str:
    """Return an upstream's record, or an error message with its name."""
    record = decode(partial(_parse_upstream, name), text)
    if isinstance(record, Undecodable):
        return f'upstream {name!r} has no valid record: {record.cause}'
    return record


def _parse_deployment(text: bytes) -> Deployment:
    wire = _deployment_decoder.decode(text)
    credentials: dict[str, Organisation] | None = None
    if wire.tenants is not None:
        credentials = _index_credentials(wire.tenants)
    return Deployment(
        wire.version,
        tuple(_to_route(route) for route in wire.routes),
        {
            ServiceName(service.name): _to_service(service)
            for service in wire.services
        },
        _to_limits(wire.limits),
        credentials,
        text,
    )


def _parse_upstream(name: str, text: bytes) -> UpstreamRecord:
    if not is_sendable(name):
        raise ValueError('its name cannot be sent in a header field')
    wire = _upstream_decoder.decode(text)
    host, _, port = wire.address.rpartition(':')
    port_number = parse_count(port) or 0
    if not 0 < port_number <= MAX_PORT:
        raise ValueError(f'port {port!r} is not from 1 to {MAX_PORT}')
    if not wire.service:
        raise ValueError('it has no service')
    return UpstreamRecord(
        name,
        ServiceName(wire.service),
        str(ip_address(host)),
        port_number,
        DomainName(wire.zone),
        max(1, wire.slots),
        UpstreamState(wire.state),
        wire.born,
        wire.sequence,
        text,
        _limit_cold_ms(wire.cold_remaining_ms),
    )


def _limit_cold_ms(time_ms: float) -> float:
    return min(max(0, time_ms), _MAX_COLD_MS)


def _to_route(wire: WireRoute) -> Route:
    shares = tuple(
        ServiceShare(ServiceName(share.service), share.weight)
        for share in wire.traffic_split
    )
    if not shares:
        shares = (ServiceShare(ServiceName(wire.service), 1),)
    gap = wire.target_gap_ms
    return Route(
        name=wire.name,
        host=wire.host,
        prefix=wire.path_prefix,
        kind=CallKind(wire.kind),
        shares=shares,
        timeout_ms=Millis(wire.timeout_ms),
        target_ms=Millis(wire.target_latency_ms),
        priority=wire.priority,
        max_attempts=max(1, wire.max_attempts),
        anonymous=wire.allow_anonymous,
        resumable=wire.stream_resume,
        target_gap_ms=None if gap is None else Millis(gap),
        allowed_regions=_to_regions(wire.allowed_regions),
    )


def _to_regions(names: list[str] | None) -> frozenset[RegionName] | None:
    return None if names is None else frozenset(map(RegionName, names))


def _to_service(wire: WireService) -> Service:
    layout = None
    engine = wire.engine
    cold_start_ms = _limit_cold_ms(wire.cold_start_s * MS_PER_SECOND)
    cold_per_s = max(0, wire.cold_per_s)
    if engine is None:
        return Service(
            ServiceName(wire.name),
            cold_start_ms=cold_start_ms,
            cold_per_s=cold_per_s,
        )
    if engine.experts:
        layout = ExpertLayout(
            engine.sets,
            engine.experts,
            engine.placements,
            engine.spare,
            engine.expert_mb * _BITS / _link_mbps(engine) * MS_PER_SECOND,
        )
    return Service(
        ServiceName(wire.name),
        layout,
        Engine(
            max(1, engine.stride),
            max(0, engine.kv_capacity_tokens),
            max(0, engine.form_ms),
        ),
        cold_start_ms,
        cold_per_s,
    )


def _link_mbps(engine: WireEngine) -> float:
    return max(_MIN_LINK_MBPS, engine.link_mbps)


def _to_limits(wire: WireLimits) -> CallerLimits:
    return CallerLimits(
        wire.max_header_bytes,
        wire.max_body_bytes,
        wire.header_timeout_ms,
        wire.idle_timeout_ms,
    )


def _index_credentials(
    tenants: list[WireOrganisation],
) -> dict[str, Organisation]:
    """Return each organisation under each of its API keys."""
    return {
        key: Organisation(
            OrganisationName(tenant.name),
            tenant.priority,
            _to_regions(tenant.allowed_regions),
        )
        for tenant in tenants
        for key in tenant.api_keys
    }
