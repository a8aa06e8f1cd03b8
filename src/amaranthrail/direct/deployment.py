"""Describe what one version of the operator's configuration allows."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

import msgspec

from ..types import DomainName, Millis, OrganisationName, ServiceName

DEFAULT_PRIORITY = 5
#: Limits until a configuration states its own, in ms; those of the users'
#: sheets.
DEFAULT_HEADER_TIMEOUT_MS = 3000
DEFAULT_IDLE_TIMEOUT_MS = 15_000

#: What is higher in the later of two records of one upstream: the wall time of
#: its start, then the count of its records since.
OrderKey = tuple[int, int]


class CallKind(Enum):
    """Say whether a call may run again, and how its answer arrives."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAMING = 'streaming'


class ServiceShare(msgspec.Struct, frozen=True):
    """Hold a service and its weight among those of a route."""

    service: ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Say where the calls under a host and a path prefix go.

    ``timeout_ms`` bounds the whole answer, ``target_ms`` is the time in which
    it should begin, and ``target_gap_ms`` the longest pause in a stream.
    """

    name: str
    host: str
    prefix: str
    kind: CallKind
    shares: tuple[ServiceShare, ...]
    timeout_ms: Millis
    target_ms: Millis
    priority: int = DEFAULT_PRIORITY
    max_attempts: int = 1
    anonymous: bool = False
    resumable: bool = False
    target_gap_ms: Millis | None = None

    @property
    def streaming(self) -> bool:
        """Tell whether answers are event streams."""
        return self.kind is CallKind.STREAMING

    @property
    def retryable(self) -> bool:
        """Tell whether a call that may have run may be sent again."""
        if self.streaming:
            return self.resumable
        return self.kind is CallKind.IDEMPOTENT


class ExpertLayout(msgspec.Struct, frozen=True):
    """Give the shape of the expert maps of a service's rank groups.

    ``placements`` bounds the experts of one layer set on one rank, ``spare``
    the new ones that a rank can copy for one map; each takes ``copy_ms``.
    """

    sets: int
    experts: int
    placements: int
    spare: int
    copy_ms: float = 0


class Engine(msgspec.Struct, frozen=True):
    """Describe the engines of a service.

    They write in passes, each ``tokens_per_step`` of each stream.
    """

    tokens_per_step: int


class Service(msgspec.Struct, frozen=True):
    """Describe the replicas behind one name."""

    name: ServiceName
    layout: ExpertLayout | None = None
    engine: Engine | None = None


class CallerLimits(msgspec.Struct, frozen=True):
    """Bound what callers may send and how long they may take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = DEFAULT_HEADER_TIMEOUT_MS
    idle_timeout_ms: float = DEFAULT_IDLE_TIMEOUT_MS


class Organisation(msgspec.Struct, frozen=True):
    """Name an organisation; its priority, if any, overrides the route's."""

    name: OrganisationName
    priority: int | None = None


@dataclass(frozen=True)
class Deployment:
    """Hold one accepted configuration, with the bytes it was read from.

    ``credentials`` is None where the configuration names no organisations:
    every caller is then anonymous.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[ServiceName, Service]
    limits: CallerLimits
    credentials: Mapping[str, Organisation] | None
    text: bytes
    _by_host: dict[str, dict[str, Route]] = field(
        init=False,
        default_factory=dict,
        repr=False,
    )

    def __post_init__(self) -> None:
        """Index the routes by host and prefix."""
        for route in self.routes:
            prefixes = self._by_host.setdefault(route.host.lower(), {})
            prefixes[route.prefix] = route

    def target_gap_ms(self, service: ServiceName) -> Millis | None:
        """Return the shortest pause that a service's streams may have."""
        gaps = [
            route.target_gap_ms
            for route in self.routes
            for share in route.shares
            if share.service == service and route.target_gap_ms is not None
        ]
        return min(gaps, default=None)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, if any."""
        prefixes = self._by_host.get(host.lower())
        end = len(path)
        while prefixes:
            end = path.rfind('/', 0, end)
            if end < 0:
                break
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None


class UpstreamState(Enum):
    """Say whether an upstream takes new work."""

    READY = 'ready'
    DRAINING = 'draining'


class UpstreamRecord(msgspec.Struct, frozen=True):
    """Hold what an upstream last said of itself.

    ``started_at`` is the wall time of its start and ``sequence`` counts what it
    has written since; both order records of one name.
    """

    name: str
    service: ServiceName
    host: str
    port: int
    domain: DomainName
    slots: int
    state: UpstreamState
    started_at: int
    sequence: int
    text: bytes = b''

    @property
    def order_key(self) -> OrderKey:
        """Return what is higher in the later of two records of one name."""
        return self.started_at, self.sequence
