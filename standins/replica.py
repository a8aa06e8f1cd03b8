"""Stand in for a replica on the users' platform, with fault injection."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from types import MappingProxyType

import trio

from amaranthrail.adapters.httpserver import HttpRequest, ResponseWriter
from amaranthrail.types import HeaderList

_HTTP_OK = 200
_HTTP_NO_CONTENT = 204
_HTTP_NOT_FOUND = 404
_HTTP_MISDIRECTED = 421
_HTTP_SERVER_ERROR = 500
_HTTP_UNAVAILABLE = 503
#: Events of a whole stream, with ids from 1.
STREAM_EVENTS = 6
#: Begins the path of a stream whose events are padded to LARGE_EVENT_BYTES and
#: that has LARGE_EVENTS of them: more than the buffers on its way hold.
LARGE_STREAM_PATH = '/stream/large/'
LARGE_EVENT_BYTES = 40_000
LARGE_EVENTS = 200
#: Begins the path of a stream whose last part ends with ``-N``, its duration in
#: ms, and the time between two of its events, in ms.
LONG_STREAM_PATH = '/long/'
LONG_STREAM_PAUSE_MS = 100


class Behaviour(Enum):
    """Select how a replica responds.

    SHEDDING refuses a call with 503 before it runs, FAILING responds with 500,
    TRUNCATING ends a response early and TRUNCATING_IN_EVENT ends a stream in
    the middle of an event. UNRESPONSIVE sends nothing, STALLING stops in the
    middle of a stream. WRONG_ATTEMPT_ID returns the attempt id of another call,
    UNSIGNED omits the replica signature and ENCODED declares a
    content-encoding. REPEATING_REFUSAL and
    REPEATING_MISDIRECTED execute a call and respond with an earlier call's 503
    or 421, ANONYMOUS_REFUSAL with one that
    states no attempt id. NOT_FOUND responds with 404, EMPTY with 204, and PLAIN
    with a text that could be an event, also on routes with streams.
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
    REPEATING_REFUSAL = 'repeating-refusal'
    REPEATING_MISDIRECTED = 'repeating-misdirected'
    ANONYMOUS_REFUSAL = 'anonymous-refusal'
    NOT_FOUND = 'not-found'
    EMPTY = 'empty'
    PLAIN = 'plain'


#: Status and further fields of refusals that do not belong to the call.
_FOREIGN_REFUSALS = MappingProxyType(
    {
        Behaviour.REPEATING_REFUSAL: (
            _HTTP_UNAVAILABLE,
            (('attempt-id', 'of-another'), ('not-executed', '1')),
        ),
        Behaviour.REPEATING_MISDIRECTED: (
            _HTTP_MISDIRECTED,
            (('attempt-id', 'of-another'),),
        ),
        Behaviour.ANONYMOUS_REFUSAL: (
            _HTTP_UNAVAILABLE,
            (('not-executed', '1'),),
        ),
    }
)
#: Status and body of responses to executed calls that are no streams.
_PLAIN_RESPONSES = MappingProxyType(
    {
        Behaviour.FAILING: (_HTTP_SERVER_ERROR, b'failed'),
        Behaviour.NOT_FOUND: (_HTTP_NOT_FOUND, b'not found\n\n'),
        Behaviour.EMPTY: (_HTTP_NO_CONTENT, b''),
        Behaviour.PLAIN: (_HTTP_OK, b'a text\n\n'),
    }
)


@dataclass
class Replica:
    """Execute calls, record them, and respond as ``behaviour`` says.

    ``executed`` has the calls that began, ``refused`` and ``cancelled`` count
    calls. ``pause_s`` is the time of a call and between two events of a stream,
    in seconds. ``statements`` are header fields of all responses but those
    with status 421. ``record_run`` is called as a call begins, ``record_end``
    as the work on it ends, whether it is complete or was cancelled.
    """

    name: str
    behaviour: Behaviour = Behaviour.HEALTHY
    executed: list[HttpRequest] = field(default_factory=list)
    refused: int = 0
    cancelled: int = 0
    pause_s: float = 0
    statements: HeaderList = ()
    record_run: Callable[[str, HttpRequest], None] | None = None
    record_end: Callable[[HttpRequest], None] | None = None

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
        finally:
            if self.record_end is not None:
                self.record_end(request)

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

    def _special_response(
        self, request: HttpRequest
    ) -> tuple[int, HeaderList, bytes] | None:
        """Return what some behaviours respond with on all routes."""
        refusal = _FOREIGN_REFUSALS.get(self.behaviour)
        if refusal:
            return (*refusal, b'')
        response = _PLAIN_RESPONSES.get(self.behaviour)
        if response:
            return response[0], self._headers(request), response[1]
        return None

    async def _execute(
        self, request: HttpRequest, reply: ResponseWriter
    ) -> None:
        if self.behaviour is Behaviour.UNRESPONSIVE:
            await trio.sleep_forever()
        await trio.sleep(self.pause_s)
        response = self._special_response(request)
        if response:
            await reply.send(*response)
        elif request.path.startswith(('/stream/', LONG_STREAM_PATH)):
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
        events, padding, pause_s = STREAM_EVENTS, '', self.pause_s
        if request.path.startswith(LARGE_STREAM_PATH):
            events, padding = LARGE_EVENTS, ' ' * LARGE_EVENT_BYTES
        elif request.path.startswith(LONG_STREAM_PATH):
            events = long_stream_events(request.path)
            pause_s = LONG_STREAM_PAUSE_MS / 1000
        content_type = ('content-type', 'text/event-stream')
        await reply.start(_HTTP_OK, (content_type, *self._headers(request)))
        for number in range(first_id, events + 1):
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
            await reply.send_chunk(
                f'id: {number}\ndata: {number}{padding}\n\n'.encode()
            )
            await trio.sleep(pause_s)
        await reply.finish()


def long_stream_events(path: str) -> int:
    """Return the number of events of a long stream from its path."""
    return int(path.rpartition('-')[2]) // LONG_STREAM_PAUSE_MS
