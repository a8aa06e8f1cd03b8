"""Declare what a direct entry needs from the platform that it runs on."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Protocol

import msgspec

from ..adapters.httpserver import HttpRequest
from ..outcomes import Refusal
from ..types import HeaderList, Millis, OrganisationName
from .deployment import Deployment, UpstreamRecord


class Topic(Enum):
    """Name the keyed topics of the store that an entry uses."""

    CONFIGURATION = 'configuration'
    UPSTREAMS = 'upstreams'
    ENTRIES = 'entries'


class StoreRecord(msgspec.Struct, frozen=True):
    """Hold one record of a topic; without a payload its key is gone."""

    key: str
    payload: bytes | None


class Snapshot(msgspec.Struct, frozen=True):
    """Hold the newest record of each key, as of an end offset."""

    records: tuple[StoreRecord, ...]
    end: int


class Changes(msgspec.Struct, frozen=True):
    """Hold the records from an offset on, and the offset after the last."""

    records: tuple[StoreRecord, ...]
    end: int


class StoreFailure(Enum):
    """Say why the store gave nothing."""

    UNREACHABLE = 'unreachable'
    REFUSED = 'refused'
    HISTORY_GONE = 'history-gone'
    MALFORMED = 'malformed'


class StorePort(Protocol):
    """Read and write the keyed topics of the platform's store."""

    async def read_snapshot(self, topic: Topic) -> Snapshot | StoreFailure:
        """Return the newest record of each key."""

    async def read_changes(
        self,
        topic: Topic,
        offset: int,
        wait_ms: int,
    ) -> Changes | StoreFailure:
        """Return what follows an offset, waiting for it a while."""

    async def write(
        self,
        topic: Topic,
        key: str,
        payload: bytes,
    ) -> StoreFailure | None:
        """Append a record; a failure leaves open whether it was.

        An empty payload drops the key.
        """


class RequestMetadata(msgspec.Struct, frozen=True):
    """Hold what the headers of a caller's request say.

    ``expected_tokens`` is the caller's estimate of the answer's length, often
    far off, and 0 where there is none.
    """

    attempt_id: str
    credential: str | None
    timeout_ms: Millis | None
    last_event_id: str | None
    expected_tokens: int = 0


class ReportedLoad(msgspec.Struct, frozen=True):
    """Hold the load that an upstream states in an answer's headers."""

    running: int
    waiting: int
    slots: int


class ResponseMetadata(msgspec.Struct, frozen=True):
    """Hold what the headers of an upstream's answer say.

    ``not_executed`` is the proof that the call has not run, ``replaced`` says
    that another upstream has the address by now.
    """

    attempt_id: str | None
    signed: bool
    not_executed: bool
    replaced: bool
    encoded: bool
    load: ReportedLoad | None


class ForwardingFields(msgspec.Struct, frozen=True):
    """Hold what an entry adds to a request that it passes on."""

    upstream: str
    remaining_ms: Millis
    organisation: OrganisationName | None
    last_event_id: str | None
    priority: int


class WireFormat(msgspec.Struct, frozen=True):
    """Bundle what translates the platform's formats.

    ``configuration_key`` is the key of the configuration in its topic. What
    reads a record returns a sentence instead where the record is not valid.
    """

    configuration_key: str
    read_request: Callable[[HttpRequest], RequestMetadata]
    request_headers: Callable[[HttpRequest, ForwardingFields], HeaderList]
    read_response: Callable[[int, HeaderList], ResponseMetadata]
    response_headers: Callable[[HeaderList], HeaderList]
    refusal_headers: Callable[[Refusal], HeaderList]
    read_deployment: Callable[[bytes], Deployment | str]
    read_upstream: Callable[[str, bytes], UpstreamRecord | str]
