"""Call HTTP/1.1 servers with h11; reuse connections where that is safe."""

from __future__ import annotations

import re
import socket
import ssl
from collections import deque
from collections.abc import (
    AsyncGenerator,
    AsyncIterator,
    Awaitable,
    Callable,
    Iterable,
)
from contextlib import (
    AbstractContextManager,
    aclosing,
    asynccontextmanager,
    nullcontext,
)
from functools import partial

import h11
import msgspec
import trio

from ..clock import MS_PER_SECOND, Clock
from ..decoding import parse_count
from ..exceptions import HttpError, ResponseTooLargeError
from ..policy.parsing import is_costly
from ..types import HeaderList
from .buffers import BufferShare
from .httpinput import HttpInput, ParserEvent

#: Highest port of TCP and UDP.
MAX_PORT = 65_535
#: Time for opening a connection, TLS handshake included.
CONNECT_TIMEOUT_MS = 2000.0
#: Longest response that is read whole, in bytes on the wire. A page of the
#: platform's store has 1 MB of records, a third more in Base64.
MAX_RESPONSE_BYTES = 3_145_728
#: Longest response that is read whole after one without end, in bytes.
REDUCED_RESPONSE_BYTES = 65_536
#: Most informational (1xx) responses before the final one.
MAX_INTERIM_RESPONSES = 16
#: Most idle connections that one client keeps.
_MAX_IDLE = 64
#: An idle connection is not reused in the last part of the keep-alive timeout
#: that its server states.
_IDLE_MARGIN_MS = 500.0
#: Idle time after which a connection is not reused where its server states no
#: keep-alive timeout.
_DEFAULT_IDLE_MS = 30_000.0
#: TCP_USER_TIMEOUT: a connection on which sent bytes stay unacknowledged for
#: this long is closed, because the network path has failed.
_TCP_USER_TIMEOUT_MS = 3000
#: Start of the version of responses that this client can read.
_MAJOR_VERSION = b'1.'
#: Timeout in a Keep-Alive header field, in seconds.
_KEEP_ALIVE_TIMEOUT = re.compile(r'timeout=(\d+)', re.IGNORECASE)
#: Name and value of a header field.
_EncodedField = tuple[bytes, bytes]
#: What streams and the parser raise when a connection fails.
_CONNECTION_ERRORS = (
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    trio.TooSlowError,
    h11.ProtocolError,
    OSError,
)


class Address(msgspec.Struct, frozen=True):
    """Identify a TCP endpoint by IP address and port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``host:port``, without brackets around an IPv6 address."""
        return f'{self.host}:{self.port}'


def parse_address(text: str) -> Address:
    """Parse ``host:port`` or ``http://host:port``.

    Raises ValueError where the port is no number.
    """
    authority = text.partition('://')[2] or text
    host, _, port = authority.rstrip('/').rpartition(':')
    port_number = parse_count(port)
    if port_number is None:
        raise ValueError(f'{port!r} is no port')
    return Address(host.strip('[]'), port_number)


class HttpResponse(msgspec.Struct, frozen=True):
    """Hold a complete response."""

    status: int
    headers: HeaderList
    body: bytes

    def header(self, name: str) -> str | None:
        """Return the first value of a header field, its name in lower case."""
        return next(
            (text for field, text in self.headers if field == name),
            None,
        )


class ResponseLimit:
    """Bound the responses of one server that are read whole.

    After one without end the bound is low, also for those that are being read,
    until a response has been read whole.
    """

    def __init__(self, max_bytes: int) -> None:
        """Set the longest response in bytes on the wire."""
        self._longest_bytes = max_bytes
        self._max_bytes = max_bytes

    @property
    def max_bytes(self) -> int:
        """Return the bound in force."""
        return self._max_bytes

    def record_end(self) -> None:
        """Record a response that was read whole."""
        self._max_bytes = self._longest_bytes

    def record_no_end(self) -> None:
        """Record a response without a length that had to be cut off."""
        self._max_bytes = min(self._longest_bytes, REDUCED_RESPONSE_BYTES)


class HttpExchange:
    """Read the response to one request: its head, then its body."""

    def __init__(
        self,
        http_input: HttpInput,
        limit: ResponseLimit,
    ) -> None:
        """Read from the connection that the request is sent on."""
        self._input = http_input
        self._limit = limit
        self._max_bytes: int | None = None
        self._is_read_whole = False
        self._received_bytes = 0
        self._status = 0
        self._headers: HeaderList = ()

    @property
    def status(self) -> int:
        """Return the status code, 0 until the head has been read."""
        return self._status

    @property
    def headers(self) -> HeaderList:
        """Return the header fields, none until the head has been read."""
        return self._headers

    @property
    def has_received(self) -> bool:
        """Tell whether any byte of a response has arrived."""
        return self._received_bytes > 0

    @property
    def is_costly(self) -> bool:
        """Tell whether the response costs more work than sound ones do."""
        return is_costly(self._input.turns)

    def count_stream_events(self, count: int) -> None:
        """Count work on events of a stream in the part that arrived last."""
        self._input.count_stream_events(count)

    async def read_head(self) -> None:
        """Wait for the head of the final response, skipping 1xx responses.

        Raises HttpError where the response ends or fails before, where a status
        line is not a valid one, or where 1xx responses exceed their limit.
        """
        head = await self._next_head()
        interim_count = 0
        while isinstance(head, h11.InformationalResponse):
            interim_count += 1
            if interim_count > MAX_INTERIM_RESPONSES:
                raise ResponseTooLargeError(
                    f'{MAX_INTERIM_RESPONSES} interim responses'
                )
            head = await self._next_head()
        if not isinstance(head, h11.Response):
            raise HttpError('no answer before the end', sent=True)
        self._status = head.status_code
        self._headers = tuple(
            (name.decode('latin-1'), field_value.decode('latin-1'))
            for name, field_value in head.headers
        )

    async def read_body(self, share: BufferShare | None = None) -> bytes:
        """Return the whole body.

        Raises HttpError where it is cut, exceeds the client's limit or the
        share of the process's memory, if one is given. The share is held until
        its owner releases it.
        """
        self._is_read_whole = True
        try:
            body = await self._gather_parts(share)
        except ResponseTooLargeError:
            if not self._states_length:
                self._limit.record_no_end()
            raise
        self._limit.record_end()
        return body

    async def body_chunks(
        self, max_bytes: int | None = None
    ) -> AsyncGenerator[bytes, None]:
        """Yield the body as it arrives.

        ``max_bytes`` bounds the response as it is on the wire, with chunk
        headers and trailers; by default there is no bound, as nothing is
        gathered here. Raises HttpError where the body is cut or too long.
        """
        self._max_bytes = max_bytes
        async with aclosing(self._read_parts()) as parts:
            async for part in parts:
                yield part

    async def _next_head(self) -> ParserEvent:
        """Return the next event; a head of another version is none.

        The parser checks statuses, and takes any version.
        """
        head = await self._next_event()
        if isinstance(head, (h11.InformationalResponse, h11.Response)):
            _check_version(head.http_version)
        return head

    @property
    def _states_length(self) -> bool:
        return any(name == 'content-length' for name, _ in self._headers)

    async def _gather_parts(self, share: BufferShare | None) -> bytes:
        body = bytearray()
        async with aclosing(self._read_parts()) as parts:
            async for part in parts:
                body += part
                if share is not None:
                    share.hold(len(body))
        return bytes(body)

    async def _read_parts(self) -> AsyncGenerator[bytes, None]:
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return
            if isinstance(event, h11.Data):
                yield bytes(event.data)

    async def _next_event(self) -> ParserEvent:
        while True:
            try:
                event = await self._input.poll()
                if event is not h11.NEED_DATA:
                    return event
                self._count_received(await self._input.receive())
            except _CONNECTION_ERRORS as error:
                raise HttpError(f'answer cut: {error}', sent=True) from error

    def _count_received(self, received_bytes: int) -> None:
        self._received_bytes += received_bytes
        max_bytes = self._max_bytes
        if self._is_read_whole:
            # Other responses of the server may have changed it meanwhile.
            max_bytes = self._limit.max_bytes
        if max_bytes is not None and self._received_bytes > max_bytes:
            raise ResponseTooLargeError(f'{max_bytes} bytes')


class _IdleConnection(msgspec.Struct, frozen=True):
    http_input: HttpInput
    usable_until: float


class HttpClient:
    """Call one server, reusing idle connections."""

    def __init__(
        self,
        address: Address,
        tls: ssl.SSLContext | None = None,
        connect_timeout_ms: float = CONNECT_TIMEOUT_MS,
        max_response_bytes: int = MAX_RESPONSE_BYTES,
    ) -> None:
        """Call the server at ``address``, over TLS where a context is given.

        ``connect_timeout_ms`` bounds the TLS handshake too;
        ``max_response_bytes`` bounds a response that is read whole.
        """
        self._limit = ResponseLimit(max_response_bytes)
        self._address = address
        self._tls = tls
        self._connect_timeout_s = connect_timeout_ms / MS_PER_SECOND
        self._clock = Clock()
        self._idle: deque[_IdleConnection] = deque()

    @property
    def address(self) -> Address:
        """Return the address of the server."""
        return self._address

    async def refuses_connections(self) -> bool:
        """Tell whether nothing listens at the address any more.

        False where a connection opens or where nobody responds.
        """
        try:
            with trio.move_on_after(self._connect_timeout_s):
                await self._open_and_close()
        except ConnectionRefusedError:
            return True
        except OSError:
            # Not a refusal: the host cannot be reached, or this process has no
            # descriptor left, so it is unknown.
            return False
        return False

    @property
    def idle_count(self) -> int:
        """Return the number of idle connections that are kept."""
        return len(self._idle)

    def close_idle(self) -> None:
        """Close the idle connections; those in use stay open."""
        while self._idle:
            _close_transport(self._idle.pop().http_input.stream)

    @asynccontextmanager
    async def exchange(
        self,
        method: str,
        target: str,
        headers: HeaderList = (),
        body: bytes = b'',
        *,
        new_connection: bool = False,
        head_guard: AbstractContextManager[object] | None = None,
    ) -> AsyncIterator[HttpExchange]:
        """Send a request and yield its exchange once the head has arrived.

        ``new_connection`` uses no idle connection, so that a failure to
        connect proves that the server has not seen the request.
        ``head_guard`` surrounds sending and the wait for the head. Nothing is
        sent where it raises an error as it is entered.

        Raises HttpError.
        """
        idle = None if new_connection else self._pop_idle()
        http_input = idle or await self._connect()
        exchange = HttpExchange(http_input, self._limit)
        try:
            send = partial(
                self._send, http_input, method, target, headers, body
            )
            await _send_and_read_head(
                exchange,
                send,
                head_guard,
                pooled=idle is not None,
            )
            yield exchange
        finally:
            await self._release(http_input, exchange)

    async def call(
        self,
        method: str,
        target: str,
        headers: HeaderList = (),
        body: bytes = b'',
        *,
        new_connection: bool = False,
    ) -> HttpResponse:
        """Send a request and return the complete response.

        ``new_connection`` is as for ``exchange``. Raises HttpError, also for a
        response that exceeds its limit.
        """
        async with self.exchange(
            method,
            target,
            headers,
            body,
            new_connection=new_connection,
        ) as exchange:
            body_bytes = await exchange.read_body()
            return HttpResponse(exchange.status, exchange.headers, body_bytes)

    async def _open_and_close(self) -> None:
        """Open a connection and close it. Raises OSError."""
        family = (
            socket.AF_INET6 if ':' in self._address.host else socket.AF_INET
        )
        with trio.socket.socket(family) as connection:
            await connection.connect((self._address.host, self._address.port))

    def _pop_idle(self) -> HttpInput | None:
        """Return the idle connection used last that can still be reused."""
        while self._idle:
            idle = self._idle.pop()
            expired = self._clock.now() > idle.usable_until
            stream = idle.http_input.stream
            if not expired and not _has_input_or_ended(stream):
                return idle.http_input
            _close_transport(stream)
        return None

    async def _connect(self) -> HttpInput:
        try:
            with trio.fail_after(self._connect_timeout_s):
                stream = await self._open()
        except _CONNECTION_ERRORS as error:
            reason = f'{self._address} does not accept: {error}'
            raise HttpError(reason, sent=False) from error
        return HttpInput(h11.CLIENT, stream)

    async def _open(self) -> trio.abc.Stream:
        stream = await trio.open_tcp_stream(
            self._address.host,
            self._address.port,
        )
        _set_tcp_user_timeout(stream)
        if self._tls is None:
            return stream
        secure = trio.SSLStream(
            stream,
            self._tls,
            server_hostname=self._address.host,
            https_compatible=True,
        )
        await secure.do_handshake()
        return secure

    async def _send(
        self,
        http_input: HttpInput,
        method: str,
        target: str,
        headers: HeaderList,
        body: bytes,
    ) -> None:
        """Send a request, with Host and Content-Length where needed."""
        fields = list(headers)
        if all(name != 'host' for name, _ in headers):
            fields.insert(0, ('host', str(self._address)))
        if body or method not in {'GET', 'HEAD'}:
            fields.append(('content-length', str(len(body))))
        request = h11.Request(
            method=method,
            target=target,
            headers=encode_fields(fields),
        )
        parser = http_input.parser
        payload = parser.send(request) or b''
        if body:
            payload += parser.send(h11.Data(data=body)) or b''
        payload += parser.send(h11.EndOfMessage()) or b''
        try:
            await http_input.stream.send_all(payload)
        except _CONNECTION_ERRORS as error:
            raise HttpError(f'request cut: {error}', sent=True) from error

    async def _release(
        self, http_input: HttpInput, exchange: HttpExchange
    ) -> None:
        """Keep a reusable connection if there is room, else close it."""
        parser = http_input.parser
        done = parser.our_state is h11.DONE and parser.their_state is h11.DONE
        # Bytes after the response belong to no request.
        is_reusable = done and not http_input.has_unread
        if is_reusable and len(self._idle) < _MAX_IDLE:
            http_input.start_next()
            usable_until = self._clock.now() + _reusable_ms(exchange.headers)
            self._idle.append(_IdleConnection(http_input, usable_until))
            return
        await trio.aclose_forcefully(http_input.stream)


def _check_version(version: bytes) -> None:
    """Raise HttpError for a version other than 1.x."""
    if not version.startswith(_MAJOR_VERSION):
        raise HttpError(f'answer in HTTP/{version.decode()}', sent=True)


def encode_fields(fields: Iterable[tuple[str, str]]) -> list[_EncodedField]:
    """Encode header fields as Latin-1.

    Raises UnicodeEncodeError for characters beyond Latin-1.
    """
    return [
        (name.encode('latin-1'), field_value.encode('latin-1'))
        for name, field_value in fields
    ]


def _reusable_ms(headers: HeaderList) -> float:
    """Return for how long the connection may stay idle and be reused."""
    for name, field_value in headers:
        if name == 'keep-alive':
            match = _KEEP_ALIVE_TIMEOUT.search(field_value)
            timeout_s = None if match is None else parse_count(match.group(1))
            if timeout_s is not None:
                return max(0, timeout_s * MS_PER_SECOND - _IDLE_MARGIN_MS)
    return _DEFAULT_IDLE_MS


def _has_input_or_ended(stream: trio.abc.Stream) -> bool:
    """Return whether an idle connection has ended or has unread bytes.

    Always False for TLS, because trio.SSLStream offers no such check.
    """
    if isinstance(stream, trio.SocketStream):
        return stream.socket.is_readable()
    return False


def _close_transport(stream: trio.abc.Stream) -> None:
    """Close the socket at once, without a TLS closure alert."""
    if isinstance(stream, trio.SSLStream):
        stream = stream.transport_stream
    if isinstance(stream, trio.SocketStream):
        stream.socket.close()


def _set_tcp_user_timeout(stream: trio.SocketStream) -> None:
    stream.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        _TCP_USER_TIMEOUT_MS,
    )


async def _send_and_read_head(
    exchange: HttpExchange,
    send: Callable[[], Awaitable[None]],
    head_guard: AbstractContextManager[object] | None,
    *,
    pooled: bool,
) -> None:
    """Send a request and wait for the head of its response.

    Sets ``pooled`` on an HttpError, unless a byte of a response has arrived: a
    server that closes an idle connection sends none.
    """
    try:
        with head_guard or nullcontext():
            await send()
            await exchange.read_head()
    except HttpError as error:
        error.pooled = pooled and not exchange.has_received
        raise
