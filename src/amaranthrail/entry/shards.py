"""Append facts to the shards of the filing record, many to a record."""

from __future__ import annotations

from collections import deque

import trio
import xxhash

from ..clock import Clock, move_on_after, sleep
from ..consumer import StreamConsumer
from ..exceptions import LogUnavailableError
from ..ports import LogEntry, LogPort
from ..records import (
    AnyFact,
    FactBatch,
    encode_record,
    new_record_id,
    shard_stream,
)
from ..types import IdempotencyKey
from .keytable import KeyTable

_REPEAT_MS = 200
_MAX_BATCH_FACTS = 512


class Shard:
    """Follow one shard and append to it, in order, until it is there.

    An append may take effect though its answer is lost, so a record is
    appended again until an append is answered or the record has been read;
    copies change nothing.
    """

    def __init__(
        self,
        number: int,
        log: LogPort,
        ledger: KeyTable,
        clock: Clock,
        interval_ms: float,
    ) -> None:
        """Take the shard's number and the least time between appends."""
        self._number = number
        self._log = log
        self._ledger = ledger
        self._clock = clock
        self._interval_ms = interval_ms
        self._waiting: deque[AnyFact] = deque()
        self._wake = trio.Event()
        self._appends = 0
        self._unanswered = 0
        self._appending = ''
        self._seen = trio.Event()
        self._follower = StreamConsumer(log, shard_stream(number), self._apply)

    @property
    def follower(self) -> StreamConsumer:
        """Return the reader of the shard."""
        return self._follower

    @property
    def waiting(self) -> int:
        """Return how many facts the log has not taken yet."""
        return len(self._waiting)

    @property
    def appends(self) -> int:
        """Return how many records have been appended."""
        return self._appends

    @property
    def unanswered(self) -> int:
        """Return how many records were read back before an answer came."""
        return self._unanswered

    def add(self, fact: AnyFact) -> None:
        """Queue a fact; it is kept until the log has it."""
        self._waiting.append(fact)
        self._wake.set()

    async def run(self) -> None:
        """Append queued facts and follow the shard for good."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follower.run)
            nursery.start_soon(self._write)

    async def _write(self) -> None:
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            while self._waiting:
                began = self._clock.now()
                await self._append_batch()
                spent = self._clock.now() - began
                await sleep(self._interval_ms - spent)

    async def _append_batch(self) -> None:
        facts = tuple(self._waiting)[:_MAX_BATCH_FACTS]
        record = FactBatch(id=new_record_id(), facts=facts)
        self._appending = record.id
        self._seen = trio.Event()
        text = encode_record(record)
        while not await self._append(text):
            if await self._was_seen():
                self._unanswered += 1
                break
        for _ in facts:
            self._waiting.popleft()
        self._appends += 1

    async def _was_seen(self) -> bool:
        """Wait before a repeat; tell whether the record has been read."""
        with move_on_after(_REPEAT_MS):
            await self._seen.wait()
        return self._seen.is_set()

    async def _append(self, text: bytes) -> bool:
        try:
            await self._log.append(shard_stream(self._number), text)
        except LogUnavailableError:
            return False
        return True

    def _apply(self, _first: int, entry: LogEntry) -> None:
        if self._ledger.apply(self._number, entry) == self._appending:
            self._seen.set()


class Shards:
    """Spread the keys over the shards."""

    def __init__(
        self,
        count: int,
        log: LogPort,
        clock: Clock,
        interval_ms: float,
    ) -> None:
        """Take the number of shards, the same at every entry."""
        self._ledger = KeyTable()
        self._shards = [
            Shard(number, log, self._ledger, clock, interval_ms)
            for number in range(count)
        ]

    @property
    def ledger(self) -> KeyTable:
        """Return what the shards say."""
        return self._ledger

    @property
    def reachable(self) -> bool:
        """Tell whether every shard could be read last time."""
        return all(shard.follower.reachable for shard in self._shards)

    @property
    def waiting(self) -> int:
        """Return how many facts the log has not taken yet."""
        return sum(shard.waiting for shard in self._shards)

    @property
    def appends(self) -> int:
        """Return how many records have been appended."""
        return sum(shard.appends for shard in self._shards)

    @property
    def unanswered(self) -> int:
        """Return how many records were read back before an answer came."""
        return sum(shard.unanswered for shard in self._shards)

    def add(self, fact: AnyFact) -> None:
        """Queue a fact for its key's shard."""
        self.shard_of(IdempotencyKey(fact.key)).add(fact)

    def shard_of(self, key: IdempotencyKey) -> Shard:
        """Return the shard that keeps a key."""
        number = xxhash.xxh3_64_intdigest(key.encode()) % len(self._shards)
        return self._shards[number]

    async def wait_caught_up(self, key: IdempotencyKey) -> None:
        """Return once the key's shard has been read to its end."""
        await self.shard_of(key).follower.wait_caught_up()

    def forget_expired(self) -> None:
        """Drop the keys that the log no longer keeps."""
        for number, shard in enumerate(self._shards):
            self._ledger.forget(number, shard.follower.oldest_offset)

    async def run(self) -> None:
        """Append and follow for good."""
        async with trio.open_nursery() as nursery:
            for shard in self._shards:
                nursery.start_soon(shard.run)
