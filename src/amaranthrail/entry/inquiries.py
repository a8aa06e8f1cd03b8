"""Ask sidecars what became of keyed work."""

from __future__ import annotations

import trio

from ..adapters.httpclient import HttpResponse
from ..clock import move_on_after
from ..outcomes import Outcome, Reason, Refusal, unknown_outcome
from ..records import Intent
from .call import Call
from .conclusions import Answer
from .core import EntryCore
from .exchange import Exchange
from .peers import Peer

ASK_TIMEOUT_MS = 1500.0


class Inquiries:
    """Put an entry's questions to sidecars."""

    def __init__(self, core: EntryCore) -> None:
        """Take the entry's parts."""
        self._core = core

    async def collect(
        self,
        peer: Peer,
        exchange: Exchange,
        bound_ms: float,
    ) -> Answer:
        """Return the whole answer of an exchange, or why there is none."""
        answer: Answer = unknown_outcome(Reason.PEER_GONE, 'no answer in time')
        try:
            with move_on_after(bound_ms):
                answer = await _read_answer(exchange)
        finally:
            peer.close(exchange, cancel=False)
        return answer

    async def ask_intent(
        self,
        peer: Peer | None,
        intent: Intent,
    ) -> Answer | None:
        """Return what a sidecar says, None where it cannot be asked now."""
        if peer is None or not peer.connected:
            return None
        exchange = peer.inquire(intent.id)
        answer = await self.collect(peer, exchange, ASK_TIMEOUT_MS)
        gone = isinstance(answer, Refusal) and answer.reason is Reason.PEER_GONE
        return None if gone else answer

    async def ask_key(self, call: Call) -> Answer | None:
        """Return what any sidecar of the service knows of a call's key.

        All are asked at once; None where none of them has had the key.
        """
        told: list[Answer] = []
        async with trio.open_nursery() as nursery:

            async def ask(peer: Peer) -> None:
                exchange = peer.ask_key(call.key or '')
                answer = await self.collect(peer, exchange, ASK_TIMEOUT_MS)
                told.append(answer)
                if isinstance(answer, HttpResponse):
                    nursery.cancel_scope.cancel()

            for peer in self._core.roster.connected(call.route.service.name):
                nursery.start_soon(ask, peer)
        return _most_certain(told)


def _most_certain(told: list[Answer]) -> Answer | None:
    """Return an answer that ran, else a doubt, else None."""
    doubt: Answer | None = None
    for answer in told:
        if isinstance(answer, HttpResponse):
            return answer
        if answer.outcome is Outcome.UNKNOWN:
            doubt = answer
    return doubt


async def _read_answer(exchange: Exchange) -> Answer:
    head = await exchange.wait_head()
    if isinstance(head, Refusal):
        return head
    body = await exchange.read_rest()
    if isinstance(body, Refusal):
        return body
    return HttpResponse(head.status, head.headers, body)
