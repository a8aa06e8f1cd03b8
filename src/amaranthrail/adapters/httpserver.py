"""Serve HTTP/1.1 with h11, one task for each connection."""

from __future__ import annotations

import sys
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from urllib.parse import parse_qsl

import h11
import msgspec
import trio

from ..clock import move_on_after, sleep
from ..exceptions import InvariantError
from ..logs import part_logger
from ..outcomes import Outcome
from ..policy.buffering import BUFFER_SHARE
from ..types import HeaderList
from .buffers import BufferBudget, BufferShare
from .httpclient import encode_fields
from .httpinput import MAX_HEAD_BYTES, HttpInput, ParserEvent

#: Bytes that a request's header fields may have together.
MAX_HEADER_BYTES = MAX_HEAD_BYTES
#: Most bytes taken by one read from a stream whose input is discarded.
_DISCARD_BYTES = 65_536
#: Time from a request's head to the end of its body.
BODY_TIMEOUT_MS = 20_000
#: Time that a connection may wait for a request.
IDLE_TIMEOUT_MS = 75_000
#: Time that one write may take.
WRITE_TIMEOUT_MS = 30_000
#: Time for which a kept connection that is to close is still read, in ms: a
#: request on it may have been sent and not been read yet.
LAST_READ_MS = 100
#: Time between two checks whether a server's process may end, in ms.
_QUIET_CHECK_MS = 20
#: Checks in a row after which a process ends: connections are read meanwhile,
#: so that no request that has arrived is left unread.
_QUIET_CHECKS = 1 + LAST_READ_MS // _QUIET_CHECK_MS
#: Time in which a caller may finish sending a request that is refused, in ms.
LINGER_MS = 2000
#: Bytes of pipelined requests that are read while a request is handled.
_MAX_PIPELINED_BYTES = 16_384
_HTTP_TIMEOUT = 408
_HTTP_TOO_LARGE = 413
_HTTP_HEADERS_TOO_LARGE = 431
_HTTP_FAILED = 500
_HTTP_UNAVAILABLE = 503
#: Time after which callers may return that were refused for lack of memory, in
#: seconds: large requests are forwarded and answered within one.
_RETRY_AFTER_S = 1
_log = part_logger('http')

#: What streams and the parser raise when a connection fails. h11 raises its
#: LocalProtocolError for messages of ours that are not valid.
_CONNECTION_ERRORS = (
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    trio.TooSlowError,
    h11.RemoteProtocolError,
)


class ServerLimits(msgspec.Struct, frozen=True):
    """Bound the size of requests and the time that callers may take or idle.

    ``header_timeout_ms`` counts from the first bytes of a head; where it is
    None, the whole head must arrive within ``idle_timeout_ms``. Sizes are in
    bytes.
    """

    max_body_bytes: int
    max_header_bytes: int = MAX_HEADER_BYTES
    body_timeout_ms: float = BODY_TIMEOUT_MS
    idle_timeout_ms: float = IDLE_TIMEOUT_MS
    header_timeout_ms: float | None = None


class HttpRequest(msgspec.Struct, frozen=True):
    """Hold a complete request."""

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
        """Return the query parameters, the last of each name."""
        return dict(parse_qsl(self.target.partition('?')[2]))

    def header(self, name: str) -> str | None:
        """Return the first value of a header field, its name in lower case."""
        return next(
            (text for field, text in self.headers if field == name),
            None,
        )


class ResponseWriter:
    """Write one response; the connection closes if it is not finished."""

    def __init__(self, connection: _Connection) -> None:
        """Write to the connection that the request arrived on."""
        self._connection = connection
        self._started = False
        self._finished = False

    @property
    def started(self) -> bool:
        """Return whether sending the head has begun."""
        return self._started

    @property
    def finished(self) -> bool:
        """Return whether sending the end of the body has begun."""
        return self._finished

    async def send(
        self,
        status: int,
        headers: HeaderList,
        body: bytes,
    ) -> None:
        """Send a complete response, adding its Content-Length."""
        length = ('content-length', str(len(body)))
        events: list[h11.Event] = [self._head(status, (*headers, length))]
        if body:
            events.append(h11.Data(data=body))
        events.append(h11.EndOfMessage())
        self._finished = True
        await self._connection.send(*events)

    async def start(self, status: int, headers: HeaderList) -> None:
        """Send the head of a response whose body follows in parts.

        Without a Content-Length in ``headers`` the body is chunked.
        """
        await self._connection.send(self._head(status, headers))

    async def send_chunk(self, payload: bytes) -> None:
        """Send bytes of the body."""
        await self._connection.send(h11.Data(data=payload))

    async def finish(self) -> None:
        """Send the last chunk, without which the response is incomplete."""
        self._finished = True
        await self._connection.send(h11.EndOfMessage())

    def _head(self, status: int, headers: HeaderList) -> h11.Response:
        self._started = True
        close_field: HeaderList = ()
        if self._connection.closing:
            close_field = (('connection', 'close'),)
        return h11.Response(
            status_code=status,
            headers=encode_fields((*headers, *close_field)),
        )


#: Handles one request and writes its response.
Handler = Callable[[HttpRequest, ResponseWriter], Awaitable[None]]


class ServerState:
    """Hold what a server's connections share: limits and shutdown state."""

    def __init__(
        self,
        limits: Callable[[], ServerLimits],
        memory_bytes: int = sys.maxsize,
    ) -> None:
        """Read the limits from ``limits`` each time, as they may change.

        ``memory_bytes`` is the memory of the process, of which the bodies of
        all requests together may take a part.
        """
        self._limits = limits
        self._buffers = BufferBudget(int(BUFFER_SHARE * memory_bytes))
        self._closed = trio.Event()
        self._ending = trio.Event()
        self._close_announced = False
        self._active = 0
        self._reused_scopes: set[trio.CancelScope] = set()
        self._new_scopes: set[trio.CancelScope] = set()
        self._reading_scopes: set[trio.CancelScope] = set()

    @property
    def limits(self) -> ServerLimits:
        """Return the current limits."""
        return self._limits()

    @property
    def buffers(self) -> BufferBudget:
        """Return what bounds all bodies that are held."""
        return self._buffers

    @property
    def closing(self) -> bool:
        """Return whether connections close after their next response."""
        return self._close_announced or self._closed.is_set()

    @property
    def active(self) -> int:
        """Return how many requests are in progress."""
        return self._active

    def add_active(self, change: int) -> None:
        """Add ``change`` to the number of requests in progress."""
        self._active += change

    def announce_close(self) -> None:
        """Close each connection after its next response.

        Idle connections stay open until then.
        """
        self._close_announced = True

    def close(self) -> None:
        """Close each connection after its next response, reused idle ones now.

        A connection that has served a request and waits for another is closed
        after LAST_READ_MS; one that has served none may still send its first.
        """
        self._closed.set()
        for scope in self._reused_scopes:
            scope.cancel()

    def end(self) -> None:
        """Close all connections without a request after LAST_READ_MS.

        A request that arrives on one until then is served, and one that is
        being sent for LINGER_MS: its caller would keep the process from ending.
        """
        self.close()
        self._ending.set()
        for scope in self._new_scopes:
            scope.cancel()
        for scope in self._reading_scopes:
            _bound_reading(scope)

    @contextmanager
    def idle_timeout(self, *, reused: bool) -> Iterator[None]:
        """Leave the block after the idle timeout.

        On a reused connection, one that has served a request, the block is
        also left when the server closes; on a new one a first request may be
        on its way, so it is left when the server ends.
        """
        scopes = self._reused_scopes if reused else self._new_scopes
        is_over = self._closed if reused else self._ending
        with move_on_after(self.limits.idle_timeout_ms) as scope:
            scopes.add(scope)
            if is_over.is_set():
                scope.cancel()
            try:
                yield
            finally:
                scopes.discard(scope)

    @contextmanager
    def read_timeout(self, timeout_ms: float) -> Iterator[None]:
        """Leave the block, which reads the rest of a request, after a time.

        It is left LINGER_MS after the server ends if that is earlier.
        """
        with move_on_after(timeout_ms) as scope:
            self._reading_scopes.add(scope)
            if self._ending.is_set():
                _bound_reading(scope)
            try:
                yield
            finally:
                self._reading_scopes.discard(scope)

    async def wait_until_closing(self) -> None:
        """Wait until ``close`` is called; an announced close does not count."""
        await self._closed.wait()

    async def wait_until_ending(self) -> None:
        """Wait until ``end`` is called."""
        await self._ending.wait()


class _Connection:
    def __init__(self, stream: trio.abc.Stream, state: ServerState) -> None:
        self._stream = stream
        self._state = state
        self._input = HttpInput(
            h11.SERVER, stream, state.limits.max_header_bytes
        )
        self._pipelined_bytes = 0
        self._reused = False

    @property
    def closing(self) -> bool:
        return self._state.closing

    @property
    def can_respond(self) -> bool:
        """Return whether no byte of a response has been sent."""
        return self._input.parser.our_state is h11.SEND_RESPONSE

    async def send(self, *events: h11.Event) -> None:
        payload = b''.join(
            self._input.parser.send(event) or b'' for event in events
        )
        with trio.fail_after(WRITE_TIMEOUT_MS / 1000):
            await self._stream.send_all(payload)

    async def next_event(self) -> ParserEvent:
        while True:
            event = await self._input.poll()
            if event is not h11.NEED_DATA:
                return event
            await self._receive()

    async def read_request(
        self, share: BufferShare
    ) -> HttpRequest | int | None:
        """Return a request, a refusal's status, or None where none arrives.

        ``share`` is what its body may take of the memory.
        """
        head = await self._read_head()
        if head is None or isinstance(head, int):
            return head
        # The parser bounds only heads that arrive in more than one read.
        limits = self._state.limits
        if sum(map(_field_length, head.headers)) > limits.max_header_bytes:
            return _HTTP_HEADERS_TOO_LARGE
        length = _stated_length(head)
        if length > limits.max_body_bytes:
            return _HTTP_TOO_LARGE
        if not share.resize(length):
            return _HTTP_UNAVAILABLE
        request: HttpRequest | int = _HTTP_TIMEOUT
        with self._state.read_timeout(limits.body_timeout_ms):
            request = await self._read_body(head, share)
        # The block may be left before the assignment.
        return request  # noqa: RET504

    async def watch_disconnect(
        self, scope: trio.CancelScope, response: ResponseWriter
    ) -> None:
        """Cancel the scope once the caller has closed its side.

        A caller that has the whole response may close before the handler has
        recorded the outcome, so a finished response cancels nothing. Pipelined
        requests are buffered meanwhile. Once they exceed their bound, nothing
        is read and a disconnect is not noticed.
        """
        while self._pipelined_bytes < _MAX_PIPELINED_BYTES:
            try:
                received_bytes = await self._input.receive(_MAX_PIPELINED_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                received_bytes = 0
            self._pipelined_bytes += received_bytes
            if not received_bytes:
                if not response.finished:
                    scope.cancel()
                return

    async def discard_input(self) -> None:
        """Discard what the caller still sends, for at most LINGER_MS.

        A connection that is closed with unread bytes is reset, and a caller
        that is still sending may then not read the response.
        """
        if isinstance(self._stream, trio.abc.HalfCloseableStream):
            await self._stream.send_eof()
        with move_on_after(LINGER_MS):
            is_sending = True
            while is_sending:
                is_sending = bool(
                    await self._stream.receive_some(_DISCARD_BYTES)
                )

    def start_next(self) -> bool:
        """Prepare for the next request; return False if there can be none."""
        done = self._input.parser.our_state is h11.DONE
        if not done or self._input.parser.their_state is not h11.DONE:
            return False
        self._input.start_next()
        self._pipelined_bytes = 0
        self._reused = True
        return True

    async def _read_head(self) -> h11.Request | int | None:
        """Return a head, a refusal's status, or None where none arrives."""
        event = await self._await_first_event()
        if event is None and self._state.closing:
            with move_on_after(LAST_READ_MS):
                event = await self.next_event()
        timeout_ms = self._state.limits.header_timeout_ms
        if event is h11.NEED_DATA and timeout_ms is not None:
            with self._state.read_timeout(timeout_ms):
                event = await self.next_event()
        if event is h11.NEED_DATA:
            return _HTTP_TIMEOUT
        return event if isinstance(event, h11.Request) else None

    async def _await_first_event(self) -> ParserEvent | None:
        """Return None where nothing arrives before the idle timeout."""
        event: ParserEvent | None = None
        with self._state.idle_timeout(reused=self._reused):
            if self._state.limits.header_timeout_ms is None:
                event = await self.next_event()
            else:
                event = await self._receive_first_bytes()
        return event

    async def _receive_first_bytes(self) -> ParserEvent:
        """Return the parser's event after at most one read.

        The event is NEED_DATA where the head is not complete then.
        """
        event = await self._input.poll()
        if event is h11.NEED_DATA:
            await self._receive()
            event = await self._input.poll()
        return event

    async def _receive(self) -> None:
        """Read once into the parser, sending a due 100 Continue first."""
        if self._input.parser.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            await self.send(interim)
        await self._input.receive()

    async def _read_body(
        self, head: h11.Request, share: BufferShare
    ) -> HttpRequest | int:
        """Return the complete request, or the status that refuses it."""
        body = bytearray()
        stated_length = _stated_length(head)
        while True:
            event = await self.next_event()
            if isinstance(event, h11.EndOfMessage):
                break
            if isinstance(event, h11.Data):
                body += event.data
            if len(body) > self._state.limits.max_body_bytes:
                return _HTTP_TOO_LARGE
            size = max(len(body), stated_length)
            if not share.resize(size):
                return _HTTP_UNAVAILABLE
        return HttpRequest(
            head.method.decode('ascii'),
            head.target.decode('latin-1'),
            tuple(
                (name.decode('latin-1'), field_value.decode('latin-1'))
                for name, field_value in head.headers
            ),
            bytes(body),
        )


def _bound_reading(scope: trio.CancelScope) -> None:
    latest = trio.current_time() + LINGER_MS / 1000
    scope.deadline = min(scope.deadline, latest)


def _stated_length(head: h11.Request) -> int:
    """Return the length of the body that the head states, 0 for none."""
    for name, text in head.headers:
        if name == b'content-length':
            return int(text)
    return 0


def _field_length(field: tuple[bytes, bytes]) -> int:
    return len(field[0]) + len(field[1])


async def serve_connection(
    stream: trio.abc.Stream,
    handler: Handler,
    state: ServerState,
) -> None:
    """Serve the requests of one connection, in order, until it ends."""
    connection = _Connection(stream, state)
    async with stream:
        try:
            await _serve_requests(connection, handler, state)
        except* _CONNECTION_ERRORS as group:
            _log.debug('connection failed', cause=str(group.exceptions[0]))
        except* InvariantError:
            raise
        except* Exception as group:
            # A failure on one connection must not affect the others.
            _log.error('connection failed unforeseen', exc_info=group)


async def wait_until_quiet(is_busy: Callable[[], bool]) -> None:
    """Return once several checks in a row found nothing left to finish.

    A process that serves requests may begin its end then: requests may still
    arrive until ``ServerState.end`` has been called and all connections are
    closed.
    """
    quiet_checks = 0 if is_busy() else 1
    while quiet_checks < _QUIET_CHECKS:
        await sleep(_QUIET_CHECK_MS)
        quiet_checks = 0 if is_busy() else quiet_checks + 1


async def wait_while(is_busy: Callable[[], bool]) -> None:
    """Return as soon as a check finds nothing left to finish.

    No other task runs between that check and the return.
    """
    while is_busy():
        await sleep(_QUIET_CHECK_MS)


async def _serve_requests(
    connection: _Connection,
    handler: Handler,
    state: ServerState,
) -> None:
    is_open = True
    while is_open:
        with state.buffers.share() as share:
            is_open = await _serve_request(connection, handler, state, share)


async def _serve_request(
    connection: _Connection,
    handler: Handler,
    state: ServerState,
    share: BufferShare,
) -> bool:
    """Serve one request; return whether the connection stays open."""
    try:
        request = await connection.read_request(share)
    except h11.RemoteProtocolError as error:
        request = error.error_status_hint
    if isinstance(request, int):
        await _send_refusal(connection, request)
        if request != _HTTP_TIMEOUT:
            await connection.discard_input()
        return False
    if request is None:
        return False
    state.add_active(1)
    try:
        finished = await _answer_request(connection, handler, request)
    finally:
        state.add_active(-1)
    return finished and connection.start_next()


async def _answer_request(
    connection: _Connection,
    handler: Handler,
    request: HttpRequest,
) -> bool:
    """Handle a request, with status 500 where the handler fails unforeseen.

    Return whether the response was finished by the handler.
    """
    try:
        return await _handle_request(connection, handler, request)
    except* _CONNECTION_ERRORS:
        raise
    except* InvariantError:
        raise
    except* Exception as group:
        _log.error('handler failed', exc_info=group)
    if connection.can_respond:
        await _send_refusal(connection, _HTTP_FAILED, Outcome.UNKNOWN)
    return False


async def _handle_request(
    connection: _Connection,
    handler: Handler,
    request: HttpRequest,
) -> bool:
    """Run the handler until it returns or the caller disconnects.

    Return whether the response was finished.
    """
    response = ResponseWriter(connection)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            connection.watch_disconnect, nursery.cancel_scope, response
        )
        await handler(request, response)
        nursery.cancel_scope.cancel()
    return response.finished


async def _send_refusal(
    connection: _Connection, status: int, outcome: Outcome = Outcome.NOT_RUN
) -> None:
    """Refuse a request that no handler has finished, and announce the close."""
    body = msgspec.json.encode(
        {
            'title': 'request refused',
            'status': status,
            'outcome': outcome.value,
        }
    )
    headers: HeaderList = (
        ('content-type', 'application/problem+json'),
        ('x-outcome', outcome.value),
        ('connection', 'close'),
    )
    if status == _HTTP_UNAVAILABLE:
        headers = (*headers, ('retry-after', str(_RETRY_AFTER_S)))
    await ResponseWriter(connection).send(status, headers, body)
