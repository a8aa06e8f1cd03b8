"""Stand in for a plain HTTP upstream with requests that must not run twice.

Run as ``python -m standins.plain HOST:PORT NAME``. Every request runs and is
recorded, so that tests see a keyed request that was executed twice. The
response depends on the request and NAME alone.
"""

from __future__ import annotations

import hashlib
import sys

import msgspec
import trio

from amaranthrail.adapters.httpserver import HttpRequest, ResponseWriter

from .faults import Faults, send_response
from .serving import JSON, serve

_SERVICE_TIME_MS = 5.0


class PlainService:
    """Execute requests concurrently and record each."""

    def __init__(self, name: str) -> None:
        """Set the upstream's name, which every response contains."""
        self._name = name
        self._faults = Faults()

    async def handle(self, request: HttpRequest, reply: ResponseWriter) -> None:
        """Execute a request, or serve the control API."""
        if request.path.startswith('/control/'):
            await self._faults.handle_control(request, reply)
            return
        run = self._faults.record_run(request)
        # Like a real upstream, finish a request whose caller has disconnected.
        with trio.CancelScope(shield=True):
            await trio.sleep((_SERVICE_TIME_MS + self._faults.delay_ms) / 1000)
            await self._faults.wait_not_stalled()
            run.finished = True
        body = msgspec.json.encode(self._response_content(request))
        await send_response(reply, self._faults, JSON, body)

    def _response_content(self, request: HttpRequest) -> dict[str, str]:
        key = request.header('idempotency-key') or ''
        body_digest = hashlib.sha256(request.body).hexdigest()
        return {
            'id': hashlib.sha256(key.encode()).hexdigest()[:12],
            'path': request.path,
            'key': key,
            'organisation': request.header('x-organisation') or '',
            'received': body_digest,
            'upstream': self._name,
            'status': 'filed',
        }


def main() -> None:
    """Serve until SIGTERM or SIGINT."""
    service = PlainService(sys.argv[2])
    trio.run(serve, sys.argv[1], service.handle)


if __name__ == '__main__':
    main()
