"""Define the records that the system keeps in the platform's log.

A record is one JSON object with a ``type`` and an ``id`` of its own. An append
may be repeated; the first copy in log order counts.
"""

from __future__ import annotations

import uuid
from enum import Enum

import msgspec

CONTROL_STREAM = 'control'


class Record(msgspec.Struct, tag_field='type', frozen=True, kw_only=True):
    """Be the base of all records."""

    id: str


class ManifestChange(Record, frozen=True, kw_only=True, tag='manifest-change'):
    """Propose a manifest made from version ``base``."""

    base: int
    author: str
    manifest: msgspec.Raw


class ManifestSnapshot(
    Record, frozen=True, kw_only=True, tag='manifest-snapshot'
):
    """Repeat the manifest in force before retention drops its change."""

    version: int
    manifest: msgspec.Raw
    drains: tuple[tuple[str, int, bool], ...] = ()


class Drain(Record, frozen=True, kw_only=True, tag='drain'):
    """Start or end the drain of an upstream by an operator's word."""

    upstream: str
    draining: bool
    author: str


class AttemptState(Enum):
    """Say where a key's latest attempt stands."""

    OPEN = 'open'
    RAN = 'ran'
    VOID = 'void'
    LOST = 'lost'


class Fact(msgspec.Struct, tag_field='fact', frozen=True, kw_only=True):
    """Be the base of what a shard says about one key."""

    key: str


class Intent(Fact, frozen=True, kw_only=True, tag='intent'):
    """Claim a key for one attempt at one sidecar incarnation.

    ``id`` is unique to the attempt and names it at the sidecar; ``deadline``
    is wall milliseconds.
    """

    id: str
    attempt: int
    digest: str
    service: str
    upstream: str
    incarnation: str
    entry: str
    deadline: int
    operation: str


class Conclusion(Fact, frozen=True, kw_only=True, tag='conclusion'):
    """Say how the attempt of an intent ended."""

    intent: str
    state: AttemptState
    reason: str = ''
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''


class Resolution(Fact, frozen=True, kw_only=True, tag='resolution'):
    """Close a lost attempt by an operator's word: ran or void."""

    intent: str
    state: AttemptState
    author: str


AnyFact = Intent | Conclusion | Resolution


class FactBatch(Record, frozen=True, kw_only=True, tag='filings'):
    """Carry what one entry has to say of a shard, in order."""

    facts: tuple[AnyFact, ...]


AnyRecord = ManifestChange | ManifestSnapshot | Drain | FactBatch

_decoder: msgspec.json.Decoder[AnyRecord] = msgspec.json.Decoder(AnyRecord)


def new_record_id() -> str:
    """Return an id that no other record has."""
    return uuid.uuid4().hex


def encode_record(record: Record) -> bytes:
    """Return the JSON text of a record."""
    return msgspec.json.encode(record)


def decode_record(text: bytes) -> AnyRecord | None:
    """Return the record in ``text``, or None where there is none."""
    try:
        return _decoder.decode(text)
    except (msgspec.DecodeError, RecursionError):
        return None


def shard_stream(shard: int) -> str:
    """Return the name of the stream that keeps a shard of the keys."""
    return f'filings-{shard}'
