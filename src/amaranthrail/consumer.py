"""Follow a stream of the log in order, through its outages."""

from __future__ import annotations

import random
from collections.abc import Callable

import trio

from .clock import sleep
from .exceptions import LogUnavailableError
from .ports import LogBatch, LogEntry, LogPort

POLL_WAIT_MS = 2000
_BACKOFF_MS = 100
_MAX_BACKOFF_MS = 800


class StreamConsumer:
    """Read one stream by long poll and hand on each record once."""

    def __init__(
        self,
        log: LogPort,
        stream: str,
        apply: Callable[[int, LogEntry], None],
    ) -> None:
        """Take the log, the stream's name and who takes in the records."""
        self._log = log
        self._stream = stream
        self._apply = apply
        self._position = 0
        self._reachable = False
        self._caught_up = trio.Event()
        self._first = 1
        self._retention_ms = 0

    @property
    def reachable(self) -> bool:
        """Tell whether the latest read succeeded."""
        return self._reachable

    @property
    def oldest_offset(self) -> int:
        """Return the oldest offset that the log still keeps."""
        return self._first

    @property
    def retention_ms(self) -> int:
        """Return for how long the log keeps a record."""
        return self._retention_ms

    async def wait_caught_up(self) -> None:
        """Return once the stream has been read to its end at least once."""
        await self._caught_up.wait()

    async def run(self) -> None:
        """Follow the stream for good."""
        backoff = _BACKOFF_MS
        while True:
            try:
                await self.read_once(POLL_WAIT_MS)
            except LogUnavailableError:
                self._reachable = False
                await sleep(backoff * random.uniform(0.5, 1))
                backoff = min(_MAX_BACKOFF_MS, 2 * backoff)
            else:
                backoff = _BACKOFF_MS

    async def read_once(self, wait_ms: int) -> None:
        """Read and take in what there is. Raises LogUnavailableError."""
        wait = wait_ms if self._caught_up.is_set() else 0
        batch = await self._log.read(self._stream, self._position, wait)
        self._reachable = True
        self._take(batch)
        if not batch.records:
            self._caught_up.set()

    def _take(self, batch: LogBatch) -> None:
        self._first = int(batch.first)
        self._retention_ms = batch.retention_ms
        for entry in batch.records:
            # A lagging reader of the platform may hand out old records.
            if entry.offset > self._position:
                self._position = int(entry.offset)
                self._apply(self._first, entry)
