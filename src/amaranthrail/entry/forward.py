"""Forward idempotent work, retry within the budget, relay the answer."""

from __future__ import annotations

from functools import partial

from ..adapters.httpserver import ResponseWriter
from ..adapters.problem import send_refusal
from ..clock import move_on_after
from ..frames import ResponseHead
from ..outcomes import Outcome, Reason, Refusal, not_run, unknown_outcome
from ..types import HeaderList
from .call import Call, Target, make_dispatch
from .core import EntryCore
from .exchange import Exchange
from .peers import Peer

MAX_TRIES = 3
_STREAM_TYPE = 'text/event-stream'
_LAST_EVENT = b'data: [DONE]\n\n'
#: Refusals that come of news crossing on the way; another try is no retry in
#: the sense of the budget, since nothing was asked of an upstream.
_FREE_REASONS = frozenset(
    (
        Reason.STALE_MANIFEST,
        Reason.STALE_DISPATCH,
        Reason.WRONG_INCARNATION,
        Reason.DRAINING,
        Reason.VOIDED,
    ),
)
_FINAL_REASONS = frozenset(
    (Reason.EXPIRED, Reason.ANSWER_TOO_LARGE, Reason.CANCELLED),
)


async def forward(core: EntryCore, call: Call, reply: ResponseWriter) -> None:
    """Answer a caller's idempotent request, trying more than once if needed.

    Once bytes have gone to the caller there is no other try: an answer that
    breaks then ends cut, and visibly so.
    """
    core.budget.earn()
    excluded: frozenset[str] = frozenset()
    failure: Refusal | None = None
    for _ in range(MAX_TRIES):
        chosen = core.choose(call, excluded, admitted=failure is not None)
        if isinstance(chosen, Refusal):
            failure = failure or chosen
            break
        failure = await _try_once(core, call, chosen, reply)
        if failure is None or reply.started:
            return
        if not _may_retry(core, failure):
            break
        core.runtime.metrics.count('retries', reason=failure.reason.value)
        excluded |= {chosen.name}
    await send_refusal(
        reply,
        failure or not_run(Reason.NO_CAPACITY),
        _labels(call),
    )


def _may_retry(core: EntryCore, failure: Refusal) -> bool:
    if failure.reason in _FINAL_REASONS:
        return False
    return failure.reason in _FREE_REASONS or core.budget.spend()


async def _try_once(
    core: EntryCore,
    call: Call,
    peer: Peer,
    reply: ResponseWriter,
) -> Refusal | None:
    clock = core.runtime.clock
    target = Target(peer.incarnation or '', core.runtime.configuration.version)
    exchange = peer.dispatch(partial(make_dispatch, call, clock, target))
    failure: Refusal | None = None
    expired = True
    try:
        with move_on_after(call.left_ms(clock)):
            failure = await _relay(peer, exchange, call, reply)
            expired = False
    finally:
        peer.close(exchange, cancel=True)
    if expired:
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
    body = await _gather(peer, exchange)
    if isinstance(body, Refusal):
        return body
    await reply.send(head.status, answer_headers(head.headers, call), body)
    return None


async def _gather(peer: Peer, exchange: Exchange) -> bytes | Refusal:
    body = bytearray()
    while True:
        part = await exchange.next_part()
        if part is None:
            return bytes(body)
        if isinstance(part, Refusal):
            return part
        body += part
        peer.acknowledge(exchange)


async def _relay_stream(
    peer: Peer,
    exchange: Exchange,
    head: ResponseHead,
    call: Call,
    reply: ResponseWriter,
) -> Refusal | None:
    await reply.start(head.status, answer_headers(head.headers, call))
    held = b''
    while True:
        part = await exchange.next_part()
        if isinstance(part, Refusal):
            return part
        if part is None:
            break
        ready, held = _hold_last_event(held + part)
        if ready:
            await reply.send_chunk(ready)
        peer.acknowledge(exchange)
    if held:
        await reply.send_chunk(held)
    await reply.finish()
    return None


def _hold_last_event(payload: bytes) -> tuple[bytes, bytes]:
    """Keep back the event that says the answer is whole until it is."""
    if payload.endswith(_LAST_EVENT):
        cut = len(payload) - len(_LAST_EVENT)
        return payload[:cut], payload[cut:]
    return payload, b''


def _is_stream(head: ResponseHead) -> bool:
    return any(
        name == 'content-type' and text.startswith(_STREAM_TYPE)
        for name, text in head.headers
    )


def answer_headers(headers: HeaderList, call: Call) -> HeaderList:
    """Return the header fields of an answer that ran."""
    ran = ('x-outcome', Outcome.RAN.value)
    return (*headers, ran, *_labels(call))


def _labels(call: Call) -> HeaderList:
    return (('x-request-id', call.label),)
