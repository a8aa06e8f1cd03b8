"""Read and write keyed topics of the platform's metadata store over HTTP."""

from __future__ import annotations

import base64
import struct
from functools import partial
from types import MappingProxyType
from urllib.parse import quote

import msgspec
import trio

from ..adapters.httpclient import Address, HttpClient, HttpResponse
from ..clock import Clock, move_on_after
from ..decoding import Undecodable, decode, parse_count
from ..direct.ports import (
    Changes,
    Snapshot,
    StoreFailure,
    StoreRecord,
    Topic,
)
from ..exceptions import HttpError
from ..logs import part_logger
from ..policy.storereads import RESPONSE_TIMEOUT_MS, ReadTimes
from ..types import Millis

_MAX_READ_KB = 1024
#: Records that are decoded in one step: a millisecond or two.
_RECORDS_PER_STEP = 1000
_HTTP_OK = 200
_HTTP_GONE = 410
#: Head of a read's response: the end offset, then the oldest offset kept.
_OFFSETS = struct.Struct('>QQ')
_LENGTH = struct.Struct('>I')
_TOPIC_NAMES = MappingProxyType(
    {
        Topic.CONFIGURATION: 'keyed.op',
        Topic.UPSTREAMS: 'keyed.servers',
        Topic.ENTRIES: 'keyed.entries',
    },
)
_log = part_logger('store')


class _WireItem(msgspec.Struct):
    key: str
    payload: str = msgspec.field(name='value')


class _WirePage(msgspec.Struct):
    records: list[_WireItem] = msgspec.field(name='items')
    end_offset: int
    has_more: bool = False


class _Page(msgspec.Struct, frozen=True):
    """Hold the records of one page, and the end of the topic."""

    records: tuple[StoreRecord, ...]
    end: int
    has_more: bool


_page_decoder = msgspec.json.Decoder(_WirePage)


class PlatformStore:
    """Implement StorePort over HTTP."""

    def __init__(self, address: Address) -> None:
        """Set the address of the store."""
        self._client = HttpClient(address)
        self._clock = Clock()
        self._era = 0

    async def read_snapshot(
        self, topic: Topic, timeout_ms: int = RESPONSE_TIMEOUT_MS
    ) -> Snapshot | StoreFailure:
        """Return the newest record of each key; see StorePort."""
        records: list[StoreRecord] = []
        end: int | None = None
        era: int | None = None
        base = f'/amaranthrail/log-newest?topic={_TOPIC_NAMES[topic]}&part=0'
        target = base
        read_targets: set[str] = set()
        while target not in read_targets:
            read_targets.add(target)
            response = await self._call('GET', target, b'', timeout_ms)
            if isinstance(response, StoreFailure):
                return response
            page = decode(_parse_page, response.body)
            if isinstance(page, Undecodable):
                return _malformed(topic, page)
            page_era = self._read_era(response)
            if era not in {None, page_era}:
                # The pages before are of a state that is gone.
                return StoreFailure.HISTORY_GONE
            era = page_era
            records.extend(page.records)
            # Pages are read one after another: what is written meanwhile is
            # read again from the end of the first.
            end = page.end if end is None else end
            if not page.has_more or not page.records:
                return Snapshot(tuple(records), end, era)
            # Other writers may use any characters in a key.
            after = quote(page.records[-1].key, safe='')
            target = f'{base}&after={after}'
        return _malformed(topic, Undecodable(f'page repeated: {target!r}'))

    async def read_changes(
        self,
        topic: Topic,
        offset: int,
        times: ReadTimes,
    ) -> Changes | StoreFailure:
        """Return the records from an offset on; see StorePort."""
        target = (
            f'/amaranthrail/log-read?topic={_TOPIC_NAMES[topic]}&part=0'
            f'&from={offset}&max_kb={_MAX_READ_KB}&wait_ms={times.wait_ms}'
        )
        timeout_ms = times.wait_ms + times.timeout_ms
        response = await self._call('GET', target, b'', timeout_ms)
        if isinstance(response, StoreFailure):
            return response
        decoded = await _decode_records(response.body)
        if isinstance(decoded, Undecodable):
            return _malformed(topic, decoded)
        end, records = decoded
        if end < offset:
            return StoreFailure.HISTORY_GONE
        placed = (
            StoreRecord(record.key, record.payload, offset + index)
            for index, record in enumerate(records)
        )
        return Changes(
            tuple(placed), offset + len(records), self._read_era(response)
        )

    async def write(
        self,
        topic: Topic,
        key: str,
        payload: bytes,
    ) -> StoreFailure | None:
        """Append a record; see StorePort."""
        name = key.encode()
        record = b''.join((bytes((len(name),)), name, payload))
        target = f'/amaranthrail/log-append?topic={_TOPIC_NAMES[topic]}&part=0'
        body = _LENGTH.pack(len(record)) + record
        response = await self._call('POST', target, body)
        return response if isinstance(response, StoreFailure) else None

    def _read_era(self, response: HttpResponse) -> int:
        """Return the era of a response, the latest where it states none."""
        era = parse_count(response.header('store-era') or '')
        if era is not None:
            self._era = era
        return self._era

    async def _call(
        self,
        method: str,
        target: str,
        body: bytes,
        timeout_ms: int = RESPONSE_TIMEOUT_MS,
    ) -> HttpResponse | StoreFailure:
        response: HttpResponse | None = None
        called_at = self._clock.now()
        try:
            with move_on_after(timeout_ms):
                response = await self._client.call(method, target, body=body)
        except HttpError as error:
            self._log_failure('call failed', target, called_at, str(error))
            return StoreFailure.UNREACHABLE
        if response is None:
            self._log_failure('call timed out', target, called_at)
            # What silenced this connection has silenced the idle ones too.
            self._client.close_idle()
            return StoreFailure.UNREACHABLE
        if response.status == _HTTP_OK:
            return response
        if response.status == _HTTP_GONE:
            return StoreFailure.HISTORY_GONE
        _log.warning('call refused', target=target, status=response.status)
        return StoreFailure.REFUSED

    def _log_failure(
        self,
        event: str,
        target: str,
        called_at: Millis,
        cause: str | None = None,
    ) -> None:
        _log.warning(
            event,
            target=target,
            cause=cause,
            took_ms=int(self._clock.now() - called_at),
            idle_connections=self._client.idle_count,
        )


def _parse_page(body: bytes) -> _Page:
    wire = _page_decoder.decode(body)
    return _Page(
        tuple(
            StoreRecord(record.key, base64.b64decode(record.payload))
            for record in wire.records
        ),
        wire.end_offset,
        wire.has_more,
    )


def read_records(body: bytes) -> tuple[int, list[StoreRecord]]:
    """Return the end offset and the records in the response to a read.

    Raises struct.error or ValueError if the bytes are no records.
    """
    end, position = _read_end(body)
    records: list[StoreRecord] = []
    while position < len(body):
        part, position = _read_some(body, position)
        records += part
    return end, records


async def _decode_records(
    body: bytes,
) -> tuple[int, list[StoreRecord]] | Undecodable:
    """Return what ``read_records`` does; other tasks run in between."""
    head = decode(_read_end, body)
    if isinstance(head, Undecodable):
        return head
    end, position = head
    records: list[StoreRecord] = []
    while position < len(body):
        part = decode(partial(_read_some, position=position), body)
        if isinstance(part, Undecodable):
            return part
        records += part[0]
        position = part[1]
        await trio.lowlevel.checkpoint()
    return end, records


def _read_end(body: bytes) -> tuple[int, int]:
    """Return the end offset and the position of the first record."""
    end, _ = _OFFSETS.unpack_from(body)
    return end, _OFFSETS.size


def _read_some(body: bytes, position: int) -> tuple[list[StoreRecord], int]:
    """Return some records from a position on, and the next position."""
    records: list[StoreRecord] = []
    while position < len(body) and len(records) < _RECORDS_PER_STEP:
        length = _LENGTH.unpack_from(body, position)[0]
        position += _LENGTH.size
        record = body[position : position + length]
        if len(record) < length:
            raise ValueError('record is truncated')
        records.append(_read_record(record))
        position += length
    return records, position


def _read_record(record: bytes) -> StoreRecord:
    if not record:
        raise ValueError('record has no key')
    key_end = 1 + record[0]
    key = record[1:key_end].decode('utf-8', 'replace')
    return StoreRecord(key, record[key_end:] or None)


def _malformed(topic: Topic, failure: Undecodable) -> StoreFailure:
    _log.warning('response not decoded', topic=topic.value, cause=failure.cause)
    return StoreFailure.MALFORMED
