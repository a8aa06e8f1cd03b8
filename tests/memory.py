"""Implement the product's ports in memory, with faults on demand."""

from __future__ import annotations

import trio

from amaranthrail.exceptions import LogUnavailableError
from amaranthrail.ports import LogBatch, LogEntry
from amaranthrail.types import Offset

RETENTION_MS = 1000


class MemoryLog:
    """Implement LogPort; streams are lists."""

    def __init__(self) -> None:
        self._streams: dict[str, list[LogEntry]] = {}
        self._first: dict[str, int] = {}
        self.down = False
        self.lose_answers = False

    def entries(self, stream: str) -> list[LogEntry]:
        return self._streams.setdefault(stream, [])

    def first(self, stream: str) -> int:
        return self._first.get(stream, 1)

    def put(self, stream: str, text: bytes, at: int = 0) -> int:
        kept = self.entries(stream)
        offset = self.first(stream) + len(kept)
        kept.append(LogEntry(Offset(offset), at, text))
        return offset

    def trim(self, stream: str, first: int) -> None:
        kept = [one for one in self.entries(stream) if one.offset >= first]
        self._streams[stream] = kept
        self._first[stream] = max(self.first(stream), first)

    async def append(self, stream: str, text: bytes) -> Offset:
        await trio.lowlevel.checkpoint()
        if self.down:
            raise LogUnavailableError('down')
        offset = self.put(stream, text)
        if self.lose_answers:
            raise LogUnavailableError('the answer was lost')
        return Offset(offset)

    async def read(self, stream: str, after: int, wait_ms: int) -> LogBatch:
        await trio.sleep(wait_ms / 1000 if wait_ms else 0)
        if self.down:
            raise LogUnavailableError('down')
        found = [one for one in self.entries(stream) if one.offset > after]
        first = Offset(self.first(stream))
        return LogBatch(first, tuple(found), RETENTION_MS)
