"""Stand in for the platform's metadata store: compacted topics over HTTP."""

from __future__ import annotations

import base64
import struct
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

import msgspec
import trio

from amaranthrail.adapters.httpserver import HttpRequest, ResponseWriter
from amaranthrail.adapters.problem import JSON_TYPE
from amaranthrail.types import HeaderList

#: Begins the key of an evacuation's record, before the failure domain.
_EVACUATION_PREFIX = 'evacuate/'
_OFFSETS = struct.Struct('>QQ')
_LENGTH = struct.Struct('>I')
_HTTP_OK = 200
_HTTP_GONE = 410
_HTTP_TOO_MANY = 429
_HTTP_UNAVAILABLE = 503
#: Most records in one page of a snapshot.
_MAX_PAGE_RECORDS = 500


class StoreFault(Enum):
    """Select how the store fails: 503, no response, 429 or a malformed body."""

    NONE = 'none'
    REFUSING = 'refusing'
    SILENT = 'silent'
    BUSY = 'busy'
    MALFORMED = 'malformed'


@dataclass(frozen=True)
class TopicCopy:
    """Hold the state of one topic at the time of a copy."""

    records: tuple[tuple[str, bytes], ...] = ()
    latest: tuple[tuple[str, bytes], ...] = ()
    first_offset: int = 0


@dataclass
class Topic:
    """Hold the records of one topic and the latest payload of each key."""

    records: list[tuple[str, bytes]] = field(default_factory=list)
    latest: dict[str, bytes] = field(default_factory=dict)
    first_offset: int = 0
    changed: trio.Event = field(default_factory=trio.Event)

    @property
    def end_offset(self) -> int:
        """Return the offset after the last record."""
        return self.first_offset + len(self.records)

    def put(self, key: str, payload: bytes) -> None:
        """Append a record; an empty payload deletes the key."""
        self.records.append((key, payload))
        self.latest.pop(key, None)
        if payload:
            self.latest[key] = payload
        self.changed.set()
        self.changed = trio.Event()

    def replace(self, copy: TopicCopy) -> None:
        """Go back to a copy; offsets since then are given out again."""
        self.records = list(copy.records)
        self.latest = dict(copy.latest)
        self.first_offset = copy.first_offset
        self.changed.set()
        self.changed = trio.Event()

    def compact(self) -> None:
        """Drop all records; the latest payload of each key stays readable.

        A read from an earlier offset then gets 410.
        """
        self.first_offset = self.end_offset
        self.records.clear()


class KeyedLog:
    """Serve topics over HTTP; ``fault`` injects a failure into every call.

    A snapshot comes in pages of ``page_size`` records; ``before_page`` is
    called before each page but the first. Each response comes ``delay_s``
    seconds late.
    """

    def __init__(self) -> None:
        """Start with no topics and no fault."""
        self._topics: dict[str, Topic] = {}
        self._eras = [0]
        self.fault = StoreFault.NONE
        self.calls = 0
        self.delay_s = 0.0
        self.page_size = _MAX_PAGE_RECORDS
        self.before_page: Callable[[], None] | None = None

    def topic(self, name: str) -> Topic:
        """Return a topic; create it if it does not exist."""
        return self._topics.setdefault(name, Topic())

    @property
    def era(self) -> int:
        """Return how often the store has come back from an older copy."""
        return self._eras[-1]

    def copy(self) -> dict[str, TopicCopy]:
        """Return the state of all topics, for ``rewind``."""
        return {
            name: TopicCopy(
                tuple(topic.records),
                tuple(topic.latest.items()),
                topic.first_offset,
            )
            for name, topic in self._topics.items()
        }

    def rewind(self, copies: dict[str, TopicCopy]) -> None:
        """Come back from an older copy, in a new era."""
        self._eras.append(self.era + 1)
        for name, topic in self._topics.items():
            topic.replace(copies.get(name, TopicCopy()))

    def evacuate(self, domain: str) -> None:
        """Write the record that evacuates a failure domain."""
        self.topic('keyed.op').put(f'{_EVACUATION_PREFIX}{domain}', b'{}')

    def end_evacuation(self, domain: str) -> None:
        """Remove the record that evacuates a failure domain."""
        self.topic('keyed.op').put(f'{_EVACUATION_PREFIX}{domain}', b'')

    def share(self) -> KeyedLog:
        """Return a store with the same topics and faults of its own."""
        shared = KeyedLog()
        shared._topics = self._topics
        shared._eras = self._eras
        return shared

    async def handle(self, request: HttpRequest, reply: ResponseWriter) -> None:
        """Serve one call, or fail it as ``fault`` says."""
        self.calls += 1
        await trio.sleep(self.delay_s)
        if self.fault is StoreFault.SILENT:
            await trio.sleep_forever()
        if self.fault is StoreFault.REFUSING:
            await self._send_json(reply, _HTTP_UNAVAILABLE, {})
        elif self.fault is StoreFault.BUSY:
            await self._send_json(reply, _HTTP_TOO_MANY, {})
        elif self.fault is StoreFault.MALFORMED:
            await reply.send(_HTTP_OK, (), b'\xff')
        else:
            await self._dispatch(request, reply)

    async def _dispatch(
        self, request: HttpRequest, reply: ResponseWriter
    ) -> None:
        operation = request.path.rpartition('/')[2]
        topic = self.topic(request.query['topic'])
        if operation == 'log-newest':
            await self._send_latest(topic, request.query.get('after'), reply)
        elif operation == 'log-append':
            await self._append(topic, request.body, reply)
        else:
            await self._send_records(topic, request.query, reply)

    async def _send_latest(
        self, topic: Topic, after: str | None, reply: ResponseWriter
    ) -> None:
        if after is not None and self.before_page is not None:
            self.before_page()
        latest = [
            {'key': key, 'value': base64.b64encode(payload).decode()}
            for key, payload in sorted(topic.latest.items())
            if after is None or key > after
        ]
        page = {
            'items': latest[: self.page_size],
            'has_more': len(latest) > self.page_size,
            'end_offset': topic.end_offset,
        }
        await self._send_json(reply, _HTTP_OK, page)

    async def _append(
        self, topic: Topic, body: bytes, reply: ResponseWriter
    ) -> None:
        record = body[_LENGTH.size :]
        payload_start = 1 + record[0]
        topic.put(record[1:payload_start].decode(), record[payload_start:])
        content = {'end_offset': topic.end_offset}
        await self._send_json(reply, _HTTP_OK, content)

    async def _send_records(
        self,
        topic: Topic,
        query: dict[str, str],
        reply: ResponseWriter,
    ) -> None:
        offset = int(query['from'])
        if not topic.first_offset <= offset <= topic.end_offset:
            await self._send_json(
                reply, _HTTP_GONE, {'first_offset': topic.first_offset}
            )
            return
        if offset >= topic.end_offset:
            with trio.move_on_after(int(query['wait_ms']) / 1000):
                await topic.changed.wait()
        body = _OFFSETS.pack(topic.end_offset, topic.first_offset)
        for key, payload in topic.records[offset - topic.first_offset :]:
            name = key.encode()
            record = b''.join((bytes((len(name),)), name, payload))
            body += _LENGTH.pack(len(record)) + record
        await reply.send(_HTTP_OK, self._era_fields(), body)

    async def _send_json(
        self, reply: ResponseWriter, status: int, content: object
    ) -> None:
        fields = (JSON_TYPE, *self._era_fields())
        await reply.send(status, fields, msgspec.json.encode(content))

    def _era_fields(self) -> HeaderList:
        return (('store-era', str(self.era)),)
