"""Stand in for the platform's metadata store: keyed topics over HTTP."""

from __future__ import annotations

import base64
import struct
from dataclasses import dataclass, field
from enum import Enum

import trio

from amaranthrail.adapters.httpserver import HttpRequest, Reply
from amaranthrail.adapters.problem import send_json

_OFFSETS = struct.Struct('>QQ')
_LENGTH = struct.Struct('>I')
_HTTP_OK = 200
_HTTP_GONE = 410
_HTTP_TOO_MANY = 429
_HTTP_UNAVAILABLE = 503


class StoreFault(Enum):
    """Choose how the store fails."""

    NONE = 'none'
    REFUSING = 'refusing'
    SILENT = 'silent'
    BUSY = 'busy'
    MALFORMED = 'malformed'


@dataclass
class Topic:
    """Hold the records of one topic and the newest of each key."""

    records: list[tuple[str, bytes]] = field(default_factory=list)
    newest: dict[str, bytes] = field(default_factory=dict)
    first: int = 0
    changed: trio.Event = field(default_factory=trio.Event)

    @property
    def end(self) -> int:
        """Return the offset after the last record."""
        return self.first + len(self.records)

    def put(self, key: str, payload: bytes) -> None:
        """Append a record; one without a payload drops its key."""
        self.records.append((key, payload))
        self.newest.pop(key, None)
        if payload:
            self.newest[key] = payload
        self.changed.set()
        self.changed = trio.Event()

    def compact(self) -> None:
        """Drop all records but the newest of each key."""
        self.first = self.end
        self.records.clear()


class KeyedLog:
    """Serve topics to the processes under test, with faults on demand."""

    def __init__(self) -> None:
        """Start empty and sound."""
        self._topics: dict[str, Topic] = {}
        self.fault = StoreFault.NONE
        self.calls = 0

    def topic(self, name: str) -> Topic:
        """Return a topic, made at its first use."""
        return self._topics.setdefault(name, Topic())

    async def handle(self, request: HttpRequest, reply: Reply) -> None:
        """Answer one call."""
        self.calls += 1
        if self.fault is StoreFault.SILENT:
            await trio.sleep_forever()
        if self.fault is StoreFault.REFUSING:
            await send_json(reply, _HTTP_UNAVAILABLE, {})
        elif self.fault is StoreFault.BUSY:
            await send_json(reply, _HTTP_TOO_MANY, {})
        elif self.fault is StoreFault.MALFORMED:
            await reply.whole(_HTTP_OK, (), b'\xff')
        else:
            await self._answer(request, reply)

    async def _answer(self, request: HttpRequest, reply: Reply) -> None:
        call = request.path.rpartition('/')[2]
        topic = self.topic(request.query['topic'])
        if call == 'log-newest':
            await self._newest(topic, reply)
        elif call == 'log-append':
            await self._append(topic, request.body, reply)
        else:
            await self._read(topic, request.query, reply)

    async def _newest(self, topic: Topic, reply: Reply) -> None:
        listed = [
            {'key': key, 'value': base64.b64encode(payload).decode()}
            for key, payload in topic.newest.items()
        ]
        page = {'items': listed, 'has_more': False, 'end_offset': topic.end}
        await send_json(reply, _HTTP_OK, page)

    async def _append(self, topic: Topic, body: bytes, reply: Reply) -> None:
        record = body[_LENGTH.size :]
        key_end = 1 + record[0]
        topic.put(record[1:key_end].decode(), record[key_end:])
        await send_json(reply, _HTTP_OK, {'end_offset': topic.end})

    async def _read(
        self,
        topic: Topic,
        query: dict[str, str],
        reply: Reply,
    ) -> None:
        offset = int(query['from'])
        if offset < topic.first:
            await send_json(reply, _HTTP_GONE, {'first_offset': topic.first})
            return
        if offset >= topic.end:
            with trio.move_on_after(int(query['wait_ms']) / 1000):
                await topic.changed.wait()
        body = _OFFSETS.pack(topic.end, topic.first)
        for key, payload in topic.records[offset - topic.first :]:
            name = key.encode()
            record = b''.join((bytes((len(name),)), name, payload))
            body += _LENGTH.pack(len(record)) + record
        await reply.whole(_HTTP_OK, (), body)
