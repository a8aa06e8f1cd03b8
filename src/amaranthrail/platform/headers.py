"""Translate the platform's HTTP header fields to and from own types."""

from __future__ import annotations

import math
from collections.abc import Mapping

from ..adapters.httpserver import HttpRequest
from ..clock import MS_PER_SECOND
from ..decoding import Undecodable, decode, parse_count
from ..direct.ports import (
    ForwardingFields,
    ReportedLoad,
    RequestMetadata,
    ResponseMetadata,
    UpstreamStatement,
)
from ..outcomes import Refusal
from ..types import HeaderList, Millis, PromptPart

_ATTEMPT_ID = 'attempt-id'
_DEADLINE_REMAINING = 'deadline-remaining-ms'
#: Names the upstream that a request is for; any other responds with 421.
EXPECT_REPLICA = 'expect-replica'
_ORGANISATION = 'tenant'
_LAST_EVENT_ID = 'last-event-id'
_PRIORITY = 'request-priority'
_CREDENTIAL_SCHEME = 'token '
_HTTP_MISDIRECTED = 421
_HTTP_UNAVAILABLE = 503
#: Largest number of seconds, or of calls a second, that is told apart.
_MAX_DECIMAL = 1e9
#: Numbers in replica-load: requests running, requests waiting, slots.
_LOAD_NUMBERS = 3

#: Fields that apply to a single connection.
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
#: Request fields that the entry checks or sets; the caller's are dropped.
_SET_BY_ENTRY = frozenset(
    (
        'authorization',
        _DEADLINE_REMAINING,
        EXPECT_REPLICA,
        _ORGANISATION,
        _LAST_EVENT_ID,
        _PRIORITY,
    ),
)
_NOT_FORWARDED = _HOP_BY_HOP | _SET_BY_ENTRY


def read_request_metadata(request: HttpRequest) -> RequestMetadata:
    """Return a request's attempt, credential, deadline and other fields."""
    prompt_tokens, max_output_tokens = _parse_token_usage(
        request.header('token-usage') or ''
    )
    return RequestMetadata(
        attempt_id=request.header(_ATTEMPT_ID) or '',
        credential=_parse_credential(request.header('authorization')),
        timeout_ms=_parse_millis(request.header(_DEADLINE_REMAINING)),
        last_event_id=request.header(_LAST_EVENT_ID),
        expected_tokens=parse_count(request.header('length-hint') or '') or 0,
        shared_parts=_parse_shared_parts(request.header('prompt-prefix') or ''),
        prompt_tokens=prompt_tokens,
        max_output_tokens=max_output_tokens,
    )


def build_request_headers(
    request: HttpRequest,
    forwarding: ForwardingFields,
) -> HeaderList:
    """Return the header fields of the request that an upstream receives.

    A remaining time under 1 ms is stated as 1.
    """
    dropped = _NOT_FORWARDED | _connection_options(request)
    forwarded = [field for field in request.headers if field[0] not in dropped]
    added = [
        (_DEADLINE_REMAINING, str(max(1, int(forwarding.remaining_ms)))),
        (EXPECT_REPLICA, encode_name(forwarding.upstream)),
        (_PRIORITY, str(forwarding.priority)),
    ]
    if forwarding.organisation is not None:
        name = encode_name(forwarding.organisation)
        added.append((_ORGANISATION, name))
    if forwarding.last_event_id is not None:
        added.append((_LAST_EVENT_ID, forwarding.last_event_id))
    return (*forwarded, *added)


def is_sendable(name: str) -> bool:
    """Tell whether a header field can hold a name."""
    return bool(name) and name.isprintable() and name == name.strip()


def encode_name(name: str) -> str:
    """Return a name as the text of a header field, which holds its UTF-8."""
    # The client sends the text of header fields as Latin-1.
    return name.encode().decode('latin-1')


def read_response_metadata(
    status: int, headers: HeaderList
) -> ResponseMetadata:
    """Return what a response says of the attempt and of the upstream's load.

    The field not-executed and status 421 prove that the request has not run;
    421 also says that another upstream has the address by now.
    """
    fields = dict(headers)
    return ResponseMetadata(
        attempt_id=fields.get(_ATTEMPT_ID),
        signed='replica-signature' in fields,
        not_executed='not-executed' in fields or status == _HTTP_MISDIRECTED,
        replaced=status == _HTTP_MISDIRECTED,
        encoded='content-encoding' in fields,
        load=_parse_load(fields.get('replica-load')),
        statement=_read_statement(status, fields),
    )


def filter_response_headers(headers: HeaderList) -> HeaderList:
    """Return the response fields that are forwarded to the caller."""
    return tuple(field for field in headers if field[0] not in _HOP_BY_HOP)


def build_refusal_headers(refusal: Refusal) -> HeaderList:
    """Return retry-after in seconds with three decimals, if there is one."""
    if refusal.retry_after_ms is None:
        return ()
    seconds = refusal.retry_after_ms / MS_PER_SECOND
    return (('retry-after', f'{seconds:.3f}'),)


def _connection_options(request: HttpRequest) -> frozenset[str]:
    """Return the fields that the Connection field marks as hop-by-hop."""
    options = request.header('connection') or ''
    return frozenset(name.strip().lower() for name in options.split(','))


def _parse_credential(text: str | None) -> str | None:
    """Return the token, '' for another scheme, None without credentials."""
    if text is None:
        return None
    if text[: len(_CREDENTIAL_SCHEME)].lower() != _CREDENTIAL_SCHEME:
        return ''
    return text[len(_CREDENTIAL_SCHEME) :].strip()


def _read_statement(
    status: int, fields: Mapping[str, str]
) -> UpstreamStatement:
    pause_s: float | None = None
    if status == _HTTP_UNAVAILABLE:
        pause_s = _parse_decimal(fields.get('retry-after'))
    return UpstreamStatement(
        # Calls a second of all hosts together.
        limit_per_s=_parse_decimal(fields.get('server-limit')),
        pause_ms=(pause_s or 0) * MS_PER_SECOND,
        is_leaving=fields.get('server-leaving', '').strip() == '1',
        cold_ms=_parse_decimal(fields.get('cold-remaining-ms')),
    )


def _parse_decimal(text: str | None) -> float | None:
    """Return a finite number of at least 0, None for anything else.

    Numbers beyond _MAX_DECIMAL are taken as that.
    """
    number = decode(float, text or '')
    if isinstance(number, Undecodable) or not 0 <= number < math.inf:
        return None
    return min(number, _MAX_DECIMAL)


def _parse_millis(text: str | None) -> Millis | None:
    if text is None:
        return None
    millis = decode(_to_millis, text)
    return None if isinstance(millis, Undecodable) else millis


def _to_millis(text: str) -> Millis:
    return Millis(float(int(text)))


def _parse_shared_parts(text: str) -> tuple[PromptPart, ...]:
    """Return the ids of ID:TOKENS entries but the last, the request's own."""
    parts = text.split(',')[:-1]
    return tuple(PromptPart(part.partition(':')[0].strip()) for part in parts)


def _parse_token_usage(text: str) -> tuple[int, int]:
    """Return the tokens of the prompt and the most tokens of the output."""
    prompt, _, output = text.partition(',')
    return parse_count(prompt) or 0, parse_count(output) or 0


def _parse_load(text: str | None) -> ReportedLoad | None:
    numbers = [parse_count(part) or 0 for part in (text or '').split(',')]
    if len(numbers) != _LOAD_NUMBERS:
        return None
    return ReportedLoad(*numbers)
