"""Stand in for a replica on the users' platform, with fault injection."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

import trio

from amaranthrail.adapters.httpserver import HttpRequest, ResponseWriter
from amaranthrail.types import HeaderList

_HTTP_OK = 200
_HTTP_MISDIRECTED = 421
_HTTP_SERVER_ERROR = 500
_HTTP_UNAVAILABLE = 503
#: Events of a whole stream, with ids from 1.
STREAM_EVENTS = 6


class Behaviour(Enum):
    """Select how a replica responds.

    SHEDDING refuses a call with 503 before it runs, FAILING responds with 500,
    TRUNCATING ends a response early and TRUNCATING_IN_EVENT ends a stream in
    the middle of an event. UNRESPONSIVE sends nothing, STALLING stops in the
    middle of a stream. WRONG_ATTEMPT_ID returns the attempt id of another call,
    UNSIGNED omits the replica signature and ENCODED declares a
    content-encoding.
    """

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
    """Execute calls, record them, and respond as ``behaviour`` says.

    ``executed`` has the calls that began, ``refused`` and ``cancelled`` count
    calls. ``pause_s`` is the time of a call and between two events of a stream,
    in seconds. ``statements`` are header fields of all responses but those
    with status 421. ``record_run`` is called as a call begins.
    """

    name: str
    behaviour: Behaviour = Behaviour.HEALTHY
    executed: list[HttpRequest] = field(default_factory=list)
    refused: int = 0
    cancelled: int = 0
    pause_s: float = 0
    statements: HeaderList = ()
    record_run: Callable[[str, HttpRequest], None] | None = None

    async def handle(self, request: HttpRequest, reply: ResponseWriter) -> None:
        """Respond to one call."""
        if request.header('expect-replica') != self.name:
            self.refused += 1
            attempt_id = request.header('attempt-id') or ''
            await reply.send(
                _HTTP_MISDIRECTED, (('attempt-id', attempt_id),), b'{}'
            )
            return
        if self.behaviour is Behaviour.SHEDDING:
            self.refused += 1
            headers = (
                ('attempt-id', request.header('attempt-id') or ''),
                ('not-executed', '1'),
                *self.statements,
            )
            await reply.send(_HTTP_UNAVAILABLE, headers, b'')
            return
        self.executed.append(request)
        if self.record_run is not None:
            self.record_run(self.name, request)
        try:
            await self._execute(request, reply)
        except trio.Cancelled:
            self.cancelled += 1
            raise

    def _headers(self, request: HttpRequest) -> tuple[tuple[str, str], ...]:
        attempt_id = request.header('attempt-id') or ''
        if self.behaviour is Behaviour.WRONG_ATTEMPT_ID:
            attempt_id = 'of-another'
        headers = [('attempt-id', attempt_id), ('replica-load', '1,0,6')]
        if self.behaviour is not Behaviour.UNSIGNED:
            headers.append(('replica-signature', f'signed-{self.name}'))
        if self.behaviour is Behaviour.ENCODED:
            headers.append(('content-encoding', 'gzip'))
        return (*headers, *self.statements)

    async def _execute(
        self, request: HttpRequest, reply: ResponseWriter
    ) -> None:
        if self.behaviour is Behaviour.UNRESPONSIVE:
            await trio.sleep_forever()
        await trio.sleep(self.pause_s)
        if self.behaviour is Behaviour.FAILING:
            await reply.send(
                _HTTP_SERVER_ERROR, self._headers(request), b'failed'
            )
        elif request.path.startswith('/stream/'):
            await self._send_stream(request, reply)
        elif self.behaviour is Behaviour.TRUNCATING:
            await reply.start(_HTTP_OK, self._headers(request))
            await reply.send_chunk(b'half of an ans')
        else:
            body = f'{self.name} did {request.target}'.encode()
            await reply.send(_HTTP_OK, self._headers(request), body)

    async def _send_stream(
        self, request: HttpRequest, reply: ResponseWriter
    ) -> None:
        first_id = int(request.header('last-event-id') or '0') + 1
        content_type = ('content-type', 'text/event-stream')
        await reply.start(_HTTP_OK, (content_type, *self._headers(request)))
        for number in range(first_id, STREAM_EVENTS + 1):
            truncates = self.behaviour in {
                Behaviour.TRUNCATING,
                Behaviour.TRUNCATING_IN_EVENT,
            }
            if truncates and number == first_id + 2:
                if self.behaviour is Behaviour.TRUNCATING_IN_EVENT:
                    await reply.send_chunk(
                        f'id: {number}\ndata: of it o'.encode()
                    )
                return
            if self.behaviour is Behaviour.STALLING and number == first_id + 2:
                await trio.sleep_forever()
            await reply.send_chunk(f'id: {number}\ndata: {number}\n\n'.encode())
            await trio.sleep(self.pause_s)
        await reply.finish()
