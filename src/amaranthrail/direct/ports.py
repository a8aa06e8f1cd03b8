"""Declare the store interface and the formats that a platform provides."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Protocol

import msgspec

from ..adapters.httpserver import HttpRequest
from ..outcomes import Refusal
from ..policy.storereads import RESPONSE_TIMEOUT_MS, ReadTimes
from ..types import HeaderList, Millis, OrganisationName, PromptPart
from .deployment import Deployment, UpstreamRecord


class Topic(Enum):
    """Identify the store's keyed topics that an entry uses."""

    CONFIGURATION = 'configuration'
    UPSTREAMS = 'upstreams'
    ENTRIES = 'entries'


class StoreRecord(msgspec.Struct, frozen=True):
    """Hold one record of a topic; None as payload removes its key.

    ``offset`` is its place in the topic, None for a record of a snapshot.
    """

    key: str
    payload: bytes | None
    offset: int | None = None


class Snapshot(msgspec.Struct, frozen=True):
    """Hold the newest record of each key and the offset to read next.

    ``era`` counts how often the store has come back from an older copy.
    """

    records: tuple[StoreRecord, ...]
    end: int
    era: int = 0


class Changes(msgspec.Struct, frozen=True):
    """Hold the records from an offset on and the offset to read next.

    ``era`` is as in Snapshot.
    """

    records: tuple[StoreRecord, ...]
    end: int
    era: int = 0


class StoreFailure(Enum):
    """State why a call to the store failed."""

    UNREACHABLE = 'unreachable'
    REFUSED = 'refused'
    HISTORY_GONE = 'history-gone'
    MALFORMED = 'malformed'


class StorePort(Protocol):
    """Read and write the keyed topics of the platform's store."""

    async def read_snapshot(
        self, topic: Topic, timeout_ms: int = RESPONSE_TIMEOUT_MS
    ) -> Snapshot | StoreFailure:
        """Return the newest record of each key and the end offset.

        A response that takes longer than ``timeout_ms`` is UNREACHABLE.
        """

    async def read_changes(
        self,
        topic: Topic,
        offset: int,
        times: ReadTimes,
    ) -> Changes | StoreFailure:
        """Return the records from an offset on.

        The store holds the read until there is one, or until its time to wait
        is over. A response that is lost is UNREACHABLE.
        """

    async def write(
        self,
        topic: Topic,
        key: str,
        payload: bytes,
    ) -> StoreFailure | None:
        """Append a record; after a failure it may have been appended or not.

        A response that takes longer than RESPONSE_TIMEOUT_MS is UNREACHABLE.
        An empty payload removes the key.
        """


class RequestMetadata(msgspec.Struct, frozen=True):
    """Hold what an entry reads from the headers of a caller's request.

    ``attempt_id`` identifies the call: it is the same for each upstream tried,
    and a response must state it. ``timeout_ms`` is the time left until the
    caller's deadline, ``expected_tokens`` the caller's estimate of the
    response's length, often far off, and 0 where there is none.
    ``shared_parts`` are the parts of its prompt that other requests may have
    too, in order. ``prompt_tokens`` and ``max_output_tokens`` are the sizes
    that the caller states, 0 where it states none.
    """

    attempt_id: str
    credential: str | None
    timeout_ms: Millis | None
    last_event_id: str | None
    expected_tokens: int = 0
    shared_parts: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    max_output_tokens: int = 0

    @property
    def held_tokens(self) -> int:
        """Return the tokens that an upstream may hold for the call."""
        return self.prompt_tokens + self.max_output_tokens


class ReportedLoad(msgspec.Struct, frozen=True):
    """Hold the load that an upstream reports in a response, in calls."""

    running: int
    waiting: int
    slots: int


class UpstreamStatement(msgspec.Struct, frozen=True):
    """Hold what an upstream says of itself in a response.

    ``limit_per_s`` is the rate of calls that it takes from all entries
    together, None where it names none, and ``is_leaving`` says that it is about
    to shut down. ``pause_ms`` is the time for which it wants no call from this
    entry, ``cold_ms`` for how long it is cold, None where it does not say.
    """

    limit_per_s: float | None = None
    is_leaving: bool = False
    pause_ms: float = 0
    cold_ms: float | None = None


class ResponseMetadata(msgspec.Struct, frozen=True):
    """Hold what an entry reads from the headers of a response.

    ``signed`` says that it carries a signature of the upstream.
    ``not_executed`` is proof that the call has not run, ``replaced`` says that
    the address now belongs to another upstream, and ``encoded`` that the body
    has a content encoding. ``statement`` is what the upstream says of itself.
    """

    attempt_id: str | None
    signed: bool
    not_executed: bool
    replaced: bool
    encoded: bool
    load: ReportedLoad | None
    statement: UpstreamStatement


class ForwardingFields(msgspec.Struct, frozen=True):
    """Hold what an entry adds to the headers of a forwarded request."""

    upstream: str
    remaining_ms: Millis
    organisation: OrganisationName | None
    last_event_id: str | None
    priority: int


class WireFormat(msgspec.Struct, frozen=True):
    """Bundle the functions that read and write the platform's formats.

    ``configuration_key`` is the key of the configuration in its topic, where
    ``evacuation_prefix`` begins the key of a failure domain's evacuation.
    ``read_deployment`` and ``read_upstream`` return an error message instead
    where the record is not valid.
    """

    configuration_key: str
    evacuation_prefix: str
    read_request: Callable[[HttpRequest], RequestMetadata]
    request_headers: Callable[[HttpRequest, ForwardingFields], HeaderList]
    read_response: Callable[[int, HeaderList], ResponseMetadata]
    response_headers: Callable[[HeaderList], HeaderList]
    refusal_headers: Callable[[Refusal], HeaderList]
    read_deployment: Callable[[bytes], Deployment | str]
    read_upstream: Callable[[str, bytes], UpstreamRecord | str]
