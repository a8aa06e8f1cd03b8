"""Send a call to one upstream once and take its answer."""

from __future__ import annotations

from contextlib import aclosing

from ..adapters.httpclient import HttpExchange
from ..clock import Clock
from ..exceptions import HttpError
from ..types import Millis
from .call import BufferedResponse, Call, Failure
from .ports import ForwardingFields, ResponseMetadata, WireFormat
from .relay import StreamRelay
from .upstreams import Directory, Upstream

_FIRST_SERVER_ERROR = 500
_FIRST_FAILURE = 300


class Attempts:
    """Make attempts for one entry."""

    def __init__(
        self,
        clock: Clock,
        dialect: WireFormat,
        directory: Directory,
    ) -> None:
        """Take the platform's formats and the upstreams."""
        self._clock = clock
        self._dialect = dialect
        self._directory = directory

    async def make(
        self,
        call: Call,
        upstream: Upstream,
        relay: StreamRelay,
    ) -> BufferedResponse | Failure | None:
        """Return the answer, why there is none, or None once relayed."""
        headers = self._dialect.request_headers(
            call.request,
            ForwardingFields(
                upstream.record.name,
                Millis(call.deadline - self._clock.now()),
                call.organisation,
                relay.last_id,
                call.priority,
            ),
        )
        upstream.count(1)
        try:
            async with upstream.client.exchange(
                call.request.method,
                call.request.target,
                headers,
                call.request.body,
                # A kept connection may have been closed by the other end, and
                # then nobody can tell whether the request was read.
                new_connection=not call.route.retryable,
                head_guard=relay.patience(),
            ) as exchange:
                return await self._take(call, upstream, relay, exchange)
        except HttpError as error:
            if not error.pooled or not error.sent:
                upstream.health.record_unreachable(self._clock.now())
            return Failure(str(error), ran=error.sent, arrived=error.sent)
        finally:
            upstream.count(-1)

    async def _take(
        self,
        call: Call,
        upstream: Upstream,
        relay: StreamRelay,
        exchange: HttpExchange,
    ) -> BufferedResponse | Failure | None:
        facts = self._dialect.read_response(exchange.status, exchange.headers)
        if facts.replaced:
            self._directory.remove(upstream.record.name, 'replaced')
            return Failure(
                'upstream was replaced',
                ran=False,
                arrived=True,
                misdirected=True,
            )
        fault = _fault(call, facts, exchange.status)
        if fault is not None:
            return fault
        if facts.load is not None:
            upstream.note_load(facts.load)
        headers = self._dialect.response_headers(exchange.headers)
        if call.route.streaming and exchange.status < _FIRST_FAILURE:
            failure = await relay.take(
                exchange,
                headers,
                upstream.note_heard,
            )
            self._note(upstream, failed=failure is not None)
            return failure
        async with aclosing(exchange.body_chunks()) as parts:
            chunks = [part async for part in parts]
        self._note(upstream, failed=exchange.status >= _FIRST_SERVER_ERROR)
        return BufferedResponse(exchange.status, headers, b''.join(chunks))

    def _note(self, upstream: Upstream, *, failed: bool) -> None:
        if failed:
            upstream.health.record_failure(self._clock.now())
        else:
            upstream.health.record_success()


def _fault(call: Call, facts: ResponseMetadata, status: int) -> Failure | None:
    """Return why an answer's head is not the answer to a call."""
    if facts.not_executed:
        return Failure(f'refused with {status}', ran=False, arrived=True)
    if facts.attempt_id != call.facts.attempt_id:
        return Failure('answer to another request', ran=True, arrived=True)
    if facts.encoded:
        return Failure('body is encoded', ran=True, arrived=True)
    if status < _FIRST_FAILURE and not facts.signed:
        return Failure('success is not signed', ran=True, arrived=True)
    return None
