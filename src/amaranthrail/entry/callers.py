"""Take callers' requests: identify, route, size, hand on, answer."""

from __future__ import annotations

import itertools

from ..adapters.httpclient import HttpResponse
from ..adapters.httpserver import HttpRequest, ResponseWriter
from ..adapters.probes import send_readiness
from ..adapters.problem import send_refusal
from ..outcomes import Reason, Refusal, not_run
from ..policy.sizes import (
    Size,
    parse_model_call,
    size_model_call,
    size_operation,
)
from ..types import KEY_HEADER
from .call import Call
from .core import EntryCore
from .forward import answer_headers, forward
from .keyedrequests import KeyedRequests
from .routes import MODEL_PATHS, Route, RouteTable

_MAX_DEADLINE_MS = 3_600_000
_MAX_KEY_LENGTH = 255
_RETRY_MS = 1000


class Callers:
    """Serve the callers' port of one entry."""

    def __init__(self, core: EntryCore, filings: KeyedRequests) -> None:
        """Take the entry's parts."""
        self._core = core
        self._filings = filings
        self._clock = core.runtime.clock
        self._metrics = core.runtime.metrics
        self._labels = itertools.count(1)

    async def handle(self, request: HttpRequest, reply: ResponseWriter) -> None:
        """Answer one request."""
        if request.path in {'/healthz', '/readyz'}:
            ready = request.path == '/healthz' or self._core.ready
            await send_readiness(reply, ready=ready)
            return
        began = self._clock.now()
        label = f'{self._core.runtime.incarnation}-r{next(self._labels)}'
        call = self._identify(request, label)
        if isinstance(call, Refusal):
            self._count(call)
            await send_refusal(reply, call, (('x-request-id', label),))
            return
        await self._serve(call, reply)
        self._metrics.latency('request').record(self._clock.now() - began)

    async def _serve(self, call: Call, reply: ResponseWriter) -> None:
        organisation = call.organisation.name
        shares = self._core.shares
        if shares.count(organisation) >= call.organisation.limits.concurrent:
            refusal = not_run(
                Reason.ORGANISATION_LIMIT,
                f'{organisation} has all it may have in progress',
                _RETRY_MS,
            )
            self._count(refusal)
            await send_refusal(reply, refusal)
            return
        shares.take(organisation, call.size.cost_ms)
        try:
            await self._hand_on(call, reply)
        finally:
            shares.give_back(organisation, call.size.cost_ms)

    async def _hand_on(self, call: Call, reply: ResponseWriter) -> None:
        if call.route.operation.idempotent:
            await forward(self._core, call, reply)
            return
        answer = await self._filings.file(call)
        if isinstance(answer, HttpResponse):
            headers = answer_headers(answer.headers, call)
            await reply.send(answer.status, headers, answer.body)
            return
        self._count(answer)
        await send_refusal(reply, answer, (('x-request-id', call.label),))

    def _identify(self, request: HttpRequest, label: str) -> Call | Refusal:
        routes = self._core.routes
        if routes is None:
            return not_run(Reason.NO_MANIFEST, 'no manifest yet', _RETRY_MS)
        organisation = routes.organisation(request.header('authorization'))
        if organisation is None:
            return not_run(Reason.BAD_CREDENTIAL, 'give a known Bearer token')
        routed = _route(routes, request)
        if isinstance(routed, Refusal):
            return routed
        route, size = routed
        left_ms = _deadline_ms(request, route)
        if isinstance(left_ms, Refusal):
            return left_ms
        fault = _check_key(request)
        if fault is not None:
            return fault
        deadline = self._clock.now() + left_ms
        return Call(request, organisation, route, size, deadline, label)

    def _count(self, refusal: Refusal) -> None:
        self._metrics.count(
            'refusals',
            outcome=refusal.outcome.value,
            reason=refusal.reason.value,
        )


def _route(
    routes: RouteTable,
    request: HttpRequest,
) -> tuple[Route, Size] | Refusal:
    if request.path in MODEL_PATHS and request.method == 'POST':
        return _model_route(routes, request)
    route = routes.plain(request.method, request.path)
    if route is None:
        return not_run(Reason.NO_ROUTE, f'no service at {request.path!r:.120}')
    return route, size_operation(route.operation)


def _model_route(
    routes: RouteTable,
    request: HttpRequest,
) -> tuple[Route, Size] | Refusal:
    model_call = parse_model_call(request.body)
    if model_call is None:
        return not_run(
            Reason.BAD_REQUEST,
            'the body is no JSON object with model, messages or prompt, and '
            'a positive max_tokens',
        )
    route = routes.model(model_call.model, request.path)
    if route is None:
        return not_run(Reason.NO_ROUTE, f'no model {model_call.model!r:.80}')
    return route, size_model_call(model_call, route.service.policies)


def _deadline_ms(request: HttpRequest, route: Route) -> float | Refusal:
    given = request.header('x-deadline-ms')
    if given is None:
        return float(route.operation.deadline_ms)
    if given.isascii() and given.isdecimal():
        deadline = int(given)
        if 0 < deadline <= _MAX_DEADLINE_MS:
            return float(deadline)
    return not_run(
        Reason.BAD_REQUEST,
        f'X-Deadline-Ms is {given!r:.40}: give 1 to {_MAX_DEADLINE_MS}',
    )


def _check_key(request: HttpRequest) -> Refusal | None:
    given = request.header(KEY_HEADER)
    if given is None or (given.isprintable() and len(given) <= _MAX_KEY_LENGTH):
        return None
    return not_run(
        Reason.BAD_REQUEST,
        f'Idempotency-Key: give up to {_MAX_KEY_LENGTH} printable characters',
    )
