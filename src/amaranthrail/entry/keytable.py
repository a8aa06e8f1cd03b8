"""Rebuild the state of every idempotency key from the records of the shards."""

from __future__ import annotations

from dataclasses import dataclass

import trio

from ..ports import LogEntry
from ..records import (
    AnyFact,
    AttemptState,
    Conclusion,
    FactBatch,
    Intent,
    Resolution,
    decode_record,
)
from ..types import IdempotencyKey


@dataclass(frozen=True, slots=True)
class KeyRecord:
    """Hold the state of one key after the records read so far.

    ``offset`` is the log offset, in the key's shard, of the latest record about
    the key; ``recorded_at`` is the time at which the log appended that record.
    """

    intent: Intent
    state: AttemptState
    shard: int
    offset: int
    recorded_at: int
    conclusion: Conclusion | None = None
    resolution: Resolution | None = None


class KeyTable:
    """Apply facts in log order, so that all entries reach the same state.

    The first intent for a key claims it. A further intent counts only after
    the previous attempt is void, and its attempt number must be one higher.
    ``ran`` and ``void`` are final for an attempt; ``lost`` is replaced when the
    real outcome is recorded later.
    """

    def __init__(self) -> None:
        """Start with an empty table, before the first record is applied."""
        self._records: dict[IdempotencyKey, KeyRecord] = {}
        self._open_or_lost: dict[IdempotencyKey, KeyRecord] = {}
        self._retained_from: dict[int, int] = {}
        self._skipped = 0
        self._contradictions = 0
        self._changed = trio.Event()

    @property
    def skipped(self) -> int:
        """Return how many log records could not be decoded as fact batches."""
        return self._skipped

    @property
    def contradictions(self) -> int:
        """Return how many conclusions contradicted a final state."""
        return self._contradictions

    @property
    def size(self) -> int:
        """Return the number of keys in the table."""
        return len(self._records)

    def find(self, key: IdempotencyKey) -> KeyRecord | None:
        """Return the record of a key, None for an unknown or expired key."""
        return self._records.get(key)

    def open_records(self) -> list[KeyRecord]:
        """Return the keys whose latest attempt has no conclusion yet."""
        return self._in_state(AttemptState.OPEN)

    def lost_records(self) -> list[KeyRecord]:
        """Return the keys whose outcome cannot be determined."""
        return self._in_state(AttemptState.LOST)

    async def wait_changed(self) -> None:
        """Wait until the next log record has been applied."""
        await self._changed.wait()

    def apply(self, shard: int, entry: LogEntry) -> str:
        """Apply the next log record of a shard and return the record's id.

        The id is empty for a record that cannot be decoded.
        """
        record = decode_record(entry.text)
        if isinstance(record, FactBatch):
            for fact in record.facts:
                self._apply_fact(shard, entry, fact)
        else:
            self._skipped += 1
        self._changed.set()
        self._changed = trio.Event()
        return '' if record is None else record.id

    def forget(self, shard: int, first_offset: int) -> None:
        """Drop the keys of a shard whose latest record the log no longer has.

        ``first_offset`` is the oldest offset that the log still retains.
        """
        if first_offset <= self._retained_from.get(shard, 0):
            return
        self._retained_from[shard] = first_offset
        expired = [
            key
            for key, record in self._records.items()
            if record.shard == shard and record.offset < first_offset
        ]
        for key in expired:
            del self._records[key]
            self._open_or_lost.pop(key, None)

    def _in_state(self, state: AttemptState) -> list[KeyRecord]:
        return [
            record
            for record in self._open_or_lost.values()
            if record.state is state
        ]

    def _apply_fact(self, shard: int, entry: LogEntry, fact: AnyFact) -> None:
        key = IdempotencyKey(fact.key)
        current = self._records.get(key)
        match fact:
            case Intent():
                updated = _apply_intent(current, fact, shard, entry)
            case Conclusion():
                updated = self._apply_conclusion(current, fact, entry)
            case Resolution():
                updated = _apply_resolution(current, fact, entry)
        if updated is not None:
            self._store(key, updated)

    def _store(self, key: IdempotencyKey, updated: KeyRecord) -> None:
        self._records[key] = updated
        if updated.state in {AttemptState.OPEN, AttemptState.LOST}:
            self._open_or_lost[key] = updated
        else:
            self._open_or_lost.pop(key, None)

    def _apply_conclusion(
        self,
        current: KeyRecord | None,
        fact: Conclusion,
        entry: LogEntry,
    ) -> KeyRecord | None:
        if current is None or current.intent.id != fact.intent:
            return None
        if (
            current.state is fact.state
            and current.state is not AttemptState.LOST
        ):
            return None
        if current.state in {AttemptState.RAN, AttemptState.VOID}:
            is_final = fact.state in {AttemptState.RAN, AttemptState.VOID}
            self._contradictions += is_final
            return None
        return _with_state(current, fact.state, entry, conclusion=fact)


def _apply_intent(
    current: KeyRecord | None,
    fact: Intent,
    shard: int,
    entry: LogEntry,
) -> KeyRecord | None:
    if current is not None and current.intent.id == fact.id:
        # A renewed copy, written before retention drops the original, or a
        # duplicate of a retried append.
        return _with_state(current, current.state, entry)
    next_attempt = 1 if current is None else current.intent.attempt + 1
    is_claimed = current is not None and current.state is not AttemptState.VOID
    if is_claimed or (current is not None and fact.attempt != next_attempt):
        return None
    return KeyRecord(
        fact,
        AttemptState.OPEN,
        shard,
        int(entry.offset),
        entry.appended_at,
    )


def _apply_resolution(
    current: KeyRecord | None,
    fact: Resolution,
    entry: LogEntry,
) -> KeyRecord | None:
    if current is None or current.intent.id != fact.intent:
        return None
    if current.state is not AttemptState.LOST:
        return None
    return _with_state(current, fact.state, entry, resolution=fact)


def _with_state(
    current: KeyRecord,
    state: AttemptState,
    entry: LogEntry,
    conclusion: Conclusion | None = None,
    resolution: Resolution | None = None,
) -> KeyRecord:
    return KeyRecord(
        current.intent,
        state,
        current.shard,
        int(entry.offset),
        entry.appended_at,
        conclusion or current.conclusion,
        resolution or current.resolution,
    )
