"""Handle callers' requests: authenticate, route, size and process them."""

from __future__ import annotations

import itertools

from ..adapters.httpclient import HttpResponse
from ..adapters.httpserver import HttpRequest, ResponseWriter
from ..adapters.probes import send_readiness
from ..adapters.problem import send_refusal
from ..outcomes import Reason, Refusal, not_run
from ..policy.sizes import (
    SizeEstimate,
    estimate_completion,
    estimate_operation,
    parse_completion,
)
from ..types import KEY_HEADER
from .call import Call
from .context import EntryContext
from .forward import forward, response_headers
from .keyedrequests import KeyedRequests
from .routes import MODEL_PATHS, Route, RouteTable

_MAX_DEADLINE_MS = 3_600_000
_MAX_KEY_LENGTH = 255
_RETRY_AFTER_MS = 1000


class CallerHandler:
    """Handle the requests on the callers' port of one entry."""

    def __init__(
        self, context: EntryContext, keyed_requests: KeyedRequests
    ) -> None:
        """Take the entry's context and its keyed requests."""
        self._context = context
        self._keyed_requests = keyed_requests
        self._clock = context.runtime.clock
        self._metrics = context.runtime.metrics
        self._ids = itertools.count(1)

    async def handle(self, request: HttpRequest, reply: ResponseWriter) -> None:
        """Respond to one request; health probes need no credential."""
        if request.path in {'/healthz', '/readyz'}:
            ready = request.path == '/healthz' or self._context.ready
            await send_readiness(reply, ready=ready)
            return
        started_at = self._clock.now()
        request_id = f'{self._context.runtime.incarnation}-r{next(self._ids)}'
        call = self._parse_call(request, request_id)
        if isinstance(call, Refusal):
            self._count_refusal(call)
            await send_refusal(reply, call, (('x-request-id', request_id),))
            return
        await self._serve(call, reply)
        self._metrics.latency('request').record(self._clock.now() - started_at)

    async def _serve(self, call: Call, reply: ResponseWriter) -> None:
        organisation = call.organisation.name
        shares = self._context.shares
        if (
            shares.in_progress_count(organisation)
            >= call.organisation.limits.concurrent
        ):
            refusal = not_run(
                Reason.ORGANISATION_LIMIT,
                f'{organisation} has all it may have in progress',
                _RETRY_AFTER_MS,
            )
            self._count_refusal(refusal)
            await send_refusal(reply, refusal)
            return
        shares.add(organisation, call.size.cost_ms)
        try:
            await self._process(call, reply)
        finally:
            shares.remove(organisation, call.size.cost_ms)

    async def _process(self, call: Call, reply: ResponseWriter) -> None:
        if call.route.operation.idempotent:
            await forward(self._context, call, reply)
            return
        call_result = await self._keyed_requests.execute(call)
        if isinstance(call_result, HttpResponse):
            headers = response_headers(call_result.headers, call)
            await reply.send(call_result.status, headers, call_result.body)
            return
        self._count_refusal(call_result)
        await send_refusal(
            reply, call_result, (('x-request-id', call.request_id),)
        )

    def _parse_call(
        self, request: HttpRequest, request_id: str
    ) -> Call | Refusal:
        routes = self._context.routes
        if routes is None:
            return not_run(
                Reason.NO_MANIFEST, 'no manifest yet', _RETRY_AFTER_MS
            )
        organisation = routes.authenticate(request.header('authorization'))
        if organisation is None:
            return not_run(Reason.BAD_CREDENTIAL, 'give a known Bearer token')
        route_and_size = _find_route(routes, request)
        if isinstance(route_and_size, Refusal):
            return route_and_size
        route, size = route_and_size
        remaining_ms = _parse_deadline_ms(request, route)
        if isinstance(remaining_ms, Refusal):
            return remaining_ms
        key_refusal = _check_idempotency_key(request)
        if key_refusal is not None:
            return key_refusal
        deadline = self._clock.now() + remaining_ms
        return Call(request, organisation, route, size, deadline, request_id)

    def _count_refusal(self, refusal: Refusal) -> None:
        self._metrics.count(
            'refusals',
            outcome=refusal.outcome.value,
            reason=refusal.reason.value,
        )


def _find_route(
    routes: RouteTable,
    request: HttpRequest,
) -> tuple[Route, SizeEstimate] | Refusal:
    if request.path in MODEL_PATHS and request.method == 'POST':
        return _find_model_route(routes, request)
    route = routes.find_plain_route(request.method, request.path)
    if route is None:
        return not_run(Reason.NO_ROUTE, f'no service at {request.path!r:.120}')
    return route, estimate_operation(route.operation)


def _find_model_route(
    routes: RouteTable,
    request: HttpRequest,
) -> tuple[Route, SizeEstimate] | Refusal:
    model_call = parse_completion(request.body)
    if model_call is None:
        return not_run(
            Reason.BAD_REQUEST,
            'the body is no JSON object with model, messages or prompt, and '
            'a positive max_tokens',
        )
    route = routes.find_model_route(model_call.model, request.path)
    if route is None:
        return not_run(Reason.NO_ROUTE, f'no model {model_call.model!r:.80}')
    return route, estimate_completion(model_call, route.service.policies)


def _parse_deadline_ms(request: HttpRequest, route: Route) -> float | Refusal:
    """Return the milliseconds to the deadline, or why the header is invalid.

    Without ``X-Deadline-Ms`` it is the operation's deadline.
    """
    header = request.header('x-deadline-ms')
    if header is None:
        return float(route.operation.deadline_ms)
    if header.isascii() and header.isdecimal():
        deadline = int(header)
        if 0 < deadline <= _MAX_DEADLINE_MS:
            return float(deadline)
    return not_run(
        Reason.BAD_REQUEST,
        f'X-Deadline-Ms is {header!r:.40}: give 1 to {_MAX_DEADLINE_MS}',
    )


def _check_idempotency_key(request: HttpRequest) -> Refusal | None:
    header = request.header(KEY_HEADER)
    if header is None or (
        header.isprintable() and len(header) <= _MAX_KEY_LENGTH
    ):
        return None
    return not_run(
        Reason.BAD_REQUEST,
        f'Idempotency-Key: give up to {_MAX_KEY_LENGTH} printable characters',
    )
