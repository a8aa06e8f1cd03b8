"""Query sidecars about the outcome of keyed attempts."""

from __future__ import annotations

import trio

from ..adapters.httpclient import HttpResponse
from ..clock import move_on_after
from ..outcomes import Outcome, Reason, Refusal, unknown_outcome
from ..records import Intent
from .call import Call
from .conclusions import CallResult
from .context import EntryContext
from .exchange import Exchange
from .peers import Peer

#: How long a sidecar may take to respond to an inquiry.
INQUIRY_TIMEOUT_MS = 1500.0


class SidecarInquiries:
    """Send inquiries to sidecars and collect their results."""

    def __init__(self, context: EntryContext) -> None:
        """Take the entry's context, for its peers."""
        self._context = context

    async def collect_result(
        self,
        peer: Peer,
        exchange: Exchange,
        timeout_ms: float,
    ) -> CallResult:
        """Wait for an exchange's response and close the exchange.

        Return ``peer-gone`` when it is not complete after ``timeout_ms``.
        """
        call_result: CallResult = unknown_outcome(
            Reason.PEER_GONE, 'no answer in time'
        )
        try:
            with move_on_after(timeout_ms):
                call_result = await _read_response(exchange)
        finally:
            peer.close(exchange, cancel=False)
        return call_result

    async def inquire_intent(
        self,
        peer: Peer | None,
        intent: Intent,
    ) -> CallResult | None:
        """Query the outcome of an attempt, voiding it if it has not started.

        Return None when the sidecar is not connected or does not respond.
        """
        if peer is None or not peer.connected:
            return None
        exchange = peer.inquire_intent(intent.id)
        call_result = await self.collect_result(
            peer, exchange, INQUIRY_TIMEOUT_MS
        )
        is_gone = (
            isinstance(call_result, Refusal)
            and call_result.reason is Reason.PEER_GONE
        )
        return None if is_gone else call_result

    async def inquire_key(self, call: Call) -> CallResult | None:
        """Query a call's key at all connected sidecars of the service.

        The inquiries run concurrently and void nothing. The first response of a
        request that ran ends the others. Return None when no sidecar knows the
        key.
        """
        call_results: list[CallResult] = []
        async with trio.open_nursery() as nursery:

            async def inquire(peer: Peer) -> None:
                exchange = peer.inquire_key(call.key or '')
                call_result = await self.collect_result(
                    peer, exchange, INQUIRY_TIMEOUT_MS
                )
                call_results.append(call_result)
                if isinstance(call_result, HttpResponse):
                    nursery.cancel_scope.cancel()

            for peer in self._context.pool.connected(call.route.service.name):
                nursery.start_soon(inquire, peer)
        return _most_certain(call_results)


def _most_certain(call_results: list[CallResult]) -> CallResult | None:
    """Return a response if there is one, else an unknown outcome, else None."""
    uncertain: CallResult | None = None
    for call_result in call_results:
        if isinstance(call_result, HttpResponse):
            return call_result
        if call_result.outcome is Outcome.UNKNOWN:
            uncertain = call_result
    return uncertain


async def _read_response(exchange: Exchange) -> CallResult:
    head = await exchange.wait_head()
    if isinstance(head, Refusal):
        return head
    body = await exchange.read_body()
    if isinstance(body, Refusal):
        return body
    return HttpResponse(head.status, head.headers, body)
