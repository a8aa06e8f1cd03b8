"""Call HTTP/1.1 servers with h11; pool connections where that is safe."""

from __future__ import annotations

import re
import socket
import ssl
from collections import deque
from collections.abc import (
    AsyncGenerator,
    AsyncIterator,
    Awaitable,
    Iterable,
)
from contextlib import (
    AbstractContextManager,
    aclosing,
    asynccontextmanager,
    nullcontext,
)

import h11
import msgspec
import trio

from ..clock import MS_PER_SECOND, Clock
from ..exceptions import HttpError
from ..types import HeaderList

CONNECT_TIMEOUT_MS = 2000.0
_READ_BYTES = 65_536
_MAX_IDLE = 64
#: An idle connection is not used in the last of its time at the server.
_IDLE_MARGIN_MS = 500.0
#: Idle time after which a connection to a server that names none is closed.
_DEFAULT_IDLE_MS = 30_000.0
#: Unacknowledged bytes for this long end a connection: the path is gone.
_UNACKNOWLEDGED_MS = 3000
_KEEP_ALIVE = re.compile(r'timeout=(\d+)', re.IGNORECASE)
_Field = tuple[bytes, bytes]
_ParserEvent = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]
_BROKEN = (
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    trio.TooSlowError,
    h11.ProtocolError,
    OSError,
)


class Address(msgspec.Struct, frozen=True):
    """Name a TCP endpoint by IP number and port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``host:port``."""
        return f'{self.host}:{self.port}'


def parse_address(text: str) -> Address:
    """Return the address in ``host:port`` or ``http://host:port``."""
    bare = text.partition('://')[2] or text
    host, _, port = bare.rstrip('/').rpartition(':')
    return Address(host.strip('[]'), int(port))


class HttpResponse(msgspec.Struct, frozen=True):
    """Hold one whole answer."""

    status: int
    headers: HeaderList
    body: bytes

    def header(self, name: str) -> str | None:
        """Return the first field of a lower-case name."""
        return next(
            (text for known, text in self.headers if known == name),
            None,
        )


class HttpExchange:
    """Hold the answer to one request while its body arrives."""

    def __init__(self, parser: h11.Connection, stream: trio.abc.Stream) -> None:
        """Take a connection on which a request has been sent."""
        self._parser = parser
        self._stream = stream
        self._status = 0
        self._headers: HeaderList = ()

    @property
    def status(self) -> int:
        """Return the answer's status."""
        return self._status

    @property
    def headers(self) -> HeaderList:
        """Return the answer's header fields."""
        return self._headers

    async def read_head(self) -> None:
        """Wait for the answer's head."""
        head = await self._next_event()
        while isinstance(head, h11.InformationalResponse):
            head = await self._next_event()
        if not isinstance(head, h11.Response):
            raise HttpError('no answer before the end', sent=True)
        self._status = head.status_code
        self._headers = tuple(
            (name.decode('latin-1'), text.decode('latin-1'))
            for name, text in head.headers
        )

    async def body_chunks(self) -> AsyncGenerator[bytes, None]:
        """Yield the body as it arrives; raises HttpError when it is cut."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return
            if isinstance(event, h11.Data):
                yield bytes(event.data)

    async def _next_event(self) -> _ParserEvent:
        while True:
            try:
                event = self._parser.next_event()
                if event is not h11.NEED_DATA:
                    return event
                received = await self._stream.receive_some(_READ_BYTES)
                self._parser.receive_data(bytes(received))
            except _BROKEN as error:
                raise HttpError(f'answer cut: {error}', sent=True) from error


class _Idle(msgspec.Struct, frozen=True):
    parser: h11.Connection
    stream: trio.abc.Stream
    usable_until: float


class HttpClient:
    """Call one server, keeping idle connections for later calls."""

    def __init__(
        self,
        address: Address,
        tls: ssl.SSLContext | None = None,
        connect_timeout_ms: float = CONNECT_TIMEOUT_MS,
    ) -> None:
        """Take the server's address and, for HTTPS, a TLS context."""
        self._address = address
        self._tls = tls
        self._connect_timeout_s = connect_timeout_ms / MS_PER_SECOND
        self._clock = Clock()
        self._idle: deque[_Idle] = deque()

    @property
    def address(self) -> Address:
        """Return the address of the server."""
        return self._address

    def close_idle(self) -> None:
        """Close the connections that serve no call."""
        while self._idle:
            _close_now(self._idle.pop().stream)

    @asynccontextmanager
    async def exchange(
        self,
        method: str,
        target: str,
        headers: HeaderList = (),
        body: bytes = b'',
        *,
        new_connection: bool = False,
        head_guard: AbstractContextManager[None] | None = None,
    ) -> AsyncIterator[HttpExchange]:
        """Send a request and yield the exchange once the head has arrived.

        ``new_connection`` uses no idle connection, so that a failure to
        connect proves that the server has not seen the request.
        ``head_guard`` surrounds sending and the wait for the head; it may
        cancel them and must suppress the cancellation.

        Raises HttpError, also where the guard has cancelled.
        """
        kept = None if new_connection else self._take_idle()
        if kept is None:
            parser, stream = await self._connect()
        else:
            parser, stream = kept
        exchange = HttpExchange(parser, stream)
        try:
            send = self._send(parser, stream, method, target, headers, body)
            await _begin(exchange, send, head_guard, pooled=kept is not None)
            yield exchange
        finally:
            await self._give_back(parser, stream, exchange)

    async def call(
        self,
        method: str,
        target: str,
        headers: HeaderList = (),
        body: bytes = b'',
        *,
        new_connection: bool = False,
    ) -> HttpResponse:
        """Return the whole answer to a request. Raises HttpError."""
        async with self.exchange(
            method,
            target,
            headers,
            body,
            new_connection=new_connection,
        ) as exchange:
            async with aclosing(exchange.body_chunks()) as parts:
                chunks = [part async for part in parts]
            return HttpResponse(
                exchange.status,
                exchange.headers,
                b''.join(chunks),
            )

    def _take_idle(self) -> tuple[h11.Connection, trio.abc.Stream] | None:
        """Return the latest idle connection that is fit for a request."""
        while self._idle:
            idle = self._idle.pop()
            expired = self._clock.now() > idle.usable_until
            if not expired and not _has_input(idle.stream):
                return idle.parser, idle.stream
            _close_now(idle.stream)
        return None

    async def _connect(self) -> tuple[h11.Connection, trio.abc.Stream]:
        try:
            with trio.fail_after(self._connect_timeout_s):
                stream = await self._open()
        except _BROKEN as error:
            reason = f'{self._address} does not accept: {error}'
            raise HttpError(reason, sent=False) from error
        return h11.Connection(h11.CLIENT), stream

    async def _open(self) -> trio.abc.Stream:
        stream = await trio.open_tcp_stream(
            self._address.host,
            self._address.port,
        )
        _bound_silence(stream)
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
        parser: h11.Connection,
        stream: trio.abc.Stream,
        method: str,
        target: str,
        headers: HeaderList,
        body: bytes,
    ) -> None:
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
        payload = parser.send(request) or b''
        if body:
            payload += parser.send(h11.Data(data=body)) or b''
        payload += parser.send(h11.EndOfMessage()) or b''
        try:
            await stream.send_all(payload)
        except _BROKEN as error:
            raise HttpError(f'request cut: {error}', sent=True) from error

    async def _give_back(
        self,
        parser: h11.Connection,
        stream: trio.abc.Stream,
        exchange: HttpExchange,
    ) -> None:
        ended = parser.our_state is h11.DONE and parser.their_state is h11.DONE
        # Bytes after an answer belong to no request.
        clean = ended and not parser.trailing_data[0]
        if clean and len(self._idle) < _MAX_IDLE:
            parser.start_next_cycle()
            until = self._clock.now() + _idle_ms(exchange.headers)
            self._idle.append(_Idle(parser, stream, until))
            return
        await trio.aclose_forcefully(stream)


def encode_fields(fields: Iterable[tuple[str, str]]) -> list[_Field]:
    """Return header fields as bytes; theirs beyond ASCII are Latin-1."""
    return [
        (name.encode('latin-1'), text.encode('latin-1'))
        for name, text in fields
    ]


def _idle_ms(headers: HeaderList) -> float:
    """Return for how long an answer's connection may be used again."""
    for name, text in headers:
        if name == 'keep-alive':
            found = _KEEP_ALIVE.search(text)
            if found is not None:
                stated_ms = int(found.group(1)) * MS_PER_SECOND
                return max(0, stated_ms - _IDLE_MARGIN_MS)
    return _DEFAULT_IDLE_MS


def _has_input(stream: trio.abc.Stream) -> bool:
    """Tell whether an idle connection has ended or carries stray bytes."""
    if isinstance(stream, trio.SocketStream):
        return stream.socket.is_readable()
    return False


def _close_now(stream: trio.abc.Stream) -> None:
    if isinstance(stream, trio.SSLStream):
        stream = stream.transport_stream
    if isinstance(stream, trio.SocketStream):
        stream.socket.close()


def _bound_silence(stream: trio.SocketStream) -> None:
    stream.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        _UNACKNOWLEDGED_MS,
    )


async def _begin(
    exchange: HttpExchange,
    send: Awaitable[None],
    head_guard: AbstractContextManager[None] | None,
    *,
    pooled: bool,
) -> None:
    """Send a request and read its answer's head, noting what failed."""
    try:
        with head_guard or nullcontext():
            await send
            await exchange.read_head()
    except HttpError as error:
        error.pooled = pooled
        raise
    if not exchange.status:
        raise HttpError('no answer has begun', sent=True)
