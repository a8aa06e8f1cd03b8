"""Stand in for a plain service whose filings must not repeat.

Run as ``python -m standins.plain HOST:PORT NAME``. Any POST runs and is
recorded; any GET answers from its path alone.
"""

from __future__ import annotations

import hashlib
import sys

import msgspec
import trio

from amaranthrail.adapters.httpserver import HttpRequest, ResponseWriter

from .faults import Faults, send_cut
from .serving import JSON, serve

_WORK_MS = 5.0


class PlainService:
    """Run calls one by one or side by side, as they come."""

    def __init__(self, name: str) -> None:
        """Take the upstream's name, which every answer carries."""
        self._name = name
        self._faults = Faults()

    async def handle(self, request: HttpRequest, reply: ResponseWriter) -> None:
        """Answer one request."""
        if request.path.startswith('/control/'):
            await self._faults.control(request, reply)
            return
        run = self._faults.begin(request)
        # What an upstream has begun goes on when the caller hangs up.
        with trio.CancelScope(shield=True):
            await trio.sleep((_WORK_MS + self._faults.delay_ms) / 1000)
            await self._faults.wait_unstalled()
            run.finished = True
        body = msgspec.json.encode(self._answer(request))
        await send_cut(reply, self._faults, JSON, body)

    def _answer(self, request: HttpRequest) -> dict[str, str]:
        key = request.header('idempotency-key') or ''
        sent = hashlib.sha256(request.body).hexdigest()
        return {
            'id': hashlib.sha256(key.encode()).hexdigest()[:12],
            'path': request.path,
            'key': key,
            'organisation': request.header('x-organisation') or '',
            'received': sent,
            'upstream': self._name,
            'status': 'filed',
        }


def main() -> None:
    """Serve until told to end."""
    service = PlainService(sys.argv[2])
    trio.run(serve, sys.argv[1], service.handle)


if __name__ == '__main__':
    main()
