"""Hold one caller's request after it has been identified and sized."""

from __future__ import annotations

from dataclasses import dataclass

from ..adapters.httpserver import HttpRequest
from ..clock import Clock
from ..frames import Dispatch
from ..manifest import Organisation
from ..policy.sizes import SizeEstimate
from ..types import (
    KEY_HEADER,
    FilingKey,
    HeaderList,
    RequestId,
    qualified_key,
)
from .routes import Route

#: Fields that carry the caller's secrets or address this hop alone.
_PRIVATE_HEADERS = frozenset(
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
    """Hold a request, whose it is, where it goes and until when.

    ``deadline`` is monotonic milliseconds.
    """

    request: HttpRequest
    organisation: Organisation
    route: Route
    size: SizeEstimate
    deadline: float
    label: str

    @property
    def key(self) -> FilingKey | None:
        """Return the idempotency key, qualified by its organisation."""
        given = self.request.header(KEY_HEADER)
        if not given:
            return None
        return qualified_key(self.organisation.name, given)

    @property
    def operation_name(self) -> str:
        """Return the service and the operation, for people."""
        return f'{self.route.service.name}.{self.route.operation.name}'

    def left_ms(self, clock: Clock) -> float:
        """Return the time left until the deadline."""
        return self.deadline - clock.now()


@dataclass(frozen=True, slots=True)
class Target:
    """Name the sidecar run that a dispatch is for."""

    incarnation: str
    manifest: int
    intent: str = ''


def make_dispatch(
    call: Call,
    clock: Clock,
    target: Target,
    request: RequestId,
    sidecar_clock: float,
) -> Dispatch:
    """Return the frame that hands a call to a sidecar."""
    return Dispatch(
        request=request,
        incarnation=target.incarnation,
        stamp=clock.stamp(),
        clock=sidecar_clock,
        manifest=target.manifest,
        organisation=call.organisation.name,
        method=call.request.method,
        target=call.request.target,
        headers=upstream_headers(call),
        body=call.request.body,
        left_ms=call.left_ms(clock),
        cost_ms=call.size.cost_ms,
        long=call.size.long,
        intent=target.intent,
    )


def upstream_headers(call: Call) -> HeaderList:
    """Return what the upstream may see; who calls is our word, not theirs."""
    kept = tuple(
        pair for pair in call.request.headers if pair[0] not in _PRIVATE_HEADERS
    )
    return (
        *kept,
        ('x-request-id', call.label),
        ('x-organisation', call.organisation.name),
    )
