"""Send orders to one rank's engine and fetch its weights, over HTTP."""

from __future__ import annotations

from typing import Any

import msgspec

from ..clock import move_on_after
from ..decoding import Undecodable, decode
from ..exceptions import HttpError
from ..ports import EngineState
from .httpclient import Address, HttpClient, HttpResponse

#: Time for the engine's response to an order or a state query.
ORDER_TIMEOUT_MS = 800
#: Time for fetching one expert's weights.
WEIGHTS_TIMEOUT_MS = 60_000
_HTTP_OK = 200
_state_decoder = msgspec.json.Decoder(EngineState)


class HttpRankEngine:
    """Implement RankEnginePort over the engine's HTTP interface."""

    def __init__(self, address: Address) -> None:
        """Call the engine at ``address``."""
        self._client = HttpClient(address)

    async def state(self) -> EngineState | None:
        """Return the engine's state or None; see RankEnginePort."""
        response = await _call(self._client, 'GET', '/group', ORDER_TIMEOUT_MS)
        if response is None:
            return None
        state = decode(_state_decoder.decode, response.body)
        return None if isinstance(state, Undecodable) else state

    async def arm(
        self,
        fence: int,
        version: int,
        from_step: int,
        ranks: tuple[int, ...],
    ) -> bool:
        """Arm an expert map for a step; see RankEnginePort."""
        return await self._send_order(
            'arm',
            fence=fence,
            version=version,
            from_step=from_step,
            ranks=ranks,
        )

    async def release(self, fence: int, version: int) -> bool:
        """Release an armed expert map into use; see RankEnginePort."""
        return await self._send_order('release', fence=fence, version=version)

    async def cancel(self, fence: int, version: int) -> bool:
        """Cancel an armed expert map; see RankEnginePort."""
        return await self._send_order('cancel', fence=fence, version=version)

    async def _send_order(self, name: str, **fields: Any) -> bool:
        """Return whether the engine accepted the order."""
        response = await _call(
            self._client,
            'POST',
            f'/group/{name}',
            ORDER_TIMEOUT_MS,
            msgspec.json.encode(fields),
        )
        return response is not None


class HttpWeightStore:
    """Implement WeightStorePort over the platform's HTTP interface."""

    def __init__(self, address: Address, group: str) -> None:
        """Call the store at ``address`` for the weights of ``group``."""
        self._client = HttpClient(address)
        self._group = group

    async def fetch(self, expert: int) -> bool:
        """Fetch one expert's weights; return whether they arrived."""
        target = f'/weights/{self._group}/{expert}'
        response = await _call(self._client, 'GET', target, WEIGHTS_TIMEOUT_MS)
        return response is not None


async def _call(
    client: HttpClient,
    method: str,
    target: str,
    timeout_ms: float,
    body: bytes = b'',
) -> HttpResponse | None:
    """Return a response of status 200, None for any other or none in time."""
    with move_on_after(timeout_ms):
        try:
            response = await client.call(method, target, body=body)
        except HttpError:
            return None
        return response if response.status == _HTTP_OK else None
    return None
