"""Serve HTTP/1.1 with h11, one task for each connection."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from urllib.parse import parse_qsl

import h11
import msgspec
import trio

from ..clock import move_on_after
from ..exceptions import InvariantError
from ..logs import part_logger
from ..types import HeaderList
from .httpclient import encode_fields

MAX_HEADER_BYTES = 16_384
READ_BYTES = 65_536
BODY_TIMEOUT_MS = 20_000
IDLE_TIMEOUT_MS = 75_000
WRITE_TIMEOUT_MS = 30_000
_MAX_PIPELINED_BYTES = 65_536
_HTTP_TIMEOUT = 408
_HTTP_TOO_LARGE = 413
_HTTP_HEADERS_TOO_LARGE = 431
_log = part_logger('http')

_BROKEN = (
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    trio.TooSlowError,
    h11.ProtocolError,
)
_ParserEvent = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]


class ServerLimits(msgspec.Struct, frozen=True):
    """Bound what callers may send, and how long they may take or stay idle.

    ``header_timeout_ms`` counts from a head's first bytes; without it a head
    must be there before the connection has been idle for too long.
    """

    max_body_bytes: int
    max_header_bytes: int = MAX_HEADER_BYTES
    body_timeout_ms: float = BODY_TIMEOUT_MS
    idle_timeout_ms: float = IDLE_TIMEOUT_MS
    header_timeout_ms: float | None = None


class HttpRequest(msgspec.Struct, frozen=True):
    """Hold one whole request."""

    method: str
    target: str
    headers: HeaderList
    body: bytes

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition('?')[0]

    @property
    def query(self) -> dict[str, str]:
        """Return the query's fields, the last of each name."""
        return dict(parse_qsl(self.target.partition('?')[2]))

    def header(self, name: str) -> str | None:
        """Return the first field of a lower-case name."""
        return next(
            (text for known, text in self.headers if known == name),
            None,
        )


class ResponseWriter:
    """Write one answer; an answer never finished closes the connection."""

    def __init__(self, connection: _Connection) -> None:
        """Take the connection that the request came on."""
        self._connection = connection
        self._started = False
        self._finished = False

    @property
    def started(self) -> bool:
        """Tell whether the head has been sent."""
        return self._started

    @property
    def finished(self) -> bool:
        """Tell whether the whole answer has been sent."""
        return self._finished

    async def send(
        self,
        status: int,
        headers: HeaderList,
        body: bytes,
    ) -> None:
        """Send a complete answer with its content length."""
        length = ('content-length', str(len(body)))
        events: list[h11.Event] = [self._head(status, (*headers, length))]
        if body:
            events.append(h11.Data(data=body))
        events.append(h11.EndOfMessage())
        self._finished = True
        await self._connection.send(*events)

    async def start(self, status: int, headers: HeaderList) -> None:
        """Send the head of a chunked answer."""
        await self._connection.send(self._head(status, headers))

    async def send_chunk(self, payload: bytes) -> None:
        """Send one chunk of the body."""
        await self._connection.send(h11.Data(data=payload))

    async def finish(self) -> None:
        """Send the last chunk, which alone makes the answer whole."""
        self._finished = True
        await self._connection.send(h11.EndOfMessage())

    def _head(self, status: int, headers: HeaderList) -> h11.Response:
        self._started = True
        closing: HeaderList = ()
        if self._connection.closing:
            closing = (('connection', 'close'),)
        return h11.Response(
            status_code=status,
            headers=encode_fields((*headers, *closing)),
        )


Handler = Callable[[HttpRequest, ResponseWriter], Awaitable[None]]


class ServerState:
    """Share between connections whether the server is shutting down."""

    def __init__(self, limits: Callable[[], ServerLimits]) -> None:
        """Take what gives the limits in force."""
        self._limits = limits
        self._closing = trio.Event()
        self._announced = False
        self._active = 0
        self._idle: set[trio.CancelScope] = set()

    @property
    def limits(self) -> ServerLimits:
        """Return the limits in force."""
        return self._limits()

    @property
    def closing(self) -> bool:
        """Tell whether connections close after the answer in progress."""
        return self._announced or self._closing.is_set()

    @property
    def active(self) -> int:
        """Return how many requests are in progress."""
        return self._active

    def add_active(self, change: int) -> None:
        """Count a request in or out."""
        self._active += change

    def announce_close(self) -> None:
        """Let connections end with their next answer, idle ones stay."""
        self._announced = True

    def close(self) -> None:
        """Let every connection end after its next answer, kept ones now."""
        self._closing.set()
        for scope in self._idle:
            scope.cancel()

    @contextmanager
    def idle(self, *, kept: bool) -> Iterator[None]:
        """Give a scope that ends in time.

        That of a kept connection also ends when the server closes; on a new
        one a request may be on its way.
        """
        with move_on_after(self.limits.idle_timeout_ms) as scope:
            if kept:
                self._idle.add(scope)
            if kept and self._closing.is_set():
                scope.cancel()
            try:
                yield
            finally:
                self._idle.discard(scope)

    async def wait_until_closing(self) -> None:
        """Return once the server is shutting down."""
        await self._closing.wait()


class _Connection:
    def __init__(self, stream: trio.abc.Stream, state: ServerState) -> None:
        self._stream = stream
        self._state = state
        self._parser = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=state.limits.max_header_bytes,
        )
        self._pipelined = 0
        self._kept = False

    @property
    def closing(self) -> bool:
        return self._state.closing

    async def send(self, *events: h11.Event) -> None:
        payload = b''.join(self._parser.send(event) or b'' for event in events)
        with trio.fail_after(WRITE_TIMEOUT_MS / 1000):
            await self._stream.send_all(payload)

    async def next_event(self) -> _ParserEvent:
        while True:
            event = self._parser.next_event()
            if event is not h11.NEED_DATA:
                return event
            await self._receive()

    async def read_request(self) -> HttpRequest | int | None:
        """Return a request, the status that refuses it, or None at the end."""
        head = await self._read_head()
        if head is None or isinstance(head, int):
            return head
        # The parser bounds only heads that arrive in more than one piece.
        limits = self._state.limits
        if sum(map(_field_length, head.headers)) > limits.max_header_bytes:
            return _HTTP_HEADERS_TOO_LARGE
        with move_on_after(limits.body_timeout_ms):
            return await self._read_body(head)
        return _HTTP_TIMEOUT

    async def watch(self, scope: trio.CancelScope) -> None:
        """Cancel the scope once the caller has closed its side."""
        while self._pipelined < _MAX_PIPELINED_BYTES:
            try:
                received = await self._stream.receive_some(READ_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                received = b''
            self._parser.receive_data(bytes(received))
            self._pipelined += len(received)
            if not received:
                scope.cancel()
                return

    def start_next(self) -> bool:
        """Make ready for another request, if the connection may go on."""
        done = self._parser.our_state is h11.DONE
        if not done or self._parser.their_state is not h11.DONE:
            return False
        self._parser.start_next_cycle()
        self._pipelined = 0
        self._kept = True
        return True

    async def _read_head(self) -> h11.Request | int | None:
        """Return a head, the status that refuses it, or None at the end."""
        event: _ParserEvent | None = None
        timeout_ms = self._state.limits.header_timeout_ms
        with self._state.idle(kept=self._kept):
            if timeout_ms is None:
                event = await self.next_event()
            else:
                event = await self._begin_head()
        if event is h11.NEED_DATA and timeout_ms is not None:
            with move_on_after(timeout_ms):
                event = await self.next_event()
        if event is h11.NEED_DATA:
            return _HTTP_TIMEOUT
        return event if isinstance(event, h11.Request) else None

    async def _begin_head(self) -> _ParserEvent:
        """Return what the first bytes of a head make."""
        event = self._parser.next_event()
        if event is h11.NEED_DATA:
            await self._receive()
            event = self._parser.next_event()
        return event

    async def _receive(self) -> bytes:
        if self._parser.they_are_waiting_for_100_continue:
            go_ahead = h11.InformationalResponse(status_code=100, headers=[])
            await self.send(go_ahead)
        received = bytes(await self._stream.receive_some(READ_BYTES))
        self._parser.receive_data(received)
        return received

    async def _read_body(self, head: h11.Request) -> HttpRequest | int:
        body = bytearray()
        while True:
            event = await self.next_event()
            if isinstance(event, h11.EndOfMessage):
                break
            if isinstance(event, h11.Data):
                body += event.data
            if len(body) > self._state.limits.max_body_bytes:
                return _HTTP_TOO_LARGE
        return HttpRequest(
            head.method.decode('ascii'),
            head.target.decode('latin-1'),
            tuple(
                (name.decode('latin-1'), text.decode('latin-1'))
                for name, text in head.headers
            ),
            bytes(body),
        )


def _field_length(field: tuple[bytes, bytes]) -> int:
    return len(field[0]) + len(field[1])


async def serve_connection(
    stream: trio.abc.Stream,
    handler: Handler,
    state: ServerState,
) -> None:
    """Answer the requests of one connection, in order, until it ends."""
    connection = _Connection(stream, state)
    async with stream:
        try:
            await _serve(connection, handler, state)
        except* _BROKEN as group:
            _log.debug('connection broke', cause=str(group.exceptions[0]))
        except* InvariantError:
            raise
        except* Exception as group:
            # One connection's failure must not disturb the others.
            _log.error('handler failed', exc_info=group)


async def _serve(
    connection: _Connection,
    handler: Handler,
    state: ServerState,
) -> None:
    while True:
        try:
            request = await connection.read_request()
        except h11.RemoteProtocolError as error:
            await _refuse(connection, error.error_status_hint)
            return
        if isinstance(request, int):
            await _refuse(connection, request)
            return
        if request is None:
            return
        state.add_active(1)
        try:
            finished = await _answer(connection, handler, request)
        finally:
            state.add_active(-1)
        if not finished or not connection.start_next():
            return


async def _answer(
    connection: _Connection,
    handler: Handler,
    request: HttpRequest,
) -> bool:
    reply = ResponseWriter(connection)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(connection.watch, nursery.cancel_scope)
        await handler(request, reply)
        nursery.cancel_scope.cancel()
    return reply.finished


async def _refuse(connection: _Connection, status: int) -> None:
    body = b'{"title":"request refused","status":%d,"outcome":"not-run"}'
    headers = (
        ('content-type', 'application/problem+json'),
        ('x-outcome', 'not-run'),
        ('connection', 'close'),
    )
    await ResponseWriter(connection).send(status, headers, body % status)
