"""Forward idempotent requests and retry them within the retry budget."""

from __future__ import annotations

from functools import partial

from ..adapters.httpserver import ResponseWriter
from ..adapters.problem import send_refusal
from ..clock import move_on_after
from ..frames import ResponseHead
from ..outcomes import Outcome, Reason, Refusal, not_run, unknown_outcome
from ..types import HeaderList
from .call import Call, DispatchTarget, make_dispatch
from .context import EntryContext
from .exchange import Exchange
from .peers import Peer

#: Attempts of one call, including the first.
MAX_ATTEMPTS = 3
_STREAM_TYPE = 'text/event-stream'
_LAST_EVENT = b'data: [DONE]\n\n'
#: Refusals because the configuration or the sidecar changed while the dispatch
#: was on its way. The upstream got no request, so another attempt is not
#: charged to the retry budget.
_UNBUDGETED_REASONS = frozenset(
    (
        Reason.STALE_MANIFEST,
        Reason.STALE_DISPATCH,
        Reason.WRONG_INCARNATION,
        Reason.DRAINING,
        Reason.VOIDED,
    ),
)
_FINAL_REASONS = frozenset(
    (Reason.EXPIRED, Reason.RESPONSE_TOO_LARGE, Reason.CANCELLED),
)


async def forward(
    context: EntryContext, call: Call, reply: ResponseWriter
) -> None:
    """Forward a call, retrying at other replicas, and send the response.

    There are at most ``MAX_ATTEMPTS`` attempts. Once bytes have gone to the
    caller there is no retry: a response that fails then ends without its last
    chunk, so that the caller can tell that it is truncated.
    """
    context.budget.deposit()
    excluded: frozenset[str] = frozenset()
    failure: Refusal | None = None
    for _ in range(MAX_ATTEMPTS):
        peer = context.choose_peer(call, excluded, admitted=failure is not None)
        if isinstance(peer, Refusal):
            failure = failure or peer
            break
        failure = await _attempt_once(context, call, peer, reply)
        if failure is None or reply.started:
            return
        if not _can_retry(context, failure):
            break
        context.runtime.metrics.count('retries', reason=failure.reason.value)
        excluded |= {peer.name}
    await send_refusal(
        reply,
        failure or not_run(Reason.NO_CAPACITY),
        _request_id_header(call),
    )


def _can_retry(context: EntryContext, failure: Refusal) -> bool:
    if failure.reason in _FINAL_REASONS:
        return False
    return (
        failure.reason in _UNBUDGETED_REASONS or context.budget.try_withdraw()
    )


async def _attempt_once(
    context: EntryContext,
    call: Call,
    peer: Peer,
    reply: ResponseWriter,
) -> Refusal | None:
    clock = context.runtime.clock
    target = DispatchTarget(
        peer.incarnation or '', context.runtime.configuration.version
    )
    exchange = peer.dispatch(partial(make_dispatch, call, clock, target))
    failure: Refusal | None = None
    has_expired = True
    try:
        with move_on_after(call.remaining_ms(clock)):
            failure = await _relay(peer, exchange, call, reply)
            has_expired = False
    finally:
        peer.close(exchange, cancel=True)
    if has_expired:
        return unknown_outcome(
            Reason.EXPIRED, 'no whole answer by the deadline'
        )
    return failure


async def _relay(
    peer: Peer,
    exchange: Exchange,
    call: Call,
    reply: ResponseWriter,
) -> Refusal | None:
    head = await exchange.wait_head()
    if isinstance(head, Refusal):
        return head
    if _is_stream(head):
        return await _relay_stream(peer, exchange, head, call, reply)
    body = await _read_body(peer, exchange)
    if isinstance(body, Refusal):
        return body
    await reply.send(head.status, response_headers(head.headers, call), body)
    return None


async def _read_body(peer: Peer, exchange: Exchange) -> bytes | Refusal:
    body = bytearray()
    while True:
        chunk = await exchange.next_chunk()
        if chunk is None:
            return bytes(body)
        if isinstance(chunk, Refusal):
            return chunk
        body += chunk
        peer.acknowledge(exchange)


async def _relay_stream(
    peer: Peer,
    exchange: Exchange,
    head: ResponseHead,
    call: Call,
    reply: ResponseWriter,
) -> Refusal | None:
    await reply.start(head.status, response_headers(head.headers, call))
    withheld = b''
    while True:
        chunk = await exchange.next_chunk()
        if isinstance(chunk, Refusal):
            return chunk
        if chunk is None:
            break
        events, withheld = _split_last_event(withheld + chunk)
        if events:
            await reply.send_chunk(events)
        peer.acknowledge(exchange)
    if withheld:
        await reply.send_chunk(withheld)
    await reply.finish()
    return None


def _split_last_event(payload: bytes) -> tuple[bytes, bytes]:
    """Split off a final ``[DONE]`` event, which marks a complete stream.

    It is sent only once the complete response has been received.
    """
    if payload.endswith(_LAST_EVENT):
        end = len(payload) - len(_LAST_EVENT)
        return payload[:end], payload[end:]
    return payload, b''


def _is_stream(head: ResponseHead) -> bool:
    return any(
        name == 'content-type' and text.startswith(_STREAM_TYPE)
        for name, text in head.headers
    )


def response_headers(headers: HeaderList, call: Call) -> HeaderList:
    """Return the header fields for a response of a request that ran."""
    outcome = ('x-outcome', Outcome.RAN.value)
    return (*headers, outcome, *_request_id_header(call))


def _request_id_header(call: Call) -> HeaderList:
    return (('x-request-id', call.request_id),)
