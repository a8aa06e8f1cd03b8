"""Derive from the shards' records where every key stands."""

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
    """Hold where one key stands after the records read so far.

    ``offset`` is that of the latest record about the key in its shard.
    """

    intent: Intent
    state: AttemptState
    shard: int
    offset: int
    recorded_at: int
    conclusion: Conclusion | None = None
    resolution: Resolution | None = None


class KeyTable:
    """Apply facts in log order; the result is the same at every entry.

    Rules: the first intent for a key claims it. Another intent counts only
    after the attempt before it is void, and numbers one higher. Nothing
    follows ``ran``; ``lost`` gives way to the truth when that arrives late.
    """

    def __init__(self) -> None:
        """Start with no key known."""
        self._filings: dict[IdempotencyKey, KeyRecord] = {}
        self._pending: dict[IdempotencyKey, KeyRecord] = {}
        self._kept_from: dict[int, int] = {}
        self._skipped = 0
        self._contradictions = 0
        self._changed = trio.Event()

    @property
    def skipped(self) -> int:
        """Return how many records could not be read."""
        return self._skipped

    @property
    def contradictions(self) -> int:
        """Return how many facts denied what was already final."""
        return self._contradictions

    @property
    def size(self) -> int:
        """Return how many keys are known."""
        return len(self._filings)

    def find(self, key: IdempotencyKey) -> KeyRecord | None:
        """Return where a key stands, None for one never seen."""
        return self._filings.get(key)

    def open(self) -> list[KeyRecord]:
        """Return the keys whose outcome is not known yet."""
        return self._in_state(AttemptState.OPEN)

    def lost(self) -> list[KeyRecord]:
        """Return the keys whose outcome cannot be known."""
        return self._in_state(AttemptState.LOST)

    async def wait_changed(self) -> None:
        """Return after the next record has been applied."""
        await self._changed.wait()

    def apply(self, shard: int, entry: LogEntry) -> str:
        """Take in the next record of a shard; return its id, if it has one."""
        record = decode_record(entry.text)
        if isinstance(record, FactBatch):
            for fact in record.facts:
                self._apply_fact(shard, entry, fact)
        else:
            self._skipped += 1
        self._changed.set()
        self._changed = trio.Event()
        return '' if record is None else record.id

    def forget(self, shard: int, first: int) -> None:
        """Drop the keys whose last record the log no longer keeps."""
        if first <= self._kept_from.get(shard, 0):
            return
        self._kept_from[shard] = first
        expired = [
            key
            for key, filing in self._filings.items()
            if filing.shard == shard and filing.offset < first
        ]
        for key in expired:
            del self._filings[key]
            self._pending.pop(key, None)

    def _in_state(self, state: AttemptState) -> list[KeyRecord]:
        return [one for one in self._pending.values() if one.state is state]

    def _apply_fact(self, shard: int, entry: LogEntry, fact: AnyFact) -> None:
        key = IdempotencyKey(fact.key)
        known = self._filings.get(key)
        match fact:
            case Intent():
                fresh = _after_intent(known, fact, shard, entry)
            case Conclusion():
                fresh = self._after_conclusion(known, fact, entry)
            case Resolution():
                fresh = _after_resolution(known, fact, entry)
        if fresh is not None:
            self._keep(key, fresh)

    def _keep(self, key: IdempotencyKey, fresh: KeyRecord) -> None:
        self._filings[key] = fresh
        if fresh.state in {AttemptState.OPEN, AttemptState.LOST}:
            self._pending[key] = fresh
        else:
            self._pending.pop(key, None)

    def _after_conclusion(
        self,
        known: KeyRecord | None,
        fact: Conclusion,
        entry: LogEntry,
    ) -> KeyRecord | None:
        if known is None or known.intent.id != fact.intent:
            return None
        if known.state is fact.state and known.state is not AttemptState.LOST:
            return None
        if known.state in {AttemptState.RAN, AttemptState.VOID}:
            final = fact.state in {AttemptState.RAN, AttemptState.VOID}
            self._contradictions += final
            return None
        return _moved(known, fact.state, entry, conclusion=fact)


def _after_intent(
    known: KeyRecord | None,
    fact: Intent,
    shard: int,
    entry: LogEntry,
) -> KeyRecord | None:
    if known is not None and known.intent.id == fact.id:
        # Written again before retention drops it, or an append repeated.
        return _moved(known, known.state, entry)
    expected = 1 if known is None else known.intent.attempt + 1
    claimed = known is not None and known.state is not AttemptState.VOID
    if claimed or (known is not None and fact.attempt != expected):
        return None
    return KeyRecord(
        fact,
        AttemptState.OPEN,
        shard,
        int(entry.offset),
        entry.appended_at,
    )


def _after_resolution(
    known: KeyRecord | None,
    fact: Resolution,
    entry: LogEntry,
) -> KeyRecord | None:
    if known is None or known.intent.id != fact.intent:
        return None
    if known.state is not AttemptState.LOST:
        return None
    return _moved(known, fact.state, entry, resolution=fact)


def _moved(
    known: KeyRecord,
    state: AttemptState,
    entry: LogEntry,
    conclusion: Conclusion | None = None,
    resolution: Resolution | None = None,
) -> KeyRecord:
    return KeyRecord(
        known.intent,
        state,
        known.shard,
        int(entry.offset),
        entry.appended_at,
        conclusion or known.conclusion,
        resolution or known.resolution,
    )
