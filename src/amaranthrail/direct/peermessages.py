"""Define what entries tell each other, as msgpack over TCP and UDP."""

from __future__ import annotations

import msgspec


class RecordVersion(msgspec.Struct, array_like=True, frozen=True):
    """Say which record of an upstream an entry has."""

    started_at: int
    sequence: int
    state: str


class SyncRequest(msgspec.Struct, array_like=True, frozen=True):
    """SyncRequest an entry for what is newer than this."""

    version: int
    upstreams: dict[str, RecordVersion]


class RemovedUpstream(msgspec.Struct, array_like=True, frozen=True):
    """Name an upstream that has gone, and its last known record."""

    name: str
    started_at: int
    sequence: int


class SyncResponse(msgspec.Struct, array_like=True, frozen=True):
    """Hold what the asked entry knows and the asker does not.

    ``configuration`` is empty where the asker's is as new; ``upstreams`` maps
    names to the records as the store had them.
    """

    configuration: bytes
    upstreams: dict[str, bytes]
    gone: list[RemovedUpstream]


class LoadReport(msgspec.Struct, array_like=True, frozen=True):
    """Tell an entry's calls in flight by upstream, and about entries.

    ``hosts`` are some of those that it has heard lately, ``started_at`` is the
    wall time of its own start in ms, ``leaving_at`` that of its signal to stop
    (0 before), ``informed`` says that it knows a configuration and upstreams,
    and ``version`` is that of its configuration.
    """

    calls: dict[str, int]
    hosts: list[str]
    started_at: int
    leaving_at: int = 0
    informed: bool = True
    version: int = 0


_ask_decoder = msgspec.msgpack.Decoder(SyncRequest)
_news_decoder = msgspec.msgpack.Decoder(SyncResponse)
_report_decoder = msgspec.msgpack.Decoder(LoadReport)


def encode_message(message: SyncRequest | SyncResponse | LoadReport) -> bytes:
    """Return the bytes of a message."""
    return msgspec.msgpack.encode(message)


def decode_ask(payload: bytes) -> SyncRequest:
    """Return a question. Raises msgspec.DecodeError."""
    return _ask_decoder.decode(payload)


def decode_news(payload: bytes) -> SyncResponse:
    """Return an answer. Raises msgspec.DecodeError."""
    return _news_decoder.decode(payload)


def decode_report(payload: bytes) -> LoadReport:
    """Return a report of loads. Raises msgspec.DecodeError."""
    return _report_decoder.decode(payload)
