"""Order one rank's engine over HTTP and fetch weights for it."""

from __future__ import annotations

from typing import Any

import msgspec

from ..clock import move_on_after
from ..exceptions import HttpError
from ..ports import EngineState
from .httpclient import Address, HttpClient, HttpResponse

ORDER_TIMEOUT_MS = 800
WEIGHTS_TIMEOUT_MS = 60_000
_HTTP_OK = 200


class HttpRankEngine:
    """Implement RankEnginePort over the engine's HTTP interface."""

    def __init__(self, address: Address) -> None:
        """Take the engine's address."""
        self._client = HttpClient(address)

    async def state(self) -> EngineState | None:
        """Return the engine's state; see RankEnginePort."""
        answer = await _call(self._client, 'GET', '/group', ORDER_TIMEOUT_MS)
        if answer is None:
            return None
        try:
            return msgspec.json.decode(answer.body, type=EngineState)
        except msgspec.DecodeError:
            return None

    async def arm(
        self,
        fence: int,
        version: int,
        from_step: int,
        ranks: tuple[int, ...],
    ) -> bool:
        """Arm a map; see RankEnginePort."""
        return await self._order(
            'arm',
            fence=fence,
            version=version,
            from_step=from_step,
            ranks=ranks,
        )

    async def release(self, fence: int, version: int) -> bool:
        """Let an armed map come into use; see RankEnginePort."""
        return await self._order('release', fence=fence, version=version)

    async def cancel(self, fence: int, version: int) -> bool:
        """Drop an armed map; see RankEnginePort."""
        return await self._order('cancel', fence=fence, version=version)

    async def _order(self, name: str, **fields: Any) -> bool:
        answer = await _call(
            self._client,
            'POST',
            f'/group/{name}',
            ORDER_TIMEOUT_MS,
            msgspec.json.encode(fields),
        )
        return answer is not None


class HttpWeightStore:
    """Implement WeightStorePort over the platform's HTTP interface."""

    def __init__(self, address: Address, group: str) -> None:
        """Take the store's address and whose weights are fetched."""
        self._client = HttpClient(address)
        self._group = group

    async def fetch(self, expert: int) -> bool:
        """Fetch one expert's weights; see WeightStorePort."""
        target = f'/weights/{self._group}/{expert}'
        answer = await _call(self._client, 'GET', target, WEIGHTS_TIMEOUT_MS)
        return answer is not None


async def _call(
    client: HttpClient,
    method: str,
    target: str,
    timeout_ms: float,
    body: bytes = b'',
) -> HttpResponse | None:
    """Return a successful answer, None for any other or none in time."""
    with move_on_after(timeout_ms):
        try:
            answer = await client.call(method, target, body=body)
        except HttpError:
            return None
        return answer if answer.status == _HTTP_OK else None
    return None
