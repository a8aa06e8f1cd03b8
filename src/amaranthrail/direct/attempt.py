"""Send a call to one upstream once and read its response."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

import trio

from ..adapters.httpclient import HttpExchange
from ..clock import Clock
from ..exceptions import (
    HttpError,
    RequestWithdrawnError,
    ResponseTooLargeError,
)
from ..logs import part_logger
from ..types import Millis
from .call import BufferedResponse, Call, Failure
from .ports import ForwardingFields, ResponseMetadata, WireFormat
from .relay import RelayedAttempt
from .upstreams import Directory, Upstream

_HTTP_OK = 200
_FIRST_SERVER_ERROR = 500
_FIRST_NON_SUCCESS = 300
#: Statuses from here on have no meaning assigned.
_FIRST_UNASSIGNED = 600
_EVENT_STREAM = 'text/event-stream'
_log = part_logger('attempt')


class AttemptSender:
    """Send single attempts and record their results in upstream health."""

    def __init__(
        self,
        clock: Clock,
        wire_format: WireFormat,
        directory: Directory,
    ) -> None:
        """Remove an upstream from ``directory`` if it has been replaced."""
        self._clock = clock
        self._wire_format = wire_format
        self._directory = directory

    async def send(
        self,
        call: Call,
        upstream: Upstream,
        relayed: RelayedAttempt,
    ) -> BufferedResponse | Failure | None:
        """Return a whole response or a failure.

        Return None once a stream has been relayed to its end.
        """
        headers = self._wire_format.request_headers(
            call.request,
            ForwardingFields(
                upstream.record.name,
                Millis(call.deadline - self._clock.now()),
                call.organisation,
                relayed.last_id,
                call.priority,
            ),
        )
        held_tokens = call.metadata.held_tokens
        upstream.end_reservation(call.metadata.attempt_id)
        upstream.adjust_in_flight(1, held_tokens)
        upstream.rate_limit.record_call()
        sent_at = self._clock.now()
        try:
            async with upstream.client.exchange(
                call.request.method,
                call.request.target,
                headers,
                call.request.body,
                # The upstream may already have closed a pooled connection; it
                # is then unknown whether it read the request, and a call that
                # must not run twice cannot be retried.
                new_connection=not call.route.retryable,
                head_guard=self._guard_send(call, upstream, relayed),
            ) as exchange:
                relayed.record_head()
                metadata = self._wire_format.read_response(
                    exchange.status, exchange.headers
                )
                _record_statement(call, upstream, metadata, sent_at)
                with self._watch_cost(upstream, relayed, exchange):
                    return await self._read_response(
                        call, upstream, relayed, exchange, metadata
                    )
        except RequestWithdrawnError as error:
            return Failure(str(error), may_have_run=False, delivered=False)
        except ResponseTooLargeError as error:
            upstream.health.record_unreachable(self._clock.now())
            return Failure(str(error), may_have_run=True, delivered=True)
        except HttpError as error:
            if not error.pooled or not error.sent:
                upstream.health.record_unreachable(self._clock.now())
            return Failure(
                str(error),
                may_have_run=error.sent,
                delivered=error.sent,
            )
        finally:
            upstream.adjust_in_flight(-1, held_tokens)

    @contextmanager
    def _guard_send(
        self, call: Call, upstream: Upstream, relayed: RelayedAttempt
    ) -> Iterator[None]:
        """Watch a call's wait for the head of its response.

        The call is withdrawn where its upstream's failure domain was evacuated
        while the connection opened, where its region is no longer allowed, or
        where other calls have used up what a cold upstream takes.
        """
        if not self._directory.is_allowed(upstream, call.allowed_regions):
            raise RequestWithdrawnError('region is not allowed')
        if not self._directory.may_send(upstream):
            domain = upstream.record.domain
            raise RequestWithdrawnError(f'domain {domain!r} is evacuated')
        if not upstream.cold_limit.try_take():
            raise RequestWithdrawnError('cold upstream takes no call now')
        with relayed.watch_wait():
            yield

    @contextmanager
    def _watch_cost(
        self,
        upstream: Upstream,
        relayed: RelayedAttempt,
        exchange: HttpExchange,
    ) -> Iterator[None]:
        """Count an attempt that is given up as failed if it was costly.

        The call may have been sent on, its caller may have left or its
        deadline may have passed, as the response was read slowly for its cost.
        """
        try:
            yield
        except trio.Cancelled:
            if exchange.is_costly and not relayed.has_stalled:
                upstream.health.record_failure(self._clock.now())
                _log.info('costly response', upstream=upstream.record.name)
            raise

    async def _read_response(
        self,
        call: Call,
        upstream: Upstream,
        relayed: RelayedAttempt,
        exchange: HttpExchange,
        metadata: ResponseMetadata,
    ) -> BufferedResponse | Failure | None:
        invalid = _check_head(call, metadata, exchange.status)
        if invalid is None or not invalid.may_have_run:
            upstream.health.record_admission(
                self._clock.now(), refused=invalid is not None
            )
        if invalid is not None:
            if invalid.misdirected:
                self._directory.remove(upstream.record.name, 'replaced')
            return invalid
        if metadata.load is not None:
            upstream.record_load(metadata.load)
        if relayed.has_started and not _is_event_stream(exchange):
            self._record_result(
                upstream, failed=exchange.status >= _FIRST_SERVER_ERROR
            )
            return Failure(
                f'begun stream continued with status {exchange.status}',
                may_have_run=True,
                delivered=True,
            )
        headers = self._wire_format.response_headers(exchange.headers)
        if call.route.streaming and exchange.status < _FIRST_NON_SUCCESS:
            failure = await relayed.relay_response(
                exchange,
                headers,
                upstream.record_activity,
            )
            self._record_result(upstream, failed=failure is not None)
            return failure
        share = relayed.open_share()
        try:
            body = await exchange.read_body(share)
        except HttpError:
            share.release()
            raise
        self._record_result(
            upstream,
            failed=exchange.status >= _FIRST_SERVER_ERROR,
        )
        return BufferedResponse(exchange.status, headers, body)

    def _record_result(self, upstream: Upstream, *, failed: bool) -> None:
        if failed:
            upstream.health.record_failure(self._clock.now())
        else:
            upstream.health.record_success()


def _is_event_stream(exchange: HttpExchange) -> bool:
    """Tell whether a response may continue a stream that has begun."""
    content_type = dict(exchange.headers).get('content-type', '').lower()
    return exchange.status == _HTTP_OK and content_type.startswith(
        _EVENT_STREAM
    )


def _record_statement(
    call: Call,
    upstream: Upstream,
    metadata: ResponseMetadata,
    sent_at: float,
) -> None:
    """Record what the upstream says of itself in a response to this call."""
    if metadata.replaced or metadata.attempt_id != call.metadata.attempt_id:
        return
    if metadata.statement.pause_ms:
        upstream.record_pause(metadata.statement.pause_ms)
    if metadata.statement.is_leaving:
        upstream.record_leaving()
    if metadata.statement.cold_ms is not None:
        upstream.cold_limit.record_statement(metadata.statement.cold_ms)
    limit_per_s = metadata.statement.limit_per_s
    if limit_per_s is not None:
        upstream.rate_limit.record_named(limit_per_s)
    elif not metadata.not_executed:
        upstream.rate_limit.record_unnamed(sent_at)


def _check_head(
    call: Call,
    metadata: ResponseMetadata,
    status: int,
) -> Failure | None:
    """Return why a response head cannot be passed to the caller, if so."""
    # First of all: a refusal of another call says nothing about this one.
    if metadata.attempt_id != call.metadata.attempt_id:
        return Failure(
            'answer to another request',
            may_have_run=True,
            delivered=True,
        )
    if metadata.replaced:
        return Failure(
            'upstream was replaced',
            may_have_run=False,
            delivered=True,
            misdirected=True,
        )
    if metadata.not_executed:
        return Failure(
            f'refused with {status}',
            may_have_run=False,
            delivered=True,
        )
    if metadata.encoded:
        return Failure(
            'body is encoded',
            may_have_run=True,
            delivered=True,
        )
    return _check_signature(metadata, status)


def _check_signature(metadata: ResponseMetadata, status: int) -> Failure | None:
    """Return why a response that is not signed cannot be passed on, if so.

    A success must be the upstream's own, and so must a status that has no
    meaning assigned.
    """
    if metadata.signed:
        return None
    cause = f'status {status} is not signed'
    if status < _FIRST_NON_SUCCESS:
        cause = 'success is not signed'
    elif status < _FIRST_UNASSIGNED:
        return None
    return Failure(cause, may_have_run=True, delivered=True)
