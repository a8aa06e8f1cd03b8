"""Define a parsed configuration version and the upstreams' records."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

import msgspec

from ..types import (
    DomainName,
    Millis,
    OrganisationName,
    RegionName,
    ServiceName,
)

#: Priority of a route whose configuration states none.
DEFAULT_PRIORITY = 5
#: Time limits where a configuration states none, in ms: those of the users'
#: data sheets.
DEFAULT_HEADER_TIMEOUT_MS = 3000
DEFAULT_IDLE_TIMEOUT_MS = 15_000

#: Orders the records of one upstream, later is greater: the wall time of its
#: start in ms, then the number of the record since that start.
OrderKey = tuple[int, int]


class CallKind(Enum):
    """State whether a call may be retried and whether it is streamed."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAMING = 'streaming'


class ServiceShare(msgspec.Struct, frozen=True):
    """Give a service its weight in the traffic split of a route."""

    service: ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Map the calls under a host and a path prefix to services.

    ``timeout_ms`` bounds the time to the end of the response, ``target_ms`` is
    the target time until it begins, and ``target_gap_ms`` the target for the
    longest gap between events of a stream. ``max_attempts`` includes the first
    attempt. ``allowed_regions`` are those whose upstreams may get the calls,
    None for all.
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
    allowed_regions: frozenset[RegionName] | None = None

    @property
    def streaming(self) -> bool:
        """Tell whether responses are event streams."""
        return self.kind is CallKind.STREAMING

    @property
    def retryable(self) -> bool:
        """Tell whether a call that may have run may be retried."""
        if self.streaming:
            return self.resumable
        return self.kind is CallKind.IDEMPOTENT


class ExpertLayout(msgspec.Struct, frozen=True):
    """Bound the expert maps of a service's rank groups.

    ``sets`` is the number of layer sets and ``experts`` that of the experts in
    each. ``placements`` bounds the experts, replicas included, of one layer set
    on one rank, ``spare`` those that one map change may copy to a rank; copying
    one takes ``copy_ms``.
    """

    sets: int
    experts: int
    placements: int
    spare: int
    copy_ms: float = 0


class Engine(msgspec.Struct, frozen=True):
    """Describe the engines of a service.

    Each engine step writes ``tokens_per_step`` tokens of every stream.
    ``memory_tokens`` is how many tokens of prompts and output an engine can
    hold, 0 where it is not stated. A rank group that has lost a rank opens
    ``form_ms`` after the rank's return.
    """

    tokens_per_step: int
    memory_tokens: int = 0
    form_ms: float = 0


class Service(msgspec.Struct, frozen=True):
    """Describe one service; plain services have no engine and no layout.

    An upstream is cold for ``cold_start_ms`` after its start and then takes
    ``cold_per_s`` calls a second from all entries together, 0 for no limit.
    """

    name: ServiceName
    layout: ExpertLayout | None = None
    engine: Engine | None = None
    cold_start_ms: float = 0
    cold_per_s: float = 0


class CallerLimits(msgspec.Struct, frozen=True):
    """Bound the size of callers' requests in bytes and their time in ms."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = DEFAULT_HEADER_TIMEOUT_MS
    idle_timeout_ms: float = DEFAULT_IDLE_TIMEOUT_MS


class Organisation(msgspec.Struct, frozen=True):
    """Identify a caller's organisation; its priority overrides the route's.

    Where it and the route both have ``allowed_regions``, both apply.
    """

    name: OrganisationName
    priority: int | None = None
    allowed_regions: frozenset[RegionName] | None = None


@dataclass(frozen=True)
class Deployment:
    """Hold one valid configuration and the payload it was read from.

    ``credentials`` maps API keys to organisations. It is None where the
    configuration names no organisations: every caller is then anonymous.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[ServiceName, Service]
    limits: CallerLimits
    credentials: Mapping[str, Organisation] | None
    payload: bytes
    _by_host: dict[str, dict[str, Route]] = field(
        init=False,
        default_factory=dict,
        repr=False,
    )

    _most_urgent: dict[ServiceName, int] = field(
        init=False,
        default_factory=dict,
        repr=False,
    )

    def __post_init__(self) -> None:
        """Index the routes by host and prefix, and services by priority."""
        for route in self.routes:
            prefixes = self._by_host.setdefault(route.host.lower(), {})
            prefixes[route.prefix] = route
            for share in route.shares:
                known = self._most_urgent.get(share.service, route.priority)
                self._most_urgent[share.service] = min(known, route.priority)

    def urgency_rank(self, service: ServiceName, priority: int) -> int:
        """Return how far a priority is behind the service's most urgent one.

        The result is 0 for a call of the most urgent route or above.
        """
        most_urgent = self._most_urgent.get(service, priority)
        return max(0, priority - most_urgent)

    def target_gap_ms(self, service: ServiceName) -> Millis | None:
        """Return the least target gap among a service's routes, in ms."""
        gaps = [
            route.target_gap_ms
            for route in self.routes
            for share in route.shares
            if share.service == service and route.target_gap_ms is not None
        ]
        return min(gaps, default=None)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix, if any."""
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
    """State whether an upstream accepts new calls."""

    READY = 'ready'
    DRAINING = 'draining'


class UpstreamRecord(msgspec.Struct, frozen=True):
    """Hold an upstream's latest record, as it wrote it to the store.

    ``started_at`` is the wall time of its start in ms and ``sequence`` counts
    the records written since; together they order the records of one name.
    ``cold_ms`` is how long the upstream remained cold when it wrote the record.
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
    payload: bytes = b''
    cold_ms: float = 0

    @property
    def order_key(self) -> OrderKey:
        """Return a key that is greater for the later of two records."""
        return self.started_at, self.sequence
