"""Stand in for a replica on the users' platform, with its misbehaviour."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

import trio

from amaranthrail.adapters.httpserver import HttpRequest, Reply
from amaranthrail.adapters.problem import send_json

_HTTP_OK = 200
_HTTP_MISDIRECTED = 421
_HTTP_FAILED = 500
_HTTP_UNAVAILABLE = 503
STREAM_EVENTS = 6


class Behaviour(Enum):
    """Choose what a replica does with a call."""

    HEALTHY = 'sound'
    SHEDDING = 'shedding'
    FAILING = 'failing'
    TRUNCATING = 'cutting'
    TRUNCATING_IN_EVENT = 'cutting-in-event'
    UNRESPONSIVE = 'mute'
    STALLING = 'stopping'
    WRONG_ATTEMPT_ID = 'crossed'
    UNSIGNED = 'unsigned'
    ENCODED = 'encoded'


@dataclass
class Replica:
    """Run calls, note them, and answer as it is told to."""

    name: str
    behaviour: Behaviour = Behaviour.HEALTHY
    executed: list[HttpRequest] = field(default_factory=list)
    refused: int = 0
    cancelled: int = 0
    pause_s: float = 0
    note_run: Callable[[str, HttpRequest], None] | None = None

    async def handle(self, request: HttpRequest, reply: Reply) -> None:
        """Answer one call."""
        if request.header('expect-replica') != self.name:
            self.refused += 1
            await send_json(reply, _HTTP_MISDIRECTED, {})
            return
        if self.behaviour is Behaviour.SHEDDING:
            self.refused += 1
            await reply.whole(_HTTP_UNAVAILABLE, (('not-executed', '1'),), b'')
            return
        self.executed.append(request)
        if self.note_run is not None:
            self.note_run(self.name, request)
        try:
            await self._run(request, reply)
        except trio.Cancelled:
            self.cancelled += 1
            raise

    def _headers(self, request: HttpRequest) -> tuple[tuple[str, str], ...]:
        attempt = request.header('attempt-id') or ''
        if self.behaviour is Behaviour.WRONG_ATTEMPT_ID:
            attempt = 'of-another'
        headers = [('attempt-id', attempt), ('replica-load', '1,0,6')]
        if self.behaviour is not Behaviour.UNSIGNED:
            headers.append(('replica-signature', f'signed-{self.name}'))
        if self.behaviour is Behaviour.ENCODED:
            headers.append(('content-encoding', 'gzip'))
        return tuple(headers)

    async def _run(self, request: HttpRequest, reply: Reply) -> None:
        if self.behaviour is Behaviour.UNRESPONSIVE:
            await trio.sleep_forever()
        await trio.sleep(self.pause_s)
        if self.behaviour is Behaviour.FAILING:
            await reply.whole(_HTTP_FAILED, self._headers(request), b'failed')
        elif request.path.startswith('/stream/'):
            await self._stream(request, reply)
        elif self.behaviour is Behaviour.TRUNCATING:
            await reply.start(_HTTP_OK, self._headers(request))
            await reply.part(b'half of an ans')
        else:
            body = f'{self.name} did {request.target}'.encode()
            await reply.whole(_HTTP_OK, self._headers(request), body)

    async def _stream(self, request: HttpRequest, reply: Reply) -> None:
        first = int(request.header('last-event-id') or '0') + 1
        kind = ('content-type', 'text/event-stream')
        await reply.start(_HTTP_OK, (kind, *self._headers(request)))
        for number in range(first, STREAM_EVENTS + 1):
            cuts = self.behaviour in {
                Behaviour.TRUNCATING,
                Behaviour.TRUNCATING_IN_EVENT,
            }
            if cuts and number == first + 2:
                if self.behaviour is Behaviour.TRUNCATING_IN_EVENT:
                    await reply.part(f'id: {number}\ndata: of it o'.encode())
                return
            if self.behaviour is Behaviour.STALLING and number == first + 2:
                await trio.sleep_forever()
            await reply.part(f'id: {number}\ndata: {number}\n\n'.encode())
            await trio.sleep(self.pause_s)
        await reply.finish()
