"""Append facts about keys to the log's shard streams, in batches."""

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

_APPEND_RETRY_MS = 200
_MAX_BATCH_FACTS = 512


class Shard:
    """Follow one shard of the log and append queued facts to it in order.

    An append may take effect although its response is lost, so a batch is
    appended again until an append succeeds or the batch has been read back.
    Duplicates change nothing when they are applied.
    """

    def __init__(
        self,
        number: int,
        log: LogPort,
        key_table: KeyTable,
        clock: Clock,
        interval_ms: float,
    ) -> None:
        """Take the shard's number and the minimum time between appends."""
        self._number = number
        self._log = log
        self._key_table = key_table
        self._clock = clock
        self._interval_ms = interval_ms
        self._pending_facts: deque[AnyFact] = deque()
        self._fact_added = trio.Event()
        self._append_count = 0
        self._unanswered_count = 0
        self._appending_id = ''
        self._read_back = trio.Event()
        self._consumer = StreamConsumer(log, shard_stream(number), self._apply)

    @property
    def consumer(self) -> StreamConsumer:
        """Return the consumer that reads the shard."""
        return self._consumer

    @property
    def pending_count(self) -> int:
        """Return how many facts are queued and not in the log yet."""
        return len(self._pending_facts)

    @property
    def append_count(self) -> int:
        """Return how many batches have been appended."""
        return self._append_count

    @property
    def unanswered_count(self) -> int:
        """Return how many batches were read back without a response."""
        return self._unanswered_count

    def add(self, fact: AnyFact) -> None:
        """Queue a fact; it stays queued until the log has it."""
        self._pending_facts.append(fact)
        self._fact_added.set()

    async def run(self) -> None:
        """Append queued facts and follow the shard until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._consumer.run)
            nursery.start_soon(self._append_loop)

    async def _append_loop(self) -> None:
        while True:
            await self._fact_added.wait()
            self._fact_added = trio.Event()
            while self._pending_facts:
                started_at = self._clock.now()
                await self._append_batch()
                elapsed_ms = self._clock.now() - started_at
                await sleep(self._interval_ms - elapsed_ms)

    async def _append_batch(self) -> None:
        facts = tuple(self._pending_facts)[:_MAX_BATCH_FACTS]
        record = FactBatch(id=new_record_id(), facts=facts)
        self._appending_id = record.id
        self._read_back = trio.Event()
        text = encode_record(record)
        while not await self._append(text):
            if await self._wait_read_back():
                self._unanswered_count += 1
                break
        for _ in facts:
            self._pending_facts.popleft()
        self._append_count += 1

    async def _wait_read_back(self) -> bool:
        """Wait before a retry; tell whether the batch has been read back."""
        with move_on_after(_APPEND_RETRY_MS):
            await self._read_back.wait()
        return self._read_back.is_set()

    async def _append(self, text: bytes) -> bool:
        try:
            await self._log.append(shard_stream(self._number), text)
        except LogUnavailableError:
            return False
        return True

    def _apply(self, _first_offset: int, entry: LogEntry) -> None:
        if self._key_table.apply(self._number, entry) == self._appending_id:
            self._read_back.set()


class Shards:
    """Distribute the keys over the shards by a hash of the key."""

    def __init__(
        self,
        count: int,
        log: LogPort,
        clock: Clock,
        interval_ms: float,
    ) -> None:
        """Take the number of shards, which must be the same at every entry."""
        self._key_table = KeyTable()
        self._shards = [
            Shard(number, log, self._key_table, clock, interval_ms)
            for number in range(count)
        ]

    @property
    def key_table(self) -> KeyTable:
        """Return the state of the keys of all shards."""
        return self._key_table

    @property
    def reachable(self) -> bool:
        """Tell whether the latest read of every shard succeeded."""
        return all(shard.consumer.reachable for shard in self._shards)

    @property
    def pending_count(self) -> int:
        """Return how many facts are queued and not in the log yet."""
        return sum(shard.pending_count for shard in self._shards)

    @property
    def append_count(self) -> int:
        """Return how many batches have been appended."""
        return sum(shard.append_count for shard in self._shards)

    @property
    def unanswered_count(self) -> int:
        """Return how many batches were read back without a response."""
        return sum(shard.unanswered_count for shard in self._shards)

    def add(self, fact: AnyFact) -> None:
        """Queue a fact in the shard of its key."""
        self.shard_of(IdempotencyKey(fact.key)).add(fact)

    def shard_of(self, key: IdempotencyKey) -> Shard:
        """Return the shard to which a key hashes."""
        number = xxhash.xxh3_64_intdigest(key.encode()) % len(self._shards)
        return self._shards[number]

    async def wait_caught_up(self, key: IdempotencyKey) -> None:
        """Wait until the key's shard has been read to its end once."""
        await self.shard_of(key).consumer.wait_caught_up()

    def forget_expired(self) -> None:
        """Drop the keys whose records the log no longer retains."""
        for number, shard in enumerate(self._shards):
            self._key_table.forget(number, shard.consumer.oldest_offset)

    async def run(self) -> None:
        """Append to and follow all shards until cancelled."""
        async with trio.open_nursery() as nursery:
            for shard in self._shards:
                nursery.start_soon(shard.run)
