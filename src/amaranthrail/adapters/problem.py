"""Send refusals as RFC 9457 problem details, and other JSON."""

from __future__ import annotations

import math

import msgspec

from ..clock import MS_PER_SECOND
from ..outcomes import Refusal
from ..types import HeaderList
from .httpserver import ResponseWriter

JSON_TYPE = ('content-type', 'application/json')


class _Problem(msgspec.Struct):
    type: str
    title: str
    status: int
    detail: str
    outcome: str
    reason: str
    retry_after_ms: int | None


async def send_refusal(
    response: ResponseWriter,
    refusal: Refusal,
    headers: HeaderList = (),
) -> None:
    """Send a refusal with its outcome, its reason and a Retry-After.

    A Retry-After in ``headers`` takes the place of the one computed here.
    """
    problem = _Problem(
        f'urn:amaranthrail:{refusal.reason.value}',
        refusal.reason.value.replace('-', ' '),
        refusal.status,
        refusal.detail,
        refusal.outcome.value,
        refusal.reason.value,
        refusal.retry_after_ms,
    )
    fields = [
        ('content-type', 'application/problem+json'),
        ('x-outcome', refusal.outcome.value),
    ]
    has_retry_after = any(name == 'retry-after' for name, _ in headers)
    if refusal.retry_after_ms is not None and not has_retry_after:
        seconds = math.ceil(refusal.retry_after_ms / MS_PER_SECOND)
        fields.append(('retry-after', str(seconds)))
    await response.send(
        refusal.status,
        (*fields, *headers),
        msgspec.json.encode(problem),
    )


async def send_json(
    response: ResponseWriter, status: int, content: object
) -> None:
    """Send content that msgspec can encode as JSON."""
    await response.send(status, (JSON_TYPE,), msgspec.json.encode(content))
