"""Reach the platform's log service and host list over HTTP."""

from __future__ import annotations

import base64
from typing import TypeVar

import msgspec

from ..clock import MS_PER_SECOND, move_on_after
from ..exceptions import HttpError, LogUnavailableError
from ..ports import HostRecord, HostState, LogBatch, LogEntry
from ..types import DomainName, Offset, ServiceName, UpstreamName
from .httpclient import Address, HttpClient, HttpResponse

APPEND_TIMEOUT_MS = 1000
_READ_MARGIN_MS = 1500
_HOSTS_TIMEOUT_MS = 1000
_HTTP_OK = 200

_Wire = TypeVar('_Wire')


class _WireEntry(msgspec.Struct):
    offset: int
    time: int
    record: str


class _WireBatch(msgspec.Struct):
    first: int
    retention_ms: int
    records: list[_WireEntry]


class _WireAppend(msgspec.Struct):
    offset: int


class _WireHost(msgspec.Struct):
    upstream: str
    service: str
    domain: str
    host: str
    port: int
    state: str
    group: str = ''
    rank: int = -1


class HttpLog:
    """Implement LogPort over the platform's HTTP interface."""

    def __init__(self, address: Address) -> None:
        """Take the address of the log service."""
        self._appends = HttpClient(address)
        self._reads = HttpClient(address)

    async def append(self, stream: str, text: bytes) -> Offset:
        """Append a record; see LogPort."""
        answer = await _call(
            self._appends,
            'POST',
            f'/log/{stream}',
            text,
            APPEND_TIMEOUT_MS,
        )
        return Offset(_decode(answer.body, _WireAppend).offset)

    async def read(self, stream: str, after: int, wait_ms: int) -> LogBatch:
        """Read records above an offset; see LogPort."""
        answer = await _call(
            self._reads,
            'GET',
            f'/log/{stream}?after={after}&wait_ms={wait_ms}',
            b'',
            wait_ms + _READ_MARGIN_MS,
        )
        batch = _decode(answer.body, _WireBatch)
        return LogBatch(
            Offset(batch.first),
            tuple(
                LogEntry(
                    Offset(entry.offset),
                    entry.time,
                    base64.b64decode(entry.record),
                )
                for entry in batch.records
            ),
            batch.retention_ms,
        )


class HttpHostList:
    """Implement HostListPort over the platform's HTTP interface."""

    def __init__(self, address: Address) -> None:
        """Take the address of the host list."""
        self._client = HttpClient(address)

    async def hosts(self) -> tuple[HostRecord, ...] | None:
        """Return the listed hosts, or None; see HostListPort."""
        try:
            answer = await _call(
                self._client,
                'GET',
                '/hosts',
                b'',
                _HOSTS_TIMEOUT_MS,
            )
            wire = _decode(answer.body, list[_WireHost])
        except LogUnavailableError:
            return None
        return tuple(_host(entry) for entry in wire)


def _host(wire: _WireHost) -> HostRecord:
    return HostRecord(
        UpstreamName(wire.upstream),
        ServiceName(wire.service),
        DomainName(wire.domain),
        wire.host,
        wire.port,
        HostState(wire.state),
        wire.group,
        wire.rank,
    )


async def _call(
    client: HttpClient,
    method: str,
    target: str,
    body: bytes,
    timeout_ms: int,
) -> HttpResponse:
    answer: HttpResponse | None = None
    try:
        with move_on_after(timeout_ms):
            answer = await client.call(method, target, body=body)
    except HttpError as error:
        raise LogUnavailableError(
            f'platform at {client.address}: {error}',
        ) from error
    if answer is None:
        raise LogUnavailableError(
            f'platform at {client.address}: no answer within '
            f'{timeout_ms / MS_PER_SECOND:g} s',
        )
    if answer.status != _HTTP_OK:
        raise LogUnavailableError(
            f'platform at {client.address}: status {answer.status}',
        )
    return answer


def _decode(body: bytes, kind: type[_Wire]) -> _Wire:
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.DecodeError as error:
        raise LogUnavailableError(
            f'platform sent no valid answer: {error}',
        ) from error
