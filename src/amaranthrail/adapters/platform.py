"""Call the platform's log service and host list over HTTP."""

from __future__ import annotations

import base64
from collections.abc import Callable
from typing import TypeVar

import msgspec

from ..clock import MS_PER_SECOND, move_on_after
from ..decoding import Undecodable, decode
from ..exceptions import HttpError, LogUnavailableError
from ..ports import HostRecord, HostState, LogBatch, LogEntry
from ..types import DomainName, Offset, ServiceName, UpstreamName
from .httpclient import Address, HttpClient, HttpResponse

#: Time for the response to an append.
APPEND_TIMEOUT_MS = 1000
#: Time for the response to a read beyond the wait that the read asks for.
_READ_MARGIN_MS = 1500
#: Time for the response with the host list.
_HOSTS_TIMEOUT_MS = 1000
_HTTP_OK = 200

_Decoded = TypeVar('_Decoded')


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
        """Call the log service at ``address``.

        Appends have a client of their own, apart from reads, which may wait.
        """
        self._appends = HttpClient(address)
        self._reads = HttpClient(address)

    async def append(self, stream: str, text: bytes) -> Offset:
        """Append a record and return its offset; see LogPort."""
        response = await _call(
            self._appends,
            'POST',
            f'/log/{stream}',
            text,
            APPEND_TIMEOUT_MS,
        )
        return _decode(response.body, _parse_append)

    async def read(self, stream: str, after: int, wait_ms: int) -> LogBatch:
        """Return the records above an offset; see LogPort."""
        response = await _call(
            self._reads,
            'GET',
            f'/log/{stream}?after={after}&wait_ms={wait_ms}',
            b'',
            wait_ms + _READ_MARGIN_MS,
        )
        return _decode(response.body, _parse_batch)


class HttpHostList:
    """Implement HostListPort over the platform's HTTP interface."""

    def __init__(self, address: Address) -> None:
        """Call the host list service at ``address``."""
        self._client = HttpClient(address)

    async def hosts(self) -> tuple[HostRecord, ...] | None:
        """Return the listed hosts, None where unavailable; see HostListPort."""
        try:
            response = await _call(
                self._client,
                'GET',
                '/hosts',
                b'',
                _HOSTS_TIMEOUT_MS,
            )
            return _decode(response.body, _parse_hosts)
        except LogUnavailableError:
            return None


def _parse_append(body: bytes) -> Offset:
    return Offset(msgspec.json.decode(body, type=_WireAppend).offset)


def _parse_batch(body: bytes) -> LogBatch:
    batch = msgspec.json.decode(body, type=_WireBatch)
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


def _parse_hosts(body: bytes) -> tuple[HostRecord, ...]:
    hosts = msgspec.json.decode(body, type=list[_WireHost])
    return tuple(_to_host_record(host) for host in hosts)


def _to_host_record(wire: _WireHost) -> HostRecord:
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
    """Return a response of status 200. Raises LogUnavailableError."""
    response: HttpResponse | None = None
    try:
        with move_on_after(timeout_ms):
            response = await client.call(method, target, body=body)
    except HttpError as error:
        raise LogUnavailableError(
            f'platform at {client.address}: {error}',
        ) from error
    if response is None:
        raise LogUnavailableError(
            f'platform at {client.address}: no response within '
            f'{timeout_ms / MS_PER_SECOND:g} s',
        )
    if response.status != _HTTP_OK:
        raise LogUnavailableError(
            f'platform at {client.address}: status {response.status}',
        )
    return response


def _decode(body: bytes, parse: Callable[[bytes], _Decoded]) -> _Decoded:
    """Decode a body. Raises LogUnavailableError where it is invalid."""
    decoded = decode(parse, body)
    if isinstance(decoded, Undecodable):
        raise LogUnavailableError(
            f'platform sent an invalid response: {decoded.cause}',
        )
    return decoded
