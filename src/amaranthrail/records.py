"""Define the records in the platform's log and their codec.

A record is one JSON object with a ``type`` and a unique ``id``. An append may
be retried, so a record can be in the log more than once; the first copy in log
order counts.
"""

from __future__ import annotations

import uuid
from enum import Enum

import msgspec

from .decoding import Undecodable, decode

#: Name of the stream of manifests and drain orders.
CONTROL_STREAM = 'control'


class Record(msgspec.Struct, tag_field='type', frozen=True, kw_only=True):
    """Serve as the base class of all records."""

    id: str


class ManifestChange(Record, frozen=True, kw_only=True, tag='manifest-change'):
    """Propose a manifest that was edited from version ``base``."""

    base: int
    author: str
    manifest: msgspec.Raw


class ManifestSnapshot(
    Record, frozen=True, kw_only=True, tag='manifest-snapshot'
):
    """Renew the manifest in force before the log drops its change record.

    ``drains`` has the upstream, log offset and state of each drain order.
    """

    version: int
    manifest: msgspec.Raw
    drains: tuple[tuple[str, int, bool], ...] = ()


class Drain(Record, frozen=True, kw_only=True, tag='drain'):
    """Start or end the drain of an upstream, as ordered by an operator."""

    upstream: str
    draining: bool
    author: str


class AttemptState(Enum):
    """State the result of a key's latest attempt, or that it is open."""

    OPEN = 'open'
    RAN = 'ran'
    VOID = 'void'
    LOST = 'lost'


class Fact(msgspec.Struct, tag_field='fact', frozen=True, kw_only=True):
    """Serve as the base of the facts that a shard records about one key."""

    key: str


class Intent(Fact, frozen=True, kw_only=True, tag='intent'):
    """Claim a key for one attempt at one sidecar incarnation.

    ``id`` is unique to the attempt and identifies it at the sidecar;
    ``deadline`` is in milliseconds since the Unix epoch.
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
    """Record how the attempt of an intent ended, with its response if any."""

    intent: str
    state: AttemptState
    reason: str = ''
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''


class Resolution(Fact, frozen=True, kw_only=True, tag='resolution'):
    """Record an operator's decision on a lost attempt: ran or void."""

    intent: str
    state: AttemptState
    author: str


AnyFact = Intent | Conclusion | Resolution


class FactBatch(Record, frozen=True, kw_only=True, tag='filings'):
    """Carry facts that one entry appends to a shard, in order."""

    facts: tuple[AnyFact, ...]


AnyRecord = ManifestChange | ManifestSnapshot | Drain | FactBatch

_decoder: msgspec.json.Decoder[AnyRecord] = msgspec.json.Decoder(AnyRecord)


def new_record_id() -> str:
    """Return a random id that is unique to the record."""
    return uuid.uuid4().hex


def encode_record(record: Record) -> bytes:
    """Return a record as JSON."""
    return msgspec.json.encode(record)


def decode_record(text: bytes) -> AnyRecord | None:
    """Return the record in ``text``, or None if it is not valid."""
    record = decode(_decoder.decode, text)
    return None if isinstance(record, Undecodable) else record


def shard_stream(shard: int) -> str:
    """Return the name of the stream of one shard of the idempotency keys."""
    return f'filings-{shard}'
