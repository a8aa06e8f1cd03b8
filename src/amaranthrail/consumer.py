"""Consume a stream of the log in order, retrying while it is unavailable."""

from __future__ import annotations

import random
from collections.abc import Callable

import trio

from .clock import sleep
from .exceptions import LogUnavailableError
from .ports import LogBatch, LogEntry, LogPort

#: Longest wait of one long poll, in ms.
POLL_WAIT_MS = 2000
#: Bounds of the delay before a failed read is retried, in ms.
_BACKOFF_MS = 100
_MAX_BACKOFF_MS = 800


class StreamConsumer:
    """Read one stream by long polling and apply each record once."""

    def __init__(
        self,
        log: LogPort,
        stream: str,
        apply: Callable[[int, LogEntry], None],
    ) -> None:
        """Initialize at the start of a stream.

        ``apply`` gets the log's oldest kept offset and each record in turn.
        """
        self._log = log
        self._stream = stream
        self._apply = apply
        self._position = 0
        self._reachable = False
        self._caught_up = trio.Event()
        self._oldest_offset = 1
        self._retention_ms = 0

    @property
    def reachable(self) -> bool:
        """Return whether the latest read succeeded."""
        return self._reachable

    @property
    def oldest_offset(self) -> int:
        """Return the oldest offset that the log keeps, 1 before a read."""
        return self._oldest_offset

    @property
    def retention_ms(self) -> int:
        """Return how long the log keeps a record, in ms; 0 before a read."""
        return self._retention_ms

    async def wait_caught_up(self) -> None:
        """Return once the stream has been read to its end at least once."""
        await self._caught_up.wait()

    async def run(self) -> None:
        """Read the stream until cancelled, with backoff after a failed read."""
        backoff_ms = _BACKOFF_MS
        while True:
            try:
                await self.read_once(POLL_WAIT_MS)
            except LogUnavailableError:
                self._reachable = False
                await sleep(backoff_ms * random.uniform(0.5, 1))
                backoff_ms = min(_MAX_BACKOFF_MS, 2 * backoff_ms)
            else:
                backoff_ms = _BACKOFF_MS

    async def read_once(self, wait_ms: int) -> None:
        """Read and apply one batch of records. Raises LogUnavailableError.

        Waits up to ``wait_ms`` for a record once the stream's end was reached.
        """
        wait = wait_ms if self._caught_up.is_set() else 0
        batch = await self._log.read(self._stream, self._position, wait)
        self._reachable = True
        self._apply_batch(batch)
        if not batch.records:
            self._caught_up.set()

    def _apply_batch(self, batch: LogBatch) -> None:
        self._oldest_offset = int(batch.oldest_offset)
        self._retention_ms = batch.retention_ms
        for entry in batch.records:
            # A lagging read replica of the log service may return old records.
            if entry.offset > self._position:
                self._position = int(entry.offset)
                self._apply(self._oldest_offset, entry)
