"""Translate the platform's header fields."""

from __future__ import annotations

from ..adapters.httpserver import HttpRequest
from ..clock import MS_PER_SECOND
from ..direct.ports import (
    ForwardingFields,
    ReportedLoad,
    RequestMetadata,
    ResponseMetadata,
)
from ..outcomes import Refusal
from ..types import HeaderList, Millis

_ATTEMPT = 'attempt-id'
_REMAINING = 'deadline-remaining-ms'
_EXPECT = 'expect-replica'
_ORGANISATION = 'tenant'
_LAST_EVENT = 'last-event-id'
_PRIORITY = 'request-priority'
_CREDENTIAL_SCHEME = 'token '
_MISDIRECTED = 421
_LOAD_FIELDS = 3

#: Fields that concern one connection alone.
_HOP_BY_HOP = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'expect',
        'content-length',
    ),
)
#: Fields that the entry sets itself, whatever the caller sent.
_OURS = frozenset(
    (
        'authorization',
        _REMAINING,
        _EXPECT,
        _ORGANISATION,
        _LAST_EVENT,
        _PRIORITY,
    ),
)
_NOT_PASSED_ON = _HOP_BY_HOP | _OURS


def read_call(request: HttpRequest) -> RequestMetadata:
    """Return what a caller's header fields say."""
    return RequestMetadata(
        attempt_id=request.header(_ATTEMPT) or '',
        credential=_read_credential(request.header('authorization')),
        timeout_ms=_read_millis(request.header(_REMAINING)),
        last_event_id=request.header(_LAST_EVENT),
        expected_tokens=_read_count(request.header('length-hint') or ''),
    )


def request_headers(
    request: HttpRequest, handover: ForwardingFields
) -> HeaderList:
    """Return the fields with which a request is passed on."""
    dropped = _NOT_PASSED_ON | _named_by_connection(request)
    passed = [field for field in request.headers if field[0] not in dropped]
    added = [
        (_REMAINING, str(max(1, int(handover.remaining_ms)))),
        (_EXPECT, handover.upstream),
        (_PRIORITY, str(handover.priority)),
    ]
    if handover.organisation is not None:
        added.append((_ORGANISATION, handover.organisation))
    if handover.last_event_id is not None:
        added.append((_LAST_EVENT, handover.last_event_id))
    return (*passed, *added)


def read_answer(status: int, headers: HeaderList) -> ResponseMetadata:
    """Return what the header fields of an upstream's answer say."""
    known = dict(headers)
    return ResponseMetadata(
        attempt_id=known.get(_ATTEMPT),
        signed='replica-signature' in known,
        not_executed='not-executed' in known or status == _MISDIRECTED,
        replaced=status == _MISDIRECTED,
        encoded='content-encoding' in known,
        load=_read_load(known.get('replica-load')),
    )


def answer_headers(headers: HeaderList) -> HeaderList:
    """Return the fields of an upstream's answer that its caller gets."""
    return tuple(field for field in headers if field[0] not in _HOP_BY_HOP)


def refusal_headers(refusal: Refusal) -> HeaderList:
    """Return when a refused caller may return, in seconds and fractions."""
    if refusal.retry_after_ms is None:
        return ()
    seconds = refusal.retry_after_ms / MS_PER_SECOND
    return (('retry-after', f'{seconds:.3f}'),)


def _named_by_connection(request: HttpRequest) -> frozenset[str]:
    named = request.header('connection') or ''
    return frozenset(name.strip().lower() for name in named.split(','))


def _read_credential(text: str | None) -> str | None:
    if text is None:
        return None
    if text[: len(_CREDENTIAL_SCHEME)].lower() != _CREDENTIAL_SCHEME:
        return ''
    return text[len(_CREDENTIAL_SCHEME) :].strip()


def _read_millis(text: str | None) -> Millis | None:
    if text is None:
        return None
    try:
        return Millis(float(int(text)))
    except ValueError:
        return None


def _read_count(text: str) -> int:
    return int(text) if text.strip().isdecimal() else 0


def _read_load(text: str | None) -> ReportedLoad | None:
    counts = [_read_count(part) for part in (text or '').split(',')]
    if len(counts) != _LOAD_FIELDS:
        return None
    return ReportedLoad(*counts)
