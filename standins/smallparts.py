"""Stand in for upstreams whose responses come in very many small parts.

Each form begins as a valid response does and goes on until the entry closes
the connection, at the full rate of a link.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

import trio

#: Rate of the link, in bytes per second (10 Mbit/s).
LINK_BYTES_PER_S = 1_250_000
_TICK_S = 0.02
_RETRY_S = 0.1
_HEAD_END = b'\r\n\r\n'
_STREAM = b'content-type: text/event-stream\r\n'
_CHUNKED = b'transfer-encoding: chunked\r\n\r\n'


def chunk(payload: bytes) -> bytes:
    """Return one chunk of a chunked body."""
    return b'%x\r\n%s\r\n' % (len(payload), payload)


@dataclass(frozen=True)
class Form:
    """Hold what follows the status line and its fields.

    ``rest`` repeats for as long as the connection is open. Without it, the
    upstream closes the connection itself if ``closes`` is set.
    """

    first: bytes
    rest: bytes
    #: Whether the status line and the fields of the call come before.
    has_head: bool = True
    closes: bool = False


_STREAM_HEAD = b'%s%s' % (_STREAM, _CHUNKED)
#: Bytes that the parser takes for the end of no line, after many spaces.
_LONG_FIELD = b'a:%s\x00\r\n\r\n' % (15_000 * b' ')
#: Responses by name; those to streams begin with ``stream``.
FORMS: Mapping[str, Form] = MappingProxyType(
    {
        'stream, chunks of 1 byte': Form(_STREAM_HEAD, chunk(b'a')),
        'stream, chunks of 5 bytes': Form(_STREAM_HEAD, chunk(b'abcde')),
        'stream, chunks of 16000 bytes': Form(
            _STREAM_HEAD, chunk(16_000 * b'a')
        ),
        'stream, whole small events': Form(_STREAM_HEAD, chunk(b'data: a\n\n')),
        'stream, empty events without chunks': Form(
            b'%s\r\n' % _STREAM, b'\n\n'
        ),
        'body, chunks of 1 byte': Form(_CHUNKED, chunk(b'a')),
        'body, chunks of 5 bytes': Form(_CHUNKED, chunk(b'abcde')),
        'body, chunks of 16000 bytes': Form(_CHUNKED, chunk(16_000 * b'a')),
        'head without end': Form(b'', b'a:\n'),
        'head, spaces': Form(_LONG_FIELD, b''),
        'interim responses': Form(
            b'',
            b'HTTP/1.1 102 Processing\r\n%s\r\n' % (1000 * b'a:\n'),
            has_head=False,
        ),
        'trailers': Form(b'%s0\r\n' % _CHUNKED, b'a:\n'),
        'trailers, spaces': Form(b'%s0\r\n%s' % (_CHUNKED, _LONG_FIELD), b''),
        'chunk extensions': Form(_CHUNKED, b'1;e=%s\r\ny\r\n' % (900 * b'x')),
        'chunk extension, spaces': Form(
            b'%s1;%s\n\r\n' % (_CHUNKED, 15_000 * b' '), b''
        ),
        'bytes after the response': Form(b'content-length: 1\r\n\r\na', b'b'),
    }
)


def whole_stream(text: bytes, chunk_bytes: int) -> Form:
    """Return a stream of a text in chunks, without them where 0 is given."""
    if not chunk_bytes:
        return Form(b'%s\r\n%s' % (_STREAM, text), b'', closes=True)
    chunks = b''.join(
        chunk(text[start : start + chunk_bytes])
        for start in range(0, len(text), chunk_bytes)
    )
    return Form(b'%s%s%s' % (_STREAM_HEAD, chunks, chunk(b'')), b'')


@dataclass
class SmallPartsUpstream:
    """Respond to each call in one form, or soundly while it has none."""

    form: Form | None = None
    #: Attempt ids of the calls that were received.
    calls: list[str] = field(default_factory=list)

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection until it ends."""
        async with stream:
            try:
                while request := await _read_head(stream):
                    await self._respond(stream, request)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return

    async def _respond(self, stream: trio.SocketStream, request: bytes) -> None:
        attempt = _field_of(request, b'attempt-id')
        self.calls.append(attempt.decode())
        head = (
            b'HTTP/1.1 200 OK\r\nreplica-load: 1,0,6\r\n'
            b'attempt-id: %s\r\nreplica-signature: signed\r\n' % attempt
        )
        form = self.form
        if form is None:
            await stream.send_all(head + _sound_response(request))
            return
        if form.has_head:
            await stream.send_all(head)
        await _send(stream, form)
        if form.closes:
            await stream.aclose()


def _sound_response(request: bytes) -> bytes:
    if b' /stream/' in request.partition(b'\r\n')[0]:
        events = (b'id: 1\ndata: a\n\n', b'id: 2\ndata: b\n\n', b'')
        return b''.join((_STREAM_HEAD, *map(chunk, events)))
    return b'content-length: 2\r\n\r\nok'


async def _read_head(stream: trio.SocketStream) -> bytes:
    """Return a request's head, nothing where the connection ends before."""
    received = b''
    while _HEAD_END not in received:
        part = await stream.receive_some()
        if not part:
            return b''
        received += part
    return received.partition(_HEAD_END)[0]


def _field_of(head: bytes, name: bytes) -> bytes:
    for line in head.lower().split(b'\r\n'):
        if line.startswith(b'%s:' % name):
            return line.partition(b':')[2].strip()
    return b''


_POST = b'POST /read/1 HTTP/1.1\r\nhost: h.example\r\n%s' % _CHUNKED
#: What faulty callers send on a connection: a start, then a part that repeats.
REQUESTS: Mapping[str, Form] = MappingProxyType(
    {
        'request body, chunks of 1 byte': Form(_POST, chunk(b'a')),
        'request body, chunks of 5 bytes': Form(_POST, chunk(b'abcde')),
        'request head, short fields': Form(
            b'GET /read/1 HTTP/1.1\r\n%s\r\n' % (5400 * b'a:\n'), b''
        ),
        'request head, spaces': Form(
            b'GET / HTTP/1.1\r\n%s' % _LONG_FIELD, b''
        ),
        'request trailers, spaces': Form(
            b'%s0\r\n%s' % (_POST, _LONG_FIELD), b''
        ),
        'pipelined requests': Form(
            b'', b'GET /none HTTP/1.1\r\nhost: h.example\r\n\r\n'
        ),
    }
)


async def send_requests(host: str, port: int, kind: str) -> None:
    """Send a kind of request at the rate of the link, again and again.

    Each connection is used until the entry closes it.
    """
    while True:
        try:
            stream = await trio.open_tcp_stream(host, port)
        except OSError:
            # The entry has ended, or accepts nothing at the moment.
            await trio.sleep(_RETRY_S)
            continue
        async with stream, trio.open_nursery() as nursery:
            nursery.start_soon(_discard, stream, nursery.cancel_scope)
            try:
                await _send(stream, REQUESTS[kind])
            except trio.BrokenResourceError:
                nursery.cancel_scope.cancel()
            # The entry closes the connection, which ends the other task.


async def _send(stream: trio.SocketStream, form: Form) -> None:
    """Send the start of a form, then the rest at the rate of the link."""
    await stream.send_all(form.first)
    if not form.rest:
        return
    burst = form.rest * max(1, int(LINK_BYTES_PER_S * _TICK_S / len(form.rest)))
    while True:
        await stream.send_all(burst)
        await trio.sleep(_TICK_S)


async def _discard(
    stream: trio.SocketStream, connection: trio.CancelScope
) -> None:
    """Read until the connection ends, then cancel the scope."""
    is_open = True
    while is_open:
        try:
            is_open = bool(await stream.receive_some())
        except trio.BrokenResourceError:
            # A reset is an end like any other here.
            is_open = False
    connection.cancel()
