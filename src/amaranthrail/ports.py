"""Declare what the product needs from the platform.

Adapters implement these over HTTP; tests implement them in memory.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from .types import DomainName, Offset, ServiceName, UpstreamName


@dataclass(frozen=True, slots=True)
class LogEntry:
    """Hold one record of the log as it was read."""

    offset: Offset
    appended_at: int
    text: bytes


@dataclass(frozen=True, slots=True)
class LogBatch:
    """Hold records in order; ``first`` is the oldest offset still kept."""

    first: Offset
    records: tuple[LogEntry, ...]
    retention_ms: int


class LogPort(Protocol):
    """Append to and read the platform's log service."""

    async def append(self, stream: str, text: bytes) -> Offset:
        """Append a record and return its offset.

        Raises LogUnavailableError; the record may be in the log all the same.
        """

    async def read(self, stream: str, after: int, wait_ms: int) -> LogBatch:
        """Return records above an offset, waiting for one if there is none.

        Raises LogUnavailableError.
        """


class HostState(Enum):
    """Say whether the platform means to keep a host."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclass(frozen=True, slots=True)
class HostRecord:
    """Describe one upstream host's slot as the platform lists it."""

    upstream: UpstreamName
    service: ServiceName
    domain: DomainName
    host: str
    port: int
    state: HostState
    group: str = ''
    rank: int = -1


class HostListPort(Protocol):
    """Read the platform's lagging list of hosts."""

    async def hosts(self) -> tuple[HostRecord, ...] | None:
        """Return all listed hosts, or None while the list cannot be had."""


@dataclass(frozen=True, slots=True)
class EngineState:
    """Hold what a rank's engine uses, is armed with and has measured.

    ``loads`` has one number an expert that this rank holds, 0 for the others.
    """

    step: int
    version: int
    ranks: tuple[int, ...]
    armed: int = 0
    armed_ranks: tuple[int, ...] = ()
    confirmed: bool = False
    joining: bool = False
    loads: tuple[float, ...] = ()
    speed: float = 1


class RankEnginePort(Protocol):
    """Order one rank's engine; ``fence`` grows with every coordinator."""

    async def state(self) -> EngineState | None:
        """Return the engine's state, None where it does not answer."""

    async def arm(
        self,
        fence: int,
        version: int,
        from_step: int,
        ranks: tuple[int, ...],
    ) -> bool:
        """Arm a map; tell whether the engine will hold at that step."""

    async def release(self, fence: int, version: int) -> bool:
        """Let an armed map come into use."""

    async def cancel(self, fence: int, version: int) -> bool:
        """Drop an armed map."""


class WeightStorePort(Protocol):
    """Fetch weights, at the rate that the store allows."""

    async def fetch(self, expert: int) -> bool:
        """Fetch one expert's weights; tell whether they came."""
