"""Represent a caller's request once it is authenticated, routed and sized."""

from __future__ import annotations

from dataclasses import dataclass

from ..adapters.httpserver import HttpRequest
from ..clock import Clock
from ..frames import Dispatch
from ..manifest import Organisation
from ..policy.sizes import SizeEstimate
from ..types import (
    KEY_HEADER,
    HeaderList,
    IdempotencyKey,
    RequestId,
    qualified_key,
)
from .routes import Route

#: Not forwarded: credentials, fields that this entry interprets or sets
#: itself, and hop-by-hop fields.
_UNFORWARDED = frozenset(
    (
        'authorization',
        'connection',
        'content-length',
        'expect',
        'host',
        'keep-alive',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'x-deadline-ms',
        'x-organisation',
    ),
)


@dataclass(frozen=True, slots=True)
class Call:
    """Hold a request with its organisation, route, size and deadline.

    ``deadline`` is in monotonic milliseconds. ``request_id`` is sent to the
    upstream and to the caller as ``X-Request-Id``; each exchange with a sidecar
    has an id of its own.
    """

    request: HttpRequest
    organisation: Organisation
    route: Route
    size: SizeEstimate
    deadline: float
    request_id: str

    @property
    def key(self) -> IdempotencyKey | None:
        """Return the idempotency key prefixed by the organisation, if sent."""
        raw_key = self.request.header(KEY_HEADER)
        if not raw_key:
            return None
        return qualified_key(self.organisation.name, raw_key)

    @property
    def operation_name(self) -> str:
        """Return ``service.operation``, for log records and messages."""
        return f'{self.route.service.name}.{self.route.operation.name}'

    def remaining_ms(self, clock: Clock) -> float:
        """Return the milliseconds until the deadline, negative after it."""
        return self.deadline - clock.now()


@dataclass(frozen=True, slots=True)
class DispatchTarget:
    """Identify the sidecar run that a dispatch is meant for.

    The sidecar refuses a dispatch for another incarnation or an older manifest
    version. ``intent`` is the id of a keyed attempt, empty for idempotent
    requests.
    """

    incarnation: str
    manifest: int
    intent: str = ''


def make_dispatch(
    call: Call,
    clock: Clock,
    target: DispatchTarget,
    exchange_id: RequestId,
    sidecar_clock: float,
) -> Dispatch:
    """Build the frame that sends a call to a sidecar.

    ``sidecar_clock`` is the clock of the sidecar's latest heartbeat, by which
    the sidecar refuses a dispatch that arrives too late.
    """
    return Dispatch(
        request=exchange_id,
        incarnation=target.incarnation,
        stamp=clock.stamp(),
        clock=sidecar_clock,
        manifest_version=target.manifest,
        organisation=call.organisation.name,
        method=call.request.method,
        target=call.request.target,
        headers=upstream_headers(call),
        body=call.request.body,
        left_ms=call.remaining_ms(clock),
        cost_ms=call.size.cost_ms,
        long=call.size.long,
        intent=target.intent,
    )


def upstream_headers(call: Call) -> HeaderList:
    """Return the header fields for the upstream.

    ``X-Organisation`` is the authenticated organisation; the caller's own
    field of that name is removed, so that no caller can impersonate one.
    """
    forwarded = tuple(
        field for field in call.request.headers if field[0] not in _UNFORWARDED
    )
    return (
        *forwarded,
        ('x-request-id', call.request_id),
        ('x-organisation', call.organisation.name),
    )
