"""Define the interfaces to the platform's services and to rank engines.

Adapters implement them over HTTP, tests in memory.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from .types import DomainName, Offset, ServiceName, UpstreamName


@dataclass(frozen=True, slots=True)
class LogEntry:
    """Hold one log record as read.

    ``appended_at`` is the log's wall clock in milliseconds.
    """

    offset: Offset
    appended_at: int
    text: bytes


@dataclass(frozen=True, slots=True)
class LogBatch:
    """Hold the records of one read in order.

    ``oldest_offset`` is the first that the log still keeps; ``retention_ms``
    is how long it keeps a record.
    """

    oldest_offset: Offset
    records: tuple[LogEntry, ...]
    retention_ms: int


class LogPort(Protocol):
    """Append to and read streams of the platform's log service."""

    async def append(self, stream: str, text: bytes) -> Offset:
        """Append a record and return its offset.

        Raises LogUnavailableError; the record may have been appended even then.
        """

    async def read(self, stream: str, after: int, wait_ms: int) -> LogBatch:
        """Return the records above offset ``after``.

        Waits up to ``wait_ms`` if there is none. Raises LogUnavailableError.
        """


class HostState(Enum):
    """State whether the platform keeps a host or is about to remove it."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclass(frozen=True, slots=True)
class HostRecord:
    """Describe the sidecar of one upstream as listed by the platform.

    ``rank`` is -1 for an upstream that is in no group.
    """

    upstream: UpstreamName
    service: ServiceName
    domain: DomainName
    host: str
    port: int
    state: HostState
    group: str = ''
    rank: int = -1


class HostListPort(Protocol):
    """Read the platform's list of hosts, which lags behind changes."""

    async def hosts(self) -> tuple[HostRecord, ...] | None:
        """Return all listed hosts, or None while the list is unavailable."""


@dataclass(frozen=True, slots=True)
class EngineState:
    """Report a rank engine's map in use, its armed map and measured loads.

    ``version`` and ``ranks``, the rank of each expert, are the map in use;
    ``armed`` and ``armed_ranks`` are the armed map, 0 and empty for none.
    ``step`` is the current step. ``joining`` is true after a restart, until
    the engine has the group's map. ``loads`` has one number per expert, 0 for
    those that this rank does not hold; ``speed`` is relative to that of a
    normal rank, 1.
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
    """Control one rank's engine; ``fence`` is a ballot's fencing number."""

    async def state(self) -> EngineState | None:
        """Return the engine's state, None if it does not respond."""

    async def arm(
        self,
        fence: int,
        version: int,
        from_step: int,
        ranks: tuple[int, ...],
    ) -> bool:
        """Arm a map; return whether the engine will hold at ``from_step``."""

    async def release(self, fence: int, version: int) -> bool:
        """Release an armed map for use; return whether the engine did."""

    async def cancel(self, fence: int, version: int) -> bool:
        """Discard an armed map; return whether the engine did."""


class WeightStorePort(Protocol):
    """Fetch expert weights, limited by the store's rate."""

    async def fetch(self, expert: int) -> bool:
        """Fetch one expert's weights; return whether they arrived."""
