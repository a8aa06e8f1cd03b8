"""Define the messages between entries: msgpack arrays over TCP and UDP."""

from __future__ import annotations

from typing import TypeAlias

import msgspec

from ..decoding import Undecodable, decode

#: The experts of a layer set at a rank, for each rank, for each layer set.
_SetPlacement: TypeAlias = tuple[tuple[int, ...], ...]
MapPlacement: TypeAlias = tuple[_SetPlacement, ...]


class RecordVersion(msgspec.Struct, array_like=True, frozen=True):
    """Identify the record of an upstream that an entry has.

    ``started_at`` and ``sequence`` order records as in UpstreamRecord.
    """

    started_at: int
    sequence: int
    state: str


class EvacuationReport(msgspec.Struct, array_like=True, frozen=True):
    """Report the latest that the sender knows of a domain's evacuation.

    ``era`` and ``offset`` order the records of one domain. One that is not
    confirmed counts only where nothing else is known of the domain.
    """

    domain: str
    era: int
    offset: int
    is_evacuated: bool
    is_confirmed: bool = True


class SyncRequest(msgspec.Struct, array_like=True, frozen=True):
    """Request what is newer than the sender's state.

    ``version`` is that of its configuration, ``upstreams`` maps names to the
    records that it has. ``evacuations`` are all that it knows.
    """

    version: int
    upstreams: dict[str, RecordVersion]
    evacuations: list[EvacuationReport] = []


class RemovedUpstream(msgspec.Struct, array_like=True, frozen=True):
    """Name an upstream that was removed.

    ``started_at`` and ``sequence`` are those of its last record.
    """

    name: str
    started_at: int
    sequence: int


class SyncResponse(msgspec.Struct, array_like=True, frozen=True):
    """Hold the updates that the requesting entry lacks.

    ``configuration`` is empty where the requester's is as new; ``upstreams``
    maps names to the records' payloads as the store had them. ``evacuations``
    are all that the sender knows.
    """

    configuration: bytes
    upstreams: dict[str, bytes]
    removed: list[RemovedUpstream]
    evacuations: list[EvacuationReport] = []


class PrepareRequest(
    msgspec.Struct, array_like=True, frozen=True, tag='prepare'
):
    """Request that upstreams are prepared for an expert map.

    ``placement`` has the experts of each rank by layer set, ``upstreams`` the
    names of the ranks to send it to, within ``limit_ms``. The tag tells it from
    a SyncRequest, which begins with a number.
    """

    epoch: int
    version: int
    placement: MapPlacement
    upstreams: list[str]
    limit_ms: float = 0


class PrepareResponse(msgspec.Struct, array_like=True, frozen=True):
    """Hold the results of a PrepareRequest by upstream.

    Upstreams without a response are left out.
    """

    outcomes: dict[str, str]


class CrashReport(msgspec.Struct, array_like=True, frozen=True):
    """Report an upstream that ended before the answers to calls had begun.

    ``started_at`` is the wall time of the upstream's start in ms, ``parts`` are
    the shared parts of the calls' prompts.
    """

    service: str
    upstream: str
    started_at: int
    age_ms: int
    parts: list[str]


class AnswerReport(msgspec.Struct, array_like=True, frozen=True):
    """Report when the sender's latest answer on a part of a prompt began."""

    service: str
    part: str
    age_ms: int


class CrashEvidence(msgspec.Struct, array_like=True, frozen=True):
    """Report which prompts may crash upstreams.

    ``answers`` are those on parts of ``crashes``; ``trials`` are the suspect
    parts of a call that the sender has in work.
    """

    crashes: list[CrashReport] = []
    answers: list[AnswerReport] = []
    trials: list[str] = []


class LimitReport(msgspec.Struct, array_like=True, frozen=True):
    """Report a limit that an upstream names, and the sender's use of it.

    ``started_at`` is the wall time of the upstream's start in ms, ``per_s`` the
    rate in calls a second that was named ``named_age_ms`` ago. The limit ended
    ``ended_age_ms`` ago, None while it is in force. ``demand`` is the weight of
    the sender's recent calls to the service, ``calls`` are those that it sent
    to the upstream in the window of the limit.
    """

    upstream: str
    started_at: int
    per_s: float
    named_age_ms: int
    ended_age_ms: int | None = None
    demand: float = 0
    calls: int = 0


class ColdUse(msgspec.Struct, array_like=True, frozen=True):
    """Report the sender's calls to a cold upstream in the last second.

    ``remaining_ms`` is for how long it is cold. It said so to the sender
    ``stated_age_ms`` ago, None where it did not lately.
    """

    upstream: str
    calls: int
    remaining_ms: int
    stated_age_ms: int | None = None


class ColdReport(msgspec.Struct, array_like=True, frozen=True):
    """Report on a service's cold upstreams.

    ``demand`` is the weight of the sender's recent calls to the service.
    """

    service: str
    demand: float
    uses: list[ColdUse] = []


class ReportPath(msgspec.Struct, array_like=True, frozen=True):
    """Say how a report travels between failure domains.

    ``sequence`` numbers the sender's reports since its start, 0 where it does
    not say. ``missed`` are entries that the sender does not hear on the usual
    path. A receiver with ``is_relayed`` forwards the report to the entries of
    its domain and to ``detours``. A forwarded copy has the host of its sender
    as ``origin`` and is never forwarded; ``age_ms`` is for how long the
    forwarder has had it.
    """

    sequence: int = 0
    missed: list[str] = []
    is_relayed: bool = False
    detours: list[str] = []
    origin: str = ''
    age_ms: float = 0


class DemandReport(msgspec.Struct, array_like=True, frozen=True):
    """Report what organisations ask of a service at the sender.

    ``organisations`` has the largest ones, ``rest`` is that of the others; the
    unit is a tenth of a mean stream per second.
    """

    service: str
    organisations: dict[str, int]
    rest: int = 0


class LoadReport(msgspec.Struct, array_like=True, frozen=True):
    """Report an entry's calls in flight by upstream, and its own state.

    ``live_hosts`` are some of the entries that it received reports from lately.
    ``started_at`` is the wall time of its start in ms, ``shutdown_at`` that of
    its stop signal (0 before). ``has_cluster_state`` says that it knows a
    configuration and upstreams, ``version`` is that of its configuration.
    ``groups`` has the rank groups of some upstreams, by upstream name.
    ``crash_evidence`` is what it knows of prompts that crash upstreams,
    ``limits`` what it knows of the limits of some upstreams. ``domain`` is its
    failure domain, '' where unknown. ``map_changes`` names the rank groups
    whose expert maps it is changing or about to change. ``evacuations`` is a
    checksum of all EvacuationReports that it would send, 0 for none. ``cold``
    is on services that have cold upstreams. ``path`` says how the report
    travels. ``reservations`` has the callers that it has told when to return,
    by service: their work in mean streams in each of the next slots of 250 ms.
    ``demands`` has what organisations ask of the services whose callers it has
    refused lately. ``held_tokens`` is what its calls hold in the memory of
    some upstreams, those where it is much.
    """

    calls: dict[str, int]
    live_hosts: list[str]
    started_at: int
    shutdown_at: int = 0
    has_cluster_state: bool = True
    version: int = 0
    groups: dict[str, str] = {}
    crash_evidence: CrashEvidence = CrashEvidence()
    limits: list[LimitReport] = []
    domain: str = ''
    map_changes: list[str] = []
    evacuations: int = 0
    cold: list[ColdReport] = []
    path: ReportPath = ReportPath()
    reservations: dict[str, list[int]] = {}
    demands: list[DemandReport] = []
    held_tokens: dict[str, int] = {}


_request_decoder = msgspec.msgpack.Decoder(SyncRequest)
_response_decoder = msgspec.msgpack.Decoder(SyncResponse)
_prepare_decoder = msgspec.msgpack.Decoder(PrepareRequest)
_prepared_decoder = msgspec.msgpack.Decoder(PrepareResponse)
_report_decoder = msgspec.msgpack.Decoder(LoadReport)


#: The messages between entries.
Message: TypeAlias = (
    SyncRequest | SyncResponse | PrepareRequest | PrepareResponse | LoadReport
)


def encode_message(message: Message) -> bytes:
    """Encode a message as a msgpack array in field order."""
    return msgspec.msgpack.encode(message)


def decode_sync_request(payload: bytes) -> SyncRequest | Undecodable:
    """Decode a SyncRequest."""
    return decode(_request_decoder.decode, payload)


def decode_sync_response(payload: bytes) -> SyncResponse | Undecodable:
    """Decode a SyncResponse."""
    return decode(_response_decoder.decode, payload)


def decode_prepare_request(payload: bytes) -> PrepareRequest | Undecodable:
    """Decode a PrepareRequest; any other message is Undecodable."""
    return decode(_prepare_decoder.decode, payload)


def decode_prepare_response(payload: bytes) -> PrepareResponse | Undecodable:
    """Decode a PrepareResponse."""
    return decode(_prepared_decoder.decode, payload)


def decode_load_report(payload: bytes) -> LoadReport | Undecodable:
    """Decode a LoadReport."""
    return decode(_report_decoder.decode, payload)
